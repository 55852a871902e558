"""Sharded health checks: checks the servers of this balancer's shard, and sends their loads to the peers."""

from __future__ import annotations

import asyncio

from glenrock.routing import interface

from ..log import get_logger
from . import datagrams
from .context import CoordinationContext
from .leases.sqlite_store import boottime_us
from .shared_work.health_check_shards import CHECK_INTERVAL_US, HealthCheckShards

logger = get_logger(__name__)

SECOND_US = 1_000_000
MS_US = 1000
ROUNDS_PER_CHECK_INTERVAL = 5  # rounds of `_run` in the time between two checks of a server
LOAD_FIELDS = (interface.LOAD_RATIO, interface.UTILIZATION)  # fields of a load report that state a load


class ShardedHealthChecks:
    """Answers the routing actor's health checks with loads received from peers.

    It replaces the routing actor's function that sends health checks, and the registry's function that posts events.
    If load reports contain no load, it does neither, and each balancer checks all servers itself.
    """

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
            host.routing.send_health_check = self._answer_health_check
            host.servers.post = self._post_and_record
        else:
            logger.warning("health checks not sharded: load reports contain no load")

    def start(self) -> None:
        """Starts the task that checks the servers of this balancer's shard."""
        if self._load_fields:
            self._context.tasks.run(self._run())

    def _answer_health_check(self, server_id: str) -> None:
        """Answers a health check with a fresh load received from a peer; without one, sends the health check."""
        load = self._shards.fresh_load(server_id, boottime_us())
        if load is None:
            self._send_health_check(server_id)
        else:
            self._post_load(server_id, load)

    def _post_load(self, server_id: str, load: float) -> None:
        self._post(self._result_of(server_id, load))

    def _result_of(self, server_id: str, load: float) -> interface.HealthCheckResult:
        report = {self._load_fields[0]: load}
        return interface.HealthCheckResult(server_id, interface.AttemptOutcome.SERVED, 0, report)

    def _post_and_record(self, event: interface.Event) -> None:
        """Records the load if the event is the result of a health check, and posts the event to the routing actor."""
        if isinstance(event, interface.HealthCheckResult) and event.outcome == interface.AttemptOutcome.SERVED:
            load = event.report.get(self._load_fields[0])
            self._shards.record_result(event.server_id, load, boottime_us())
        self._post(event)

    def _on_shared_loads(self, peer: int, message: datagrams.SharedLoads) -> None:
        loads = self._shards.receive(message.data, boottime_us()) if self._load_fields else []
        if loads is None:
            logger.warning("malformed shared loads ignored", peer=peer)
            return
        for server_id, load in loads:  # of datagrams that may come without end, so they may be lost
            self._context.host.routing.post(self._result_of(server_id, load))

    async def _run(self) -> None:
        interval_s = CHECK_INTERVAL_US / ROUNDS_PER_CHECK_INTERVAL / SECOND_US
        while True:
            self._shards.update_servers(self._warmed_up_servers())
            for server_id in self._shards.start_due_checks(boottime_us()):
                self._send_health_check(server_id)
            for data in self._shards.pop_datagrams():
                self._context.transport.broadcast(datagrams.SharedLoads(data))
            await asyncio.sleep(interval_s)

    def _warmed_up_servers(self) -> list[str]:
        """Returns the listed servers that are no longer warming up."""
        host = self._context.host
        latest_start_ms = host.clock.now_ms() - host.config.settings.slow_start_us / MS_US
        return [row.name for row in host.servers.listed_rows() if row.since_ms <= latest_start_ms]
