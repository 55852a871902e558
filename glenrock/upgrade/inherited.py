"""The clients' listening socket, where the platform holds it and every process inherits it."""

from __future__ import annotations

import socket

from ..config import ConfigError


def listener(number: int) -> socket.socket:
    """The inherited descriptor, checked. It is never shut down, only closed: the socket is the successor's too."""
    try:
        sock = socket.socket(fileno=number)
    except OSError as bad:
        raise ConfigError(f"LB_ACCEPT_FD: descriptor {number}: {bad}") from None
    try:
        listens = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN)
    except OSError:
        listens = 0
    if sock.family != socket.AF_INET or sock.type != socket.SOCK_STREAM or not listens:
        sock.detach()
        raise ConfigError(f"LB_ACCEPT_FD: descriptor {number} is no listening TCP socket")
    sock.setblocking(False)
    return sock
