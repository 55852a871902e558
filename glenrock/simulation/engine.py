"""Simulated time: a heap of what is due, in whole microseconds.

Order at one instant: what was scheduled first runs first. That order depends on nothing but the run itself,
so a run is repeated to the letter. docs/notes/lab.md says what was measured against SimPy.
"""

from __future__ import annotations

from collections.abc import Callable
from heapq import heappop, heappush
from typing import Any, Protocol


class Engine(Protocol):
    """What the model needs of a clock. Times are microseconds; a time that has passed means now."""

    now: int
    events: int

    def at(self, time_us: int, call: Callable[..., None], *given: Any) -> None: ...

    def run(self, until_us: int) -> None: ...


class HeapEngine:
    """The engine in use: tuples of time, number and call in a binary heap."""

    def __init__(self, start_us: int = 0) -> None:
        self.now, self.events = start_us, 0
        self.due: list[tuple[int, int, Callable[..., None], tuple[Any, ...]]] = []
        self.count = 0

    def at(self, time_us: int, call: Callable[..., None], *given: Any) -> None:
        self.count += 1
        heappush(self.due, (time_us if time_us > self.now else self.now, self.count, call, given))

    def run(self, until_us: int) -> None:
        """Runs all that is due up to that time, included; the clock stands there afterwards."""
        due = self.due
        while due and due[0][0] <= until_us:
            self.now, _, call, given = heappop(due)
            self.events += 1
            call(*given)
        self.now = max(self.now, until_us)
