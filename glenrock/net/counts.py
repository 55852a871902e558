"""Counters of what this process has done, kept where it happens. Whoever shows them only reads."""

from __future__ import annotations

from collections.abc import Iterable

OUTCOMES = ("fulfilled", "throttled", "faulted", "left")


class Counts:
    """Connections by outcome and class, each counted once: brought up, refused, failed, or gone before an answer.
    Attempts written whole to instances. All from 0 at the start of the process."""

    def __init__(self, classes: Iterable[str]) -> None:
        names = tuple(classes)
        self.outcomes = {outcome: dict.fromkeys(names, 0) for outcome in OUTCOMES}
        self.relayed = 0

    def add(self, outcome: str, class_: str) -> None:
        self.outcomes[outcome][class_] += 1
