"""Health checks by shards: this balancer asks its share and tells the rest; routing sees no difference."""

from __future__ import annotations

import asyncio

from glenrock.routing import interface

from ..log import say
from . import datagrams
from .context import CoordinationContext
from .leases.sqlite_store import boottime_us
from .shared_work.health_check_shards import CHECK_INTERVAL_US, HealthCheckShards

ROUNDS_PER_INTERVAL = 5  # in the time between two checks of one server
LOAD_FIELDS = (interface.LOAD_RATIO, interface.UTILIZATION)


class ShardedHealthChecks:
    """Stands between the routing actor and the servers, where reports tell of load."""

    def __init__(self, context: CoordinationContext) -> None:
        self._context = context
        self._shards = HealthCheckShards(context.membership)
        host = context.host
        reported = host.config.settings.load_report_fields
        self._load_fields = [name for name in LOAD_FIELDS if name in reported]
        self._send_health_check = host.routing.send_health_check
        self._post = host.servers.post
        context.transport.register(datagrams.SharedLoads, self._on_shared_loads)
        if self._load_fields:
            host.routing.send_health_check = self._check
            host.servers.post = self._tap
        else:
            say("fleet", "jobs.probe_shards: reports tell no load here, so each balancer probes as it would without")

    def start(self) -> None:
        """Begins to ask this balancer's share."""
        if self._load_fields:
            self._context.tasks.run(self._run())

    def _check(self, server: str) -> None:
        """What the routing decisions ask for: another's answer where it is fresh, else a health check."""
        load = self._shards.fresh_load(server, boottime_us())
        if load is None:
            self._send_health_check(server)
        else:
            self._post_load(server, load)

    def _post_load(self, server: str, load: float) -> None:
        self._post(
            interface.HealthCheckResult(server, interface.AttemptOutcome.SERVED, 0, {self._load_fields[0]: load})
        )

    def _tap(self, event: interface.Event) -> bool:
        """What servers tell the routing actor; answers to health checks are told to the others too."""
        if isinstance(event, interface.HealthCheckResult) and event.outcome == "served":
            load = event.report.get(self._load_fields[0])
            self._shards.record_result(event.server, load, boottime_us())
        return self._post(event)

    def _on_shared_loads(self, peer: int, message: datagrams.SharedLoads) -> None:
        loads = self._shards.receive(message.data, boottime_us()) if self._load_fields else []
        if loads is None:
            say("fleet", f"loads from balancer {peer} ignored: they cannot be read")
            return
        for server, load in loads:
            self._post_load(server, load)

    async def _run(self) -> None:
        while True:
            self._shards.update_servers(self._warm_servers())
            for server in self._shards.start_due_checks(boottime_us()):
                self._send_health_check(server)
            for data in self._shards.pop_datagrams():
                self._context.transport.broadcast(datagrams.SharedLoads(data))
            await asyncio.sleep(CHECK_INTERVAL_US / ROUNDS_PER_INTERVAL / 1e6)

    def _warm_servers(self) -> list[str]:
        host = self._context.host
        warm_ms = host.clock.now() - host.config.settings.slow_start_us / 1000
        instances = host.servers
        return [row.name for row in instances.listed_rows() if row.since_ms <= warm_ms]
