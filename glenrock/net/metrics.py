"""Counters of what this process has done, kept where it happens. Whoever shows them only reads."""

from __future__ import annotations

import errno
from collections import Counter
from collections.abc import Iterable
from typing import Literal

ConnectionOutcome = Literal["fulfilled", "throttled", "faulted", "left"]
OUTCOMES: tuple[ConnectionOutcome, ...] = ("fulfilled", "throttled", "faulted", "left")

RejectReason = Literal[
    "admission", "descriptors", "events", "draining", "shed", "unsound", "silent", "failed", "overdue"
]
"""Why a connection had another answer than UP.

admission: the routing decisions refused it. descriptors: no room for a relay. events: the routing actor's mailbox was
full. draining: clients are sent away, or the process ends. shed: it had no request, and others needed its place.
unsound: its first line. silent: no whole first line in time. failed: the decisions failed it. overdue: they did not
answer in time.
"""


class ConnectionMetrics:
    """All from 0 at the start of the process.

    Attributes:
        outcomes: connections by outcome and class, each counted once: brought up, rejected, failed, or gone before an
            answer.
        relayed: attempts written whole to servers.
        rejected: connections with another answer than UP, by reason.
        system_errors: failed calls of this machine, by the name of their errno.
    """

    def __init__(self, classes: Iterable[str]) -> None:
        names = tuple(classes)
        self.outcomes = {outcome: dict.fromkeys(names, 0) for outcome in OUTCOMES}
        self.relayed = 0
        self.rejected: Counter[RejectReason] = Counter()
        self.system_errors: Counter[str] = Counter()

    def add(self, outcome: ConnectionOutcome, class_name: str) -> None:
        """Counts a connection."""
        self.outcomes[outcome][class_name] += 1

    def add_system_error(self, error: OSError) -> None:
        """Counts a call that failed for this machine's own reasons."""
        self.system_errors[errno.errorcode.get(error.errno or 0, "unknown")] += 1
