"""The established part of a client's connection: its lines, migration, handover and ends."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Awaitable, Callable
from typing import Protocol

from glenrock.routing.interface import AttemptOutcome

from . import protocol
from .acceptor import LINGER_TIMEOUT_MS
from .clock import Clock
from .connection_messages import (
    CLIENT_ENDS,
    SERVER_ENDS,
    ConnectionMessage,
    DrainConnection,
    FinalAnswer,
    HandOverRelay,
    MigrateClient,
    RelayEvent,
)
from .connection_reports import ConnectionReports
from .metrics import ConnectionMetrics, ConnectionOutcome
from .protocol import ServerKeyword
from .relay_pumps import BUFFER_BYTES, RelayPumps
from .routing_actor import RoutingActor
from .server_connections import ServerRegistry
from .socket_io import close_socket

MIGRATION_TIMEOUT_MS = LINGER_TIMEOUT_MS / 2  # for the end of a line that is being sent
OUTCOME_BY_LAST_KEYWORD: dict[str, AttemptOutcome] = {
    ServerKeyword.SERVED: AttemptOutcome.SERVED,
    ServerKeyword.MIGRATE: AttemptOutcome.CANCELLED,
    ServerKeyword.FAILED: AttemptOutcome.ERROR,
}
"""The first word of a server's last line, and how routing counts the end of the connection."""


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

    def record_message_delay(self, connection: EstablishedRelay, delay_ms: float) -> None:
        """Records how long a server took to answer a message."""
        ...


