"""All leases of one process: which jobs it asks for and when, in as few calls as can be.

Pure. Times are microseconds on the process's own clock, as in `candidate`. Renewals of all jobs go together. A job seen
free is asked for by the first in its order of members at once and by each next a step later, so that hundreds do not
ask for the same; the order is for cost alone, terms come from the store.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from typing import NamedTuple

from ..membership import Membership, preferred_member, rank
from .candidate import CandidateEffect, LeaseAcquired, LeaseCandidate, LeaseLost, LeaseRequest, LeaseTiming
from .store import Lease

WATCHING_MEMBERS = 3  # members that look after a job which is not theirs; the others look when these are gone
MAX_PATIENCE = 256  # leases that a job is kept before it is offered again
PATIENCE_FACTOR = 4
MAX_STEPS = 10  # nobody waits longer than this many steps for those before it
UNFIT_LEASES = 3  # a job that was held and not worked on is not asked for during so many leases
SHED_SHARE = 10  # one in so many jobs is offered at a time
NOT_KNOWN = -1
NO_LEASE = Lease("", 0, 0)


class JobRequest(NamedTuple):
    """A request to the store for one job."""

    job: str
    request: LeaseRequest


class JobEvent(NamedTuple):
    """A job's lease was acquired or lost."""

    job: str
    event: LeaseAcquired | LeaseLost


@dataclass(slots=True)
class Outcome:
    """What follows from an event: requests to be made now, all in one call, and leases acquired or lost."""

    requests: list[JobRequest] = field(default_factory=list)
    events: list[JobEvent] = field(default_factory=list)

    def add(self, other: Outcome) -> None:
        """Joins another's requests and events to these."""
        self.requests += other.requests
        self.events += other.events


@dataclass(slots=True)
class ObservedLease:
    """What the store last said of a job that is not ours. `free_us`: free since, or from then on."""

    holder: str = ""
    free_us: int = NOT_KNOWN

    @property
    def free_is_known(self) -> bool:
        """Whether the store has said when it is free."""
        return self.free_us >= 0


