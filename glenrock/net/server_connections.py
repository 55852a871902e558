"""Servers: one actor each, with its attempts and its health checks."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable, Coroutine
from enum import Enum

from glenrock.routing import interface

from ..log import say
from . import protocol
from .attempt_outcomes import AttemptEnd, AttemptResult, Reach
from .clock import Clock, micros
from .connection_attempt import ConnectionAttempt
from .endpoint_rows import STATES, EndpointRow
from .health_probe import HealthProbe
from .mailbox import Mailbox
from .metrics import ConnectionMetrics
from .socket_io import close_socket, configure_socket

MAX_MAIL = 1024  # health checks and attempts that may wait for one actor
MAX_SERVERS = 4096  # kept: an endpoint list past that is not this deployment's
ENDS_BY_WORD = {"BUSY": AttemptEnd.BUSY, "BYE": AttemptEnd.BYE, "MOVE": AttemptEnd.MOVED}

Post = Callable[[interface.Event], bool]


class ServerJob(Enum):
    """What a server's actor may be asked beside attempts."""

    HEALTH_CHECK = "health check"


class ServerActor:
    """One server.

    Attributes:
        entry: its row of the endpoint list.
        held: out of rotation by an operator, whatever the list says.
        dial_ms: a connection is awaited this long.
        prober: the health check that is out, or was last.
    """

    def __init__(
        self, entry: EndpointRow, clock: Clock, dial_ms: float, post: Post, metrics: ConnectionMetrics
    ) -> None:
        self.entry = entry
        self.dial_ms = dial_ms
        self.held = False
        self.post = post
        self.mailbox: Mailbox[ConnectionAttempt | ServerJob] = Mailbox(MAX_MAIL)
        self.prober: asyncio.Task[None] | None = None
        self.tasks: set[asyncio.Task[None]] = set()
        self._clock = clock
        self._metrics = metrics
        self._probe = HealthProbe(clock, lambda event: self.post(event))
        self._actor = asyncio.get_running_loop().create_task(self._run())

    @property
    def serving(self) -> bool:
        """Whether something new may start there."""
        return self.entry.status == "SERVING" and not self.held

    @property
    def _is_probing(self) -> bool:
        return self.prober is not None and not self.prober.done()

    def stop(self) -> None:
        """Ends the actor."""
        self._actor.cancel()
        if self.prober:
            self.prober.cancel()

    def update(self, row: EndpointRow) -> None:
        """Its row has changed."""
        restarted = row.since_ms != self.entry.since_ms or row.address != self.entry.address
        if restarted and not self._is_probing:
            self._probe.hang_up()  # the process at its other end is gone
        self.entry = row

    def tidy(self) -> None:
        """Closes a health check's connection that has been idle."""
        if not self._is_probing:
            self._probe.close_if_idle()

    async def _run(self) -> None:
        while True:
            for job in await self.mailbox.take():
                if isinstance(job, ConnectionAttempt):
                    job.task = self._start(self._execute(job))
                elif not self._is_probing:
                    self.prober = self._start(self._probe.check(self.entry))

    def _start(self, work: Coroutine[None, None, None]) -> asyncio.Task[None]:
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    # -- attempts --------------------------------------------------------------------------------------

    async def _execute(self, attempt: ConnectionAttempt) -> None:
        attempt.sent_at = self._clock.now()
        try:
            result = await self.attempt(attempt)
        except asyncio.CancelledError:
            result = AttemptResult(AttemptEnd.WITHDRAWN, attempt.reach)
        except OSError:
            result = AttemptResult(AttemptEnd.BROKEN, attempt.reach)
        except Exception as error:  # noqa: BLE001 - the client must hear of an end, whatever went wrong
            say("execution", f"{self.entry.name}: {error!r}")
            result = AttemptResult(AttemptEnd.BROKEN, attempt.reach)
        if result.end is not AttemptEnd.UP and attempt.sock:
            # Guards against a second copy: the socket is closed before routing hears of the end.
            close_socket(attempt.sock)
            attempt.sock = None
        attempt.latency_ms = self._clock.now() - attempt.sent_at
        attempt.done(attempt, result)

    def _left_ms(self, attempt: ConnectionAttempt) -> float:
        return attempt.sent_at + attempt.timeout_ms - self._clock.now()

    async def attempt(self, attempt: ConnectionAttempt) -> AttemptResult:
        """Connects, writes the line and awaits the answer. Raises OSError."""
        if attempt.withdrawn:
            return AttemptResult(AttemptEnd.WITHDRAWN, attempt.reach)
        if not (self.serving or attempt.insist):
            return AttemptResult(AttemptEnd.NOT_SENT, attempt.reach)
        sock = attempt.sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        configure_socket(sock)
        async with self._clock.limit(min(self.dial_ms, self._left_ms(attempt))) as limit:
            await asyncio.get_running_loop().sock_connect(sock, self.entry.address)
        if limit.over:
            return AttemptResult(AttemptEnd.SILENT, attempt.reach)
        # The list may have changed while the connection came up.
        if not (self.serving or attempt.insist):
            return AttemptResult(AttemptEnd.NOT_SENT, attempt.reach)
        if not attempt.wanted():
            return AttemptResult(AttemptEnd.WITHDRAWN, attempt.reach)
        return await self._ask(attempt, sock)

    async def _ask(self, attempt: ConnectionAttempt, sock: socket.socket) -> AttemptResult:
        loop = asyncio.get_running_loop()
        async with self._clock.limit(self._left_ms(attempt)):
            attempt.reach = Reach.PARTLY_WRITTEN
            await loop.sock_sendall(sock, protocol.with_wait(attempt.line, self._left_ms(attempt)))
            attempt.reach = Reach.WRITTEN
            self._metrics.relayed += 1
            return await self._answer(attempt, sock)
        attempt.reach = Reach.WRITTEN  # a write that was stopped does not tell how much is out
        return AttemptResult(AttemptEnd.SILENT, attempt.reach)

    async def _answer(self, attempt: ConnectionAttempt, sock: socket.socket) -> AttemptResult:
        loop = asyncio.get_running_loop()
        buffer = bytearray(protocol.MAX_LINE)
        splitter = protocol.LineSplitter()
        lines: list[bytes] = []
        while not lines:
            count = await loop.sock_recv_into(sock, buffer)
            if not count:
                return AttemptResult(AttemptEnd.BROKEN, attempt.reach)
            attempt.first += buffer[:count]
            lines = splitter.feed(bytes(buffer[:count]))
            if splitter.overlong:
                return AttemptResult(AttemptEnd.ERROR, attempt.reach)
        word, rest = protocol.split_word(lines[0])
        if word == "UP":
            attempt.reach = Reach.UP
            return AttemptResult(AttemptEnd.UP, attempt.reach)
        if word == "SYNTAX":
            say("syntax", f"{self.entry.name} did not understand {attempt.line!r}")
        end = ENDS_BY_WORD.get(word, AttemptEnd.ERROR)
        return AttemptResult(end, attempt.reach, protocol.report_of(rest))


