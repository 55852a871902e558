"""Probe shards in a day: the program's own part (`glenrock.fleet.jobs.words`) at each balancer of it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from glenrock.routing import interface

from ..fleet.jobs.words import EVERY_US, Shards
from ..fleet.roster import Heard
from ..fleet.wire import LOADS
from .model.balancer import Host

if TYPE_CHECKING:
    from .day import Day

LOOKS = 5  # in the time between two probes of one instance, as in the program


class Shared:
    def __init__(self, day: Day) -> None:
        self.day = day
        self.of: dict[int, tuple[int, Shards]] = {}  # balancer: its life, and what it knows
        self.ages: list[int] = []  # of what was answered from another's word, in microseconds

    def begin(self) -> None:
        for host in self.day.hosts:
            # Not in step: processes of one fleet start at different moments.
            self.day.engine.at(self.day.engine.now + host.index * 997 % (EVERY_US // LOOKS), self.turn, host)

    def shards(self, host: Host) -> Shards:
        life, known = self.of.get(host.index, (-1, None))
        if known is None or life != host.life:
            known = Shards(Heard(host.index, range(len(self.day.hosts)), self.day.engine.now))
            self.of[host.index] = host.life, known
        return known

    def turn(self, host: Host) -> None:
        now = self.day.engine.now
        self.day.engine.at(now + EVERY_US // LOOKS, self.turn, host)
        if not host.up:
            return
        mine = self.shards(host)
        cold_us = self.day.e.rules.cold_s * 1_000_000
        mine.listed(n for n in host.known if n in host.last and now - host.last[n].started_us >= cold_us)
        for server in mine.due(now):
            self.day.probe_now(host, server)
        for data in mine.datagrams():
            self.day.tell(host, bytes([LOADS]) + data)

    def knows(self, host: Host, server: str) -> bool:
        """Whether another's word answers what the decisions ask; it is handed over in the next turn."""
        now, mine = self.day.engine.now, self.shards(host)
        load = mine.told(server, now)
        if load is None:
            return False
        self.ages.append(now - mine.fresh[server][0])
        self.day.engine.at(now + 1, self.hand, host, host.life, server, load)
        return True

    def hand(self, host: Host, life: int, server: str, load: float) -> None:
        if host.up and host.life == life:
            host.post(interface.HealthCheckResult(server, "served", 0, {interface.LOAD_RATIO: load}))

    def result(self, host: Host, server: str, report: dict[str, float]) -> None:
        self.shards(host).result(server, report.get(interface.LOAD_RATIO), self.day.engine.now)

    def arrives(self, host: Host, peer: int, data: bytes) -> bool:
        """Whether that was words on loads, and no summary."""
        mine, now = self.shards(host), self.day.engine.now
        mine.roster.hear(peer, now)  # type: ignore[attr-defined]
        if data[:1] != bytes([LOADS]):
            return False
        for server, load in mine.hear(data[1:], now) or ():
            self.hand(host, host.life, server, load)
        return True
