"""The receiver's side of a lease: a fence that accepts effects in the order of their terms and rejects past terms.

This module does no I/O. An effect of a term lower than the highest one seen is rejected, also after a restart of the
receiver: until the fence positions are restored, from the receiver's file or from the store, everything is rejected.
Within a term, effects are accepted in the order of their sequence numbers, each at most once.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import NamedTuple


class FencePosition(NamedTuple):
    """The highest term seen for a job, and the sequence number of the last effect accepted in that term."""

    term: int
    sequence: int


NO_POSITION = FencePosition(0, 0)
NOT_RESTORED_REASON = "the fence is not restored yet"


@dataclass(frozen=True, slots=True)
class FenceVerdict:
    """Whether an effect or heartbeat is accepted.

    Attributes:
        is_accepted: whether the effect or heartbeat is accepted.
        highest_term: the highest term seen, returned to a rejected sender so that it knows that it is superseded.
        reason: why it is rejected, as a message for operators; empty if it is accepted.
    """

    is_accepted: bool
    highest_term: int
    reason: str = ""


@dataclass(slots=True)
class Fence:
    """The fence positions of one receiver.

    Attributes:
        is_restored: whether the positions from before the start have been read back.
        positions: the fence positions, by job.
        rejected_count: number of effects and heartbeats rejected since the start.
    """

    is_restored: bool = False
    positions: dict[str, FencePosition] = field(default_factory=dict)
    rejected_count: int = 0

    def position(self, job: str) -> FencePosition:
        """Returns the position of a job."""
        return self.positions.get(job, NO_POSITION)

    def merge(self, positions: Mapping[str, FencePosition]) -> None:
        """Merges positions; for each job the higher one is kept."""
        for job, position in positions.items():
            self.positions[job] = max(self.position(job), position)

    def restore(self, positions: Mapping[str, FencePosition]) -> None:
        """Merges the positions that were read back after a start."""
        self.merge(positions)
        self.is_restored = True

    def check_effect(self, job: str, term: int, sequence: int) -> FenceVerdict:
        """Checks an effect, and advances the position of its job if it is accepted.

        The caller must store the new position durably before it carries the effect out.
        """
        position = self.position(job)
        reason = ""
        if not self.is_restored:
            reason = NOT_RESTORED_REASON
        elif term < position.term:
            reason = _past_term_reason(term, position)
        elif term == position.term and sequence <= position.sequence:
            reason = f"sequence number {sequence} of term {term} is not above the last one"
        if reason:
            self.rejected_count += 1
            return FenceVerdict(False, position.term, reason)
        self.positions[job] = FencePosition(term, sequence)
        return FenceVerdict(True, term)

    def check_heartbeat(self, job: str, term: int) -> FenceVerdict:
        """Checks a holder's heartbeat. A higher term advances the position, and rejects lower terms from then on."""
        position = self.position(job)
        if self.is_restored and term >= position.term:
            if term > position.term:
                self.positions[job] = FencePosition(term, 0)
            return FenceVerdict(True, term)
        self.rejected_count += 1
        reason = _past_term_reason(term, position) if self.is_restored else NOT_RESTORED_REASON
        return FenceVerdict(False, position.term, reason)


def _past_term_reason(term: int, position: FencePosition) -> str:
    return f"term {term} is past, {position.term} was seen"
