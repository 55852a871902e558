"""Drawn orders of bytes, ends, answers and signals."""

from __future__ import annotations

import asyncio
import contextlib
import gc
import socket
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum, auto

from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from glenrock.net.client_connection import ClientConnection
from glenrock.net.connection_messages import DrainConnection, MigrateClient
from glenrock.routing import interface

from .rig import (
    ESTABLISHED_LINE,
    READ_BYTES,
    REQUEST_ID,
    REQUEST_LINE,
    LoopbackRig,
    close_socket,
    count_descriptors,
    read_to_end,
    run_on_rig,
    wait_until,
)

MIGRATE_LINE = b"MOVE\r\n"
REJECTED_OR_FAILED = (b"BUSY", b"ERR")
ATTEMPT_TIMEOUT_MS = 1600.0
ANSWER_TIMEOUT_MS = 1550.0  # of a request whose client waits 1.5 s
STOP_TIMEOUT_S = 10.0


# -- one connection, from its first attempt to its end -----------------------------------------------------


class ConnectionStep(Enum):
    """What happens to a connection in a drawn order.

    Attributes:
        CLIENT_LINE: the client sends a line, if the connection is established.
        MIGRATE: routing migrates the client, if the connection is established.
        DRAIN: the balancer stops: the client gets its answer now.
        RUN_LOOP: the event loop runs.
        ADVANCE: the clock advances by 50 ms.
        SERVER_FIN, SERVER_RST: the server ends the connection.
        CLIENT_FIN, CLIENT_RST: the client ends the connection.
        REJECT: routing rejects the request.
    """

    CLIENT_LINE = auto()
    MIGRATE = auto()
    DRAIN = auto()
    RUN_LOOP = auto()
    ADVANCE = auto()
    SERVER_FIN = auto()
    SERVER_RST = auto()
    CLIENT_FIN = auto()
    CLIENT_RST = auto()
    REJECT = auto()


@dataclass(frozen=True)
class ServerBytes:
    """The server sends these bytes."""

    data: bytes


CONNECTION_STEPS = st.lists(
    st.one_of(
        st.sampled_from([b"one\r\n", b"tw", b"o\r\nthr", b"\r\n", b"LOAD 3\r\n"]).map(ServerBytes),
        st.sampled_from(ConnectionStep),
    ),
    max_size=12,
)
STEPS_BEFORE_ANSWER = st.lists(
    st.sampled_from(
        [
            ConnectionStep.RUN_LOOP,
            ConnectionStep.REJECT,
            ConnectionStep.DRAIN,
            ConnectionStep.CLIENT_FIN,
            ConnectionStep.CLIENT_RST,
            ServerBytes(b"U"),
            ServerBytes(b"BUSY\r\n"),
            ServerBytes(ESTABLISHED_LINE),
        ]
    ),
    max_size=4,
)


