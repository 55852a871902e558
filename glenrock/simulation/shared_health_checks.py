"""Shared health checks in a simulation: each balancer runs the production class `HealthCheckShards`."""

from __future__ import annotations

from collections.abc import Callable

from glenrock.routing import interface

from ..coordination.datagrams import SHARED_LOADS
from ..coordination.membership import PeerLiveness
from ..coordination.shared_work.health_check_shards import CHECK_INTERVAL_US, HealthCheckShards
from .engine import SECOND_US, Engine
from .model.balancer import BalancerProcess

UPDATE_INTERVAL_US = CHECK_INTERVAL_US // 5  # as in production
START_STAGGER_US = 997  # between the first updates of two balancers; the processes of a fleet do not start together
SHARED_LOADS_TYPE = bytes([SHARED_LOADS])


class SharedHealthChecks:
    """Divides the health checks of all servers among the balancers.

    Attributes:
        send_health_check: checks a server for a balancer.
        send_gossip: sends a datagram from a balancer to its peers.
        shards: the incarnation and the shards of each balancer, by its index.
        load_ages_us: ages of the loads from peers that answered health checks.
    """

    def __init__(
        self,
        engine: Engine,
        balancers: list[BalancerProcess],
        slow_start_s: float,
        send_health_check: Callable[[BalancerProcess, str], None],
        send_gossip: Callable[[BalancerProcess, bytes], None],
    ) -> None:
        self.engine, self.balancers, self.slow_start_us = engine, balancers, slow_start_s * SECOND_US
        self.send_health_check, self.send_gossip = send_health_check, send_gossip
        self.shards: dict[int, tuple[int, HealthCheckShards]] = {}
        self.load_ages_us: list[int] = []

    def start(self) -> None:
        """Schedules the first update of each balancer."""
        for balancer in self.balancers:
            delay_us = balancer.index * START_STAGGER_US % UPDATE_INTERVAL_US
            self.engine.at(self.engine.now + delay_us, self._update, balancer)

    def _shards_of(self, balancer: BalancerProcess) -> HealthCheckShards:
        incarnation, shards = self.shards.get(balancer.index, (-1, None))
        if shards is None or incarnation != balancer.incarnation:
            shards = HealthCheckShards(PeerLiveness(balancer.index, range(len(self.balancers)), self.engine.now))
            self.shards[balancer.index] = balancer.incarnation, shards
        return shards

    def _update(self, balancer: BalancerProcess) -> None:
        now = self.engine.now
        self.engine.at(now + UPDATE_INTERVAL_US, self._update, balancer)
        if not balancer.is_up:
            return
        shards = self._shards_of(balancer)
        shards.update_servers(
            server
            for server in balancer.known_servers
            if server in balancer.endpoints and now - balancer.endpoints[server].started_us >= self.slow_start_us
        )
        for server in shards.start_due_checks(now):
            self.send_health_check(balancer, server)
        for data in shards.pop_datagrams():
            self.send_gossip(balancer, SHARED_LOADS_TYPE + data)

    def answer_from_peer(self, balancer: BalancerProcess, server: str) -> bool:
        """Answers a health check with the load that a peer reported. Returns False if there is no recent load."""
        now, shards = self.engine.now, self._shards_of(balancer)
        load = shards.fresh_load(server, now)
        if load is None:
            return False
        self.load_ages_us.append(shards.load_age_us(server, now))
        self.engine.at(now + 1, self._post_load, balancer, balancer.incarnation, server, load)
        return True

    def _post_load(self, balancer: BalancerProcess, incarnation: int, server: str, load: float) -> None:
        if balancer.is_up and balancer.incarnation == incarnation:
            report = {interface.LOAD_RATIO: load}
            balancer.post(interface.HealthCheckResult(server, interface.AttemptOutcome.SERVED, 0, report))

    def record_result(self, balancer: BalancerProcess, server: str, report: dict[str, float]) -> None:
        """Records the load of a server that this balancer has checked."""
        self._shards_of(balancer).record_result(server, report.get(interface.LOAD_RATIO), self.engine.now)

    def receive(self, balancer: BalancerProcess, peer: int, data: bytes) -> bool:
        """Receives a datagram of a peer. Returns whether it contained shared loads, not a gossip summary."""
        shards, now = self._shards_of(balancer), self.engine.now
        shards.membership.record_heard(peer, now)  # type: ignore[attr-defined]
        if data[:1] != SHARED_LOADS_TYPE:
            return False
        for server, load in shards.receive(data[1:], now) or ():
            self._post_load(balancer, balancer.incarnation, server, load)
        return True
