"""Opens the clients' listening socket that a supervisor created, and that each process of an upgrade inherits."""

from __future__ import annotations

import socket

from ..config import ConfigError


def open_inherited(descriptor: int) -> socket.socket:
    """Returns the inherited listening socket, non-blocking.

    The socket is shared with the other process of an upgrade: close it, but never shut it down.

    Raises:
        ConfigError: the descriptor is not open, or is not a listening IPv4 TCP socket.
    """
    try:
        sock = socket.socket(fileno=descriptor)
    except OSError as error:
        raise ConfigError(f"LB_ACCEPT_FD: descriptor {descriptor}: {error}") from error
    try:
        is_listening = bool(sock.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN))
    except OSError:
        is_listening = False
    if sock.family != socket.AF_INET or sock.type != socket.SOCK_STREAM or not is_listening:
        sock.detach()
        raise ConfigError(f"LB_ACCEPT_FD: descriptor {descriptor} is not a listening TCP socket")
    sock.setblocking(False)
    return sock
