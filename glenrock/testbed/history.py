"""The history of a scenario's run: what each party did, and the faults that were on. Pure but for its clock."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass
from typing import Generic, TypeVar, cast

from .history_events import EventData, FaultBegan, FaultEnded, RequestEvent

US_PER_S = 1_000_000
OPEN_END_US = 1 << 62  # of a fault that has not ended
TESTBED = "stage"  # the party that injects faults, in history.txt

DataT = TypeVar("DataT", bound=EventData)
DataT_co = TypeVar("DataT_co", bound=EventData, covariant=True)


@dataclass(frozen=True, slots=True)
class Event(Generic[DataT_co]):
    """An event of the run.

    Attributes:
        at_us: microseconds from the beginning of the run.
        party: that did or saw it.
        data: what happened.
    """

    at_us: int
    party: str
    data: DataT_co


@dataclass(slots=True)
class FaultInterval:
    """A fault that was on.

    Attributes:
        parties: affected by it.
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
        events: in the order of time.
        faults: by their beginning.
    """

    def __init__(self, now_us: Callable[[], int]) -> None:
        self.measured_from_us = 0
        self.events: list[Event[EventData]] = []
        self.faults: list[FaultInterval] = []
        self._now_us = now_us

    def note(self, party: str, data: EventData) -> None:
        """Adds an event that happens now."""
        self.events.append(Event(self._now_us(), party, data))

    def begin_fault(self, kind: str, parties: Iterable[str], settle_us: int = 0) -> FaultInterval:
        """Adds a fault that is on from now."""
        fault = FaultInterval(kind, frozenset(parties), self._now_us(), settle_us=settle_us)
        self.faults.append(fault)
        self.note(TESTBED, FaultBegan(kind, fault.parties))
        return fault

    def end_fault(self, fault: FaultInterval) -> None:
        """Ends a fault now."""
        fault.end_us = self._now_us()
        self.note(TESTBED, FaultEnded(fault.kind, fault.parties))

    def active_faults(self) -> list[FaultInterval]:
        """Returns the faults that are on now, by their beginning."""
        return [fault for fault in self.faults if fault.end_us == OPEN_END_US]

    def of_request(self, request_id: str) -> list[Event[RequestEvent]]:
        """Returns the events of a request."""
        return [event for event in self.each(RequestEvent) if event.data.request_id == request_id]

    def each(self, kind: type[DataT]) -> Iterator[Event[DataT]]:
        """Yields the events whose data are of a type."""
        return (cast("Event[DataT]", event) for event in self.events if isinstance(event.data, kind))