class ServerRegistry:
    """All servers by name. A name is an identity: its address may change, its process may restart.

    Attributes:
        all: by name.
        out: out of rotation by operators, listed or not.
        post: takes events for the routing actor.
    """

    def __init__(self, clock: Clock, dial_ms: float, post: Post, metrics: ConnectionMetrics) -> None:
        self.all: dict[str, ServerActor] = {}
        self.out: set[str] = set()
        self.post = post
        self.dial_ms = dial_ms
        self._clock = clock
        self._metrics = metrics

    def hold(self, name: str, out: bool) -> None:
        """Nothing that is queued or being connected starts there any more, or all may again."""
        if out:
            self.out.add(name)
        else:
            self.out.discard(name)
        if server := self.all.get(name):
            server.held = out

    def listed(self) -> list[str]:
        """Names of the servers that discovery lists."""
        return [name for name, server in self.all.items() if server.entry.status != "DELETED"]

    def get(self, name: str) -> ServerActor | None:
        """The server of that name, where it is known."""
        return self.all.get(name)

    def update(self, kind: interface.ListKind, rows: list[EndpointRow]) -> None:
        """Takes a list or changes of it, and hands them to the routing actor."""
        if kind != "changes":
            named = {row.name for row in rows}
            for name in [name for name in self.all if name not in named]:
                self.all[name].entry.status = "DELETED"
        for row in rows:
            self._update_one(row)
        now_ms = self._clock.now()  # one that starts in the future would be in slow start for as long
        endpoints = tuple(_endpoint_of(row, now_ms) for row in rows if row.name in self.all)
        self.post(interface.EndpointList(kind, endpoints))

    def _update_one(self, row: EndpointRow) -> None:
        known = self.all.get(row.name)
        if known:
            known.update(row)
            return
        if len(self.all) >= MAX_SERVERS:
            self._forget_deleted()
        if len(self.all) < MAX_SERVERS:
            server = ServerActor(row, self._clock, self.dial_ms, self.post, self._metrics)
            server.held = row.name in self.out
            self.all[row.name] = server

    def _forget_deleted(self) -> None:
        deleted = [name for name, one in self.all.items() if one.entry.status == "DELETED" and not one.tasks]
        for name in deleted:
            self.all.pop(name).stop()

    def probe(self, name: str) -> None:
        """Sends a health check; one that cannot be sent is told."""
        server = self.all.get(name)
        if server is None or not server.mailbox.put(ServerJob.HEALTH_CHECK):
            self.post(interface.HealthCheckResult(name, "unsent"))

    def tidy(self) -> None:
        """Closes health checks' connections that have been idle."""
        for server in self.all.values():
            server.tidy()


def _endpoint_of(row: EndpointRow, now_ms: float) -> interface.Endpoint:
    started_us = micros(min(now_ms, row.since_ms))
    return interface.Endpoint(row.name, STATES[row.status], row.zone, row.group, row.weight, started_us)
