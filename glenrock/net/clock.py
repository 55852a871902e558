"""The one clock: Unix time in milliseconds, as a float. It only advances.

The decision module counts whole microseconds. `micros` and `millis` are the only conversions; Unix
milliseconds of the name table go through `micros` too, since this clock shows Unix time.
"""

from __future__ import annotations

import asyncio
import heapq
import time
from collections.abc import Callable


def micros(ms: float) -> int:
    return int(ms * 1000)


def millis(us: int) -> float:
    return us / 1000


class Clock:
    """Anchored to Unix time once, so that a step of the machine's clock moves no deadline."""

    def __init__(self) -> None:
        self.offset = (time.time() - time.monotonic()) * 1000

    def now(self) -> float:
        return time.monotonic() * 1000 + self.offset

    def call_at(self, when: float, call: Callable[..., object], *args: object) -> asyncio.TimerHandle:
        return asyncio.get_running_loop().call_later(max(0.0, when - self.now()) / 1000, call, *args)

    async def sleep(self, ms: float) -> None:
        done = asyncio.get_running_loop().create_future()
        handle = self.call_at(self.now() + ms, lambda: done.done() or done.set_result(None))
        try:
            await done
        finally:
            handle.cancel()

    def limit(self, ms: float) -> Limit:
        return Limit(self, ms)


class SetClock(Clock):
    """A clock that stands still until a test advances it."""

    def __init__(self, now: float = 1_000_000.0) -> None:
        self.time = now
        self.due: list[tuple[float, int, asyncio.Handle]] = []
        self.count = 0

    def now(self) -> float:
        return self.time

    def call_at(self, when: float, call: Callable[..., object], *args: object) -> asyncio.Handle:
        handle = asyncio.Handle(call, args, asyncio.get_running_loop())
        self.count += 1
        heapq.heappush(self.due, (when, self.count, handle))
        return handle

    def advance(self, ms: float) -> None:
        self.time += ms
        while self.due and self.due[0][0] <= self.time:
            handle = heapq.heappop(self.due)[2]
            if not handle.cancelled():
                handle._run()


class Limit:
    """`async with clock.limit(ms) as limit:` stops the block after that time; `limit.over` tells."""

    def __init__(self, clock: Clock, ms: float) -> None:
        self.clock, self.ms, self.over = clock, ms, False

    async def __aenter__(self) -> Limit:
        self.task = asyncio.current_task()
        self.handle = self.clock.call_at(self.clock.now() + self.ms, self.stop)
        return self

    def stop(self) -> None:
        if not self.over:  # a second cancellation would get through
            self.over = True
            self.task.cancel()

    async def __aexit__(self, kind: type | None, *rest: object) -> bool:
        self.handle.cancel()
        # Someone else's cancellation must get through: only our own is swallowed.
        return self.over and self.task.uncancel() == 0 and kind is asyncio.CancelledError
