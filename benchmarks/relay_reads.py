"""What it costs that relays wait for readability and read themselves: round trips on one pair of sockets.

Run: `python benchmarks/relay_reads.py`. Prints, for each way in turn, microseconds of processor time a round trip.
"""

from __future__ import annotations

import asyncio
import socket
import time

import uvloop

from glenrock.net.socket_io import recv_into

TRIPS, ROUNDS, LINE = 20_000, 5, b"x" * 100


async def echo(loop: asyncio.AbstractEventLoop, sock: socket.socket, read) -> None:
    buffer = bytearray(8192)
    while count := await read(sock, buffer):
        await loop.sock_sendall(sock, memoryview(buffer)[:count])


async def trips(read_of) -> float:
    loop = asyncio.get_running_loop()
    read = read_of(loop)
    ours, theirs = socket.socketpair()
    for sock in (ours, theirs):
        sock.setblocking(False)
    other, buffer = loop.create_task(echo(loop, theirs, read)), bytearray(8192)
    began = time.process_time()
    for _ in range(TRIPS):
        await loop.sock_sendall(ours, LINE)
        await read(ours, buffer)
    took = time.process_time() - began
    ours.close()
    await other
    theirs.close()
    return took / TRIPS * 1e6


def main() -> None:
    ways = {
        "sock_recv_into": lambda loop: loop.sock_recv_into,
        "readiness.recv_into": lambda loop: lambda sock, buffer: recv_into(loop, sock, buffer),
    }
    for n in range(ROUNDS):
        print(n, "  ".join(f"{name} {uvloop.run(trips(way)):.1f} us" for name, way in ways.items()))


if __name__ == "__main__":
    main()
