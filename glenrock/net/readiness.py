"""Reading a socket without a chance to lose bytes when the wait is cancelled.

uvloop's `sock_recv_into` reads in a callback; a task cancelled between that and its own next step has lost what was
read. A relay that is handed over to another process is cancelled in mid-wait as a rule, so it waits for readability
alone and reads by itself.
"""

from __future__ import annotations

import asyncio
import socket


async def readable(loop: asyncio.AbstractEventLoop, sock: socket.socket) -> None:
    ready = loop.create_future()
    loop.add_reader(sock, wake, ready)
    try:
        await ready
    finally:
        loop.remove_reader(sock)


def wake(ready: asyncio.Future[None]) -> None:
    if not ready.done():
        ready.set_result(None)


async def recv_into(loop: asyncio.AbstractEventLoop, sock: socket.socket, buffer: bytearray) -> int:
    """The number of bytes read, 0 at the end. A cancellation comes only while nothing has been read.

    Danger: without a turn of the loop before each read, one who sends on and on would keep it from all others.
    """
    while True:
        await readable(loop, sock)
        try:
            return sock.recv_into(buffer)
        except (BlockingIOError, InterruptedError):
            continue
