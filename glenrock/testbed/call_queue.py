"""The calls of a discovery service that serves one at a time."""

from __future__ import annotations

import asyncio


class CallQueue:
    """The queue of a service that serves one call at a time, and takes some time for each.

    Attributes:
        call_s: time of a call.
        slow_call_s: the same while the service is slow; 0 while it is not.
        calls: made so far.
        longest: the most calls that waited or were served at a time.
    """

    def __init__(self, call_s: float, timeout_s: float) -> None:
        self.call_s = call_s
        self.slow_call_s = 0.0
        self.calls = 0
        self.longest = 0
        self._timeout_s = timeout_s
        self._waiting = 0
        self._is_serving = asyncio.Lock()
        self._served: set[asyncio.Task[None]] = set()

    async def wait_turn(self) -> bool:
        """Waits until the call is served. Returns False if it has not begun in time; the call stays queued."""
        has_begun = asyncio.Event()
        self.calls += 1
        self._waiting += 1
        self.longest = max(self.longest, self._waiting)
        task = asyncio.get_running_loop().create_task(self._serve(has_begun))
        self._served.add(task)
        task.add_done_callback(self._served.discard)
        try:
            await asyncio.wait_for(has_begun.wait(), self._timeout_s)
        except TimeoutError:
            return False
        await asyncio.shield(task)
        return True

    async def _serve(self, has_begun: asyncio.Event) -> None:
        async with self._is_serving:
            has_begun.set()
            await asyncio.sleep(self.slow_call_s or self.call_s)
            self._waiting -= 1

    def close(self) -> None:
        """Ends all calls."""
        for task in self._served:
            task.cancel()