class ScenarioConnection:
    """A connection whose client, server and balancer act in a drawn order.

    Attributes:
        client: the client's socket.
        server_side: the server's socket.
        bytes_sent: the bytes that the server has sent.
        client_has_ended: whether the client has ended the connection.
        server_has_ended: whether the server has ended the connection.
    """

    def __init__(self, rig: LoopbackRig, client: socket.socket, server_side: socket.socket) -> None:
        self.client = client
        self.server_side = server_side
        self.bytes_sent = b""
        self.client_has_ended = False
        self.server_has_ended = False
        self._rig = rig
        self._connection: ClientConnection = rig.connections[REQUEST_ID]
        self._calls: dict[ConnectionStep, Callable[[], object]] = {
            ConnectionStep.CLIENT_LINE: self._send_client_line,
            ConnectionStep.MIGRATE: self._migrate,
            ConnectionStep.DRAIN: lambda: self._connection.mailbox.put_unbounded(DrainConnection(700)),
            ConnectionStep.SERVER_FIN: lambda: self._end_server_side(reset=False),
            ConnectionStep.SERVER_RST: lambda: self._end_server_side(reset=True),
            ConnectionStep.CLIENT_FIN: lambda: self._end_client_side(reset=False),
            ConnectionStep.CLIENT_RST: lambda: self._end_client_side(reset=True),
            ConnectionStep.REJECT: lambda: rig.reject_request(self._connection),
        }

    async def play(self, step: ConnectionStep | ServerBytes) -> None:
        """Plays a step. A step of a side that has ended the connection does nothing."""
        with contextlib.suppress(OSError):
            if isinstance(step, ServerBytes):
                self._send_server_bytes(step.data)
            elif step is ConnectionStep.RUN_LOOP:
                await self._rig.run_loop()
            elif step is ConnectionStep.ADVANCE:
                await self._rig.advance(50)
            else:
                self._calls[step]()

    def _send_server_bytes(self, data: bytes) -> None:
        if not self.server_has_ended:
            self.server_side.sendall(data)
            self.bytes_sent += data

    def _send_client_line(self) -> None:
        if not self.client_has_ended and self._connection.established.is_set():
            self.client.sendall(b"hello\r\n")

    def _migrate(self) -> None:
        if self._connection.established.is_set():
            self._connection.mailbox.try_put(MigrateClient(interface.AttemptOutcome.CANCELLED))

    def _end_client_side(self, reset: bool) -> None:
        if not self.client_has_ended:
            self.client_has_ended = True
            close_socket(self.client, reset)

    def _end_server_side(self, reset: bool) -> None:
        if not self.server_has_ended:
            self.server_has_ended = True
            close_socket(self.server_side, reset)

    async def finish(self) -> bytes:
        """Ends both sides. Returns what a client that has stayed received after its migration or answer."""
        received = b""
        if not self.client_has_ended:
            is_established = self._connection.established.is_set()
            last = MigrateClient(interface.AttemptOutcome.CANCELLED) if is_established else DrainConnection(1000)
            self._connection.mailbox.put_unbounded(last)
            received = (await read_to_end(self.client)).data
            close_socket(self.client, reset=False)
        if not self.server_has_ended:
            await self._rig.advance(20)
            close_socket(self.server_side, reset=False)
        return received

    def check_received(self, received: bytes) -> None:
        """Checks that the client received its lines and one call to migrate, or one answer."""
        if received.startswith(b"UP "):
            body, _, rest = received.rpartition(MIGRATE_LINE)
            is_migrated = received.endswith(MIGRATE_LINE)
            assert not rest or not body, "nothing comes after MOVE"
            passed = body if is_migrated else received
            assert self.bytes_sent.startswith(passed)
            assert received.count(b"MOVE") <= 1
            assert not is_migrated or passed.endswith(b"\r\n"), "between two lines"
        elif not self.client_has_ended and received:
            assert received.count(b"\n") == 1, received
            assert received.split(b" ")[0].strip() in REJECTED_OR_FAILED, received


@settings(max_examples=60, deadline=None, suppress_health_check=[HealthCheck.too_slow])
@given(before=STEPS_BEFORE_ANSWER, steps=CONNECTION_STEPS)
def test_any_order_of_events_gives_one_answer_or_end_and_leaves_nothing_open(
    before: list[ConnectionStep | ServerBytes], steps: list[ConnectionStep | ServerBytes]
) -> None:
    async def scenario(rig: LoopbackRig) -> None:
        await rig.open()
        rig.server_actor()  # creates its actor, which stays after the test
        await rig.run_loop()
        descriptors = count_descriptors()
        tasks = len(asyncio.all_tasks())
        client = rig.connect_client(REQUEST_LINE)
        connection = ScenarioConnection(rig, client, await rig.accept_request("s1"))
        for step in [*before, ServerBytes(ESTABLISHED_LINE), *steps]:
            await connection.play(step)
        await rig.run_loop()
        received = await connection.finish()
        await rig.advance_until(lambda: not rig.connections and not rig.acceptor.tasks)
        connection.check_received(received)
        await rig.run_loop()
        assert not rig.program.routing.balancer.requests
        gc.collect()
        client.close()
        connection.server_side.close()
        await wait_until(lambda: count_descriptors() <= descriptors and len(asyncio.all_tasks()) <= tasks)

    run_on_rig(scenario)


