"""The store that every attempt asks: one queue, first come first served, for all servers together.

A call cannot be withdrawn, so the store also serves calls of clients that have disconnected. Clients that give up and
retry together wait behind their own abandoned calls.
"""

from __future__ import annotations

from ..engine import SECOND_US


class Store:
    """The queue of the store.

    Attributes:
        service_interval_us: between two calls that it serves; 0: no call waits.
        call_us: time of a call in an empty queue.
        idle_from_us: when the queue is empty.
        calls: number of calls made.
    """

    def __init__(self, calls_per_s: float, call_us: float) -> None:
        self.service_interval_us = SECOND_US / calls_per_s if calls_per_s > 0 else 0.0
        self.call_us = call_us
        self.idle_from_us = 0.0
        self.calls = 0

    def call(self, now: int) -> int:
        """Makes a call. Returns when it is answered."""
        self.calls += 1
        if not self.service_interval_us:
            return now
        self.idle_from_us = max(float(now), self.idle_from_us) + self.service_interval_us
        return round(self.idle_from_us + self.call_us)
