"""The name-table feed: what balancers are told of instances, late, and not at all while it is silent."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace

from glenrock.routing import interface

from ..engine import Engine
from ..spec import Discovery
from ..streams import Streams
from .balancer import Host

KEPT_US = 120_000_000  # old lists are kept so long, for balancers that are given one


class Feed:
    """Knows only whether a process runs, drains or is gone. Each balancer hears of it at a time of its own."""

    def __init__(self, spec: Discovery, hosts: list[Host], engine: Engine, streams: Streams) -> None:
        self.spec, self.hosts, self.engine = spec, hosts, engine
        self.spread = round(float(spec.spread_ms) * 1000)
        self.draw = streams.uniforms("feed")
        self.rows: dict[str, interface.Endpoint] = {}
        self.silent_until = 0
        self.age_us = 0  # balancers that start are given a list so old
        self.told: dict[str, int] = {}  # changes of each process, and the last of them that was published
        self.published: dict[str, int] = {}
        self.changes: list[tuple[int, interface.Endpoint]] = []  # as published, for old lists
        self.first: dict[str, interface.Endpoint] = {}
        self.listening: set[int] = set()  # balancers that have asked, where they must

    def begin(self, rows: list[interface.Endpoint]) -> None:
        self.rows = {r.server: r for r in rows}
        self.first = dict(self.rows)

    def tell(self, after_s: float, server: str, state: str, started_us: int | None = None) -> None:
        """A process has changed; the list says so after that time."""
        due = self.engine.now + round(after_s * 1e6)
        self.told[server] = number = self.told.get(server, 0) + 1
        self.engine.at(due, self.publish, server, state, started_us, number)

    def publish(self, server: str, state: str, started_us: int | None, number: int) -> None:
        now = self.engine.now
        if now < self.silent_until:
            self.engine.at(self.silent_until, self.publish, server, state, started_us, number)
            return
        # An end is noticed later than a start is: told after it, it would leave one out that runs.
        if number < self.published.get(server, 0):
            return
        self.published[server] = number
        old = self.rows[server]
        row = replace(old, state=state, started_us=old.started_us if started_us is None else started_us)
        if row == old:
            return
        self.rows[server] = row
        self.changes.append((now, row))
        for host in self.hosts:
            if host.up and (self.spec.mode == "push" or host.index in self.listening):
                self.deliver(host, interface.EndpointList("changes", (row,)))

    def deliver(self, host: Host, told: interface.EndpointList) -> None:
        """In order, each a little later than it was published."""
        due = max(self.engine.now + round(self.draw() * self.spread), host.told_at)
        host.told_at = due
        self.engine.at(due, self.arrive, host, host.life, told)

    def arrive(self, host: Host, life: int, told: interface.EndpointList) -> None:
        if host.life == life and host.up:
            host.listed(told)

    def whole(self) -> interface.EndpointList:
        return interface.EndpointList("full", tuple(r for r in self.rows.values() if r.state != "gone"))

    def at_start(self, host: Host) -> interface.EndpointList:
        """What a balancer that starts holds: its last list, or an older one where a fault says so."""
        if self.age_us:
            then = self.engine.now - self.age_us
            rows = dict(self.first)
            for at, row in self.changes:
                if at <= then:
                    rows[row.server] = row
            return interface.EndpointList("remembered", tuple(r for r in rows.values() if r.state != "gone"))
        return interface.EndpointList("remembered", tuple(r for r in host.last.values() if r.state != "gone"))

    def joined(self, host: Host) -> None:
        """It has started: where lists are pushed it gets the whole one."""
        self.listening.discard(host.index)
        if self.spec.mode == "push":
            self.once_heard(lambda: self.deliver(host, self.whole()), host)

    def once_heard(self, call: Callable[[], None], host: Host) -> None:
        if self.engine.now >= self.silent_until:
            call()
        else:
            life = host.life
            self.engine.at(self.silent_until, lambda: call() if host.life == life and host.up else None)

    def asked(self, host: Host) -> None:
        """A `Watch`. It takes its time, and may fail."""
        fails = self.engine.now < self.silent_until or self.draw() < float(self.spec.ask_failures)
        due = self.engine.now + round(float(self.spec.ask_ms) * 1000)
        self.engine.at(due, self.answer, host, host.life, fails)

    def answer(self, host: Host, life: int, fails: bool) -> None:
        if host.life != life or not host.up:
            return
        if fails:
            host.listed(interface.EndpointList("failed"))
        else:
            self.listening.add(host.index)
            self.deliver(host, self.whole())
