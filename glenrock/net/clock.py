"""The clock of the process: Unix time in milliseconds, as a float, that never goes back.

Routing uses whole microseconds. `us_from_ms` and `ms_from_us` are the only conversions, also for the Unix times of the
endpoint list.
"""

from __future__ import annotations

import asyncio
import heapq
import time
from collections.abc import Callable
from types import TracebackType


def us_from_ms(ms: float) -> int:
    """Returns milliseconds as whole microseconds."""
    return int(ms * 1000)


def ms_from_us(us: int) -> float:
    """Returns microseconds as milliseconds."""
    return us / 1000


def _complete(done: asyncio.Future[None]) -> None:
    if not done.done():
        done.set_result(None)


class Clock:
    """A monotonic clock that starts at Unix time, so that a step of the machine's clock changes no deadline."""

    def __init__(self) -> None:
        self._offset_ms = (time.time() - time.monotonic()) * 1000

    def now_ms(self) -> float:
        """Returns the time in Unix milliseconds."""
        return time.monotonic() * 1000 + self._offset_ms

    def call_at(self, when_ms: float, call: Callable[..., object], *args: object) -> asyncio.Handle:
        """Calls `call` at that time, or at once if the time is past."""
        delay_s = max(0.0, when_ms - self.now_ms()) / 1000
        return asyncio.get_running_loop().call_later(delay_s, call, *args)

    async def sleep(self, ms: float) -> None:
        """Waits for that time by this clock."""
        done: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        handle = self.call_at(self.now_ms() + ms, _complete, done)
        try:
            await done
        finally:
            handle.cancel()

    def time_limit(self, ms: float) -> TimeLimit:
        """Returns a context manager that ends its block after that time."""
        return TimeLimit(self, ms)


class ManualClock(Clock):
    """A clock for tests, which advances only by `advance`."""

    def __init__(self, now_ms: float = 1_000_000.0) -> None:
        self.time_ms = now_ms
        self._scheduled: list[tuple[float, int, asyncio.Handle]] = []
        self._scheduled_count = 0

    def now_ms(self) -> float:
        """Returns the time that was set."""
        return self.time_ms

    def call_at(self, when_ms: float, call: Callable[..., object], *args: object) -> asyncio.Handle:
        """Calls `call` once `advance` has reached that time."""
        handle = asyncio.Handle(call, args, asyncio.get_running_loop())
        self._scheduled_count += 1
        heapq.heappush(self._scheduled, (when_ms, self._scheduled_count, handle))
        return handle

    def advance(self, ms: float) -> None:
        """Advances the clock, and makes the calls that are due, in order."""
        self.time_ms += ms
        while self._scheduled and self._scheduled[0][0] <= self.time_ms:
            handle = heapq.heappop(self._scheduled)[2]
            if not handle.cancelled():
                handle._run()


class TimeLimit:
    """`async with clock.time_limit(ms) as limit:` ends the block after that time; then `limit.has_expired` is true."""

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
        if not self.has_expired and self._task:  # a second cancellation would not be suppressed
            self.has_expired = True
            self._task.cancel()

    async def __aexit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> bool:
        assert self._task is not None and self._handle is not None
        self._handle.cancel()
        # Only the cancellation by `stop` is suppressed, no other one.
        return self.has_expired and self._task.uncancel() == 0 and kind is asyncio.CancelledError
