"""Discrete-event simulation: a clock in whole microseconds, and a heap of scheduled calls.

Calls due at the same time run in the order in which they were scheduled, so that runs are reproducible.
"""

from __future__ import annotations

from collections.abc import Callable
from heapq import heappop, heappush
from typing import Any, Protocol

SECOND_US = 1_000_000


class Engine(Protocol):
    """The clock and scheduler of a model.

    Attributes:
        now: the current time, in microseconds.
        events: number of scheduled calls made so far.
    """

    now: int
    events: int

    def at(self, time_us: int, call: Callable[..., None], *arguments: Any) -> None:
        """Schedules a call; with a time in the past, it is due now."""

    def run(self, until_us: int) -> None:
        """Makes all calls that are due at or before `until_us`."""


class HeapEngine:
    """An engine in simulated time, which does not wait between calls; docs/notes/lab.md compares it with SimPy."""

    def __init__(self, start_us: int = 0) -> None:
        self.now, self.events = start_us, 0
        self.scheduled: list[tuple[int, int, Callable[..., None], tuple[Any, ...]]] = []
        self.scheduled_count = 0

    def at(self, time_us: int, call: Callable[..., None], *arguments: Any) -> None:
        """Schedules a call; with a time in the past, it is due now."""
        self.scheduled_count += 1
        heappush(self.scheduled, (time_us if time_us > self.now else self.now, self.scheduled_count, call, arguments))

    def run(self, until_us: int) -> None:
        """Makes all calls that are due at or before `until_us`, and advances the clock to it."""
        due = self.scheduled
        while due and due[0][0] <= until_us:
            self.now, _, call, arguments = heappop(due)
            self.events += 1
            call(*arguments)
        self.now = max(self.now, until_us)
