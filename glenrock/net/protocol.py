"""Parses and builds lines of the protocol. No I/O."""

from __future__ import annotations

import re
from dataclasses import dataclass, field
from enum import StrEnum
from math import isfinite

from glenrock.routing.settings_codec import report_field

MAX_LINE_BYTES = 4096  # bytes of a line with its end
PING_LINE = b"PING\r\n"
PONG_LINE = b"PONG\r\n"
HEALTH_CHECK_LINE = b"STATS\r\n"
MIGRATE_LINE = b"MOVE\r\n"
FAILURE_LINE = b"ERR\r\n"
REJECTION_PREFIX = b"BUSY"


class ServerKeyword(StrEnum):
    """The first words of servers' lines that have a meaning here.

    Attributes:
        ESTABLISHED: the connection is established.
        REJECTED: the server rejects the request.
        FAILED: the server fails the request, or ends the connection with an error.
        MALFORMED: the server cannot parse the request line.
        SERVED: the server has served the connection.
        MIGRATE: the client is to connect elsewhere.
        LOAD: the load of the connection follows.
        HEALTHY: the answer to a health check.
    """

    ESTABLISHED = "UP"
    REJECTED = "BUSY"
    FAILED = "ERR"
    MALFORMED = "SYNTAX"
    SERVED = "BYE"
    MIGRATE = "MOVE"
    LOAD = "LOAD"
    HEALTHY = "PONG"

    __hash__ = str.__hash__


@dataclass(frozen=True)
class ConfiguredNames:
    """Names that a request may use. `classes`: each with the longest wait of its requests in milliseconds."""

    max_wait_ms_by_class: dict[str, float]
    tenants: frozenset[str] = frozenset()


@dataclass(frozen=True)
class RequestLine:
    """A client's request.

    Attributes:
        request_id: the id that the client has chosen.
        key: the identity of the client.
        fields: the fields by their names on the wire.
        raw: the line as it came.
    """

    request_id: str
    key: int
    fields: dict[str, str] = field(default_factory=dict)
    raw: bytes = b""

    @property
    def wait_ms(self) -> float:
        """How long the client waits for its answer, in milliseconds."""
        return float(self.fields.get("d", "0"))

    @property
    def group(self) -> int | None:
        """The group; None without one."""
        return int(self.fields["g"], 16) if "g" in self.fields else None

    @property
    def load(self) -> int:
        """The client's hint of its load; 0 without one."""
        return int(float(self.fields.get("h", "0")))

    @property
    def class_name(self) -> str:
        """The request class."""
        return self.fields["c"]

    @property
    def tenant(self) -> str:
        """The tenant; empty without one."""
        return self.fields.get("t", "")

    @property
    def is_returning(self) -> bool:
        """Whether the client had a connection that broke or migrated."""
        return self.fields.get("again") == "1"

    @property
    def resumes_at(self) -> str | None:
        """The server of a connection that was open before this process; None for a new connection."""
        return self.fields.get("at")


# int() and float() would also accept signs, underscores, blanks, NaN and infinity.
REQUEST_LINE_PATTERN = re.compile(rb"OPEN ([0-9A-Za-z._-]{1,64}) ([0-9A-Fa-f]{1,16}) ([!-~]+)\r\n")
FIELD_PATTERN = re.compile(r"([A-Za-z][A-Za-z0-9_]*)=([^=]+)")
HEX_PATTERN = re.compile(r"[0-9A-Fa-f]{1,16}")
NUMBER_PATTERN = re.compile(r"[0-9]{1,15}(\.[0-9]{1,15})?")
FLAG_PATTERN = re.compile("[01]")
FIELD_VALUE_PATTERNS = {
    "g": HEX_PATTERN,
    "d": NUMBER_PATTERN,
    "h": NUMBER_PATTERN,
    "r": FLAG_PATTERN,
    "again": FLAG_PATTERN,
}


class RequestLineError(ValueError):
    """The line is no valid request; the message says why."""


