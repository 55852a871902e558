"""Clients before their connection is routed: accepted, first lines read, whoever can't be read rejected."""

from __future__ import annotations

import asyncio
import contextlib
import random
import socket
from collections.abc import Callable
from typing import Protocol

from ..config import Address
from ..log import get_logger
from . import protocol
from .clock import Clock, Limit
from .metrics import ConnectionMetrics, ConnectionOutcome, RejectReason
from .socket_io import close_drained, configure_socket, recv_into
from .system_errors import is_gone_before_accept, is_shortage

FIRST_LINE_MS = 2000.0  # the whole first line is due by then: whoever can't be read is owed a word within 3 s
IDLE_MS = 10_000.0  # one that was answered PONG may stay this long
LINGER_MS = 1000.0  # one that was rejected has this long to end
LINGER_BYTES = 65536  # and may send this much more; past that it is cut off
SHORTAGE_MS = 100.0  # a shortage of descriptors that lasts this long is ended by shedding
RESUME_MS = 20.0  # no connection is taken this long after one could not be
MAX_ACCEPTS = 8  # connections accepted in one turn: a flood must not keep the loop from its relays
BACKLOG = 4096  # connections that the system accepts before this program does
LAST_MS = 100.0  # once no more are taken, whoever has said nothing yet has this long
LOGGED_BYTES = 120  # of a first line

logger = get_logger(__name__)


def _is_complete(data: bytes) -> bool:
    """A first line, or more of it than a line may have."""
    return b"\n" in data or len(data) >= protocol.MAX_LINE


class Connections(Protocol):
    """What a first line needs of the table of connections, whatever becomes of them.

    Attributes:
        known: what an OPEN may name.
        retry_after_ms: whoever is rejected comes again after this; 0: nobody may be told when.
    """

    known: protocol.KnownNames
    retry_after_ms: float
    metrics: ConnectionMetrics

    def knows(self, request_id: str) -> bool:
        """Whether a connection of that id is open."""
        ...

    def full(self) -> bool:
        """Whether there is no room for another."""
        ...

    def room(self) -> int:
        """Connections that may be open without a request."""
        ...

    def record_answered(self, outcome: ConnectionOutcome, class_name: str) -> None:
        """A connection with a sound first line has had its answer."""
        ...

    async def serve(self, sock: socket.socket, opened: protocol.OpenLine) -> None:
        """Routes the connection, until its end."""
        ...


