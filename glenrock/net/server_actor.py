"""The actor of one server, which runs its attempts and health checks."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable, Coroutine
from enum import Enum

from glenrock.routing import interface

from ..log import get_logger
from . import protocol
from .attempt_outcomes import AttemptEnd, AttemptProgress, AttemptResult
from .clock import Clock
from .connection_attempt import ConnectionAttempt
from .endpoint_rows import EndpointRow
from .health_check_connection import HealthCheckConnection
from .health_check_pool import HealthCheckPool
from .mailbox import Mailbox
from .metrics import ConnectionMetrics
from .protocol import ServerKeyword
from .socket_io import close_socket, create_socket
from .system_errors import is_local_connect_error

MAX_QUEUED_MESSAGES = 1024  # attempts and health checks queued for one actor
LOCAL_RETRY_DELAY_MS = 20.0  # after a connect that failed because of this machine
END_BY_KEYWORD: dict[str, AttemptEnd] = {
    ServerKeyword.REJECTED: AttemptEnd.REJECTED,
    ServerKeyword.SERVED: AttemptEnd.SERVED,
    ServerKeyword.MIGRATE: AttemptEnd.MIGRATED,
}

PostEvent = Callable[[interface.Event], object]

logger = get_logger(__name__)


class ServerCommand(Enum):
    """Messages to a server's actor other than attempts."""

    HEALTH_CHECK = "health check"


