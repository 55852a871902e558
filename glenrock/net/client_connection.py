"""A client's connection, from its request line to its end."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Awaitable, Callable
from typing import Protocol

from glenrock.routing.interface import AttemptOutcome

from ..log import get_logger
from . import protocol
from .acceptor import LINGER_TIMEOUT_MS
from .attempt_outcomes import AttemptEnd, AttemptResult, Reach
from .clock import Clock
from .connection_attempt import ConnectionAttempt
from .connection_messages import (
    CLIENT_ENDS,
    SERVER_ENDS,
    AnswerNow,
    AttemptAnswered,
    ConnectionMessage,
    FinalAnswer,
    HandOverRelay,
    MigrateClient,
    RelayEnd,
)
from .connection_reports import ConnectionReports
from .metrics import ConnectionMetrics, ConnectionOutcome, RejectReason
from .protocol import ServerWord
from .relay_pumps import BUFFER_BYTES, RelayPumps
from .routing_actor import RoutingActor
from .server_connections import ServerRegistry
from .socket_io import close_socket

RESUME_TIMEOUT_MS = 38_000.0  # the protocol gives up a connection that is not resumed after 40 s
RESUME_UNLISTED_TIMEOUT_MS = 2000.0  # at a server that is not listed: the client is owed an answer within 3 s
RESUME_RETRY_MS = 250.0
DECISION_MARGIN_MS = 20.0  # from the deadline to the answer without a decision; the protocol allows 58 ms
MIGRATION_TIMEOUT_MS = LINGER_TIMEOUT_MS / 2  # for the end of a line that is being sent
LAST_WORDS: dict[str, AttemptOutcome] = {
    ServerWord.SERVED: AttemptOutcome.SERVED,
    ServerWord.MIGRATE: AttemptOutcome.CANCELLED,
    ServerWord.FAILED: AttemptOutcome.ERROR,
}
"""The first word of a server's last line, and how routing counts the end of the connection."""

logger = get_logger(__name__)


class ConnectionOwner(Protocol):
    """The table of connections, as one connection uses it.

    Attributes:
        retry_after_ms: the Retry-After of rejections that routing does not decide; 0 if clients take none.
    """

    clock: Clock
    routing: RoutingActor
    servers: ServerRegistry
    metrics: ConnectionMetrics
    retry_after_ms: float

    def record_message_delay(self, connection: ClientConnection, delay_ms: float) -> None:
        """Records how long a server took to answer a message."""
        ...


