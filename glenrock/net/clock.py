"""The clock of the process: monotonic Unix time in milliseconds, as a float.

Routing uses whole microseconds. All conversions between both, including those of Unix times in the endpoint list, are
made by `us_from_ms` and `ms_from_us`.
"""

from __future__ import annotations

import asyncio
import heapq
import time
from collections.abc import Callable
from types import TracebackType


def us_from_ms(ms: float) -> int:
    """Converts milliseconds to microseconds, rounded toward zero."""
    return int(ms * 1000)


def ms_from_us(us: int) -> float:
    """Converts microseconds to milliseconds."""
    return us / 1000


def _complete(done: asyncio.Future[None]) -> None:
    if not done.done():
        done.set_result(None)


class Clock:
    """A monotonic clock that starts at the Unix time, so that a step of the wall clock changes no deadline."""

    def __init__(self) -> None:
        self._offset_ms = (time.time() - time.monotonic()) * 1000

    def now_ms(self) -> float:
        """Returns the time in Unix milliseconds."""
        return time.monotonic() * 1000 + self._offset_ms

    def to_machine_ms(self, at_ms: float) -> float:
        """Converts a time of this clock to CLOCK_MONOTONIC in milliseconds, which all processes of a machine share."""
        return at_ms - self._offset_ms

    def from_machine_ms(self, machine_ms: float) -> float:
        """Converts a time of CLOCK_MONOTONIC in milliseconds to a time of this clock."""
        return machine_ms + self._offset_ms

    def call_at(self, when_ms: float, callback: Callable[..., object], *args: object) -> asyncio.Handle:
        """Schedules a call of `callback` at a time of this clock, or as soon as possible if the time has passed."""
        delay_s = max(0.0, when_ms - self.now_ms()) / 1000
        return asyncio.get_running_loop().call_later(delay_s, callback, *args)

    async def sleep(self, ms: float) -> None:
        """Waits for a duration on this clock."""
        done: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        handle = self.call_at(self.now_ms() + ms, _complete, done)
        try:
            await done
        finally:
            handle.cancel()

    def time_limit(self, ms: float) -> TimeLimit:
        """Returns a context manager that ends its block after a duration on this clock."""
        return TimeLimit(self, ms)


class ManualClock(Clock):
    """A clock for tests, which is advanced only by `advance`."""

    def __init__(self, now_ms: float = 1_000_000.0, offset_ms: float = 0.0) -> None:
        self.time_ms = now_ms
        self._offset_ms = offset_ms
        self._scheduled: list[tuple[float, int, asyncio.Handle]] = []
        self._scheduled_count = 0

    def now_ms(self) -> float:
        """Returns the time to which the clock has been advanced."""
        return self.time_ms

    def call_at(self, when_ms: float, callback: Callable[..., object], *args: object) -> asyncio.Handle:
        """Schedules a call of `callback`, which `advance` makes once it reaches that time."""
        handle = asyncio.Handle(callback, args, asyncio.get_running_loop())
        self._scheduled_count += 1
        heapq.heappush(self._scheduled, (when_ms, self._scheduled_count, handle))
        return handle

    def advance(self, ms: float) -> None:
        """Advances the clock, and makes the calls that are due in the order of their times."""
        self.time_ms += ms
        while self._scheduled and self._scheduled[0][0] <= self.time_ms:
            handle = heapq.heappop(self._scheduled)[2]
            if not handle.cancelled():
                handle._run()


class TimeLimit:
    """A context manager that ends its block after a duration.

    The block is cancelled at its current `await`, and execution continues after the `async with` statement:

        async with clock.time_limit(ms) as limit:
            result = await read()
        if limit.has_expired:
            ...

    Attributes:
        has_expired: whether the block was ended by the time limit or by `expire`.
    """

    def __init__(self, clock: Clock, ms: float) -> None:
        self.has_expired = False
        self._clock = clock
        self._ms = ms
        self._task: asyncio.Task[object] | None = None
        self._handle: asyncio.Handle | None = None

    async def __aenter__(self) -> TimeLimit:
        self._task = asyncio.current_task()
        self._handle = self._clock.call_at(self._clock.now_ms() + self._ms, self.expire)
        return self

    def expire(self) -> None:
        """Ends the block now."""
        if not self.has_expired and self._task:  # only one cancellation is suppressed at the end of the block
            self.has_expired = True
            self._task.cancel()

    async def __aexit__(
        self, exc_type: type[BaseException] | None, exc: BaseException | None, traceback: TracebackType | None
    ) -> bool:
        assert self._task is not None and self._handle is not None
        self._handle.cancel()
        # Only the cancellation by `expire` is suppressed, not one by another caller.
        return self.has_expired and self._task.uncancel() == 0 and exc_type is asyncio.CancelledError