class Acceptor:
    """Connections that have no request yet.

    Attributes:
        tasks: one a connection, those that are routed too.
        unheard: tasks of those that have said nothing yet that could be answered, oldest first.
        listener: the listening socket, while clients are taken.
        away: clients are sent away: PING is told so. `refuses`: and new requests are rejected.
        drain_permit_check: whether the drain permit is still held; None for a drain that needs none.
    """

    def __init__(self, connections: Connections, clock: Clock) -> None:
        self.tasks: set[asyncio.Task[None]] = set()
        self.unheard: dict[asyncio.Task[None], None] = {}
        self.listener: socket.socket | None = None
        self.away = False
        self.refuses = False
        self.drain_permit_check: Callable[[], bool] | None = None
        self._connections = connections
        self._clock = clock
        self._answered: dict[asyncio.Task[None], None] = {}  # have had an answer and are owed no other
        self._waits: dict[asyncio.Task[None], Limit] = {}  # for a line of theirs
        self._short_since_ms: float | None = None  # not one connection could be taken since then
        self._is_last = False  # no more are taken, and nobody is waited for
        self._hurried: set[asyncio.Task[None]] = set()  # are told to come again, unless a request is there already
        self._lingering: dict[asyncio.Task[None], None] = {}  # of those answered, who have had their last word

    def drain_permit_is_valid(self) -> bool:
        """Whether clients may be sent away.

        Who slept since it was allowed to has the right no more, and would act on it before its clock has told it so.
        """
        return not (self.away and self.drain_permit_check) or self.drain_permit_check()

    # -- the listening socket --------------------------------------------------------------------------

    def listen(self, address: Address) -> socket.socket:
        """A listening socket."""
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.setblocking(False)
        sock.bind(address)
        sock.listen(BACKLOG)
        return sock

    def open(self, listener: socket.socket) -> None:
        """Takes connections from now on.

        Read when the loop says so, not by sock_accept: a connection that it has taken just as it is cancelled would be
        lost, and a successor's socket must stay whole.
        """
        self.listener = listener
        asyncio.get_running_loop().add_reader(listener, self._accept, MAX_ACCEPTS)

    def close(self) -> None:
        """Takes no more.

        What is in the queue stays there, for whoever holds the socket too; where nobody does, it is reset.
        """
        if self.listener:
            asyncio.get_running_loop().remove_reader(self.listener)
            self.listener.close()
            self.listener = None

    def leave_none(self) -> None:
        """The last of it: nobody is taken, and whoever is here is told.

        The machine has accepted what is in the queue, and a request in it would be lost with the reset.
        """
        self.refuses = self._is_last = True
        if self.listener:
            self._accept(BACKLOG)
        self.close()
        for limit in list(self._waits.values()):
            limit.stop()

    def _accept(self, most: int) -> None:
        for _ in range(most):
            if self.listener is None:
                return
            try:
                sock, _ = self.listener.accept()
            except (BlockingIOError, InterruptedError):
                return
            except OSError as error:
                self._connections.metrics.add_system_error(error)
                if is_gone_before_accept(error):
                    continue
                self._pause_accepting(self.listener, error)
                return
            self._short_since_ms = None
            self._take(sock)

    def _pause_accepting(self, listener: socket.socket, error: OSError) -> None:
        """Out of descriptors or memory: the listener must outlive that, and spin meanwhile it must not.

        A shortage of a moment costs nobody a place; one that lasts is ours to end.
        """
        logger.warning("accepting paused after a resource error", error=error, pause_ms=RESUME_MS)
        now_ms = self._clock.now()
        if is_shortage(error):
            self._short_since_ms = now_ms if self._short_since_ms is None else self._short_since_ms
            if now_ms - self._short_since_ms >= SHORTAGE_MS:
                self._shed()
        asyncio.get_running_loop().remove_reader(listener)
        self._clock.call_at(self._clock.now() + RESUME_MS, self._resume)

    def _resume(self) -> None:
        if self.listener:
            asyncio.get_running_loop().add_reader(self.listener, self._accept, MAX_ACCEPTS)

    # -- connections -----------------------------------------------------------------------------------

    def _take(self, sock: socket.socket) -> None:
        task = asyncio.get_running_loop().create_task(self._serve(sock))
        self.tasks.add(task)
        self.unheard[task] = None
        task.add_done_callback(lambda task: self._ended(task, sock))
        # Silent connections by the hundred would take all descriptors, and with them the requests, the health checks
        # and discovery. Past their room the oldest go at once; sound ones have spoken by then.
        while len(self.unheard) + len(self._answered) > self._connections.room():
            if not self._shed():
                break

    def _ended(self, task: asyncio.Task[None], sock: socket.socket) -> None:
        self.tasks.discard(task)
        self.unheard.pop(task, None)
        self._answered.pop(task, None)
        self._lingering.pop(task, None)
        self._hurried.discard(task)
        close_drained(sock)

    def _shed(self) -> bool:
        """Makes room: the oldest that has had its last word is closed, else the oldest without a request is told.

        A request of that one may lie in the socket's buffer, or be on its way: what is there is read and gets its
        answer, and whoever has said nothing is told to come again before the close. False where nobody is left.
        """
        if self._lingering:
            self._end_lingering(next(iter(self._lingering)))
            return True
        for pool in (self._answered, self.unheard):
            for task in pool:
                logger.warning("idle connection closed to free a descriptor", idle_connections=len(self.unheard))
                del pool[task]
                self._hurried.add(task)
                if limit := self._waits.get(task):
                    limit.stop()
                return True
        return False

    def _end_lingering(self, task: asyncio.Task[None]) -> None:
        del self._lingering[task]
        self._answered.pop(task, None)
        task.cancel()

    def _record_answer(self) -> None:
        task = _current_task()
        self.unheard.pop(task, None)
        self._answered[task] = None

    async def _serve(self, sock: socket.socket) -> None:
        try:
            configure_socket(sock)
            opened = await self._first_line(sock)
            if opened is None:
                return
            task = _current_task()
            self.unheard.pop(task, None)
            self._answered.pop(task, None)
            await self._connections.serve(sock, opened)
        except OSError:
            pass
        except Exception:  # the edge of the connection's task
            logger.exception("unexpected error in an idle connection")

    async def _first_line(self, sock: socket.socket) -> protocol.OpenLine | None:
        """The request that the client opens with; None if it has left or was rejected."""
        loop = asyncio.get_running_loop()
        data, pinged = b"", False
        while True:
            read = await self._read_line(sock, data, pinged)
            if read is None:
                return None
            data = read
            if not _is_complete(data):
                await self._give_up(sock, rests=pinged and not data)
                return None
            line, end, rest = data.partition(b"\n")
            if line + end != protocol.PING:
                return await self._open(sock, data)
            self.drain_permit_is_valid()
            await loop.sock_sendall(sock, protocol.FAILED if self.away else protocol.PONG)
            self._record_answer()
            data, pinged = rest, True

    async def _give_up(self, sock: socket.socket, rests: bool) -> None:
        """No whole line is there, and none is waited for any more."""
        is_hurried = _current_task() in self._hurried
        line = protocol.FAILED
        if is_hurried:
            line = self._spread_busy_line()
        elif rests:
            line = protocol.busy_line(self._connections.retry_after_ms)
        await self._reject(sock, line, "shed" if is_hurried else "draining" if self._is_last else "silent")

    async def _read_line(self, sock: socket.socket, data: bytes, pinged: bool) -> bytes | None:
        """What there is once a line is complete or time is up; None where the client has left."""
        loop = asyncio.get_running_loop()
        buffer = bytearray(protocol.MAX_LINE)
        task = _current_task()
        if task in self._hurried:
            return data + _received(sock)
        async with self._clock.limit(self._line_limit_ms(pinged)) as limit:
            self._waits[task] = limit
            try:
                while not _is_complete(data):
                    count = await recv_into(loop, sock, buffer)
                    if not count:
                        return None
                    data += buffer[:count]
            finally:
                del self._waits[task]
        if limit.over:
            # A request may have come in the instant in which its connection is given up.
            data += _received(sock)
        return data

    def _line_limit_ms(self, pinged: bool) -> float:
        if self._is_last:
            return LAST_MS
        return IDLE_MS if pinged else FIRST_LINE_MS

    async def _open(self, sock: socket.socket, data: bytes) -> protocol.OpenLine | None:
        """The request; None if it was rejected."""
        try:
            opened = protocol.parse_open(data, self._connections.known)
            if self._connections.knows(opened.id):
                raise protocol.OpenLineError("the id of a command that is open")  # noqa: TRY301 - answered alike
        except protocol.OpenLineError as error:
            self._count_unsound(data)
            logger.info("request line rejected", reason=str(error), data=data[:LOGGED_BYTES])
            await self._reject(sock, protocol.FAILED, "unsound")
            return None
        if not (self.drain_permit_is_valid() and self.refuses) and not self._connections.full():
            return opened
        if not self.refuses:
            logger.warning("request rejected: descriptor limit reached", request_id=opened.id)
        self._connections.record_answered("throttled", opened.class_name)
        await self._reject(sock, self._spread_busy_line(), "draining" if self.refuses else "descriptors")
        return None

    def _spread_busy_line(self) -> bytes:
        """Whoever is rejected together is not to come again together."""
        return protocol.busy_line(self._connections.retry_after_ms * (0.5 + random.random() / 2))  # noqa: S311 - jitter

    def _count_unsound(self, data: bytes) -> None:
        """What is wrong may have come behind a sound line: it has a class, and counts there."""
        with contextlib.suppress(protocol.OpenLineError):
            first = protocol.parse_open(data.partition(b"\n")[0] + b"\n", self._connections.known)
            self._connections.record_answered("faulted", first.class_name)

    async def _reject(self, sock: socket.socket, line: bytes, reason: RejectReason) -> None:
        """The answer, then the client's end is awaited.

        A close with its bytes unread resets the connection, and some lose the answer with it. Whoever sends on and on
        has no such care taken.
        """
        loop = asyncio.get_running_loop()
        buffer = bytearray(protocol.MAX_LINE)
        left = LINGER_BYTES
        self._record_answer()
        self._connections.metrics.rejected[reason] += 1
        self._lingering[_current_task()] = None
        async with self._clock.limit(LINGER_MS):
            await loop.sock_sendall(sock, line)
            sock.shutdown(socket.SHUT_WR)
            while left > 0 and (count := await loop.sock_recv_into(sock, buffer)):
                left -= count


def _received(sock: socket.socket) -> bytes:
    """What has come and was not read yet."""
    try:
        return sock.recv(protocol.MAX_LINE, socket.MSG_DONTWAIT)
    except (BlockingIOError, InterruptedError):
        return b""


def _current_task() -> asyncio.Task[None]:
    task = asyncio.current_task()
    assert task is not None, "called within a task"
    return task
