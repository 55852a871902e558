"""Stand-ins for session servers: the protocol on sockets, and behind it a server whose behaviour a test sets."""

from __future__ import annotations

import asyncio
import functools
import time
from abc import ABC, abstractmethod
from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum

from .invariant import NEVER
from .loopback import Address, Listener, reset_connection
from .records import AttemptRecord, RunRecord
from .request_line import OPEN, PING, READY_LINE, STATS, RequestLine

ANY_BALANCER = -1  # the address of a server that does not distinguish its balancers


@dataclass(frozen=True, slots=True)
class ReceivedRequest:
    """A request line that reached a session server, and its connection.

    Attributes:
        balancer: whose address it came to; ANY_BALANCER where the server does not distinguish them.
        first_byte_s: of the line, monotonic.
    """

    line: RequestLine
    balancer: int
    first_byte_s: float
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter


class SessionServer(ABC):
    """Reads request lines and health checks; a subclass answers them.

    Attributes:
        name: as the endpoint list has it.
        idle_timeout_s: after which it closes a connection that has sent no request; None: never.
        accepted_connections: of all kinds.
    """

    def __init__(self, name: str, addresses: Mapping[int, Address]) -> None:
        self.name = name
        self.idle_timeout_s: float | None = None
        self.accepted_connections = 0
        self._writers: set[asyncio.StreamWriter] = set()
        self._listeners = {
            balancer: Listener(address, functools.partial(self._serve, balancer))
            for balancer, address in addresses.items()
        }

    def address(self, balancer: int = ANY_BALANCER) -> Address:
        """Returns where that balancer connects."""
        return self._listeners[balancer].address

    def _listen(self) -> None:
        for listener in self._listeners.values():
            listener.open()

    def _refuse(self) -> None:
        for listener in self._listeners.values():
            listener.refuse()

    def close(self) -> None:
        """Ends all connections, at the end of the run."""
        for listener in self._listeners.values():
            listener.close()

    async def _serve(self, balancer: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.accepted_connections += 1
        self._writers.add(writer)
        try:
            await self._serve_lines(balancer, reader, writer)
        finally:
            self._writers.discard(writer)

    async def _serve_lines(self, balancer: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            try:
                first = await asyncio.wait_for(reader.read(1), self.idle_timeout_s)
            except TimeoutError:
                return
            if not first:
                return
            first_byte_s = time.monotonic()
            line = first + await reader.readline()
            word = line.split(b" ", 1)[0].strip()
            if word == OPEN:
                request = ReceivedRequest(RequestLine.decode(line), balancer, first_byte_s, reader, writer)
                await self._serve_request(request)
                return
            if word not in (PING, STATS):
                self._note_unknown_line(line)
                return
            await self._answer_health_check(word == STATS, writer)

    def _note_unknown_line(self, line: bytes) -> None:  # noqa: B027 - only one kind of server keeps a history
        """Is called with a line that is not of the protocol, before its connection is closed."""

    @abstractmethod
    async def _answer_health_check(self, wants_report: bool, writer: asyncio.StreamWriter) -> None:
        """Answers PING, or STATS with a load report."""

    @abstractmethod
    async def _serve_request(self, request: ReceivedRequest) -> None:
        """Serves a request to the end of its connection."""


class ServerMode(Enum):
    """How a scripted server behaves."""

    SERVES = "serves"
    HANGS = "hangs"
    """Reads and sends nothing."""
    ERRORS = "errors"
    BUSY = "busy"
    RESETS = "resets"
    """Resets the connection of each request."""


LOAD_REPORT = b"PONG util=0.30,queue=0,x0=0.30\r\n"
ERROR_ANSWERS = {ServerMode.ERRORS: b"ERR\r\n", ServerMode.BUSY: b"BUSY\r\n"}
SPLIT_BYTES = 3  # of the second piece of a line that is sent in two


class ScriptedServer(SessionServer):
    """A session server whose behaviour is set from outside. It adds each attempt to the records of the run.

    Attributes:
        mode: its behaviour now.
        setup_s: time from a request line to its answer.
        piece_gap_s: between the two pieces of a line that it sends; 0: in one piece.
        health_checks: answered so far.
    """

    def __init__(self, name: str, address: Address, record: RunRecord) -> None:
        super().__init__(name, {ANY_BALANCER: address})
        self.mode = ServerMode.SERVES
        self.setup_s = 0.0
        self.piece_gap_s = 0.0
        self.health_checks = 0
        self._record = record
        self._open: dict[AttemptRecord, asyncio.StreamWriter] = {}

    @property
    def hangs(self) -> bool:
        """Whether it reads and sends nothing."""
        return self.mode is ServerMode.HANGS

    @property
    def is_up(self) -> bool:
        """Whether its process runs."""
        return self._listeners[ANY_BALANCER].is_open

    def set_mode(self, mode: ServerMode) -> None:
        """Changes the behaviour from now on."""
        self.mode = mode
        if mode is ServerMode.HANGS:
            for attempt in self._open:
                attempt.hung_s = min(attempt.hung_s, time.monotonic())

    def start(self) -> None:
        """Starts the process."""
        self._listen()

    def crash(self) -> None:
        """Ends the process: connections are reset, new ones refused."""
        self._refuse()
        for attempt, writer in list(self._open.items()):
            attempt.ended_by_server = True
            reset_connection(writer)
        for writer in list(self._writers):
            reset_connection(writer)

    def end_connections(self) -> None:
        """Ends all established connections in order; none while lines are sent in pieces."""
        if self.piece_gap_s:
            return
        for attempt, writer in self._open.items():
            if attempt.up_s < NEVER and not self.hangs:
                attempt.ended_by_server = True
                writer.write(b"BYE\r\n")
                writer.write_eof()

    async def _answer_health_check(self, wants_report: bool, writer: asyncio.StreamWriter) -> None:
        if self.hangs:
            return
        self.health_checks += 1
        writer.write(LOAD_REPORT if wants_report else READY_LINE)

    async def _serve_request(self, request: ReceivedRequest) -> None:
        line = request.line
        attempt = AttemptRecord(line.request_id, self.name, line.is_resumed, request.first_byte_s, time.monotonic())
        self._record.attempts.append(attempt)
        self._open[attempt] = request.writer
        try:
            await self._answer(attempt, request.reader, request.writer)
        finally:
            del self._open[attempt]
            attempt.ended_s = time.monotonic()

    async def _answer(self, attempt: AttemptRecord, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.setup_s:
            await asyncio.sleep(self.setup_s)
        if self.hangs:
            await reader.read()
            return
        if self.mode is ServerMode.RESETS:
            attempt.ended_by_server = True
            reset_connection(writer)
            return
        if answer := ERROR_ANSWERS.get(self.mode):
            attempt.ended_by_server = True
            attempt.answer = answer.decode().strip()
            writer.write(answer)
            await writer.drain()
            return
        attempt.up_s = time.monotonic()
        attempt.answer = "UP"
        await self._write_line(writer, f"UP {self.name}-{attempt.request_id}\r\n".encode())
        while line := await reader.readline():
            if not self.hangs and not attempt.ended_by_server:
                await self._write_line(writer, line)

    async def _write_line(self, writer: asyncio.StreamWriter, line: bytes) -> None:
        if self.piece_gap_s:
            writer.write(line[:-SPLIT_BYTES])
            await writer.drain()
            await asyncio.sleep(self.piece_gap_s)
            line = line[-SPLIT_BYTES:]
        writer.write(line)
        await writer.drain()
