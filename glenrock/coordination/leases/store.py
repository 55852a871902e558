"""What is asked of a lease store, whichever it is. All calls are bounded in time and raise `StoreUnavailableError`.

`submit` answers requests of `LeaseCandidate`, all of one process in one call. Records are written in the name of a
term, proposals by
anybody: a proposal is what the holder of a job shall do, and is taken away by the record that answers it.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import Protocol

from .candidate import LeaseRequest

TIME_UNKNOWN = -1  # left of a lease, where the store does not tell


class StoreUnavailableError(Exception):
    """The store could not be asked. What was asked may have counted."""


@dataclass(frozen=True, slots=True)
class Lease:
    """A lease of a job. `holder` is empty while the job has none; `remaining_us` may be TIME_UNKNOWN."""

    holder: str
    term: int
    remaining_us: int


@dataclass(frozen=True, slots=True)
class Record:
    """A value written in the name of a term. `number` counts within the term."""

    value: str
    term: int
    number: int


@dataclass(frozen=True, slots=True)
class PastTerm:
    """A term that began. `started_s` is Unix time, for people."""

    term: int
    holder: str
    started_s: float


class LeaseStore(Protocol):
    """A store of leases, records and proposals. `holder` names one incarnation of one process."""

    holder: str

    async def submit(self, requests: Sequence[tuple[str, LeaseRequest]], lease_us: int) -> dict[str, int]:
        """By job, the term granted or 0. A job that is left out was not decided, and counts as unanswered."""
        ...

    async def leases(self, jobs: Sequence[str] = ()) -> dict[str, Lease]:
        """Of these jobs; without, of all that were ever held."""
        ...

    async def put(self, job: str, term: int, number: int, values: Mapping[str, str], proposal: str = "") -> bool:
        """Writes records by their keys in the name of a term that this holder holds now.

        Takes the proposal away with them; all of it or nothing. False where the term is not held.
        """
        ...

    async def records(self, job: str) -> dict[str, Record]:
        """A job's records by their keys, in the order of their revisions."""
        ...

    async def propose(self, job: str, proposal: str, value: str) -> None:
        """Asks the holder of a job for something."""
        ...

    async def proposals(self, job: str) -> dict[str, str]:
        """What the holder of a job is asked for, oldest first."""
        ...

    async def free(self, job: str, holder: str, term: int) -> None:
        """Gives back what an earlier incarnation of this process held."""
        ...

    async def changed(self, wait_s: float) -> None:
        """Until records or proposals may have changed, and no longer than that."""
        ...

    async def past_terms(self, job: str) -> list[PastTerm]:
        """Terms of a job, oldest first."""
        ...

    async def close(self) -> None:
        """Lets go of files and sockets."""
        ...
