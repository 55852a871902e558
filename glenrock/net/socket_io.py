"""Sockets: set up, read without a chance to lose bytes when the wait is cancelled, and closed.

uvloop's `sock_recv_into` reads in a callback; a task cancelled between that and its own next step has lost what was
read. A relay that is handed over to another process is cancelled in mid-wait as a rule, so it waits for readability
alone and reads by itself.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket

DRAIN_BYTES, MAX_DRAINED_READS = 16384, 4
LINGER_ON_FOR_ZERO_S = b"\1\0\0\0\0\0\0\0"  # struct linger: a close resets the connection


def configure_socket(sock: socket.socket) -> None:
    """For the loop, and without waiting for more to send."""
    sock.setblocking(False)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)


def close_socket(sock: socket.socket, reset: bool = False) -> None:
    """Closes a socket that nobody waits on: with FIN, or with RST."""
    with contextlib.suppress(OSError):
        if reset:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_ON_FOR_ZERO_S)
        else:
            # close() alone would send RST if something lies unread.
            sock.shutdown(socket.SHUT_WR)
    sock.close()


def close_drained(sock: socket.socket) -> None:
    """Closes a socket whose last word is written: what still came is read first, so that no reset takes that along."""
    with contextlib.suppress(OSError):
        for _ in range(MAX_DRAINED_READS):
            if not sock.recv(DRAIN_BYTES, socket.MSG_DONTWAIT):
                break
    sock.close()


async def readable(loop: asyncio.AbstractEventLoop, sock: socket.socket) -> None:
    """Until there is something to read, or an end."""
    ready = loop.create_future()
    loop.add_reader(sock, _wake, ready)
    try:
        await ready
    finally:
        loop.remove_reader(sock)


def _wake(ready: asyncio.Future[None]) -> None:
    if not ready.done():
        ready.set_result(None)


async def recv_into(loop: asyncio.AbstractEventLoop, sock: socket.socket, buffer: bytearray) -> int:
    """The number of bytes read, 0 at the end. A cancellation comes only while nothing has been read.

    Without a turn of the loop before each read, one who sends on and on would keep it from all others.
    """
    while True:
        await readable(loop, sock)
        try:
            return sock.recv_into(buffer)
        except (BlockingIOError, InterruptedError):
            continue
