"""Estimates the capacity of each server and the mean load of the fleet.

A server's capacity is estimated as this balancer's load there, divided by the server's load and by this
balancer's fraction of the active load of all balancers. The mean load is computed from the loads of the
servers. When servers are lost it is predicted, before reports show the effect.
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
USUAL_CAPACITY_GAIN = 0.04  # per round, of the long-term average of the capacity
MIN_USUAL_CAPACITY_FRACTION = 0.15  # minimum usual capacity, as a fraction of the servers' mean
MIN_MEASURED_LOAD = 0.1  # at a lower load the capacity cannot be estimated
MAX_PREDICTED_LOAD = 1.0  # of the fleet, after servers were lost; a higher load has to be shown by reports
MIN_BALANCER_FRACTION = 0.05  # avoids a division by a value near 0
STEADY_FRACTION = 0.67  # a value is steady if its lowest is at least this fraction of its highest
STEADY_WINDOW_US = 4 * SECOND_US
CLIENT_RECONNECT_US = 1 * SECOND_US  # time in which the clients of lost servers reconnect
MAX_OBSERVED_LOAD = 3.0  # of one server, when the mean is computed
MIN_REPRESENTATIVE_SERVERS = 12  # observed servers that determine the mean load; all, in a smaller fleet


class ObservedLoad(NamedTuple):
    """The estimated load of a server."""

    server: Server
    load: float


class CapacityEstimator:
    """Estimates the capacity of the servers and their mean load.

    The mean load is stored in `LoadEstimator.fleet_load`.

    Attributes:
        server_capacity: load that fills an average server; 0 while it is not known.
        warm_server_count: number of reachable warm servers, in the last round that had any.
        has_warm_server: whether the last round had any reachable warm server; true before the first round.
        servers_lost_at_us: when a loss of warm servers last raised the predicted mean load.
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
        self.servers_lost_at_us = NEVER_US
        self._reachable_ids: set[str] = set()
        self._last_warm: Sequence[Server] | None = None
        self._own_load_history: list[TimedLoad] = []
        self._balancer_fraction = 0.0  # moving average; set anew when capacities are discarded
        self._balancer_fraction_since_us = 0

    def update_server_capacity(self, total_active_load: float, ready_servers: int) -> None:
        """Updates the capacity of an average server, once a round, from the active load of all balancers."""
        self.server_capacity = total_active_load / max(1, ready_servers) / self._loads.bounded_fleet_load

    # -- the mean load -------------------------------------------------------------------------------

    def update_membership(self, warm: Sequence[Server]) -> None:
        """Predicts the mean load when servers join or are lost: the load of lost servers moves to the others.

        Without this prediction all balancers would admit the clients of a lost zone at once, before reports
        show their load, and overload the remaining servers for seconds. Servers that drain, or are no longer
        listed, do not count as lost: their clients leave gradually, so that reports show the change in time.
        """
        self.warm_server_count = len(warm) or self.warm_server_count
        self.has_warm_server = bool(warm)
        if warm is self._last_warm:  # an unchanged list is the same object as in the previous round
            return
        self._last_warm = warm
        present = {server.server_id for server in warm}
        added = [self._loads.load(server) for server in warm if server.server_id not in self._reachable_ids]
        missing = [self._servers[id_] for id_ in self._reachable_ids - present if id_ in self._servers]
        lost = sum(server.is_ready for server in missing)
        if self._reachable_ids and warm and (added or lost):
            self._predict_fleet_load(len(warm), added, lost)
        self._reachable_ids = present or self._reachable_ids

    def _predict_fleet_load(self, warm_count: int, added: list[float], lost_count: int) -> None:
        before = self._loads.fleet_load
        predicted = (before * (warm_count - len(added) + lost_count) + sum(added)) / warm_count
        if lost_count and predicted > before:
            self.servers_lost_at_us = self._batch.now_us
        self._loads.fleet_load = min(predicted, max(before, MAX_PREDICTED_LOAD))

    def update_fleet_load(self, warm: Sequence[Server], total_active_load: float) -> None:
        """Moves the mean load towards the mean of the observed loads; the gain grows with their number.

        After a loss of servers, reports are ignored until the clients of these servers have reconnected:
        earlier reports do not include that load, and would raise the cap too early.
        """
        since_us = max(self._batch.now_us - FEEDBACK_DELAY_US, self.servers_lost_at_us + CLIENT_RECONNECT_US)
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
        """Returns the mean load of the servers, each weighted by the fraction of its capacity that is left.

        With equal weights, a few slow servers with a load far above 1 would cut the cap although the other
        servers have free capacity.

        Args:
            observed: the servers with a known load.
            total_active_load: active load of all balancers.
        """
        self._measure_capacities(observed, total_active_load)
        self._update_capacity_ratios(observed)
        weights = self._weights(observed)
        total_weight = sum(weights)
        # The sum is 0 if the median reported load is 0 and no observed server has a known usual capacity.
        if total_weight == 0:
            return sum(load for _, load in observed) / len(observed)
        return sum(weight * load for weight, (_, load) in zip(weights, observed, strict=True)) / total_weight

    def _weights(self, observed: Sequence[ObservedLoad]) -> list[float]:
        """Returns the weight of each server in the mean.

        The weight of a server is its `capacity_ratio`. If its usual capacity is not known and its load is
        above 1, the weight is the median reported load divided by the server's load, at most 1. This assumes
        that the server receives the median amount of work and has lost capacity. With a weight of 1, two
        hanging servers of eight would cut the cap repeatedly, while the others are nearly empty.
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
        is_steady = self._record_own_load_and_check_steadiness()
        usual_gain = self._usual_capacity_gain(balancer_fraction)
        for server, load in observed:
            own_load = server.own_load
            # If this balancer has only one or two of a server's many connections, they do not represent the
            # server's load: a full server would seem slow, get a low weight in the mean, and not cut the cap.
            has_several = own_load > 2 * self._connection_loads.mean_load
            is_representative = has_several and has_representative_load(server)
            if is_steady and load > MIN_MEASURED_LOAD and is_representative:
                observed_capacity = own_load / balancer_fraction / load
                server.capacity = _update_average(server.capacity, observed_capacity, CAPACITY_GAIN)
                server.usual_capacity = _update_average(server.usual_capacity, observed_capacity, usual_gain)

    def _update_capacity_ratios(self, observed: Sequence[ObservedLoad]) -> None:
        usual = [server.usual_capacity for server, _ in observed if server.usual_capacity]
        for server, _ in observed:
            # A server that was already slow when it was first observed has too low a usual capacity, so the
            # mean of the other servers sets a lower bound. The bound is only a small fraction of the mean,
            # since a balancer holds different parts of the servers' connections.
            if server.usual_capacity:
                minimum = MIN_USUAL_CAPACITY_FRACTION * sum(usual) / len(usual)
                server.capacity_ratio = min(1.0, server.capacity / max(server.usual_capacity, minimum))

    def _record_own_load_and_check_steadiness(self) -> bool:
        """Records this balancer's load; returns whether it, and so the fraction, was steady lately.

        The capacity estimate assumes that this balancer has the same fraction of the load at each server as
        of the total load. That is wrong while clients arrive from another balancer: a slow server that has
        just received a dozen such clients would seem to bear ten times as much, and no longer count as slow.
        """
        now_us = self._batch.now_us
        history = [past for past in self._own_load_history if now_us - past.at_us <= STEADY_WINDOW_US]
        history.append(TimedLoad(now_us, self._sessions.active_load))
        self._own_load_history = history
        loads = [load for _, load in history]
        return min(loads) >= STEADY_FRACTION * max(loads)

    def _usual_capacity_gain(self, balancer_fraction: float) -> float:
        """Returns the gain of usual capacities; discards all capacities if this balancer's fraction changed.

        The error of an estimated capacity is proportional to the error of the fraction. After a change, all
        servers would seem to have lost capacity, and their clients would be migrated. The gain stays high for
        `STEADY_WINDOW_US` after the change, since late reports still describe the time before it. After a
        start, such reports describe servers with few connections. The usual capacities learned from them are
        twice the true ones; if they were kept, any later load would make the servers seem slow.
        """
        now_us = self._batch.now_us
        lowest, highest = STEADY_FRACTION * self._balancer_fraction, self._balancer_fraction / STEADY_FRACTION
        if not lowest <= balancer_fraction <= highest:
            self._balancer_fraction = balancer_fraction
            self._balancer_fraction_since_us = now_us
            for server in self._servers.values():
                server.capacity = server.usual_capacity = 0.0
                server.capacity_ratio = 1.0
        self._balancer_fraction += (balancer_fraction - self._balancer_fraction) * USUAL_CAPACITY_GAIN
        is_known = now_us - self._balancer_fraction_since_us >= STEADY_WINDOW_US
        return USUAL_CAPACITY_GAIN if is_known else CAPACITY_GAIN


def _update_average(average: float, sample: float, gain: float) -> float:
    """Returns the exponential moving average after one more sample; the first sample becomes the average."""
    return average + (sample - average) * gain if average else sample
