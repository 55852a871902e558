"""Starts, drains and stops processes, and partitions zones. Faults call these functions."""

from __future__ import annotations

from glenrock.routing import interface
from glenrock.routing.interface import AttemptOutcome, EndpointState

from .engine import SECOND_US
from .model.balancer import BalancerProcess
from .model.requests import Attempt, ClientRequest, RequestOutcome
from .model.server import Connection, ServerModel
from .server_attempts import ServerAttempts
from .spec_types import drawn_number

# Times of a manual drain, as in `glenrock.net.graceful_shutdown`: the front end detects the drain, then clients migrate
# in steps. The times of the migration are `FRONT_END_NOTICE_MS`, `MANUAL_DRAIN_MS` and `DRAIN_STEP_MS` there.
FRONT_END_DETECTION_US = 250_000  # the modelled front end polls every 0.1 s, and sends clients for 0.2 s more
MIGRATION_STARTS_AFTER_US = 450_000
MIGRATION_US = 3_000_000
MIGRATION_STEP_US = 50_000
# Percentages of the time of a graceful shutdown: clients migrate evenly until the first, and those left at the second.
EVEN_MIGRATION_PERCENT, FINAL_MIGRATION_PERCENT = 90, 95
HEARTBEAT_INTERVAL_S = 2  # between lines that a client sends; a partition is noticed by their absence


