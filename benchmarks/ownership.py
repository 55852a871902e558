"""Costs of leases: calls to the store by number of balancers and jobs, and how long a job has no holder after a fault.

    python benchmarks/ownership.py

Runs the program's `LeaseManager` in simulated time against a model of Consul that answers a call after 3 ms. Results
are counts or multiples of the lease duration, so they do not depend on the speed of the machine.
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
# The intervals that the program uses for this lease duration.
TICK_INTERVAL_US, POLL_INTERVAL_US, POLLS_PER_FULL_POLL = 50_000, 2 * SECOND_US, 5
STORE_LATENCY_US = 3000
RENEWALS_PER_CALL, ACQUISITIONS_PER_CALL, MAX_READ_CALLS = 64, 32, 5
KILL_DURATION_S = 1e6  # longer than any run: a killed balancer does not come back
SEEDS = 6


class Fleet:
    """Lease managers of a fleet of balancers that share one modelled store.

    Args:
        late_expiry_fraction: how much later than its duration the store expires a lease, as a fraction of the duration.
    """

    def __init__(self, balancers: int, jobs: int, seed: int, late_expiry_fraction: float = 0.0) -> None:
        self.random_source = random.Random(seed)
        self.now_us = 0
        self.late_expiry_us = round(late_expiry_fraction * TIMING.lease_us)
        self.jobs = [f"job-{n}" for n in range(jobs)]
        self.liveness = [PeerLiveness(index, range(balancers), 0) for index in range(balancers)]
        self.managers = [LeaseManager(liveness, TIMING, self.jobs, POLL_INTERVAL_US) for liveness in self.liveness]
        self.next_tick_us = [self.random_source.randrange(TICK_INTERVAL_US) for _ in self.managers]
        self.next_poll_us = [self.random_source.randrange(POLL_INTERVAL_US) for _ in self.managers]
        self.poll_counts = [0] * balancers
        self.leases: dict[str, tuple[int, int, int]] = {}  # by job: holder, term, time of expiry
        self.paused_until_us: dict[int, int] = {}
        self.store_down_until_us = 0
        self.calls: Counter[str] = Counter()
        self.unheld_since_us: dict[str, int] = dict.fromkeys(self.jobs, 0)
        self.unheld_times: list[float] = []  # from a fault to the next holder, in lease durations

    def run(self, seconds: float) -> None:
        """Runs all managers for a duration of simulated time."""
        end_us = self.now_us + round(seconds * SECOND_US)
        while self.now_us < end_us:
            self.now_us += TICK_INTERVAL_US // 5
            if self.now_us % SECOND_US == 0:
                self.send_heartbeats()
            for index, manager in enumerate(self.managers):
                if self.paused_until_us.get(index, 0) > self.now_us:
                    continue
                self.paused_until_us.pop(index, None)
                if self.next_poll_us[index] <= self.now_us:
                    self.poll(index, manager)
                if self.next_tick_us[index] <= self.now_us:
                    self.next_tick_us[index] = self.now_us + TICK_INTERVAL_US
                    self.submit(index, manager, manager.tick(self.now_us).requests)
                    for job in manager.held_jobs(self.now_us):
                        manager.record_work(job, self.now_us)

    def send_heartbeats(self) -> None:
        """Delivers a heartbeat of each balancer that is not paused to every balancer."""
        for index in range(len(self.liveness)):
            if index not in self.paused_until_us:
                for other in self.liveness:
                    other.record_heard(index, self.now_us)

    def poll(self, index: int, manager: LeaseManager) -> None:
        """Reads the leases that a manager polls; there is no answer while the store is down."""
        self.next_poll_us[index] = self.now_us + POLL_INTERVAL_US
        self.poll_counts[index] += 1
        jobs = manager.jobs_to_poll(self.now_us, self.poll_counts[index] % POLLS_PER_FULL_POLL == 0)
        self.calls["polls"] += bool(jobs)
        if self.now_us >= self.store_down_until_us:
            leases = {job: self.lease(job) for job in jobs if job in self.leases}
            manager.record_leases(jobs, leases, self.now_us)

    def submit(self, index: int, manager: LeaseManager, requests: list[JobRequest]) -> None:
        """Sends requests to the store, and then the requests that follow from its answers."""
        if not requests:
            return
        self.count_calls(Counter(request.kind for _, request in requests))
        if self.now_us < self.store_down_until_us:
            manager.handle_timeouts(requests, self.now_us + TIMING.request_timeout_us)
            return
        answers = LeaseAnswers({job: self.answer(index, job, request) for job, request in requests})
        actions = manager.handle_answers(requests, answers, self.now_us + STORE_LATENCY_US)
        for job, event in actions.events:
            if isinstance(event, LeaseAcquired) and job in self.unheld_since_us:
                self.unheld_times.append((self.now_us - self.unheld_since_us.pop(job)) / TIMING.lease_us)
        self.submit(index, manager, actions.requests)

    def count_calls(self, kinds: Counter[RequestKind]) -> None:
        """Counts the calls to the store that requests of these kinds take."""
        if renewals := kinds[RequestKind.RENEW]:
            self.calls["renewals"] += 1 + -(-renewals // RENEWALS_PER_CALL)
        if acquisitions := kinds[RequestKind.ACQUIRE]:
            self.calls["acquisitions"] += (
                1 + min(acquisitions, MAX_READ_CALLS) + -(-acquisitions // ACQUISITIONS_PER_CALL)
            )
        self.calls["releases"] += kinds[RequestKind.RELEASE]

    def lease(self, job: str) -> Lease:
        """Returns the lease of a job as the store reports it."""
        holder, term, expiry_us = self.leases[job]
        return Lease(str(holder) if expiry_us > self.now_us else "", term, TIME_UNKNOWN)

    def answer(self, index: int, job: str, request: LeaseRequest) -> int:
        """Handles a request as the store does. Returns the granted term; 0 if the request is rejected."""
        holder, term, expiry_us = self.leases.get(job, (-1, 0, 0))
        expires_at_us = self.now_us + TIMING.lease_us + self.late_expiry_us
        if request.kind is RequestKind.ACQUIRE and expiry_us <= self.now_us:
            self.leases[job] = index, term + 1, expires_at_us
            return term + 1
        is_held = (holder, term) == (index, request.term) and expiry_us > self.now_us
        if is_held and request.kind is RequestKind.RENEW:
            self.leases[job] = index, term, expires_at_us
            return term
        if is_held and request.kind is RequestKind.RELEASE:
            self.leases[job] = index, term, 0
        return 0

    def pause(self, index: int, duration_s: float) -> None:
        """Pauses a balancer, and records which jobs lose their holder."""
        for job in self.managers[index].held_jobs(self.now_us):
            self.unheld_since_us[job] = self.now_us
        self.paused_until_us[index] = self.now_us + round(duration_s * SECOND_US)


def percentile(values: list[float], fraction: float) -> float:
    """Returns the value at a fraction of the sorted values, such as 0.99; NaN if there are no values."""
    return sorted(values)[min(len(values) - 1, int(fraction * len(values)))] if values else float("nan")


def report_calls() -> None:
    """Prints the calls to the store per second, by number of balancers and jobs."""
    print("calls to the store per second, lease of 10 s, no faults: polls, renewals, others; total")
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


def started_fleet(seed: int, late_expiry_fraction: float = 0.0) -> Fleet:
    """Returns a fleet that has run until each job has a holder."""
    fleet = Fleet(20, 40, seed, late_expiry_fraction)
    fleet.run(40)
    fleet.unheld_times.clear()
    return fleet


def report_faults() -> None:
    """Prints how long jobs have no holder after a fault of balancers or of the store."""
    print("time without a holder after a fault, in lease durations: p50, p99 (20 balancers, 40 jobs)")
    for name, duration_s, late_expiry_fraction, has_store_fault in (
        ("kill", KILL_DURATION_S, 0.0, False),
        ("kill, leases expire after 1.5 durations", KILL_DURATION_S, 0.5, False),
        ("pause of 1.2 lease durations", 12, 0.0, False),
        ("kill, store down for 0.5 lease durations", KILL_DURATION_S, 0.0, True),
    ):
        times: list[float] = []
        for seed in range(SEEDS):
            fleet = started_fleet(seed, late_expiry_fraction)
            for index in fleet.random_source.sample(range(20), 4):
                fleet.pause(index, duration_s)
            if has_store_fault:
                fleet.store_down_until_us = fleet.now_us + TIMING.lease_us // 2
            fleet.run(40)
            times += fleet.unheld_times
        print(f"{name}: {percentile(times, 0.5):.2f} {percentile(times, 0.99):.2f} ({len(times)} jobs)")


def report_releases() -> None:
    """Prints how long jobs have no holder after their holder released them."""
    times = []
    for seed in range(SEEDS):
        fleet = started_fleet(seed)
        for index in fleet.random_source.sample(range(20), 4):
            for job in fleet.managers[index].held_jobs(fleet.now_us):
                fleet.unheld_since_us[job] = fleet.now_us
            fleet.submit(index, fleet.managers[index], fleet.managers[index].step_down_from_all(fleet.now_us).requests)
            fleet.paused_until_us[index] = 1 << 60
            # A release is broadcast, and each balancer then polls at once.
            fleet.next_poll_us = [fleet.now_us + STORE_LATENCY_US] * 20
        fleet.run(40)
        times += fleet.unheld_times
    print(f"release: {percentile(times, 0.5):.2f} {percentile(times, 0.99):.2f} ({len(times)} jobs)")


def main() -> None:
    """Prints all reports."""
    report_calls()
    report_faults()
    report_releases()


if __name__ == "__main__":
    main()
