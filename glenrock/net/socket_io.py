"""Configures, reads and closes sockets. A cancelled read loses no bytes.

uvloop's `sock_recv_into` reads in a callback, so a task that is cancelled after the callback and before its own next
step loses the bytes. The pumps of a relay that is handed over are cancelled while they wait to read, so they wait until
the socket is readable, and then read it themselves.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket

READ_BEFORE_CLOSE_BYTES = 16384
MAX_READS_BEFORE_CLOSE = 4
ZERO_LINGER = b"\1\0\0\0\0\0\0\0"  # struct linger, on with a timeout of 0 s: close() sends RST


def configure_socket(sock: socket.socket) -> None:
    """Makes the socket non-blocking, and sets TCP_NODELAY so that small writes are sent at once."""
    sock.setblocking(False)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)


def create_socket() -> socket.socket:
    """Returns a socket for a connection to another process.

    Raises:
        OSError: the process has no descriptor left.
    """
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    configure_socket(sock)
    return sock


def close_socket(sock: socket.socket, reset: bool = False) -> None:
    """Closes a socket with FIN, or with RST. No task may wait on it."""
    with contextlib.suppress(OSError):
        if reset:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, ZERO_LINGER)
        else:
            # close() alone sends RST if there are unread bytes.
            sock.shutdown(socket.SHUT_WR)
    sock.close()


def close_after_reading(sock: socket.socket) -> None:
    """Closes a socket after its last write. Reads unread bytes first, since close() would otherwise send RST."""
    with contextlib.suppress(OSError):
        for _ in range(MAX_READS_BEFORE_CLOSE):
            if not sock.recv(READ_BEFORE_CLOSE_BYTES, socket.MSG_DONTWAIT):
                break
    sock.close()


async def wait_readable(loop: asyncio.AbstractEventLoop, sock: socket.socket) -> None:
    """Waits until the socket has bytes to read, or the other side has closed or reset it."""
    ready = loop.create_future()
    loop.add_reader(sock, _wake, ready)
    try:
        await ready
    finally:
        loop.remove_reader(sock)


async def wait_writable(loop: asyncio.AbstractEventLoop, sock: socket.socket) -> None:
    """Waits until the socket takes bytes, or the other side has closed or reset it."""
    ready = loop.create_future()
    loop.add_writer(sock, _wake, ready)
    try:
        await ready
    finally:
        loop.remove_writer(sock)


def _wake(ready: asyncio.Future[None]) -> None:
    if not ready.done():
        ready.set_result(None)


async def recv_into(loop: asyncio.AbstractEventLoop, sock: socket.socket, buffer: bytearray) -> int:
    """Reads into a buffer. Returns the number of bytes, 0 at the end of the stream. A cancellation loses no bytes.

    The wait before each read lets other tasks run, however much the other side sends.
    """
    while True:
        await wait_readable(loop, sock)
        try:
            return sock.recv_into(buffer)
        except (BlockingIOError, InterruptedError):
            continue
