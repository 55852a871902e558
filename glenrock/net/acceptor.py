"""Accepts client connections and reads their requests. Answers connections that send no valid request itself."""

from __future__ import annotations

import asyncio
import contextlib
import random
import socket
from typing import Protocol

from ..log import get_logger
from . import protocol
from .clock import Clock
from .drain_state import DrainState
from .idle_connections import IdleConnections, IdleWait
from .listening_socket import BACKLOG, ListeningSocket
from .metrics import ConnectionMetrics, ConnectionOutcome, FinalAnswerReason
from .rate_limit import RateLimit
from .socket_io import close_after_reading, configure_socket, recv_into

FIRST_LINE_TIMEOUT_MS = 2000.0  # the protocol requires an answer within 3 s
IDLE_TIMEOUT_MS = 10_000.0  # for the next line after a ping
PING_INTERVAL_MS = 100.0  # between answers to pings of a connection that sends them without a pause
PING_BURST = 8  # pings that are answered at once
PING_ANSWER_TIMEOUT_MS = 1000.0  # a client that does not read the answer by then is closed
LINGER_TIMEOUT_MS = 1000.0  # from the final answer until the client must have closed the connection
MAX_LINGER_BYTES = 65536  # read from a client after its final answer; one that sends more may lose the answer
LAST_LINE_TIMEOUT_MS = 100.0  # for the first line of a connection that is accepted as the process ends
MIN_RETRY_AFTER_FRACTION = 0.5  # lower bound of the random fraction by which a Retry-After is multiplied
LOGGED_BYTES = 120  # of a rejected request line

logger = get_logger(__name__)


class Connections(Protocol):
    """The part of the connection table that the acceptor uses.

    Attributes:
        configured_names: the names that a request may use.
        retry_after_ms: the Retry-After of rejections that routing does not decide; 0 if the settings allow none.
        metrics: counts final answers.
    """

    configured_names: protocol.ConfiguredNames
    retry_after_ms: float
    metrics: ConnectionMetrics

    def is_open(self, request_id: str) -> bool:
        """Returns whether a connection with that id is open."""
        ...

    def is_full(self) -> bool:
        """Returns whether the descriptor limit allows no further connection."""
        ...

    def claim(self, request_line: protocol.RequestLine) -> bool:
        """Returns whether the request may begin: none of its id is in progress or may have run."""
        ...

    def max_idle_connections(self) -> int:
        """Returns how many connections that have sent no request may be open."""
        ...

    def record_outcome(self, outcome: ConnectionOutcome, class_name: str) -> None:
        """Counts the outcome of a connection that the acceptor has answered itself."""
        ...

    async def serve(self, sock: socket.socket, request_line: protocol.RequestLine) -> None:
        """Runs a connection until its end."""
        ...


