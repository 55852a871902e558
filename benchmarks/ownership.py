"""Costs of one owner at a time: calls at the store by balancers and jobs, and time without an owner.

    .venv/bin/python benchmarks/ownership.py

In simulated time, on the real `LeaseManager` and the stand-in for Consul's state; a store of 3 ms a call. Every figure
is a count or a ratio of the term's length, so the machine's speed plays no part.
"""

from __future__ import annotations

import random
from collections import Counter

from glenrock.coordination.leases.candidate import LeaseAcquired, LeaseTiming
from glenrock.coordination.leases.lease_manager import JobRequest, LeaseManager
from glenrock.coordination.leases.store import Lease
from glenrock.coordination.membership import PeerLiveness

S = 1_000_000
RULES = LeaseTiming(
    lease_us=10 * S,
    max_drift_fraction=0.01,
    request_timeout_us=2 * S,
    retry_interval_us=S,
    unreachable_backoff_us=2 * S,
)
TURN, LOOK, ALL_EACH = 50_000, 2 * S, 5  # as the program has them
WAY = 3000


class Fleet:
    """Balancers that look, ask and are answered a way later. `late`: how long past its end a lease is still held."""

    def __init__(self, balancers: int, jobs: int, seed: int, late: float = 0.0) -> None:
        self.draw, self.now, self.late = random.Random(seed), 0, round(late * RULES.lease_us)
        self.jobs = [f"job-{n}" for n in range(jobs)]
        self.rosters = [PeerLiveness(n, range(balancers), 0) for n in range(balancers)]
        self.members = [LeaseManager(r, RULES, self.jobs, LOOK) for r in self.rosters]
        self.turn_at = [self.draw.randrange(TURN) for _ in self.members]
        self.look_at = [self.draw.randrange(LOOK) for _ in self.members]
        self.looks = [0] * balancers
        self.leases: dict[str, tuple[int, int, int]] = {}
        self.asleep: dict[int, int] = {}  # until when
        self.down_until = 0
        self.calls: Counter[str] = Counter()
        self.free_since: dict[str, int] = dict.fromkeys(self.jobs, 0)
        self.gaps: list[float] = []

    def run(self, seconds: float) -> None:
        until = self.now + round(seconds * S)
        while self.now < until:
            self.now += TURN // 5
            if self.now % S == 0:
                for n in range(len(self.rosters)):
                    if n not in self.asleep:
                        for other in self.rosters:
                            other.record_heard(n, self.now)
            for n, h in enumerate(self.members):
                if self.asleep.get(n, 0) > self.now:
                    continue
                self.asleep.pop(n, None)
                if self.look_at[n] <= self.now:
                    self.look_at[n] = self.now + LOOK
                    self.looks[n] += 1
                    asked = h.jobs_to_watch(self.now, self.looks[n] % ALL_EACH == 0)
                    self.calls["looks"] += bool(asked)
                    if self.now >= self.down_until:
                        h.record_leases(asked, {j: self.lease(j) for j in asked if j in self.leases}, self.now)
                if self.turn_at[n] <= self.now:
                    self.turn_at[n] = self.now + TURN
                    self.answer(n, h, h.tick(self.now).requests)
                    for j in h.held_jobs(self.now):
                        h.record_work(j, self.now)

    def answer(self, n: int, h: LeaseManager, asks: list[JobRequest]) -> None:
        if not asks:
            return
        kinds = Counter(a.kind for _, a in asks)
        self.calls["renewals"] += (1 + -(-kinds["renew"] // 64)) if kinds["renew"] else 0
        self.calls["acquires"] += (1 + min(kinds["acquire"], 5) + -(-kinds["acquire"] // 32)) if kinds["acquire"] else 0
        self.calls["releases"] += kinds["release"]
        if self.now < self.down_until:
            h.handle_timeouts(asks, self.now + RULES.request_timeout_us)
            return
        granted = {j: self.ask(n, j, a.kind, a.term) for j, a in asks}
        outcome = h.handle_answers(asks, granted, self.now + WAY)
        for job, e in outcome.events:
            if isinstance(e, LeaseAcquired) and job in self.free_since:
                self.gaps.append((self.now - self.free_since.pop(job)) / RULES.lease_us)
        self.answer(n, h, outcome.requests)

    def lease(self, j: str) -> Lease:
        holder, term, until = self.leases[j]
        return Lease(str(holder) if until > self.now else "", term, -1)

    def ask(self, n: int, j: str, kind: str, term: int) -> int:
        holder, at, until = self.leases.get(j, (-1, 0, 0))
        if kind == "acquire" and until <= self.now:
            self.leases[j] = n, at + 1, self.now + RULES.lease_us + self.late
            return at + 1
        if (holder, at) == (n, term) and until > self.now and kind != "acquire":
            self.leases[j] = n, at, self.now + RULES.lease_us + self.late if kind == "renew" else 0
            return at if kind == "renew" else 0
        return 0

    def strike(self, n: int, for_s: float) -> None:
        for job in self.members[n].held_jobs(self.now):
            self.free_since[job] = self.now
        self.asleep[n] = self.now + round(for_s * S)


def part(found: list[float], p: float) -> float:
    return sorted(found)[min(len(found) - 1, int(p * len(found)))] if found else float("nan")


def main() -> None:
    print("calls at the store a second, a term of 10 s, nothing wrong: looks, renewals, others; all")
    for balancers in (3, 20, 200):
        for jobs in (1, 30, 1000):
            f = Fleet(balancers, jobs, 1)
            f.run(40)
            f.calls.clear()
            f.run(20)
            c = {k: v / 20 for k, v in f.calls.items()}
            others = c.get("acquires", 0) + c.get("releases", 0)
            print(
                f"{balancers:4} balancers, {jobs:4} jobs: {c.get('looks', 0):6.1f} {c.get('renewals', 0):6.1f} "
                f"{others:5.1f}; {sum(c.values()):6.1f}",
                flush=True,
            )
    print("time without an owner, in terms, from the strike on: p50, p99 (20 balancers, 40 jobs)")
    for what, for_s, late in (
        ("kill", 1e6, 0.0),
        ("kill, TTL honoured at 1.5 of it", 1e6, 0.5),
        ("pause of 1.2 terms", 12, 0.0),
        ("store away for 0.5 terms, and a kill", 1e6, 0.0),
    ):
        gaps: list[float] = []
        for seed in range(6):
            f = Fleet(20, 40, seed, late)
            f.run(40)
            f.gaps.clear()
            struck = f.draw.sample(range(20), 4)
            for n in struck:
                f.strike(n, for_s)
            if what.startswith("store"):
                f.down_until = f.now + RULES.lease_us // 2
            f.run(40)
            gaps += f.gaps
        print(f"{what}: {part(gaps, 0.5):.2f} {part(gaps, 0.99):.2f} ({len(gaps)} jobs)")
    gaps = []
    for seed in range(6):
        f = Fleet(20, 40, seed)
        f.run(40)
        f.gaps.clear()
        for n in f.draw.sample(range(20), 4):
            for job in f.members[n].held_jobs(f.now):
                f.free_since[job] = f.now
            f.answer(n, f.members[n], f.members[n].step_down_from_all(f.now).requests)
            f.asleep[n] = 1 << 60
            f.look_at = [f.now + WAY] * 20  # told that they are free
        f.run(40)
        gaps += f.gaps
    print(f"given back: {part(gaps, 0.5):.2f} {part(gaps, 0.99):.2f} ({len(gaps)} jobs)")


if __name__ == "__main__":
    main()
