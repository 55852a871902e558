"""The batch of events that is being handled: its time, the resulting actions, and pending timers."""

from __future__ import annotations

from dataclasses import dataclass

from .interface import Action, SetTimer

SECOND_US = 1_000_000
ROUND_US = SECOND_US // 2
"""Interval of the round, the periodic work: load cap, quotas, migration, health checks, gossip."""

NEVER_US = -(1 << 40)
"""A time before all others, which stands for an event that has not happened yet."""


@dataclass(frozen=True, slots=True)
class IgnoredSummary:
    """A gossip summary that was ignored, with the reason."""

    peer_index: int
    reason: str


@dataclass(slots=True)
class RoundTimer:
    """The next round is due."""


@dataclass(slots=True)
class RequestTimer:
    """A request is near its deadline, or its wait for health checks is over."""

    request_id: str


Timer = RoundTimer | RequestTimer


class EventBatch:
    """State that all modules of routing share while a batch is handled.

    Attributes:
        now_us: time of the batch; 0 before the first one.
        actions: actions for the caller, in order.
        ignored_summaries: gossip summaries of the batch that were ignored; the caller logs them.
        timers: pending timers, by timer id.
    """

    __slots__ = ("_next_timer_id", "actions", "ignored_summaries", "now_us", "timers")

    def __init__(self) -> None:
        self.now_us = 0
        self.actions: list[Action] = []
        self.ignored_summaries: list[IgnoredSummary] = []
        self.timers: dict[int, Timer] = {}
        self._next_timer_id = 1

    def begin(self, now_us: int) -> None:
        """Starts a batch with the time `now_us`, without actions."""
        self.now_us = now_us
        self.actions = []
        self.ignored_summaries = []

    def emit(self, action: Action) -> None:
        """Adds an action for the caller."""
        self.actions.append(action)

    def set_timer(self, at_us: int, timer: Timer) -> None:
        """Requests a timer that expires at `at_us`; `pop_timer` then returns it."""
        self.timers[self._next_timer_id] = timer
        self.emit(SetTimer(at_us, self._next_timer_id))
        self._next_timer_id += 1

    def pop_timer(self, timer_id: int) -> Timer | None:
        """Removes and returns the timer with that id; None if it was not set or has already fired."""
        return self.timers.pop(timer_id, None)