class ServerActor:
    """Runs the attempts and health checks of one server.

    Attributes:
        row: the server's row of the endpoint list.
        is_suspended: whether an operator has suspended the server.
        connect_timeout_ms: the timeout for establishing a connection.
        post: takes events for routing, also while its mailbox is full.
        mailbox: queued attempts and commands.
        health_check_task: the task of the health check in flight, or of the last one.
        tasks: the tasks of attempts and health checks in flight.
    """

    def __init__(
        self,
        row: EndpointRow,
        clock: Clock,
        connect_timeout_ms: float,
        post: PostEvent,
        metrics: ConnectionMetrics,
        pool: HealthCheckPool,
    ) -> None:
        self.row = row
        self.connect_timeout_ms = connect_timeout_ms
        self.is_suspended = False
        self.post = post
        self.mailbox: Mailbox[ConnectionAttempt | ServerCommand] = Mailbox(MAX_QUEUED_MESSAGES)
        self.health_check_task: asyncio.Task[None] | None = None
        self.tasks: set[asyncio.Task[None]] = set()
        self._clock = clock
        self._metrics = metrics
        self._health_check_connection = HealthCheckConnection(clock, lambda event: self.post(event), pool)
        self._run_task = asyncio.get_running_loop().create_task(self._run())

    @property
    def accepts_connections(self) -> bool:
        """Whether new connections may be established at the server."""
        return self.row.state is interface.EndpointState.READY and not self.is_suspended

    @property
    def may_retire(self) -> bool:
        """Whether the actor may be retired: it has no work and no connection."""
        return not (self.tasks or self.mailbox.messages or self._health_check_connection.is_open)

    @property
    def _is_health_check_running(self) -> bool:
        return self.health_check_task is not None and not self.health_check_task.done()

    def stop(self) -> None:
        """Stops the actor and its health check."""
        self._run_task.cancel()
        if self.health_check_task:
            self.health_check_task.cancel()

    def update(self, row: EndpointRow) -> None:
        """Replaces the server's row."""
        has_restarted = row.since_ms != self.row.since_ms or row.address != self.row.address
        if has_restarted and not self._is_health_check_running:
            self._health_check_connection.disconnect()  # the connection is to the previous process
        self.row = row

    def close_idle_connection(self) -> None:
        """Closes the connection for health checks if it has been idle for `HEALTH_CHECK_IDLE_TIMEOUT_MS`."""
        if not self._is_health_check_running:
            self._health_check_connection.close_if_idle()

    async def _run(self) -> None:
        while True:
            for message in await self.mailbox.get_all():
                if isinstance(message, ConnectionAttempt):
                    message.task = self._create_task(self._run_attempt(message))
                elif not self._is_health_check_running:
                    self.health_check_task = self._create_task(self._health_check_connection.check(self.row))

    def _create_task(self, coroutine: Coroutine[None, None, None]) -> asyncio.Task[None]:
        task = asyncio.get_running_loop().create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    # -- attempts --------------------------------------------------------------------------------------

    async def _run_attempt(self, attempt: ConnectionAttempt) -> None:
        attempt.started_ms = self._clock.now_ms()
        try:
            result = await self.connect_and_request(attempt)
        except asyncio.CancelledError:
            result = AttemptResult(AttemptEnd.CANCELLED, attempt.progress)
        except OSError:
            result = AttemptResult(AttemptEnd.BROKEN, attempt.progress)
        except Exception:  # the client must get an answer, whatever the error
            logger.exception("unexpected error in an attempt", server=self.row.name, request_id=attempt.request_id)
            result = AttemptResult(AttemptEnd.BROKEN, attempt.progress)
        if result.end is not AttemptEnd.ESTABLISHED and attempt.sock:
            # Closed before routing is notified, so that a request never has two attempts in flight.
            close_socket(attempt.sock)
            attempt.sock = None
        attempt.latency_ms = self._clock.now_ms() - attempt.started_ms
        attempt.on_result(attempt, result)

    def _remaining_ms(self, attempt: ConnectionAttempt) -> float:
        return attempt.started_ms + attempt.timeout_ms - self._clock.now_ms()

    async def connect_and_request(self, attempt: ConnectionAttempt) -> AttemptResult:
        """Connects to the server, writes the request line and waits for the answer.

        Raises:
            OSError: the connection could not be established, or it failed.
        """
        if attempt.is_cancelled:
            return AttemptResult(AttemptEnd.CANCELLED, attempt.progress)
        if not self._may_send(attempt):
            return AttemptResult(AttemptEnd.NOT_SENT, attempt.progress)
        try:
            sock = await self._connect(attempt)
        except OSError as error:
            if not is_local_connect_error(error):
                raise
            self._record_local_error(attempt, error)
            return AttemptResult(AttemptEnd.NOT_SENT, attempt.progress)
        if sock is None:
            return AttemptResult(AttemptEnd.NO_ANSWER, attempt.progress)
        if not self._may_send(attempt):  # the server's state may have changed during the connect
            return AttemptResult(AttemptEnd.NOT_SENT, attempt.progress)
        if not attempt.is_client_waiting():
            return AttemptResult(AttemptEnd.CANCELLED, attempt.progress)
        return await self._send_request(attempt, sock)

    def _record_local_error(self, attempt: ConnectionAttempt, error: OSError) -> None:
        logger.warning(
            "attempt could not start on this machine", request_id=attempt.request_id, server=self.row.name, error=error
        )
        self._metrics.add_system_error(error)

    def _may_send(self, attempt: ConnectionAttempt) -> bool:
        return self.accepts_connections or attempt.ignores_endpoint_state

    async def _connect(self, attempt: ConnectionAttempt) -> socket.socket | None:
        """Returns an established connection, or None if the connect timed out.

        A connect that fails because of this machine is retried. Such a failure says nothing about the server, and a
        connect to another server would probably fail too. After the connect timeout the attempt fails, and routing may
        select another server.

        Raises:
            OSError: the connect failed, or this machine could not start it within the connect timeout.
        """
        deadline_ms = self._clock.now_ms() + min(self.connect_timeout_ms, self._remaining_ms(attempt))
        while True:
            try:
                sock = attempt.sock = create_socket()
                async with self._clock.time_limit(deadline_ms - self._clock.now_ms()) as limit:
                    await asyncio.get_running_loop().sock_connect(sock, self.row.address)
            except OSError as error:
                if not is_local_connect_error(error) or self._clock.now_ms() + LOCAL_RETRY_DELAY_MS >= deadline_ms:
                    raise
                if attempt.sock:
                    attempt.sock.close()
                    attempt.sock = None
            else:
                return None if limit.has_expired else sock
            await self._clock.sleep(LOCAL_RETRY_DELAY_MS)

    async def _send_request(self, attempt: ConnectionAttempt, sock: socket.socket) -> AttemptResult:
        loop = asyncio.get_running_loop()
        async with self._clock.time_limit(self._remaining_ms(attempt)):
            attempt.progress = AttemptProgress.PARTLY_WRITTEN
            await loop.sock_sendall(sock, protocol.with_remaining_wait(attempt.line, self._remaining_ms(attempt)))
            attempt.progress = AttemptProgress.WRITTEN
            self._metrics.attempts_written += 1
            return await self._read_answer(attempt, sock)
        attempt.progress = AttemptProgress.WRITTEN  # an interrupted write may have sent the whole line
        return AttemptResult(AttemptEnd.NO_ANSWER, attempt.progress)

    async def _read_answer(self, attempt: ConnectionAttempt, sock: socket.socket) -> AttemptResult:
        loop = asyncio.get_running_loop()
        buffer = bytearray(protocol.MAX_LINE_BYTES)
        splitter = protocol.LineSplitter()
        lines: list[bytes] = []
        while not lines:
            count = await loop.sock_recv_into(sock, buffer)
            if not count:
                return AttemptResult(AttemptEnd.BROKEN, attempt.progress)
            attempt.received += buffer[:count]
            lines = splitter.feed(bytes(buffer[:count]))
            if splitter.is_overlong:
                return AttemptResult(AttemptEnd.ERROR, attempt.progress)
        keyword, rest = protocol.split_keyword(lines[0])
        if keyword == ServerKeyword.ESTABLISHED:
            attempt.progress = AttemptProgress.ESTABLISHED
            return AttemptResult(AttemptEnd.ESTABLISHED, attempt.progress)
        if keyword == ServerKeyword.MALFORMED:
            logger.error("server reported a malformed request line", server=self.row.name, line=attempt.line)
        end = END_BY_KEYWORD.get(keyword, AttemptEnd.ERROR)
        return AttemptResult(end, attempt.progress, protocol.parse_load_report(rest))
