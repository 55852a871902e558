"""A reference policy that cannot run in production: it reads the true state of all servers and links.

Each request goes to the reachable server with the lowest load relative to its capacity, including attempts in flight.
A server that is warming up gets requests only up to half of its slow-start budget. The policy neither rejects a request
nor migrates a connection because of load, so its result is a reference and not an upper bound. Where it does better
than another policy, the difference shows how much that policy could gain.
"""

from __future__ import annotations

from ..fleet_state import FleetState
from ..model.balancer import BalancerProcess
from .simple import KnownServer, PendingRequest, ReferencePolicy

ZONE_CROSSING_COST = 0.03  # relative load that a server in another zone must save
NEW_GROUP_FACTOR = 8.0  # multiplies the load of a new group, since a group at many servers loads the whole fleet
BUDGET_FRACTION = 0.5  # part of the slow-start budget that is used
UNREACHABLE_COST, OVER_BUDGET_COST = 1e9, 1e6  # above any relative load


class Oracle(ReferencePolicy):
    """Selects a server by the true state of the fleet."""

    fleet: FleetState
    balancer: BalancerProcess

    def observe(self, fleet: FleetState, balancer: BalancerProcess) -> None:
        """Sets the fleet that the oracle reads, and its own balancer."""
        self.fleet, self.balancer = fleet, balancer

    def select_server(self, request: PendingRequest, candidates: list[KnownServer]) -> KnownServer:
        """Selects the server with the lowest cost."""
        return min(candidates, key=lambda server: self._cost(request, server))

    def _cost(self, request: PendingRequest, server: KnownServer) -> float:
        model = self.fleet.servers[server.id]
        parameters, zone = model.parameters, self.balancer.zone
        is_reachable = self.fleet.links.is_open(zone, model.shape.zone)
        if not model.is_up or model.is_draining or not model.speed_fraction or not is_reachable:
            return UNREACHABLE_COST
        mean_load = self.fleet.workload.mean_load
        capacity = model.capacity(self.now_us)
        if model.slow_start_fraction(self.now_us) < 1:
            rate = capacity / (model.shape.slow_start_us / 1e6)
            budget = BUDGET_FRACTION * parameters.slow_start_multiple * rate * parameters.slow_start_window_us / 1e6
            if model.slow_start_load + mean_load > budget:
                return OVER_BUDGET_COST
        load = (model.demand + model.backlog + len(model.pending_attempts) * mean_load) / capacity
        if request.event.group not in model.connections_by_group:
            load += NEW_GROUP_FACTOR * parameters.group_load / capacity
        return load + (ZONE_CROSSING_COST if model.shape.zone != zone else 0.0)
