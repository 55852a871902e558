"""Prequal: a small pool of probe answers, used once or a few times, judged hot or cold by requests in flight.

Wydrowski, Kleinberg, Rumble and Archer, Load is not what you should balance: Introducing Prequal, NSDI 2024.
What the paper takes from the server's own counters is taken from reports here: requests in flight are
`inflight` where reports hold it, else the load ratio; latency is the probe's own, since the servers of this
platform report none. Both stand in for what the paper measured, and the note says what that costs it.
"""

from __future__ import annotations

from dataclasses import dataclass

from glenrock.routing import interface

from .simple import Asked, Known, Simple

POOL = 16  # answers kept
RATE = 3.0  # probes a request
REMOVE = 1.0  # answers taken out a request, beside those used up
AGE_US = 1_000_000  # answers older than this are dropped
QUANTILE = 0.84  # of what is in flight, over the answers seen lately: above it a server is hot
SEEN = 128


@dataclass(slots=True)
class Answer:
    server: Known
    at: int
    flight: float
    latency: float
    uses: int


class Prequal(Simple):
    def __init__(self, settings: interface.Settings, seed: int) -> None:
        super().__init__(settings, seed)
        self.pool: list[Answer] = []
        self.seen: list[float] = []
        self.due = 0.0
        self.worst_next = False

    def on_arrival(self) -> None:
        self.due += RATE
        while self.due >= 1 and self.ready:
            self.due -= 1
            self.probe(self.some(self.ready))

    def on_report(self, s: Known, latency_us: int) -> None:
        flight = s.report.get("inflight", s.report.get(interface.LOAD_RATIO, s.report.get(interface.UTILIZATION, 0.0)))
        self.seen = (self.seen + [flight])[-SEEN:]
        # Uses of an answer, as the paper's reuse budget: pool size, rates and servers set it.
        n, m = max(1, len(self.ready)), POOL
        spare = (1 - m / n) * RATE - REMOVE if n > m else 0.0
        uses = max(1, round(2 / spare)) if spare > 0 else 2
        self.pool.append(Answer(s, self.now, flight, float(latency_us), uses))
        if len(self.pool) > POOL:
            self.pool.pop(0)

    def limit(self) -> float:
        order = sorted(self.seen)
        return order[min(len(order) - 1, int(QUANTILE * len(order)))] if order else float("inf")

    def pick(self, f: Asked, among: list[Known]) -> Known:
        usable = set(map(id, among))
        self.pool = [a for a in self.pool if self.now - a.at <= AGE_US and a.server.ready]
        there = [a for a in self.pool if id(a.server) in usable]
        if len(there) < 2:
            return self.some(among)
        limit = self.limit()
        cold = [a for a in there if a.flight <= limit]
        best = min(cold, key=lambda a: a.latency) if cold else min(there, key=lambda a: a.flight)
        best.uses -= 1
        best.flight += 1 if "inflight" in best.server.report else 0.0
        if best.uses <= 0:
            self.pool.remove(best)
        self.remove(limit)
        return best.server

    def remove(self, limit: float) -> None:
        """One answer a request goes: by turns the oldest, and the worst."""
        if len(self.pool) < 2:
            return
        self.worst_next = not self.worst_next
        if not self.worst_next:
            self.pool.pop(0)
            return
        hot = [a for a in self.pool if a.flight > limit]
        worst = max(hot, key=lambda a: a.flight) if hot else max(self.pool, key=lambda a: a.latency)
        self.pool.remove(worst)
