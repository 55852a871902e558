"""The program with a clock that the test advances, and raw loopback sockets as its clients, servers and discovery."""

from __future__ import annotations

import asyncio
import contextlib
import os
import socket
from collections.abc import Awaitable, Callable
from enum import Enum
from typing import NamedTuple, TypeVar

from glenrock.config import parse_config
from glenrock.net.client_connection import ClientConnection
from glenrock.net.connection_attempt import ConnectionAttempt
from glenrock.net.server_actor import ServerActor
from glenrock.net.socket_io import ZERO_LINGER
from glenrock.program import Program

from .discovery_answers import EndpointListResponse, endpoint_list_response, endpoint_row, http_response
from .loopback_delivery import CLOCK_STEP_MS, ConnectTrackingLoop, ManualTime
from .settings import SETTINGS

REQUEST_ID = "x1"
REQUEST_LINE = b"OPEN x1 1 c=look,d=1500\r\n"
ESTABLISHED_LINE = b"UP r\r\n"
READ_BYTES = 1 << 16
WAIT_TIMEOUT_S = 5.0
TEST_TIMEOUT_S = 20.0

Polled = TypeVar("Polled")


class StreamEnd(Enum):
    """How the other side has ended a connection."""

    FIN = "fin"
    RESET = "reset"


class StreamRest(NamedTuple):
    """The bytes received until the end of a connection, and how it ended."""

    data: bytes
    end: StreamEnd


class PendingRequest(NamedTuple):
    """A request that waits for the answer of its server: the test's two sockets, and the program's connection."""

    client: socket.socket
    server_side: socket.socket
    connection: ClientConnection


class EstablishedSockets(NamedTuple):
    """The test's two sockets of an established connection."""

    client: socket.socket
    server_side: socket.socket


def count_descriptors() -> int:
    """Returns the number of open descriptors of this process."""
    return len(os.listdir("/proc/self/fd"))


def close_socket(sock: socket.socket, reset: bool) -> None:
    """Closes a socket with FIN or with RST."""
    if reset:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, ZERO_LINGER)
    sock.close()


def create_listener(backlog: int = 16) -> socket.socket:
    """Returns a non-blocking socket that listens on a free port of loopback."""
    sock = socket.create_server(("127.0.0.1", 0), backlog=backlog)
    sock.setblocking(False)
    return sock


def fill_backlog(listener: socket.socket) -> list[socket.socket]:
    """Fills the accept queue of a listener whose backlog is 0.

    Returns the connections in the queue. A further connect stays pending until they are closed.
    """
    connections = [socket.socket() for _ in range(4)]
    for sock in connections:
        sock.setblocking(False)
        sock.connect_ex(listener.getsockname())
    return connections


def address_of(sock: socket.socket) -> str:
    """Returns `host:port` of a socket that is bound to loopback."""
    return f"127.0.0.1:{sock.getsockname()[1]}"


def attempt_of(connection: ClientConnection) -> ConnectionAttempt:
    """Returns the last attempt of a connection; there must be one."""
    assert connection.attempt is not None
    return connection.attempt


def read_now(sock: socket.socket) -> bytes:
    """Returns the bytes that have arrived, empty if there are none."""
    try:
        return sock.recv(READ_BYTES)
    except BlockingIOError:
        return b""


async def wait_until(poll: Callable[[], Polled]) -> Polled:
    """Runs the event loop until `poll` returns a true value, and returns that value.

    Raises:
        TimeoutError: it has returned no true value within `WAIT_TIMEOUT_S`.
    """
    async with asyncio.timeout(WAIT_TIMEOUT_S):
        while not (polled := poll()):  # noqa: ASYNC110 - the polled state may be in the kernel, so no event signals it
            await asyncio.sleep(0)
    return polled


async def receive(sock: socket.socket) -> bytes:
    """Waits for bytes, and returns those that have arrived."""
    return await wait_until(lambda: read_now(sock))


