"""Sharded health checks in a day: the program's own part (`coordination/shared_work`) at each balancer of it."""

from __future__ import annotations

from collections.abc import Callable

from glenrock.routing import interface

from ..coordination.datagrams import SHARED_LOADS
from ..coordination.membership import PeerLiveness
from ..coordination.shared_work.health_check_shards import CHECK_INTERVAL_US, HealthCheckShards
from .engine import Engine
from .model.balancer import Host

LOOKS = 5  # in the time between two probes of one instance, as in the program


class Shared:
    def __init__(
        self,
        engine: Engine,
        hosts: list[Host],
        cold_s: float,
        probe: Callable[[Host, str], None],
        tell: Callable[[Host, bytes], None],
    ) -> None:
        self.engine, self.hosts, self.cold_us = engine, hosts, cold_s * 1_000_000
        self.probe, self.tell = probe, tell
        self.of: dict[int, tuple[int, HealthCheckShards]] = {}  # balancer: its life, and what it knows
        self.ages: list[int] = []  # of what was answered from another's word, in microseconds

    def begin(self) -> None:
        for host in self.hosts:
            # Not in step: processes of one fleet start at different moments.
            self.engine.at(self.engine.now + host.index * 997 % (CHECK_INTERVAL_US // LOOKS), self.turn, host)

    def shards(self, host: Host) -> HealthCheckShards:
        life, known = self.of.get(host.index, (-1, None))
        if known is None or life != host.life:
            known = HealthCheckShards(PeerLiveness(host.index, range(len(self.hosts)), self.engine.now))
            self.of[host.index] = host.life, known
        return known

    def turn(self, host: Host) -> None:
        now = self.engine.now
        self.engine.at(now + CHECK_INTERVAL_US // LOOKS, self.turn, host)
        if not host.up:
            return
        mine = self.shards(host)
        mine.update_servers(n for n in host.known if n in host.last and now - host.last[n].started_us >= self.cold_us)
        for server in mine.start_due_checks(now):
            self.probe(host, server)
        for data in mine.pop_datagrams():
            self.tell(host, bytes([SHARED_LOADS]) + data)

    def knows(self, host: Host, server: str) -> bool:
        """Whether another's word answers what the decisions ask; it is handed over in the next turn."""
        now, mine = self.engine.now, self.shards(host)
        load = mine.fresh_load(server, now)
        if load is None:
            return False
        self.ages.append(mine.load_age_us(server, now))
        self.engine.at(now + 1, self.hand, host, host.life, server, load)
        return True

    def hand(self, host: Host, life: int, server: str, load: float) -> None:
        if host.up and host.life == life:
            host.post(interface.HealthCheckResult(server, "served", 0, {interface.LOAD_RATIO: load}))

    def result(self, host: Host, server: str, report: dict[str, float]) -> None:
        self.shards(host).record_result(server, report.get(interface.LOAD_RATIO), self.engine.now)

    def arrives(self, host: Host, peer: int, data: bytes) -> bool:
        """Whether that was words on loads, and no summary."""
        mine, now = self.shards(host), self.engine.now
        mine.membership.record_heard(peer, now)  # type: ignore[attr-defined]
        if data[:1] != bytes([SHARED_LOADS]):
            return False
        for server, load in mine.receive(data[1:], now) or ():
            self.hand(host, host.life, server, load)
        return True
