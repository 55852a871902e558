"""The lifecycle of a request, from its arrival to the end of its connection.

Consults the policies for each decision, and emits the resulting actions.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from .admission import AdmissionController
from .client_sessions import ClientSessions
from .connection_concurrency import ConcurrencyLimit
from .event_batch import EventBatch, RequestTimer
from .group_affinity import GroupAffinity
from .health_checks import HealthChecker
from .interface import (
    AttemptEnded,
    AttemptOutcome,
    CancelAttempt,
    ConnectionEstablished,
    Fail,
    Reject,
    Settings,
    StartAttempt,
)
from .load_estimation import LoadEstimator
from .migration import Migration
from .outlier_ejection import OutlierEjection
from .retries import RetryPolicy
from .server_index import ServerIndex
from .server_selection import HEALTH_CHECK_WAIT_US, ServerSelection
from .slow_start import SlowStart
from .state import Attempt, RoutedRequest, Server
from .waiting_queue import WaitingQueue

SERVER_FAULT_OUTCOMES = frozenset(
    (
        AttemptOutcome.FULL,
        AttemptOutcome.NO_CONNECTION,
        AttemptOutcome.TIMEOUT,
        AttemptOutcome.ERROR,
        AttemptOutcome.BROKEN,
    )
)
"""The outcomes that count as faults of the server and cut its weight."""


@dataclass(eq=False)
class RequestLifecycle:
    """All requests in progress, and the connections that they established.

    Attributes:
        requests: by request id, until the request is rejected or fails, or its connection ends.
    """

    batch: EventBatch
    settings: Settings
    sessions: ClientSessions
    waiting_queue: WaitingQueue
    concurrency: ConcurrencyLimit
    affinity: GroupAffinity
    index: ServerIndex
    loads: LoadEstimator
    slow_start: SlowStart
    ejection: OutlierEjection
    retries: RetryPolicy
    admission: AdmissionController
    selection: ServerSelection
    health_checks: HealthChecker
    migration: Migration
    requests: dict[str, RoutedRequest] = field(init=False, default_factory=dict)
    _awaiting_checks: dict[str, RoutedRequest] = field(init=False, default_factory=dict)
    _awaiting_server: dict[str, None] = field(init=False, default_factory=dict)

    def on_request(self, request: RoutedRequest) -> None:
        """Handles a request that has just arrived: admits it and selects a server, or rejects it."""
        self.requests[request.event.request_id] = request
        if not self.admission.admit(request):
            self._reject(request)
            return
        self.batch.set_timer(self.retries.answer_due_us(request), RequestTimer(request.event.request_id))
        self._route(request)

    def add_open_connection(self, request: RoutedRequest, server: Server) -> None:
        """Records a connection that was open at a server before this balancer started."""
        request.attempts.append(Attempt(server, self.batch.now_us))
        request.server, request.is_answered = server, True
        self.requests[request.event.request_id] = request
        self._record_connection(request, server)
        self.sessions.add_connection(request)

    # -- attempts ------------------------------------------------------------------------------------

    def _route(self, request: RoutedRequest) -> None:
        """Sends the request to the best candidate, after health checks if needed.

        Without a candidate, the request waits for a server, or is rejected or failed.
        """
        may_attempt = self.concurrency.may_start() and self.retries.may_attempt(request)
        request.candidates = self.selection.draw_candidates(request) if may_attempt else []
        if not request.candidates:
            self._wait_or_reject(request)
        elif not self._await_checks(request):
            self._send_to_best(request)

    def _await_checks(self, request: RoutedRequest) -> bool:
        """Sends health checks to the candidates as needed. Returns whether the request waits for results."""
        request.pending_checks = self.health_checks.check_candidates(request)
        if not request.pending_checks:
            return False
        self._awaiting_checks[request.event.request_id] = request
        self.batch.set_timer(self.batch.now_us + HEALTH_CHECK_WAIT_US, RequestTimer(request.event.request_id))
        return True

    def on_health_check_ended(self, server_id: str) -> None:
        """Handles the end of a health check: sends the requests that do not wait for another check."""
        requests = self._awaiting_checks.values()
        waiting = [request for request in requests if server_id in request.pending_checks]
        for request in waiting:
            request.pending_checks.discard(server_id)
            if not request.pending_checks:
                self._send_to_best(request)

    def _send_to_best(self, request: RoutedRequest) -> None:
        request.pending_checks.clear()
        self._awaiting_checks.pop(request.event.request_id, None)
        server = self.selection.best_candidate(request)
        if server is None:
            self._wait_or_reject(request)
        else:
            self._send(request, server)

    def _send(self, request: RoutedRequest, server: Server) -> None:
        timeout_us = self.retries.attempt_timeout_us(request)
        request.attempts.append(Attempt(server, self.batch.now_us))
        self.slow_start.record_sent(server, request.load)
        self.loads.record_sent(server, request.load)
        self.admission.record_attempt()
        self.concurrency.record_sent()
        self.batch.emit(StartAttempt(request.event.request_id, server.server_id, timeout_us))

    def _wait_or_reject(self, request: RoutedRequest) -> None:
        if request.attempt_is_in_flight:
            return
        if self.retries.may_wait(request):
            self._awaiting_server[request.event.request_id] = None
        else:
            self._reject_or_fail(request)

    def retry_waiting(self) -> None:
        """Routes the requests that wait for a server; called once per round."""
        for request_id in list(self._awaiting_server):
            # Routing one request may already have routed or removed another one of the list.
            if request_id in self._awaiting_server:
                del self._awaiting_server[request_id]
                self._route(self.requests[request_id])

    def _route_next_waiting(self) -> None:
        """Routes the first waiting request if a concurrency limit is in force and allows another attempt."""
        if self._awaiting_server and self.concurrency.is_limited and self.concurrency.may_start():
            first = next(iter(self._awaiting_server))
            del self._awaiting_server[first]
            self._route(self.requests[first])

    # -- outcomes of attempts ------------------------------------------------------------------------

    def on_established(self, event: ConnectionEstablished) -> None:
        """Handles an attempt that established a connection."""
        request = self.requests.get(event.request_id)
        if request is None or request.is_answered or not 0 <= event.attempt_number < len(request.attempts):
            return
        server = request.attempts[event.attempt_number].server
        request.server, request.is_answered = server, True
        self._record_connection(request, server)
        server.consecutive_failures = 0
        self.ejection.record_reachable(server)
        self.concurrency.record_established(server.server_id, event.latency_us)
        self._route_next_waiting()

    def _record_connection(self, request: RoutedRequest, server: Server) -> None:
        server.connections[request.event.request_id] = request
        self.index.add_occupied(server)
        server.last_heard_at_us = self.batch.now_us
        self.affinity.record_connection(request.event.group, server)

    def on_attempt_ended(self, event: AttemptEnded, is_balancer_draining: bool) -> None:
        """Handles the end of an attempt, or of the connection that it established.

        Args:
            event: the attempt and its outcome.
            is_balancer_draining: an operator drains this balancer, so its clients migrate to the others.
        """
        request = self.requests.get(event.request_id)
        if request is None or not 0 <= event.attempt_number < len(request.attempts):
            return
        attempt = request.attempts[event.attempt_number]
        attempt.outcome = event.outcome
        server = attempt.server
        self.ejection.record_report(server, event.report)
        if not request.server:
            self.concurrency.record_failed(server.server_id, event.outcome)
            self._route_next_waiting()
        keep_session = self._record_outcome(request, attempt, is_balancer_draining)
        if event.is_final or request.server:
            # The connection broke, and the event is not final: its client still needs an answer.
            if not event.is_final and not request.event.is_midstream:
                self.batch.emit(Fail(event.request_id))
            self._remove(request, keep_session)
        elif not request.is_answered:
            self._route(request)

    def _record_outcome(self, request: RoutedRequest, attempt: Attempt, is_balancer_draining: bool) -> bool:
        """Records what the outcome shows about the server. Returns whether the client keeps its session."""
        # While this balancer drains, its clients migrate to other balancers. A session that was kept here
        # would be counted at both balancers for some seconds.
        keep_session = not is_balancer_draining
        if attempt.outcome in SERVER_FAULT_OUTCOMES:
            self.ejection.cut_weight(attempt.server)
            keep_session = self.admission.record_fault(request, attempt)
        if attempt.outcome == AttemptOutcome.NO_CONNECTION:
            self.ejection.record_unreachable(attempt.server)
        elif attempt.outcome == AttemptOutcome.BROKEN and request.server:
            self.health_checks.record_broken_connection(attempt.server)
        return keep_session

    # -- end of a request ----------------------------------------------------------------------------

    def on_client_disconnected(self, request_id: str) -> None:
        """Removes the request of a client that closed its connection or cancelled the request."""
        if request := self.requests.get(request_id):
            self._remove(request, keep_session=False)

    def on_timer(self, request_id: str) -> None:
        """Answers a request whose deadline is near, or sends one that has waited long enough for checks.

        A request that is not answered by its deadline is lost.
        """
        request = self.requests.get(request_id)
        if request is None or request.is_answered:
            return
        if self.retries.is_overdue(request):
            self._reject_or_fail(request)
        elif request.pending_checks:
            self._send_to_best(request)

    def _reject(self, request: RoutedRequest) -> None:
        self.batch.emit(Reject(request.event.request_id, self.retries.retry_after_us()))
        self.requests.pop(request.event.request_id, None)

    def _reject_or_fail(self, request: RoutedRequest) -> None:
        """Rejects or fails a request that was admitted but could not be served."""
        if request.is_answered:
            return
        if self.settings.may_cancel:
            for number, attempt in enumerate(request.attempts):
                if attempt.outcome is None:
                    self.batch.emit(CancelAttempt(request.event.request_id, number))
        if self.retries.may_reject(request):
            self._reject(request)
        else:
            self.batch.emit(Fail(request.event.request_id))
        self.waiting_queue.requeue(request)
        self._remove(request, keep_session=False)

    def _remove(self, request: RoutedRequest, keep_session: bool) -> None:
        request_id = request.event.request_id
        if not request.server and request.attempt_is_in_flight:
            self.concurrency.record_cancelled()
        request.is_answered = True
        self.requests.pop(request_id, None)
        self._awaiting_server.pop(request_id, None)
        self._awaiting_checks.pop(request_id, None)
        if request.server:
            request.server.connections.pop(request_id, None)
        is_migrated_without_session = request_id in self.migration.requests_losing_session
        self.sessions.remove_connection(request, keep_session and not is_migrated_without_session)
        self.migration.requests_losing_session.discard(request_id)
