"""Costs of leases: calls to the store by balancers and jobs, and the time that a job is without a holder.

    .venv/bin/python benchmarks/ownership.py

In simulated time, with the program's `LeaseManager` and a model of Consul that takes 3 ms for a call. Every figure is a
count or a multiple of the lease, so the machine's speed has no influence.
"""

from __future__ import annotations

import random
from collections import Counter

from glenrock.coordination.leases.candidate import LeaseAcquired, LeaseRequest, LeaseTiming, RequestKind
from glenrock.coordination.leases.lease_manager import LeaseManager
from glenrock.coordination.leases.store import TIME_UNKNOWN, JobRequest, Lease, LeaseAnswers
from glenrock.coordination.membership import PeerLiveness

SECOND_US = 1_000_000
TIMING = LeaseTiming(
    lease_us=10 * SECOND_US,
    max_drift_fraction=0.01,
    request_timeout_us=2 * SECOND_US,
    retry_interval_us=SECOND_US,
    unreachable_backoff_us=2 * SECOND_US,
)
TICK_US, WATCH_US, FULL_WATCH_INTERVAL = 50_000, 2 * SECOND_US, 5  # of the program with such a lease
ANSWER_US = 3000
CHECKS_PER_CALL, ACQUISITIONS_PER_CALL, SINGLE_READS = 64, 32, 5
FOREVER_S = 1e6
SEEDS = 6


