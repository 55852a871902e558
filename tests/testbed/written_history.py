"""Histories that tests write by hand."""

from __future__ import annotations

from dataclasses import dataclass

from glenrock.testbed.history import FaultInterval, History
from glenrock.testbed.history_events import EventData

US_PER_MS = 1000


@dataclass(frozen=True)
class Row:
    """An event, by its time in milliseconds."""

    at_ms: int
    party: str
    data: EventData


@dataclass(frozen=True)
class WrittenFault:
    """A fault that affected one party."""

    from_ms: int
    to_ms: int
    party: str


class WrittenClock:
    """A clock that is set by hand."""

    def __init__(self) -> None:
        self.now_us = 0

    def read(self) -> int:
        """Returns the time."""
        return self.now_us


def write_history(*rows: Row | WrittenFault) -> History:
    """Returns a history with these events, in the order of the rows, and these faults."""
    clock = WrittenClock()
    history = History(clock.read)
    for row in rows:
        if isinstance(row, WrittenFault):
            interval = FaultInterval("test", frozenset({row.party}), row.from_ms * US_PER_MS, row.to_ms * US_PER_MS)
            history.faults.append(interval)
            continue
        clock.now_us = row.at_ms * US_PER_MS
        history.note(row.party, row.data)
    return history
