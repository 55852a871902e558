"""Session servers whose behaviour is the simulation's model of a server, on the event loop's clock.

The model decides how long a set-up takes, which requests are rejected, how late messages are, what a load report says,
and when a server that warms up is overloaded.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass
from math import exp
from typing import Any, cast

from .balancer_settings import LOAD_REPORT_FIELDS
from .history import US_PER_S, History
from .history_events import (
    AttemptEnded,
    AttemptReceived,
    AttemptUp,
    EndedBy,
    HealthCheckReceived,
    ServerCrashed,
    ServerOverloaded,
    ServerStarted,
    UnknownLineReceived,
)
from .loopback import Address, reset_connection
from .real_time_engine import RealTimeEngine
from .request_line import READY_LINE
from .scenario import Scenario, drawn_number
from .session_servers import ReceivedRequest, SessionServer
from .simulation_model import (
    ModelConnection,
    PlannedClient,
    ServerModel,
    ServerParameters,
    ServerShape,
    SetupAnswer,
    SimulationEngine,
)

ERROR_ANSWERS = {SetupAnswer.FULL: b"BUSY\r\n", SetupAnswer.ERROR: b"ERR\r\n"}
MAX_DELAY_S = 30.0  # of an echo or a health check
MAX_NOTED_BYTES = 80  # of an unknown line in the history


@dataclass(eq=False, slots=True)
class ServedAttempt:
    """A request line at a server, until its connection ends.

    Attributes:
        answer: of the model.
        connection: None until it is up, and after it was settled.
    """

    request_id: str
    balancer: int
    answer: asyncio.Future[SetupAnswer]
    writer: asyncio.StreamWriter
    connection: ModelConnection[ServedAttempt] | None = None


@dataclass(frozen=True, slots=True)
class ServerEnvironment:
    """What all servers of a run share.

    Attributes:
        clients: by request id.
        report_noise: draws a standard normal number.
        setup_work_us: draws the work of a client's set-up.
        earn: counts what was served: time, class, worth.
        credit: counts the seconds that a client was served.
    """

    scenario: Scenario
    engine: RealTimeEngine
    history: History
    figures: ServerParameters
    clients: dict[str, PlannedClient]
    report_noise: Callable[[], float]
    setup_work_us: Callable[[PlannedClient], float]
    earn: Callable[[int, int, float], None]
    credit: Callable[[PlannedClient, float], None]


class ModelledServer(SessionServer):
    """A session server with an address for each balancer.

    Attributes:
        number: among the servers. `party`: its name in histories.
        model: the simulation's.
        started_ms: Unix time of its start, as the endpoint list has it; 0 for long ago.
        listed_start_ms: by balancer, the start that it was notified of last.
        open_attempts: those whose connection has not ended.
        attempts: new ones so far.
    """

    def __init__(
        self, number: int, shape: ServerShape, addresses: dict[int, Address], environment: ServerEnvironment
    ) -> None:
        super().__init__(f"s-{number:03d}", addresses)
        self.number, self.party = number, f"instance:{number}"
        self.zone = environment.scenario.fleet.zones[shape.zone]
        self.attempts = 0
        self.started_ms = 0.0
        self.listed_start_ms: dict[int, float] = {}
        self.open_attempts: dict[ServedAttempt, None] = {}
        self._environment = environment
        self._engine, self._history = environment.engine, environment.history
        self.model = ServerModel[ServedAttempt](
            self.name,
            number,
            shape,
            environment.figures,
            self._set_answer,
            cast(SimulationEngine, self._engine),
            environment.earn,
        )
        self.model.computed_until_us = self._engine.now

    # -- the process -----------------------------------------------------------------------------------

    def start(self) -> None:
        """Starts the process for the first time: it is warm."""
        if self.started_ms or not self.model.is_up:
            self.model.start(self._engine.now)
        self._listen()
        self._history.note(self.party, ServerStarted(is_warming=bool(self.started_ms)))

    def restart(self) -> None:
        """Starts the process again: it warms up."""
        self.started_ms = time.time() * 1000
        self.start()

    def crash(self) -> None:
        """Ends the process: connections are reset, new ones refused."""
        if not self.model.is_up:
            return
        self._history.note(self.party, ServerCrashed())
        self._refuse()
        self.model.stop(self._engine.now)
        for attempt in list(self.open_attempts):
            self._end_attempt(attempt, EndedBy.SERVER)
            reset_connection(attempt.writer)

    def advance_second(self) -> None:
        """Lets the model drop the connections whose work exceeds its buffer; is called once a second."""
        for connection in self.model.bound_backlog(self._engine.now):
            self._end_attempt(connection.attempt, EndedBy.SERVER)
            reset_connection(connection.attempt.writer)

    def begin_measuring(self) -> None:
        """Leaves what was served until now out of the measures."""
        self.model.advance(self._engine.now)
        for connection in self.model.open_connections.values():
            connection.served_s_at_credit = self.model.served_s_by_class[connection.class_index]
            connection.uncredited_s = 0.0

    def end_measuring(self) -> None:
        """Counts what was served until now, and nothing after it."""
        self.model.advance(self._engine.now)
        for attempt in list(self.open_attempts):
            connection = attempt.connection
            if connection is not None and connection.attempt in self.model.open_connections:
                class_served_s = self.model.served_s_by_class[connection.class_index]
                served_s = connection.uncredited_s + class_served_s - connection.served_s_at_credit
                self._environment.credit(self._client(attempt), served_s)
                attempt.connection, connection.priority_weight = None, 0.0

    # -- health checks ---------------------------------------------------------------------------------

    async def _answer_health_check(self, wants_report: bool, writer: asyncio.StreamWriter) -> None:
        reports = self._environment.scenario.reports
        work_us = drawn_number(reports.probe_ms) * 1000
        delay_s = self.model.do_health_check(self._engine.now, work_us, reports.probe_waits) / US_PER_S
        self._history.note(self.party, HealthCheckReceived())
        await asyncio.sleep(min(delay_s, MAX_DELAY_S))
        pairs = self._load_report() if wants_report else ""
        writer.write(f"PONG {pairs}\r\n".encode() if pairs else READY_LINE)

    def _load_report(self) -> str:
        reports = self._environment.scenario.reports
        figures = self.model.load_report_at(self._engine.now - round(drawn_number(reports.delay_ms) * 1000))
        spread = drawn_number(reports.noise)
        return ",".join(
            f"{LOAD_REPORT_FIELDS[name]}={figures[name] * exp(spread * self._environment.report_noise()):.5f}"
            for name in reports.names
            if name in figures
        )

    def _note_unknown_line(self, line: bytes) -> None:
        self._history.note(self.party, UnknownLineReceived(repr(line[:MAX_NOTED_BYTES])))

    # -- requests --------------------------------------------------------------------------------------

    def _client(self, attempt: ServedAttempt) -> PlannedClient:
        return self._environment.clients[attempt.request_id]

    def _set_answer(self, attempt: ServedAttempt, answer: SetupAnswer) -> None:
        """Is called by the model."""
        if not attempt.answer.done():
            attempt.answer.set_result(answer)

    async def _serve_request(self, request: ReceivedRequest) -> None:
        line, balancer = request.line, request.balancer
        answer: asyncio.Future[SetupAnswer] = asyncio.get_running_loop().create_future()
        attempt = ServedAttempt(line.request_id, balancer, answer, request.writer)
        self.open_attempts[attempt] = None
        self.attempts += not line.is_resumed
        self._history.note(self.party, AttemptReceived(line.request_id, balancer, line.is_resumed))
        try:
            self._submit(attempt, line.is_resumed)
            if await self._peer_left(attempt, request.reader):
                self.model.abandon(self._engine.now, attempt)
                return
            await self._answer(attempt, request.reader)
        finally:
            self._end_attempt(attempt, EndedBy.PEER)

    def _submit(self, attempt: ServedAttempt, is_resumed: bool) -> None:
        """Gives the attempt to the model. A server that this overloads while it warms up crashes."""
        if is_resumed:
            self.model.pending_attempts[attempt] = True
            attempt.answer.set_result(SetupAnswer.ESTABLISHED)
            return
        client = self._client(attempt)
        is_listed = self.listed_start_ms.get(attempt.balancer, -1.0) >= self.started_ms
        work_us = self._environment.setup_work_us(client)
        self.model.receive_attempt(self._engine.now, attempt, work_us, client.base_load, is_listed)
        if self.model.was_overloaded_while_warming_up and self.model.is_up:
            self._history.note(self.party, ServerOverloaded(attempt.request_id, attempt.balancer))
            self.crash()

    async def _peer_left(self, attempt: ServedAttempt, reader: asyncio.StreamReader) -> bool:
        """Waits for the model's answer. Returns True where the balancer closes the connection first."""
        closing = asyncio.ensure_future(reader.read(1))
        awaited: list[asyncio.Future[Any]] = [attempt.answer, closing]
        await asyncio.wait(awaited, return_when=asyncio.FIRST_COMPLETED)
        if not attempt.answer.done():
            return True
        closing.cancel()
        await asyncio.wait([closing])  # until then the reader has a reader
        return False

    async def _answer(self, attempt: ServedAttempt, reader: asyncio.StreamReader) -> None:
        answer, writer = attempt.answer.result(), attempt.writer
        if answer is SetupAnswer.ESTABLISHED:
            await self._serve_connection(attempt, reader)
            return
        self._end_attempt(attempt, EndedBy.SERVER)
        if line := ERROR_ANSWERS.get(answer):
            writer.write(line)
            await writer.drain()
        else:
            reset_connection(writer)

    async def _serve_connection(self, attempt: ServedAttempt, reader: asyncio.StreamReader) -> None:
        client, writer = self._client(attempt), attempt.writer
        worth = float(self._environment.scenario.classes[client.class_index].worth) * client.quota_factor
        connection = ModelConnection(
            attempt,
            attempt.balancer,
            client.class_index,
            client.group,
            worth,
        )
        attempt.connection = connection
        if not self.model.open(self._engine.now, connection, load_now(client, self._engine)):
            reset_connection(writer)
            return
        self._history.note(self.party, AttemptUp(attempt.request_id, attempt.balancer))
        writer.write(f"UP {self.name}-{attempt.request_id}\r\n".encode())
        changes = asyncio.ensure_future(self._play_load_changes(connection, client, writer))
        try:
            while line := await reader.readline():
                await asyncio.sleep(min(self.model.mean_message_us / US_PER_S, MAX_DELAY_S))
                writer.write(line)
                await writer.drain()
        finally:
            changes.cancel()

    async def _play_load_changes(
        self, connection: ModelConnection[ServedAttempt], client: PlannedClient, writer: asyncio.StreamWriter
    ) -> None:
        """Changes the client's load in the model as planned, and reports it to the balancer."""
        last = -1.0
        for at_us, load in ((0, load_now(client, self._engine)), *client.load_changes):
            wait_s = (self._engine.measured_from_us + at_us - self._engine.now) / US_PER_S
            if at_us and wait_s < 0:
                continue
            await asyncio.sleep(max(0.0, wait_s if at_us else 0.0))
            self.model.change_load(self._engine.now, connection, load)
            if self._environment.scenario.reports.load_told and load != last:
                writer.write(f"LOAD {load:.0f}\r\n".encode())
            last = load

    def _end_attempt(self, attempt: ServedAttempt, ended_by: EndedBy) -> None:
        """Notes the end of an attempt's connection; does nothing a second time."""
        if attempt not in self.open_attempts:
            return
        del self.open_attempts[attempt]
        if attempt.connection is not None:
            self.model.close(self._engine.now, attempt.connection)
            self._environment.credit(self._client(attempt), attempt.connection.uncredited_s)
        self._history.note(self.party, AttemptEnded(attempt.request_id, attempt.balancer, ended_by))


def load_now(client: PlannedClient, engine: RealTimeEngine) -> float:
    """Returns the client's load at this time, in microseconds of work a second."""
    now_us = engine.now - engine.measured_from_us
    load = client.load_changes[0][1] if client.load_changes else client.base_load
    for at_us, changed in client.load_changes:
        if at_us > now_us:
            break
        load = changed
    return load
