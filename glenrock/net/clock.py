"""The one clock: Unix time in milliseconds, as a float. It only advances.

The routing decisions count whole microseconds. `micros` and `millis` are the only conversions; Unix milliseconds of the
endpoint list go through `micros` too, since this clock shows Unix time.
"""

from __future__ import annotations

import asyncio
import heapq
import time
from collections.abc import Callable
from types import TracebackType


def micros(ms: float) -> int:
    """Whole microseconds."""
    return int(ms * 1000)


def millis(us: int) -> float:
    """Milliseconds."""
    return us / 1000


def _finish(done: asyncio.Future[None]) -> None:
    if not done.done():
        done.set_result(None)


class Clock:
    """Anchored to Unix time once, so that a step of the machine's clock moves no deadline."""

    def __init__(self) -> None:
        self._offset_ms = (time.time() - time.monotonic()) * 1000

    def now(self) -> float:
        """Unix time in milliseconds."""
        return time.monotonic() * 1000 + self._offset_ms

    def call_at(self, when_ms: float, call: Callable[..., object], *args: object) -> asyncio.Handle:
        """Calls at that time, or as soon as it can be if that is over."""
        delay_s = max(0.0, when_ms - self.now()) / 1000
        return asyncio.get_running_loop().call_later(delay_s, call, *args)

    async def sleep(self, ms: float) -> None:
        """Waits so long by this clock."""
        done: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        handle = self.call_at(self.now() + ms, _finish, done)
        try:
            await done
        finally:
            handle.cancel()

    def limit(self, ms: float) -> Limit:
        """A context that stops its block after that time."""
        return Limit(self, ms)


class SetClock(Clock):
    """A clock that stands still until a test advances it."""

    def __init__(self, now: float = 1_000_000.0) -> None:
        self.time = now
        self._due: list[tuple[float, int, asyncio.Handle]] = []
        self._count = 0

    def now(self) -> float:
        """The time that was set."""
        return self.time

    def call_at(self, when_ms: float, call: Callable[..., object], *args: object) -> asyncio.Handle:
        """Calls once `advance` has come that far."""
        handle = asyncio.Handle(call, args, asyncio.get_running_loop())
        self._count += 1
        heapq.heappush(self._due, (when_ms, self._count, handle))
        return handle

    def advance(self, ms: float) -> None:
        """Lets time pass; what is due is called, in order."""
        self.time += ms
        while self._due and self._due[0][0] <= self.time:
            handle = heapq.heappop(self._due)[2]
            if not handle.cancelled():
                handle._run()


class Limit:
    """`async with clock.limit(ms) as limit:` stops the block after that time; `limit.over` tells."""

    def __init__(self, clock: Clock, ms: float) -> None:
        self.over = False
        self._clock = clock
        self._ms = ms
        self._task: asyncio.Task[object] | None = None
        self._handle: asyncio.Handle | None = None

    async def __aenter__(self) -> Limit:
        self._task = asyncio.current_task()
        self._handle = self._clock.call_at(self._clock.now() + self._ms, self.stop)
        return self

    def stop(self) -> None:
        """Stops the block now."""
        if not self.over and self._task:  # a second cancellation would get through
            self.over = True
            self._task.cancel()

    async def __aexit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> bool:
        assert self._task is not None and self._handle is not None
        self._handle.cancel()
        # Someone else's cancellation must get through: only our own is swallowed.
        return self.over and self._task.uncancel() == 0 and kind is asyncio.CancelledError