class ClientConnection(RelayPumps):
    """The actor of one client. It alone closes its sockets.

    Attributes:
        request_line: the client's first line.
        server: the server of the last attempt.
        attempt_number: the number of the last attempt, from 0.
        has_ended: whether the client has had its final answer, or is about to.
        is_offered: whether the relay waits to be offered to the successor.
        last_word: the first word of the server's last line.
        reports: what routing and the metrics are told.
    """

    def __init__(self, owner: ConnectionOwner, sock: socket.socket, request_line: protocol.RequestLine) -> None:
        super().__init__(sock, owner.clock)
        self.request_line = request_line
        self.server = ""
        self.attempt_number = -1
        self.has_ended = False
        self.is_offered = False
        self.last_word = ""
        self._owner = owner
        self._routing = owner.routing
        self._arrived_ms = self.clock.now()
        self._deadline_ms = self._arrived_ms + request_line.wait_ms
        self.reports = ConnectionReports(owner.routing, owner.metrics, request_line, self._deadline_ms)
        self._may_attempt = True

    # -- decisions of routing (RoutedConnection) -------------------------------------------------------

    def start_attempt(self, server: str, timeout_ms: float) -> None:
        """Sends the request to a server, unless the client has left or had its answer meanwhile."""
        if not self._may_attempt:
            return
        self.attempt_number += 1
        self._send_request(server, timeout_ms, ignores_endpoint_state=False)

    def cancel_attempt(self, attempt: int) -> None:
        """Cancels the attempt of that number, unless it has ended."""
        if self.attempt and attempt == self.attempt_number and not self.established.is_set():
            self.attempt.withdraw()

    def reject(self, retry_after_ms: float, reason: RejectReason = RejectReason.ADMISSION) -> None:
        """Rejects the request: the client may retry after that time."""
        self.mailbox.deliver(FinalAnswer(protocol.busy_line(retry_after_ms), reason))

    def fail(self) -> None:
        """Fails the request."""
        self.mailbox.deliver(FinalAnswer(protocol.FAILED, RejectReason.FAILED))

    def migrate(self) -> None:
        """Asks the client to connect elsewhere."""
        self.mailbox.put(MigrateClient(AttemptOutcome.CANCELLED))

    # -- attempts --------------------------------------------------------------------------------------

    def _send_request(self, server: str, timeout_ms: float, ignores_endpoint_state: bool) -> None:
        if not self._may_attempt:  # the timer of a resumed connection calls whether or not its client is still there
            return
        self.server = server
        attempt = ConnectionAttempt(
            self.request_line.raw,
            timeout_ms,
            self.on_attempt_result,
            ignores_endpoint_state,
            client_waits=self.client_waits,
            request_id=self.request_line.request_id,
        )
        self.attempt = attempt
        actor = self._owner.servers.get(server)
        if actor is None or not actor.mailbox.put(attempt):
            self.on_attempt_result(attempt, AttemptResult(AttemptEnd.NOT_SENT, Reach.NOT_CONNECTED))

    def on_attempt_result(self, attempt: ConnectionAttempt, result: AttemptResult) -> None:
        """Takes the result of an attempt."""
        self.mailbox.deliver(AttemptAnswered(attempt, result))

    def client_waits(self) -> bool:
        """Returns whether the client still waits, by the state of its socket.

        In a late iteration of the loop the client's end and the server's connection are both ready, and the request
        would be sent for a client that has left before the upward pump runs.
        """
        try:
            data = self.sock.recv(1, socket.MSG_PEEK)
        except (BlockingIOError, InterruptedError):
            return True
        except OSError:
            end = RelayEnd.CLIENT_RST
        else:
            end = RelayEnd.TOO_EARLY if data else RelayEnd.CLIENT_FIN
        self.mailbox.deliver(end)
        return False

    # -- before the connection is established ----------------------------------------------------------

    async def run(self) -> None:
        """Handles the request, and relays once the connection is established."""
        self.start_upward_pump()
        guard = None
        resumes_at = self.request_line.resumes_at
        try:
            if resumes_at is not None:
                self._send_request(resumes_at, RESUME_TIMEOUT_MS, ignores_endpoint_state=True)
            else:
                # Answers the client if routing has failed: its own timer answers some milliseconds before `d`.
                due_ms = self._deadline_ms + DECISION_MARGIN_MS
                guard = self.clock.call_at(due_ms, self.mailbox.deliver, RelayEnd.OVERDUE)
                if not self.reports.post_request():
                    logger.warning("request rejected: routing mailbox full", request_id=self.request_line.request_id)
                    self.reports.is_forgotten = True
                    self.reject(self._owner.retry_after_ms, RejectReason.EVENTS)
            if await self._establish(resumes_at):
                if guard:
                    guard.cancel()
                self.start_downward_pump()
                await self._relay()
        finally:
            if guard:
                guard.cancel()
            await self._close()

    async def run_taken_over(self) -> None:
        """Relays a connection that was taken over from another process."""
        try:
            await self._relay()
        finally:
            await self._close()

    async def _establish(self, resumes_at: str | None) -> bool:
        """Handles messages until the connection is established (True) or the client has its answer (False)."""
        while True:
            message = await self.mailbox.next()
            match message:
                case FinalAnswer(line, reason):
                    self.reports.is_forgotten = True
                    await self._answer(line, reason)
                    return False
                case AnswerNow(retry_after_ms):
                    await self._answer_now(retry_after_ms, resumes_at)
                    return False
                case RelayEnd.OVERDUE:
                    logger.error("routing made no decision in time", request_id=self.request_line.request_id)
                    self.reports.post_disconnected()
                    await self._answer(protocol.FAILED, RejectReason.OVERDUE)
                    return False
                case RelayEnd():
                    await self._handle_client_end(message, resumes_at)
                    return False
                case AttemptAnswered(attempt, result) if attempt is self.attempt:
                    if result.end is AttemptEnd.ESTABLISHED:
                        self._record_established(attempt, resumes_at)
                        return True
                    if resumes_at is None:
                        self._report_attempt_end(result)
                    elif not await self._retry_resume(resumes_at):
                        return False

    async def _answer_now(self, retry_after_ms: float, resumes_at: str | None) -> None:
        """Answers a waiting client.

        A rejection invites a retry, so it is sent only if no attempt may have executed; otherwise the request fails.
        """
        may_retry = resumes_at is None and self._routing.may_reject(self.request_line.request_id)
        self.reports.post_disconnected()
        await self._answer(protocol.busy_line(retry_after_ms) if may_retry else protocol.FAILED, RejectReason.DRAINING)

    async def _handle_client_end(self, end: RelayEnd, resumes_at: str | None) -> None:
        self._may_attempt = False
        if resumes_at is None:
            self.reports.post_disconnected()
        if end is RelayEnd.TOO_EARLY:
            logger.info("client sent bytes before its answer", request_id=self.request_line.request_id)
            await self._answer(protocol.FAILED, RejectReason.UNSOUND)
        self.reports.count(ConnectionOutcome.LEFT)

    async def _retry_resume(self, resumes_at: str) -> bool:
        """Schedules another attempt to resume the connection. Returns False if its time is up."""
        servers = self._owner.servers
        may_be_listed = servers.knows(resumes_at) or not servers.has_list
        timeout_ms = RESUME_TIMEOUT_MS if may_be_listed else RESUME_UNLISTED_TIMEOUT_MS
        if self.clock.now() > self._arrived_ms + timeout_ms:
            logger.warning(
                "connection could not be resumed", request_id=self.request_line.request_id, server=resumes_at
            )
            await self._answer(protocol.FAILED, RejectReason.FAILED)
            return False
        at_ms = self.clock.now() + RESUME_RETRY_MS
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

    async def _answer(self, line: bytes, reason: RejectReason) -> None:
        """Sends the final answer to a client without a connection.

        The attempt in flight ends first, since the client may retry at once.
        """
        self._may_attempt = False
        self._owner.metrics.rejected[reason] += 1
        await self._cancel_attempt_in_flight()
        await self._finish(line)

    async def _finish(self, line: bytes) -> None:
        """Sends the client's last line, and awaits the client's end.

        A close with unread bytes would reset the connection, and the client would lose the answer.
        """
        loop = asyncio.get_running_loop()
        self.has_ended = True
        is_rejection = protocol.is_rejection(line)
        self.reports.count(ConnectionOutcome.THROTTLED if is_rejection else ConnectionOutcome.FAULTED)
        with contextlib.suppress(OSError):
            async with self.clock.limit(LINGER_TIMEOUT_MS):
                await loop.sock_sendall(self.sock, line)
                self.sock.shutdown(socket.SHUT_WR)
                await self._await_end(CLIENT_ENDS)

    async def _await_end(self, ends: tuple[RelayEnd, ...]) -> None:
        """Waits for one of these ends, and discards other messages."""
        while await self.mailbox.next() not in ends:
            pass

    # -- the relay -------------------------------------------------------------------------------------

    def on_lines(self, lines: list[bytes]) -> None:
        """Reports loads to routing. Each other line answers the client's lines."""
        now_ms = self.clock.now()
        for line in lines:
            self.last_word, rest = protocol.split_word(line)
            if self.last_word == ServerWord.LOAD:
                load = protocol.finite_number(rest)
                if load is not None and load >= 0:
                    self.reports.post_load(self.server, load)
            elif self.unanswered_since_ms is not None and self.established.is_set():
                delay_ms = now_ms - self.unanswered_since_ms
                self.unanswered_since_ms = None
                self._owner.record_message_delay(self, delay_ms)

    async def _relay(self) -> None:
        while True:
            message = await self.mailbox.next()
            if isinstance(message, HandOverRelay):
                if await self.hand_over(message.hand_over):
                    return
            elif end := self._relay_end_of(message):
                await self._end_relay(end)
                return

    def _relay_end_of(self, message: ConnectionMessage) -> RelayEnd | None:
        """Returns how the relay ends because of that message; None if it does not."""
        match message:
            case MigrateClient(outcome):
                return RelayEnd.BETWEEN_LINES if self._start_migration(outcome) else None
            case AnswerNow():
                return RelayEnd.BETWEEN_LINES if self._start_migration(AttemptOutcome.CANCELLED) else None
            case FinalAnswer():
                # Routing rejected or failed the request just as the connection was established, and has forgotten it.
                self.attempt_number = 0
                self.reports.post_open(self.server)
                return None
            case RelayEnd.OVERDUE if self.migration:
                # The client would read a further line as the rest of the unfinished one, so the connection is reset.
                return RelayEnd.BETWEEN_LINES if self.may_migrate() else RelayEnd.SERVER_RST
            case RelayEnd() if message is not RelayEnd.OVERDUE:
                return message
        return None

    def _start_migration(self, outcome: AttemptOutcome) -> bool:
        """Returns whether the client can be migrated now. Otherwise the downward pump reports when it can.

        The server's socket is not shut down to wake the pump: a part of a line that arrives in that instant would be
        sent without its rest, and the client would be reset.
        """
        if self.migration:
            return False
        self.migration = outcome
        if self.may_migrate():
            return True
        self.clock.call_at(self.clock.now() + MIGRATION_TIMEOUT_MS, self.mailbox.deliver, RelayEnd.OVERDUE)
        return False

    def may_hand_over(self) -> bool:
        """Returns whether another process can continue the relay."""
        return super().may_hand_over() and not self.migration and not self.has_ended

    async def hand_over(self, offer: Callable[[], Awaitable[bool]]) -> bool:
        """Offers the relay to the successor. Returns whether it belongs to the successor now."""
        self.is_offered = False
        if not self.may_hand_over():
            return False
        await self.stop_pumps()
        if not await offer():
            self.start_pumps()
            return False
        # The connection continues in the successor: its sockets are closed here, but not shut down.
        self.has_ended = True
        if self.attempt and self.attempt.sock:
            self.attempt.sock.close()
            self.attempt.sock = None
        self.sock.close()
        self._report_relay_end(AttemptOutcome.CANCELLED)
        return True

    def take_over(self, server: str, sock: socket.socket) -> None:
        """Continues a relay of the predecessor, with its pumps running."""
        self.server = server
        self.attempt_number = 0
        self.reports.is_counted = True
        self.attempt = ConnectionAttempt(
            self.request_line.raw, 0, self.on_attempt_result, True, sock, reach=Reach.ESTABLISHED
        )
        self.established.set()
        self.reports.post_open(server)
        self.start_pumps()

    async def _migrate_client(self) -> None:
        """Tells the client to connect elsewhere."""
        await self.stop_pumps(first=1)
        line = self._last_bytes()
        await self.detach_server()
        self._report_relay_end(self.migration or AttemptOutcome.CANCELLED)
        await self._finish(line)

    def _last_bytes(self) -> bytes:
        """Returns the server's lines that have just arrived, and the call to migrate behind them.

        The last line of a server that has ended the connection itself is sent without that call.
        """
        server_sock = self.server_sock
        try:
            data = self.pass_gate(server_sock.recv(BUFFER_BYTES)) if server_sock else b""
        except OSError:
            return protocol.MIGRATE
        if self.gate.is_within_line:  # the client has received no part of that line
            return protocol.MIGRATE
        return data if data and self.last_word in LAST_WORDS else data + protocol.MIGRATE

    async def _end_relay(self, end: RelayEnd) -> None:
        """Passes an end on to the other side in the same form, within a second."""
        self.has_ended = True
        if end is RelayEnd.BETWEEN_LINES:
            await self._migrate_client()
        elif end is RelayEnd.SERVER_FIN:
            self._report_relay_end(LAST_WORDS.get(self.last_word, AttemptOutcome.BROKEN))
            await self.detach_server()
            await self._finish(b"")
        elif end is RelayEnd.SERVER_RST:
            self._report_relay_end(AttemptOutcome.BROKEN)
            await self.stop_pumps()
            close_socket(self.sock, reset=True)
        elif end in (RelayEnd.CLIENT_RST, RelayEnd.TOO_EARLY):
            self._report_relay_end(AttemptOutcome.CANCELLED)
            await self.stop_pumps()
            self.close_server_side(reset=True)
        else:
            self._report_relay_end(AttemptOutcome.CANCELLED)
            await self._await_server_end()

    async def _await_server_end(self) -> None:
        """Closes the server's side after the client's, and awaits the server's end."""
        with contextlib.suppress(OSError):
            if self.server_sock:
                self.server_sock.shutdown(socket.SHUT_WR)
            async with self.clock.limit(LINGER_TIMEOUT_MS):
                await self._await_end(SERVER_ENDS)

    def _report_relay_end(self, outcome: AttemptOutcome) -> None:
        if not self.reports.is_forgotten:
            self.reports.is_forgotten = True
            latency_ms = self.attempt.latency_ms if self.attempt else 0.0
            self.reports.post_attempt_end(
                self.attempt_number, self.server, outcome, latency_ms, {}, was_established=True
            )

    # -- the end ---------------------------------------------------------------------------------------

    async def _close(self) -> None:
        self._may_attempt = False
        await self.stop_pumps()
        await self._cancel_attempt_in_flight()
        self.close_server_side()
        close_socket(self.sock)

    async def _cancel_attempt_in_flight(self) -> None:
        """Cancels the attempt, whether or not the server's actor has started it, and awaits its end."""
        attempt = self.attempt
        if attempt and not self.established.is_set():
            attempt.withdraw()
            if attempt.task and not attempt.task.done():
                await asyncio.wait([attempt.task])
            self.close_server_side()
