"""CPU time of a relay's read (wait for readability, then read), compared with the event loop's `sock_recv_into`.

    python benchmarks/relay_reads.py

Prints the CPU time of a round trip on a socket pair, in microseconds, for each round and each read function.
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
MESSAGE = b"x" * 100
BUFFER_BYTES = 8192

ReadFunction = Callable[[socket.socket, bytearray], Awaitable[int]]


async def echo(loop: asyncio.AbstractEventLoop, sock: socket.socket, read: ReadFunction) -> None:
    """Sends all received bytes back until the end of the stream."""
    buffer = bytearray(BUFFER_BYTES)
    while count := await read(sock, buffer):
        await loop.sock_sendall(sock, memoryview(buffer)[:count])


async def round_trip_us(make_read: Callable[[asyncio.AbstractEventLoop], ReadFunction]) -> float:
    """Returns the mean CPU time of a round trip in microseconds."""
    loop = asyncio.get_running_loop()
    read = make_read(loop)
    client_socket, echo_socket = socket.socketpair()
    for sock in (client_socket, echo_socket):
        sock.setblocking(False)
    echo_task = loop.create_task(echo(loop, echo_socket, read))
    buffer = bytearray(BUFFER_BYTES)
    start_cpu_s = time.process_time()
    for _ in range(ROUND_TRIPS):
        await loop.sock_sendall(client_socket, MESSAGE)
        await read(client_socket, buffer)
    cpu_s = time.process_time() - start_cpu_s
    client_socket.close()
    await echo_task
    echo_socket.close()
    return cpu_s / ROUND_TRIPS * 1e6


def main() -> None:
    """Prints the CPU time of each read function, one line per round."""
    read_makers: dict[str, Callable[[asyncio.AbstractEventLoop], ReadFunction]] = {
        "sock_recv_into": lambda loop: loop.sock_recv_into,
        "socket_io.recv_into": lambda loop: lambda sock, buffer: recv_into(loop, sock, buffer),
    }
    for round_number in range(ROUNDS):
        results = [
            f"{name} {uvloop.run(round_trip_us(make_read)):.1f} us CPU per round trip"
            for name, make_read in read_makers.items()
        ]
        print(round_number, "  ".join(results))


if __name__ == "__main__":
    main()
