"""Encodes an established relay as one message on a Unix socket. Its two descriptors are sent with the message.

The socket is in the folder that both processes of an upgrade share. Each message is answered `ACCEPTED` or
`REJECTED`. A relay belongs to one process at a time: the sender stops the relay's pumps before it sends the message,
and the receiver starts them before it answers. If no answer comes in time, the relay belongs to the receiver.
"""

from __future__ import annotations

import json
import socket
from dataclasses import dataclass

from ..net import protocol
from ..net.client_connection import ClientConnection
from ..net.connection_table import ConnectionTable
from ..net.socket_io import configure_socket

SOCKET_NAME = "glenrock-relays.sock"
VERSION = 1
MAX_MESSAGE_BYTES = 32_768
DESCRIPTORS_PER_MESSAGE = 2  # the client's, then the server's
ACCEPTED = b"taken"
REJECTED = b"refused"

# The keys of a message and the type of each value. The two processes of an upgrade may run different releases, so a
# change of a key needs a new `VERSION`: a message of another version is rejected, and its client migrates.
_VALUE_TYPES = {
    "line": str,
    "instance": str,
    "load": int,
    "part": str,
    "overlong": bool,
    "word": str,
    "asked_at": float | None,
}


class RelayMessageError(ValueError):
    """The message does not describe a relay that this process can take over."""


@dataclass(frozen=True)
class RelayMessage:
    """The state of a relay whose pumps have stopped.

    Attributes:
        request_line: the request line that the client sent.
        server_id: the server of the connection.
        load: the load that the server reported last for this connection.
        partial_line: the bytes of the line that the server has not ended yet.
        is_overlong: whether that line exceeds the maximum length of a line.
        last_keyword: the first word of the server's last line.
        unanswered_since_ms: when the client sent a line that the server has not answered, in Unix ms; None if all are
            answered.
    """

    request_line: bytes
    server_id: str
    load: int
    partial_line: bytes
    is_overlong: bool
    last_keyword: str
    unanswered_since_ms: float | None

    def encode(self) -> bytes:
        """Returns the message's bytes."""
        content = {
            "version": VERSION,
            "line": self.request_line.decode("latin-1"),
            "instance": self.server_id,
            "load": self.load,
            "part": self.partial_line.decode("latin-1"),
            "overlong": self.is_overlong,
            "asked_at": self.unanswered_since_ms,
            "word": self.last_keyword,
        }
        return json.dumps(content).encode()


def parse(data: bytes) -> RelayMessage:
    """Parses the bytes of a message.

    Raises:
        RelayMessageError: the message is of another version, or a key is missing or of the wrong type.
        ValueError: the bytes are not JSON, or a line has characters outside of Latin-1.
    """
    content = json.loads(data)
    if not isinstance(content, dict) or content.get("version") != VERSION:
        raise RelayMessageError(f"not a JSON object of version {VERSION}")
    for key, value_type in _VALUE_TYPES.items():
        if not isinstance(content.get(key), value_type):
            raise RelayMessageError(f"{key}: invalid value {content.get(key)!r:.100}")
    return RelayMessage(
        request_line=content["line"].encode("latin-1"),
        server_id=content["instance"],
        load=max(0, content["load"]),
        partial_line=content["part"].encode("latin-1"),
        is_overlong=content["overlong"],
        last_keyword=content["word"],
        unanswered_since_ms=content["asked_at"],
    )


def encode_relay(connection: ClientConnection, load: int) -> bytes:
    """Returns the message for a relay whose pumps have stopped, with the load that its server reported last."""
    message = RelayMessage(
        request_line=connection.request_line.raw,
        server_id=connection.server,
        load=load,
        partial_line=connection.line_buffer.partial_line,
        is_overlong=connection.line_buffer.is_overlong,
        last_keyword=connection.last_keyword,
        unanswered_since_ms=connection.unanswered_since_ms,
    )
    return message.encode()


def decode_relay(data: bytes, table: ConnectionTable, client: socket.socket, server: socket.socket) -> ClientConnection:
    """Returns the relay of a message, with its pumps running.

    Raises:
        ValueError: the message is invalid, its request line is invalid under this process's settings, its request id
            is in use, or the descriptor limit is reached.
        OSError: a socket cannot be configured.
    """
    message = parse(data)
    request_line = protocol.parse_request_line(message.request_line, table.configured_names)
    if table.is_open(request_line.request_id):
        raise RelayMessageError("request id in use")
    if table.is_full():
        raise RelayMessageError("descriptor limit reached")
    configure_socket(client)
    configure_socket(server)
    connection = ClientConnection(table, client, request_line)
    connection.line_buffer.restore(message.partial_line, message.is_overlong)
    connection.unanswered_since_ms = message.unanswered_since_ms
    connection.last_keyword = message.last_keyword
    connection.reports.load = message.load
    connection.take_over(message.server_id, server)
    return connection
