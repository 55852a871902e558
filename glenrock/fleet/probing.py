"""Probes by shards: this balancer asks its share and tells the rest; to the module each is a probe."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from glenrock.routing import interface

from ..log import say
from . import wire
from .jobs.words import EVERY_US, Shards
from .ownership.sqlite_store import boottime_us

if TYPE_CHECKING:
    from .agent import Fleet

LOOKS = 5  # in the time between two probes of one server
TOLD = "served"


class Probing:
    def __init__(self, fleet: Fleet) -> None:
        self.fleet, self.shards = fleet, Shards(fleet.roster)
        p = fleet.program
        reported = p.config.settings.load_report_fields
        self.names = [name for name in (interface.LOAD_RATIO, interface.UTILIZATION) if name in reported]
        self.ask, self.post = p.decider.probe, p.instances.post
        fleet.hands[wire.Loads] = self.on_loads
        if self.names:
            p.decider.probe = self.probe
            p.instances.post = self.tap
        else:
            say("fleet", "jobs.probe_shards: reports tell no load here, so each balancer probes as it would without")

    def start(self) -> None:
        if self.names:
            self.fleet.run(self.turn())

    def probe(self, server: str) -> None:
        """What the module asks for: another's word where it is fresh, else a probe."""
        load = self.shards.told(server, boottime_us())
        if load is None:
            self.ask(server)
        else:
            self.post(interface.HealthCheckResult(server, TOLD, 0, {self.names[0]: load}))

    def tap(self, event: interface.Event) -> bool:
        """What instances tell the module; answers to probes are told to the others too."""
        if isinstance(event, interface.HealthCheckResult) and event.outcome == TOLD:
            self.shards.result(event.server, event.report.get(self.names[0]), boottime_us())
        return self.post(event)

    def on_loads(self, peer: int, m: wire.Loads) -> None:
        loads = self.shards.hear(m.data, boottime_us()) if self.names else []
        if loads is None:
            say("fleet", f"loads from balancer {peer} ignored: they cannot be read")
        for server, load in loads or ():
            self.post(interface.HealthCheckResult(server, TOLD, 0, {self.names[0]: load}))

    async def turn(self) -> None:
        instances = self.fleet.program.instances
        while True:
            warm = self.fleet.clock.now() - self.fleet.program.config.settings.slow_start_us / 1000
            self.shards.listed(n for n in instances.listed() if instances.all[n].entry.since_ms <= warm)
            for server in self.shards.due(boottime_us()):
                self.ask(server)
            for data in self.shards.datagrams():
                self.fleet.tell(wire.Loads(data))
            await asyncio.sleep(EVERY_US / LOOKS / 1e6)
