"""Results of an attempt: what ended it, and how far it had come. Together they give the outcome for routing."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum, IntEnum

from glenrock.routing.interface import NOT_EXECUTED_OUTCOMES, AttemptOutcome


class AttemptProgress(IntEnum):
    """How far an attempt has come.

    Attributes:
        NOT_CONNECTED: the connection to the server is not open.
        PARTLY_WRITTEN: connected, but the request line is not completely written.
        WRITTEN: the request line is written, or may be.
        ESTABLISHED: the server has accepted the request.
    """

    NOT_CONNECTED = 0
    PARTLY_WRITTEN = 1
    WRITTEN = 2
    ESTABLISHED = 3


class AttemptEnd(Enum):
    """What ended an attempt.

    Attributes:
        ESTABLISHED: the server accepted the request.
        SERVED: the server has served the request already.
        MIGRATED: the server asked the client to open a new connection.
        ERROR: the server failed the request, or its answer was not understood.
        REJECTED: the server rejected the request.
        BROKEN: the connection was refused, reset or closed without an answer.
        NO_ANSWER: no answer came in time.
        CANCELLED: routing cancelled the attempt, or the client left.
        NOT_SENT: the server is draining or not listed, or the connection failed because of this machine.
    """

    ESTABLISHED = "established"
    SERVED = "served"
    MIGRATED = "migrated"
    ERROR = "error"
    REJECTED = "rejected"
    BROKEN = "broken"
    NO_ANSWER = "no answer"
    CANCELLED = "cancelled"
    NOT_SENT = "not sent"


OUTCOME_BY_END = {
    AttemptEnd.SERVED: AttemptOutcome.SERVED,
    AttemptEnd.MIGRATED: AttemptOutcome.CANCELLED,
    AttemptEnd.ERROR: AttemptOutcome.ERROR,
    AttemptEnd.REJECTED: AttemptOutcome.FULL,
    AttemptEnd.CANCELLED: AttemptOutcome.CANCELLED,
    AttemptEnd.NOT_SENT: AttemptOutcome.UNSENT,
}
"""The outcomes that do not depend on the progress of the attempt."""


@dataclass(frozen=True)
class AttemptResult:
    """How an attempt ended, with the load report that came with the server's answer."""

    end: AttemptEnd
    progress: AttemptProgress
    report: dict[str, float] = field(default_factory=dict)

    @property
    def may_have_run(self) -> bool:
        """Whether the server may have run the request, or may yet. A write that was cancelled may have been whole."""
        return self.progress > AttemptProgress.NOT_CONNECTED and self.outcome not in NOT_EXECUTED_OUTCOMES

    @property
    def outcome(self) -> AttemptOutcome:
        """The outcome for routing."""
        if self.end in OUTCOME_BY_END:
            return OUTCOME_BY_END[self.end]
        if self.progress < AttemptProgress.WRITTEN:
            return AttemptOutcome.NO_CONNECTION  # not executed: a server acts only on a complete line
        if self.end is AttemptEnd.NO_ANSWER and self.progress < AttemptProgress.ESTABLISHED:
            return AttemptOutcome.TIMEOUT
        return AttemptOutcome.BROKEN
