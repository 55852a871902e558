"""Lines of the protocol, parsed and built. No I/O."""

from __future__ import annotations

import re
from dataclasses import dataclass, field
from math import isfinite

from glenrock.routing.settings_codec import report_field

LONGEST = 4096  # a line with its end
PING, STATS, PONG, MOVE, FAILED = b"PING\r\n", b"STATS\r\n", b"PONG\r\n", b"MOVE\r\n", b"ERR\r\n"


@dataclass(frozen=True)
class Known:
    """What a sound OPEN may name."""

    classes: dict[str, float]  # each with the longest time that one of its clients may wait, in milliseconds
    tenants: frozenset[str] = frozenset()


@dataclass(frozen=True)
class Open:
    id: str
    key: int
    fields: dict[str, str] = field(default_factory=dict)
    line: bytes = b""

    @property
    def wait_ms(self) -> float:
        return float(self.fields.get("d", "0"))

    @property
    def group(self) -> int | None:
        return int(self.fields["g"], 16) if "g" in self.fields else None

    @property
    def load(self) -> int:
        return int(float(self.fields.get("h", "0")))


# Python's own int() and float() would also take signs, underscores, blanks, NaN and infinity.
OPEN = re.compile(rb"OPEN ([0-9A-Za-z._-]{1,64}) ([0-9A-Fa-f]{1,16}) ([!-~]+)\r\n")
FIELD = re.compile(r"([A-Za-z][A-Za-z0-9_]*)=([^=]+)")
HEX = re.compile(r"[0-9A-Fa-f]{1,16}")
NUMBER = re.compile(r"[0-9]{1,15}(\.[0-9]{1,15})?")
FORMS = {"g": HEX, "d": NUMBER, "h": NUMBER, "r": re.compile("[01]"), "again": re.compile("[01]")}


def parse_open(data: bytes, known: Known) -> Open | str:
    """What the client opens with, or what is wrong with it. Nothing unsound may reach an instance: it closes
    on what it can't read, and what it makes of the rest would be passed on as if it had run."""
    found = OPEN.fullmatch(data)
    if found is None:
        whole, _, more = data.partition(b"\r\n")
        return "bytes before the answer" if more and OPEN.fullmatch(whole + b"\r\n") else "not an OPEN line"
    if len(data) > LONGEST:
        return "too long"
    pairs = [FIELD.fullmatch(part) for part in found[3].decode("ascii").split(",")]
    if not all(pairs):
        return "a field that is not NAME=VALUE"
    fields = {pair[1]: pair[2] for pair in pairs}
    if len(fields) < len(pairs):
        return "a field twice"
    for name, form in FORMS.items():
        if name in fields and not form.fullmatch(fields[name]):
            return f"{name} out of form"
    if fields.get("c") not in known.classes:
        return "no class that is known"
    if known.tenants and fields.get("t") not in known.tenants:
        return "no tenant that is known"
    if "d" not in fields and "at" not in fields:
        return "no d"
    out = Open(found[1].decode(), int(found[2], 16), fields, data)
    # A connection that stood before this balancer did waits as long as it takes.
    return "d too long" if "at" not in fields and out.wait_ms > known.classes[fields["c"]] else out


def with_wait(line: bytes, ms: float) -> bytes:
    """The client's line with another `d`, and otherwise as it was."""
    head, space, rest = line.rstrip(b"\r\n").rpartition(b" ")
    parts = [b"d=%d" % max(1, int(ms)) if p.startswith(b"d=") else p for p in rest.split(b",")]
    return head + space + b",".join(parts) + b"\r\n"


def nack(ms: float) -> bytes:
    return b"BUSY %d\r\n" % ms if ms >= 1 else b"BUSY\r\n"


def number(text: str) -> float | None:
    try:
        value = float(text)
    except ValueError:
        return None
    return value if isfinite(value) else None


def words(line: bytes) -> tuple[str, str]:
    """The first word and the rest; junk bytes become replacement characters."""
    word, _, rest = line.rstrip(b"\r\n").decode("ascii", "replace").partition(" ")
    return word, rest


def report_of(text: str) -> dict[str, float]:
    """A load report under the module's names. What cannot be read is left out."""
    pairs = (part.partition("=") for part in text.strip().split(",") if "=" in part)
    return {report_field(name): value for name, _, text in pairs if (value := number(text)) is not None}


class Splitter:
    """Cuts a stream into lines and tells whether it stands between two of them. Memory is bounded: of a line
    that is too long only the fact remains."""

    def __init__(self) -> None:
        self.part, self.overlong = b"", False

    @property
    def between(self) -> bool:
        return not self.part and not self.overlong

    def feed(self, chunk: bytes) -> list[bytes]:
        *whole, rest = chunk.split(b"\n")
        out = []
        for piece in whole:
            line = self.part + piece
            if not self.overlong and len(line) < LONGEST:
                out.append(line + b"\n")
            self.part, self.overlong = b"", False
        self.part += rest
        if len(self.part) >= LONGEST:
            self.part, self.overlong = b"", True
        return out
