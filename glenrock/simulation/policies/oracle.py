"""An upper reference, not a policy to serve with: it reads the true state of all servers and links.

Each request goes to the reachable server with the least load in relation to its capacity, with attempts in flight
counted, and to a cold server only up to half of its slow-start budget. It neither rejects a request nor migrates a
connection for load. A real balancer cannot have this information; the result is a reference, not an upper bound.
Where it is ahead of a policy, the difference shows how much is left to gain.
"""

from __future__ import annotations

from ..fleet_state import FleetState
from ..model.balancer import BalancerProcess
from .simple import KnownServer, PendingRequest, ReferencePolicy

ZONE_CROSSING_COST = 0.03  # load that a crossing must save
NEW_GROUP_FACTOR = 8.0  # times the load of a group, since a group at many servers costs the whole fleet
BUDGET_FRACTION = 0.5  # of the slow-start budget
UNREACHABLE_COST, OVER_BUDGET_COST = 1e9, 1e6


class Oracle(ReferencePolicy):
    """Selects by the true state of the fleet."""

    fleet: FleetState
    balancer: BalancerProcess

    def observe(self, fleet: FleetState, balancer: BalancerProcess) -> None:
        """Sets the fleet that the oracle reads, and its own balancer."""
        self.fleet, self.balancer = fleet, balancer

    def select_server(self, request: PendingRequest, candidates: list[KnownServer]) -> KnownServer:
        """Selects the server of the least cost."""
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
        load += (
            NEW_GROUP_FACTOR * parameters.group_load / capacity
            if request.event.group not in model.connections_by_group
            else 0.0
        )
        return load + (ZONE_CROSSING_COST if model.shape.zone != zone else 0.0)
