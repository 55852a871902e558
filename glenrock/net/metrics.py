"""Counters of what this process has done, kept where it happens. Whoever shows them only reads."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Literal

ConnectionOutcome = Literal["fulfilled", "throttled", "faulted", "left"]
OUTCOMES: tuple[ConnectionOutcome, ...] = ("fulfilled", "throttled", "faulted", "left")


class ConnectionMetrics:
    """All from 0 at the start of the process.

    Attributes:
        outcomes: connections by outcome and class, each counted once: brought up, rejected, failed, or gone before an
            answer.
        relayed: attempts written whole to servers.
    """

    def __init__(self, classes: Iterable[str]) -> None:
        names = tuple(classes)
        self.outcomes = {outcome: dict.fromkeys(names, 0) for outcome in OUTCOMES}
        self.relayed = 0

    def add(self, outcome: ConnectionOutcome, class_name: str) -> None:
        """Counts a connection."""
        self.outcomes[outcome][class_name] += 1
