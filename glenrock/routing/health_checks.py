"""Which servers are asked for their load, within a budget, and what an answer means."""

from __future__ import annotations

from dataclasses import dataclass, field

from .endpoint_table import EndpointTable
from .event_batch import SECOND_US, EventBatch
from .failure_domains import FailureDomains
from .hash_ring import MASK
from .interface import AttemptOutcome, HealthCheckResult, SendHealthCheck, Settings
from .load_estimation import (
    ENOUGH_CONNECTIONS,
    FRESH_REPORT_US,
    MIN_LATE_LOAD,
    QUIET_LOAD,
    LoadEstimator,
)
from .outlier_ejection import OutlierEjection
from .server_selection import ServerSelection
from .state import RoutedRequest, Server
from .token_budget import IDLE_HEALTH_CONNECTION_US, LARGE_FLEET, MAX_HEALTH_CHECKS, TokenBudget

HEALTH_CHECK_RESEND_US = SECOND_US  # a server is asked again though no answer came


@dataclass(eq=False)
class HealthChecker:
    """Sends health checks as far as the budget goes, and takes in what comes of them."""

    batch: EventBatch
    settings: Settings
    endpoints: EndpointTable
    loads: LoadEstimator
    domains: FailureDomains
    ejection: OutlierEjection
    selection: ServerSelection
    salt: int
    budget: TokenBudget
    connections: TokenBudget
    _rotation: int = field(init=False, default=0)

    def __post_init__(self) -> None:
        self._rotation = self.salt  # balancers that started together begin at different servers

    def earn(self) -> None:
        """A client's first attempt pays for health checks and for their connections."""
        self.budget.earn()
        self.connections.earn()

    def send(self, server: Server) -> bool:
        """Asks the server. True where a check is out, False where none may be sent."""
        now_us = self.batch.now_us
        if server.health_check_sent_us >= 0 and now_us - server.health_check_sent_us < HEALTH_CHECK_RESEND_US:
            return True
        if not self.loads.has_reports or not self._try_spend(server):
            return False
        server.health_check_sent_us = server.last_checked_us = now_us
        self.batch.emit(SendHealthCheck(server.id))
        return True

    @property
    def _fleet_is_large(self) -> bool:
        return len(self.endpoints.index.ready) > LARGE_FLEET

    def _try_spend(self, server: Server) -> bool:
        """Pays for a check, and in a large fleet for the connection that it needs."""
        is_connected = self.batch.now_us - server.last_checked_us < IDLE_HEALTH_CONNECTION_US
        needs_connection = self._fleet_is_large and not is_connected
        if needs_connection and self.connections.tokens < 1:
            return False
        return self.budget.try_spend(1) and (not needs_connection or self.connections.try_spend(1))

    def check_candidates(self, request: RoutedRequest) -> set[str]:
        """Asks candidates of a first attempt whose loads are not fresh. Returns those worth a wait."""
        if len(request.candidates) < 2 or request.attempts:
            return set()
        fresh_us = self.batch.now_us - FRESH_REPORT_US
        stale = [server for server in request.candidates if server.reported_at_us < fresh_us]
        return {server.id for server in stale if self.send(server)}

    def record_broken(self, server: Server) -> None:
        """A connection broke there.

        Of a server that died each of many balancers held one or two. Waiting for failures of their own, all
        would send it clients that come back.
        """
        if not server.consecutive_failures:
            server.consecutive_failures = 1
            self.endpoints.index.add_suspect(server)
            self.send(server)

    def record_result(self, server: Server, event: HealthCheckResult) -> None:
        """What came of a health check."""
        server.health_check_sent_us = -1
        timed_out = event.outcome == AttemptOutcome.TIMEOUT
        if event.outcome == AttemptOutcome.SERVED:
            server.consecutive_failures = server.ejected_until_us = 0
            self.ejection.record_reachable(server)
            self.ejection.record_report(server, event.report)
        elif timed_out and self.loads.was_slow_recently(server):
            # One that is full answers no health check in time. Held for out of reach it would stay unused for
            # half a minute, and the mean load come from the one or two that are left.
            self.ejection.record_load(server, max(MIN_LATE_LOAD, server.reported_load))
        elif event.outcome == AttemptOutcome.NO_CONNECTION or (
            timed_out and not self.loads.was_heard_recently(server)
        ):
            self.ejection.record_unreachable(server)  # says nothing of its load, nor of the mean

    def run_round(self, is_cap_open: bool) -> None:
        """The checks that no request asked for."""
        self._check_longest_unheard(is_cap_open)
        self._check_cut_domains()
        self._check_inherited_load()
        if not self.settings.has_message_delay_reports:
            self._check_silent_servers()

    def _check_longest_unheard(self, is_cap_open: bool) -> None:
        """One server that no trouble chose: the longest unheard, since a draw leaves one unseen for seconds.

        With thin traffic, tokens kept for requests are never used, and a full fleet would not be seen.
        """
        calm = self.loads.fleet_load < QUIET_LOAD and is_cap_open
        kept = MAX_HEALTH_CHECKS / 2 if calm else 1
        if self.budget.tokens <= kept or not self.endpoints.ring:
            return
        ready = self.endpoints.ready_servers()
        if self._fleet_is_large:  # in turn: to look for the longest unheard would be to look at all
            self._rotation += 1
            self.send(ready[self._rotation % len(ready)])
        else:
            self.send(min(ready, key=self._unheard_order))

    def _check_cut_domains(self) -> None:
        for zone in self.domains.due_health_checks(self.batch.now_us):
            servers = [server for server in self.endpoints.ready_servers() if server.zone == zone]
            if servers:
                self.send(min(servers, key=self._unheard_order))

    def _check_inherited_load(self) -> None:
        """What stood before this balancer did is asked for at once."""
        for server in self.endpoints.index.with_connections():
            if server.ready and server.reported_load < 0 and len(server.connections) >= ENOUGH_CONNECTIONS:
                self.send(server)

    def _check_silent_servers(self) -> None:
        """Nobody says that a server is slow, so each that holds ours is asked, unless all are calm."""
        for server in self.endpoints.index.with_connections():
            stale = self.batch.now_us - server.reported_at_us > FRESH_REPORT_US
            if not server.ready or not stale:
                continue
            if max(self.loads.fleet_load, self.selection.expected_load(server)) > QUIET_LOAD:
                self.send(server)

    def _unheard_order(self, server: Server) -> tuple[bool, int, int]:
        """In one order of servers, balancers that started together would ask them in step."""
        salted = server.hash * (self.salt | 1) & MASK
        return server.health_check_sent_us >= 0, server.reported_at_us, salted
