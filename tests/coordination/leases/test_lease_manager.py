"""The lease managers of several members on one simulated store, in simulated time."""

from __future__ import annotations

from typing import NamedTuple

from glenrock.coordination.leases.candidate import LeaseRequest, LeaseTiming, RequestKind
from glenrock.coordination.leases.lease_manager import LeaseManager
from glenrock.coordination.leases.store import NOT_GRANTED, JobRequest, Lease, LeaseAnswers
from glenrock.coordination.membership import PeerLiveness, preferred_member, rank, rendezvous_score, stable_hash

SECOND_US = 1_000_000
TICK_US = 50_000
POLL_US = 200_000
STAGGER_US = 200_000  # between the requests of two members for a free lease
NO_MEMBER = -1
TIMING = LeaseTiming(
    lease_us=1_000_000,
    max_drift_fraction=0.02,
    request_timeout_us=300_000,
    retry_interval_us=100_000,
    unreachable_backoff_us=200_000,
)


def preference_order(key: str, members: range) -> list[int]:
    """Returns the members in their rendezvous order for a job, and checks `preferred_member` and `rank` against it."""
    order = sorted(members, key=lambda member: rendezvous_score(member, stable_hash(key)))
    assert preferred_member(key, members) == order[0]
    assert [rank(key, member, members, 99) for member in order] == list(members)
    return order


class StoredLease(NamedTuple):
    """A lease in the simulated store."""

    holder: int
    term: int
    expires_us: int


NO_LEASE = StoredLease(NO_MEMBER, 0, 0)


class SimulatedMembers:
    """Members on one simulated store.

    Attributes:
        now_us: the simulated time.
        call_count: number of calls to the store.
        jobs: the jobs that the members share.
        liveness: which other members each member regards as alive, by member.
        managers: the lease managers, by member.
        leases: the leases in the store, by job.
        paused: members whose processes are paused.
    """

    def __init__(self, count: int, job_count: int) -> None:
        self.now_us = 0
        self.call_count = 0
        self.jobs = [f"j{number}" for number in range(job_count)]
        self.liveness = [PeerLiveness(member, range(count), 0) for member in range(count)]
        self.managers = [LeaseManager(liveness, TIMING, self.jobs, STAGGER_US) for liveness in self.liveness]
        self.leases: dict[str, StoredLease] = {}
        self.paused: set[int] = set()

    def run(self, duration_s: float, idle_member: int = NO_MEMBER) -> None:
        """Advances the simulated time. `idle_member` renews its leases without working on the jobs."""
        end_us = self.now_us + round(duration_s * SECOND_US)
        while self.now_us < end_us:
            self.now_us += TICK_US
            for member in range(len(self.managers)):
                if member not in self.paused:
                    self._run_member(member, is_idle=member == idle_member)

    def _run_member(self, member: int, is_idle: bool) -> None:
        manager = self.managers[member]
        for other, liveness in enumerate(self.liveness):
            if other != member and other not in self.paused:
                liveness.record_heard(member, self.now_us)
        if self.now_us % POLL_US == 0:
            self._poll(manager)
        requests = manager.tick(self.now_us).requests
        self.call_count += bool(requests)
        further_requests = manager.handle_answers(requests, self._answer_all(member, requests), self.now_us).requests
        manager.handle_answers(further_requests, self._answer_all(member, further_requests), self.now_us)
        for job in manager.held_jobs(self.now_us):
            assert self.leases[job].holder == member, (
                "a member that regards itself as holder is the holder at the store"
            )
            if not is_idle:
                manager.record_work(job, self.now_us)

    def _poll(self, manager: LeaseManager) -> None:
        polled = manager.jobs_to_poll(self.now_us, self.now_us % SECOND_US == 0)
        self.call_count += bool(polled)
        leases = {job: self._lease(job) for job in polled if job in self.leases}
        manager.record_leases(polled, leases, self.now_us)

    def _lease(self, job: str) -> Lease:
        stored = self.leases[job]
        is_free = stored.expires_us <= self.now_us
        return Lease("" if is_free else str(stored.holder), stored.term, max(0, stored.expires_us - self.now_us))

    def _answer_all(self, member: int, requests: list[JobRequest]) -> LeaseAnswers:
        return LeaseAnswers({job: self._answer(member, job, request) for job, request in requests})

    def _answer(self, member: int, job: str, request: LeaseRequest) -> int:
        """Applies a request at the store. Returns the term that is granted or renewed, or NOT_GRANTED."""
        stored = self.leases.get(job, NO_LEASE)
        is_free = stored.expires_us <= self.now_us
        is_held_term = (stored.holder, stored.term) == (member, request.term)
        expires_us = self.now_us + TIMING.lease_us
        if request.kind is RequestKind.ACQUIRE and (is_free or stored.holder == member):
            self.leases[job] = StoredLease(member, stored.term + 1, expires_us)
            return stored.term + 1
        if request.kind is RequestKind.RENEW and not is_free and is_held_term:
            self.leases[job] = StoredLease(member, stored.term, expires_us)
            return stored.term
        if request.kind is RequestKind.RELEASE and is_held_term:
            self.leases[job] = StoredLease(member, stored.term, 0)
        return NOT_GRANTED

    def holders(self) -> dict[str, int]:
        """Returns the holder of each job whose lease has not expired."""
        return {job: lease.holder for job, lease in self.leases.items() if lease.expires_us > self.now_us}


