"""The history of a scenario's run: what each party did, and the faults that were on. Pure but for its clock."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any

US_PER_S = 1_000_000
OPEN_END_US = 1 << 62  # of a fault that has not ended
TESTBED = "stage"  # the party that injects faults, in history.txt


class EventKind(StrEnum):
    """Kinds of events. The values are the words of `history.txt`."""

    __hash__ = str.__hash__

    SENT = "sent"
    ANSWERED = "answered"
    CLOSED_UNANSWERED = "closed"
    GAVE_UP = "silent"
    LEFT = "left"
    CONNECTION_ENDED = "ended"
    ATTEMPT_RECEIVED = "line"
    ATTEMPT_UP = "up"
    ATTEMPT_ENDED = "over"
    UNKNOWN_LINE = "unread"
    HEALTH_CHECK = "probed"
    STARTED = "started"
    CRASHED = "died"
    OVERLOADED = "fell"
    KILLED = "killed"
    PAUSED = "paused"
    RESUMED = "resumed"
    STOPPING = "stopping"
    SQUEEZED = "squeezed"
    RELEASED = "loosened"
    LOG_LINE = "log"
    DISCOVERY_CALL = "call"
    LIST_CHANGED = "changed"
    LISTED = "told"
    BALANCER_DRAINS = "away"
    BALANCER_ADDED = "takes in"
    BALANCER_REMOVED = "leaves out"
    TERM_BEGAN = "term"
    EFFECT_ACKNOWLEDGED = "effect"
    MARK_REJECTED = "mark refused"
    OVERRIDE_REQUESTED = "says"
    OVERRIDE_ANSWERED = "heard"
    DRAIN_ANSWERED = "drain"
    ACTIVATE_ANSWERED = "activate"
    FAULT_BEGAN = "fault"
    FAULT_ENDED = "fault ends"


@dataclass(frozen=True, slots=True)
class Event:
    """An event of the run.

    Attributes:
        at_us: microseconds from the beginning of the run.
        party: that did or saw it.
        request_id: empty where it concerns no request.
        data: further fields, for `history.txt` and the records.
    """

    at_us: int
    party: str
    kind: EventKind
    request_id: str = ""
    data: dict[str, Any] = field(default_factory=dict)

    def text(self, origin_us: int = 0) -> str:
        """Returns the line of `history.txt`; its time is in seconds from `origin_us`."""
        fields = " ".join(f"{name}={value}" for name, value in self.data.items())
        return f"{(self.at_us - origin_us) / US_PER_S:.4f} {self.party} {self.kind} {self.request_id} {fields}".rstrip()


@dataclass(slots=True)
class FaultInterval:
    """A fault that was on.

    Attributes:
        parties: struck by it.
        begin_us, end_us: on the history's clock.
        settle_us: for which its effects may show after its end.
    """

    kind: str
    parties: frozenset[str]
    begin_us: int
    end_us: int = OPEN_END_US
    settle_us: int = 0


class History:
    """Events and faults of one run.

    Attributes:
        measured_from_us: when the measured part of the run began.
        faults: by their beginning.
    """

    def __init__(self, now_us: Callable[[], int]) -> None:
        self.measured_from_us = 0
        self.events: list[Event] = []
        self.faults: list[FaultInterval] = []
        self._now_us = now_us

    def note(self, party: str, kind: EventKind, request_id: str = "", /, **data: Any) -> None:
        """Adds an event that happens now."""
        self.events.append(Event(self._now_us(), party, kind, request_id, data))

    def begin_fault(self, kind: str, parties: Iterable[str], settle_us: int = 0) -> FaultInterval:
        """Adds a fault that is on from now."""
        fault = FaultInterval(kind, frozenset(parties), self._now_us(), settle_us=settle_us)
        self.faults.append(fault)
        self.note(TESTBED, EventKind.FAULT_BEGAN, kind=kind, parties=",".join(sorted(fault.parties)))
        return fault

    def end_fault(self, fault: FaultInterval) -> None:
        """Ends a fault now."""
        fault.end_us = self._now_us()
        self.note(TESTBED, EventKind.FAULT_ENDED, kind=fault.kind, parties=",".join(sorted(fault.parties)))

    def active_faults(self) -> list[FaultInterval]:
        """Returns the faults that are on now, by their beginning."""
        return [fault for fault in self.faults if fault.end_us == OPEN_END_US]

    def of_request(self, request_id: str) -> list[Event]:
        """Returns the events of a request."""
        return [event for event in self.events if event.request_id == request_id]

    def each(self, kind: EventKind) -> Iterator[Event]:
        """Yields the events of a kind."""
        return (event for event in self.events if event.kind == kind)
