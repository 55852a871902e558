"""Clients whose behaviour a test or a soak sets: one request on one connection each.

They check every line that comes back, and may rest, leave, or resume a connection at a given server. The clients of
`scenario_clients` are others: they live as the simulation's workload says, over many connections, and are counted in
its measures. Both speak `request_line` by way of `client_io`.
"""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass

from ..routing.interface import Idempotency
from .client_io import connect, read_answer
from .loopback import Address, reset_connection
from .records import ConnectionEnd, RequestRecord, RunRecord
from .request_line import MOVE_LINE, PING_LINE, READY_LINE, RESUME_TIMEOUT_S, AnswerKind, RequestLine

LATE_ANSWER_TIMEOUT_S = 3.0  # past the deadline, to distinguish a late answer from none
BYE_LINE = b"BYE\r\n"


@dataclass
class ClientPlan:
    """What one client does.

    Attributes:
        balancer: number of the process.
        request_id: new with every connection.
        key: of the client.
        service: its class. `idempotency`: of that class.
        deadline_ms: how long it waits for its answer.
        stays_s: from UP until it closes.
        line_interval_s: between the lines that it sends while it is up.
        resumes_at: the server that its connection was open at before the run; empty for a new one.
        group: that it belongs to; 0 for none.
        is_retry: its connection was migrated or broke before.
        rest_s: it sends PING first, and rests this long before its request; None: it does not.
        leaves_after_s: from its request until it closes without an answer; None: it waits.
    """

    balancer: int
    request_id: str
    key: int
    service: str
    deadline_ms: float
    stays_s: float = 5.0
    line_interval_s: float = 0.5
    idempotency: Idempotency = Idempotency.SAFE
    resumes_at: str = ""
    group: int = 0
    is_retry: bool = False
    rest_s: float | None = None
    leaves_after_s: float | None = None

    def request_line(self) -> RequestLine:
        """Returns the request."""
        return RequestLine(
            self.request_id,
            f"{self.key:016x}",
            self.service,
            group=self.group or None,
            deadline_ms=self.deadline_ms,
            is_retry=self.is_retry,
            resumes_at=self.resumes_at,
        )


class Client:
    """One client, from its connect to its end.

    Attributes:
        request: what it saw.
        up: is set when its connection is established. `ended`: when it has ended.
    """

    def __init__(self, plan: ClientPlan, address: Address, record: RunRecord) -> None:
        self.plan = plan
        self.request = RequestRecord(
            plan.request_id, plan.balancer, plan.deadline_ms, plan.resumes_at, plan.idempotency
        )
        self.up = asyncio.Event()
        self.ended = asyncio.Event()
        self._address = address
        self._record = record

    async def run(self) -> RequestRecord:
        """Plays the client. A connection that did not come up leaves no record."""
        try:
            return await self._run()
        finally:
            self.ended.set()

    async def _run(self) -> RequestRecord:
        try:
            reader, writer = await connect(self._address)
        except (OSError, TimeoutError):
            return self.request
        try:
            await self._talk(reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError, RuntimeError):  # RuntimeError: uvloop, transport closed
            self._note_end(ConnectionEnd.RESET)
        finally:
            writer.close()
        return self.request

    def _note_end(self, end: ConnectionEnd) -> None:
        if self.request.end is ConnectionEnd.OPEN:
            self.request.end = end
            self.request.ended_s = time.monotonic()

    async def _talk(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        plan, request = self.plan, self.request
        if plan.rest_s is not None:
            writer.write(PING_LINE)
            if await reader.readline() != READY_LINE:
                return
            if await self._is_ended_while_resting(reader, plan.rest_s):
                return
        writer.write(plan.request_line().encode())
        request.sent_s = time.monotonic()
        self._record.requests.append(request)
        if not await self._await_answer(reader, writer):
            return
        if not request.is_up:
            further = await reader.read()
            request.unexpected = repr(further) if further else ""
            self._note_end(ConnectionEnd.FINISHED)
            return
        self.up.set()
        await self._use(reader, writer)

    async def _is_ended_while_resting(self, reader: asyncio.StreamReader, rest_s: float) -> bool:
        """Returns True where the balancer ends the connection, or announces it, before a request was sent."""
        try:
            await asyncio.wait_for(reader.read(1), rest_s)
        except TimeoutError:
            return False
        return True

    async def _await_answer(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        """Returns False where none came, or the client has left."""
        plan, request = self.plan, self.request
        wait_s = plan.deadline_ms / 1000 + LATE_ANSWER_TIMEOUT_S if not plan.resumes_at else RESUME_TIMEOUT_S
        if plan.leaves_after_s is not None:
            wait_s = min(wait_s, plan.leaves_after_s)
        answer = await read_answer(reader, wait_s)
        if answer.kind is AnswerKind.NONE:
            request.left_s = time.monotonic()
            reset_connection(writer)
            self._note_end(ConnectionEnd.LEFT)
            return False
        if answer.kind is AnswerKind.CLOSED:
            request.unexpected = repr(answer.partial) if answer.partial else ""
            self._note_end(ConnectionEnd.FINISHED)
            return False
        request.answer, request.answers = answer.text, 1
        request.answered_s = time.monotonic()
        return True

    async def _use(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Sends lines, and reads them back, until one side ends."""
        request = self.request
        until_s = time.monotonic() + self.plan.stays_s
        reading = asyncio.ensure_future(self._read_lines(reader))
        try:
            while time.monotonic() < until_s and not reading.done():
                writer.write(self._line())
                await asyncio.wait([reading], timeout=self.plan.line_interval_s)
            if reading.done():
                reading.result()
                self._note_end(ConnectionEnd.FINISHED)
            else:
                request.left_s = time.monotonic()
                self._note_end(ConnectionEnd.LEFT)
        finally:
            reading.cancel()

    def _line(self) -> bytes:
        return f"hello {self.request.request_id}\r\n".encode()

    async def _read_lines(self, reader: asyncio.StreamReader) -> None:
        request, expected = self.request, self._line()
        while line := await reader.readline():
            if line == MOVE_LINE:
                request.is_migrated = True
            elif line == BYE_LINE:
                continue
            elif line == expected:
                request.last_line_s = time.monotonic()
            else:
                request.unexpected = repr(line)
