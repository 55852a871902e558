"""Codec of the platform's lines between clients, balancers and session servers, as the stand-ins speak them. Pure."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

PING, STATS, OPEN = b"PING", b"STATS", b"OPEN"
MOVE_LINE = b"MOVE\r\n"
PING_LINE, READY_LINE, DRAINING_LINE = b"PING\r\n", b"PONG\r\n", b"ERR\r\n"
RESUME_TIMEOUT_S = 40.0  # for a connection that was open before the run to be set up again


@dataclass(frozen=True, slots=True)
class RequestLine:
    """A client's request for a connection.

    Attributes:
        request_id: new with every connection.
        key: of the client, in hexadecimal digits.
        service: the request's class.
        tenant: of the client; empty where the platform has none.
        group: that the client belongs to; None: it belongs to none.
        deadline_ms: how long the client waits for its answer; None: as long as the protocol says.
        is_retry: the client's connection was migrated or broke before.
        resumes_at: the server that its connection was open at before the run; empty for a new connection.
    """

    request_id: str
    key: str
    service: str
    tenant: str = ""
    group: int | None = None
    deadline_ms: float | None = None
    is_retry: bool = False
    resumes_at: str = ""

    @property
    def is_resumed(self) -> bool:
        """Whether it asks for a connection that was open before the run."""
        return bool(self.resumes_at)

    def encode(self) -> bytes:
        """Returns the line."""
        fields = {
            "c": self.service,
            "t": self.tenant,
            "g": "" if self.group is None else f"{self.group:x}",
            "d": "" if self.deadline_ms is None else f"{self.deadline_ms:.0f}",
            "again": "1" if self.is_retry else "",
            "at": self.resumes_at,
        }
        text = ",".join(f"{name}={value}" for name, value in fields.items() if value)
        return f"OPEN {self.request_id} {self.key} {text}\r\n".encode()

    @classmethod
    def decode(cls, line: bytes) -> RequestLine:
        """Returns the request of a line.

        Raises:
            ValueError: it is no request line.
        """
        _, request_id, key, text = line.decode().split()
        pairs = (field.partition("=") for field in text.split(","))
        fields = {name: value for name, _, value in pairs}
        return cls(
            request_id,
            key,
            fields.get("c", ""),
            tenant=fields.get("t", ""),
            group=int(fields["g"], 16) if "g" in fields else None,
            deadline_ms=float(fields["d"]) if "d" in fields else None,
            is_retry=fields.get("again") == "1",
            resumes_at=fields.get("at", ""),
        )


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
