"""Copies bytes between the sockets of a client and a server, in both directions."""

from __future__ import annotations

import asyncio
import select
import socket

from glenrock.routing.interface import AttemptOutcome

from .clock import Clock
from .connection_attempt import ConnectionAttempt
from .connection_messages import ConnectionMessage, RelayEvent
from .line_gate import LineBuffer, LineSummary
from .mailbox import Mailbox
from .rate_limit import RateLimit
from .socket_io import close_socket, recv_into

BUFFER_BYTES = 8192
MAX_QUEUED_MESSAGES = 32  # in the mailbox of one connection
# A pump reads once in each interval without a wait, and a burst after a pause. All reads beyond that share one limit,
# so that relays which never pause leave time for the others.
READ_INTERVAL_MS = 50.0
READ_BURST = 16
SHARED_READ_INTERVAL_MS = 1.0
SHARED_READ_BURST = 16


class ReadLimit:
    """Limits the reads of one pump.

    Args:
        shared: the limit of the reads of all pumps beyond their own.
    """

    def __init__(self, shared: RateLimit) -> None:
        self._own = RateLimit(READ_INTERVAL_MS, READ_BURST)
        self._shared = shared

    def reserve(self, now_ms: float) -> float:
        """Records a read, and returns how long it must wait. The bytes stay in the kernel until then."""
        if self._own.delay_ms(now_ms):
            return self._shared.reserve(now_ms)
        self._own.record(now_ms)
        return 0.0


def create_shared_read_limit() -> RateLimit:
    """Returns the limit that all relays of a process share."""
    return RateLimit(SHARED_READ_INTERVAL_MS, SHARED_READ_BURST)


