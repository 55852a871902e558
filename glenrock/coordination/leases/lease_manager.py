"""All leases of one process: for which jobs it requests the lease, and when, in as few calls to the store as possible.

Pure. Times are whole microseconds of the process's own clock, as in `candidate`. All leases are renewed in one call. A
free job is requested by the first member in its rendezvous order at once, and by each further member one step later, so
that members do not all request it. That order only saves calls; the store alone grants terms.
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

MAX_POLLING_MEMBERS = 3  # members that watch a job's lease; the others read it at a full watch only
MAX_STAGGER_INTERVALS = 10  # bound on the steps that a member waits for the members before it
MAX_REBALANCE_DELAY_LEASES = 256
REBALANCE_DELAY_FACTOR = 4
NO_WORK_COOLDOWN_LEASES = 3  # a job whose lease was held without work is not requested for this many leases
REBALANCE_DIVISOR = 10  # the misplaced jobs over those released at a time
NO_LEASE = Lease("", 0, 0)


class JobEvent(NamedTuple):
    """The lease of a job was acquired or lost."""

    job: str
    event: LeaseAcquired | LeaseLost


@dataclass(slots=True)
class LeaseActions:
    """What the caller must do: submit `requests` in one call, and publish `events`."""

    requests: list[JobRequest] = field(default_factory=list)
    events: list[JobEvent] = field(default_factory=list)

    def add(self, other: LeaseActions) -> None:
        """Appends the requests and events of `other`."""
        self.requests += other.requests
        self.events += other.events


@dataclass(slots=True)
class ObservedLease:
    """What the store last reported of a lease that this process does not hold.

    Attributes:
        holder: the process that held it; empty if it was free.
        free_since_us: when it became free, or will; TIME_UNKNOWN if the store did not report it.
    """

    holder: str = ""
    free_since_us: int = TIME_UNKNOWN

    @property
    def is_free_time_known(self) -> bool:
        """Whether the time at which the lease becomes free is known."""
        return self.free_since_us != TIME_UNKNOWN


class LeaseManager:
    """Decides on the lease requests of one process.

    Leases of `jobs` are requested when they are free. Leases of other jobs are requested only after `request_lease`.

    Attributes:
        membership: the members among which the jobs are distributed.
        timing: durations of a lease.
        jobs: the jobs that all members share.
        candidates: by job.
    """

    def __init__(self, membership: Membership, timing: LeaseTiming, jobs: Iterable[str], stagger_us: int) -> None:
        self.membership = membership
        self.timing = timing
        self.jobs = tuple(jobs)
        self.candidates = {job: LeaseCandidate(timing) for job in self.jobs}
        self._stagger_us = stagger_us
        self._requested_jobs: set[str] = set()  # by `request_lease`
        self._observed: dict[str, ObservedLease] = {}
        self._active_jobs: set[str] = set()  # held, requested or free: the jobs that a tick may act on
        self._members: list[int] = []
        self._polled_jobs: list[str] = []  # jobs whose lease this member reads at each watch
        self._cooldown_until_us: dict[str, int] = {}
        self._last_work_us: dict[str, int] = {}
        self._acquired_us: dict[str, int] = {}
        self._rebalanced_us = 0
        self._rebalance_delay_leases: dict[str, int] = {}  # lease durations for which a misplaced job is held

    # -- leases held -----------------------------------------------------------------------------------

    def current_term(self, job: str, now_us: int) -> int | None:
        """Returns the term in which an effect may be sent now; None if the lease is not held."""
        candidate = self.candidates.get(job)
        return candidate.current_term(now_us) if candidate else None

    def held_jobs(self, now_us: int) -> list[str]:
        """Returns the jobs whose lease is held."""
        return [job for job in self.candidates if self.current_term(job, now_us) is not None]

    def record_work(self, job: str, now_us: int) -> None:
        """Records that the holder is working on the job; a holder that does not work for a lease steps down."""
        self._last_work_us[job] = now_us

    def raise_term_floor(self, job: str, term: int) -> None:
        """Requires terms above `term`, which this process has seen as a receiver; the store may have lost it."""
        if job in self.candidates:
            self.candidates[job].term_floor = max(self.candidates[job].term_floor, term)

    def handle_rejection(self, job: str, now_us: int, highest_term: int) -> list[JobEvent]:
        """Handles a rejection by a receiver that has seen `highest_term`."""
        candidate = self.candidates.get(job)
        return self._collect(job, candidate.handle_rejection(now_us, highest_term)).events if candidate else []

    # -- requests of the caller ------------------------------------------------------------------------

    def request_lease(self, job: str, now_us: int) -> None:
        """Requests a job's lease at the next tick, until `step_down` or `stop_requesting`."""
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
        """Applies the passage of time."""
        actions = LeaseActions()
        for job in sorted(self._active_jobs):
            actions.add(self._tick_job(job, now_us))
            actions.add(self._step_down_if_not_working(job, now_us))
        actions.add(self._rebalance(now_us))
        if any(request.kind is RequestKind.RENEW for _, request in actions.requests):
            actions.add(self._renew_all(now_us))
        return actions

    def _tick_job(self, job: str, now_us: int) -> LeaseActions:
        """Applies the passage of time to one candidate, or removes a job on which nothing can happen."""
        candidate = self.candidates[job]
        is_idle = candidate.state is CandidateState.IDLE and not candidate.pending_kind
        is_backing_off = candidate.state is CandidateState.BACKING_OFF
        if (is_idle or is_backing_off) and not self._may_request(job, now_us):
            if is_idle and not self._may_request_later(job):
                self._active_jobs.discard(job)
            return LeaseActions()
        return self._collect(job, candidate.tick(now_us))

    def _step_down_if_not_working(self, job: str, now_us: int) -> LeaseActions:
        """Lets another member take over from a holder that renews the lease and does not do the work."""
        candidate = self.candidates[job]
        without_work_us = now_us - self._last_work_us.get(job, now_us)
        if candidate.state is not CandidateState.HOLDER or without_work_us <= self.timing.lease_us:
            return LeaseActions()
        self._cooldown_until_us[job] = now_us + NO_WORK_COOLDOWN_LEASES * self.timing.lease_us
        return self._collect(job, candidate.step_down(now_us))

    def _renew_all(self, now_us: int) -> LeaseActions:
        """Renews all leases in the call that renews one of them."""
        actions = LeaseActions()
        for job in sorted(self._active_jobs):
            candidate = self.candidates[job]
            if candidate.state is CandidateState.HOLDER and not candidate.pending_kind:
                actions.add(self._collect(job, candidate.renew(now_us)))
        return actions

    def _may_request_later(self, job: str) -> bool:
        """Returns whether the lease is requested once it is free, or by a call."""
        return job in self._requested_jobs or self._observed.get(job, ObservedLease()).is_free_time_known

    def _may_request(self, job: str, now_us: int) -> bool:
        """Returns whether the lease may be requested now."""
        if job in self._requested_jobs:
            return True
        observed = self._observed.get(job)
        is_cooling_down = now_us < self._cooldown_until_us.get(job, 0)
        if job not in self.jobs or is_cooling_down or observed is None or not observed.is_free_time_known:
            return False
        steps = rank(job, self.membership.me, self.membership.members(now_us), MAX_STAGGER_INTERVALS)
        return now_us >= observed.free_since_us + steps * self._stagger_us

    def _rebalance(self, now_us: int) -> LeaseActions:
        """Releases some of the jobs that another member is preferred for, since after a start one member may do all."""
        actions = LeaseActions()
        if now_us - self._rebalanced_us < self.timing.lease_us:
            return actions
        self._rebalanced_us = now_us
        members = list(self.membership.members(now_us))
        misplaced = [job for job in self.jobs if self._is_misplaced(job, members, now_us)]
        for job in misplaced[: 1 + len(misplaced) // REBALANCE_DIVISOR]:
            # The time is longer at each release: a job has no holder while the preferred member does not acquire it.
            delay_leases = REBALANCE_DELAY_FACTOR * self._rebalance_delay_leases.get(job, 1)
            self._rebalance_delay_leases[job] = min(MAX_REBALANCE_DELAY_LEASES, delay_leases)
            actions.add(self._collect(job, self.candidates[job].step_down(now_us)))
        return actions

    def _is_misplaced(self, job: str, members: Sequence[int], now_us: int) -> bool:
        """Whether this member holds a job that another member is preferred for, and has held it long enough."""
        candidate = self.candidates[job]
        if candidate.current_term(now_us) is None or candidate.pending_kind:
            return False
        held_us = now_us - self._acquired_us.get(job, now_us)
        if held_us <= self.timing.lease_us * self._rebalance_delay_leases.get(job, 1):
            return False
        return preferred_member(job, members) != self.membership.me

    # -- the store's answers ---------------------------------------------------------------------------

    def jobs_to_poll(self, now_us: int, is_full_poll: bool) -> list[str]:
        """Returns the jobs whose leases are to be read: all that this process does not hold, or those it watches."""
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
        """Records the leases of these jobs as the store reports them. A job without a lease is free."""
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
        """Applies the store's answers, read at `now_us`. A request that was not decided counts as unanswered."""
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
        """Handles the timeout of requests."""
        for job, request in requests:
            self.candidates[job].handle_timeout(now_us, request.sequence)

    def _collect(self, job: str, actions: Iterable[CandidateAction]) -> LeaseActions:
        """Sorts a candidate's actions into requests and events, and records what the events change."""
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
                self._observed[job].free_since_us = TIME_UNKNOWN  # reported before the change
        return collected
