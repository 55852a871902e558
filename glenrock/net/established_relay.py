"""An established connection between a client and a server: load reports, migration, handover, and how it ends."""

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
from .line_gate import LineSummary
from .metrics import ConnectionMetrics, ConnectionOutcome
from .protocol import ServerKeyword
from .rate_limit import RateLimit
from .relay_pumps import BUFFER_BYTES, RelayPumps
from .routing_actor import RoutingActor
from .server_connections import ServerRegistry
from .socket_io import close_socket

MIGRATION_TIMEOUT_MS = LINGER_TIMEOUT_MS / 2  # time limit for the line that is being sent to the client
OUTCOME_BY_LAST_KEYWORD: dict[str, AttemptOutcome] = {
    ServerKeyword.SERVED: AttemptOutcome.SERVED,
    ServerKeyword.MIGRATE: AttemptOutcome.CANCELLED,
    ServerKeyword.FAILED: AttemptOutcome.ERROR,
}
"""How routing counts the end of a connection, by the first word of the server's last line."""


class ConnectionOwner(Protocol):
    """The part of the connection table that a connection uses.

    Attributes:
        retry_after_ms: the Retry-After of rejections that routing does not decide; 0 if the settings allow none.
        shared_read_limit: the limit that the reads of all relays share.
    """

    clock: Clock
    routing: RoutingActor
    servers: ServerRegistry
    metrics: ConnectionMetrics
    retry_after_ms: float
    shared_read_limit: RateLimit

    def record_message_delay(self, connection: EstablishedRelay, delay_ms: float) -> None:
        """Records how long a server took to answer a message."""
        ...


