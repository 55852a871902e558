"""The batch of events that is being handled: its time, the actions it leads to, and timers that are out."""

from __future__ import annotations

from .interface import Action, SetTimer

SECOND_US = 1_000_000
ROUND_US = SECOND_US // 2
"""Interval of the periodic work: cap, quotas, migration, health checks, gossip."""

LONG_AGO_US = -(1 << 40)
"""A time before all others, for what has not happened yet."""


class Turn:
    """What all parts share while a batch is handled.

    Attributes:
        now_us: the batch's time; 0 before the first one.
        actions: what the caller has to do, in order.
        warnings: what the batch brought that was left aside, a line each, for the log.
    """

    __slots__ = ("_next_timer", "actions", "now_us", "timers", "warnings")

    def __init__(self) -> None:
        self.now_us = 0
        self.actions: list[Action] = []
        self.warnings: list[str] = []
        self.timers: dict[int, str] = {}
        self._next_timer = 1

    def begin(self, now_us: int) -> None:
        """Starts a batch."""
        self.now_us = now_us
        self.actions = []
        self.warnings = []

    def emit(self, action: Action) -> None:
        """Adds an action."""
        self.actions.append(action)

    def set_timer(self, at_us: int, purpose: str) -> None:
        """Asks for a timer. `purpose` is handed back by `take_timer` once it fires."""
        self.timers[self._next_timer] = purpose
        self.emit(SetTimer(at_us, self._next_timer))
        self._next_timer += 1

    def take_timer(self, ref: int) -> str | None:
        """What that timer was for; None for one that was never set or has fired before."""
        return self.timers.pop(ref, None)
