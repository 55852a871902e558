"""The actor of one client connection: handles the request, the attempts at servers, and then the relay."""

from __future__ import annotations

import asyncio
import socket

from glenrock.routing.interface import AttemptOutcome

from ..log import get_logger
from . import protocol
from .attempt_outcomes import AttemptEnd, AttemptProgress, AttemptResult
from .connection_attempt import ConnectionAttempt
from .connection_messages import AttemptCompleted, DrainConnection, FinalAnswer, MigrateClient, RelayEvent
from .established_relay import ConnectionOwner, EstablishedRelay
from .metrics import ConnectionOutcome, FinalAnswerReason
from .socket_io import close_socket

RESUME_TIMEOUT_MS = 38_000.0  # by the protocol, a connection that is not resumed within 40 s is lost
RESUME_UNLISTED_TIMEOUT_MS = 2000.0  # for a server that was never listed: the protocol requires an answer within 3 s
RESUME_RETRY_MS = 250.0
DECISION_MARGIN_MS = 20.0  # after the deadline, a request that routing has not decided fails; the protocol allows 58 ms

logger = get_logger(__name__)


class ClientConnection(EstablishedRelay):
    """The actor of one client connection, from its request to its end. No other actor closes its sockets.

    Attributes:
        may_have_run: whether a server may have run the request.
    """

    def __init__(self, owner: ConnectionOwner, sock: socket.socket, request_line: protocol.RequestLine) -> None:
        super().__init__(owner, sock, request_line)
        self._routing = owner.routing
        self.may_have_run = False
        self._may_attempt = True
        self._decision: FinalAnswer | None = None  # of routing; until it is read it waits in the mailbox

    # -- calls by the routing actor (RoutedConnection) -------------------------------------------------

    def start_attempt(self, server: str, timeout_ms: float) -> None:
        """Sends the request to a server, unless the client has left or been answered in the meantime."""
        if not self._may_attempt:
            return
        self.attempt_number += 1
        self._send_request(server, timeout_ms, ignores_endpoint_state=False)

    def cancel_attempt(self, attempt: int) -> None:
        """Cancels the attempt with that number, unless it has completed."""
        if self.attempt and attempt == self.attempt_number and not self.established.is_set():
            self.attempt.cancel()

    def reject(self, retry_after_ms: float, reason: FinalAnswerReason = FinalAnswerReason.ADMISSION) -> None:
        """Rejects the request; the client may retry after `retry_after_ms`."""
        self._decide(FinalAnswer(protocol.rejection_line(retry_after_ms), reason))

    def fail(self) -> None:
        """Tells the client that its request failed."""
        self._decide(FinalAnswer(protocol.FAILURE_LINE, FinalAnswerReason.FAILED))

    def _decide(self, decision: FinalAnswer) -> None:
        self._decision = decision
        self.mailbox.put_unbounded(decision)

    def migrate(self) -> None:
        """Asks the client to migrate, that is to open a new connection."""
        self.mailbox.try_put(MigrateClient(AttemptOutcome.CANCELLED))

    # -- attempts --------------------------------------------------------------------------------------

    def _send_request(self, server: str, timeout_ms: float, ignores_endpoint_state: bool) -> None:
        if not self._may_attempt:  # the retry timer of a resumed connection may fire after its client has left
            return
        self.server = server
        attempt = ConnectionAttempt(
            self.request_line.raw,
            timeout_ms,
            self.on_attempt_result,
            ignores_endpoint_state,
            is_client_waiting=self.is_client_waiting,
            request_id=self.request_line.request_id,
        )
        self.attempt = attempt
        actor = self._owner.servers.get(server)
        if actor is None or not actor.mailbox.try_put(attempt):
            self.on_attempt_result(attempt, AttemptResult(AttemptEnd.NOT_SENT, AttemptProgress.NOT_CONNECTED))

    def on_attempt_result(self, attempt: ConnectionAttempt, result: AttemptResult) -> None:
        """Posts the result of an attempt to the mailbox."""
        self.may_have_run = self.may_have_run or result.may_have_run
        self.mailbox.put_unbounded(AttemptCompleted(attempt, result))

    def is_client_waiting(self) -> bool:
        """Peeks at the client's socket. Returns whether the client still waits; if not, posts how it ended.

        The client's FIN or reset and the connection to the server may be ready in the same iteration of the event loop.
        If the attempt runs before the upstream pump, the pump has not posted that event yet.
        """
        try:
            data = self.sock.recv(1, socket.MSG_PEEK)
        except (BlockingIOError, InterruptedError):
            return True
        except OSError:
            end = RelayEvent.CLIENT_RST
        else:
            end = RelayEvent.EARLY_BYTES if data else RelayEvent.CLIENT_FIN
        self.mailbox.put_unbounded(end)
        return False

    # -- before the connection is established ----------------------------------------------------------

    async def run(self) -> None:
        """Handles the request, and relays bytes once the connection is established."""
        self.start_upstream_pump()
        resumes_at = self.request_line.resumes_at
        decision_timer = None
        try:
            if resumes_at is None:
                decision_timer = self._request_decision()
            else:
                self._send_request(resumes_at, RESUME_TIMEOUT_MS, ignores_endpoint_state=True)
            if await self._establish(resumes_at):
                if decision_timer:
                    decision_timer.cancel()
                self.start_downstream_pump()
                await self.relay()
        finally:
            if decision_timer:
                decision_timer.cancel()
            await self._close()

    def _request_decision(self) -> asyncio.Handle:
        """Asks routing for a decision. Returns the timer that fails the request if routing makes none.

        Routing has a timer of its own, a few milliseconds before the client's deadline, so this timer expires only if
        routing itself has failed.
        """
        due_ms = self.deadline_ms + DECISION_MARGIN_MS
        timer = self.clock.call_at(due_ms, self.mailbox.put_unbounded, RelayEvent.TIMER_EXPIRED)
        if not self.reports.post_request():
            logger.warning("request rejected: routing mailbox full", request_id=self.request_line.request_id)
            self.reports.is_end_known = True
            self.reject(self._owner.retry_after_ms, FinalAnswerReason.MAILBOX_FULL)
        return timer

    async def run_taken_over(self) -> None:
        """Relays bytes of a connection that was taken over from another process."""
        try:
            await self.relay()
        finally:
            await self._close()

    async def _establish(self, resumes_at: str | None) -> bool:
        """Handles messages until the connection is established, or the client has left or been answered.

        Returns:
            Whether the connection is established.
        """
        while True:
            message = await self.mailbox.get()
            match message:
                case FinalAnswer(line, reason):
                    self.reports.is_end_known = True
                    await self._answer(line, reason)
                    return False
                case DrainConnection(retry_after_ms):
                    await self._drain_waiting_client(retry_after_ms, resumes_at)
                    return False
                case RelayEvent.TIMER_EXPIRED:
                    logger.error("routing made no decision in time", request_id=self.request_line.request_id)
                    self.reports.post_disconnected()
                    await self._answer(protocol.FAILURE_LINE, FinalAnswerReason.NO_DECISION)
                    return False
                case RelayEvent():
                    await self._handle_client_end(message, resumes_at)
                    return False
                case AttemptCompleted(attempt, result) if attempt is self.attempt:
                    if result.end is AttemptEnd.ESTABLISHED:
                        self._record_established(attempt, resumes_at)
                        return True
                    if resumes_at is None:
                        self._report_attempt_end(result)
                    elif not await self._retry_resume(resumes_at):
                        return False

    async def _drain_waiting_client(self, retry_after_ms: float, resumes_at: str | None) -> None:
        """Answers a client whose request still waits, because the balancer drains or stops."""
        answer = self._decision or self._drain_answer(retry_after_ms, resumes_at)
        self.reports.is_end_known = self.reports.is_end_known or self._decision is not None
        self.reports.post_disconnected()
        await self._answer(answer.line, answer.reason)

    def _drain_answer(self, retry_after_ms: float, resumes_at: str | None) -> FinalAnswer:
        """Returns the answer of a drain to a request that routing has not decided.

        A client retries after a rejection, so it gets one only if the request may safely run again; otherwise the
        request fails. A request without an attempt may be unknown to routing, since its event still waits there.
        """
        has_no_attempt = resumes_at is None and self.attempt_number < 0
        may_retry = has_no_attempt or self._routing.may_reject(self.request_line.request_id)
        line = protocol.rejection_line(retry_after_ms) if may_retry else protocol.FAILURE_LINE
        return FinalAnswer(line, FinalAnswerReason.DRAINING)

    async def _handle_client_end(self, end: RelayEvent, resumes_at: str | None) -> None:
        self._may_attempt = False
        if resumes_at is None:
            self.reports.post_disconnected()
        if end is RelayEvent.EARLY_BYTES:
            logger.info("client sent bytes before its answer", request_id=self.request_line.request_id)
            await self._answer(protocol.FAILURE_LINE, FinalAnswerReason.MALFORMED)
        self.reports.count(ConnectionOutcome.LEFT)

    async def _retry_resume(self, resumes_at: str) -> bool:
        """Schedules another attempt to resume the connection. Fails the request and returns False after the timeout."""
        servers = self._owner.servers
        may_be_listed = servers.was_ever_listed(resumes_at) or not servers.has_list
        timeout_ms = RESUME_TIMEOUT_MS if may_be_listed else RESUME_UNLISTED_TIMEOUT_MS
        if self.clock.now_ms() > self.arrived_ms + timeout_ms:
            logger.warning(
                "connection could not be resumed", request_id=self.request_line.request_id, server=resumes_at
            )
            await self._answer(protocol.FAILURE_LINE, FinalAnswerReason.FAILED)
            return False
        at_ms = self.clock.now_ms() + RESUME_RETRY_MS
        self.clock.call_at(at_ms, self._send_request, resumes_at, RESUME_TIMEOUT_MS, True)
        return True

    def _record_established(self, attempt: ConnectionAttempt, resumes_at: str | None) -> None:
        self.reports.count(ConnectionOutcome.FULFILLED)
        if resumes_at is not None:
            self.attempt_number = 0
            self.reports.post_open(resumes_at)
            return
        self.reports.post_established(self.attempt_number, self.server, attempt.latency_ms)

    def _report_attempt_end(self, result: AttemptResult) -> None:
        latency_ms = self.attempt.latency_ms if self.attempt else 0.0
        self.reports.post_attempt_end(self.attempt_number, self.server, result.outcome, latency_ms, result.report)

    async def _answer(self, line: bytes, reason: FinalAnswerReason) -> None:
        """Sends the final answer to a client whose connection was not established.

        The attempt in flight is ended first, since the client may retry at once and would then have two attempts.
        """
        self._may_attempt = False
        self._owner.metrics.final_answers[reason] += 1
        await self._cancel_attempt_in_flight()
        await self.finish(line)

    def take_over(self, server: str, sock: socket.socket) -> None:
        """Takes over an established relay from the predecessor process, and starts its pumps."""
        self.server = server
        self.attempt_number = 0
        self.reports.is_counted = True
        self.may_have_run = True
        self.attempt = ConnectionAttempt(
            self.request_line.raw, 0, self.on_attempt_result, True, sock, progress=AttemptProgress.ESTABLISHED
        )
        self.established.set()
        self.reports.post_open(server)
        self.start_pumps()

    # -- the end ---------------------------------------------------------------------------------------

    async def _close(self) -> None:
        self._may_attempt = False
        await self.stop_pumps()
        await self._cancel_attempt_in_flight()
        self.close_server_side()
        close_socket(self.sock)

    async def _cancel_attempt_in_flight(self) -> None:
        """Cancels an attempt that has not established the connection, and waits until its task has ended."""
        attempt = self.attempt
        if attempt and not self.established.is_set():
            attempt.cancel()
            if attempt.task and not attempt.task.done():
                await asyncio.wait([attempt.task])
            self.close_server_side()
