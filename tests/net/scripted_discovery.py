"""A watcher of the endpoint list beside a discovery that can be taken down, on a clock that the test advances."""

from __future__ import annotations

import asyncio
import contextlib
import random
import socket
from enum import Enum, auto
from typing import NamedTuple
from urllib.parse import parse_qs, urlsplit

from glenrock.config import Address
from glenrock.net.endpoint_rows import EndpointRow
from glenrock.net.endpoint_watcher import EndpointWatcher
from glenrock.net.poll_backoff import PollBackoff
from glenrock.net.socket_io import configure_socket
from glenrock.routing.interface import EndpointListKind

from .discovery_answers import endpoint_list_response, endpoint_row, http_response
from .loopback_delivery import ManualTime
from .rig import close_socket, create_listener

CLOCK_STEP_MS = 50.0
READ_BYTES = 1 << 16
VERSION = 5
ROW = endpoint_row("s1", "127.0.0.1:1")
ENDPOINT_LIST = endpoint_list_response(VERSION, [ROW])
DRIP_INTERVAL_MS = 100.0
DRIP_HEAD = b"HTTP/1.1 200 X\r\nContent-Length: 1000000\r\n\r\n"
REJECTION = b"HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n"


class Behavior(Enum):
    """What discovery does with calls.

    ANSWERS: answers, a watch after its wait. REJECTS: 503 at once, also to open watches. RESETS: resets the connection
    at once. SILENT: never answers; a call that was made meanwhile is not answered later either. DRIPS: begins an answer
    and sends a byte of it each `DRIP_INTERVAL_MS`, for ever. STALLS: sends the half of an answer, and no more. CHANGES:
    answers each call at once, with a newer version.
    """

    ANSWERS = auto()
    REJECTS = auto()
    RESETS = auto()
    SILENT = auto()
    DRIPS = auto()
    STALLS = auto()
    CHANGES = auto()


class Cut(NamedTuple):
    """How an answer is cut: the number of its parts, and the time from one to the next."""

    parts: int = 1
    spacing_ms: float = 0.0


class ReceivedCall(NamedTuple):
    """A call that discovery received: when, in milliseconds of the clock, and the path with the query."""

    at_ms: float
    path: str


