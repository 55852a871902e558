"""Health checks: which servers are checked, within token budgets, and the evaluation of the results."""

from __future__ import annotations

from dataclasses import dataclass, field

from .endpoint_table import EndpointTable
from .event_batch import SECOND_US, EventBatch
from .failure_domains import FailureDomains
from .hash_ring import HASH_MASK
from .interface import AttemptOutcome, HealthCheckResult, SendHealthCheck, Settings
from .load_estimation import (
    FRESH_REPORT_US,
    LIGHT_LOAD,
    MISSED_OBJECTIVE_MIN_LOAD,
    LoadEstimator,
    has_representative_load,
)
from .outlier_ejection import OutlierEjection
from .server_selection import ServerSelection
from .state import RoutedRequest, Server
from .token_budget import HEALTH_CONNECTION_LIFETIME_US, MAX_HEALTH_CHECK_TOKENS, TokenBudget

HEALTH_CHECK_RESEND_US = SECOND_US  # a check that has no result after this time may be sent again


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
    _rotation_index: int = field(init=False, default=0)

    def __post_init__(self) -> None:
        """Starts the rotation at a different server at each balancer."""
        self._rotation_index = self.salt

    def refill_budgets(self) -> None:
        """Adds the tokens that a client's first attempt earns, for checks and for their connections."""
        self.budget.refill()
        self.connection_budget.refill()

    def send(self, server: Server) -> bool:
        """Sends a health check to the server if possible. Returns whether a check is in flight.

        No check is sent if one is already in flight, if checks report no load, or if the budget is spent.
        """
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
        """Spends a token for the check and, in a large fleet, one for the connection if it has to be opened.

        Returns False, and spends nothing, if one of the budgets has no token left.
        """
        is_connected = self.batch.now_us - server.last_checked_at_us < HEALTH_CONNECTION_LIFETIME_US
        needs_connection = self.endpoints.index.is_large and not is_connected
        if needs_connection and self.connection_budget.tokens < 1:
            return False
        return self.budget.try_spend(1) and (not needs_connection or self.connection_budget.try_spend(1))

    def check_candidates(self, request: RoutedRequest) -> set[str]:
        """Checks the candidates of a request's first attempt that have no fresh load report.

        Returns the ids of the servers whose results the request should await.
        """
        if len(request.candidates) < 2 or request.attempts:
            return set()
        fresh_us = self.batch.now_us - FRESH_REPORT_US
        stale = [server for server in request.candidates if server.reported_at_us < fresh_us]
        return {server.server_id for server in stale if self.send(server)}

    def record_broken_connection(self, server: Server) -> None:
        """Records that a connection broke, and checks its server.

        With many balancers, each holds only a few connections of a server that has died. If each balancer
        waited for several failures of its own, all of them would send returning clients to that server, and
        admit the rest to the others as if no server were lost.
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
            # A full server does not answer checks in time. It is overloaded rather than unreachable.
            # Ejections would keep it unused for half a minute (1 + 2 + 4 + 8 + 16 s), and the mean load would
            # be computed from the few servers that are left.
            self.ejection.record_load(server, max(MISSED_OBJECTIVE_MIN_LOAD, server.reported_load))
        elif event.outcome == AttemptOutcome.NO_CONNECTION or (
            has_timed_out and not self.loads.was_heard_recently(server)
        ):
            self.ejection.record_unreachable(server)  # shows nothing of the server's load

    def run_round(self, is_uncapped: bool) -> None:
        """Sends the round's periodic checks."""
        self._check_oldest_report(is_uncapped)
        self._check_partitioned_domains()
        self._check_inherited_load()
        if not self.settings.has_message_delay_reports:
            self._check_silent_servers()

    def _check_oldest_report(self, is_uncapped: bool) -> None:
        """Checks the server with the oldest report, if the budget allows.

        Other checks favor servers in use or with faults; this one gives an unbiased sample. The oldest report
        comes first, since random draws left a server that had become slow unchecked for six seconds.

        While the fleet is lightly loaded, half of the tokens are reserved for the checks that requests await.
        In a busy fleet nothing is reserved: if few requests arrived, the reserved tokens would remain unused
        and overload would go unnoticed.
        """
        is_lightly_loaded = self.loads.fleet_load < LIGHT_LOAD and is_uncapped
        reserved = MAX_HEALTH_CHECK_TOKENS / 2 if is_lightly_loaded else 1
        if self.budget.tokens <= reserved or not self.endpoints.ring:
            return
        ready = self.endpoints.ready_servers()
        if self.endpoints.index.is_large:  # checks servers in turn, since a search would visit every server
            self._rotation_index += 1
            self.send(ready[self._rotation_index % len(ready)])
        else:
            self.send(min(ready, key=self._check_order))

    def _check_partitioned_domains(self) -> None:
        """Checks one server of each partitioned domain whose next check is due."""
        for zone in self.domains.due_health_checks(self.batch.now_us):
            servers = [server for server in self.endpoints.ready_servers() if server.zone == zone]
            if servers:
                self.send(min(servers, key=self._check_order))

    def _check_inherited_load(self) -> None:
        """Checks servers that have reported no load yet but hold several connections of this balancer.

        Such connections were opened before this balancer process started.
        """
        for server in self.endpoints.index.with_connections():
            if server.is_ready and server.reported_load < 0 and has_representative_load(server):
                self.send(server)

    def _check_silent_servers(self) -> None:
        """Checks busy servers that hold connections and have no fresh report.

        This is needed only where slow messages are not reported, which would show an overload otherwise. In a
        lightly loaded fleet the checks are not worth their cost.
        """
        for server in self.endpoints.index.with_connections():
            is_stale = self.batch.now_us - server.reported_at_us > FRESH_REPORT_US
            if not server.is_ready or not is_stale:
                continue
            if max(self.loads.fleet_load, self.selection.expected_load(server)) > LIGHT_LOAD:
                self.send(server)

    def _check_order(self, server: Server) -> tuple[bool, int, int]:
        """Returns the sort key: no check in flight first, then the oldest report, then a salted hash.

        Without the salt, balancers that started together would check the same servers at the same times.
        """
        salted_hash = server.hash * (self.salt | 1) & HASH_MASK
        return server.health_check_sent_at_us >= 0, server.reported_at_us, salted_hash
