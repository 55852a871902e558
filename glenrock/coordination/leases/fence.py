"""A receiver's side: what it takes of whoever says that it holds a job's lease.

Pure. A lower term than it has seen is refused, also after its own restart: until it has read back what it knew, from
its own file or from the store, it takes nothing. Within a term effects come in order of their numbers; one that was
taken is not taken again.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import NamedTuple


class TermMark(NamedTuple):
    """The highest term seen of a job, and the last effect's number in it."""

    term: int
    number: int


NO_MARK = TermMark(0, 0)


@dataclass(frozen=True, slots=True)
class FenceVerdict:
    """Whether an effect is taken. `seen_term` is told to a sender that was refused: it learns that it is late."""

    accepted: bool
    seen_term: int
    reason: str = ""


@dataclass(slots=True)
class Fence:
    """What one receiver has seen.

    Attributes:
        known: False just after a start, while what it knew before has not been read back.
        seen: by job.
        refused: how many effects and heartbeats.
    """

    known: bool = False
    seen: dict[str, TermMark] = field(default_factory=dict)
    refused: int = 0

    def mark_of(self, job: str) -> TermMark:
        """The highest term seen of a job."""
        return self.seen.get(job, NO_MARK)

    def restore(self, seen: Mapping[str, tuple[int, int]]) -> None:
        """Read back after a start; what was seen meanwhile stands where it is higher."""
        for job, mark in seen.items():
            self.seen[job] = max(self.mark_of(job), TermMark(*mark))
        self.known = True

    def take(self, job: str, term: int, number: int) -> FenceVerdict:
        """Whether an effect is taken. Its mark must be written down before it is carried out."""
        mark = self.mark_of(job)
        reason = ""
        if not self.known:
            reason = "what was seen before the start is not known yet"
        elif term < mark.term:
            reason = f"term {term} is past, {mark.term} was seen"
        elif term == mark.term and number <= mark.number:
            reason = f"number {number} of term {term} was taken before"
        if reason:
            self.refused += 1
            return FenceVerdict(False, mark.term, reason)
        self.seen[job] = TermMark(term, number)
        return FenceVerdict(True, term)

    def hear(self, job: str, term: int) -> FenceVerdict:
        """A holder's heartbeat, without an effect: a higher term closes the door to all lower ones."""
        mark = self.mark_of(job)
        if self.known and term >= mark.term:
            if term > mark.term:
                self.seen[job] = TermMark(term, 0)
            return FenceVerdict(True, term)
        self.refused += 1
        reason = f"term {term} is past, {mark.term} was seen" if self.known else "not known yet"
        return FenceVerdict(False, mark.term, reason)