class ProcessControl(ServerAttempts):
    """The part of a simulation that starts and ends processes, and partitions zones."""

    def start_server(self, server: ServerModel[Attempt]) -> None:
        """Starts the process of a server, unless it is running or was overloaded while warming up."""
        if server.is_up or server.was_overloaded_while_warming_up:
            return
        self.invariants.record_event(self.engine.now, "process started", "", server.name)
        server.start(self.engine.now)
        add_s = drawn_number(self.experiment.discovery.add_s)
        self.feed.report_change(add_s, server.name, EndpointState.READY, server.started_us)

    def drain_server(self, server: ServerModel[Attempt]) -> None:
        """Reports a server as draining."""
        if server.is_up and not server.is_draining:
            self.invariants.record_event(self.engine.now, "drain started", "", server.name)
            server.is_draining = True
            self.feed.report_change(0.0, server.name, EndpointState.DRAINING)

    def stop_if_draining(self, server: ServerModel[Attempt]) -> None:
        """Ends the process of a server that is still draining."""
        if server.is_draining:
            self.stop_server(server)

    # -- partitions ----------------------------------------------------------------------------------

    def partition_zone(self, zone: int) -> None:
        """Partitions a zone from the others; connections across the partition break after the silence timeout."""
        self.invariants.record_event(self.engine.now, f"zone {self.zones[zone]} partitioned", "", "")
        self.links.partitioned_zones.add(zone)
        for connection in self._partitioned_connections():
            connection.attempt.server.set_unreachable(self.engine.now, connection, True, 0.0)
            delay_us = self.silence_timeout_us + round(
                HEARTBEAT_INTERVAL_S * SECOND_US * self.client_delays.draw_uniform()
            )
            self.engine.at(self.engine.now + delay_us, self._break_partitioned, connection)

    def _break_partitioned(self, connection: Connection[Attempt]) -> None:
        if connection.is_unreachable and connection.attempt.request.client.connection is connection:
            self.break_connection(connection, AttemptOutcome.BROKEN)

    def heal_zone(self, zone: int) -> None:
        """Restores the links of a zone, and the connections over them that are still open."""
        self.links.partitioned_zones.discard(zone)
        for connection in self._partitioned_connections():
            if connection.is_unreachable and self._path_is_open(connection.attempt):
                load = self.load_of(connection.attempt.request.client)
                connection.attempt.server.set_unreachable(self.engine.now, connection, False, load)

    def _partitioned_connections(self) -> list[Connection[Attempt]]:
        return [
            connection
            for server in self.servers.values()
            for connection in server.open_connections.values()
            if not self._path_is_open(connection.attempt) or connection.is_unreachable
        ]

    # -- balancers -----------------------------------------------------------------------------------

    @staticmethod
    def _open_requests(balancer: BalancerProcess) -> list[ClientRequest]:
        return [request for request in balancer.requests.values() if request.open_attempt()]

    def shut_down_gracefully(self, balancer: BalancerProcess, duration_us: int) -> None:
        """Migrates the clients of a balancer evenly over most of `duration_us`, before its process ends."""
        now, requests = self.engine.now, self._open_requests(balancer)
        for number, request in enumerate(requests):
            offset_us = duration_us * EVEN_MIGRATION_PERCENT // 100 * number // len(requests)
            self.engine.at(now + offset_us, self.migrate, request)
        final_us = now + duration_us * FINAL_MIGRATION_PERCENT // 100
        self.engine.at(final_us, self._migrate_all, balancer, balancer.incarnation)
        self.front_end.remove(balancer)

    def _migrate_all(self, balancer: BalancerProcess, incarnation: int) -> None:
        if balancer.incarnation == incarnation:
            for request in self._open_requests(balancer):
                self.migrate(request)

    def start_manual_drain(self, balancer: BalancerProcess) -> None:
        """Starts to migrate all clients of a balancer, as an operator's drain does."""
        now = self.engine.now
        self.invariants.record_event(now, f"balancer {balancer.index}: manual drain started", "", "")
        balancer.post(interface.DrainMode(True))
        self.engine.at(now + FRONT_END_DETECTION_US, self.front_end.remove, balancer)
        start_us = now + MIGRATION_STARTS_AFTER_US
        self.engine.at(start_us, self._migrate_step, balancer, balancer.incarnation, now + MIGRATION_US)
        balancer.is_draining = True

    def _migrate_step(self, balancer: BalancerProcess, incarnation: int, end_us: int) -> None:
        """Migrates the clients of one step, and schedules the next; steps continue until the drain ends."""
        if balancer.incarnation != incarnation or not balancer.is_draining:
            return
        requests = self._open_requests(balancer)
        steps = max(1.0, (end_us - self.engine.now) / MIGRATION_STEP_US)
        for request in requests[: max(1, round(len(requests) / steps + 0.49))]:
            self.migrate(request)
        self.engine.at(self.engine.now + MIGRATION_STEP_US, self._migrate_step, balancer, incarnation, end_us)

    def end_manual_drain(self, balancer: BalancerProcess, incarnation: int) -> None:
        """Ends a manual drain; the balancer accepts clients again."""
        if balancer.incarnation == incarnation and balancer.is_draining:
            balancer.is_draining = False
            balancer.post(interface.DrainMode(False))
            self.front_end.add(balancer, incarnation)

    def kill_balancer(self, balancer: BalancerProcess, incarnation: int, is_planned: bool) -> None:
        """Ends the process of a balancer; an open connection at the end of a planned restart is a violation."""
        if balancer.incarnation != incarnation or not balancer.is_up:
            return
        self.invariants.record_event(self.engine.now, f"balancer {balancer.index}: process ended", "", "")
        for request in balancer.kill():
            attempt = request.open_attempt()
            if attempt and attempt.connection:
                if is_planned:
                    text = "connection still open at the end of a planned restart"
                    self.record_violation("cut off", text, request, attempt.server.name)
                attempt.is_active = False
                self.break_connection(attempt.connection, AttemptOutcome.BROKEN, balancer_is_up=False)
            else:
                self._end_killed_request(balancer, request)
        self.front_end.balancer_ended(balancer)

    def _end_killed_request(self, balancer: BalancerProcess, request: ClientRequest) -> None:
        for attempt in request.attempts:
            if attempt.is_active:
                attempt.is_active = False
                self.abandon_attempt(attempt)
        if request.outcome is None:
            balancer.record_outcome(request, RequestOutcome.KILLED)
            if request.client.request is request:
                self.report_killed(request)
        request.is_over = True

    def start_balancer(self, balancer: BalancerProcess) -> None:
        """Starts the process of a balancer with its cached endpoint list."""
        if not balancer.is_up:
            balancer.start(self.feed.cached_list(balancer))
            self.feed.balancer_started(balancer)
            self.front_end.balancer_started(balancer)
