"""Servers that started lately: how warm they are, and what one balancer may bring to them.

A server that is warming up is pushed over by all balancers together. So each has a budget of its own, and the
budgets add up to what the server can take, however many balancers there are.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping

from .capacity_estimation import CapacityEstimator
from .event_batch import EventBatch
from .hash_ring import MASK, mix
from .interface import Settings
from .load_estimation import LoadEstimator
from .state import Peer, Server, TimedLoad

SLOW_START_BUDGET_FRACTION = 0.45  # of the slow-start budget used in any window: the rest is for chance
MIN_FLEET_LOAD = 0.5  # a mean load below this is taken for this much in budgets
SMALLEST_DRAW = 1e-9


def reference_load(
    own_load: float,
    client_fraction: float | None,
    peers: Collection[Peer],
    balancers: int,
    is_draining: bool,
) -> float:
    """The load by which this balancer's slow-start budgets go.

    A balancer that its clients leave uses none of its part, and one that they come to had none: a server that
    warms up would stay empty beside full ones. So load at balancers without a part of the clients counts by
    parts at those that have one; counted at both it would be brought twice.

    Args:
        own_load: load that stands here.
        client_fraction: this balancer's part of all clients; None where it is not known.
        peers: the other balancers' last summaries.
        balancers: how many the settings name.
        is_draining: this balancer sends its clients away.
    """
    if not peers:
        return 0.0 if is_draining else own_load
    unassigned = sum(peer.active_load for peer in peers if not peer.clients)
    if client_fraction is not None and not is_draining:
        return own_load + unassigned * client_fraction
    if any(peer.clients for peer in peers):
        return 0.0
    return (own_load + unassigned) / balancers


class SlowStart:
    """Warmth of the servers, and this balancer's budgets.

    Attributes:
        warming: servers in reach that are warming up, as of the last round.
        reference_load: load by which the budgets go.
    """

    def __init__(
        self,
        batch: EventBatch,
        settings: Settings,
        servers: Mapping[str, Server],
        loads: LoadEstimator,
        capacity: CapacityEstimator,
        salt: int,
    ) -> None:
        self._batch = batch
        self._settings = settings
        self._servers = servers
        self._loads = loads
        self._capacity = capacity
        self._salt = salt
        self.warming: list[Server] = []
        self.reference_load = 0.0

    def warmth(self, server: Server) -> float:
        """The part of its capacity that a server surely has by now."""
        age_us = self._batch.now_us - server.started_us
        if not server.started_us or age_us >= self._settings.slow_start_us:
            return 1.0
        initial = self._settings.slow_start_initial_fraction
        return initial + (1 - initial) * max(0, age_us) / self._settings.slow_start_us

    def is_warm(self, server: Server) -> bool:
        """Whether its slow start is over."""
        return self.warmth(server) >= 1

    def filled_fraction(self, server: Server) -> float:
        """The part of a server's capacity that all balancers together may have brought to it by now."""
        settings = self._settings
        age = max(0, self._batch.now_us - server.started_us) / max(1, settings.slow_start_us)
        mean_warmth = (settings.slow_start_initial_fraction + self.warmth(server)) / 2
        return SLOW_START_BUDGET_FRACTION * settings.slow_start_multiple * age * mean_warmth

    def update_reference_load(self, load: float, is_draining: bool) -> None:
        """Once a round.

        Where all servers are out or have died nothing stands, and nothing would be brought until the first
        one is warm. So while none is warm the budgets go by what stood when some were.
        """
        if is_draining or not self._capacity.has_no_warm_server:
            self.reference_load = load

    def headroom(self, server: Server) -> float:
        """Load that this balancer may bring to a server now.

        Each one's part is what it carries on a warm server, full, spread over the warm-up time; one that
        carries nothing yet sends nothing. What was sent counts for a window of its own: with a budget for
        each spell, the end of one and the start of the next would be two in one window.
        """
        warmth = self.warmth(server)
        if warmth >= 1:
            return float("inf")
        settings, now_us = self._settings, self._batch.now_us
        window_us = settings.slow_start_window_us
        share = min(1.0, window_us / max(1, settings.slow_start_us))
        share = SLOW_START_BUDGET_FRACTION * settings.slow_start_multiple * warmth * share
        servers = self._capacity.warm_server_count or max(1, len(self._servers))
        share /= servers * max(MIN_FLEET_LOAD, self._loads.fleet_load)
        server.slow_start_sends = [sent for sent in server.slow_start_sends if now_us - sent[0] < window_us]
        budget = share * self.reference_load
        left = budget - sum(load for _, load in server.slow_start_sends)
        if not server.slow_start_sends:
            left = max(left, budget * self._luck(server))
        return left

    def _luck(self, server: Server) -> float:
        """How many times its budget one connection may have, where the budget is below one connection.

        One of any load passes in so many windows, drawn for each balancer and window. Saving up instead would
        let all balancers send at once.
        """
        window = (self._batch.now_us - server.started_us) // self._settings.slow_start_window_us
        draw = max(SMALLEST_DRAW, mix(server.hash ^ self._salt ^ mix(window)) / MASK)
        return min(1 / draw, self._settings.balancers / 2)

    def record_sent(self, server: Server, load: float) -> None:
        """Load is on its way to a server."""
        if not self.is_warm(server):
            server.slow_start_sends.append(TimedLoad(self._batch.now_us, load))