class EstablishedRelay(RelayPumps):
    """Relays bytes between a client and its server until either side ends, the client migrates, or it is handed over.

    Attributes:
        request_line: the client's request.
        server: the name of the server of the last attempt; empty before the first.
        attempt_number: the number of the last attempt, counted from 0; -1 before the first.
        has_ended: whether the connection has ended, or its last line is about to be sent.
        is_offered: whether a message to offer the relay to the successor is in the mailbox.
        last_keyword: the first word of the server's last line; empty before the first.
        arrived_ms: when the request arrived, on the clock of the process.
        deadline_ms: when the client stops waiting for an answer, on the clock of the process.
        reports: reports the connection to routing and to the metrics.
    """

    def __init__(self, owner: ConnectionOwner, sock: socket.socket, request_line: protocol.RequestLine) -> None:
        super().__init__(sock, owner.clock, owner.shared_read_limit)
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

    def on_lines(self, summary: LineSummary) -> None:
        """Reports the last load to routing. Any other line counts as the answer to the client's unanswered lines."""
        if summary.last_line:
            self.last_keyword, _ = protocol.split_keyword(summary.last_line)
        if summary.last_load_line:
            load = protocol.parse_finite_number(protocol.split_keyword(summary.last_load_line)[1])
            if load is not None and load >= 0:
                self.reports.post_load(self.server, load)
        if summary.has_other_line and self.unanswered_since_ms is not None and self.established.is_set():
            delay_ms = self.clock.now_ms() - self.unanswered_since_ms
            self.unanswered_since_ms = None
            self._owner.record_message_delay(self, delay_ms)

    async def relay(self) -> None:
        """Handles messages until the relay ends or the successor has accepted it."""
        while True:
            message = await self.mailbox.get()
            if isinstance(message, HandOverRelay):
                if await self.hand_over(message.offer):
                    return
            elif event := self._end_event_of(message):
                await self._end_relay(event)
                return

    def _end_event_of(self, message: ConnectionMessage) -> RelayEvent | None:
        """Returns the event with which `message` ends the relay; None if the relay continues."""
        match message:
            case MigrateClient(outcome):
                return RelayEvent.MIGRATION_POSSIBLE if self._start_migration(outcome) else None
            case DrainConnection():
                return RelayEvent.MIGRATION_POSSIBLE if self._start_migration(AttemptOutcome.CANCELLED) else None
            case FinalAnswer():
                # Routing rejected or failed the request just as the connection was established, and has discarded it,
                # so the open connection is reported to routing again.
                self.attempt_number = 0
                self.reports.post_open(self.server)
                return None
            case RelayEvent.TIMER_EXPIRED if self.migration:
                # After a partial line, the client would read the migration line as the rest of it, so it gets a reset.
                return RelayEvent.MIGRATION_POSSIBLE if self.may_migrate() else RelayEvent.SERVER_RST
            case RelayEvent() if message is not RelayEvent.TIMER_EXPIRED:
                return message
        return None

    def _start_migration(self, outcome: AttemptOutcome) -> bool:
        """Returns whether the client can be migrated now. If not, the downstream pump posts an event once it can.

        The server's socket stays open until then, so that a line that is arriving reaches the client whole. When it was
        shut down to wake the pump, 70 of 556 clients were cut off within a line.
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
        """Stops the pumps and offers the relay to the successor. Returns whether the successor owns it now."""
        self.is_offered = False
        if not self.may_hand_over():
            return False
        await self.stop_pumps()
        if not await offer():
            self.start_pumps()
            return False
        # The successor has its own descriptors of the sockets: they are closed here without a shutdown, which would
        # end the connections.
        self.has_ended = True
        if self.attempt and self.attempt.sock:
            self.attempt.sock.close()
            self.attempt.sock = None
        self.sock.close()
        self._report_relay_end(AttemptOutcome.CANCELLED)
        return True

    async def _migrate_client(self) -> None:
        """Sends the client the server's last lines and the line that asks it to migrate, and ends the connection."""
        await self.stop_downstream_pump()
        line = self._final_lines()
        await self.detach_server()
        self._report_relay_end(self.migration or AttemptOutcome.CANCELLED)
        await self.finish(line)

    def _final_lines(self) -> bytes:
        """Returns the server's lines that have just arrived, followed by the line that asks the client to migrate.

        That line is left out if the server has ended the connection itself with a last line of its own.
        """
        server_sock = self.server_sock
        try:
            data = self.process_server_bytes(server_sock.recv(BUFFER_BYTES)) if server_sock else b""
        except OSError:
            return protocol.MIGRATE_LINE
        if self.line_buffer.is_within_line:  # the data, not sent yet, ends within an overlong line and is dropped
            return protocol.MIGRATE_LINE
        return data if data and self.last_keyword in OUTCOME_BY_LAST_KEYWORD else data + protocol.MIGRATE_LINE

    async def _end_relay(self, event: RelayEvent) -> None:
        """Migrates the client, or ends the other side as one side has ended: a FIN as a FIN, a reset as a reset.

        Takes at most `LINGER_TIMEOUT_MS`.
        """
        self.has_ended = True
        if event is RelayEvent.MIGRATION_POSSIBLE:
            await self._migrate_client()
        elif event is RelayEvent.SERVER_FIN:
            self._report_relay_end(OUTCOME_BY_LAST_KEYWORD.get(self.last_keyword, AttemptOutcome.BROKEN))
            await self.detach_server()
            await self.finish(b"")
        elif event is RelayEvent.SERVER_RST:
            self._report_relay_end(AttemptOutcome.BROKEN)
            await self.stop_pumps()
            close_socket(self.sock, reset=True)
        elif event in (RelayEvent.CLIENT_RST, RelayEvent.EARLY_BYTES):
            self._report_relay_end(AttemptOutcome.CANCELLED)
            await self.stop_pumps()
            self.close_server_side(reset=True)
        else:
            self._report_relay_end(AttemptOutcome.CANCELLED)
            await self._await_server_end()

    async def _await_server_end(self) -> None:
        """Forwards the client's FIN to the server, and waits until the server ends the connection too."""
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
        """Sends the last line to the client, and waits until the client ends the connection.

        A close with unread bytes would reset the connection, and the client would lose the line.
        """
        loop = asyncio.get_running_loop()
        self.has_ended = True
        is_rejection = protocol.is_rejection(line)
        # Has no effect if another outcome was counted before, as it is when a connection is established.
        self.reports.count(ConnectionOutcome.THROTTLED if is_rejection else ConnectionOutcome.FAULTED)
        with contextlib.suppress(OSError):
            async with self.clock.time_limit(LINGER_TIMEOUT_MS):
                await loop.sock_sendall(self.sock, line)
                self.sock.shutdown(socket.SHUT_WR)
                await self._await_end(CLIENT_ENDS)

    async def _await_end(self, end_events: tuple[RelayEvent, ...]) -> None:
        """Waits for one of these events, and discards other messages."""
        while await self.mailbox.get() not in end_events:
            pass
