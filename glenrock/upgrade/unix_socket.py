"""Unix sockets in the folder that both processes of an upgrade share. They keep the boundaries of messages."""

from __future__ import annotations

import contextlib
import os
import socket
from collections.abc import Iterator
from typing import NamedTuple

MAX_SOCKET_PATH_BYTES = 100  # sun_path has 108 bytes (unix(7))


class BoundSocket(NamedTuple):
    """A listening socket and the inode of its file, by which a process recognizes its own socket."""

    sock: socket.socket
    inode: int


@contextlib.contextmanager
def socket_address(folder: str, name: str) -> Iterator[str]:
    """Yields the path of a socket, or a short path through /proc if that path exceeds `MAX_SOCKET_PATH_BYTES`.

    Raises:
        OSError: the folder cannot be opened.
    """
    path = os.path.join(folder, name)
    if len(path.encode()) <= MAX_SOCKET_PATH_BYTES:
        yield path
        return
    descriptor = os.open(folder, os.O_PATH | os.O_DIRECTORY)
    try:
        yield f"/proc/self/fd/{descriptor}/{name}"
    finally:
        os.close(descriptor)


def create_unix_socket() -> socket.socket:
    """Returns a non-blocking Unix socket. Raises OSError if no descriptor is left."""
    sock = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
    sock.setblocking(False)
    return sock


def listen(folder: str, name: str, backlog: int) -> BoundSocket:
    """Returns a listening socket under that name, in place of the one that another process had there.

    Raises:
        OSError: the socket cannot be bound.
    """
    sock = create_unix_socket()
    try:
        with socket_address(folder, name) as path:
            with contextlib.suppress(FileNotFoundError):
                os.unlink(path)
            sock.bind(path)
            inode = os.stat(path).st_ino
        sock.listen(backlog)
    except OSError:
        sock.close()
        raise
    return BoundSocket(sock, inode)
