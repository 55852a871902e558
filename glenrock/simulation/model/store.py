"""The store that servers call at the end of each set-up: a first-come-first-served queue shared by all servers.

A call cannot be cancelled, so the store also serves calls for clients that have disconnected. When many clients time
out and retry together, their retries wait behind their own abandoned calls.
"""

from __future__ import annotations

from ..engine import SECOND_US


class Store:
    """The queue of the store.

    Attributes:
        service_interval_us: time between two calls that it serves; 0: calls are answered at once.
        call_us: additional time of each call, apart from the queue.
        idle_from_us: when the calls made so far have left the queue.
        calls: number of calls made so far.
    """

    def __init__(self, calls_per_s: float, call_us: float) -> None:
        self.service_interval_us = SECOND_US / calls_per_s if calls_per_s > 0 else 0.0
        self.call_us = call_us
        self.idle_from_us = 0.0
        self.calls = 0

    def call(self, now: int) -> int:
        """Makes a call. Returns the time of its answer."""
        self.calls += 1
        if not self.service_interval_us:
            return now
        self.idle_from_us = max(float(now), self.idle_from_us) + self.service_interval_us
        return round(self.idle_from_us + self.call_us)
