"""Invariants of a run: the four rules of WIRE, section 13, and the rule of PROTOCOL on lost connections.

The parts of a simulation detect violations. This module counts and records them, each with the events that led to it.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from typing import Any

RULES = {
    "answered": "each request gets one final answer, in time, and nothing is sent after it",
    "repeated": "a request never has two attempts in progress at once",
    "drained": "a server that is draining or gone gets no new attempts after the grace period",
    "cold": "no server is overloaded while it is warming up",
    "cut off": "no open connection is closed without MOVE while its server answers",
}
MAX_RECENT_EVENTS = 4000
MAX_EVENTS_PER_VIOLATION = 12
MAX_RECORDED_VIOLATIONS = 50


@dataclass(slots=True)
class Violation:
    """A recorded violation.

    Attributes:
        balancer_index: -1 if no balancer is involved.
        request_id, server_id: empty if none is involved.
        events: the events that led to the violation, as text.
    """

    rule: str
    at_s: float
    text: str
    balancer_index: int
    request_id: str
    server_id: str
    events: list[str]

    def as_summary(self) -> dict[str, Any]:
        """Returns the entry of `breaches` in `summary.json`."""
        return {
            "rule": self.rule,
            "at_s": self.at_s,
            "text": self.text,
            "balancer": self.balancer_index,
            "request": self.request_id,
            "instance": self.server_id,
            "led": self.events,
        }


@dataclass(slots=True)
class RecentEvent:
    """An event that may lead to a violation."""

    at_us: int
    text: str
    request_id: str
    server_id: str


class InvariantChecker:
    """Counts the violations of a run by rule, and records the first of them in full."""

    def __init__(self, start_us: int) -> None:
        self.start_us = start_us
        self.counts = dict.fromkeys(RULES, 0)
        self.violations: list[Violation] = []
        self.recent_events: deque[RecentEvent] = deque(maxlen=MAX_RECENT_EVENTS)

    def record_event(self, now_us: int, text: str, request_id: str, server_id: str) -> None:
        """Records an event that may lead to a violation."""
        self.recent_events.append(RecentEvent(now_us, text, request_id, server_id))

    def record_violation(
        self, now_us: int, rule: str, text: str, balancer_index: int, request_id: str, server_id: str
    ) -> None:
        """Counts a violation, and records it in full up to `MAX_RECORDED_VIOLATIONS`."""
        self.counts[rule] += 1
        if len(self.violations) >= MAX_RECORDED_VIOLATIONS:
            return
        events = [
            self._format_event(event) for event in self.recent_events if self._concerns(event, request_id, server_id)
        ]
        self.violations.append(
            Violation(
                rule,
                (now_us - self.start_us) / 1e6,
                text,
                balancer_index,
                request_id,
                server_id,
                events[-MAX_EVENTS_PER_VIOLATION:],
            )
        )

    def _format_event(self, event: RecentEvent) -> str:
        seconds = (event.at_us - self.start_us) / 1e6
        return f"{seconds:.6f} {event.text} {event.request_id} {event.server_id}".rstrip()

    @staticmethod
    def _concerns(event: RecentEvent, request_id: str, server_id: str) -> bool:
        if not request_id:
            return event.server_id == server_id
        is_of_server = bool(server_id) and event.server_id == server_id and not event.request_id
        return event.request_id == request_id or is_of_server
