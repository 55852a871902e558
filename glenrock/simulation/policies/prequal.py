"""Prequal: a small pool of health-check results, classed as hot or cold by requests in flight.

Wydrowski, Kleinberg, Rumble and Archer, Load is not what you should balance: Introducing Prequal, NSDI 2024.
The paper's server-side counters come from load reports here. Requests in flight are the field `inflight` where reports
have it, else the load ratio. The latency is that of the health check itself, since the servers of this platform do not
report a latency.
"""

from __future__ import annotations

from dataclasses import dataclass

from glenrock.routing import interface

from .simple import KnownServer, PendingRequest, ReferencePolicy

POOL_SIZE = 16
HEALTH_CHECKS_PER_REQUEST = 3.0
REMOVED_PER_REQUEST = 1.0  # results removed from the pool, apart from those without remaining uses
MAX_RESULT_AGE_US = 1_000_000
HOT_QUANTILE = 0.84  # a result is hot above this quantile of recent requests in flight
RECENT_RESULTS = 128  # results that the quantile is taken over
MIN_POOL = 2  # results of candidates; with fewer, a server is drawn at random


@dataclass(slots=True)
class PoolEntry:
    """The result of a health check, and how often it may still be used."""

    server: KnownServer
    at_us: int
    inflight: float
    latency_us: float
    remaining_uses: int


class Prequal(ReferencePolicy):
    """Selects a server by the health-check results in the pool.

    Attributes:
        pool: health-check results, oldest first.
        recent_inflight: requests in flight that the latest results report.
        health_checks_due: health checks to send, which accumulate with each request.
        removed_worst_last: true if the latest removal took the worst result, false if it took the oldest.
    """

    def __init__(self, settings: interface.Settings, seed: int) -> None:
        super().__init__(settings, seed)
        self.pool: list[PoolEntry] = []
        self.recent_inflight: list[float] = []
        self.health_checks_due = 0.0
        self.removed_worst_last = False

    def on_arrival(self) -> None:
        """Sends the health checks that are due with a request."""
        self.health_checks_due += HEALTH_CHECKS_PER_REQUEST
        while self.health_checks_due >= 1 and self.ready:
            self.health_checks_due -= 1
            self.send_health_check(self.draw_server(self.ready))

    def on_report(self, server: KnownServer, latency_us: int) -> None:
        """Adds the result of a health check to the pool."""
        utilization = server.report.get(interface.UTILIZATION, 0.0)
        inflight = server.report.get("inflight", server.report.get(interface.LOAD_RATIO, utilization))
        self.recent_inflight = [*self.recent_inflight, inflight][-RECENT_RESULTS:]
        self.pool.append(PoolEntry(server, self.now_us, inflight, float(latency_us), self._reuse_budget()))
        if len(self.pool) > POOL_SIZE:
            self.pool.pop(0)

    def _reuse_budget(self) -> int:
        """Returns how often a result may be used (the reuse budget of the paper)."""
        servers = max(1, len(self.ready))
        spare = 0.0
        if servers > POOL_SIZE:
            spare = (1 - POOL_SIZE / servers) * HEALTH_CHECKS_PER_REQUEST - REMOVED_PER_REQUEST
        return max(1, round(2 / spare)) if spare > 0 else 2

    def _hot_limit(self) -> float:
        ordered = sorted(self.recent_inflight)
        return ordered[min(len(ordered) - 1, int(HOT_QUANTILE * len(ordered)))] if ordered else float("inf")

    def select_server(self, request: PendingRequest, candidates: list[KnownServer]) -> KnownServer:
        """Selects the cold server of the lowest latency, or else the hot one with the fewest requests in flight."""
        candidate_ids = set(map(id, candidates))
        self.pool = [
            entry for entry in self.pool if self.now_us - entry.at_us <= MAX_RESULT_AGE_US and entry.server.is_ready
        ]
        usable = [entry for entry in self.pool if id(entry.server) in candidate_ids]
        if len(usable) < MIN_POOL:
            return self.draw_server(candidates)
        limit = self._hot_limit()
        cold = [entry for entry in usable if entry.inflight <= limit]
        best = min(cold, key=lambda entry: entry.latency_us) if cold else min(usable, key=lambda entry: entry.inflight)
        best.remaining_uses -= 1
        best.inflight += 1 if "inflight" in best.server.report else 0.0
        if best.remaining_uses <= 0:
            self.pool.remove(best)
        self._remove_one(limit)
        return best.server

    def _remove_one(self, limit: float) -> None:
        """Removes one result per request, by turns the worst and the oldest."""
        if len(self.pool) < MIN_POOL:
            return
        self.removed_worst_last = not self.removed_worst_last
        if not self.removed_worst_last:
            self.pool.pop(0)
            return
        hot = [entry for entry in self.pool if entry.inflight > limit]
        if hot:
            worst = max(hot, key=lambda entry: entry.inflight)
        else:
            worst = max(self.pool, key=lambda entry: entry.latency_us)
        self.pool.remove(worst)
