"""Clients of a scenario: an open loop of connections, drawn ahead as the simulation's workload.

Each client arrives and leaves at its planned times, whatever it was answered, and retries as the scenario says. It
notes what it sees in the history, and counts in the simulation's measures. The clients of `clients` are others: one
connection each, with the behaviour that a test or a soak sets. Both speak `request_line` by way of `client_io`.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections import Counter
from collections.abc import Callable, Coroutine, MutableMapping
from dataclasses import dataclass
from enum import Enum
from typing import Any, cast

from .client_io import connect, read_answer
from .frontend import Frontend
from .history import US_PER_S, History
from .history_events import (
    ClosedUnanswered,
    ConnectionEnded,
    EndCause,
    EventData,
    RequestAnswered,
    RequestGivenUp,
    RequestSent,
)
from .loopback import Address
from .real_time_engine import RealTimeEngine
from .records import CLIENTS
from .request_line import MOVE_LINE, RESUME_TIMEOUT_S, Answer, AnswerKind, RequestLine
from .scenario import Scenario, drawn_number
from .simulation_model import ClientDelays, ModelClient, PlannedClient

EXTRA_WAIT_S = 2.0  # past the deadline, before an answer counts as lost


class SetUpFailure(Enum):
    """Why a client's connection was not established."""

    UNREACHABLE = "unreachable"
    NO_ANSWER = "no answer"
    REJECTED = "rejected"
    FAILED = "failed"


BROKEN = (EndCause.FINISHED, EndCause.RESET)


@dataclass(frozen=True, slots=True)
class ConnectionOutcome:
    """How one connection of a client went.

    Attributes:
        result: why it was not established, or how it ended.
        retry_after_us: the delay of a rejection; 0 where it has none.
    """

    result: SetUpFailure | EndCause
    retry_after_us: int = 0


@dataclass(frozen=True, slots=True)
class SentRequest:
    """A request line, and the connection that it is sent on. `balancer`: number."""

    line: RequestLine
    balancer: int
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter


@dataclass(eq=False, slots=True)
class WorkloadClient:
    """A client of the workload.

    Attributes:
        planned: when it is there, and what it wants.
        tries: connections so far.
        failures: in a row, since it was last connected.
        is_returning: its connection was migrated or broke.
        is_connected: its connection is established.
    """

    planned: PlannedClient
    tries: int = 0
    failures: int = 0
    is_returning: bool = False
    is_connected: bool = False

    def as_model(self) -> ModelClient:
        """Returns the client as the simulation's habits read it: its failures alone."""
        return cast(ModelClient, self)


@dataclass(frozen=True, slots=True)
class ClientEnvironment:
    """What all clients of a run share.

    Attributes:
        addresses: of the balancers, as clients reach them.
        habits: draws the times that clients wait.
        clients: by request id; each connection adds its own.
        counts: of the measures, by the simulation's names.
        note_wait: counts the microseconds until a client of a class was set up.
    """

    scenario: Scenario
    frontend: Frontend
    addresses: list[Address]
    habits: ClientDelays
    engine: RealTimeEngine
    history: History
    clients: MutableMapping[str, PlannedClient]
    counts: Counter[str] | dict[str, int]
    note_wait: Callable[[int, int], None]