class ScriptedDiscovery:
    """A discovery on a loopback socket.

    Attributes:
        calls: the calls received so far.
        version: the version of its list. A watch from another one is answered with the whole list at once.
        queue_ms: how long a call waits before it is rejected or its connection is reset.
        rows: the rows of its list.
        cut: how its answers are cut.
    """

    def __init__(self, time: ManualTime) -> None:
        self.calls: list[ReceivedCall] = []
        self.version = VERSION
        self.queue_ms = 0.0
        self.rows = [ROW]
        self.cut = Cut()
        self._time = time
        self._behavior = Behavior.ANSWERS
        self._behavior_changed = asyncio.Event()
        self._listener = create_listener()
        self._connections: list[socket.socket] = []
        self._tasks = [asyncio.create_task(self._accept())]

    @property
    def address(self) -> Address:
        """Where the watcher calls."""
        return Address(*self._listener.getsockname())

    def set_behavior(self, behavior: Behavior) -> None:
        """Changes what happens to open watches and to calls from now on."""
        self._behavior = behavior
        self._behavior_changed.set()
        self._behavior_changed = asyncio.Event()

    def close_connections(self, reset: bool) -> None:
        """Closes all open connections, as a discovery does that restarts, or that closes idle ones."""
        for sock in self._connections:
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RD)  # ends the task that reads it
            close_socket(sock, reset)
        self._connections.clear()

    async def _accept(self) -> None:
        while True:
            sock, _ = await asyncio.get_running_loop().sock_accept(self._listener)
            configure_socket(
                sock
            )  # with Nagle's algorithm a second part would wait for an acknowledgement, in real time
            self._connections.append(sock)
            self._tasks.append(asyncio.create_task(self._serve(sock)))

    async def _serve(self, sock: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        with contextlib.suppress(OSError):
            while data := await loop.sock_recv(sock, READ_BYTES):
                path = data.split(b" ")[1].decode()
                self.calls.append(ReceivedCall(self._time.clock.now_ms(), path))
                behavior = self._behavior
                body = None
                if behavior is Behavior.ANSWERS:
                    body = await self._wait_and_answer(path)
                    behavior = self._behavior  # a watch ends when discovery goes down
                elif self.queue_ms or behavior is not Behavior.CHANGES:
                    await self._time.clock.sleep(self.queue_ms)
                if behavior is Behavior.RESETS:
                    close_socket(sock, reset=True)
                    return
                if behavior is Behavior.SILENT:
                    continue
                if behavior is Behavior.CHANGES:
                    self.version += 1
                    body = endpoint_list_response(self.version, self.rows, is_full=False)
                if behavior is Behavior.DRIPS:
                    await self._drip(sock)
                answer = REJECTION if behavior is Behavior.REJECTS else http_response(body)
                if behavior is Behavior.STALLS:
                    answer = http_response(endpoint_list_response(self.version, self.rows))
                    await loop.sock_sendall(sock, answer[: len(answer) // 2])
                    continue
                await self._send(sock, answer)

    async def _drip(self, sock: socket.socket) -> None:
        """Sends a byte of an answer each `DRIP_INTERVAL_MS`, until the connection ends."""
        loop = asyncio.get_running_loop()
        await loop.sock_sendall(sock, DRIP_HEAD)
        while True:
            await self._time.clock.sleep(DRIP_INTERVAL_MS)
            await loop.sock_sendall(sock, b" ")

    async def _send(self, sock: socket.socket, answer: bytes) -> None:
        """Sends an answer in the parts that `cut` says."""
        size = -(-len(answer) // self.cut.parts)
        for start in range(0, len(answer), size):
            if start:
                await self._time.clock.sleep(self.cut.spacing_ms)
            await asyncio.get_running_loop().sock_sendall(sock, answer[start : start + size])

    async def _wait_and_answer(self, path: str) -> object:
        query = parse_qs(urlsplit(path).query)
        if "index" not in query or int(query["index"][0]) != self.version:
            return endpoint_list_response(self.version, self.rows)
        async with self._time.clock.time_limit(float(query["wait"][0])):
            await self._behavior_changed.wait()
        return endpoint_list_response(self.version, [], is_full=False)

    def close(self) -> None:
        """Ends all connections."""
        for task in self._tasks:
            task.cancel()
        self._listener.close()


class WatcherRig:
    """A watcher beside a discovery that answers at first.

    Attributes:
        discovery: the discovery whose address the watcher has.
        watcher: the watcher.
        server_count: the number of rows in the last list or change that it has passed on.

    Args:
        balancers: the number of balancers that the watcher's backoff takes into account.
        must_poll: whether discovery is one service for all balancers.
    """

    def __init__(self, balancers: int, must_poll: bool = True, seed: int = 7) -> None:
        self._time = ManualTime()
        self.clock = self._time.clock
        self.discovery = ScriptedDiscovery(self._time)
        self._earlier: list[ScriptedDiscovery] = []
        self.server_count = 0  # of the last list
        self.watcher = EndpointWatcher(
            self.discovery.address,
            self.clock,
            self._record_list,
            lambda: None,
            PollBackoff(balancers, must_poll, random.Random(seed)),
        )
        self._task = asyncio.create_task(self.watcher.run())

    def _record_list(self, _kind: EndpointListKind, rows: list[EndpointRow]) -> None:
        self.server_count = len(rows)

    def move_discovery(self) -> ScriptedDiscovery:
        """Gives the watcher another discovery, as a new configuration does. Returns the earlier one, which goes on."""
        earlier, self.discovery = self.discovery, ScriptedDiscovery(self._time)
        self._earlier.append(earlier)
        self.watcher.change_address(self.discovery.address)
        return earlier

    async def run_for(self, seconds: float) -> None:
        """Advances the clock in steps, and runs the event loop between them."""
        for _ in range(round(seconds * 1000 / CLOCK_STEP_MS)):
            await self._time.run_loop()
            self.clock.advance(CLOCK_STEP_MS)
        await self._time.run_loop()

    async def seconds_until_next_call(self, timeout_s: float = 60.0) -> float:
        """Advances the clock until discovery receives a call, and returns how long that took.

        Raises:
            TimeoutError: it receives none in that time of the clock.
        """
        calls = self.discovery.calls
        began_ms, count = self.clock.now_ms(), len(calls)
        while len(calls) == count:
            if self.clock.now_ms() - began_ms > timeout_s * 1000:
                raise TimeoutError(f"no call of discovery in {timeout_s} s")
            await self.run_for(CLOCK_STEP_MS / 1000)
        return (calls[-1].at_ms - began_ms) / 1000

    def close(self) -> None:
        """Stops the watcher and discovery."""
        self._task.cancel()
        for discovery in (*self._earlier, self.discovery):
            discovery.close()
        self._time.close()
