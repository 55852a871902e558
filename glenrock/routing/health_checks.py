"""Which servers get a health check, within a budget, and what the results mean."""

from __future__ import annotations

from dataclasses import dataclass, field

from .endpoint_table import EndpointTable
from .event_batch import SECOND_US, EventBatch
from .failure_domains import FailureDomains
from .hash_ring import MASK
from .interface import AttemptOutcome, HealthCheckResult, SendHealthCheck, Settings
from .load_estimation import (
    FRESH_REPORT_US,
    MIN_LATE_LOAD,
    QUIET_LOAD,
    LoadEstimator,
    has_representative_load,
)
from .outlier_ejection import OutlierEjection
from .server_selection import ServerSelection
from .state import RoutedRequest, Server
from .token_budget import HEALTH_CONNECTION_LIFETIME_US, MAX_HEALTH_CHECK_TOKENS, TokenBudget

HEALTH_CHECK_RESEND_US = SECOND_US  # a check without a result may be repeated after this time


@dataclass(eq=False)
class HealthChecker:
    """Sends health checks within the budgets, and evaluates their results."""

    batch: EventBatch
    settings: Settings
    endpoints: EndpointTable
    loads: LoadEstimator
    domains: FailureDomains
    ejection: OutlierEjection
    selection: ServerSelection
    salt: int
    budget: TokenBudget
    connection_budget: TokenBudget
    _rotation: int = field(init=False, default=0)

    def __post_init__(self) -> None:
        """Starts the rotation at a server that differs among balancers."""
        self._rotation = self.salt

    def refill_budgets(self) -> None:
        """Adds the tokens that a client's first attempt earns, for checks and for their connections."""
        self.budget.refill()
        self.connection_budget.refill()

    def send(self, server: Server) -> bool:
        """Sends a health check to the server. Returns whether a check is in flight."""
        now_us = self.batch.now_us
        if (
            server.health_check_sent_at_us >= 0
            and now_us - server.health_check_sent_at_us < HEALTH_CHECK_RESEND_US
        ):
            return True
        if not self.loads.has_reports or not self._try_spend(server):
            return False
        server.health_check_sent_at_us = server.last_checked_at_us = now_us
        self.batch.emit(SendHealthCheck(server.server_id))
        return True

    def _try_spend(self, server: Server) -> bool:
        """Spends a token for the check, and in a large fleet another for a new connection."""
        is_connected = self.batch.now_us - server.last_checked_at_us < HEALTH_CONNECTION_LIFETIME_US
        needs_connection = self.endpoints.index.is_large and not is_connected
        if needs_connection and self.connection_budget.tokens < 1:
            return False
        return self.budget.try_spend(1) and (not needs_connection or self.connection_budget.try_spend(1))

    def check_candidates(self, request: RoutedRequest) -> set[str]:
        """Checks the candidates of a first attempt that have no fresh report.

        Returns the ids of the servers whose results the request should await.
        """
        if len(request.candidates) < 2 or request.attempts:
            return set()
        fresh_us = self.batch.now_us - FRESH_REPORT_US
        stale = [server for server in request.candidates if server.reported_at_us < fresh_us]
        return {server.server_id for server in stale if self.send(server)}

    def record_broken(self, server: Server) -> None:
        """Records that a connection broke, and checks its server.

        Each of many balancers holds few connections of a server that died. If each waited for several
        failures of its own, all of them would send returning clients there.
        """
        if not server.consecutive_failures:
            server.consecutive_failures = 1
            self.endpoints.index.add_suspect(server)
            self.send(server)

    def record_result(self, server: Server, event: HealthCheckResult) -> None:
        """Evaluates the result of a health check."""
        server.health_check_sent_at_us = -1
        has_timed_out = event.outcome == AttemptOutcome.TIMEOUT
        if event.outcome == AttemptOutcome.SERVED:
            server.clear_failures()
            self.ejection.record_reachable(server)
            self.ejection.record_report(server, event.report)
        elif has_timed_out and self.loads.was_slow_recently(server):
            # A full server answers no check in time. It is overloaded, not unreachable.
            self.ejection.record_load(server, max(MIN_LATE_LOAD, server.reported_load))
        elif event.outcome == AttemptOutcome.NO_CONNECTION or (
            has_timed_out and not self.loads.was_heard_recently(server)
        ):
            self.ejection.record_unreachable(server)

    def run_round(self, is_cap_open: bool) -> None:
        """Sends the round's periodic checks."""
        self._check_longest_unheard(is_cap_open)
        self._check_partitioned_domains()
        self._check_inherited_load()
        if not self.settings.has_message_delay_reports:
            self._check_silent_servers()

    def _check_longest_unheard(self, is_cap_open: bool) -> None:
        """Checks the server with the oldest report, if the budget allows.

        Half of the tokens are reserved for requests while the fleet is lightly loaded. In a busy fleet all of
        them are used: with few requests the reserved ones would be left, and overload would go unnoticed.
        """
        is_calm = self.loads.fleet_load < QUIET_LOAD and is_cap_open
        reserved = MAX_HEALTH_CHECK_TOKENS / 2 if is_calm else 1
        if self.budget.tokens <= reserved or not self.endpoints.ring:
            return
        ready = self.endpoints.ready_servers()
        if self.endpoints.index.is_large:  # a rotation, since a search would visit every server
            self._rotation += 1
            self.send(ready[self._rotation % len(ready)])
        else:
            self.send(min(ready, key=self._unheard_order))

    def _check_partitioned_domains(self) -> None:
        """Checks one server of each partitioned domain whose next check is due."""
        for zone in self.domains.due_health_checks(self.batch.now_us):
            servers = [server for server in self.endpoints.ready_servers() if server.zone == zone]
            if servers:
                self.send(min(servers, key=self._unheard_order))

    def _check_inherited_load(self) -> None:
        """Checks servers without a report that hold connections from before this balancer started."""
        for server in self.endpoints.index.with_connections():
            if server.is_ready and server.reported_load < 0 and has_representative_load(server):
                self.send(server)

    def _check_silent_servers(self) -> None:
        """Checks busy servers with connections and no fresh report, where slow messages are not reported."""
        for server in self.endpoints.index.with_connections():
            is_stale = self.batch.now_us - server.reported_at_us > FRESH_REPORT_US
            if not server.is_ready or not is_stale:
                continue
            if max(self.loads.fleet_load, self.selection.expected_load(server)) > QUIET_LOAD:
                self.send(server)

    def _unheard_order(self, server: Server) -> tuple[bool, int, int]:
        """Returns the sort key: no check in flight first, then the oldest report, then a salted hash.

        Without the salt, balancers that started together would check the same servers at the same times.
        """
        salted_hash = server.hash * (self.salt | 1) & MASK
        return server.health_check_sent_at_us >= 0, server.reported_at_us, salted_hash
