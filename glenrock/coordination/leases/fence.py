"""A receiver's side: what it takes of whoever says that it holds a job's lease.

Pure. A lower term than it has seen is refused, also after its own restart: until it has read back what it knew, from
its own file or from the store, it takes nothing. Within a term effects come in order of their numbers; one that was
taken is not taken again.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import NamedTuple


class FencePosition(NamedTuple):
    """The highest term seen of a job, and the last effect's number in it."""

    term: int
    sequence: int


NO_POSITION = FencePosition(0, 0)


@dataclass(frozen=True, slots=True)
class FenceVerdict:
    """Whether an effect is taken. `highest_term` is told to a sender that was refused: it learns that it is late."""

    is_accepted: bool
    highest_term: int
    reason: str = ""


@dataclass(slots=True)
class Fence:
    """What one receiver has seen.

    Attributes:
        is_restored: False just after a start, while what it knew before has not been read back.
        positions: by job.
        rejected_count: how many effects and heartbeats.
    """

    is_restored: bool = False
    positions: dict[str, FencePosition] = field(default_factory=dict)
    rejected_count: int = 0

    def position(self, job: str) -> FencePosition:
        """The highest term seen of a job."""
        return self.positions.get(job, NO_POSITION)

    def restore(self, seen: Mapping[str, tuple[int, int]]) -> None:
        """Read back after a start; what was seen meanwhile stands where it is higher."""
        for job, position in seen.items():
            self.positions[job] = max(self.position(job), FencePosition(*position))
        self.is_restored = True

    def check_effect(self, job: str, term: int, number: int) -> FenceVerdict:
        """Whether an effect is taken. Its position must be written down before it is carried out."""
        position = self.position(job)
        reason = ""
        if not self.is_restored:
            reason = "what was seen before the start is not known yet"
        elif term < position.term:
            reason = f"term {term} is past, {position.term} was seen"
        elif term == position.term and number <= position.sequence:
            reason = f"number {number} of term {term} was taken before"
        if reason:
            self.rejected_count += 1
            return FenceVerdict(False, position.term, reason)
        self.positions[job] = FencePosition(term, number)
        return FenceVerdict(True, term)

    def check_heartbeat(self, job: str, term: int) -> FenceVerdict:
        """A holder's heartbeat, without an effect: a higher term closes the door to all lower ones."""
        position = self.position(job)
        if self.is_restored and term >= position.term:
            if term > position.term:
                self.positions[job] = FencePosition(term, 0)
            return FenceVerdict(True, term)
        self.rejected_count += 1
        reason = f"term {term} is past, {position.term} was seen" if self.is_restored else "not known yet"
        return FenceVerdict(False, position.term, reason)