class ScenarioClients:
    """All clients of a run.

    Attributes:
        resuming: connections that were open before the run and are not set up again yet.
    """

    def __init__(self, planned: list[PlannedClient], environment: ClientEnvironment) -> None:
        self.resuming = 0
        self._clients = [WorkloadClient(client) for client in planned]
        self._environment = environment
        self._engine, self._counts = environment.engine, environment.counts
        self._tasks: set[asyncio.Task[None]] = set()
        self._resumed_ends: list[tuple[PlannedClient, asyncio.Timeout]] = []

    # -- figures ---------------------------------------------------------------------------------------

    def elapsed_s(self) -> float:
        """Returns the time of the measured part of the run; 0 before it."""
        return (self._engine.now - self._engine.measured_from_us) / US_PER_S if self._engine.measured_from_us else 0.0

    def connected(self) -> int:
        """Returns how many clients are connected."""
        return sum(client.is_connected for client in self._clients)

    def waiting(self) -> int:
        """Returns how many clients are there and not connected."""
        now_us = self.elapsed_s() * US_PER_S
        return sum(
            not client.is_connected and client.planned.arrival_us <= now_us < client.planned.end_us
            for client in self._clients
        )

    # -- all clients -----------------------------------------------------------------------------------

    def resume_connections(self, balancers: int, servers: list[str]) -> None:
        """Sets the connections up that were open before the run: evenly over the balancers, each at its own server."""
        resuming = [client for client in self._clients if client.planned.arrival_us < 0]
        self.resuming = len(resuming)
        for number, client in enumerate(resuming):
            server = servers[client.planned.group % len(servers)]
            self._start(self._live(client, number % balancers, server))

    def begin(self) -> None:
        """Begins the measured part of the run: from now on planned times count, also for resumed connections."""
        for planned, timeout in self._resumed_ends:
            with contextlib.suppress(RuntimeError):  # it has ended meanwhile
                timeout.reschedule(self._engine.loop_time_s(planned.end_us))
        self._resumed_ends.clear()
        for client in self._clients:
            if client.planned.arrival_us >= 0:
                self._start(self._live(client))

    def _start(self, client: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(client)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def close(self) -> None:
        """Ends all clients."""
        for task in self._tasks:
            task.cancel()

    # -- one client ------------------------------------------------------------------------------------

    async def _live(self, client: WorkloadClient, balancer: int | None = None, resumes_at: str = "") -> None:
        """Connects until the client's planned end. A balancer and a server are given for a resumed connection."""
        planned, habits = client.planned, self._environment.habits
        await asyncio.sleep(max(0.0, planned.arrival_us / US_PER_S - self.elapsed_s()))
        self._counts["clients"] += 1
        waits_since_us = self._engine.now
        while self.elapsed_s() * US_PER_S < planned.end_us:
            number = balancer if balancer is not None else self._environment.frontend.pick()
            if number is None:
                self._counts["unreachable"] += 1
                client.failures += 1
                await asyncio.sleep(habits.delay_after_failure(client.as_model()) / US_PER_S)
                continue
            outcome = await self._connect_once(client, number, waits_since_us, resumes_at)
            balancer, resumes_at = None, ""
            if outcome.result is EndCause.CLOSED_BY_CLIENT:
                return
            if isinstance(outcome.result, EndCause):
                client.is_returning, waits_since_us = True, self._engine.now
            await asyncio.sleep(self._retry_delay_us(client, outcome) / US_PER_S)

    def _retry_delay_us(self, client: WorkloadClient, outcome: ConnectionOutcome) -> int:
        habits = self._environment.habits
        if outcome.result is EndCause.MIGRATED:
            return habits.delay_after_migration()
        if outcome.result in BROKEN:
            return habits.delay_after_break()
        if outcome.result is SetUpFailure.REJECTED:
            return habits.delay_after_rejection(client.as_model(), outcome.retry_after_us)
        return habits.delay_after_failure(client.as_model())

    async def _connect_once(
        self, client: WorkloadClient, balancer: int, waits_since_us: int, resumes_at: str
    ) -> ConnectionOutcome:
        client.tries += 1
        self._counts["tries"] += 1
        line = self._request_line(client, resumes_at)
        self._environment.clients[line.request_id] = client.planned
        try:
            reader, writer = await connect(self._environment.addresses[balancer])
        except (OSError, TimeoutError):
            self._counts["unreachable"] += 1
            client.failures += 1
            self.resuming -= bool(resumes_at)
            return ConnectionOutcome(SetUpFailure.UNREACHABLE)
        request = SentRequest(line, balancer, reader, writer)
        try:
            answer = await self._request(client, request)
            if answer.kind is AnswerKind.UP:
                waited_us = max(1, self._engine.now - waits_since_us)
                self._environment.note_wait(client.planned.class_index, waited_us)
                return ConnectionOutcome(await self._stay(client, request))
            client.failures += 1
            return ConnectionOutcome(_failure_of(answer), answer.retry_after_us)
        finally:
            writer.close()

    def _request_line(self, client: WorkloadClient, resumes_at: str) -> RequestLine:
        planned, scenario = client.planned, self._environment.scenario
        kind = scenario.classes[planned.class_index]
        return RequestLine(
            f"{planned.number}.{client.tries}",
            f"{planned.number:x}",
            kind.name,
            tenant=scenario.tenants[planned.tenant].name,
            group=planned.group,
            deadline_ms=None if resumes_at else drawn_number(kind.give_up_ms),
            is_retry=client.is_returning and not resumes_at,
            resumes_at=resumes_at,
        )

    async def _request(self, client: WorkloadClient, request: SentRequest) -> Answer:
        line = request.line
        kind = self._environment.scenario.classes[client.planned.class_index]
        timeout_s = RESUME_TIMEOUT_S if line.is_resumed else drawn_number(kind.give_up_ms) / 1000
        try:
            request.writer.write(line.encode())
            self._note(RequestSent(line.request_id, request.balancer, timeout_s * 1000, line.resumes_at))
            return await self._read_answer(request, timeout_s)
        finally:
            self.resuming -= line.is_resumed

    async def _read_answer(self, request: SentRequest, timeout_s: float) -> Answer:
        request_id, balancer = request.line.request_id, request.balancer
        try:
            answer = await read_answer(request.reader, timeout_s + EXTRA_WAIT_S)
        except OSError:
            answer = Answer(AnswerKind.CLOSED)
        if answer.kind is AnswerKind.NONE:
            self._counts["overdue"] += 1
            self._note(RequestGivenUp(request_id, balancer))
        elif answer.kind is AnswerKind.CLOSED:
            self._counts["broken"] += 1
            self._note(ClosedUnanswered(request_id, balancer))
        elif answer.kind is AnswerKind.UP:
            self._counts["set_up"] += 1
            self._note(RequestAnswered(request_id, balancer, answer.word, answer.server))
        else:
            self._counts["refused" if answer.kind is AnswerKind.BUSY else "failed"] += 1
            self._note(RequestAnswered(request_id, balancer, answer.word))
            await self._read_further_answers(request)
        return answer

    async def _read_further_answers(self, request: SentRequest) -> None:
        """Notes each line after the answer, up to the end of the connection: there should be none."""
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(EXTRA_WAIT_S):
                while line := await request.reader.readline():
                    self._note(RequestAnswered(request.line.request_id, request.balancer, repr(line)))

    async def _stay(self, client: WorkloadClient, request: SentRequest) -> EndCause:
        """Uses an established connection until one side ends it."""
        client.is_connected, client.failures = True, 0
        sending = asyncio.ensure_future(self._send_lines(request.writer))
        cause = EndCause.CLOSED_BY_CLIENT
        try:
            async with asyncio.timeout(max(0.0, client.planned.end_us / US_PER_S - self.elapsed_s())) as timeout:
                if client.planned.arrival_us < 0 and not client.is_returning and not self._engine.measured_from_us:
                    self._resumed_ends.append((client.planned, timeout))
                cause = await self._read_to_end(request.reader)
        except TimeoutError:
            pass
        except OSError:
            cause = EndCause.RESET
        finally:
            client.is_connected = False
            sending.cancel()
        if cause in BROKEN:
            self._counts["broken"] += 1
        self._note(ConnectionEnded(request.line.request_id, request.balancer, cause))
        return cause

    async def _read_to_end(self, reader: asyncio.StreamReader) -> EndCause:
        while True:
            line = await reader.readline()
            if not line.endswith(b"\n"):
                return EndCause.FINISHED
            if line == MOVE_LINE:
                self._counts["moved"] += 1
                return EndCause.MIGRATED

    async def _send_lines(self, writer: asyncio.StreamWriter) -> None:
        interval_s = drawn_number(self._environment.scenario.rig.ask_s)
        with contextlib.suppress(OSError):
            while True:
                await asyncio.sleep(interval_s)
                writer.write(b"ask\r\n")
                await writer.drain()

    def _note(self, data: EventData) -> None:
        self._environment.history.note(CLIENTS, data)


def _failure_of(answer: Answer) -> SetUpFailure:
    """Returns why an answer other than UP establishes no connection."""
    match answer.kind:
        case AnswerKind.BUSY:
            return SetUpFailure.REJECTED
        case AnswerKind.NONE | AnswerKind.CLOSED:
            return SetUpFailure.NO_ANSWER
        case _:
            return SetUpFailure.FAILED
