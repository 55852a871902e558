"""The simulation's engine on the event loop's clock, so that its model of servers runs in real time."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

from .history import US_PER_S


class RealTimeEngine:
    """Calls functions at points in time, in microseconds from the beginning of the run.

    Attributes:
        origin_s: the beginning of the run, on the loop's clock.
        measured_from_us: when the measured part of the run began; 0 before.
        events: calls so far.
        is_closed: no further call is made.
    """

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()
        self.origin_s = self._loop.time()
        self.measured_from_us = 0
        self.events = 0
        self.is_closed = False

    @property
    def now(self) -> int:
        """Microseconds from the beginning of the run."""
        return round((self._loop.time() - self.origin_s) * US_PER_S)

    def loop_time_s(self, at_us: int) -> float:
        """Returns a time of the measured part of the run on the loop's clock."""
        return self.origin_s + (self.measured_from_us + at_us) / US_PER_S

    def at(self, time_us: int, call: Callable[..., None], *arguments: Any) -> None:
        """Calls a function at a time of the run."""
        self._loop.call_at(self.origin_s + time_us / US_PER_S, self._run_call, call, arguments)

    def _run_call(self, call: Callable[..., None], arguments: tuple[Any, ...]) -> None:
        self.events += 1
        if not self.is_closed:
            call(*arguments)

    def run(self, until_us: int) -> None:
        """Is not available: the loop runs by itself.

        Raises:
            NotImplementedError: always.
        """
        raise NotImplementedError("the loop runs by itself")
