"""Slow start: how warm a server is, and how much load this balancer may send to a server that is warming up.

A server that is warming up would fail under the load that all balancers together could send. Each balancer
therefore has a budget for it. Whatever the number of balancers, their budgets add up to about
`SLOW_START_BUDGET_FRACTION` of the load at which the server fails.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping

from .capacity_estimation import CapacityEstimator
from .event_batch import EventBatch
from .hash_ring import HASH_MASK, mix
from .interface import SentLoad, Settings, SlowStartSends
from .load_estimation import LoadEstimator
from .state import Peer, Server, TimedLoad

SLOW_START_BUDGET_FRACTION = 0.45  # of the load at which a warming server fails; the rest covers random peaks
BUDGET_MIN_FLEET_LOAD = 0.5  # lower bound on the mean fleet load, by which budgets are divided
MIN_DRAW = 1e-9  # avoids a division by 0


def reference_load(
    own_load: float,
    client_fraction: float | None,
    peers: Collection[Peer],
    balancers: int,
    is_balancer_draining: bool,
) -> float:
    """Returns the load from which this balancer's slow-start budgets are computed.

    A balancer that announces no clients is draining or has just started. Its load is unassigned: it is
    divided among the balancers that have clients, or evenly if none has. If the announcing balancer counted
    this load too, the budgets would contain it twice; if no balancer counted it, a warming server would stay
    empty while others are full.

    Args:
        own_load: load of this balancer's connections.
        client_fraction: this balancer's fraction of all clients; None if it has none or no peer is known.
        peers: the last gossip summaries of the other balancers.
        balancers: number of balancers in the settings.
        is_balancer_draining: whether this balancer migrates its clients to the others.
    """
    if not peers:
        return 0.0 if is_balancer_draining else own_load
    unassigned = sum(peer.active_load for peer in peers if not peer.clients)
    if client_fraction is not None and not is_balancer_draining:
        return own_load + unassigned * client_fraction
    if any(peer.clients for peer in peers):
        return 0.0
    return (own_load + unassigned) / balancers


class SlowStart:
    """The warmth of the servers, and this balancer's slow-start budgets.

    Attributes:
        warming: reachable servers that were warming up in the last round.
        reference_load: the load from which budgets are computed.
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
        self._budget_multiple = SLOW_START_BUDGET_FRACTION * settings.slow_start_multiple
        self.warming: list[Server] = []
        self.reference_load = 0.0

    def warmth(self, server: Server) -> float:
        """Returns the fraction of its full capacity that a server has reached, 1 for a warm server."""
        age_us = self._batch.now_us - server.started_us
        if not server.started_us or age_us >= self._settings.slow_start_us:
            return 1.0
        initial = self._settings.slow_start_initial_fraction
        return initial + (1 - initial) * max(0, age_us) / self._settings.slow_start_us

    def is_warm(self, server: Server) -> bool:
        """Returns whether the server's slow start is over."""
        return self.warmth(server) >= 1

    def filled_fraction(self, server: Server) -> float:
        """Returns the load that all balancers may have sent to a server since it started.

        It is a fraction of the server's full capacity.
        """
        settings = self._settings
        age_fraction = max(0, self._batch.now_us - server.started_us) / max(1, settings.slow_start_us)
        mean_warmth = (settings.slow_start_initial_fraction + self.warmth(server)) / 2
        return self._budget_multiple * age_fraction * mean_warmth

    def update_reference_load(self, load: float, is_balancer_draining: bool) -> None:
        """Updates the reference load, once a round.

        While no server is warm, the last reference load is kept, unless this balancer drains. If it were not
        kept after a loss of all servers, when no connections are left, the budgets would be 0 until the first
        server is warm.
        """
        if is_balancer_draining or self._capacity.has_warm_server:
            self.reference_load = load

    def clear_reference_load(self) -> None:
        """Sets the reference load to 0 until the next round."""
        self.reference_load = 0.0

    def headroom(self, server: Server) -> float:
        """Returns the load that this balancer may send to a server now; infinite for a warm server.

        The budget of a window is the product of:
        - this balancer's load on one full warm server: `reference_load` / (warm servers * mean fleet load),
        - the server's warmth,
        - the window's length / the slow start's length,
        - `SLOW_START_BUDGET_FRACTION` * `slow_start_multiple`; a warming server fails if it receives more
          than `slow_start_multiple` times its capacity within a window.

        The window slides, since the budgets of two consecutive fixed windows could be spent together around
        their boundary. The unit is that of `reference_load`, microseconds of work per second.
        """
        warmth = self.warmth(server)
        if warmth >= 1:
            return float("inf")
        settings = self._settings
        window_us = settings.slow_start_window_us
        window_fraction = min(1.0, window_us / max(1, settings.slow_start_us))
        server_count = self._capacity.warm_server_count or max(1, len(self._servers))
        fleet_load = max(BUDGET_MIN_FLEET_LOAD, self._loads.fleet_load)
        budget_fraction = self._budget_multiple * warmth * window_fraction / (server_count * fleet_load)
        self._forget_earlier_sends(server)
        budget = budget_fraction * self.reference_load
        left = budget - sum(load for _, load in server.slow_start_sends)
        if not server.slow_start_sends:
            left = max(left, budget * self._window_multiple(server))
        return left

    def _window_multiple(self, server: Server) -> float:
        """Returns the multiple of the budget that a connection may use if the sliding window has no other.

        A budget that is smaller than one connection is rounded up at random. The multiple is 1 / u, at most
        half the number of balancers, where u is drawn uniformly from 0 to 1 for each balancer and each of the
        consecutive fixed windows since the server's start. The multiple is at least n with probability 1 / n,
        so a connection that needs n budgets is sent in one of n windows on average. If balancers saved up
        their budgets over several windows instead, all of them could send at the same time.
        """
        window = (self._batch.now_us - server.started_us) // self._settings.slow_start_window_us
        draw = max(MIN_DRAW, mix(server.hash ^ self._salt ^ mix(window)) / HASH_MASK)
        return min(1 / draw, self._settings.balancers / 2)

    def _forget_earlier_sends(self, server: Server) -> None:
        """Forgets load that was sent before the present window."""
        from_us = self._batch.now_us - self._settings.slow_start_window_us
        server.slow_start_sends = [sent for sent in server.slow_start_sends if sent.at_us > from_us]

    def present_sends(self) -> list[SlowStartSends]:
        """Returns the load that was sent in the present windows, by server."""
        present = []
        for server in self._servers.values():
            if server.slow_start_sends and not self.is_warm(server):
                self._forget_earlier_sends(server)
                sends = tuple(SentLoad(sent.at_us, sent.load) for sent in server.slow_start_sends)
                present.append(SlowStartSends(server.server_id, sends))
        return [event for event in present if event.sends]

    def take_over_sends(self, server: Server, sends: Iterable[SentLoad]) -> None:
        """Counts load that another process of this balancer has sent to a server in its slow start."""
        if not self.is_warm(server):
            server.slow_start_sends += [TimedLoad(sent.at_us, sent.load) for sent in sends]

    def record_sent(self, server: Server, load: float) -> None:
        """Records load that was sent to a server, if the server is warming up."""
        if not self.is_warm(server):
            server.slow_start_sends.append(TimedLoad(self._batch.now_us, load))
