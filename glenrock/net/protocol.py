"""Lines of the protocol, parsed and built. No I/O."""

from __future__ import annotations

import re
from dataclasses import dataclass, field
from math import isfinite

from glenrock.routing.settings_codec import report_field

MAX_LINE = 4096  # bytes of a line with its end
PING, STATS, PONG, MOVE, FAILED = b"PING\r\n", b"STATS\r\n", b"PONG\r\n", b"MOVE\r\n", b"ERR\r\n"


@dataclass(frozen=True)
class KnownNames:
    """What a sound OPEN may name. `classes`: each with the longest time that its clients may wait, in milliseconds."""

    classes: dict[str, float]
    tenants: frozenset[str] = frozenset()


@dataclass(frozen=True)
class OpenLine:
    """What a client opens with. `line` is as it came."""

    id: str
    key: int
    fields: dict[str, str] = field(default_factory=dict)
    line: bytes = b""

    @property
    def wait_ms(self) -> float:
        """How long the client waits for its answer."""
        return float(self.fields.get("d", "0"))

    @property
    def group(self) -> int | None:
        """Its group, where it names one."""
        return int(self.fields["g"], 16) if "g" in self.fields else None

    @property
    def load(self) -> int:
        """Hint of its load; 0 where it gives none."""
        return int(float(self.fields.get("h", "0")))

    @property
    def class_name(self) -> str:
        """Its class."""
        return self.fields["c"]

    @property
    def tenant(self) -> str:
        """Its tenant; empty where it names none."""
        return self.fields.get("t", "")

    @property
    def returns(self) -> bool:
        """Whether it comes back after a break or a migration."""
        return self.fields.get("again") == "1"

    @property
    def standing_at(self) -> str | None:
        """The server that it stands at since before this balancer did."""
        return self.fields.get("at")


# Python's own int() and float() would also take signs, underscores, blanks, NaN and infinity.
OPEN = re.compile(rb"OPEN ([0-9A-Za-z._-]{1,64}) ([0-9A-Fa-f]{1,16}) ([!-~]+)\r\n")
FIELD = re.compile(r"([A-Za-z][A-Za-z0-9_]*)=([^=]+)")
HEX = re.compile(r"[0-9A-Fa-f]{1,16}")
NUMBER = re.compile(r"[0-9]{1,15}(\.[0-9]{1,15})?")
FLAG = re.compile("[01]")
FORMS = {"g": HEX, "d": NUMBER, "h": NUMBER, "r": FLAG, "again": FLAG}


class OpenLineError(ValueError):
    """The line is no sound OPEN; the message says why."""


def parse_open(data: bytes, known: KnownNames) -> OpenLine:
    """What the client opens with.

    Nothing unsound may reach a server: it closes on what it can't read, and what it makes of the rest would be passed
    on as if it had run.

    Raises:
        OpenLineError: the line is not sound.
    """
    found = OPEN.fullmatch(data)
    if found is None:
        line, _, more = data.partition(b"\r\n")
        if more and OPEN.fullmatch(line + b"\r\n"):
            raise OpenLineError("bytes before the answer")
        raise OpenLineError("not an OPEN line")
    if len(data) > MAX_LINE:
        raise OpenLineError("too long")
    fields = _fields_of(found[3].decode("ascii"))
    if fields.get("c") not in known.classes:
        raise OpenLineError("no class that is known")
    if known.tenants and fields.get("t") not in known.tenants:
        raise OpenLineError("no tenant that is known")
    opened = OpenLine(found[1].decode(), int(found[2], 16), fields, data)
    # A connection that stood before this balancer did waits as long as it takes.
    if opened.standing_at is None:
        if "d" not in fields:
            raise OpenLineError("no d")
        if opened.wait_ms > known.classes[opened.class_name]:
            raise OpenLineError("d too long")
    return opened


def _fields_of(text: str) -> dict[str, str]:
    fields: dict[str, str] = {}
    repeated = False
    for part in text.split(","):
        pair = FIELD.fullmatch(part)
        if pair is None:
            raise OpenLineError("a field that is not NAME=VALUE")
        repeated |= pair[1] in fields
        fields[pair[1]] = pair[2]
    if repeated:
        raise OpenLineError("a field twice")
    for name, form in FORMS.items():
        if name in fields and not form.fullmatch(fields[name]):
            raise OpenLineError(f"{name} out of form")
    return fields


def with_wait(line: bytes, ms: float) -> bytes:
    """The client's line with another `d`, and otherwise as it was."""
    head, space, rest = line.rstrip(b"\r\n").rpartition(b" ")
    wait = b"d=%d" % max(1, int(ms))
    parts = [wait if part.startswith(b"d=") else part for part in rest.split(b",")]
    return head + space + b",".join(parts) + b"\r\n"


def busy_line(retry_after_ms: float) -> bytes:
    """A rejection, with the time to come back after; without where that is under a millisecond."""
    return b"BUSY %d\r\n" % retry_after_ms if retry_after_ms >= 1 else b"BUSY\r\n"


def finite_number(text: str) -> float | None:
    """None for anything that is not one."""
    try:
        value = float(text)
    except ValueError:
        return None
    return value if isfinite(value) else None


def split_word(line: bytes) -> tuple[str, str]:
    """The first word and the rest; junk bytes become replacement characters."""
    word, _, rest = line.rstrip(b"\r\n").decode("ascii", "replace").partition(" ")
    return word, rest


def report_of(text: str) -> dict[str, float]:
    """A load report under the names of the routing interface. What cannot be read is left out."""
    report: dict[str, float] = {}
    for part in text.strip().split(","):
        name, equals, value_text = part.partition("=")
        value = finite_number(value_text)
        if equals and value is not None:
            report[report_field(name)] = value
    return report


class LineSplitter:
    """Cuts a stream into lines and tells whether it stands between two of them.

    Memory is bounded: of a line that is too long only the fact remains.

    Attributes:
        part: of the line that has not ended yet.
        overlong: it is too long.
    """

    def __init__(self) -> None:
        self.part = b""
        self.overlong = False

    @property
    def between(self) -> bool:
        """Whether the stream stands between two lines."""
        return not self.part and not self.overlong

    def feed(self, chunk: bytes) -> list[bytes]:
        """Lines that end in this chunk, each with its end."""
        *ended, rest = chunk.split(b"\n")
        lines = []
        for piece in ended:
            line = self.part + piece
            if not self.overlong and len(line) < MAX_LINE:
                lines.append(line + b"\n")
            self.part = b""
            self.overlong = False
        self.part += rest
        if len(self.part) >= MAX_LINE:
            self.part = b""
            self.overlong = True
        return lines
