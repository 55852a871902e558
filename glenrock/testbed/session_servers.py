"""Stand-ins for session servers: the protocol on sockets, and what can go wrong with one."""

from __future__ import annotations

import asyncio
import time
from enum import Enum

from .invariant import NEVER
from .loopback import Address, Listener, reset_connection
from .records import AttemptRecord, RunRecord

REPORT = b"PONG util=0.30,queue=0,x0=0.30\r\n"
ERROR_ANSWERS = {"errors": b"ERR\r\n", "busy": b"BUSY\r\n"}


class ServerMode(Enum):
    """How a session server behaves. HANGS: it reads, and says nothing. RESETS: it resets who has sent its line."""

    SERVES = "serves"
    HANGS = "hangs"
    ERRORS = "errors"
    BUSY = "busy"
    RESETS = "resets"


class SessionServer:
    """One session server.

    Attributes:
        name: as the list tells it.
        mode: how it behaves now.
        setup_s: it answers a first line so long after it came.
        piece_gap_s: a line is written in two pieces so far apart; 0: whole.
        idle_s: it closes a connection for health checks that has been idle so long; None: it keeps them.
        connections_taken: of all kinds. `health_checks`: questions answered.
    """

    def __init__(self, name: str, address: Address, record: RunRecord) -> None:
        self.name = name
        self.mode = ServerMode.SERVES
        self.setup_s = 0.0
        self.idle_s: float | None = None
        self.piece_gap_s = 0.0
        self.connections_taken = 0
        self.health_checks = 0
        self._record = record
        self._open: dict[AttemptRecord, asyncio.StreamWriter] = {}
        self._writers: set[asyncio.StreamWriter] = set()
        self._listener = Listener(address, self._serve)

    @property
    def address(self) -> Address:
        """Where balancers connect."""
        return self._listener.address

    @property
    def hangs(self) -> bool:
        """Whether it reads and says nothing."""
        return self.mode is ServerMode.HANGS

    @property
    def is_up(self) -> bool:
        """Whether its process runs."""
        return self._listener.sock is not None

    @property
    def open_attempts(self) -> list[AttemptRecord]:
        """Those that have not ended."""
        return list(self._open)

    def set_mode(self, mode: ServerMode) -> None:
        """Behaves so from now on."""
        self.mode = mode
        if mode is ServerMode.HANGS:
            for attempt in self._open:
                attempt.hung_s = min(attempt.hung_s, time.monotonic())

    def start(self) -> None:
        """Its process starts."""
        self._listener.open()

    def crash(self) -> None:
        """Its process dies: connections are reset, new ones refused."""
        self._listener.refuse()
        for record, writer in list(self._open.items()):
            record.ended_by_server = True
            reset_connection(writer)
        for writer in list(self._writers):
            reset_connection(writer)

    def end_all(self) -> None:
        """Serves all that stand there to their end; not while a line of it is under way in pieces."""
        if self.piece_gap_s:
            return
        for record, writer in self._open.items():
            if record.up_s < NEVER and not self.hangs:
                record.ended_by_server = True
                writer.write(b"BYE\r\n")
                writer.write_eof()

    def close(self) -> None:
        """The end of the run."""
        self._listener.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections_taken += 1
        self._writers.add(writer)
        try:
            await self._serve_lines(reader, writer)
        finally:
            self._writers.discard(writer)

    async def _serve_lines(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            try:
                first = await asyncio.wait_for(reader.read(1), self.idle_s)
            except TimeoutError:
                return
            if not first:
                return
            first_byte_s = time.monotonic()
            line = first + await reader.readline()
            word = line.split(b" ", 1)[0].strip()
            if word == b"OPEN":
                await self._serve_request(line, first_byte_s, reader, writer)
                return
            if self.hangs:
                continue
            self.health_checks += 1
            writer.write(REPORT if word == b"STATS" else b"PONG\r\n")

    async def _serve_request(
        self, line: bytes, first_byte_s: float, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        _, request_id, _, fields = line.decode().split()
        record = AttemptRecord(request_id, self.name, ",at=" in f",{fields}", first_byte_s, time.monotonic())
        self._record.attempts.append(record)
        self._open[record] = writer
        try:
            await self._answer(record, reader, writer)
        finally:
            del self._open[record]
            record.ended_s = time.monotonic()

    async def _answer(self, record: AttemptRecord, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.setup_s:
            await asyncio.sleep(self.setup_s)
        if self.hangs:
            await reader.read()
            return
        if self.mode is ServerMode.RESETS:
            record.ended_by_server = True
            reset_connection(writer)
            return
        if answer := ERROR_ANSWERS.get(self.mode.value):
            record.ended_by_server = True
            record.answer = answer.decode().strip()
            writer.write(answer)
            await writer.drain()
            return
        record.up_s = time.monotonic()
        record.answer = "UP"
        await self._write_line(writer, f"UP {self.name}-{record.request_id}\r\n".encode())
        while line := await reader.readline():
            if not self.hangs and not record.ended_by_server:
                await self._write_line(writer, line)

    async def _write_line(self, writer: asyncio.StreamWriter, line: bytes) -> None:
        if self.piece_gap_s:
            writer.write(line[:-3])
            await writer.drain()
            await asyncio.sleep(self.piece_gap_s)
            line = line[-3:]
        writer.write(line)
        await writer.drain()