# -- one request, with all of its attempts -----------------------------------------------------------------


class RequestStep(Enum):
    """What happens to a request in a drawn order.

    Attributes:
        RUN_LOOP: the event loop runs.
        ADVANCE, ADVANCE_LONG: the clock advances by 50 ms, or by 300 ms.
        SERVER_FIN, SERVER_RST: the server of the attempt in flight ends the connection.
        LIST_DRAINING, LIST_SERVING: discovery lists `s1` as draining, or as ready.
        STOP: the program shuts down.
    """

    RUN_LOOP = auto()
    ADVANCE = auto()
    ADVANCE_LONG = auto()
    SERVER_FIN = auto()
    SERVER_RST = auto()
    LIST_DRAINING = auto()
    LIST_SERVING = auto()
    STOP = auto()


@dataclass(frozen=True)
class ServerAnswer:
    """The server of the attempt in flight sends these bytes. `ends_attempt`: they are an answer that ends it."""

    data: bytes
    ends_attempt: bool


REQUEST_STEPS = [
    *RequestStep,
    ServerAnswer(b"BUSY\r\n", True),
    ServerAnswer(b"ERR\r\n", True),
    ServerAnswer(b"U", False),
    ServerAnswer(ESTABLISHED_LINE, False),
    ServerAnswer(b"?\r\n", True),
]


class ClientEnd(Enum):
    """How the client leaves."""

    FIN = auto()
    RST = auto()


@dataclass
class ObservedAttempt:
    """An attempt, as its server sees it."""

    sock: socket.socket
    has_ended: bool = False

    def read_end(self) -> None:
        """Records whether the program has ended the attempt."""
        if self.has_ended:
            return
        try:
            self.has_ended = not self.sock.recv(READ_BYTES)
        except BlockingIOError:
            pass
        except OSError:
            self.has_ended = True


