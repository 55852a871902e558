"""Which servers are considered for a request, and which of them gets it."""

from __future__ import annotations

import random
from dataclasses import dataclass

from . import load_targets
from .capacity_estimation import CapacityEstimator
from .endpoint_table import MAX_WEIGHT, EndpointTable
from .event_batch import EventBatch
from .group_affinity import GroupAffinity
from .hash_ring import MASK, mix
from .interface import Settings
from .load_estimation import LoadEstimator
from .outlier_ejection import OutlierEjection
from .retries import RetryPolicy
from .slow_start import SlowStart
from .state import RoutedRequest, Server
from .token_budget import LARGE_FLEET

HEALTH_CHECK_WAIT_US = 40_000  # a request waits this long for health checks: small beside any objective
MAX_CANDIDATES = 5  # compared for a request; more cost health checks and gain little
MAX_DRAWS = 16  # from the rings, for a request
AFFINITY_PENALTY = 0.10  # load a group's later candidates must be better by: each one pays for the group anew
ZONE_CROSSING_FACTOR = 3.0  # load that a crossing of zones must gain, as a multiple of its cost
UNANSWERED_CHECK_LOAD = 1.0  # what a server is held to have that leaves a health check unanswered


@dataclass(eq=False)
class ServerSelection:
    """Weighted random picks, the same at every balancer for the connections of a group."""

    batch: EventBatch
    settings: Settings
    rng: random.Random
    endpoints: EndpointTable
    loads: LoadEstimator
    capacity: CapacityEstimator
    slow_start: SlowStart
    ejection: OutlierEjection
    retries: RetryPolicy
    affinity: GroupAffinity

    def candidates(self, request: RoutedRequest) -> list[Server]:
        """Servers that may take the request, drawn by weight; a group seeds the draw.

        Each server that holds any of a group pays for it once more, and where each of many balancers went by
        its own weights and zone a group would end on all servers. So the order of a group's servers is the
        same at all, after the one where it was last seen to stand.
        """
        group = request.event.group
        seed = self.rng.getrandbits(64) if group is None else mix(group)
        tried = request.tried_servers()
        self.ejection.update_panic()
        found = self._warming_candidates(request, seed, tried)
        if request.slow_start_only or not self.endpoints.ring:
            return found[:MAX_CANDIDATES]
        home = self.affinity.server_of(group)
        if home and home not in found and home.id not in tried and self.retries.may_send(request, home):
            found.insert(0, home)
        del found[MAX_CANDIDATES - 1 :]
        self._draw(request, seed, tried, found)
        return found or self._any_server(request, seed, tried)

    def _warming_candidates(self, request: RoutedRequest, seed: int, tried: set[str]) -> list[Server]:
        """Where the others are full, servers that are warming up come first.

        They would stay nearly empty: each of many balancers may bring one a connection only now and then.
        """
        if not request.slow_start_only and self.loads.fleet_load <= load_targets.TARGET_LOAD:
            return []
        found = [
            server
            for server in self.slow_start.warming
            if server.id not in tried and self.retries.may_send(request, server)
        ]
        found.sort(key=lambda server: mix(seed ^ server.hash))
        return found

    def _draw(self, request: RoutedRequest, seed: int, tried: set[str], found: list[Server]) -> None:
        """Fills up the candidates from the rings, each server as likely as its weight is high."""
        grouped = request.event.group is not None
        scale = 1 if grouped else MAX_WEIGHT / 2
        for n in range(MAX_DRAWS):
            near = not grouped and self.endpoints.zone_ring and (n % 2 == 0 or n > MAX_DRAWS // 2)
            ring = self.endpoints.zone_ring if near else self.endpoints.ring
            server = ring.at(mix(seed + n))
            if server in found or server.id in tried or not self.retries.may_send(request, server):
                continue
            if mix(seed ^ server.hash) / MASK * scale <= server.weight:
                found.append(server)
                if len(found) == MAX_CANDIDATES:
                    return

    def _any_server(self, request: RoutedRequest, seed: int, tried: set[str]) -> list[Server]:
        """Few may take it: once round the ring, those already tried last."""
        around = self.endpoints.ring.around(mix(seed))
        allowed = [server for server in around if self.retries.may_send(request, server)]
        return [server for server in allowed if server.id not in tried][:1] or allowed[:1]

    def best(self, request: RoutedRequest) -> Server | None:
        """The least loaded candidate, with a handicap for crossing zones and for spreading a group."""
        best, least = None, 0.0
        for rank, server in enumerate(request.candidates):
            cost = self.expected_load(server)
            if request.event.group is not None:
                cost += AFFINITY_PENALTY * rank
            if server.zone != self.settings.zone:
                cost += ZONE_CROSSING_FACTOR * self.settings.cross_zone_cost
            if self.retries.may_send(request, server) and (best is None or cost < least):
                best, least = server, cost
        return best

    def expected_load(self, server: Server) -> float:
        """The load of a server with what was sent there since its last report."""
        load = self.loads.load(server)
        sent_us = server.health_check_sent_us
        if sent_us >= 0 and self.batch.now_us - sent_us >= HEALTH_CHECK_WAIT_US:
            load = max(load, UNANSWERED_CHECK_LOAD)
        if not self.capacity.server_capacity:
            return load
        # One that has become slow shows little load once it is emptied, and a few clients fill it.
        slowness = min(1.0, server.capacity_ratio / load_targets.SLOW_CAPACITY_RATIO)
        is_large = len(self.endpoints.index.ready) > LARGE_FLEET
        unreported = self.loads.recently_sent_load(server) if is_large else server.unreported_load
        return load + unreported / self.capacity.server_capacity / slowness
