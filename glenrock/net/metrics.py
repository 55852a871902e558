"""Counters of this process. The code where an event happens counts it; the admin interface only reads the counters."""

from __future__ import annotations

import errno
from collections import Counter
from collections.abc import Iterable
from enum import StrEnum


class ConnectionOutcome(StrEnum):
    """How a request was answered. The values are names of metrics.

    Attributes:
        FULFILLED: the connection was established.
        THROTTLED: the request was rejected.
        FAULTED: the request failed.
        LEFT: the client disconnected before it had an answer.
    """

    FULFILLED = "fulfilled"
    THROTTLED = "throttled"
    FAULTED = "faulted"
    LEFT = "left"

    __hash__ = str.__hash__


class FinalAnswerReason(StrEnum):
    """Why a connection got a final answer other than `UP`. The values are labels of the metric `app_rejected`.

    Attributes:
        ADMISSION: routing rejected the request.
        DESCRIPTORS: the descriptor limit allowed no further connection.
        MAILBOX_FULL: the mailbox of the routing actor was full.
        DRAINING: this balancer drains or stops.
        SHED: an idle connection was closed to free its descriptor.
        MALFORMED: the request line was invalid, or the client sent bytes before its answer.
        TIMED_OUT: no complete request line came in time.
        FAILED: routing failed the request.
        NO_DECISION: routing made no decision in time.
    """

    ADMISSION = "admission"
    DESCRIPTORS = "descriptors"
    MAILBOX_FULL = "events"
    DRAINING = "draining"
    SHED = "shed"
    MALFORMED = "unsound"
    TIMED_OUT = "silent"
    FAILED = "failed"
    NO_DECISION = "overdue"

    __hash__ = str.__hash__


class ConnectionMetrics:
    """Counters of connections and system errors since the process started.

    Attributes:
        outcomes: connections by outcome and class; each connection is counted once.
        attempts_written: attempts whose request line was completely written to a server.
        final_answers: connections that got a final answer instead of being established, by reason.
        system_errors: system calls that failed because of this machine, by the name of their errno.
    """

    def __init__(self, classes: Iterable[str]) -> None:
        names = tuple(classes)
        self.outcomes = {outcome: dict.fromkeys(names, 0) for outcome in ConnectionOutcome}
        self.attempts_written = 0
        self.final_answers: Counter[FinalAnswerReason] = Counter()
        self.system_errors: Counter[str] = Counter()

    def add(self, outcome: ConnectionOutcome, class_name: str) -> None:
        """Counts the outcome of a connection."""
        self.outcomes[outcome][class_name] += 1

    def add_system_error(self, error: OSError) -> None:
        """Counts a system call that failed because of this machine."""
        self.system_errors[errno.errorcode.get(error.errno or 0, "unknown")] += 1
