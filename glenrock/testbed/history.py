"""One history of a run, by the machine's monotonic clock: what each party did, and when a fault was on. Pure."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field
from typing import Any

S = 1_000_000  # microseconds in a second
OPEN_END = 1 << 62  # of a fault that has not ended


@dataclass(frozen=True, slots=True)
class Event:
    at: int  # microseconds from the run's beginning
    who: str  # a party
    what: str
    id: str = ""  # of a request
    data: dict[str, Any] = field(default_factory=dict)

    def line(self, day: int = 0) -> str:
        """For people; times are seconds from the day's beginning."""
        more = " ".join(f"{k}={v}" for k, v in self.data.items())
        return f"{(self.at - day) / S:.4f} {self.who} {self.what} {self.id} {more}".rstrip()


@dataclass(slots=True)
class FaultInterval:
    """A fault, from when to when, and the parties that it touches; one that never ended goes on."""

    kind: str
    parties: frozenset[str]
    begin: int
    end: int = OPEN_END
    lag: int = 0  # what it struck may show this much later

    def during(self, begin: int, end: int) -> bool:
        return self.begin <= end and begin <= self.end + self.lag


class History:
    def __init__(self, now: Callable[[], int]) -> None:
        self.now = now
        self.day = 0  # when the scene's day began
        self.events: list[Event] = []
        self.spells: list[FaultInterval] = []

    def note(self, who: str, what: str, id_: str = "", **data: Any) -> None:
        self.events.append(Event(self.now(), who, what, id_, data))

    def strike(self, kind: str, parties: Iterable[str], lag_us: int = 0) -> FaultInterval:
        spell = FaultInterval(kind, frozenset(parties), self.now(), lag=lag_us)
        self.spells.append(spell)
        self.note("stage", "fault", kind=kind, parties=",".join(sorted(spell.parties)))
        return spell

    def lift(self, spell: FaultInterval) -> None:
        spell.end = self.now()
        self.note("stage", "fault ends", kind=spell.kind, parties=",".join(sorted(spell.parties)))

    def active_intervals(self) -> list[FaultInterval]:
        """Returns the faults that are on now, by their beginning."""
        return [interval for interval in self.spells if interval.end == OPEN_END]

    def disturbed(self, begin: int, end: int, *parties: str) -> str:
        """The first fault that touched one of these while that lasted; empty if none did."""
        for spell in self.spells:
            if spell.during(begin, end) and spell.parties & set(parties):
                return spell.kind
        return ""

    def of(self, id_: str) -> list[Event]:
        return [e for e in self.events if e.id == id_]

    def each(self, what: str) -> Iterator[Event]:
        return (e for e in self.events if e.what == what)