class Acceptor:
    """Accepts connections and reads their requests.

    Attributes:
        tasks: one for each open connection, until its end.
        idle: connections that have sent no request yet.
    """

    def __init__(self, connections: Connections, clock: Clock, drain: DrainState) -> None:
        self.tasks: set[asyncio.Task[None]] = set()
        self.idle = IdleConnections()
        self._connections = connections
        self._clock = clock
        self._drain = drain
        self._socket = ListeningSocket(clock, connections.metrics, self._add_connection, self.idle.shed_oldest)

    # -- the listening socket --------------------------------------------------------------------------

    @property
    def listener(self) -> socket.socket | None:
        """The listening socket; None while no connections are accepted."""
        return self._socket.sock

    def open(self, listener: socket.socket) -> None:
        """Starts to accept connections."""
        self._socket.open(listener)

    def close(self) -> None:
        """Stops accepting. Resets queued connections, unless another process also has the listening socket open."""
        self._socket.close()

    def close_idle(self) -> None:
        """Stops accepting, and answers queued connections and all others that have sent no request.

        The kernel has completed the handshakes of queued connections, and a reset would lose their requests.
        """
        self._drain.begin_closing()
        self._socket.accept(BACKLOG)
        self.close()
        self.idle.stop_all_waiting()

    # -- connections -----------------------------------------------------------------------------------

    def _add_connection(self, sock: socket.socket) -> None:
        task = asyncio.get_running_loop().create_task(self._serve(sock))
        self.tasks.add(task)
        self.idle.add(task)
        task.add_done_callback(lambda task: self._remove_connection(task, sock))
        # Hundreds of idle connections would use up the descriptors for requests, health checks and discovery. The
        # oldest are closed first, since a well-behaved client has sent its request by then.
        while len(self.idle) > self._connections.max_idle_connections():
            if not self.idle.shed_oldest():
                break

    def _remove_connection(self, task: asyncio.Task[None], sock: socket.socket) -> None:
        self.tasks.discard(task)
        self.idle.remove_ended(task)
        close_after_reading(sock)

    async def _serve(self, sock: socket.socket) -> None:
        try:
            configure_socket(sock)
            request_line = await self._read_request(sock)
            if request_line is None or not await self._admit(sock, request_line):
                return
            self.idle.remove(_current_task())
            await self._connections.serve(sock, request_line)
        except OSError:
            pass
        except Exception:  # a fault in one connection must not end the process
            logger.exception("unexpected error in an idle connection")

    async def _read_request(self, sock: socket.socket) -> protocol.RequestLine | None:
        """Answers pings until a request comes. Returns None if the client has left or has had its final answer."""
        data = b""
        has_pinged = False
        ping_limit = RateLimit(PING_INTERVAL_MS, PING_BURST)
        while True:
            received = await self._read_line(sock, data, has_pinged)
            if received is None:
                return None
            data = received
            if not _is_complete(data):
                await self._end_without_request(sock, has_only_pinged=has_pinged and not data)
                return None
            line, end, rest = data.partition(b"\n")
            if line + end != protocol.PING_LINE:
                return await self._parse_request(sock, data)
            await self._wait(ping_limit.delay_ms(self._clock.now_ms()))
            if self.idle.is_shed(_current_task()):
                await self._end_without_request(sock, has_only_pinged=True)
                return None
            if not await self._answer_ping(sock):
                return None
            ping_limit.record(self._clock.now_ms())
            data = rest
            has_pinged = True

    async def _wait(self, duration_ms: float) -> None:
        """Waits for a duration, or until the connection is shed or the process ends."""
        if duration_ms > 0:
            async with self._limit_wait(duration_ms):
                await asyncio.get_running_loop().create_future()

    async def _answer_ping(self, sock: socket.socket) -> bool:
        """Answers a ping. Returns False if the client does not read the answer in time, or is shed meanwhile."""
        line = protocol.FAILURE_LINE if self._drain.is_manually_draining else protocol.PONG_LINE
        async with self._limit_wait(PING_ANSWER_TIMEOUT_MS) as limit:
            await asyncio.get_running_loop().sock_sendall(sock, line)
        self.idle.mark_answered(_current_task())
        return not limit.has_expired

    def _limit_wait(self, duration_ms: float) -> IdleWait:
        """Limits a wait for a client that has sent no request. The wait also ends when its connection is shed."""
        return IdleWait(self.idle, _current_task(), self._clock.time_limit(duration_ms))

    async def _read_line(self, sock: socket.socket, data: bytes, has_pinged: bool) -> bytes | None:
        """Returns all bytes once a line is complete or the timeout has expired; None if the client has left."""
        loop = asyncio.get_running_loop()
        buffer = bytearray(protocol.MAX_LINE_BYTES)
        if self.idle.is_shed(_current_task()):
            return data + _read_available(sock)
        async with self._limit_wait(self._line_timeout_ms(has_pinged)) as limit:
            while not _is_complete(data):
                count = await recv_into(loop, sock, buffer)
                if not count:
                    return None
                data += buffer[:count]
        if limit.has_expired:
            # A request may have arrived just before the timeout.
            data += _read_available(sock)
        return data

    def _line_timeout_ms(self, has_pinged: bool) -> float:
        if self._drain.is_closing:
            return LAST_LINE_TIMEOUT_MS
        return IDLE_TIMEOUT_MS if has_pinged else FIRST_LINE_TIMEOUT_MS

    # -- answers ---------------------------------------------------------------------------------------

    async def _end_without_request(self, sock: socket.socket, has_only_pinged: bool) -> None:
        """Answers a connection that has sent no complete line.

        `has_only_pinged`: it has sent a ping and nothing since.
        """
        if self.idle.is_shed(_current_task()):
            await self._send_final_answer(sock, self._rejection_line_with_jitter(), FinalAnswerReason.SHED)
            return
        line = protocol.rejection_line(self._connections.retry_after_ms) if has_only_pinged else protocol.FAILURE_LINE
        reason = FinalAnswerReason.DRAINING if self._drain.is_closing else FinalAnswerReason.TIMED_OUT
        await self._send_final_answer(sock, line, reason)

    async def _parse_request(self, sock: socket.socket, data: bytes) -> protocol.RequestLine | None:
        """Parses a request line. Answers an invalid line with a failure, and returns None."""
        try:
            request_line = protocol.parse_request_line(data, self._connections.configured_names)
            if self._connections.is_open(request_line.request_id):
                raise protocol.RequestLineError("request id in use")  # noqa: TRY301 - handled like an invalid line
        except protocol.RequestLineError as error:
            self._count_malformed(data)
            logger.info("request line rejected", reason=str(error), data=data[:LOGGED_BYTES])
            await self._send_final_answer(sock, protocol.FAILURE_LINE, FinalAnswerReason.MALFORMED)
            return None
        return request_line

    async def _admit(self, sock: socket.socket, request_line: protocol.RequestLine) -> bool:
        """Returns whether the request may go to routing. Rejects it during a drain and at the descriptor limit."""
        is_rejecting = self._drain.rejects_requests
        if not is_rejecting and not self._connections.is_full():
            return await self._claim(sock, request_line)
        if not is_rejecting:
            logger.warning("request rejected: descriptor limit reached", request_id=request_line.request_id)
        self._connections.record_outcome(ConnectionOutcome.THROTTLED, request_line.class_name)
        reason = FinalAnswerReason.DRAINING if is_rejecting else FinalAnswerReason.DESCRIPTORS
        await self._send_final_answer(sock, self._rejection_line_with_jitter(), reason)
        return False

    async def _claim(self, sock: socket.socket, request_line: protocol.RequestLine) -> bool:
        """Returns whether the request may begin. Answers one whose id is in use, or has run, with a failure."""
        if self._connections.claim(request_line):
            return True
        logger.info("request rejected: its id is in use or has run", request_id=request_line.request_id)
        self._connections.record_outcome(ConnectionOutcome.FAULTED, request_line.class_name)
        await self._send_final_answer(sock, protocol.FAILURE_LINE, FinalAnswerReason.MALFORMED)
        return False

    def _rejection_line_with_jitter(self) -> bytes:
        """Returns a rejection with a random Retry-After, so that clients rejected together do not retry together."""
        fraction = MIN_RETRY_AFTER_FRACTION + random.random() / 2  # noqa: S311 - jitter
        return protocol.rejection_line(self._connections.retry_after_ms * fraction)

    def _count_malformed(self, data: bytes) -> None:
        """Counts a failure under the class of the request, if the first line of the data is a valid request."""
        first_line = data.partition(b"\n")[0] + b"\n"
        with contextlib.suppress(protocol.RequestLineError):
            request_line = protocol.parse_request_line(first_line, self._connections.configured_names)
            self._connections.record_outcome(ConnectionOutcome.FAULTED, request_line.class_name)

    async def _send_final_answer(self, sock: socket.socket, line: bytes, reason: FinalAnswerReason) -> None:
        """Sends the final answer, and waits until the client closes the connection.

        A close with unread bytes would reset the connection, and the client could lose the answer.
        """
        loop = asyncio.get_running_loop()
        buffer = bytearray(protocol.MAX_LINE_BYTES)
        remaining_bytes = MAX_LINGER_BYTES
        self._connections.metrics.final_answers[reason] += 1
        self.idle.mark_ending(_current_task())
        async with self._clock.time_limit(LINGER_TIMEOUT_MS):
            await loop.sock_sendall(sock, line)
            sock.shutdown(socket.SHUT_WR)
            while remaining_bytes > 0 and (count := await loop.sock_recv_into(sock, buffer)):
                remaining_bytes -= count


def _is_complete(data: bytes) -> bool:
    """Returns whether the bytes contain a line end, or are too many for a line."""
    return b"\n" in data or len(data) >= protocol.MAX_LINE_BYTES


def _read_available(sock: socket.socket) -> bytes:
    """Returns the bytes that can be read without waiting; empty if there are none."""
    try:
        return sock.recv(protocol.MAX_LINE_BYTES, socket.MSG_DONTWAIT)
    except (BlockingIOError, InterruptedError):
        return b""


def _current_task() -> asyncio.Task[None]:
    task = asyncio.current_task()
    assert task is not None, "called within a task"
    return task