class RelayPumps:
    """Owns the client's socket, and the server's once the connection is established.

    Two tasks copy bytes: the upstream pump from client to server, the downstream pump from server to client. A pump
    that ends posts a `RelayEvent` to the mailbox.

    Attributes:
        sock: the client's socket.
        mailbox: messages to the connection's actor.
        attempt: the last attempt; its socket is the server's side of the relay.
        established: set once the server's first answer has been sent to the client.
        line_buffer: holds back incomplete lines of the server.
        unanswered_since_ms: when the oldest client line without an answer was read; None if all are answered.
        migration: how routing counts the end of the connection, once its migration has started; None before.
        awaits_server: whether the downstream pump waits for bytes from the server.
        awaits_client: whether the upstream pump waits for bytes from the client.
        tasks: the pumps, the upstream one first.
    """

    def __init__(self, sock: socket.socket, clock: Clock, shared_read_limit: RateLimit) -> None:
        self.sock = sock
        self.clock = clock
        self._shared_read_limit = shared_read_limit
        self.mailbox: Mailbox[ConnectionMessage] = Mailbox(MAX_QUEUED_MESSAGES)
        self.attempt: ConnectionAttempt | None = None
        self.established = asyncio.Event()
        self.line_buffer = LineBuffer()
        self.unanswered_since_ms: float | None = None
        self.migration: AttemptOutcome | None = None
        self.awaits_server = False
        self.awaits_client = False
        self.tasks: list[asyncio.Task[None]] = []

    def on_lines(self, summary: LineSummary) -> None:
        """Called with the complete lines of each part that the server has sent."""
        raise NotImplementedError

    @property
    def server_sock(self) -> socket.socket | None:
        """The server's socket; None before it is connected and after it is closed."""
        return self.attempt.sock if self.attempt else None

    # -- the pumps -------------------------------------------------------------------------------------

    def start_upstream_pump(self) -> None:
        """Starts to read from the client."""
        self.tasks.append(asyncio.get_running_loop().create_task(self._pump_upstream()))

    def start_downstream_pump(self) -> None:
        """Starts to read from the server."""
        self.tasks.append(asyncio.get_running_loop().create_task(self._pump_downstream()))

    def start_pumps(self) -> None:
        """Starts to read from both sides."""
        self.tasks = []
        self.start_upstream_pump()
        self.start_downstream_pump()

    async def stop_pumps(self) -> None:
        """Ends both pumps. Needed before a socket is closed: uvloop allows no task to wait on a closed socket."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    async def stop_downstream_pump(self) -> None:
        """Ends the downstream pump, if it was started."""
        downstream_pumps = self.tasks[1:]
        for task in downstream_pumps:
            task.cancel()
        await asyncio.gather(*downstream_pumps, return_exceptions=True)

    async def _pump_upstream(self) -> None:
        """Copies from client to server. Before the connection is established, only detects an end or early bytes."""
        event: RelayEvent | None = None
        try:
            event = await self._copy_upstream()
        except OSError:
            event = RelayEvent.CLIENT_RST
        finally:
            if event:  # None if the pump was cancelled: the client is still connected
                self.mailbox.put_unbounded(event)

    async def _copy_upstream(self) -> RelayEvent | None:
        """Copies until the client ends.

        Returns None if writing to the server failed: the downstream pump posts that.
        """
        loop = asyncio.get_running_loop()
        buffer = bytearray(BUFFER_BYTES)
        limit = ReadLimit(self._shared_read_limit)
        hang_up = select.poll()
        hang_up.register(self.sock, 0)  # reports only a reset, and the end of both directions
        while True:
            self.awaits_client = True
            # Bytes that are discarded must not keep the client from its last line.
            if self.server_sock is not None and (delay_ms := limit.reserve(self.clock.now_ms())):
                await self.clock.sleep(delay_ms)
            count = await recv_into(loop, self.sock, buffer)
            self.awaits_client = False
            if not count:
                return RelayEvent.CLIENT_FIN
            if not self.established.is_set():
                # A server would read these bytes as a request line, or as part of another connection.
                return RelayEvent.EARLY_BYTES
            server_sock = self.server_sock
            if server_sock is None:  # already closed: bytes are discarded until the client ends
                continue
            if hang_up.poll(0):
                # The kernel still has what the client sent before. A reset is passed on at once, as a reset.
                return RelayEvent.CLIENT_RST
            if self.unanswered_since_ms is None and b"\n" in buffer[:count]:
                self.unanswered_since_ms = self.clock.now_ms()
            try:
                await loop.sock_sendall(server_sock, memoryview(buffer)[:count])
            except OSError:
                return None

    async def _pump_downstream(self) -> None:
        """Copies from server to client, and handles the server's lines."""
        try:
            event = await self._copy_downstream()
        except OSError:
            event = RelayEvent.SERVER_RST
        self.mailbox.put_unbounded(event)

    async def _copy_downstream(self) -> RelayEvent:
        """Copies until the server ends, the client can migrate, or writing to the client fails."""
        attempt, server_sock = self.attempt, self.server_sock
        assert attempt is not None and server_sock is not None, "the connection is established"
        loop = asyncio.get_running_loop()
        chunk = self.process_server_bytes(attempt.received)
        attempt.received = b""
        buffer = bytearray(BUFFER_BYTES)
        limit = ReadLimit(self._shared_read_limit)
        while True:
            if chunk:
                try:
                    await loop.sock_sendall(self.sock, chunk)
                except OSError:
                    return RelayEvent.CLIENT_RST  # the upstream pump may be blocked writing to the server
                self.established.set()
            if self.migration and not self.line_buffer.is_within_line:
                return RelayEvent.MIGRATION_POSSIBLE
            self.awaits_server = True
            if delay_ms := limit.reserve(self.clock.now_ms()):
                await self.clock.sleep(delay_ms)
            count = await recv_into(loop, server_sock, buffer)
            self.awaits_server = False
            if count:
                chunk = self.process_server_bytes(bytes(buffer[:count]))
                continue
            chunk = self.line_buffer.flush()
            if not chunk:
                return RelayEvent.SERVER_FIN

    def process_server_bytes(self, chunk: bytes) -> bytes:
        """Handles the lines that end in these bytes of the server. Returns the bytes to send to the client now."""
        forwarded = self.line_buffer.feed(chunk)
        self.on_lines(forwarded.summary)
        return forwarded.data

    # -- the sockets -----------------------------------------------------------------------------------

    def close_server_side(self, reset: bool = False) -> None:
        """Closes the server's socket. No task may wait on it."""
        if self.attempt and self.attempt.sock:
            sock, self.attempt.sock = self.attempt.sock, None
            close_socket(sock, reset)

    async def detach_server(self) -> None:
        """Closes the server's socket, and keeps reading from the client until the client ends.

        The upstream pump may be blocked writing to a server that hangs, or may have ended with that server. It is then
        restarted, since a close with unread bytes would reset the connection and the client would lose its last line.
        """
        if self.awaits_client:
            self.close_server_side()
            return
        await self.stop_pumps()
        self.close_server_side()
        self.tasks = []
        self.start_upstream_pump()

    def may_migrate(self) -> bool:
        """Returns whether the client has received only whole lines, and no bytes are being sent to it."""
        return self.awaits_server and not self.line_buffer.is_within_line

    def may_hand_over(self) -> bool:
        """Returns whether both pumps wait for bytes, and all bytes that they have read have been sent."""
        is_waiting = self.awaits_server and self.awaits_client and not self.line_buffer.pending()
        return self.established.is_set() and is_waiting and not any(task.done() for task in self.tasks)
