"""The store that every set-up asks: one line, first come first served, for all instances together.

It works for callers who have left, too: a call cannot be taken back. So a wave that gives up and comes again finds
its own dead calls before it.
"""

from __future__ import annotations

S = 1_000_000


class Store:
    """`per_s` calls a second, 0 for one that nobody waits at; `base_us` is what a call takes in an empty line."""

    def __init__(self, per_s: float, base_us: float) -> None:
        self.each = S / per_s if per_s > 0 else 0.0
        self.base = base_us
        self.free = 0.0  # when the line is empty
        self.calls = 0

    def call(self, now: int) -> int:
        """When a call made now is answered."""
        self.calls += 1
        if not self.each:
            return now
        self.free = max(float(now), self.free) + self.each
        return round(self.free + self.base)
