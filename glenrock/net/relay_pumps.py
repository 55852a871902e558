"""Both ways of a client's connection: bytes copied, ends met, and the sockets closed."""

from __future__ import annotations

import asyncio
import socket

from glenrock.routing.interface import AttemptOutcome

from .clock import Clock
from .connection_attempt import ConnectionAttempt
from .connection_messages import ConnectionMessage, RelayEnd
from .line_gate import LineGate
from .mailbox import Mailbox
from .socket_io import close_socket, recv_into

BUFFER_BYTES = 8192
MAX_MAIL = 32  # messages that may wait for one connection


class RelayPumps:
    """Owns the client's socket, and the server's once the connection is up. Ends go to the mailbox.

    Attributes:
        attempt: the last one; its socket is the relay's.
        up: the client has its first answer.
        gate: passes on whole lines only.
        asked_at: the oldest client line that nothing has answered.
        migrating: how the connection counts as ended, while a move of its client is under way.
        idle: the down pump waits for the server. `idle_up`: the other one for the client.
    """

    def __init__(self, sock: socket.socket, clock: Clock) -> None:
        self.sock = sock
        self.clock = clock
        self.mailbox: Mailbox[ConnectionMessage] = Mailbox(MAX_MAIL)
        self.attempt: ConnectionAttempt | None = None
        self.up = asyncio.Event()
        self.gate = LineGate()
        self.asked_at: float | None = None
        self.migrating: AttemptOutcome | None = None
        self.idle = False
        self.idle_up = False
        self.tasks: list[asyncio.Task[None]] = []

    def on_lines(self, lines: list[bytes]) -> None:
        """Lines of the server have come."""
        raise NotImplementedError

    @property
    def server_sock(self) -> socket.socket | None:
        """The server's side; None while there is none, and once it is closed."""
        return self.attempt.sock if self.attempt else None

    # -- the pumps -------------------------------------------------------------------------------------

    def start_pump_up(self) -> None:
        """The client's side is read from now on."""
        self.tasks.append(asyncio.get_running_loop().create_task(self._pump_up()))

    def start_pump_down(self) -> None:
        """The server's side is read from now on."""
        self.tasks.append(asyncio.get_running_loop().create_task(self._pump_down()))

    def start_pumps(self) -> None:
        """Both sides are read from now on."""
        self.tasks = []
        self.start_pump_up()
        self.start_pump_down()

    async def stop_pumps(self, first: int = 0) -> None:
        """Ends the pumps from that one on: uvloop wants nobody waiting on a socket that is closed."""
        for task in self.tasks[first:]:
            task.cancel()
        await asyncio.gather(*self.tasks[first:], return_exceptions=True)

    async def _pump_up(self) -> None:
        """Client to server; before UP it only notices the client's end."""
        end: RelayEnd | None = None
        try:
            end = await self._copy_up()
        except OSError:
            end = RelayEnd.CLIENT_RST
        finally:
            if end:  # none where it was stopped: the client is still there
                self.mailbox.deliver(end)

    async def _copy_up(self) -> RelayEnd | None:
        """Until an end. None where the server's side failed: that is told by the other pump."""
        loop = asyncio.get_running_loop()
        buffer = bytearray(BUFFER_BYTES)
        while True:
            self.idle_up = True
            count = await recv_into(loop, self.sock, buffer)
            self.idle_up = False
            if not count:
                return RelayEnd.CLIENT_FIN
            if not self.up.is_set():
                # A client waits for its answer. What it sends before must never reach a server: it would be read there
                # as a first line, or as one of another connection.
                return RelayEnd.TOO_EARLY
            server_sock = self.server_sock
            if server_sock is None:  # closed: only the client's end counts
                continue
            if self.asked_at is None and b"\n" in buffer[:count]:
                self.asked_at = self.clock.now()
            try:
                await loop.sock_sendall(server_sock, memoryview(buffer)[:count])
            except OSError:
                return None

    async def _pump_down(self) -> None:
        """Server to client, and what the lines tell."""
        try:
            end = await self._copy_down()
        except OSError:
            end = RelayEnd.SERVER_RST
        if end:
            self.mailbox.deliver(end)

    async def _copy_down(self) -> RelayEnd | None:
        """Until an end. None where the client's side failed: that is told by the other pump."""
        attempt, server_sock = self.attempt, self.server_sock
        assert attempt is not None and server_sock is not None, "the connection is up"
        loop = asyncio.get_running_loop()
        chunk = self.cut(attempt.first)
        attempt.first = b""
        buffer = bytearray(BUFFER_BYTES)
        while True:
            if chunk:
                try:
                    await loop.sock_sendall(self.sock, chunk)
                except OSError:
                    return None
                self.up.set()
            if self.migrating and not self.gate.mid_line:
                return RelayEnd.BETWEEN_LINES
            self.idle = True
            count = await recv_into(loop, server_sock, buffer)
            self.idle = False
            if count:
                chunk = self.cut(bytes(buffer[:count]))
                continue
            chunk = self.gate.release()
            if not chunk:
                return RelayEnd.SERVER_FIN

    def cut(self, chunk: bytes) -> bytes:
        """What may be passed on to the client now; what the lines tell is taken in."""
        passed = self.gate.feed(chunk)
        self.on_lines(passed.lines)
        return passed.data

    # -- the sockets -----------------------------------------------------------------------------------

    def close_server_side(self, reset: bool = False) -> None:
        """Closes the server's side; nobody may wait on it."""
        if self.attempt and self.attempt.sock:
            sock, self.attempt.sock = self.attempt.sock, None
            close_socket(sock, reset)

    async def leave_server(self) -> None:
        """Closes the server's side, while the client's end is still looked out for.

        The up pump may wait for room at a server that hangs, or have ended with it. Nobody would read what the client
        sends then, and a close over it takes the client's last line along.
        """
        if self.idle_up:
            self.close_server_side()
            return
        await self.stop_pumps()
        self.close_server_side()
        self.tasks = []
        self.start_pump_up()

    def may_move(self) -> bool:
        """The client stands between two lines, and nothing that was read is on its way to it."""
        return self.idle and not self.gate.mid_line

    def still(self) -> bool:
        """Up, and both pumps wait with nothing read that is not written."""
        waits = self.idle and self.idle_up and not self.gate.held()
        return self.up.is_set() and waits and not any(task.done() for task in self.tasks)
