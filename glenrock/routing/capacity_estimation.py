"""What the servers can do, and how loaded they are together.

A server's capacity is the load that it bears here over the part of its capacity in use, scaled by this
balancer's part of the tier. The mean load of all follows from the servers' loads, and from servers that are
lost before any report shows it.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import NamedTuple

from .client_sessions import ClientSessions
from .connection_load import ConnectionLoads
from .event_batch import NEVER_US, SECOND_US, EventBatch
from .load_estimation import ENOUGH_CONNECTIONS, FEEDBACK_DELAY_US, LoadEstimator
from .state import Server, TimedLoad

CAPACITY_GAIN, USUAL_CAPACITY_GAIN = 0.4, 0.04  # per round, of what a server is seen to do: now, and usually
MIN_USUAL_CAPACITY_FRACTION = 0.15  # a server's usual capacity is at least this part of the others' mean
MIN_MEASURED_LOAD = 0.1  # below this a server's load says nothing of its capacity
MAX_GUESSED_LOAD = 1.0  # the mean load is guessed no higher than this when servers are lost
STEADY_FRACTION = 0.67  # of the most lately: while no less is active here, the part of the tier is steady
STEADY_WINDOW_US = 4 * SECOND_US
CLIENTS_RETURN_US = 1 * SECOND_US  # clients of lost servers come to the others within this
MAX_OBSERVED_LOAD = 3.0  # a server's load counts for no more in the mean
ENOUGH_SERVERS = 12  # that tell their load make the mean; all of them, where there are fewer
MIN_FLEET_LOAD = 0.1  # a mean load below this is taken for this much where something is divided by it


class ObservedLoad(NamedTuple):
    """A server and the load it is believed to have."""

    server: Server
    load: float


class CapacityEstimator:
    """Capacity of the servers, and their mean load, which is kept at `LoadEstimator.fleet_load`.

    Attributes:
        server_capacity: load that fills a server on average; 0 while it is not known.
        warm_server_count: how many are in reach and past their slow start, when there were any.
        has_no_warm_server: there are none now.
        servers_lost_us: some of them were lost then.
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
        self.has_no_warm_server = False
        self.servers_lost_us = NEVER_US
        self._in_reach: set[str] = set()
        self._warm: Sequence[Server] | None = None
        self._own_load_history: list[TimedLoad] = []
        self._tier_fraction = 0.0  # this balancer's part of the tier, by which usual capacities go
        self._tier_fraction_since_us = 0

    @property
    def bounded_fleet_load(self) -> float:
        """The mean load, bounded from below, for what is divided by it."""
        return max(MIN_FLEET_LOAD, self._loads.fleet_load)

    def update_server_capacity(self, tier_load: float, ready_servers: int) -> None:
        """Once a round, from the active load of the whole tier."""
        self.server_capacity = tier_load / max(1, ready_servers) / self.bounded_fleet_load

    # -- the mean load -------------------------------------------------------------------------------

    def follow_membership(self, warm: Sequence[Server]) -> None:
        """Takes in that servers came or were lost: what stood at lost ones comes to the others.

        Each of many balancers sees little, and reports show load when it is there. When a zone is lost all
        would let its clients in again at once, and the rest serve nobody for seconds. The guess closes the
        cap only so far, and reports do the rest. Servers that drain or are gone leave in their own time, as
        reports show.
        """
        self.warm_server_count = len(warm) or self.warm_server_count
        self.has_no_warm_server = not warm
        if warm is self._warm:  # the same list as a round before: nobody came or went
            return
        self._warm = warm
        here = {server.id for server in warm}
        added = [self._loads.load(server) for server in warm if server.id not in self._in_reach]
        gone = [self._servers[id_] for id_ in self._in_reach - here if id_ in self._servers]
        lost = sum(server.ready for server in gone)
        if self._in_reach and warm and (added or lost):
            self._guess_fleet_load(len(warm), added, lost)
        self._in_reach = here or self._in_reach

    def _guess_fleet_load(self, warm: int, added: list[float], lost: int) -> None:
        before = self._loads.fleet_load
        guess = (before * (warm - len(added) + lost) + sum(added)) / warm
        if lost and guess > before:
            self.servers_lost_us = self._batch.now_us
        self._loads.fleet_load = min(guess, max(before, MAX_GUESSED_LOAD))

    def update_fleet_load(self, warm: Sequence[Server], tier_load: float) -> None:
        """Moves the mean load as far as enough servers tell of theirs now.

        Reports from before the clients of lost servers are back would open the cap for them again.
        """
        since_us = max(self._batch.now_us - FEEDBACK_DELAY_US, self.servers_lost_us + CLIENTS_RETURN_US)
        observed = [
            ObservedLoad(server, min(MAX_OBSERVED_LOAD, self._loads.load(server)))
            for server in warm
            if server.reported_at_us > since_us or (server.connections and self._loads.is_silence_healthy)
        ]
        if observed:
            gain = min(1.0, len(observed) / min(ENOUGH_SERVERS, len(warm)))
            mean = self.mean_load(observed, tier_load)
            self._loads.fleet_load += (mean - self._loads.fleet_load) * gain

    def mean_load(self, observed: Sequence[ObservedLoad], tier_load: float) -> float:
        """The load of the servers together, where the whole tier has `tier_load` of active load.

        A few that have become slow show many times their load, and in a plain mean they would close the cap
        while the others have room. So each counts by the part of its own usual capacity that it still has.
        """
        self._measure_capacities(observed, tier_load)
        self._update_capacity_ratios(observed)
        weights = self._weights(observed)
        return sum(weight * load for weight, (_, load) in zip(weights, observed, strict=True)) / sum(weights)

    def _weights(self, observed: Sequence[ObservedLoad]) -> list[float]:
        """What each server's load counts for.

        A connection or two do not tell what a server usually does. Counted whole at many times their load,
        two of eight that hang would cut the cap again and again. So one beyond what it can do is held to be
        asked for as much as the middle one, and to have lost the rest.
        """
        if all(server.usual_capacity or load <= 1 for server, load in observed):
            return [server.capacity_ratio for server, _ in observed]
        known = [s.reported_load for s in self._servers.values() if s.ready and s.reported_load >= 0]
        loads = sorted(known) or [1.0]
        middle = loads[(len(loads) - 1) // 2]
        return [
            server.capacity_ratio if server.usual_capacity or load <= 1 else min(1.0, middle / load)
            for server, load in observed
        ]

    # -- capacities ----------------------------------------------------------------------------------

    def _measure_capacities(self, observed: Sequence[ObservedLoad], tier_load: float) -> None:
        tier_fraction = min(1.0, max(0.05, self._sessions.active_load / max(1.0, tier_load)))
        steady = self._is_tier_fraction_steady()
        usual_gain = self._usual_capacity_gain(tier_fraction)
        for server, load in observed:
            own_load = server.own_load
            # With a connection or two of the hundred that stand there its capacity comes out anyhow; one that
            # is full would then count as slow, the mean go down, and the cap stay open.
            several = own_load > 2 * self._connection_loads.mean_load
            enough = several and len(server.connections) >= ENOUGH_CONNECTIONS
            if steady and load > MIN_MEASURED_LOAD and enough:
                seen = own_load / tier_fraction / load
                server.capacity = _moved(server.capacity, seen, CAPACITY_GAIN)
                server.usual_capacity = _moved(server.usual_capacity, seen, usual_gain)

    def _update_capacity_ratios(self, observed: Sequence[ObservedLoad]) -> None:
        usual = [server.usual_capacity for server, _ in observed if server.usual_capacity]
        for server, _ in observed:
            # One that was slow when it was first seen has no better past. So its usual capacity is never held
            # for less than some part of the others'; balancers differ in what they hold where.
            if server.usual_capacity:
                least = MIN_USUAL_CAPACITY_FRACTION * sum(usual) / len(usual)
                server.capacity_ratio = min(1.0, server.capacity / max(server.usual_capacity, least))

    def _is_tier_fraction_steady(self) -> bool:
        """Whether this balancer's part of the tier has been much the same lately.

        Its part of a server's load is taken for its part of the tier. While another sends clients here they
        stand where they were just put; a slow server that took a dozen would seem to bear the load of ten.
        """
        now_us = self._batch.now_us
        history = [past for past in self._own_load_history if now_us - past.at_us <= STEADY_WINDOW_US]
        history.append(TimedLoad(now_us, self._sessions.active_load))
        self._own_load_history = history
        loads = [load for _, load in history]
        return min(loads) >= STEADY_FRACTION * max(loads)

    def _usual_capacity_gain(self, tier_fraction: float) -> float:
        """Gain of usual capacities; these are forgotten once this balancer's part of the tier is another.

        What a server can do comes out in proportion to that part's error. With another balancer's clients
        here all servers seem to do less than before, and would be emptied when they are needed most. After a
        start, reports tell of the time before, when little stood there: a usual capacity learned from them is
        twice what there is.
        """
        now_us = self._batch.now_us
        if (
            not STEADY_FRACTION * self._tier_fraction
            <= tier_fraction
            <= self._tier_fraction / STEADY_FRACTION
        ):
            self._tier_fraction = tier_fraction
            self._tier_fraction_since_us = now_us
            for server in self._servers.values():
                server.capacity = server.usual_capacity = 0.0
                server.capacity_ratio = 1.0
        self._tier_fraction += (tier_fraction - self._tier_fraction) * USUAL_CAPACITY_GAIN
        known = now_us - self._tier_fraction_since_us >= STEADY_WINDOW_US
        return USUAL_CAPACITY_GAIN if known else CAPACITY_GAIN


def _moved(figure: float, seen: float, gain: float) -> float:
    """The figure, moved towards what was seen; the first one counts whole."""
    return figure + (seen - figure) * gain if figure else seen