class EstablishedRelay(RelayPumps):
    """Relays between a client and its server, until either side ends or the client migrates.

    Attributes:
        request_line: the client's first line.
        server: the server of the last attempt.
        attempt_number: the number of the last attempt, from 0.
        has_ended: whether the client has had its final answer, or is about to.
        is_offered: whether the relay waits to be offered to the successor.
        last_keyword: the first word of the server's last line.
        arrived_ms: when the request arrived.
        deadline_ms: when the client stops waiting for an answer.
        reports: what routing and the metrics learn.
    """

    def __init__(self, owner: ConnectionOwner, sock: socket.socket, request_line: protocol.RequestLine) -> None:
        super().__init__(sock, owner.clock)
        self.request_line = request_line
        self.server = ""
        self.attempt_number = -1
        self.has_ended = False
        self.is_offered = False
        self.last_keyword = ""
        self.arrived_ms = self.clock.now_ms()
        self.deadline_ms = self.arrived_ms + request_line.wait_ms
        self.reports = ConnectionReports(owner.routing, owner.metrics, request_line, self.deadline_ms)
        self._owner = owner

    # -- the relay -------------------------------------------------------------------------------------

    def on_lines(self, lines: list[bytes]) -> None:
        """Reports loads to routing. Each other line answers the client's lines."""
        now_ms = self.clock.now_ms()
        for line in lines:
            self.last_keyword, rest = protocol.split_keyword(line)
            if self.last_keyword == ServerKeyword.LOAD:
                load = protocol.parse_finite_number(rest)
                if load is not None and load >= 0:
                    self.reports.post_load(self.server, load)
            elif self.unanswered_since_ms is not None and self.established.is_set():
                delay_ms = now_ms - self.unanswered_since_ms
                self.unanswered_since_ms = None
                self._owner.record_message_delay(self, delay_ms)

    async def relay(self) -> None:
        """Handles messages until the relay ends, or belongs to the successor."""
        while True:
            message = await self.mailbox.get()
            if isinstance(message, HandOverRelay):
                if await self.hand_over(message.offer):
                    return
            elif end := self._relay_end_of(message):
                await self._end_relay(end)
                return

    def _relay_end_of(self, message: ConnectionMessage) -> RelayEvent | None:
        """Returns how the relay ends because of that message; None if it does not."""
        match message:
            case MigrateClient(outcome):
                return RelayEvent.MIGRATION_POSSIBLE if self._start_migration(outcome) else None
            case DrainConnection():
                return RelayEvent.MIGRATION_POSSIBLE if self._start_migration(AttemptOutcome.CANCELLED) else None
            case FinalAnswer():
                # Routing rejected or failed the request just as the connection was established, and has forgotten it.
                self.attempt_number = 0
                self.reports.post_open(self.server)
                return None
            case RelayEvent.TIMER_EXPIRED if self.migration:
                # The client would read a further line as the rest of the unfinished one, so the connection is reset.
                return RelayEvent.MIGRATION_POSSIBLE if self.may_migrate() else RelayEvent.SERVER_RST
            case RelayEvent() if message is not RelayEvent.TIMER_EXPIRED:
                return message
        return None

    def _start_migration(self, outcome: AttemptOutcome) -> bool:
        """Returns whether the client can be migrated now. Otherwise the downstream pump reports when it can.

        The server's socket stays open until then, so that a line that is arriving reaches the client whole.
        """
        if self.migration:
            return False
        self.migration = outcome
        if self.may_migrate():
            return True
        self.clock.call_at(
            self.clock.now_ms() + MIGRATION_TIMEOUT_MS, self.mailbox.put_unbounded, RelayEvent.TIMER_EXPIRED
        )
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

    async def _migrate_client(self) -> None:
        """Tells the client to connect elsewhere."""
        await self.stop_downstream_pump()
        line = self._final_lines()
        await self.detach_server()
        self._report_relay_end(self.migration or AttemptOutcome.CANCELLED)
        await self.finish(line)

    def _final_lines(self) -> bytes:
        """Returns the server's lines that have just arrived, and the call to migrate behind them.

        The last line of a server that has ended the connection itself is sent without that call.
        """
        server_sock = self.server_sock
        try:
            data = self.process_server_bytes(server_sock.recv(BUFFER_BYTES)) if server_sock else b""
        except OSError:
            return protocol.MIGRATE_LINE
        if self.line_buffer.is_within_line:  # the client has received no part of that line
            return protocol.MIGRATE_LINE
        return data if data and self.last_keyword in OUTCOME_BY_LAST_KEYWORD else data + protocol.MIGRATE_LINE

    async def _end_relay(self, end: RelayEvent) -> None:
        """Passes an end on to the other side in the same form, within a second."""
        self.has_ended = True
        if end is RelayEvent.MIGRATION_POSSIBLE:
            await self._migrate_client()
        elif end is RelayEvent.SERVER_FIN:
            self._report_relay_end(OUTCOME_BY_LAST_KEYWORD.get(self.last_keyword, AttemptOutcome.BROKEN))
            await self.detach_server()
            await self.finish(b"")
        elif end is RelayEvent.SERVER_RST:
            self._report_relay_end(AttemptOutcome.BROKEN)
            await self.stop_pumps()
            close_socket(self.sock, reset=True)
        elif end in (RelayEvent.CLIENT_RST, RelayEvent.EARLY_BYTES):
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
            async with self.clock.time_limit(LINGER_TIMEOUT_MS):
                await self._await_end(SERVER_ENDS)

    def _report_relay_end(self, outcome: AttemptOutcome) -> None:
        if not self.reports.is_end_known:
            self.reports.is_end_known = True
            latency_ms = self.attempt.latency_ms if self.attempt else 0.0
            self.reports.post_attempt_end(
                self.attempt_number, self.server, outcome, latency_ms, {}, was_established=True
            )

    async def finish(self, line: bytes) -> None:
        """Sends the client's last line, and awaits the client's end.

        A close with unread bytes would reset the connection, and the client would lose the answer.
        """
        loop = asyncio.get_running_loop()
        self.has_ended = True
        is_rejection = protocol.is_rejection(line)
        self.reports.count(ConnectionOutcome.THROTTLED if is_rejection else ConnectionOutcome.FAULTED)
        with contextlib.suppress(OSError):
            async with self.clock.time_limit(LINGER_TIMEOUT_MS):
                await loop.sock_sendall(self.sock, line)
                self.sock.shutdown(socket.SHUT_WR)
                await self._await_end(CLIENT_ENDS)

    async def _await_end(self, ends: tuple[RelayEvent, ...]) -> None:
        """Waits for one of these ends, and discards other messages."""
        while await self.mailbox.get() not in ends:
            pass