class LeaseManager:
    """Leases of `jobs` are held by whoever comes; others only once `want` asks for them, and at once.

    Attributes:
        candidates: by job.
        wanted: jobs that `want` asked for.
    """

    def __init__(self, membership: Membership, timing: LeaseTiming, jobs: Iterable[str], step_us: int) -> None:
        self.membership = membership
        self.timing = timing
        self.jobs = tuple(jobs)
        self.candidates = {job: LeaseCandidate(timing) for job in self.jobs}
        self.wanted: set[str] = set()
        self._step_us = step_us
        self._observed: dict[str, ObservedLease] = {}
        self._live: set[str] = set()  # jobs of which a tick may make something: held, asked for, or free
        self._members: list[int] = []
        self._watched: list[str] = []  # jobs that this member is among the first to take
        self._unfit_until_us: dict[str, int] = {}  # jobs that were held and not worked on
        self._worked_us: dict[str, int] = {}  # when each job's work last went round
        self._acquired_us: dict[str, int] = {}
        self._shed_us = 0
        self._patience: dict[str, int] = {}  # leases that a job is kept before it is offered to the first in its order

    # -- who may act -----------------------------------------------------------------------------------

    def current_term(self, job: str, now_us: int) -> int | None:
        """The term in which an effect may leave now; None where the lease is not held."""
        candidate = self.candidates.get(job)
        return candidate.current_term(now_us) if candidate else None

    def held_jobs(self, now_us: int) -> list[str]:
        """Jobs whose lease is held."""
        return [job for job in self.candidates if self.current_term(job, now_us) is not None]

    def record_work(self, job: str, now_us: int) -> None:
        """The work of a job went round once more."""
        self._worked_us[job] = now_us

    def require_above(self, job: str, term: int) -> None:
        """This process has seen that term as a receiver: one of its own must be higher, whatever the store forgot."""
        if job in self.candidates:
            self.candidates[job].min_term = max(self.candidates[job].min_term, term)

    def refused(self, job: str, now_us: int, seen_term: int) -> list[JobEvent]:
        """A receiver has seen a higher term."""
        candidate = self.candidates.get(job)
        return self._outcome(job, candidate.refused(now_us, seen_term)).events if candidate else []

    # -- what is wanted --------------------------------------------------------------------------------

    def want(self, job: str, now_us: int) -> None:
        """Asks for a job's lease at once."""
        self.candidates.setdefault(job, LeaseCandidate(self.timing)).next_us = now_us
        self.wanted.add(job)
        self._live.add(job)

    def step_down(self, job: str, now_us: int) -> Outcome:
        """Gives a lease back, and asks for it no more where it was wanted."""
        self.wanted.discard(job)
        if job not in self.candidates:
            return Outcome()
        return self._outcome(job, self.candidates[job].step_down(now_us))

    def step_down_from_all(self, now_us: int) -> Outcome:
        """Gives all leases back."""
        outcome = Outcome()
        for job in self.candidates:
            outcome.add(self.step_down(job, now_us))
        return outcome

    # -- time ------------------------------------------------------------------------------------------

    def tick(self, now_us: int) -> Outcome:
        """Time has passed."""
        outcome = Outcome()
        for job in sorted(self._live):
            self._tick_job(job, now_us, outcome)
        outcome.add(self._shed(now_us))
        if any(request.kind == "renew" for _, request in outcome.requests):
            self._renew_all(now_us, outcome)
        return outcome

    def _tick_job(self, job: str, now_us: int, outcome: Outcome) -> None:
        candidate = self.candidates[job]
        active = candidate.state != "idle" or candidate.pending
        if not active and job not in self.wanted and not self._observed.get(job, ObservedLease()).free_is_known:
            self._live.discard(job)
        elif (active and candidate.state != "wary") or self._may_ask(job, now_us):
            outcome.add(self._outcome(job, candidate.tick(now_us)))
        idle_us = now_us - self._worked_us.get(job, now_us)
        if candidate.state == "owner" and idle_us > self.timing.lease_us:
            # Alive, renewing, and doing nothing: somebody else must be able to.
            self._unfit_until_us[job] = now_us + UNFIT_LEASES * self.timing.lease_us
            outcome.add(self._outcome(job, candidate.step_down(now_us)))

    def _renew_all(self, now_us: int, outcome: Outcome) -> None:
        """Where one lease is renewed, all are: in one call."""
        for job in sorted(self._live):
            candidate = self.candidates[job]
            if candidate.state == "owner" and not candidate.pending:
                outcome.add(self._outcome(job, candidate.request(now_us, "renew")))

    def _may_ask(self, job: str, now_us: int) -> bool:
        if job in self.wanted:
            return True
        observed = self._observed.get(job)
        unfit = now_us < self._unfit_until_us.get(job, 0)
        if job not in self.jobs or unfit or observed is None or not observed.free_is_known:
            return False
        before = rank(job, self.membership.me, self.membership.members(now_us), MAX_STEPS)
        return now_us >= observed.free_us + before * self._step_us

    def _shed(self, now_us: int) -> Outcome:
        """Work goes back to the first in its order, a tenth of it at a time: after a start one may hold all."""
        outcome = Outcome()
        if now_us - self._shed_us < self.timing.lease_us:
            return outcome
        self._shed_us = now_us
        members = list(self.membership.members(now_us))
        away = [job for job in self.jobs if self._is_to_be_shed(job, members, now_us)]
        for job in away[: 1 + len(away) // SHED_SHARE]:
            # Who does not take it, though it is there, is asked ever more seldom: each time the job rests meanwhile.
            self._patience[job] = min(MAX_PATIENCE, PATIENCE_FACTOR * self._patience.get(job, 1))
            outcome.add(self._outcome(job, self.candidates[job].step_down(now_us)))
        return outcome

    def _is_to_be_shed(self, job: str, members: Sequence[int], now_us: int) -> bool:
        candidate = self.candidates[job]
        if candidate.current_term(now_us) is None or candidate.pending:
            return False
        kept_us = now_us - self._acquired_us.get(job, now_us)
        if kept_us <= self.timing.lease_us * self._patience.get(job, 1):
            return False
        return preferred_member(job, members) != self.membership.me

    # -- what the store says ---------------------------------------------------------------------------

    def jobs_to_watch(self, now_us: int, every: bool) -> list[str]:
        """Jobs whose leases are to be read: those that this member would be among the first to take."""
        members = list(self.membership.members(now_us))
        if members != self._members:
            self._members = members
            self._watched = [
                job for job in self.jobs if rank(job, self.membership.me, members, WATCHING_MEMBERS) < WATCHING_MEMBERS
            ]
        jobs = self.jobs if every else self._watched
        return [job for job in jobs if self.candidates[job].current_term(now_us) is None]

    def observed(self, jobs: Iterable[str], leases: Mapping[str, Lease], now_us: int) -> None:
        """What the store said of these jobs. One that was never held is free."""
        for job in jobs:
            lease = leases.get(job, NO_LEASE)
            observed = self._observed.setdefault(job, ObservedLease())
            if lease.holder:
                observed.holder = lease.holder
                observed.free_us = now_us + lease.remaining_us if lease.remaining_us >= 0 else NOT_KNOWN
            elif not observed.free_is_known or observed.holder:
                observed.holder = ""
                observed.free_us = now_us
            if observed.free_is_known:
                self._live.add(job)

    def answered(self, requests: Iterable[JobRequest], granted: Mapping[str, int], now_us: int) -> Outcome:
        """The store's answer to requests: by job, the term granted or 0. A job left out was not decided."""
        outcome = Outcome()
        for job, request in requests:
            candidate = self.candidates[job]
            if job not in granted:
                candidate.unanswered(now_us, request.number)
                continue
            if request.kind == "acquire" and not granted[job] and job in self._observed:
                self._observed[job].free_us = NOT_KNOWN  # somebody was first: not free until the store says so again
            outcome.add(self._outcome(job, candidate.answer(now_us, request.number, granted[job])))
        return outcome

    def unanswered(self, requests: Iterable[JobRequest], now_us: int) -> None:
        """No answer came, or word that none will."""
        for job, request in requests:
            self.candidates[job].unanswered(now_us, request.number)

    def _outcome(self, job: str, effects: Iterable[CandidateEffect]) -> Outcome:
        outcome = Outcome()
        for effect in effects:
            match effect:
                case LeaseRequest():
                    outcome.requests.append(JobRequest(job, effect))
                    continue
                case LeaseAcquired():
                    self._acquired_us[job] = self._worked_us[job] = self.candidates[job].sent_us
                case LeaseLost():
                    pass
            outcome.events.append(JobEvent(job, effect))
            if job in self._observed:
                self._observed[job].free_us = NOT_KNOWN  # what was seen before says nothing now
        return outcome
