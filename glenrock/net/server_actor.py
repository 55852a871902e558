"""The actor of one server, with its attempts and its health checks."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable, Coroutine
from enum import Enum

from glenrock.routing import interface

from ..log import get_logger
from . import protocol
from .attempt_outcomes import AttemptEnd, AttemptResult, Reach
from .clock import Clock
from .connection_attempt import ConnectionAttempt
from .endpoint_rows import EndpointRow
from .health_connections import HealthConnections
from .health_probe import HealthProbe
from .mailbox import Mailbox
from .metrics import ConnectionMetrics
from .socket_io import close_socket, configure_socket
from .system_errors import is_local

MAX_MAIL = 1024  # health checks and attempts that may wait for one actor
LOCAL_RETRY_MS = 20.0  # between two tries where this machine could not even begin to connect
ENDS_BY_WORD = {"BUSY": AttemptEnd.BUSY, "BYE": AttemptEnd.BYE, "MOVE": AttemptEnd.MOVED}

Post = Callable[[interface.Event], bool]

logger = get_logger(__name__)


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
        self,
        entry: EndpointRow,
        clock: Clock,
        dial_ms: float,
        post: Post,
        metrics: ConnectionMetrics,
        pool: HealthConnections,
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
        self._probe = HealthProbe(clock, lambda event: self.post(event), pool)
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

    @property
    def is_idle(self) -> bool:
        """Whether it has nothing to do and holds nothing, so that another may be made when there is."""
        return not (self.tasks or self.mailbox.mail or self._probe.is_open)

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
        except Exception:  # the client must hear of an end, whatever went wrong
            logger.exception("unexpected error in an attempt", server=self.entry.name, request_id=attempt.request_id)
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
        try:
            sock = await self._connect(attempt)
        except OSError as error:
            if not is_local(error):
                raise
            logger.warning(
                "attempt could not start on this machine",
                request_id=attempt.request_id,
                server=self.entry.name,
                error=error,
            )
            self._metrics.add_system_error(error)
            return AttemptResult(AttemptEnd.NOT_SENT, attempt.reach)
        if sock is None:
            return AttemptResult(AttemptEnd.SILENT, attempt.reach)
        # The list may have changed while the connection came up.
        if not (self.serving or attempt.insist):
            return AttemptResult(AttemptEnd.NOT_SENT, attempt.reach)
        if not attempt.wanted():
            return AttemptResult(AttemptEnd.WITHDRAWN, attempt.reach)
        return await self._ask(attempt, sock)

    async def _connect(self, attempt: ConnectionAttempt) -> socket.socket | None:
        """A connection; None where none came up in time.

        What this machine lacks for a moment is asked for again: it says nothing of the server, and each other server
        would meet it too.

        Raises:
            OSError: the connection failed, or this machine could not begin it for as long as one may take.
        """
        until_ms = self._clock.now() + min(self.dial_ms, self._left_ms(attempt))
        while True:
            try:
                sock = attempt.sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
                configure_socket(sock)
                async with self._clock.limit(until_ms - self._clock.now()) as limit:
                    await asyncio.get_running_loop().sock_connect(sock, self.entry.address)
            except OSError as error:
                if not is_local(error) or self._clock.now() + LOCAL_RETRY_MS >= until_ms:
                    raise
                if attempt.sock:
                    attempt.sock.close()
                    attempt.sock = None
            else:
                return None if limit.over else sock
            await self._clock.sleep(LOCAL_RETRY_MS)

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
            logger.error("server rejected the form of a request line", server=self.entry.name, line=attempt.line)
        end = ENDS_BY_WORD.get(word, AttemptEnd.ERROR)
        return AttemptResult(end, attempt.reach, protocol.report_of(rest))
