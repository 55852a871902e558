"""Stand-ins for clients: one request on one connection each, and what bad clients do."""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass

from .loopback import Address, reset_connection
from .records import ConnectionEnd, Idempotency, RequestRecord, RunRecord

LATE_ANSWER_S = 3.0  # an answer is awaited this long past the deadline, so that a late one is told from none
STANDING_WAIT_S = 40.0
CONNECT_S = 1.0


@dataclass
class ClientPlan:
    """What one client does.

    Attributes:
        balancer: number of the process.
        request_id: new with every connection.
        key: of its flow.
        service: its class. `effect`: of that class, for the judge.
        deadline_ms: how long it waits for its answer.
        stays_s: it closes so long after UP.
        line_every_s: it sends a line so often while it is up.
        standing_at: the server that it stood at before.
        group: that it belongs to; 0 for none.
        returns: it comes back after a move or a break.
        pings_first: it asks PING first, and rests so long before its request.
        leaves_after_s: it closes before its answer; None: it waits.
    """

    balancer: int
    request_id: str
    key: int
    service: str
    deadline_ms: float
    stays_s: float = 5.0
    line_every_s: float = 0.5
    effect: str = "safe"
    standing_at: str = ""
    group: int = 0
    returns: bool = False
    pings_first: float | None = None
    leaves_after_s: float | None = None

    def line(self) -> bytes:
        """The first line."""
        fields = [f"c={self.service}", f"d={self.deadline_ms:.0f}"]
        if self.group:
            fields.append(f"g={self.group:x}")
        if self.returns:
            fields.append("again=1")
        if self.standing_at:
            fields.append(f"at={self.standing_at}")
        return f"OPEN {self.request_id} {self.key:016x} {','.join(fields)}\r\n".encode()


class Client:
    """One client, from its connect to its end."""

    def __init__(self, plan: ClientPlan, address: Address, record: RunRecord) -> None:
        self.plan = plan
        self.request = RequestRecord(
            plan.request_id, plan.balancer, plan.deadline_ms, plan.standing_at, Idempotency(plan.effect)
        )
        self.up = asyncio.Event()
        self.ended = asyncio.Event()
        self._address = address
        self._record = record

    async def run(self) -> RequestRecord:
        """Plays the client. A connection that never came up leaves no record."""
        try:
            return await self._run()
        finally:
            self.ended.set()

    async def _run(self) -> RequestRecord:
        try:
            connecting = asyncio.open_connection(*self._address)
            reader, writer = await asyncio.wait_for(connecting, CONNECT_S)
        except (OSError, TimeoutError):
            return self.request
        try:
            await self._talk(reader, writer)
        except (
            ConnectionError,
            asyncio.IncompleteReadError,
            RuntimeError,
        ):  # uvloop's word for a transport that is gone
            self._ended(ConnectionEnd.RESET)
        finally:
            writer.close()
        return self.request

    def _ended(self, how: ConnectionEnd) -> None:
        if self.request.end is ConnectionEnd.OPEN:
            self.request.end = how
            self.request.ended_s = time.monotonic()

    async def _talk(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        plan, request = self.plan, self.request
        if plan.pings_first is not None:
            writer.write(b"PING\r\n")
            if await reader.readline() != b"PONG\r\n":
                return
            if await self._rest_was_ended(reader, plan.pings_first):
                return
        writer.write(plan.line())
        request.sent_s = time.monotonic()
        self._record.requests.append(request)
        if not await self._await_answer(reader, writer):
            return
        if not request.is_up:
            await reader.read()
            self._ended(ConnectionEnd.FINISHED)
            return
        self.up.set()
        await self._use(reader, writer)

    async def _rest_was_ended(self, reader: asyncio.StreamReader, rest_s: float) -> bool:
        """Rests so long; true where the balancer ended the connection or said that it will, before a request."""
        try:
            await asyncio.wait_for(reader.read(1), rest_s)
        except TimeoutError:
            return False
        return True

    async def _await_answer(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        """False where none came, or the client has left."""
        plan, request = self.plan, self.request
        wait_s = plan.deadline_ms / 1000 + LATE_ANSWER_S if not plan.standing_at else STANDING_WAIT_S
        if plan.leaves_after_s is not None:
            wait_s = min(wait_s, plan.leaves_after_s)
        try:
            line = await asyncio.wait_for(reader.readline(), wait_s)
        except TimeoutError:
            request.left_s = time.monotonic()
            reset_connection(writer)
            self._ended(ConnectionEnd.LEFT)
            return False
        if not line.endswith(b"\r\n"):
            request.unexpected = repr(line) if line else ""
            self._ended(ConnectionEnd.FINISHED)
            return False
        request.answer = line.decode("latin-1").strip()
        request.answered_s = time.monotonic()
        request.answers = 1
        return True

    async def _use(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Sends lines, and reads them back, until one side ends."""
        request = self.request
        until_s = time.monotonic() + self.plan.stays_s
        reading = asyncio.ensure_future(self._read_lines(reader))
        try:
            while time.monotonic() < until_s and not reading.done():
                writer.write(f"hello {request.request_id}\r\n".encode())
                await asyncio.wait([reading], timeout=self.plan.line_every_s)
            if reading.done():
                reading.result()
                self._ended(ConnectionEnd.FINISHED)
            else:
                request.left_s = time.monotonic()
                self._ended(ConnectionEnd.LEFT)
        finally:
            reading.cancel()

    async def _read_lines(self, reader: asyncio.StreamReader) -> None:
        request = self.request
        expected = f"hello {request.request_id}\r\n".encode()
        while line := await reader.readline():
            if line == b"MOVE\r\n":
                request.is_migrated = True
            elif line == b"BYE\r\n":
                continue
            elif line == expected:
                request.last_line_s = time.monotonic()
            else:
                request.unexpected = repr(line)
