"""The base class of the reference policies, which differ only in how they select a server.

Each request is attempted at once at the selected server and, after a failure, at another one. It is rejected when it
has no attempts or no time left. Open connections stay on their server, except that the clients of a draining or
suspended server migrate evenly over `MIGRATION_US`, because the invariant on lost connections requires it.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from glenrock.routing import interface
from glenrock.routing.interface import AttemptOutcome, EndpointListKind, EndpointState

ANSWER_MARGIN_TICKS = 2  # time reserved before a request's deadline, so that its answer is in time
MIGRATION_US = 2_000_000
ROUND_US = 500_000
UNREACHABLE_FOR_US = 1_000_000  # a server is not selected for this long after it accepted no connection
ATTEMPT_TIME_PERCENT = 60  # part of the remaining time for an attempt that may be retried
MIN_ATTEMPT_US = 200_000
NEVER_US = -1 << 60


@dataclass(slots=True, eq=False)
class KnownServer:
    """What one balancer knows of a server.

    Attributes:
        is_ready: whether it may be selected.
        is_listed: whether the endpoint list contains it as ready.
        active_attempts: number of this balancer's attempts that are pending or have an open connection.
        connections: identifiers of the requests with an open connection, oldest first.
        report: the latest load report.
        report_at_us: when the report arrived.
        migrate_by_us: when all its clients must have migrated; 0 if they need not.
    """

    id: str
    zone: str
    is_ready: bool = True
    is_listed: bool = True
    active_attempts: int = 0
    connections: dict[str, None] = field(default_factory=dict)
    report: dict[str, float] = field(default_factory=dict)
    report_at_us: int = NEVER_US
    migrate_by_us: int = 0


@dataclass(slots=True, eq=False)
class PendingRequest:
    """A request, from its arrival until it is rejected or its connection ends.

    Attributes:
        tried_servers: server of each of its attempts, in order.
        server: server of its active attempt.
        is_established: whether its connection is open.
    """

    event: interface.Request
    tried_servers: list[KnownServer] = field(default_factory=list)
    server: KnownServer | None = None
    is_established: bool = False


class ReferencePolicy:
    """The base class of the reference policies; subclasses define `select_server`.

    Attributes:
        ready: servers that may be selected.
        timers: by identifier of a timer, the request that it belongs to, or None for the timer of the next round.
        suspended: servers that an operator has suspended.
        is_watching: whether it has asked for the endpoint list and its changes.
        unreachable_until_us: by server that accepted no connection, when it may be selected again.
    """

    def __init__(self, settings: interface.Settings, seed: int) -> None:
        self.settings = settings
        self.random = random.Random(seed)  # noqa: S311 - draws must be repeatable, not secret
        self.now_us = 0
        self.servers: dict[str, KnownServer] = {}
        self.ready: list[KnownServer] = []
        self.requests: dict[str, PendingRequest] = {}
        self.timers: dict[int, str | None] = {}
        self.timer_count = 0
        self.actions: list[interface.Action] = []
        self.suspended: set[str] = set()
        self.is_watching = False
        self.unreachable_until_us: dict[str, int] = {}

    def handle(self, now_us: int, events: list[interface.Event]) -> list[interface.Action]:
        """Returns the actions for a batch of events."""
        is_first, self.now_us, self.actions = not self.now_us, now_us, []
        if is_first:
            self._set_timer(now_us + 1 + self.random.randrange(ROUND_US), None)
        for event in events:
            if handler := EVENT_HANDLERS.get(type(event)):
                handler(self, event)
        return self.actions

    # -- for subclasses ------------------------------------------------------------------------------

    def select_server(self, request: PendingRequest, candidates: list[KnownServer]) -> KnownServer:
        """Selects one of the candidates; there is at least one."""
        raise NotImplementedError

    def on_round(self) -> None:
        """Performs the periodic work of a subclass."""

    def on_arrival(self) -> None:
        """Handles the arrival of a request, before a server is selected for it."""

    def on_report(self, server: KnownServer, latency_us: int) -> None:
        """Handles a load report, with which a server has answered a health check."""

    def send_health_check(self, server: KnownServer) -> None:
        """Sends a health check to a server, if the settings allow health checks."""
        if self.settings.may_health_check:
            self.actions.append(interface.SendHealthCheck(server.id))

    def draw_server(self, candidates: list[KnownServer]) -> KnownServer:
        """Draws one of the candidates with equal probability."""
        return candidates[self.random.randrange(len(candidates))]

    # -- the endpoint list ---------------------------------------------------------------------------

    def _on_endpoints(self, event: interface.EndpointList) -> None:
        if event.kind == EndpointListKind.FAILED:
            self.is_watching = False
            return
        if event.kind != EndpointListKind.CHANGES:
            listed = {entry.server_id for entry in event.entries}
            for server in self.servers.values():
                if server.id not in listed:
                    server.is_listed = False
                    self._start_draining(server)
        for entry in event.entries:
            server = self.servers.setdefault(entry.server_id, KnownServer(entry.server_id, entry.zone))
            server.zone, server.is_listed = entry.zone, entry.state == EndpointState.READY
            if server.is_listed and server.id not in self.suspended:
                server.is_ready, server.migrate_by_us = True, 0
            else:
                self._start_draining(server)
        self._update_ready()

    def _on_override(self, event: interface.OperatorOverride) -> None:
        """Suspends a server, whatever its state in the endpoint list, or ends its suspension."""
        (self.suspended.add if event.is_suspended else self.suspended.discard)(event.server_id)
        if server := self.servers.get(event.server_id):
            if event.is_suspended:
                self._start_draining(server)
            elif server.is_listed:
                server.is_ready, server.migrate_by_us = True, 0
            self._update_ready()

    def _start_draining(self, server: KnownServer) -> None:
        if server.is_ready:
            server.is_ready, server.migrate_by_us = False, self.now_us + MIGRATION_US

    def _update_ready(self) -> None:
        self.ready = [server for server in self.servers.values() if server.is_ready]

    # -- requests ------------------------------------------------------------------------------------

    def _answer_deadline_us(self, event: interface.Request) -> int:
        return event.deadline_us - ANSWER_MARGIN_TICKS * self.settings.tick_us

    def _on_request(self, event: interface.Request) -> None:
        request = self.requests[event.request_id] = PendingRequest(event)
        self._set_timer(self._answer_deadline_us(event), event.request_id)
        self.on_arrival()
        self._start_attempt(request)

    def _on_open_connection(self, event: interface.OpenConnection) -> None:
        server = self.servers.get(event.server_id)
        if server:
            self.requests[event.request.request_id] = PendingRequest(event.request, [server], server, True)
            server.active_attempts += 1
            server.connections[event.request.request_id] = None

    def _start_attempt(self, request: PendingRequest) -> None:
        """Starts an attempt, or rejects the request if it has no attempts or no time left."""
        max_attempts = self.settings.max_attempts
        if not request.event.is_midstream and len(request.tried_servers) >= max_attempts:
            self._reject(request)
            return
        candidates = self._candidates(request)
        left_us = self._answer_deadline_us(request.event) - self.now_us
        if not candidates or left_us <= 0:
            self._reject(request)
            return
        server = self.select_server(request, candidates)
        request.tried_servers.append(server)
        request.server = server
        server.active_attempts += 1
        is_last = len(request.tried_servers) >= max_attempts
        timeout_us = left_us if is_last else max(left_us * ATTEMPT_TIME_PERCENT // 100, min(left_us, MIN_ATTEMPT_US))
        self.actions.append(interface.StartAttempt(request.event.request_id, server.id, timeout_us))

    def _candidates(self, request: PendingRequest) -> list[KnownServer]:
        unreachable = self.unreachable_until_us
        if unreachable and min(unreachable.values()) <= self.now_us:
            unreachable = {id_: until_us for id_, until_us in unreachable.items() if until_us > self.now_us}
            self.unreachable_until_us = unreachable
        if not request.tried_servers and not unreachable:  # avoids a copy of a long list for each request
            return self.ready
        reachable = [server for server in self.ready if server.id not in unreachable] or self.ready
        return [server for server in reachable if server not in request.tried_servers] or reachable

    def _reject(self, request: PendingRequest) -> None:
        max_retry_after_us = self.settings.max_retry_after_us if self.settings.may_send_retry_after else 0
        retry_after_us = int(max_retry_after_us * (0.5 + self.random.random() / 2))
        self.actions.append(interface.Reject(request.event.request_id, retry_after_us))
        self.requests.pop(request.event.request_id, None)

    def _on_established(self, event: interface.ConnectionEstablished) -> None:
        request = self.requests.get(event.request_id)
        if request and request.server:
            request.is_established = True
            request.server.connections[event.request_id] = None
            self.unreachable_until_us.pop(request.server.id, None)

    def _on_attempt_ended(self, event: interface.AttemptEnded) -> None:
        server = self.servers.get(event.server_id)
        request = self.requests.get(event.request_id)
        if server and event.outcome == AttemptOutcome.NO_CONNECTION:
            self.unreachable_until_us[server.id] = self.now_us + UNREACHABLE_FOR_US
        if request is None or request.server is None or server is not request.server:
            return
        request.server.active_attempts -= 1
        request.server.connections.pop(event.request_id, None)
        request.server = None
        if event.is_final or request.is_established:
            self.requests.pop(event.request_id, None)
        else:
            self._start_attempt(request)

    def _on_disconnected(self, event: interface.ClientDisconnected) -> None:
        request = self.requests.pop(event.request_id, None)
        if request and request.server:
            request.server.active_attempts -= 1
            request.server.connections.pop(event.request_id, None)

    # -- timers --------------------------------------------------------------------------------------

    def _set_timer(self, at_us: int, request_id: str | None) -> None:
        self.timer_count += 1
        self.timers[self.timer_count] = request_id
        self.actions.append(interface.SetTimer(at_us, self.timer_count))

    def _on_timer(self, event: interface.TimerFired) -> None:
        if event.timer_id not in self.timers:
            return
        request_id = self.timers.pop(event.timer_id)
        if request_id is None:
            self._run_round()
        elif request := self.requests.get(request_id):
            self._time_out(request)

    def _time_out(self, request: PendingRequest) -> None:
        """Rejects a request that has no time left."""
        if request.is_established:
            return
        if request.server:
            if self.settings.may_cancel:
                self.actions.append(interface.CancelAttempt(request.event.request_id, len(request.tried_servers) - 1))
            request.server.active_attempts -= 1
        self._reject(request)

    def _run_round(self) -> None:
        self._set_timer(self.now_us + ROUND_US, None)
        if self.settings.must_poll_endpoints and not self.is_watching:
            self.is_watching = True
            self.actions.append(interface.WatchEndpoints())
        for server in self.servers.values():
            if server.migrate_by_us and server.connections:
                rounds = max(1, (server.migrate_by_us - self.now_us) // ROUND_US)
                count = -(-len(server.connections) // rounds)
                for id_ in list(server.connections)[:count]:
                    self.actions.append(interface.Migrate(id_))
        self.on_round()

    def _on_health_check_result(self, event: interface.HealthCheckResult) -> None:
        server = self.servers.get(event.server_id)
        if server is None:
            return
        if event.outcome == AttemptOutcome.SERVED:
            server.report, server.report_at_us = event.report, self.now_us
            self.on_report(server, event.latency_us)
        else:
            server.report_at_us = NEVER_US


EVENT_HANDLERS: dict[type, Callable[[ReferencePolicy, Any], None]] = {
    interface.EndpointList: ReferencePolicy._on_endpoints,
    interface.Request: ReferencePolicy._on_request,
    interface.OpenConnection: ReferencePolicy._on_open_connection,
    interface.ConnectionEstablished: ReferencePolicy._on_established,
    interface.AttemptEnded: ReferencePolicy._on_attempt_ended,
    interface.ClientDisconnected: ReferencePolicy._on_disconnected,
    interface.TimerFired: ReferencePolicy._on_timer,
    interface.HealthCheckResult: ReferencePolicy._on_health_check_result,
    interface.OperatorOverride: ReferencePolicy._on_override,
}
