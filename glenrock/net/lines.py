"""Lines of the protocol, parsed and built. No I/O."""

from __future__ import annotations

from dataclasses import dataclass, field
from math import isfinite

from wheatrouter.settings import report_name

LONGEST = 4096  # a line with its end
PING, STATS, PONG, MOVE, FAILED = b"PING\r\n", b"STATS\r\n", b"PONG\r\n", b"MOVE\r\n", b"ERR\r\n"
KEY_MASK = (1 << 64) - 1


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


def parse_open(line: bytes) -> Open | None:
    """None for anything that is not a whole, sound OPEN line."""
    try:
        word, id_, key, rest = line.rstrip(b"\r\n").decode("ascii").split(" ")
        fields = dict(part.split("=", 1) for part in rest.split(","))
        out = Open(id_, int(key, 16) & KEY_MASK, fields, line)
        sound = (word == "OPEN" and id_ and "c" in fields and 0 <= out.wait_ms < 1e9
                 and ("d" in fields or "at" in fields) and 0 <= out.load < 1 << 62
                 and (out.group is None or out.group >= 0))
    except (ValueError, OverflowError):
        return None
    return out if sound else None


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
    return {report_name(name): value for name, _, text in pairs if (value := number(text)) is not None}


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