class ObservedRequest:
    """A request as its client and all servers see it, read after each step.

    Attributes:
        attempts: the attempts in order; all but the last have ended.
        received: the bytes that the client has received.
        received_ms: when the client received the first of them; 0 before.
        is_established: whether a server has sent the answer that establishes the connection.
    """

    def __init__(self, rig: LoopbackRig) -> None:
        self.attempts: list[ObservedAttempt] = []
        self.received = b""
        self.received_ms = 0.0
        self.is_established = False
        self._rig = rig
        self._client = rig.connect_client(REQUEST_LINE)
        self._client_has_left = False
        self._started_ms = rig.clock.now_ms()
        self._shutdown: asyncio.Task[None] | None = None

    # -- what is seen ----------------------------------------------------------------------------------

    def observe(self) -> None:
        """Accepts new attempts and reads all sockets. Checks that no two attempts are in flight."""
        for listener in self._rig.listeners.values():
            for sock in self._rig.accept_queued(listener):
                self._observe_connection(sock)
        self._read_ends()
        if not self._client_has_left:
            self._read_answer()

    def _observe_connection(self, sock: socket.socket) -> None:
        try:
            data = sock.recv(READ_BYTES)
        except OSError:
            return  # connected and cancelled
        if data.startswith(b"OPEN "):
            assert not self._client_has_left, "sent on for a client that has left"
            self._read_ends()  # an attempt is closed before the next one connects
            assert all(attempt.has_ended for attempt in self.attempts), "two attempts at once"
            self.attempts.append(ObservedAttempt(sock))

    def _read_ends(self) -> None:
        for attempt in self.attempts:
            attempt.read_end()

    def _read_answer(self) -> None:
        with contextlib.suppress(OSError):
            if data := self._client.recv(READ_BYTES):
                self.received += data
                self.received_ms = self.received_ms or self._rig.clock.now_ms()

    # -- what happens ----------------------------------------------------------------------------------

    async def leave(self, end: ClientEnd) -> None:
        """Ends the client's side."""
        close_socket(self._client, end is ClientEnd.RST)
        await self._rig.run_loop()
        self.observe()  # a line that was being sent at that moment
        self._client_has_left = True

    async def play(self, step: RequestStep | ServerAnswer) -> None:
        """Plays a moment of the script."""
        match step:
            case RequestStep.RUN_LOOP:
                await self._rig.run_loop()
            case RequestStep.ADVANCE:
                await self.advance(50)
            case RequestStep.ADVANCE_LONG:
                await self.advance(300)
            case RequestStep.LIST_DRAINING:
                await self._report_endpoints("DRAINING")
            case RequestStep.LIST_SERVING:
                await self._report_endpoints("SERVING")
            case RequestStep.STOP:
                self._stop()
            case _:
                self._act_on_attempt(step)
        await self._rig.run_loop()
        self.observe()

    async def advance(self, ms: float) -> None:
        """Advances the clock, and reads all sockets after each step."""
        end_ms = self._rig.clock.now_ms() + ms
        while self._rig.clock.now_ms() < end_ms:
            await self._rig.advance(10)
            self.observe()

    async def _report_endpoints(self, status: str) -> None:
        await self._rig.run_loop()
        with contextlib.suppress(OSError):
            self._rig.report_endpoints(s1=status)

    def _stop(self) -> None:
        if not self._shutdown:
            self._shutdown = asyncio.create_task(self._rig.program.shutdown.stop(False, None))

    def _act_on_attempt(self, action: RequestStep | ServerAnswer) -> None:
        """Lets the server of the attempt in flight answer or end it; nothing without such an attempt."""
        if not self.attempts or self.attempts[-1].has_ended or self.is_established:
            return
        attempt = self.attempts[-1]
        with contextlib.suppress(OSError):
            if isinstance(action, ServerAnswer):
                attempt.sock.sendall(action.data)
                self.is_established = action.data == ESTABLISHED_LINE
            else:
                close_socket(attempt.sock, action is RequestStep.SERVER_RST)
        attempt.has_ended = not isinstance(action, ServerAnswer) or action.ends_attempt

    # -- the end ---------------------------------------------------------------------------------------

    async def wait_past_deadline(self) -> None:
        """Advances the clock past the time at which the request must have its answer."""
        await self.advance(self._started_ms + ATTEMPT_TIMEOUT_MS - self._rig.clock.now_ms())

    def check_answer(self) -> None:
        """Checks that a client that has stayed received one answer in time."""
        if self._client_has_left:
            return
        answer_ms = self.received_ms - self._started_ms
        assert self.received
        assert answer_ms <= ANSWER_TIMEOUT_MS or self.received.startswith(b"UP"), (self.received, answer_ms)
        assert self.received.split()[0] in (b"UP", *REJECTED_OR_FAILED)
        assert self.received.count(b"\n") == 1 or self.received == ESTABLISHED_LINE + MIGRATE_LINE

    async def finish(self) -> None:
        """Closes all sockets, and waits until the program has ended the connection and its shutdown."""
        for sock in [self._client, *(attempt.sock for attempt in self.attempts)]:
            sock.close()
        await self._rig.advance_until(
            lambda: not self._rig.connections and (self._shutdown is None or self._shutdown.done()), STOP_TIMEOUT_S
        )


@settings(max_examples=60, deadline=None, suppress_health_check=[HealthCheck.too_slow])
@given(
    script=st.lists(st.sampled_from(REQUEST_STEPS), max_size=14),
    client_end=st.sampled_from([None, None, *ClientEnd]),
    leaves_before=st.integers(0, 13),
)
def test_any_order_of_events_gives_one_attempt_at_a_time_and_one_answer_in_time(
    script: list[RequestStep | ServerAnswer], client_end: ClientEnd | None, leaves_before: int
) -> None:
    async def scenario(rig: LoopbackRig) -> None:
        await rig.open("s1", "s2")
        request = ObservedRequest(rig)
        for number, step in enumerate(script):
            if client_end and number == leaves_before and not request.received:
                await request.leave(client_end)
            await request.play(step)
        await request.wait_past_deadline()
        request.check_answer()
        await request.finish()

    run_on_rig(scenario)
