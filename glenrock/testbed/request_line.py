"""Codec of the platform's lines between clients, balancers and session servers, as the stand-ins speak them. Pure."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum

PING, STATS, OPEN = b"PING", b"STATS", b"OPEN"
MOVE_LINE = b"MOVE\r\n"
RESUME_FIELD = "at"
RESUME_TIMEOUT_S = 40.0  # for a connection that was open before the run to be set up again


@dataclass(frozen=True, slots=True)
class RequestLine:
    """A client's request for a connection.

    Attributes:
        request_id: new with every connection.
        key: of the client.
        fields: class, deadline and so on, by the wire's names.
    """

    request_id: str
    key: str
    fields: Mapping[str, str]

    @property
    def is_resumed(self) -> bool:
        """Whether it asks for a connection that was open before the run."""
        return RESUME_FIELD in self.fields

    def encode(self) -> bytes:
        """Returns the line."""
        fields = ",".join(f"{name}={value}" for name, value in self.fields.items())
        return f"OPEN {self.request_id} {self.key} {fields}\r\n".encode()

    @classmethod
    def decode(cls, line: bytes) -> RequestLine:
        """Returns the request of a line.

        Raises:
            ValueError: it is no request line.
        """
        _, request_id, key, fields = line.decode().split()
        pairs = (field.partition("=") for field in fields.split(","))
        return cls(request_id, key, {name: value for name, _, value in pairs})


class AnswerKind(Enum):
    """What a client received in answer to its request line."""

    UP = "UP"
    BUSY = "BUSY"
    ERROR = "ERR"
    UNKNOWN = "unknown"
    CLOSED = "closed"
    """The connection ended without a whole line."""
    NONE = "none"
    """Nothing came in time."""


@dataclass(frozen=True, slots=True)
class Answer:
    """An answer.

    Attributes:
        text: the line without its end; empty for CLOSED and NONE.
        partial: what came of a line that is not whole.
    """

    kind: AnswerKind
    text: str = ""
    partial: bytes = b""

    @property
    def word(self) -> str:
        """The first word of the line."""
        return self.text.partition(" ")[0]

    @property
    def rest(self) -> str:
        """The line after its first word."""
        return self.text.partition(" ")[2]

    @property
    def server(self) -> str:
        """The name of the session server that made an UP answer."""
        return self.rest.rpartition("-")[0] if self.kind is AnswerKind.UP else ""

    @property
    def retry_after_us(self) -> int:
        """The delay of a BUSY answer; 0 where it has none."""
        return int(self.rest) * 1000 if self.kind is AnswerKind.BUSY and self.rest.isdecimal() else 0

    @classmethod
    def decode(cls, line: bytes) -> Answer:
        """Returns the answer of a line, or of the bytes before the end of the connection."""
        if not line.endswith(b"\r\n"):
            return cls(AnswerKind.CLOSED, partial=line)
        text = line.decode("latin-1").strip()
        word = text.partition(" ")[0]
        known = {kind.value: kind for kind in (AnswerKind.UP, AnswerKind.BUSY, AnswerKind.ERROR)}
        return cls(known.get(word, AnswerKind.UNKNOWN), text)
