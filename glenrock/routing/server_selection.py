"""Which servers are candidates for a request, and which candidate receives it."""

from __future__ import annotations

import random
from dataclasses import dataclass

from . import load_targets
from .capacity_estimation import CapacityEstimator
from .endpoint_table import MAX_WEIGHT, EndpointTable
from .event_batch import EventBatch
from .group_affinity import GroupAffinity
from .hash_ring import HASH_MASK, mix
from .interface import Settings
from .load_estimation import LoadEstimator
from .outlier_ejection import OutlierEjection
from .retries import RetryPolicy
from .slow_start import SlowStart
from .state import RoutedRequest, Server

HEALTH_CHECK_WAIT_US = 40_000  # a request's longest wait for health checks
MAX_CANDIDATES = 5  # compared for one request
MAX_DRAWS = 16  # from the rings, for one request
AFFINITY_PENALTY = 0.10  # load, for each rank of a candidate in its group's order
ZONE_CROSSING_FACTOR = 3.0  # load that a connection to another zone has to save, as a multiple of its cost
UNANSWERED_CHECK_LOAD = 1.0  # least load assumed of a server that leaves a health check unanswered


@dataclass(eq=False)
class ServerSelection:
    """Weighted random draws, which agree at all balancers for the connections of a group."""

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
        """Draws servers that may receive the request, by weight, and seeded by the group if there is one.

        Each server that holds connections of a group bears the group's common work once more. So all
        balancers try a group's servers in the same order, after the server where the group was last seen: by
        weights and zones of their own they would spread it over all servers.
        """
        group = request.event.group
        seed = self.rng.getrandbits(64) if group is None else mix(group)
        tried = request.tried_servers()
        self.ejection.update_panic()
        found = self._warming_candidates(request, seed, tried)
        if request.is_slow_start_only or not self.endpoints.ring:
            return found[:MAX_CANDIDATES]
        home = self.affinity.server_of(group)
        if (
            home
            and home not in found
            and home.server_id not in tried
            and self.retries.may_send(request, home)
        ):
            found.insert(0, home)
        del found[MAX_CANDIDATES - 1 :]
        self._draw(request, seed, tried, found)
        return found or self._any_server(request, seed, tried)

    def _warming_candidates(self, request: RoutedRequest, seed: int, tried: set[str]) -> list[Server]:
        """Returns servers that are warming up, if the request is only for them or the others are full.

        As ordinary candidates they would stay nearly empty: each of many balancers rarely draws them.
        """
        if not request.is_slow_start_only and self.loads.fleet_load <= load_targets.TARGET_LOAD:
            return []
        found = [
            server
            for server in self.slow_start.warming
            if server.server_id not in tried and self.retries.may_send(request, server)
        ]
        found.sort(key=lambda server: mix(seed ^ server.hash))
        return found

    def _draw(self, request: RoutedRequest, seed: int, tried: set[str], found: list[Server]) -> None:
        """Adds candidates from the rings, each server with a probability proportional to its weight."""
        is_grouped = request.event.group is not None
        scale = 1 if is_grouped else MAX_WEIGHT / 2
        for draw in range(MAX_DRAWS):
            is_zone_draw = draw % 2 == 0 or draw > MAX_DRAWS // 2
            uses_zone = not is_grouped and self.endpoints.zone_ring and is_zone_draw
            ring = self.endpoints.zone_ring if uses_zone else self.endpoints.ring
            server = ring.at(mix(seed + draw))
            if server in found or server.server_id in tried or not self.retries.may_send(request, server):
                continue
            if mix(seed ^ server.hash) / HASH_MASK * scale <= server.weight:
                found.append(server)
                if len(found) == MAX_CANDIDATES:
                    return

    def _any_server(self, request: RoutedRequest, seed: int, tried: set[str]) -> list[Server]:
        """Returns the first server on the ring that may receive the request; tried servers come last."""
        around = self.endpoints.ring.members_from(mix(seed))
        allowed = [server for server in around if self.retries.may_send(request, server)]
        return [server for server in allowed if server.server_id not in tried][:1] or allowed[:1]

    def best(self, request: RoutedRequest) -> Server | None:
        """Returns the least loaded candidate that may still receive the request; None if there is none.

        Candidates in other zones, and later candidates of a group, count with a penalty.
        """
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
        """Returns the estimated load of a server, including load sent there since its last report."""
        load = self.loads.load(server)
        sent_us = server.health_check_sent_us
        if sent_us >= 0 and self.batch.now_us - sent_us >= HEALTH_CHECK_WAIT_US:
            load = max(load, UNANSWERED_CHECK_LOAD)
        if not self.capacity.server_capacity:
            return load
        # A slow server reports little load once it is emptied, and few clients fill it again.
        slowness = min(1.0, server.capacity_ratio / load_targets.SLOW_CAPACITY_RATIO)
        is_large_fleet = self.endpoints.index.is_large
        unreported = self.loads.recently_sent_load(server) if is_large_fleet else server.unreported_load
        return load + unreported / self.capacity.server_capacity / slowness
