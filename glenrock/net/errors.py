"""Ends of an execution, as values: what ended it and how far it had come. Together they pick the verdict."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum, IntEnum


class Reach(IntEnum):
    NOT_CONNECTED = 0
    PARTLY_WRITTEN = 1  # connected, the last byte of the line not out
    WRITTEN = 2
    UP = 3


class End(Enum):
    UP = "up"
    BYE = "bye"
    MOVED = "moved"
    ERROR = "error"
    NACK = "nack"
    BROKEN = "broken"  # refused, reset or ended without a word
    SILENT = "silent"  # nothing came in time
    WITHDRAWN = "withdrawn"  # by the module, or the client left
    NOT_SENT = "not sent"  # the instance drains or is gone


VERDICTS = {End.BYE: "served", End.MOVED: "cancelled", End.ERROR: "error", End.NACK: "full",
            End.WITHDRAWN: "cancelled", End.NOT_SENT: "unsent"}


@dataclass(frozen=True)
class Outcome:
    end: End
    reach: Reach
    report: dict[str, float] = field(default_factory=dict)

    @property
    def verdict(self) -> str:
        if self.end in VERDICTS:
            return VERDICTS[self.end]
        if self.reach < Reach.WRITTEN:
            return "no_connection"  # never ran: the instance counts a line from its last byte
        return "timeout" if self.end is End.SILENT and self.reach < Reach.UP else "broken"
