"""What is asked of a store, whichever it is. All calls are bounded in time and raise `StoreDown`.

`ask` answers requests of `Claim`, all of one process in one call. Records are written in the name of a term, wishes by
anybody: a wish is what the owner of a job shall do, and is taken away by the record that answers it.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import Protocol

from .claim import Ask

NO_TIME = -1  # of a lease, where the store does not tell how much of it is left


class StoreDown(Exception):
    """The store could not be asked. What was asked may have counted."""


@dataclass(frozen=True, slots=True)
class Lease:
    holder: str  # empty: nobody
    term: int
    left_us: int  # NO_TIME where the store does not tell


@dataclass(frozen=True, slots=True)
class Record:
    value: str
    term: int
    number: int  # within its term


@dataclass(frozen=True, slots=True)
class Past:
    """A term that began. `at_s` is Unix time, for people."""

    term: int
    holder: str
    at_s: float


class Store(Protocol):
    holder: str  # one life of one process

    async def ask(self, asks: Sequence[tuple[str, Ask]], lease_us: int) -> dict[str, int]:
        """By job, the term granted or 0. A job that is left out was not decided, and counts as lost."""
        ...

    async def leases(self, jobs: Sequence[str] = ()) -> dict[str, Lease]:
        """Of these jobs; without, of all that were ever held."""
        ...

    async def put(self, job: str, term: int, number: int, values: Mapping[str, str], wish: str = "") -> bool:
        """Writes records by their keys in the name of a term that this holder holds now, and takes the wish away with
        them; all of it or nothing."""
        ...

    async def records(self, job: str) -> dict[str, Record]: ...
    async def post(self, job: str, wish: str, value: str) -> None: ...
    async def wishes(self, job: str) -> dict[str, str]: ...
    async def free(self, job: str, holder: str, term: int) -> None:
        """Gives back what an earlier life of this process held."""
        ...

    async def changed(self, wait_s: float) -> None:
        """Until records or wishes may have changed, and no longer than that."""
        ...

    async def past(self, job: str) -> list[Past]: ...
    async def close(self) -> None: ...