async def read_to_end(sock: socket.socket) -> StreamRest:
    """Returns all bytes until the end, and how the connection ends."""
    data = b""
    async with asyncio.timeout(WAIT_TIMEOUT_S):
        while True:
            await asyncio.sleep(0)
            try:
                received = sock.recv(READ_BYTES)
            except BlockingIOError:
                continue
            except ConnectionError:
                return StreamRest(data, StreamEnd.RESET)
            if not received:
                return StreamRest(data, StreamEnd.FIN)
            data += received


class LoopbackRig:
    """A program whose clock the test advances, with raw sockets for clients, servers and discovery.

    Attributes:
        clock: the program's clock.
        listeners: the listening sockets of the servers, by server name.
        open_sockets: the test's sockets, referenced here so that they stay open as long as the rig exists.
        discovery: discovery's listening socket.
        discovery_connection: discovery's socket of the program's connection.
        version: the version of the last endpoint list.
        program: the program.
        port: the port where the program accepts clients.
    """

    def __init__(self) -> None:
        self._time = ManualTime()
        self.clock = self._time.clock
        self.listeners: dict[str, socket.socket] = {}
        self.open_sockets: list[socket.socket] = []
        self.version = 1

    async def open(self, *server_names: str, effect: str = "safe", **settings: object) -> None:
        """Starts the program with these servers, `s1` alone by default.

        Args:
            server_names: names of the servers.
            effect: whether requests are idempotent, as the settings name it.
            settings: settings that differ from `SETTINGS`.
        """
        self.listeners = {name: create_listener() for name in server_names or ("s1",)}
        self.discovery = create_listener()
        classes = [{**SETTINGS["classes"][0], "effect": effect}]
        raw_config = {
            "name": "n0",
            "listen": "127.0.0.1:0",
            "seed": "7",
            "known": self._endpoint_list({}),
            "discovery": address_of(self.discovery),
            "settings": {**SETTINGS, "balancers": 1, "classes": classes, **settings},
        }
        self.program = Program(parse_config(raw_config), self.clock)
        self.acceptor = self.program.acceptor
        self.connections = self.program.connections.by_id
        starting = asyncio.create_task(self.program.start())
        self.discovery_connection = await self.accept_connection(self.discovery)
        await wait_until(lambda: read_now(self.discovery_connection).startswith(b"GET /discovery/hosts HTTP"))
        self.report_endpoints()
        await starting
        assert self.acceptor.listener is not None
        self.port: int = self.acceptor.listener.getsockname()[1]

    def close(self) -> None:
        """Closes the rig's delivery barrier. The program ends with the event loop."""
        self._time.close()

    # -- discovery -------------------------------------------------------------------------------------

    def _endpoint_list(self, statuses: dict[str, str]) -> EndpointListResponse:
        rows = [
            endpoint_row(name, address_of(sock), statuses.get(name, "SERVING")) for name, sock in self.listeners.items()
        ]
        return endpoint_list_response(self.version, rows)

    def report_endpoints(self, **statuses: str) -> None:
        """Answers the program's call to discovery with all servers, in these statuses, or else `SERVING`."""
        self.version += 1
        self.discovery_connection.sendall(http_response(self._endpoint_list(statuses)))

    def server_actor(self, name: str = "s1") -> ServerActor:
        """Returns the actor of a listed server, and creates it if there is none."""
        actor = self.program.servers.get(name)
        assert actor is not None
        return actor

    # -- sockets ---------------------------------------------------------------------------------------

    def connect_client(self, data: bytes = b"") -> socket.socket:
        """Connects a client, and sends these bytes."""
        sock = socket.create_connection(("127.0.0.1", self.port))
        if data:
            sock.sendall(data)
        return self.keep(sock)

    def keep(self, sock: socket.socket) -> socket.socket:
        """Makes a socket non-blocking, and keeps a reference to it, so that it stays open."""
        sock.setblocking(False)
        self.open_sockets.append(sock)
        return sock

    async def accept_connection(self, listener: socket.socket) -> socket.socket:
        """Waits for the next connection at a listener, and accepts it."""
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            sock, _ = await asyncio.get_running_loop().sock_accept(listener)
        return self.keep(sock)

    def accept_queued(self, listener: socket.socket) -> list[socket.socket]:
        """Accepts the connections that are in the accept queue of a listener now."""
        accepted = []
        with contextlib.suppress(BlockingIOError):
            while True:
                accepted.append(self.keep(listener.accept()[0]))
        return accepted

    async def accept_request(self, name: str) -> socket.socket:
        """Accepts the next connection at a server, and reads its request line."""
        sock = await self.accept_connection(self.listeners[name])
        received = await receive(sock)
        assert received.startswith(b"OPEN "), received
        return sock

    # -- time ------------------------------------------------------------------------------------------

    async def advance(self, ms: float) -> None:
        """Advances the program's clock in small steps, and runs the event loop between them."""
        await self._time.advance(ms)

    async def advance_until(self, is_reached: Callable[[], bool], timeout_s: float = WAIT_TIMEOUT_S) -> None:
        """Advances the program's clock until a condition holds.

        Raises:
            TimeoutError: it does not hold within that real time.
        """
        async with asyncio.timeout(timeout_s):
            while not is_reached():
                await self.advance(CLOCK_STEP_MS)

    async def run_loop(self) -> None:
        """Runs the event loop ten times, and until the kernel has delivered all data and completed all connects."""
        await self._time.run_loop()

    # -- requests --------------------------------------------------------------------------------------

    async def start_request(self) -> PendingRequest:
        """Starts the program with a request that waits for the answer of its server."""
        await self.open()
        client = self.connect_client(REQUEST_LINE)
        server_side = await self.accept_request("s1")
        return PendingRequest(client, server_side, self.connections[REQUEST_ID])

    async def establish(self) -> EstablishedSockets:
        """Establishes a client's connection at `s1`."""
        client = self.connect_client(REQUEST_LINE)
        server_side = await self.accept_request("s1")
        server_side.sendall(ESTABLISHED_LINE)
        assert await wait_until(lambda: read_now(client)) == ESTABLISHED_LINE
        return EstablishedSockets(client, server_side)

    async def wait_for_attempt(self, is_reached: Callable[[ConnectionAttempt], object]) -> None:
        """Waits until the request has an attempt for which a condition holds."""

        def attempt_has_reached() -> object:
            connection = self.connections.get(REQUEST_ID)
            return connection and connection.attempt and is_reached(connection.attempt)

        await wait_until(attempt_has_reached)

    def reject_request(self, connection: ClientConnection) -> None:
        """Rejects a request as routing does: discards it in routing, and posts the rejection to its connection."""
        balancer = self.program.routing.balancer
        request_id = connection.request_line.request_id
        if request_id in balancer.requests:
            balancer.lifecycle.on_client_disconnected(request_id)
            connection.reject(500.0)

    def fail_request(self, connection: ClientConnection) -> None:
        """Fails a request as routing does: discards it in routing, and posts the failure to its connection."""
        self.program.routing.balancer.lifecycle.on_client_disconnected(connection.request_line.request_id)
        connection.fail()

    async def check_nothing_was_sent(self) -> None:
        """Checks that no request line was sent to a server, and that the client's connection has ended."""
        await wait_until(lambda: not self.connections and not self.acceptor.tasks)
        await self.advance(700)
        for listener in self.listeners.values():
            while accepted := self.accept_queued(listener):
                for sock in accepted:
                    received = await read_to_end(sock)
                    sock.close()
                    assert b"OPEN" not in received.data
        assert not self.program.routing.balancer.requests


def run_on_rig(scenario: Callable[[LoopbackRig], Awaitable[None]]) -> None:
    """Runs a scenario on a rig of its own. For Hypothesis tests, which need a new rig for each example."""

    async def run() -> None:
        rig = LoopbackRig()
        try:
            await asyncio.wait_for(scenario(rig), TEST_TIMEOUT_S)
        finally:
            rig.close()

    with asyncio.Runner(loop_factory=ConnectTrackingLoop) as runner:
        runner.run(run())
