"""Lease managers of several members on one store, in simulated time."""

from __future__ import annotations

from glenrock.coordination.leases.candidate import LeaseRequest, LeaseTiming, RequestKind
from glenrock.coordination.leases.lease_manager import LeaseManager
from glenrock.coordination.leases.store import JobRequest, Lease
from glenrock.coordination.membership import PeerLiveness, preferred_member, rank, rendezvous_score, stable_hash

SECOND_US = 1_000_000


TIMING = LeaseTiming(
    lease_us=1_000_000,
    max_drift_fraction=0.02,
    request_timeout_us=300_000,
    retry_interval_us=100_000,
    unreachable_backoff_us=200_000,
)


def preference_order(key: str, members: range) -> list[int]:
    order = sorted(members, key=lambda member: rendezvous_score(member, stable_hash(key)))
    assert preferred_member(key, members) == order[0] and [rank(key, member, members, 99) for member in order] == list(
        members
    )
    return order


class Members:
    """Members on one store in simulated time. Those in `suspended` do nothing."""

    def __init__(self, count: int, jobs: int) -> None:
        self.now, self.calls = 0, 0
        self.jobs = [f"j{n}" for n in range(jobs)]
        self.liveness = [PeerLiveness(n, range(count), 0) for n in range(count)]
        self.managers = [LeaseManager(liveness, TIMING, self.jobs, 200_000) for liveness in self.liveness]
        self.leases: dict[str, tuple[int, int, int]] = {}  # job: holder, term, until
        self.suspended: set[int] = set()

    def run(self, seconds: float, idle_member: int = -1) -> None:
        until = self.now + round(seconds * SECOND_US)
        while self.now < until:
            self.now += 50_000
            for index, manager in enumerate(self.managers):
                if index in self.suspended:
                    continue
                for other, liveness in enumerate(self.liveness):
                    if other != index and other not in self.suspended:
                        liveness.record_heard(index, self.now)
                if self.now % 200_000 == 0:
                    watched = manager.jobs_to_watch(self.now, self.now % SECOND_US == 0)
                    self.calls += bool(watched)
                    leases = {job: self.lease(job) for job in watched if job in self.leases}
                    manager.record_leases(watched, leases, self.now)
                requests = manager.tick(self.now).requests
                self.calls += bool(requests)
                more = manager.handle_answers(requests, self.answer_all(index, requests), self.now).requests
                manager.handle_answers(more, self.answer_all(index, more), self.now)
                for job in manager.held_jobs(self.now):
                    assert self.leases[job][0] == index, "a holder by its own clock is the holder at the store"
                    if index != idle_member:
                        manager.record_work(job, self.now)

    def lease(self, job: str) -> Lease:
        holder, term, until = self.leases[job]
        return Lease(str(holder) if until > self.now else "", term, max(0, until - self.now))

    def answer_all(self, member: int, requests: list[JobRequest]) -> dict[str, int]:
        return {job: self.answer(member, job, request) for job, request in requests}

    def answer(self, member: int, job: str, request: LeaseRequest) -> int:
        holder, term, until = self.leases.get(job, (-1, 0, 0))
        is_free = until <= self.now
        if request.kind is RequestKind.ACQUIRE and (is_free or holder == member):
            self.leases[job] = member, term + 1, self.now + TIMING.lease_us
            return term + 1
        if request.kind is RequestKind.RENEW and not is_free and (holder, term) == (member, request.term):
            self.leases[job] = member, term, self.now + TIMING.lease_us
            return term
        if request.kind is RequestKind.RELEASE and (holder, term) == (member, request.term):
            self.leases[job] = member, term, 0
        return 0

    def holders(self) -> dict[str, int]:
        return {job: holder for job, (holder, _, until) in self.leases.items() if until > self.now}


def test_jobs_are_distributed_taken_over_after_a_crash_and_rebalanced() -> None:
    members = Members(5, 60)
    members.run(8)
    holders = members.holders()
    assert len(holders) == 60 and all(holders[job] == preference_order(job, range(5))[0] for job in members.jobs)
    members.suspended = {holders["j0"]}
    members.run(4.5)
    after = members.holders()
    assert len(after) == 60 and not set(after.values()) & members.suspended
    assert all(after[j] == holders[j] for j in members.jobs if holders[j] not in members.suspended), (
        "no other job moves"
    )
    members.suspended = set()
    members.run(14)
    assert sum(members.holders()[job] == holders[job] for job in members.jobs) >= 58, (
        "misplaced jobs go back, some at a time"
    )


def test_store_calls_do_not_grow_with_the_number_of_jobs() -> None:
    calls = []
    for jobs in (10, 300):
        members = Members(6, jobs)
        members.run(6)
        members.calls = 0
        members.run(10)
        calls.append(members.calls)
    assert calls[1] <= 2.5 * calls[0] and calls[1] <= 6 * 10 * (5 + 3)


def test_holder_that_renews_without_working_steps_down_and_another_takes_over() -> None:
    members = Members(3, 1)
    members.run(3)
    idle_member = members.holders()["j0"]
    members.run(2.0, idle_member=idle_member)
    assert members.holders()["j0"] != idle_member
    free_intervals = 0
    for _ in range(100):  # the new holder rebalances to the preferred member, which does not acquire it
        members.run(0.1, idle_member=idle_member)
        free_intervals += not members.holders()
    assert free_intervals <= 12, "with growing patience"
    assert preference_order("j0", range(3))[0] == idle_member, "the preferred member is penalized"


def test_members_that_resume_together_leave_one_holder_for_each_job() -> None:
    members = Members(8, 4)
    members.run(3)
    members.suspended = set(range(8))
    members.now += 5 * SECOND_US
    members.suspended = set()
    members.run(2)
    assert len(members.holders()) == 4
