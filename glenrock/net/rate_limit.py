"""Limits how often something is done for one peer. Performs no I/O, and reads no clock."""

from __future__ import annotations


class RateLimit:
    """Allows a burst at once, and then one event in each interval.

    Args:
        interval_ms: the mean time between two events of a peer that never pauses.
        burst: the number of events that a peer may use up at once after a pause.
    """

    def __init__(self, interval_ms: float, burst: int = 1) -> None:
        self._interval_ms = interval_ms
        self._burst_ms = (burst - 1) * interval_ms
        self._used_until_ms = 0.0  # the time up to which all intervals are used up

    def delay_ms(self, now_ms: float) -> float:
        """Returns how long the next event must wait; 0 if it may happen now."""
        return max(0.0, self._used_until_ms - self._burst_ms - now_ms)

    def reserve(self, now_ms: float) -> float:
        """Records an event that happens as soon as it may, and returns how long it must wait."""
        delay_ms = self.delay_ms(now_ms)
        self.record(now_ms)
        return delay_ms

    def record(self, now_ms: float) -> None:
        """Records an event."""
        self._used_until_ms = max(self._used_until_ms, now_ms) + self._interval_ms
