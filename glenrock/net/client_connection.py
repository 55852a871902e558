"""A client's connection from its first line to its end."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Awaitable, Callable
from typing import Protocol

from glenrock.routing import interface

from ..log import get_logger
from . import protocol
from .acceptor import LINGER_MS
from .attempt_outcomes import AttemptEnd, AttemptResult, Reach
from .clock import Clock, micros
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
from .metrics import ConnectionMetrics, ConnectionOutcome, RejectReason
from .relay_pumps import BUFFER_BYTES, RelayPumps
from .routing_actor import RoutingActor
from .server_connections import ServerRegistry
from .socket_io import close_socket

STANDING_MS = 38_000.0  # a standing connection is lost when it is not up after 40 s
UNKNOWN_SERVER_MS = 2000.0  # where one stands at a server that nobody knows, its client is owed a word within 3 s
RETRY_STANDING_MS = 250.0  # between two attempts for one
GUARD_MS = 20.0  # a request that has no decision this long after its time is failed; 58 ms are allowed
logger = get_logger(__name__)

LAST_WORDS: dict[str, interface.AttemptOutcome] = {
    "BYE": interface.AttemptOutcome.SERVED,
    "MOVE": interface.AttemptOutcome.CANCELLED,
    "ERR": interface.AttemptOutcome.ERROR,
}
"""A server's last words, and how the connection ended."""


class ConnectionOwner(Protocol):
    """What a connection needs of the table that it stands in.

    Attributes:
        retry_after_ms: whoever is rejected beside the decisions comes again after this.
    """

    clock: Clock
    routing: RoutingActor
    servers: ServerRegistry
    metrics: ConnectionMetrics
    retry_after_ms: float

    def record_delay(self, connection: ClientConnection, delay_ms: float) -> None:
        """A message took so long at its server."""
        ...


