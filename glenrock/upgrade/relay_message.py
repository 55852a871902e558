"""A standing relay as one message over a Unix socket, with both of its descriptors.

The socket stands in the folder that both processes of an upgrade share. The answer says whether the relay was taken.
A relay is one process's at a time: the giver's pumps have stopped before the message, the taker's run before the
answer.
"""

from __future__ import annotations

import contextlib
import json
import os
import socket
from collections.abc import Iterator

from ..net import protocol
from ..net.client_connection import ClientConnection
from ..net.connection_table import ConnectionTable
from ..net.socket_io import configure_socket

SOCKET_NAME = "glenrock-relays.sock"
VERSION = 1
MAX_MESSAGE_BYTES = 32_768  # two lines of 4 KiB, escaped, and a little
DESCRIPTORS_A_MESSAGE = 2  # the client's and the server's
ACCEPTED = b"taken"
REJECTED = b"refused"
MAX_ADDRESS_BYTES = 100  # of a Unix socket's address

# The keys of a message, and the kind of each. They are read by other versions: they keep their names.
_KINDS = {
    "line": str,
    "instance": str,
    "load": int,
    "part": str,
    "overlong": bool,
    "word": str,
    "asked_at": float | None,
}


class RelayMessageError(ValueError):
    """A relay cannot be taken over; the message says why."""


@contextlib.contextmanager
def socket_address(folder: str) -> Iterator[str]:
    """The socket's path, by way of the folder's descriptor where it is too long for an address."""
    path = os.path.join(folder, SOCKET_NAME)
    if len(path.encode()) <= MAX_ADDRESS_BYTES:
        yield path
        return
    descriptor = os.open(folder, os.O_PATH | os.O_DIRECTORY)
    try:
        yield f"/proc/self/fd/{descriptor}/{SOCKET_NAME}"
    finally:
        os.close(descriptor)


def encode_relay(connection: ClientConnection, load: int) -> bytes:
    """The message for a relay whose pumps have stopped. `load`: the load that its session reported last."""
    splitter = connection.gate.splitter
    content = {
        "version": VERSION,
        "line": connection.opened.line.decode("latin-1"),
        "instance": connection.server,
        "load": load,
        "part": splitter.part.decode("latin-1"),
        "overlong": splitter.overlong,
        "asked_at": connection.asked_at,
        "word": connection.last_word,
    }
    return json.dumps(content).encode()


def decode_relay(data: bytes, table: ConnectionTable, client: socket.socket, server: socket.socket) -> ClientConnection:
    """The relay, its pumps running.

    Raises:
        ValueError: it cannot be one of this process; see `RelayMessageError`, and what the protocol codec raises.
        OSError: its sockets cannot be used.
    """
    raw = json.loads(data)
    if not isinstance(raw, dict) or raw.get("version") != VERSION:
        raise RelayMessageError(f"not of version {VERSION}")
    for key, kind in _KINDS.items():
        if not isinstance(raw.get(key), kind):
            raise RelayMessageError(f"{key}: {raw.get(key)!r:.100}")
    opened = protocol.parse_open(raw["line"].encode("latin-1"), table.known)
    if table.knows(opened.id):
        raise RelayMessageError("the id of a command that is open")
    if table.full():
        raise RelayMessageError("no room for another command")
    configure_socket(client)
    configure_socket(server)
    connection = ClientConnection(table, client, opened)
    connection.gate.restore(raw["part"].encode("latin-1"), raw["overlong"])
    connection.asked_at = raw["asked_at"]
    connection.last_word = raw["word"]
    connection.load = max(0, raw["load"])
    connection.take_over(raw["instance"], server)
    return connection