def test_jobs_are_distributed_taken_over_after_a_crash_and_rebalanced() -> None:
    members = SimulatedMembers(5, 60)
    members.run(8)
    holders = members.holders()
    assert len(holders) == 60
    assert all(holders[job] == preference_order(job, range(5))[0] for job in members.jobs)
    members.paused = {holders["j0"]}
    members.run(4.5)
    later_holders = members.holders()
    assert len(later_holders) == 60
    assert not set(later_holders.values()) & members.paused
    unaffected = [job for job in members.jobs if holders[job] not in members.paused]
    assert all(later_holders[job] == holders[job] for job in unaffected), "jobs of other members keep their holder"
    members.paused = set()
    members.run(14)
    at_preferred = sum(members.holders()[job] == holders[job] for job in members.jobs)
    assert at_preferred >= 58, "misplaced jobs return to the preferred member, a few at a time"


def test_store_calls_do_not_grow_with_the_number_of_jobs() -> None:
    call_counts = []
    for job_count in (10, 300):
        members = SimulatedMembers(6, job_count)
        members.run(6)
        members.call_count = 0
        members.run(10)
        call_counts.append(members.call_count)
    few_jobs, many_jobs = call_counts
    assert many_jobs <= 2.5 * few_jobs
    assert many_jobs <= 6 * 10 * (5 + 3)


def test_holder_that_renews_without_working_steps_down_and_another_takes_over() -> None:
    members = SimulatedMembers(3, 1)
    members.run(3)
    idle_member = members.holders()["j0"]
    members.run(2.0, idle_member=idle_member)
    assert members.holders()["j0"] != idle_member
    free_intervals = 0
    for _ in range(100):  # the new holder releases the job for the preferred member, which does not acquire it
        members.run(0.1, idle_member=idle_member)
        free_intervals += not members.holders()
    assert free_intervals <= 12, "the rebalance delay grows with each release"
    assert preference_order("j0", range(3))[0] == idle_member, (
        "the preferred member is the idle one, which is in its cooldown"
    )


def test_members_that_resume_together_leave_one_holder_for_each_job() -> None:
    members = SimulatedMembers(8, 4)
    members.run(3)
    members.paused = set(range(8))
    members.now_us += 5 * SECOND_US
    members.paused = set()
    members.run(2)
    assert len(members.holders()) == 4


def test_requested_job_is_requested_until_stop_requesting_or_step_down() -> None:
    for stop_name in ("stop_requesting", "step_down"):
        manager = LeaseManager(PeerLiveness(0, range(1), 0), TIMING, [], STAGGER_US)
        manager.request_lease("turnstile/0", 0)
        (job, request), *_ = manager.tick(0).requests
        assert (job, request.kind) == ("turnstile/0", RequestKind.ACQUIRE)
        manager.handle_answers([JobRequest(job, request)], LeaseAnswers({job: NOT_GRANTED}), 1)
        assert manager.tick(SECOND_US).requests, "requested again after a rejection"
        manager.handle_timeouts([JobRequest(job, request)], SECOND_US)
        if stop_name == "stop_requesting":
            manager.stop_requesting(job)
        else:
            manager.step_down(job, SECOND_US)
        assert not manager.tick(9 * SECOND_US).requests