class ClientConnection(RelayPumps):
    """One client from its first line to its end: an actor. It alone closes its sockets.

    Attributes:
        opened: the client's first line.
        server: the last server it was sent to.
        attempt_number: of the last attempt, from 0.
        ended: it has had its last word, or is about to.
        offered: to a successor.
        load: as last known, where it comes from another process.
        last_word: of the server's last line.
    """

    def __init__(self, owner: ConnectionOwner, sock: socket.socket, opened: protocol.OpenLine) -> None:
        super().__init__(sock, owner.clock)
        self.opened = opened
        self.server = ""
        self.attempt_number = -1
        self.ended = False
        self.offered = False
        self.load = opened.load
        self.last_word = ""
        self._owner = owner
        self._routing = owner.routing
        self._arrived_ms = self.clock.now()
        self._deadline_ms = self._arrived_ms + opened.wait_ms
        self._forgotten = False  # routing hears no more of it
        self._quit = False  # nothing is forwarded for it any more
        self._counted = False  # in the metrics

    # -- what routing decides (RoutedConnection) -------------------------------------------------------

    def start_attempt(self, server: str, timeout_ms: float) -> None:
        """Routing decides for clients that have left meanwhile, and for those that have had an answer."""
        if self._quit:
            return
        self.attempt_number += 1
        self._launch(server, timeout_ms, False)

    def cancel_attempt(self, attempt: int) -> None:
        """Nobody waits for that attempt any more."""
        if self.attempt and attempt == self.attempt_number and not self.up.is_set():
            self.attempt.withdraw()

    def reject(self, retry_after_ms: float, reason: RejectReason = "admission") -> None:
        """Final answer: the client may come again after that time."""
        self.mailbox.deliver(FinalAnswer(protocol.busy_line(retry_after_ms), reason))

    def fail(self) -> None:
        """Final answer: it could not be served."""
        self.mailbox.deliver(FinalAnswer(protocol.FAILED, "failed"))

    def migrate(self) -> None:
        """Asks the client to connect elsewhere."""
        self.mailbox.put(MigrateClient(interface.AttemptOutcome.CANCELLED))

    # -- attempts --------------------------------------------------------------------------------------

    def _launch(self, server: str, timeout_ms: float, insist: bool) -> None:
        if self._quit:  # a standing one is tried again by a timer, whatever has become of its client
            return
        self.server = server
        attempt = ConnectionAttempt(
            self.opened.line,
            timeout_ms,
            self.attempt_done,
            insist,
            wanted=self.client_waits,
            request_id=self.opened.id,
        )
        self.attempt = attempt
        actor = self._owner.servers.get(server)
        if actor is None or not actor.mailbox.put(attempt):
            self.attempt_done(attempt, AttemptResult(AttemptEnd.NOT_SENT, Reach.NOT_CONNECTED))

    def attempt_done(self, attempt: ConnectionAttempt, result: AttemptResult) -> None:
        """An attempt has its result."""
        self.mailbox.deliver(AttemptAnswered(attempt, result))

    def client_waits(self) -> bool:
        """Whether the client still waits, by what the machine has of it now.

        After a turn that came late its end and the server's connection are both there, and the line would be written
        before the up pump had its turn: forwarded for a client that had left long ago.
        """
        try:
            early = self.sock.recv(1, socket.MSG_PEEK)
        except (BlockingIOError, InterruptedError):
            return True
        except OSError:
            end = RelayEnd.CLIENT_RST
        else:
            end = RelayEnd.TOO_EARLY if early else RelayEnd.CLIENT_FIN
        self.mailbox.deliver(end)
        return False

    # -- before it is up -------------------------------------------------------------------------------

    def _request(self) -> interface.Request:
        opened = self.opened
        return interface.Request(
            id=opened.id,
            service=opened.class_name,
            deadline_us=micros(self._deadline_ms),
            key=opened.key,
            group=opened.group,
            tenant=opened.tenant,
            load=self.load,
            is_returning=opened.returns,
        )

    async def run(self) -> None:
        """From the first line on."""
        self.start_pump_up()
        guard = None
        standing_at = self.opened.standing_at
        try:
            if standing_at is not None:
                self._launch(standing_at, STANDING_MS, True)
            else:
                # Guards against decisions that failed: their own timer answers some milliseconds before `d`.
                guard = self.clock.call_at(self._deadline_ms + GUARD_MS, self.mailbox.deliver, RelayEnd.OVERDUE)
                if not self._routing.post(self._request()):
                    logger.warning("request rejected: routing mailbox full", request_id=self.opened.id)
                    self._forgotten = True
                    self.reject(self._owner.retry_after_ms, "events")
            if await self._settle(standing_at):
                if guard:
                    guard.cancel()
                self.start_pump_down()
                await self._relay()
        finally:
            if guard:
                guard.cancel()
            await self._close()

    async def carry_on(self) -> None:
        """From where another process has stopped."""
        try:
            await self._relay()
        finally:
            await self._close()

    async def _settle(self, standing_at: str | None) -> bool:
        """Until it is up (true) or has had its answer."""
        while True:
            message = await self.mailbox.next()
            match message:
                case FinalAnswer(line, reason):
                    self._forgotten = True
                    await self._answer(line, reason)
                    return False
                case AnswerNow(retry_after_ms):
                    await self._answer_now(retry_after_ms, standing_at)
                    return False
                case RelayEnd.OVERDUE:
                    logger.error("routing made no decision in time", request_id=self.opened.id)
                    self.forget()
                    await self._answer(protocol.FAILED, "overdue")
                    return False
                case RelayEnd():
                    await self._client_left(message, standing_at)
                    return False
                case AttemptAnswered(attempt, result) if attempt is self.attempt:
                    if result.end is AttemptEnd.UP:
                        self._record_up(attempt, standing_at)
                        return True
                    if standing_at is None:
                        self._record_end(result.outcome, False, result.report)
                    elif not await self._retry_standing(standing_at):
                        return False

    async def _answer_now(self, retry_after_ms: float, standing_at: str | None) -> None:
        """To be rejected says that coming again is harmless. Of an attempt that may have run it is not."""
        harmless = standing_at is None and self._routing.may_reject(self.opened.id)
        self.forget()
        await self._answer(protocol.busy_line(retry_after_ms) if harmless else protocol.FAILED, "draining")

    async def _client_left(self, end: RelayEnd, standing_at: str | None) -> None:
        self._quit = True
        if standing_at is None:
            self.forget()
        if end is RelayEnd.TOO_EARLY:
            logger.info("client sent bytes before its answer", request_id=self.opened.id)
            await self._answer(protocol.FAILED, "unsound")
        self.count("left")

    async def _retry_standing(self, standing_at: str) -> bool:
        """False where it has been tried long enough."""
        servers = self._owner.servers
        may_come = servers.knows(standing_at) or not servers.has_list
        wait_ms = STANDING_MS if may_come else UNKNOWN_SERVER_MS
        if self.clock.now() > self._arrived_ms + wait_ms:
            logger.warning("connection could not be resumed", request_id=self.opened.id, server=standing_at)
            await self._answer(protocol.FAILED, "failed")
            return False
        at_ms = self.clock.now() + RETRY_STANDING_MS
        self.clock.call_at(at_ms, self._launch, standing_at, STANDING_MS, True)
        return True

    def _record_up(self, attempt: ConnectionAttempt, standing_at: str | None) -> None:
        self.count("fulfilled")
        if standing_at is not None:
            self.attempt_number = 0
            self._routing.post(interface.OpenConnection(self._request(), standing_at))
            return
        latency_us = micros(attempt.latency_ms)
        self._routing.post(
            interface.ConnectionEstablished(self.opened.id, self.attempt_number, self.server, latency_us)
        )

    def _record_end(self, outcome: interface.AttemptOutcome, done: bool, report: dict[str, float]) -> None:
        latency_us = micros(self.attempt.latency_ms) if self.attempt else 0
        self._routing.post(
            interface.AttemptEnded(self.opened.id, self.attempt_number, self.server, outcome, done, latency_us, report)
        )

    def forget(self) -> None:
        """Routing is told that the client has gone, once."""
        if not self._forgotten:
            self._forgotten = True
            self._routing.post(interface.ClientDisconnected(self.opened.id))

    def count(self, outcome: ConnectionOutcome) -> None:
        """Each connection counts once: as what came first."""
        if not self._counted:
            self._counted = True
            self._owner.metrics.add(outcome, self.opened.class_name)

    async def _answer(self, line: bytes, reason: RejectReason) -> None:
        """Its answer, where it is not up. The attempt that is out ends first: its client comes again at once."""
        self._quit = True
        self._owner.metrics.rejected[reason] += 1
        await self._abandon()
        await self._finish(line)

    async def _finish(self, line: bytes) -> None:
        """The one final answer. Then the client's end is awaited.

        A close with its bytes unread would reset the connection and the answer with it.
        """
        loop = asyncio.get_running_loop()
        self.ended = True
        self.count("throttled" if line.startswith(b"BUSY") else "faulted")
        with contextlib.suppress(OSError):
            async with self.clock.limit(LINGER_MS):
                await loop.sock_sendall(self.sock, line)
                self.sock.shutdown(socket.SHUT_WR)
                await self._next_of(CLIENT_ENDS)

    async def _next_of(self, ends: tuple[RelayEnd, ...]) -> None:
        """Until one of these ends comes; what else comes is passed over."""
        while await self.mailbox.next() not in ends:
            pass

    # -- the relay -------------------------------------------------------------------------------------

    def on_lines(self, lines: list[bytes]) -> None:
        """Loads go to routing; any other line answers what the client has asked."""
        now_ms = self.clock.now()
        for line in lines:
            self.last_word, rest = protocol.split_word(line)
            if self.last_word == "LOAD":
                load = protocol.finite_number(rest)
                if load is not None and load >= 0:
                    self._routing.post(interface.ConnectionFeedback(self.opened.id, self.server, load=load))
            elif self.asked_at is not None and self.up.is_set():
                delay_ms = now_ms - self.asked_at
                self.asked_at = None
                self._owner.record_delay(self, delay_ms)

    async def _relay(self) -> None:
        while True:
            message = await self.mailbox.next()
            if isinstance(message, HandOverRelay):
                if await self.hand_over(message.give):
                    return
            elif end := self._end_of(message):
                await self._end_with(end)
                return

    def _end_of(self, message: ConnectionMessage) -> RelayEnd | None:
        """How the relay ends by that message; None where it goes on."""
        match message:
            case MigrateClient(outcome):
                return RelayEnd.BETWEEN_LINES if self._begin_move(outcome) else None
            case AnswerNow():
                return RelayEnd.BETWEEN_LINES if self._begin_move(interface.AttemptOutcome.CANCELLED) else None
            case FinalAnswer():
                # It was rejected or failed just as it came up, and routing has forgotten it. It stands all the same.
                self.attempt_number = 0
                self._routing.post(interface.OpenConnection(self._request(), self.server))
                return None
            case RelayEnd.OVERDUE if self.migrating:
                # No line end came. Within a line MOVE would be read as part of it: a reset instead.
                return RelayEnd.BETWEEN_LINES if self.may_move() else RelayEnd.SERVER_RST
            case RelayEnd() if message is not RelayEnd.OVERDUE:
                return message
        return None

    def _begin_move(self, outcome: interface.AttemptOutcome) -> bool:
        """Whether the client can be moved now. Else the down pump says so once it can be, or it is cut off.

        The server's side must not be shut to wake the pump. What comes in that instant would be passed on, half a line
        among it, and its rest never come: the client would be cut off (70 of 556 of a short day).
        """
        if self.migrating:
            return False
        self.migrating = outcome
        if self.may_move():
            return True
        self.clock.call_at(self.clock.now() + LINGER_MS / 2, self.mailbox.deliver, RelayEnd.OVERDUE)
        return False

    def still(self) -> bool:
        """Another process may go on from here."""
        return super().still() and not self.migrating and not self.ended

    async def hand_over(self, give: Callable[[], Awaitable[bool]]) -> bool:
        """Offers the relay to a successor. True where it is another process's now."""
        self.offered = False
        if not self.still():
            return False
        await self.stop_pumps()
        if not await give():
            self.start_pumps()
            return False
        # The connection goes on, elsewhere: closed here, but never shut down.
        self.ended = True
        if self.attempt and self.attempt.sock:
            self.attempt.sock.close()
            self.attempt.sock = None
        self.sock.close()
        self._record_relay_end(interface.AttemptOutcome.CANCELLED)
        return True

    def take_over(self, server: str, sock: socket.socket) -> None:
        """A relay that stood in another process: its pumps run once this returns."""
        self.server = server
        self.attempt_number = 0
        self._counted = True
        self.attempt = ConnectionAttempt(self.opened.line, 0, self.attempt_done, True, sock, reach=Reach.UP)
        self.up.set()
        self._routing.post(interface.OpenConnection(self._request(), server))
        self.start_pumps()

    async def _hand_back(self) -> None:
        """The client is told to move."""
        await self.stop_pumps(first=1)
        line = self._last_bytes()
        await self.leave_server()
        self._record_relay_end(self.migrating or interface.AttemptOutcome.CANCELLED)
        await self._finish(line)

    def _last_bytes(self) -> bytes:
        """MOVE, and before it the whole lines that came at the last moment.

        A server that ended meanwhile has had its last word: nothing is added to it.
        """
        server_sock = self.server_sock
        try:
            data = self.cut(server_sock.recv(BUFFER_BYTES)) if server_sock else b""
        except OSError:
            return protocol.MOVE
        if self.gate.mid_line:  # the client has not: it goes without
            return protocol.MOVE
        return data if data and self.last_word in LAST_WORDS else data + protocol.MOVE

    async def _end_with(self, end: RelayEnd) -> None:
        """Passes an end on in kind, within a second."""
        self.ended = True
        if end is RelayEnd.BETWEEN_LINES:
            await self._hand_back()
        elif end is RelayEnd.SERVER_FIN:
            self._record_relay_end(LAST_WORDS.get(self.last_word, interface.AttemptOutcome.BROKEN))
            await self.leave_server()
            await self._finish(b"")
        elif end is RelayEnd.SERVER_RST:
            self._record_relay_end(interface.AttemptOutcome.BROKEN)
            await self.stop_pumps()
            close_socket(self.sock, reset=True)
        elif end in (RelayEnd.CLIENT_RST, RelayEnd.TOO_EARLY):
            self._record_relay_end(interface.AttemptOutcome.CANCELLED)
            await self.stop_pumps()
            self.close_server_side(reset=True)
        else:
            self._record_relay_end(interface.AttemptOutcome.CANCELLED)
            await self._await_server_end()

    async def _await_server_end(self) -> None:
        """The client has ended its side: so is the server's, and its end is awaited."""
        with contextlib.suppress(OSError):
            if self.server_sock:
                self.server_sock.shutdown(socket.SHUT_WR)
            async with self.clock.limit(LINGER_MS):
                await self._next_of(SERVER_ENDS)

    def _record_relay_end(self, outcome: interface.AttemptOutcome) -> None:
        if not self._forgotten:
            self._forgotten = True
            self._record_end(outcome, True, {})

    # -- the end ---------------------------------------------------------------------------------------

    async def _close(self) -> None:
        self._quit = True
        await self.stop_pumps()
        await self._abandon()
        self.close_server_side()
        close_socket(self.sock)

    async def _abandon(self) -> None:
        """Ends the attempt that is out, one that still lies with its server's actor too."""
        attempt = self.attempt
        if attempt and not self.up.is_set():
            attempt.withdraw()
            if attempt.task and not attempt.task.done():
                await asyncio.wait([attempt.task])
            self.close_server_side()
