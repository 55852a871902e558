"""The clients' listening socket, where the platform holds it and every process inherits it."""

from __future__ import annotations

import socket

from ..config import ConfigError


def open_inherited(descriptor: int) -> socket.socket:
    """The inherited listening socket, checked. It is only closed, never shut down: it is the successor's too.

    Raises:
        ConfigError: the descriptor is none, or no listening TCP socket.
    """
    try:
        sock = socket.socket(fileno=descriptor)
    except OSError as error:
        raise ConfigError(f"LB_ACCEPT_FD: descriptor {descriptor}: {error}") from error
    try:
        listens = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN)
    except OSError:
        listens = 0
    if sock.family != socket.AF_INET or sock.type != socket.SOCK_STREAM or not listens:
        sock.detach()
        raise ConfigError(f"LB_ACCEPT_FD: descriptor {descriptor} is no listening TCP socket")
    sock.setblocking(False)
    return sock
