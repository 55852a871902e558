"""The interface of a lease store. `sqlite_store` and `consul_store` implement it.

Each call has a timeout, and raises `StoreUnavailableError` if the store does not answer.

A record is a key and value that the holder of a job's lease writes under its term. A proposal is a key and value that
any process writes for the holder to carry out. The holder deletes a proposal in the call that writes its answer.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from typing import NamedTuple, Protocol

from .candidate import LeaseRequest

NOT_GRANTED = 0  # in place of a term: the request was rejected, or was a release
TIME_UNKNOWN = -1  # in place of a time or duration that the store does not report


class StoreUnavailableError(Exception):
    """The store did not answer. It may have carried the call out nevertheless."""


class JobRequest(NamedTuple):
    """A request to the store for the lease of a job."""

    job: str
    request: LeaseRequest


@dataclass(frozen=True, slots=True)
class Lease:
    """The lease of a job.

    Attributes:
        holder: the process that holds it; empty if the lease is free.
        term: the last term granted.
        remaining_us: time until the lease expires; TIME_UNKNOWN if the store does not report it.
    """

    holder: str
    term: int
    remaining_us: int


@dataclass(frozen=True, slots=True)
class Record:
    """A value written under a term. `sequence` is its sequence number within the term."""

    value: str
    term: int
    sequence: int


@dataclass(frozen=True, slots=True)
class PastTerm:
    """A term that was granted to `holder`. `started_s` is Unix time, for display only."""

    term: int
    holder: str
    started_s: float


@dataclass(slots=True)
class LeaseAnswers:
    """The store's answers to the lease requests of one call.

    Attributes:
        granted_terms: by job, the term granted or renewed, or NOT_GRANTED. If a job is missing, the store has not
            decided on its request, which counts as unanswered.
    """

    granted_terms: dict[str, int] = field(default_factory=dict)

    def add(self, job: str, granted_term: int) -> None:
        """Adds the answer to a job's request: the term granted or renewed, or NOT_GRANTED."""
        self.granted_terms[job] = granted_term

    def granted_term(self, job: str) -> int:
        """Returns the term granted or renewed, or NOT_GRANTED.

        Raises:
            KeyError: the store has not decided on the request.
        """
        return self.granted_terms[job]


class LeaseStore(Protocol):
    """A store of leases, records and proposals.

    Attributes:
        holder: name of this incarnation of this process, under which it holds leases.
    """

    holder: str

    async def submit(self, requests: Sequence[JobRequest], lease_us: int) -> LeaseAnswers:
        """Submits the lease requests of this process in one call.

        Args:
            requests: the requests, in the order in which the store must apply them.
            lease_us: how long a granted lease lasts.
        """
        ...

    async def leases(self, jobs: Sequence[str] = ()) -> dict[str, Lease]:
        """Returns the leases of these jobs; of all jobs that ever had a holder if `jobs` is empty."""
        ...

    async def put(self, job: str, term: int, sequence: int, values: Mapping[str, str], proposal: str = "") -> bool:
        """Writes records under a term that this holder holds, and deletes the proposal that they answer.

        Args:
            job: the job whose records are written.
            term: the term under which they are written.
            sequence: sequence number of the records within the term.
            values: the values of the records, by key.
            proposal: key of the proposal to delete; empty for none.

        Returns:
            Whether the records were written; they are not if this holder does not hold the term.
        """
        ...

    async def records(self, job: str) -> dict[str, Record]:
        """Returns a job's records by key, ordered by term and sequence number."""
        ...

    async def propose(self, job: str, proposal: str, value: str) -> None:
        """Writes a proposal for the holder of a job."""
        ...

    async def proposals(self, job: str) -> dict[str, str]:
        """Returns the values of a job's proposals by key, oldest first."""
        ...

    async def release_for(self, job: str, holder: str, term: int) -> None:
        """Releases the lease that an earlier incarnation of this process holds, if it still holds it under `term`."""
        ...

    async def wait_for_change(self, timeout_s: float) -> None:
        """Returns when records or proposals may have changed, or after `timeout_s`."""
        ...

    async def past_terms(self, job: str) -> list[PastTerm]:
        """Returns the last terms of a job, oldest first; the store keeps a bounded number."""
        ...

    async def close(self) -> None:
        """Closes files and sockets."""
        ...
