"""All leases of one process: decides which leases it requests and when, and keeps calls to the store few.

This module does no I/O and reads no clock. Times are whole microseconds of the process's own clock, as in `candidate`.

All leases are renewed in one call. Requests for a free lease are staggered: the first member in the job's rendezvous
order requests it at once, and each further member one stagger interval later, so that they do not all call the store.
The order only saves calls; exclusion rests on the store alone, which grants the terms.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from typing import NamedTuple

from ..membership import Membership, preferred_member, rank
from .candidate import (
    CandidateAction,
    CandidateState,
    LeaseAcquired,
    LeaseCandidate,
    LeaseLost,
    LeaseRequest,
    LeaseTiming,
    RequestKind,
)
from .store import TIME_UNKNOWN, JobRequest, Lease, LeaseAnswers

MAX_POLLING_MEMBERS = 3  # members that read a job's lease in each poll; the others read it only in a full poll
MAX_STAGGER_INTERVALS = 10  # upper bound on a member's delay, in stagger intervals
MAX_REBALANCE_DELAY_LEASES = 256  # in lease durations
REBALANCE_DELAY_FACTOR = 4  # growth of the delay with each release of a misplaced job
NO_WORK_COOLDOWN_LEASES = 3  # lease durations for which a member does not request a lease that it held without working
REBALANCE_DIVISOR = 10  # 1 + misplaced jobs / 10 are released at a time
NO_LEASE = Lease("", 0, 0)


class JobEvent(NamedTuple):
    """The lease of a job was acquired or lost."""

    job: str
    event: LeaseAcquired | LeaseLost


@dataclass(slots=True)
class LeaseActions:
    """What the caller must do: submit `requests` to the store in one call, and publish `events`."""

    requests: list[JobRequest] = field(default_factory=list)
    events: list[JobEvent] = field(default_factory=list)

    def add(self, other: LeaseActions) -> None:
        """Appends the requests and events of `other`."""
        self.requests += other.requests
        self.events += other.events


@dataclass(slots=True)
class ObservedLease:
    """What the store last reported about a lease that this process does not hold.

    Attributes:
        holder: the process that held the lease; empty if it was free.
        free_since_us: when the lease became free, or will expire; TIME_UNKNOWN if the store did not report it.
    """

    holder: str = ""
    free_since_us: int = TIME_UNKNOWN

    @property
    def is_free_time_known(self) -> bool:
        """Whether the time at which the lease becomes free is known."""
        return self.free_since_us != TIME_UNKNOWN


class LeaseManager:
    """Decides which lease requests one process makes, and when.

    The leases of `jobs` are requested whenever they are free, those of other jobs only after `request_lease`.

    Attributes:
        membership: the members among which the jobs are distributed, and their liveness.
        timing: durations of a lease.
        jobs: the jobs that all members share.
        candidates: the election state of this process, by job.
    """

    def __init__(self, membership: Membership, timing: LeaseTiming, jobs: Iterable[str], stagger_us: int) -> None:
        self.membership = membership
        self.timing = timing
        self.jobs = tuple(jobs)
        self.candidates = {job: LeaseCandidate(timing) for job in self.jobs}
        self._stagger_us = stagger_us
        self._requested_jobs: set[str] = set()  # by `request_lease`; even if the lease is not known to be free
        self._observed: dict[str, ObservedLease] = {}
        self._active_jobs: set[str] = set()  # jobs that a tick may act on: held, requested or free
        self._members: list[int] = []
        self._polled_jobs: list[str] = []  # jobs whose leases this member reads in each poll
        self._cooldown_until_us: dict[str, int] = {}
        self._last_work_us: dict[str, int] = {}
        self._acquired_us: dict[str, int] = {}
        self._rebalanced_us = 0
        self._rebalance_delay_leases: dict[str, int] = {}  # lease durations for which a misplaced job is kept

    # -- leases held -----------------------------------------------------------------------------------

    def current_term(self, job: str, now_us: int) -> int | None:
        """Returns the term under which this process may act now; None if the lease is not held."""
        candidate = self.candidates.get(job)
        return candidate.current_term(now_us) if candidate else None

    def held_jobs(self, now_us: int) -> list[str]:
        """Returns the jobs whose lease is held."""
        return [job for job in self.candidates if self.current_term(job, now_us) is not None]

    def record_work(self, job: str, now_us: int) -> None:
        """Records that this holder works on the job. Without such a record for a lease duration, it steps down."""
        self._last_work_us[job] = now_us

    def raise_term_floor(self, job: str, term: int) -> None:
        """Accepts only terms above `term` from now on.

        This process has seen `term` as a receiver, and the store may have lost it.
        """
        if job in self.candidates:
            self.candidates[job].term_floor = max(self.candidates[job].term_floor, term)

    def handle_rejection(self, job: str, now_us: int, highest_term: int) -> list[JobEvent]:
        """Handles a rejection by a receiver that has seen `highest_term`."""
        candidate = self.candidates.get(job)
        return self._collect(job, candidate.handle_rejection(now_us, highest_term)).events if candidate else []

    # -- requests of the caller ------------------------------------------------------------------------

    def request_lease(self, job: str, now_us: int) -> None:
        """Requests a job's lease, from the next tick until `step_down` or `stop_requesting`."""
        self.candidates.setdefault(job, LeaseCandidate(self.timing)).next_request_us = now_us
        self._requested_jobs.add(job)
        self._active_jobs.add(job)

    def stop_requesting(self, job: str) -> None:
        """Ends the effect of `request_lease`. A lease that is held is not released."""
        self._requested_jobs.discard(job)

    def step_down(self, job: str, now_us: int) -> LeaseActions:
        """Releases a job's lease if it is held, and ends the effect of `request_lease`."""
        self.stop_requesting(job)
        if job not in self.candidates:
            return LeaseActions()
        return self._collect(job, self.candidates[job].step_down(now_us))

    def step_down_from_all(self, now_us: int) -> LeaseActions:
        """Releases all leases."""
        actions = LeaseActions()
        for job in self.candidates:
            actions.add(self.step_down(job, now_us))
        return actions

    # -- time ------------------------------------------------------------------------------------------

    def tick(self, now_us: int) -> LeaseActions:
        """Returns the requests and events that are due."""
        actions = LeaseActions()
        for job in sorted(self._active_jobs):
            actions.add(self._tick_job(job, now_us))
            actions.add(self._step_down_if_not_working(job, now_us))
        actions.add(self._rebalance(now_us))
        if any(request.kind is RequestKind.RENEW for _, request in actions.requests):
            actions.add(self._renew_all(now_us))
        return actions

    def _tick_job(self, job: str, now_us: int) -> LeaseActions:
        """Ticks the candidate of one job. A job becomes inactive if it is idle and may not be requested later."""
        candidate = self.candidates[job]
        is_idle = candidate.state is CandidateState.IDLE and not candidate.pending_kind
        is_backing_off = candidate.state is CandidateState.BACKING_OFF
        if (is_idle or is_backing_off) and not self._may_request(job, now_us):
            if is_idle and not self._may_request_later(job):
                self._active_jobs.discard(job)
            return LeaseActions()
        return self._collect(job, candidate.tick(now_us))

    def _step_down_if_not_working(self, job: str, now_us: int) -> LeaseActions:
        """Steps down if this holder renews the lease without working on the job, so that another member takes over."""
        candidate = self.candidates[job]
        without_work_us = now_us - self._last_work_us.get(job, now_us)
        if candidate.state is not CandidateState.HOLDER or without_work_us <= self.timing.lease_us:
            return LeaseActions()
        self._cooldown_until_us[job] = now_us + NO_WORK_COOLDOWN_LEASES * self.timing.lease_us
        return self._collect(job, candidate.step_down(now_us))

    def _renew_all(self, now_us: int) -> LeaseActions:
        """Renews all leases early, so that the call that renews one renews all."""
        actions = LeaseActions()
        for job in sorted(self._active_jobs):
            candidate = self.candidates[job]
            if candidate.state is CandidateState.HOLDER and not candidate.pending_kind:
                actions.add(self._collect(job, candidate.renew(now_us)))
        return actions

    def _may_request_later(self, job: str) -> bool:
        """Returns whether the lease may be requested at a later tick without further information."""
        return job in self._requested_jobs or self._observed.get(job, ObservedLease()).is_free_time_known

    def _may_request(self, job: str, now_us: int) -> bool:
        """Returns whether the lease may be requested now, with regard to its holder, the cooldown and the stagger."""
        if job in self._requested_jobs:
            return True
        observed = self._observed.get(job)
        is_cooling_down = now_us < self._cooldown_until_us.get(job, 0)
        if job not in self.jobs or is_cooling_down or observed is None or not observed.is_free_time_known:
            return False
        intervals = rank(job, self.membership.me, self.membership.members(now_us), MAX_STAGGER_INTERVALS)
        return now_us >= observed.free_since_us + intervals * self._stagger_us

    def _rebalance(self, now_us: int) -> LeaseActions:
        """Releases some of the misplaced jobs: the first member to start may have acquired all of them."""
        actions = LeaseActions()
        if now_us - self._rebalanced_us < self.timing.lease_us:
            return actions
        self._rebalanced_us = now_us
        members = list(self.membership.members(now_us))
        misplaced = [job for job in self.jobs if self._is_misplaced(job, members, now_us)]
        for job in misplaced[: 1 + len(misplaced) // REBALANCE_DIVISOR]:
            # The delay grows with each release: a released job has no holder until another member acquires it, which
            # the preferred member may fail to do.
            delay_leases = REBALANCE_DELAY_FACTOR * self._rebalance_delay_leases.get(job, 1)
            self._rebalance_delay_leases[job] = min(MAX_REBALANCE_DELAY_LEASES, delay_leases)
            actions.add(self._collect(job, self.candidates[job].step_down(now_us)))
        return actions

    def _is_misplaced(self, job: str, members: Sequence[int], now_us: int) -> bool:
        """Returns whether another member is preferred for a job held here, and the rebalance delay has passed."""
        candidate = self.candidates[job]
        if candidate.current_term(now_us) is None or candidate.pending_kind:
            return False
        held_us = now_us - self._acquired_us.get(job, now_us)
        if held_us <= self.timing.lease_us * self._rebalance_delay_leases.get(job, 1):
            return False
        return preferred_member(job, members) != self.membership.me

    # -- the store's answers ---------------------------------------------------------------------------

    def jobs_to_poll(self, now_us: int, is_full_poll: bool) -> list[str]:
        """Returns the jobs whose leases are to be read now.

        Leases that this process holds are left out. A full poll covers all other jobs; another poll covers those for
        which this member is among the first `MAX_POLLING_MEMBERS` in the rendezvous order.
        """
        members = list(self.membership.members(now_us))
        if members != self._members:
            self._members = members
            me = self.membership.me
            self._polled_jobs = [
                job for job in self.jobs if rank(job, me, members, MAX_POLLING_MEMBERS) < MAX_POLLING_MEMBERS
            ]
        jobs = self.jobs if is_full_poll else self._polled_jobs
        return [job for job in jobs if self.candidates[job].current_term(now_us) is None]

    def record_leases(self, jobs: Iterable[str], leases: Mapping[str, Lease], now_us: int) -> None:
        """Records the leases of these jobs as the store reported them. A job that it did not report is free."""
        for job in jobs:
            lease = leases.get(job, NO_LEASE)
            observed = self._observed.setdefault(job, ObservedLease())
            if lease.holder:
                observed.holder = lease.holder
                is_time_known = lease.remaining_us != TIME_UNKNOWN
                observed.free_since_us = now_us + lease.remaining_us if is_time_known else TIME_UNKNOWN
            elif not observed.is_free_time_known or observed.holder:
                observed.holder = ""
                observed.free_since_us = now_us
            if observed.is_free_time_known:
                self._active_jobs.add(job)

    def handle_answers(self, requests: Iterable[JobRequest], answers: LeaseAnswers, now_us: int) -> LeaseActions:
        """Applies the store's answers, read at `now_us`. A request that was not decided counts as timed out."""
        actions = LeaseActions()
        for job, request in requests:
            candidate = self.candidates[job]
            if job not in answers.granted_terms:
                candidate.handle_timeout(now_us, request.sequence)
                continue
            granted_term = answers.granted_term(job)
            if request.kind is RequestKind.ACQUIRE and not granted_term and job in self._observed:
                self._observed[job].free_since_us = TIME_UNKNOWN  # another member has acquired it
            actions.add(self._collect(job, candidate.handle_answer(now_us, request.sequence, granted_term)))
        return actions

    def handle_timeouts(self, requests: Iterable[JobRequest], now_us: int) -> None:
        """Handles the timeout of a call to the store."""
        for job, request in requests:
            self.candidates[job].handle_timeout(now_us, request.sequence)

    def _collect(self, job: str, actions: Iterable[CandidateAction]) -> LeaseActions:
        """Splits a candidate's actions into requests and events, and records what the events change."""
        collected = LeaseActions()
        for action in actions:
            match action:
                case LeaseRequest():
                    collected.requests.append(JobRequest(job, action))
                    continue
                case LeaseAcquired():
                    self._acquired_us[job] = self._last_work_us[job] = self.candidates[job].request_sent_us
                case LeaseLost():
                    pass
            collected.events.append(JobEvent(job, action))
            if job in self._observed:
                self._observed[job].free_since_us = TIME_UNKNOWN  # what the store reported is outdated
        return collected
