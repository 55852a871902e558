"""Ends of an attempt, as values: what ended it and how far it had come. Together they pick the routing outcome."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum, IntEnum

from glenrock.routing.interface import AttemptOutcome


class Reach(IntEnum):
    """How far an attempt has come. PARTLY_WRITTEN: connected, the last byte of the line not out."""

    NOT_CONNECTED = 0
    PARTLY_WRITTEN = 1
    WRITTEN = 2
    UP = 3


class AttemptEnd(Enum):
    """What ended an attempt.

    BROKEN: refused, reset or ended without a word. SILENT: nothing came in time. WITHDRAWN: by the routing decisions,
        or the client left. NOT_SENT: the server drains or is gone.
    """

    UP = "up"
    BYE = "bye"
    MOVED = "moved"
    ERROR = "error"
    BUSY = "busy"
    BROKEN = "broken"
    SILENT = "silent"
    WITHDRAWN = "withdrawn"
    NOT_SENT = "not sent"


OUTCOMES: dict[AttemptEnd, AttemptOutcome] = {
    AttemptEnd.BYE: AttemptOutcome.SERVED,
    AttemptEnd.MOVED: AttemptOutcome.CANCELLED,
    AttemptEnd.ERROR: AttemptOutcome.ERROR,
    AttemptEnd.BUSY: AttemptOutcome.FULL,
    AttemptEnd.WITHDRAWN: AttemptOutcome.CANCELLED,
    AttemptEnd.NOT_SENT: AttemptOutcome.UNSENT,
}


@dataclass(frozen=True)
class AttemptResult:
    """How an attempt ended, with the load report that came with it."""

    end: AttemptEnd
    reach: Reach
    report: dict[str, float] = field(default_factory=dict)

    @property
    def outcome(self) -> AttemptOutcome:
        """What the routing decisions are told."""
        if self.end in OUTCOMES:
            return OUTCOMES[self.end]
        if self.reach < Reach.WRITTEN:
            return AttemptOutcome.NO_CONNECTION  # never ran: the server counts a line from its last byte
        return (
            AttemptOutcome.TIMEOUT if self.end is AttemptEnd.SILENT and self.reach < Reach.UP else AttemptOutcome.BROKEN
        )
