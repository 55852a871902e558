"""Processor time of a relay's read (wait for readability, then read) beside the loop's own `sock_recv_into`.

Run: `python benchmarks/relay_reads.py`. Prints, for each round, microseconds of processor time for a round trip on one
pair of sockets.
"""

from __future__ import annotations

import asyncio
import socket
import time
from collections.abc import Awaitable, Callable

import uvloop

from glenrock.net.socket_io import recv_into

ROUND_TRIPS = 20_000
ROUNDS = 5
LINE = b"x" * 100
BUFFER_BYTES = 8192

Read = Callable[[socket.socket, bytearray], Awaitable[int]]


async def echo(loop: asyncio.AbstractEventLoop, sock: socket.socket, read: Read) -> None:
    """Sends all bytes back, until the end."""
    buffer = bytearray(BUFFER_BYTES)
    while count := await read(sock, buffer):
        await loop.sock_sendall(sock, memoryview(buffer)[:count])


async def round_trip_us(read_of: Callable[[asyncio.AbstractEventLoop], Read]) -> float:
    """Returns the processor time of a round trip in microseconds."""
    loop = asyncio.get_running_loop()
    read = read_of(loop)
    near, far = socket.socketpair()
    for sock in (near, far):
        sock.setblocking(False)
    echoing = loop.create_task(echo(loop, far, read))
    buffer = bytearray(BUFFER_BYTES)
    started_s = time.process_time()
    for _ in range(ROUND_TRIPS):
        await loop.sock_sendall(near, LINE)
        await read(near, buffer)
    took_s = time.process_time() - started_s
    near.close()
    await echoing
    far.close()
    return took_s / ROUND_TRIPS * 1e6


def main() -> None:
    """Prints a line for each round."""
    reads: dict[str, Callable[[asyncio.AbstractEventLoop], Read]] = {
        "sock_recv_into": lambda loop: loop.sock_recv_into,
        "socket_io.recv_into": lambda loop: lambda sock, buffer: recv_into(loop, sock, buffer),
    }
    for number in range(ROUNDS):
        figures = [f"{name} {uvloop.run(round_trip_us(read_of)):.1f} us" for name, read_of in reads.items()]
        print(number, "  ".join(figures))


if __name__ == "__main__":
    main()