def parse_request_line(data: bytes, configured: ConfiguredNames) -> RequestLine:
    """Returns the request in a line.

    Validated here, since a server closes the connection on an invalid line, and that would count as an execution.

    Raises:
        RequestLineError: the line is no valid request.
    """
    found = REQUEST_LINE_PATTERN.fullmatch(data)
    if found is None:
        line, _, more = data.partition(b"\r\n")
        if more and REQUEST_LINE_PATTERN.fullmatch(line + b"\r\n"):
            raise RequestLineError("bytes before the answer")
        raise RequestLineError("not a request line")
    if len(data) > MAX_LINE_BYTES:
        raise RequestLineError("line too long")
    fields = _fields_of(found[3].decode("ascii"))
    if fields.get("c") not in configured.max_wait_ms_by_class:
        raise RequestLineError("unknown class")
    if configured.tenants and fields.get("t") not in configured.tenants:
        raise RequestLineError("unknown tenant")
    request_line = RequestLine(found[1].decode(), int(found[2], 16), fields, data)
    if request_line.resumes_at is None:  # a resumed connection has no deadline of its client
        if "d" not in fields:
            raise RequestLineError("no field d")
        if request_line.wait_ms > configured.max_wait_ms_by_class[request_line.class_name]:
            raise RequestLineError("wait too long in field d")
    return request_line


def _fields_of(text: str) -> dict[str, str]:
    fields: dict[str, str] = {}
    repeated = False
    for part in text.split(","):
        pair = FIELD_PATTERN.fullmatch(part)
        if pair is None:
            raise RequestLineError("a field is not NAME=VALUE")
        repeated |= pair[1] in fields
        fields[pair[1]] = pair[2]
    if repeated:
        raise RequestLineError("duplicate field")
    for name, form in FIELD_VALUE_PATTERNS.items():
        if name in fields and not form.fullmatch(fields[name]):
            raise RequestLineError(f"invalid value in field {name}")
    return fields


def with_time_left(line: bytes, ms: float) -> bytes:
    """Returns the client's line with that time in its field `d`."""
    head, space, rest = line.rstrip(b"\r\n").rpartition(b" ")
    wait = b"d=%d" % max(1, int(ms))
    parts = [wait if part.startswith(b"d=") else part for part in rest.split(b",")]
    return head + space + b",".join(parts) + b"\r\n"


def rejection_line(retry_after_ms: float) -> bytes:
    """Returns a rejection with its Retry-After; without one if that is under a millisecond."""
    return b"BUSY %d\r\n" % retry_after_ms if retry_after_ms >= 1 else b"BUSY\r\n"


def is_rejection(line: bytes) -> bool:
    """Returns whether the line to a client is a rejection."""
    return line.startswith(REJECTION_PREFIX)


def parse_finite_number(text: str) -> float | None:
    """Returns the number; None if the text is no finite number."""
    try:
        value = float(text)
    except ValueError:
        return None
    return value if isfinite(value) else None


def split_keyword(line: bytes) -> tuple[str, str]:
    """Returns the first word and the rest; bytes that are not ASCII become replacement characters."""
    word, _, rest = line.rstrip(b"\r\n").decode("ascii", "replace").partition(" ")
    return word, rest


def parse_load_report(text: str) -> dict[str, float]:
    """Returns a load report under the names of the routing interface, without unreadable fields."""
    report: dict[str, float] = {}
    for part in text.strip().split(","):
        name, equals, value_text = part.partition("=")
        value = parse_finite_number(value_text)
        if equals and value is not None:
            report[report_field(name)] = value
    return report


class LineSplitter:
    """Splits a stream into lines. Memory is bounded: the bytes of an overlong line are dropped.

    Attributes:
        partial_line: the bytes of the line that has not ended yet.
        is_overlong: whether that line is too long.
    """

    def __init__(self) -> None:
        self.partial_line = b""
        self.is_overlong = False

    @property
    def is_between_lines(self) -> bool:
        """Whether the stream is at the end of a line."""
        return not self.partial_line and not self.is_overlong

    def feed(self, chunk: bytes) -> list[bytes]:
        """Returns the lines that end in this chunk, with their line ends."""
        *ended, rest = chunk.split(b"\n")
        lines = []
        for piece in ended:
            line = self.partial_line + piece
            if not self.is_overlong and len(line) < MAX_LINE_BYTES:
                lines.append(line + b"\n")
            self.partial_line = b""
            self.is_overlong = False
        self.partial_line += rest
        if len(self.partial_line) >= MAX_LINE_BYTES:
            self.partial_line = b""
            self.is_overlong = True
        return lines
