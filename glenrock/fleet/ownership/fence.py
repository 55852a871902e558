"""A receiver's side: what it takes of whoever says that it owns a job. Pure.

A lower term than it has seen is refused, also after its own restart: until it has read back what it knew, from its own
record or from the store, it takes nothing. Within a term effects come in order of their numbers; one that was taken is
not taken again.
"""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class Taken:
    """What came of an effect. `seen` is told to a sender that was refused, so that it learns that it is late."""

    ok: bool
    seen: int
    why: str = ""


@dataclass(slots=True)
class Fence:
    """`known` False: just started, and what it knew before has not been read back."""

    known: bool = False
    seen: dict[str, tuple[int, int]] = field(default_factory=dict)  # job: the highest term, and the last number in it
    refused: int = 0

    def learned(self, seen: dict[str, tuple[int, int]]) -> None:
        """Read back after a start; what was seen meanwhile stands where it is higher."""
        for job, mark in seen.items():
            self.seen[job] = max(self.seen.get(job, (0, 0)), mark)
        self.known = True

    def take(self, job: str, term: int, number: int) -> Taken:
        """Whether the effect is taken. Its mark must be written down before it is carried out."""
        at, last = self.seen.get(job, (0, 0))
        why = ""
        if not self.known:
            why = "what was seen before the start is not known yet"
        elif term < at:
            why = f"term {term} is past, {at} was seen"
        elif term == at and number <= last:
            why = f"number {number} of term {term} was taken before"
        if why:
            self.refused += 1
            return Taken(False, at, why)
        self.seen[job] = (term, number)
        return Taken(True, term)

    def hear(self, job: str, term: int) -> Taken:
        """An owner's word that it owns, without an effect: a higher term closes the door to all lower ones."""
        at, _ = self.seen.get(job, (0, 0))
        if self.known and term >= at:
            if term > at:
                self.seen[job] = (term, 0)
            return Taken(True, term)
        self.refused += 1
        return Taken(False, at, f"term {term} is past, {at} was seen" if self.known else "not known yet")
