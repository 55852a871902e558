"""A request from its arrival to the end of its connection: asks the policies, carries out what they say."""

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
from .migration import Migration
from .outlier_ejection import OutlierEjection
from .retries import RetryPolicy
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


@dataclass(eq=False)
class RequestLifecycle:
    """All requests under way, by their ids, and those of them that wait for a server."""

    batch: EventBatch
    settings: Settings
    sessions: ClientSessions
    waiting_queue: WaitingQueue
    concurrency: ConcurrencyLimit
    affinity: GroupAffinity
    slow_start: SlowStart
    ejection: OutlierEjection
    retries: RetryPolicy
    admission: AdmissionController
    selection: ServerSelection
    health_checks: HealthChecker
    migration: Migration
    requests: dict[str, RoutedRequest] = field(init=False, default_factory=dict)
    _checking: dict[str, RoutedRequest] = field(init=False, default_factory=dict)
    _waiting: dict[str, None] = field(init=False, default_factory=dict)

    def start(self, request: RoutedRequest) -> None:
        """A request that has just arrived: admitted and placed, or rejected."""
        self.requests[request.event.id] = request
        if not self.admission.admit(request):
            self._reject(request)
            return
        self.batch.set_timer(
            request.event.deadline_us - self.retries.answer_margin_us, RequestTimer(request.event.id)
        )
        self._place(request)

    def adopt(self, request: RoutedRequest, server: Server) -> None:
        """A connection that stood before this balancer did."""
        request.attempts.append(Attempt(server, self.batch.now_us))
        request.server, request.answered = server, True
        self.requests[request.event.id] = request
        self._record_connection(request, server)
        self.sessions.add_connection(request)

    # -- to a server ---------------------------------------------------------------------------------

    def _place(self, request: RoutedRequest) -> None:
        may_go = self.concurrency.may_start() and self.retries.may_attempt(request)
        request.candidates = self.selection.candidates(request) if may_go else []
        if not request.candidates:
            self._wait_or_end(request)
        elif not self._wait_for_checks(request):
            self._send_to_best(request)

    def _wait_for_checks(self, request: RoutedRequest) -> bool:
        """Whether the request waits for fresh loads of its candidates."""
        request.pending_checks = self.health_checks.check_candidates(request)
        if not request.pending_checks:
            return False
        self._checking[request.event.id] = request
        self.batch.set_timer(self.batch.now_us + HEALTH_CHECK_WAIT_US, RequestTimer(request.event.id))
        return True

    def finish_check(self, server_id: str) -> None:
        """A health check has its result: who waited for nothing else goes on."""
        waiting = [r for r in self._checking.values() if server_id in r.pending_checks]
        for request in waiting:
            request.pending_checks.discard(server_id)
            if not request.pending_checks:
                self._send_to_best(request)

    def _send_to_best(self, request: RoutedRequest) -> None:
        request.pending_checks.clear()
        self._checking.pop(request.event.id, None)
        server = self.selection.best(request)
        if server is None:
            self._wait_or_end(request)
        else:
            self._send(request, server)

    def _send(self, request: RoutedRequest, server: Server) -> None:
        timeout_us = self.retries.attempt_timeout_us(request)
        request.attempts.append(Attempt(server, self.batch.now_us))
        self.slow_start.record_sent(server, request.load)
        self.health_checks.loads.record_sent(server, request.load)
        self.admission.record_attempt()
        self.concurrency.record_sent()
        self.batch.emit(StartAttempt(request.event.id, server.id, timeout_us))

    def _wait_or_end(self, request: RoutedRequest) -> None:
        if request.attempt_is_in_flight:
            return
        if self.retries.may_wait(request):
            self._waiting[request.event.id] = None
        else:
            self._end(request)

    def retry_waiting(self) -> None:
        """Once a round: requests that wait for a server are placed anew."""
        for request_id in list(self._waiting):
            if self._waiting.pop(request_id, 0) is None:  # one that ended may have let it in
                self._place(self.requests[request_id])

    def _place_next(self) -> None:
        """A set-up has ended: who waits for its place goes at once, and not with the next round."""
        if self._waiting and self.concurrency.is_limited and self.concurrency.may_start():
            first = next(iter(self._waiting))
            del self._waiting[first]
            self._place(self.requests[first])

    # -- what becomes of attempts --------------------------------------------------------------------

    def established(self, event: ConnectionEstablished) -> None:
        """An attempt is up."""
        request = self.requests.get(event.id)
        if request is None or request.answered or not 0 <= event.attempt < len(request.attempts):
            return
        server = request.attempts[event.attempt].server
        request.server, request.answered = server, True
        self._record_connection(request, server)
        server.consecutive_failures = 0
        self.ejection.record_reachable(server)
        self.concurrency.record_established(server.id, event.latency_us)
        self._place_next()

    def _record_connection(self, request: RoutedRequest, server: Server) -> None:
        server.connections[request.event.id] = request
        self.health_checks.endpoints.index.add_occupied(server)
        server.last_heard_us = self.batch.now_us
        self.affinity.remember(request.event.group, server)

    def attempt_ended(self, event: AttemptEnded, is_draining: bool) -> None:
        """An attempt, or the connection that it became, is over."""
        request = self.requests.get(event.id)
        if request is None or not 0 <= event.attempt < len(request.attempts):
            return
        attempt = request.attempts[event.attempt]
        attempt.outcome = event.outcome
        server = attempt.server
        self.ejection.record_report(server, event.report)
        if not request.server:
            self.concurrency.record_ended(server.id, event.outcome)
            self._place_next()
        # A client that is sent away stands at another balancer, and would count at both for seconds.
        keep_session = not is_draining
        if event.outcome in SERVER_FAULT_OUTCOMES:
            self.ejection.cut_weight(server)
            keep_session = self.admission.record_fault(request, attempt)
        if event.outcome == AttemptOutcome.NO_CONNECTION:
            self.ejection.record_unreachable(server)
        elif event.outcome == AttemptOutcome.BROKEN and request.server:
            self.health_checks.record_broken(server)
        if event.is_final or request.server:
            if not event.is_final and not request.event.is_midstream:
                self.batch.emit(Fail(event.id))
            self._forget(request, keep_session)
        elif not request.answered:
            self._place(request)

    # -- its end -------------------------------------------------------------------------------------

    def client_disconnected(self, request_id: str) -> None:
        """The client closed or cancelled."""
        if request := self.requests.get(request_id):
            self._forget(request, keep_session=False)

    def timer_fired(self, request_id: str) -> None:
        """The request's time is nearly up, or it has waited for health checks long enough."""
        request = self.requests.get(request_id)
        if request is None or request.answered:
            return
        if self.retries.is_overdue(request):
            self._end(request)  # a request left unanswered is lost
        elif request.pending_checks:
            self._send_to_best(request)

    def _reject(self, request: RoutedRequest) -> None:
        self.batch.emit(Reject(request.event.id, self.retries.retry_after_us()))
        self.requests.pop(request.event.id, None)

    def _end(self, request: RoutedRequest) -> None:
        """The final answer of a request that was admitted and could not be served."""
        if request.answered:
            return
        if self.settings.may_cancel:
            for number, attempt in enumerate(request.attempts):
                if attempt.outcome is None:
                    self.batch.emit(CancelAttempt(request.event.id, number))
        if self.retries.may_reject(request):
            self._reject(request)
        else:
            self.batch.emit(Fail(request.event.id))
        self.waiting_queue.requeue(request)
        self._forget(request, keep_session=False)

    def _forget(self, request: RoutedRequest, keep_session: bool) -> None:
        request_id = request.event.id
        if not request.server and request.attempt_is_in_flight:
            self.concurrency.record_abandoned()
        request.answered = True
        self.requests.pop(request_id, None)
        self._waiting.pop(request_id, None)
        self._checking.pop(request_id, None)
        if request.server:
            request.server.connections.pop(request_id, None)
        migrated_away = request_id in self.migration.without_session
        self.sessions.remove_connection(request, keep_session and not migrated_away)
        self.migration.without_session.discard(request_id)
