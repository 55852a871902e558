"""The front: spreads clients evenly over the balancers of their zone, and finds a dead one late."""

from __future__ import annotations

from ..engine import Engine
from ..spec import Front as Spec
from ..streams import Streams
from .balancer import Host


class Front:
    def __init__(self, spec: Spec, hosts: list[Host], zones: int, engine: Engine, streams: Streams) -> None:
        self.notice, self.admit = round(float(spec.notice_s) * 1e6), round(float(spec.admit_s) * 1e6)
        self.engine, self.draw = engine, streams.uniforms("front")
        self.all = hosts
        self.known: list[list[Host]] = [[h for h in hosts if h.zone == z] for z in range(zones)]

    def pick(self, zone: int) -> Host | None:
        """A balancer that the front takes to be alive; of another zone where it knows none; or None."""
        there = self.known[zone] or [h for hosts in self.known for h in hosts]
        return there[int(self.draw() * len(there))] if there else None

    def stopped(self, host: Host) -> None:
        """Its process has ended just now."""
        self.engine.at(self.engine.now + self.notice, self.drop, host, host.life)

    def drop(self, host: Host, life: int) -> None:
        if host.life == life and not host.up:
            self.leave(host)

    def leave(self, host: Host) -> None:
        """It has said that it takes no clients, or is found to be dead."""
        if host in self.known[host.zone]:
            self.known[host.zone].remove(host)

    def started(self, host: Host) -> None:
        self.engine.at(self.engine.now + self.admit, self.take, host, host.life)

    def take(self, host: Host, life: int) -> None:
        if host.life == life and host.up and host not in self.known[host.zone]:
            self.known[host.zone].append(host)
            self.known[host.zone].sort(key=lambda h: h.index)
