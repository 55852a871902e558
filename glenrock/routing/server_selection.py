"""Selects the candidate servers of a request, and the candidate that receives it."""

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

HEALTH_CHECK_WAIT_US = 40_000  # longest wait of a request for health checks
MAX_CANDIDATES = 5  # per request
MAX_DRAWS = 16  # draws from the rings, per request
AFFINITY_PENALTY = 0.10  # load added to a candidate of a group, per rank in the group's order of servers
ZONE_CROSSING_FACTOR = 3.0  # load added to a candidate in another zone, as a multiple of the crossing cost
UNANSWERED_CHECK_LOAD = 1.0  # minimum load assumed for a server that has not answered a health check


@dataclass(eq=False)
class ServerSelection:
    """Draws candidates at random by weight. For a group, all balancers draw the same candidates."""

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

    def draw_candidates(self, request: RoutedRequest) -> list[Server]:
        """Draws servers that may receive the request, by weight; the group, if there is one, is the seed.

        A server does the common work of a group once, however many connections of the group it holds, so a
        group should use few servers. All balancers therefore try the servers of a group in the same order,
        after the server where the group was last seen. If each balancer preferred its own zone and used its
        own weights, the group would be spread over all servers.
        """
        group = request.event.group
        seed = self.rng.getrandbits(64) if group is None else mix(group)
        tried = request.tried_servers()
        self.ejection.update_panic()
        candidates = self._warming_candidates(request, seed, tried)
        if request.is_slow_start_only or not self.endpoints.ring:
            return candidates[:MAX_CANDIDATES]
        group_server = self.affinity.last_server(group)
        if (
            group_server
            and group_server not in candidates
            and group_server.server_id not in tried
            and self.retries.may_send(request, group_server)
        ):
            candidates.insert(0, group_server)
        del candidates[MAX_CANDIDATES - 1 :]
        self._draw(request, seed, tried, candidates)
        return candidates or self._fallback_server(request, seed, tried)

    def _warming_candidates(self, request: RoutedRequest, seed: int, tried: set[str]) -> list[Server]:
        """Returns servers that are warming up, if only they may receive the request or the others are full.

        As ordinary candidates these servers would stay nearly empty, since each of many balancers rarely
        draws them.
        """
        if not request.is_slow_start_only and self.loads.fleet_load <= load_targets.TARGET_LOAD:
            return []
        candidates = [
            server
            for server in self.slow_start.warming
            if server.server_id not in tried and self.retries.may_send(request, server)
        ]
        candidates.sort(key=lambda server: mix(seed ^ server.hash))
        return candidates

    def _draw(self, request: RoutedRequest, seed: int, tried: set[str], candidates: list[Server]) -> None:
        """Adds candidates from the rings. A drawn server is accepted at random, according to its weight.

        The probability is weight / `full_weight`, at most 1. The draws of a group use a `full_weight` of 1,
        so that only servers of reduced weight may be skipped.
        """
        is_grouped = request.event.group is not None
        full_weight = 1 if is_grouped else MAX_WEIGHT / 2
        for draw in range(MAX_DRAWS):
            is_zone_draw = draw % 2 == 0 or draw > MAX_DRAWS // 2
            uses_zone = not is_grouped and self.endpoints.zone_ring and is_zone_draw
            ring = self.endpoints.zone_ring if uses_zone else self.endpoints.ring
            server = ring.at(mix(seed + draw))
            if (
                server in candidates
                or server.server_id in tried
                or not self.retries.may_send(request, server)
            ):
                continue
            if mix(seed ^ server.hash) / HASH_MASK * full_weight <= server.weight:
                candidates.append(server)
                if len(candidates) == MAX_CANDIDATES:
                    return

    def _fallback_server(self, request: RoutedRequest, seed: int, tried: set[str]) -> list[Server]:
        """Returns the first server on the ring that may receive the request, preferably an untried one."""
        servers_on_ring = self.endpoints.ring.members_from(mix(seed))
        allowed = [server for server in servers_on_ring if self.retries.may_send(request, server)]
        return [server for server in allowed if server.server_id not in tried][:1] or allowed[:1]

    def best_candidate(self, request: RoutedRequest) -> Server | None:
        """Returns the least loaded candidate that may still receive the request; None if there is none.

        Candidates in other zones, and the later candidates of a group, have a penalty added to their load.
        """
        best, lowest_cost = None, 0.0
        for rank, server in enumerate(request.candidates):
            cost = self.expected_load(server)
            if request.event.group is not None:
                cost += AFFINITY_PENALTY * rank
            if server.zone != self.settings.zone:
                cost += ZONE_CROSSING_FACTOR * self.settings.cross_zone_cost
            if self.retries.may_send(request, server) and (best is None or cost < lowest_cost):
                best, lowest_cost = server, cost
        return best

    def expected_load(self, server: Server) -> float:
        """Returns the estimated load of a server, including the load sent to it since its last report."""
        load = self.loads.load(server)
        check_sent_at_us = server.health_check_sent_at_us
        if check_sent_at_us >= 0 and self.batch.now_us - check_sent_at_us >= HEALTH_CHECK_WAIT_US:
            load = max(load, UNANSWERED_CHECK_LOAD)
        if not self.capacity.server_capacity:
            return load
        # A slow server reports little load after its clients have migrated, but a few clients fill it again.
        slowness = min(1.0, server.capacity_ratio / load_targets.SLOW_CAPACITY_RATIO)
        is_large_fleet = self.endpoints.index.is_large
        unreported_load = self.loads.recently_sent_load(server) if is_large_fleet else server.unreported_load
        return load + unreported_load / self.capacity.server_capacity / slowness