class Fleet:
    """Balancers that watch, request, and are answered `ANSWER_US` later.

    `late_fraction`: of a lease, by which the store honours a lease for longer.
    """

    def __init__(self, balancers: int, jobs: int, seed: int, late_fraction: float = 0.0) -> None:
        self.random_source = random.Random(seed)
        self.now_us = 0
        self.late_us = round(late_fraction * TIMING.lease_us)
        self.jobs = [f"job-{n}" for n in range(jobs)]
        self.liveness = [PeerLiveness(index, range(balancers), 0) for index in range(balancers)]
        self.managers = [LeaseManager(liveness, TIMING, self.jobs, WATCH_US) for liveness in self.liveness]
        self.next_tick_us = [self.random_source.randrange(TICK_US) for _ in self.managers]
        self.next_watch_us = [self.random_source.randrange(WATCH_US) for _ in self.managers]
        self.watches = [0] * balancers
        self.leases: dict[str, tuple[int, int, int]] = {}  # holder, term, when it ends
        self.suspended_until_us: dict[int, int] = {}
        self.store_down_until_us = 0
        self.calls: Counter[str] = Counter()
        self.free_since_us: dict[str, int] = dict.fromkeys(self.jobs, 0)
        self.gaps: list[float] = []  # leases without a holder, after a fault

    def run(self, seconds: float) -> None:
        """Runs all managers for that long in simulated time."""
        end_us = self.now_us + round(seconds * SECOND_US)
        while self.now_us < end_us:
            self.now_us += TICK_US // 5
            if self.now_us % SECOND_US == 0:
                self.send_heartbeats()
            for index, manager in enumerate(self.managers):
                if self.suspended_until_us.get(index, 0) > self.now_us:
                    continue
                self.suspended_until_us.pop(index, None)
                if self.next_watch_us[index] <= self.now_us:
                    self.watch(index, manager)
                if self.next_tick_us[index] <= self.now_us:
                    self.next_tick_us[index] = self.now_us + TICK_US
                    self.submit(index, manager, manager.tick(self.now_us).requests)
                    for job in manager.held_jobs(self.now_us):
                        manager.record_work(job, self.now_us)

    def send_heartbeats(self) -> None:
        """Lets every manager hear of each one that is not suspended."""
        for index in range(len(self.liveness)):
            if index not in self.suspended_until_us:
                for other in self.liveness:
                    other.record_heard(index, self.now_us)

    def watch(self, index: int, manager: LeaseManager) -> None:
        """Reads the leases that a manager watches, unless the store is down."""
        self.next_watch_us[index] = self.now_us + WATCH_US
        self.watches[index] += 1
        jobs = manager.jobs_to_poll(self.now_us, self.watches[index] % FULL_WATCH_INTERVAL == 0)
        self.calls["watches"] += bool(jobs)
        if self.now_us >= self.store_down_until_us:
            leases = {job: self.lease(job) for job in jobs if job in self.leases}
            manager.record_leases(jobs, leases, self.now_us)

    def submit(self, index: int, manager: LeaseManager, requests: list[JobRequest]) -> None:
        """Sends requests to the store, and then those that follow from its answers."""
        if not requests:
            return
        self.count_calls(Counter(request.kind for _, request in requests))
        if self.now_us < self.store_down_until_us:
            manager.handle_timeouts(requests, self.now_us + TIMING.request_timeout_us)
            return
        answers = LeaseAnswers({job: self.answer(index, job, request) for job, request in requests})
        actions = manager.handle_answers(requests, answers, self.now_us + ANSWER_US)
        for job, event in actions.events:
            if isinstance(event, LeaseAcquired) and job in self.free_since_us:
                self.gaps.append((self.now_us - self.free_since_us.pop(job)) / TIMING.lease_us)
        self.submit(index, manager, actions.requests)

    def count_calls(self, kinds: Counter[RequestKind]) -> None:
        """Counts the calls that these requests take at the store."""
        if renewals := kinds[RequestKind.RENEW]:
            self.calls["renewals"] += 1 + -(-renewals // CHECKS_PER_CALL)
        if acquisitions := kinds[RequestKind.ACQUIRE]:
            self.calls["acquisitions"] += (
                1 + min(acquisitions, SINGLE_READS) + -(-acquisitions // ACQUISITIONS_PER_CALL)
            )
        self.calls["releases"] += kinds[RequestKind.RELEASE]

    def lease(self, job: str) -> Lease:
        """Returns the lease of a job as the store reports it."""
        holder, term, until_us = self.leases[job]
        return Lease(str(holder) if until_us > self.now_us else "", term, TIME_UNKNOWN)

    def answer(self, index: int, job: str, request: LeaseRequest) -> int:
        """Returns the term that the store grants; 0 if it rejects the request."""
        holder, term, until_us = self.leases.get(job, (-1, 0, 0))
        lease_end_us = self.now_us + TIMING.lease_us + self.late_us
        if request.kind is RequestKind.ACQUIRE and until_us <= self.now_us:
            self.leases[job] = index, term + 1, lease_end_us
            return term + 1
        is_held = (holder, term) == (index, request.term) and until_us > self.now_us
        if is_held and request.kind is RequestKind.RENEW:
            self.leases[job] = index, term, lease_end_us
            return term
        if is_held and request.kind is RequestKind.RELEASE:
            self.leases[job] = index, term, 0
        return 0

    def suspend(self, index: int, duration_s: float) -> None:
        """Suspends a manager, and records which jobs lose their holder."""
        for job in self.managers[index].held_jobs(self.now_us):
            self.free_since_us[job] = self.now_us
        self.suspended_until_us[index] = self.now_us + round(duration_s * SECOND_US)


def percentile(values: list[float], fraction: float) -> float:
    """Returns the value at that fraction of the sorted values; NaN without values."""
    return sorted(values)[min(len(values) - 1, int(fraction * len(values)))] if values else float("nan")


def report_calls() -> None:
    """Prints the calls at the store by number of balancers and jobs."""
    print("calls at the store a second, a lease of 10 s, no faults: watches, renewals, others; all")
    for balancers in (3, 20, 200):
        for jobs in (1, 30, 1000):
            fleet = Fleet(balancers, jobs, 1)
            fleet.run(40)
            fleet.calls.clear()
            fleet.run(20)
            calls = {kind: count / 20 for kind, count in fleet.calls.items()}
            others = calls.get("acquisitions", 0) + calls.get("releases", 0)
            print(
                f"{balancers:4} balancers, {jobs:4} jobs: {calls.get('watches', 0):6.1f} "
                f"{calls.get('renewals', 0):6.1f} {others:5.1f}; {sum(calls.values()):6.1f}",
                flush=True,
            )


def started_fleet(seed: int, late_fraction: float = 0.0) -> Fleet:
    """Returns a fleet in which each job has a holder."""
    fleet = Fleet(20, 40, seed, late_fraction)
    fleet.run(40)
    fleet.gaps.clear()
    return fleet


def report_gaps() -> None:
    """Prints how long jobs have no holder after a fault."""
    print("time without a holder, in leases, from the fault on: p50, p99 (20 balancers, 40 jobs)")
    for name, duration_s, late_fraction, has_store_fault in (
        ("kill", FOREVER_S, 0.0, False),
        ("kill, TTL honoured at 1.5 of it", FOREVER_S, 0.5, False),
        ("pause of 1.2 leases", 12, 0.0, False),
        ("store away for 0.5 leases, and a kill", FOREVER_S, 0.0, True),
    ):
        gaps: list[float] = []
        for seed in range(SEEDS):
            fleet = started_fleet(seed, late_fraction)
            for index in fleet.random_source.sample(range(20), 4):
                fleet.suspend(index, duration_s)
            if has_store_fault:
                fleet.store_down_until_us = fleet.now_us + TIMING.lease_us // 2
            fleet.run(40)
            gaps += fleet.gaps
        print(f"{name}: {percentile(gaps, 0.5):.2f} {percentile(gaps, 0.99):.2f} ({len(gaps)} jobs)")


def report_releases() -> None:
    """Prints how long jobs have no holder after their release."""
    gaps = []
    for seed in range(SEEDS):
        fleet = started_fleet(seed)
        for index in fleet.random_source.sample(range(20), 4):
            for job in fleet.managers[index].held_jobs(fleet.now_us):
                fleet.free_since_us[job] = fleet.now_us
            fleet.submit(index, fleet.managers[index], fleet.managers[index].step_down_from_all(fleet.now_us).requests)
            fleet.suspended_until_us[index] = 1 << 60
            fleet.next_watch_us = [fleet.now_us + ANSWER_US] * 20  # the releases are broadcast
        fleet.run(40)
        gaps += fleet.gaps
    print(f"released: {percentile(gaps, 0.5):.2f} {percentile(gaps, 0.99):.2f} ({len(gaps)} jobs)")


def main() -> None:
    """Prints all reports."""
    report_calls()
    report_gaps()
    report_releases()


if __name__ == "__main__":
    main()
