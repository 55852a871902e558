"""Parses and builds lines of the protocol between clients, the balancer and servers. Performs no I/O."""

from __future__ import annotations

import re
from dataclasses import dataclass, field
from enum import StrEnum
from math import isfinite

from glenrock.routing.settings_codec import report_field

MAX_LINE_BYTES = 4096  # including the line terminator
PING_LINE = b"PING\r\n"
PONG_LINE = b"PONG\r\n"
HEALTH_CHECK_LINE = b"STATS\r\n"
MIGRATE_LINE = b"MOVE\r\n"
FAILURE_LINE = b"ERR\r\n"
REJECTION_PREFIX = b"BUSY"


class ServerKeyword(StrEnum):
    """First words of the server lines that the balancer interprets. It relays all other lines as they are.

    Attributes:
        ESTABLISHED: the connection is established.
        REJECTED: the server rejects the request.
        FAILED: the server fails the request, or ends the connection with an error.
        MALFORMED: the server cannot parse the request line.
        SERVED: the server has served the request and ends the connection.
        MIGRATE: the client is asked to migrate, that is to open a new connection.
        LOAD: the rest of the line is the load of the connection.
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
    """The names from the settings that a request may use.

    Attributes:
        max_wait_ms_by_class: for each request class, the longest wait that a request may ask for, in milliseconds.
        tenants: the tenants; empty if the settings define none, and then any tenant is accepted.
    """

    max_wait_ms_by_class: dict[str, float]
    tenants: frozenset[str] = frozenset()


@dataclass(frozen=True)
class RequestLine:
    """A client's request.

    Attributes:
        request_id: the id that the client has chosen.
        key: the identity of the client.
        fields: the fields that the balancer reads, by their names on the wire. The others are only forwarded.
        raw: the line as received, with its terminator.
    """

    request_id: str
    key: int
    fields: dict[str, str] = field(default_factory=dict)
    raw: bytes = b""

    @property
    def wait_ms(self) -> float:
        """How long the client waits for its answer, in milliseconds; 0 if the line does not say."""
        return float(self.fields.get("d", "0"))

    @property
    def group(self) -> int | None:
        """The group that the request belongs to; None without one."""
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
        """Whether the client connects again after its connection broke or was migrated."""
        return self.fields.get("again") == "1"

    @property
    def resumes_at(self) -> str | None:
        """The server that holds the connection to resume, opened before this process; None for a new connection."""
        return self.fields.get("at")


# Values are matched by patterns, since int() and float() also accept signs, underscores, blanks, NaN and infinity.
REQUEST_LINE_PATTERN = re.compile(rb"OPEN ([0-9A-Za-z._-]{1,64}) ([0-9A-Fa-f]{1,16}) ([!-~]+)\r\n")
# A line may have more than a thousand fields, and a connection keeps its request as long as it lives. So all fields are
# checked by one pattern, and only those that the balancer reads become objects.
FIELD_NAME = r"[A-Za-z][A-Za-z0-9_]*+"
FIELDS_PATTERN = re.compile(rf"{FIELD_NAME}=[^=,]++(?:,{FIELD_NAME}=[^=,]++)*+")
READ_FIELDS = ("c", "t", "d", "g", "h", "r", "again", "at")
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
    """The line is not a valid request; the message says why."""


def parse_request_line(data: bytes, configured: ConfiguredNames) -> RequestLine:
    """Parses and validates a request line.

    The balancer validates the whole line before it sends it on: a server closes the connection on an invalid line,
    and such a close counts as a possible execution of the request.

    Raises:
        RequestLineError: the line is not a valid request.
    """
    match = REQUEST_LINE_PATTERN.fullmatch(data)
    if match is None:
        line, _, more = data.partition(b"\r\n")
        if more and REQUEST_LINE_PATTERN.fullmatch(line + b"\r\n"):
            raise RequestLineError("bytes after the request line, before its answer")
        raise RequestLineError("not a request line")
    if len(data) > MAX_LINE_BYTES:
        raise RequestLineError("line too long")
    fields = _parse_fields(match[3].decode("ascii"))
    if fields.get("c") not in configured.max_wait_ms_by_class:
        raise RequestLineError("unknown class")
    if configured.tenants and fields.get("t") not in configured.tenants:
        raise RequestLineError("unknown tenant")
    request_line = RequestLine(match[1].decode(), int(match[2], 16), fields, data)
    if request_line.resumes_at is None:  # the client of a resumed connection has no deadline to check
        if "d" not in fields:
            raise RequestLineError("missing field d")
        if request_line.wait_ms > configured.max_wait_ms_by_class[request_line.class_name]:
            raise RequestLineError("field d exceeds the longest wait of its class")
    return request_line


def _parse_fields(text: str) -> dict[str, str]:
    """Returns the fields that the balancer reads, after a check of all fields."""
    if not FIELDS_PATTERN.fullmatch(text):
        raise RequestLineError("a field is not NAME=VALUE")
    parts = text.split(",")
    if len({part.partition("=")[0] for part in parts}) < len(parts):
        raise RequestLineError("duplicate field")
    fields = _read_fields("," + text + ",")
    for name, pattern in FIELD_VALUE_PATTERNS.items():
        if name in fields and not pattern.fullmatch(fields[name]):
            raise RequestLineError(f"invalid value in field {name}")
    return fields


def _read_fields(text: str) -> dict[str, str]:
    """Returns the fields that the balancer reads from a text with a comma before and after each field."""
    fields: dict[str, str] = {}
    for name in READ_FIELDS:
        prefix = f",{name}="
        start = text.find(prefix) + len(prefix)
        if start >= len(prefix):
            fields[name] = text[start : text.index(",", start)]
    return fields


def with_remaining_wait(line: bytes, wait_ms: float) -> bytes:
    """Returns the request line with its field `d`, if it has one, set to `wait_ms`, at least 1 ms."""
    head, space, rest = line.rstrip(b"\r\n").rpartition(b" ")
    wait_field = b"d=%d" % max(1, int(wait_ms))
    parts = [wait_field if part.startswith(b"d=") else part for part in rest.split(b",")]
    return head + space + b",".join(parts) + b"\r\n"


def rejection_line(retry_after_ms: float) -> bytes:
    """Returns a rejection with its Retry-After, or without one if the Retry-After is under a millisecond."""
    return b"BUSY %d\r\n" % retry_after_ms if retry_after_ms >= 1 else b"BUSY\r\n"


def is_rejection(line: bytes) -> bool:
    """Returns whether a line sent to a client rejects its request."""
    return line.startswith(REJECTION_PREFIX)


def parse_finite_number(text: str) -> float | None:
    """Returns the number; None if the text is not a finite number."""
    try:
        value = float(text)
    except ValueError:
        return None
    return value if isfinite(value) else None


def split_keyword(line: bytes) -> tuple[str, str]:
    """Returns the first word of a line and the rest; bytes that are not ASCII become replacement characters."""
    keyword, _, rest = line.rstrip(b"\r\n").decode("ascii", "replace").partition(" ")
    return keyword, rest


def parse_load_report(text: str) -> dict[str, float]:
    """Returns the values of a load report by their names in the routing interface; skips fields it cannot parse."""
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
        partial_line: the bytes of the line that has not ended yet; empty if that line is overlong.
        is_overlong: whether the line that has not ended yet exceeds `MAX_LINE_BYTES`.
    """

    def __init__(self) -> None:
        self.partial_line = b""
        self.is_overlong = False

    @property
    def is_between_lines(self) -> bool:
        """Whether no line is incomplete."""
        return not self.partial_line and not self.is_overlong

    def feed(self, chunk: bytes) -> list[bytes]:
        """Returns the lines that end in this chunk, with their terminators and without overlong lines."""
        *line_ends, rest = chunk.split(b"\n")
        lines = []
        for line_end in line_ends:
            line = self.partial_line + line_end
            if not self.is_overlong and len(line) < MAX_LINE_BYTES:
                lines.append(line + b"\n")
            self.partial_line = b""
            self.is_overlong = False
        self.partial_line += rest
        if len(self.partial_line) >= MAX_LINE_BYTES:
            self.partial_line = b""
            self.is_overlong = True
        return lines
