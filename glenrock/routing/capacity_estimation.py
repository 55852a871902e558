"""The capacity of the servers, and the mean load of the fleet.

A server's capacity is estimated as this balancer's load there, divided by the server's load and by this
balancer's fraction of the tier. The mean load follows from the servers' loads, and from servers that are lost
before reports show it.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import NamedTuple

from .client_sessions import ClientSessions
from .connection_load import ConnectionLoads
from .event_batch import NEVER_US, SECOND_US, EventBatch
from .load_estimation import FEEDBACK_DELAY_US, LoadEstimator, has_representative_load
from .state import Server, TimedLoad

CAPACITY_GAIN = 0.4  # per round, of the present capacity
USUAL_CAPACITY_GAIN = 0.04  # per round, of the usual capacity
MIN_USUAL_CAPACITY_FRACTION = 0.15  # least usual capacity, as a fraction of the servers' mean
MIN_MEASURED_LOAD = 0.1  # a lower load does not show the capacity
MAX_PREDICTED_LOAD = 1.0  # of the fleet, when servers are lost
MIN_BALANCER_FRACTION = 0.05  # bounds a division
STEADY_FRACTION = 0.67  # of the largest recent own load; above it the fraction of the tier is steady
STEADY_WINDOW_US = 4 * SECOND_US
CLIENT_RECONNECT_US = 1 * SECOND_US  # time in which the clients of lost servers reconnect
MAX_OBSERVED_LOAD = 3.0  # of one server, in the mean
MIN_REPRESENTATIVE_SERVERS = (
    12  # observed servers that determine the mean load; in a smaller fleet all of them
)


class ObservedLoad(NamedTuple):
    """A server and its estimated load."""

    server: Server
    load: float


class CapacityEstimator:
    """Capacity of the servers, and their mean load, which is kept at `LoadEstimator.fleet_load`.

    Attributes:
        server_capacity: load that fills an average server; 0 while it is not known.
        warm_server_count: number of warm servers in reach, at the last time when there were any.
        has_warm_server: a server in reach is warm now; true before the first round.
        servers_lost_us: when warm servers were last lost.
    """

    def __init__(
        self,
        batch: EventBatch,
        servers: Mapping[str, Server],
        loads: LoadEstimator,
        sessions: ClientSessions,
        connection_loads: ConnectionLoads,
    ) -> None:
        self._batch = batch
        self._servers = servers
        self._loads = loads
        self._sessions = sessions
        self._connection_loads = connection_loads
        self.server_capacity = 0.0
        self.warm_server_count = 0
        self.has_warm_server = True
        self.servers_lost_us = NEVER_US
        self._reachable_ids: set[str] = set()
        self._warm: Sequence[Server] | None = None
        self._own_load_history: list[TimedLoad] = []
        self._balancer_fraction = 0.0  # of this balancer, while usual capacities were learned
        self._balancer_fraction_since_us = 0

    def update_server_capacity(self, total_active_load: float, ready_servers: int) -> None:
        """Updates the capacity of an average server, once a round, from the active load of the tier."""
        self.server_capacity = total_active_load / max(1, ready_servers) / self._loads.bounded_fleet_load

    # -- the mean load -------------------------------------------------------------------------------

    def update_membership(self, warm: Sequence[Server]) -> None:
        """Updates the mean load when servers join or are lost: the load of lost servers moves to the others.

        Without this guess all balancers would admit the clients of a lost zone at once, before reports show
        their load, and the remaining servers would be overloaded. Servers that drain, or are gone from the
        list, do not count as lost: their clients leave gradually, as reports show.
        """
        self.warm_server_count = len(warm) or self.warm_server_count
        self.has_warm_server = bool(warm)
        if warm is self._warm:  # the same list object as a round before: no change
            return
        self._warm = warm
        present = {server.server_id for server in warm}
        added = [self._loads.load(server) for server in warm if server.server_id not in self._reachable_ids]
        missing = [self._servers[id_] for id_ in self._reachable_ids - present if id_ in self._servers]
        lost = sum(server.is_ready for server in missing)
        if self._reachable_ids and warm and (added or lost):
            self._predict_fleet_load(len(warm), added, lost)
        self._reachable_ids = present or self._reachable_ids

    def _predict_fleet_load(self, warm_count: int, added: list[float], lost_count: int) -> None:
        before = self._loads.fleet_load
        guess = (before * (warm_count - len(added) + lost_count) + sum(added)) / warm_count
        if lost_count and guess > before:
            self.servers_lost_us = self._batch.now_us
        self._loads.fleet_load = min(guess, max(before, MAX_PREDICTED_LOAD))

    def update_fleet_load(self, warm: Sequence[Server], total_active_load: float) -> None:
        """Moves the mean load towards the observed loads, the further the more servers are observed.

        Reports from before the clients of lost servers have reconnected are ignored: they would raise the cap
        while that load is under way.
        """
        since_us = max(self._batch.now_us - FEEDBACK_DELAY_US, self.servers_lost_us + CLIENT_RECONNECT_US)
        observed = [
            ObservedLoad(server, min(MAX_OBSERVED_LOAD, self._loads.load(server)))
            for server in warm
            if server.reported_at_us > since_us or (server.connections and self._loads.has_delay_reports)
        ]
        if observed:
            gain = min(1.0, len(observed) / min(MIN_REPRESENTATIVE_SERVERS, len(warm)))
            mean = self.mean_load(observed, total_active_load)
            self._loads.fleet_load += (mean - self._loads.fleet_load) * gain

    def mean_load(self, observed: Sequence[ObservedLoad], total_active_load: float) -> float:
        """Returns the mean load of the servers, each weighted by its remaining fraction of capacity.

        In a plain mean, a few slow servers with many times their load would close the cap while the others
        have free capacity.

        Args:
            observed: the servers with a known load.
            total_active_load: active load of the whole tier.
        """
        self._measure_capacities(observed, total_active_load)
        self._update_capacity_ratios(observed)
        weights = self._weights(observed)
        total_weight = sum(weights)
        if (
            total_weight == 0
        ):  # the median server reports no load, and no observed server has a usual capacity
            return sum(load for _, load in observed) / len(observed)
        return sum(weight * load for weight, (_, load) in zip(weights, observed, strict=True)) / total_weight

    def _weights(self, observed: Sequence[ObservedLoad]) -> list[float]:
        """Returns the weight of each server in the mean.

        The weight is the server's `capacity_ratio`. Without a known usual capacity and with a load above 1 it
        is the median reported load / its load, at most 1, as if the server had the median demand and had lost
        capacity. With full weight, a few hanging servers would cut the cap again and again.
        """
        if all(server.usual_capacity or load <= 1 for server, load in observed):
            return [server.capacity_ratio for server, _ in observed]
        ready = [server for server in self._servers.values() if server.is_ready]
        known = [server.reported_load for server in ready if server.reported_load >= 0]
        loads = sorted(known) or [1.0]
        median = loads[(len(loads) - 1) // 2]
        return [
            server.capacity_ratio if server.usual_capacity or load <= 1 else min(1.0, median / load)
            for server, load in observed
        ]

    # -- capacities ----------------------------------------------------------------------------------

    def _measure_capacities(self, observed: Sequence[ObservedLoad], total_active_load: float) -> None:
        balancer_fraction = min(
            1.0, max(MIN_BALANCER_FRACTION, self._sessions.active_load / max(1.0, total_active_load))
        )
        is_steady = self._is_balancer_fraction_steady()
        usual_gain = self._usual_capacity_gain(balancer_fraction)
        for server, load in observed:
            own_load = server.own_load
            # One or two of a server's many connections do not represent its load: a full server would seem
            # slow, get a low weight in the mean, and leave the cap open.
            has_several = own_load > 2 * self._connection_loads.mean_load
            is_representative = has_several and has_representative_load(server)
            if is_steady and load > MIN_MEASURED_LOAD and is_representative:
                observed_capacity = own_load / balancer_fraction / load
                server.capacity = _update_average(server.capacity, observed_capacity, CAPACITY_GAIN)
                server.usual_capacity = _update_average(server.usual_capacity, observed_capacity, usual_gain)

    def _update_capacity_ratios(self, observed: Sequence[ObservedLoad]) -> None:
        usual = [server.usual_capacity for server, _ in observed if server.usual_capacity]
        for server, _ in observed:
            # A server that was slow when it was first observed has no better past to compare with, so the
            # other servers bound its usual capacity from below.
            if server.usual_capacity:
                least = MIN_USUAL_CAPACITY_FRACTION * sum(usual) / len(usual)
                server.capacity_ratio = min(1.0, server.capacity / max(server.usual_capacity, least))

    def _is_balancer_fraction_steady(self) -> bool:
        """Returns whether this balancer's fraction of the tier was about constant in `STEADY_WINDOW_US`.

        The estimate assumes the same fraction at each server as of the tier. While clients arrive from
        another balancer, the assumption fails: a slow server that just received them would seem to bear much.
        """
        now_us = self._batch.now_us
        history = [past for past in self._own_load_history if now_us - past.at_us <= STEADY_WINDOW_US]
        history.append(TimedLoad(now_us, self._sessions.active_load))
        self._own_load_history = history
        loads = [load for _, load in history]
        return min(loads) >= STEADY_FRACTION * max(loads)

    def _usual_capacity_gain(self, balancer_fraction: float) -> float:
        """Returns the gain of usual capacities, and discards all capacities if the tier fraction changed.

        The error of a capacity is proportional to that of the fraction. After a change all servers would seem
        to have lost capacity, and would be emptied. For `STEADY_WINDOW_US` after it the gain is high, since
        late reports still describe the time before.
        """
        now_us = self._batch.now_us
        least, most = STEADY_FRACTION * self._balancer_fraction, self._balancer_fraction / STEADY_FRACTION
        if not least <= balancer_fraction <= most:
            self._balancer_fraction = balancer_fraction
            self._balancer_fraction_since_us = now_us
            for server in self._servers.values():
                server.capacity = server.usual_capacity = 0.0
                server.capacity_ratio = 1.0
        self._balancer_fraction += (balancer_fraction - self._balancer_fraction) * USUAL_CAPACITY_GAIN
        is_known = now_us - self._balancer_fraction_since_us >= STEADY_WINDOW_US
        return USUAL_CAPACITY_GAIN if is_known else CAPACITY_GAIN


def _update_average(average: float, sample: float, gain: float) -> float:
    """Returns the moving average with one more sample; a first sample counts fully."""
    return average + (sample - average) * gain if average else sample
