"""The two byte pumps of a client's connection, and its sockets."""

from __future__ import annotations

import asyncio
import socket

from glenrock.routing.interface import AttemptOutcome

from .clock import Clock
from .connection_attempt import ConnectionAttempt
from .connection_messages import ConnectionMessage, RelayEvent
from .line_gate import LineBuffer
from .mailbox import Mailbox
from .socket_io import close_socket, recv_into

BUFFER_BYTES = 8192
MAX_QUEUED_MESSAGES = 32  # that may wait for one connection


class RelayPumps:
    """Owns the client's socket, and the server's once the connection is established.

    Ends that the pumps meet go to the mailbox.

    Attributes:
        sock: the client's socket.
        mailbox: messages to the connection's actor.
        attempt: the last attempt; its socket is the server's side of the relay.
        established: set once the client has its first answer.
        line_buffer: passes whole lines only.
        unanswered_since_ms: when the oldest client line without an answer was read; None without one.
        migration: how routing counts the end of the connection, while its client migrates.
        awaits_server: whether the downstream pump waits for bytes of the server.
        awaits_client: whether the upstream pump waits for bytes of the client.
        tasks: the pumps, the upstream one first.
    """

    def __init__(self, sock: socket.socket, clock: Clock) -> None:
        self.sock = sock
        self.clock = clock
        self.mailbox: Mailbox[ConnectionMessage] = Mailbox(MAX_QUEUED_MESSAGES)
        self.attempt: ConnectionAttempt | None = None
        self.established = asyncio.Event()
        self.line_buffer = LineBuffer()
        self.unanswered_since_ms: float | None = None
        self.migration: AttemptOutcome | None = None
        self.awaits_server = False
        self.awaits_client = False
        self.tasks: list[asyncio.Task[None]] = []

    def on_lines(self, lines: list[bytes]) -> None:
        """Handles lines of the server."""
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
        """Ends both pumps. uvloop allows no task to wait on a closed socket."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    async def stop_downstream_pump(self) -> None:
        """Ends the pump that reads from the server, if it was started."""
        downstream_pumps = self.tasks[1:]
        for task in downstream_pumps:
            task.cancel()
        await asyncio.gather(*downstream_pumps, return_exceptions=True)

    async def _pump_upstream(self) -> None:
        """Copies from client to server. Before the first answer it only notices the client's end."""
        end: RelayEvent | None = None
        try:
            end = await self._copy_upstream()
        except OSError:
            end = RelayEvent.CLIENT_RST
        finally:
            if end:  # None for a pump that was stopped: the client is still connected
                self.mailbox.put_unbounded(end)

    async def _copy_upstream(self) -> RelayEvent | None:
        """Copies until an end. Returns None if the server's side failed: the downstream pump reports that end."""
        loop = asyncio.get_running_loop()
        buffer = bytearray(BUFFER_BYTES)
        while True:
            self.awaits_client = True
            count = await recv_into(loop, self.sock, buffer)
            self.awaits_client = False
            if not count:
                return RelayEvent.CLIENT_FIN
            if not self.established.is_set():
                # A server would read these bytes as a request line, or as part of another connection.
                return RelayEvent.EARLY_BYTES
            server_sock = self.server_sock
            if server_sock is None:  # closed: only the client's end counts
                continue
            if self.unanswered_since_ms is None and b"\n" in buffer[:count]:
                self.unanswered_since_ms = self.clock.now_ms()
            try:
                await loop.sock_sendall(server_sock, memoryview(buffer)[:count])
            except OSError:
                return None

    async def _pump_downstream(self) -> None:
        """Copies from server to client, and handles the server's lines."""
        try:
            end = await self._copy_downstream()
        except OSError:
            end = RelayEvent.SERVER_RST
        if end:
            self.mailbox.put_unbounded(end)

    async def _copy_downstream(self) -> RelayEvent | None:
        """Copies until an end. Returns None if the client's side failed: the upstream pump reports that end."""
        attempt, server_sock = self.attempt, self.server_sock
        assert attempt is not None and server_sock is not None, "the connection is established"
        loop = asyncio.get_running_loop()
        chunk = self.process_server_bytes(attempt.received)
        attempt.received = b""
        buffer = bytearray(BUFFER_BYTES)
        while True:
            if chunk:
                try:
                    await loop.sock_sendall(self.sock, chunk)
                except OSError:
                    return None
                self.established.set()
            if self.migration and not self.line_buffer.is_within_line:
                return RelayEvent.MIGRATION_POSSIBLE
            self.awaits_server = True
            count = await recv_into(loop, server_sock, buffer)
            self.awaits_server = False
            if count:
                chunk = self.process_server_bytes(bytes(buffer[:count]))
                continue
            chunk = self.line_buffer.flush()
            if not chunk:
                return RelayEvent.SERVER_FIN

    def process_server_bytes(self, chunk: bytes) -> bytes:
        """Handles the lines in bytes of the server. Returns the bytes that may be sent to the client now."""
        passed = self.line_buffer.feed(chunk)
        self.on_lines(passed.lines)
        return passed.data

    # -- the sockets -----------------------------------------------------------------------------------

    def close_server_side(self, reset: bool = False) -> None:
        """Closes the server's socket. No task may wait on it."""
        if self.attempt and self.attempt.sock:
            sock, self.attempt.sock = self.attempt.sock, None
            close_socket(sock, reset)

    async def detach_server(self) -> None:
        """Closes the server's socket, and keeps reading from the client until its end.

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
        """Returns whether the client has received whole lines only, and no bytes for it are being sent."""
        return self.awaits_server and not self.line_buffer.is_within_line

    def may_hand_over(self) -> bool:
        """Returns whether both pumps wait, and all bytes that were read have been sent."""
        is_waiting = self.awaits_server and self.awaits_client and not self.line_buffer.pending()
        return self.established.is_set() and is_waiting and not any(task.done() for task in self.tasks)
