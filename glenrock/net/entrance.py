"""Clients before their command: connections accepted, first lines read, whoever can't be read turned away."""

from __future__ import annotations

import asyncio
import contextlib
import random
import socket
import traceback
from collections.abc import Callable
from typing import Protocol

from ..config import Address
from ..log import say
from . import lines
from .clock import Clock, Limit
from .instance import tune
from .readiness import recv_into

FIRST_LINE_MS = 2000.0  # the whole first line is due by then: whoever can't be read is owed a word within 3 s
IDLE_MS = 10_000.0  # one that was answered PONG may stay this long
LINGER_MS = 1000.0  # one that was turned away has this long to end
LINGER_BYTES = 65536  # and may send this much more; past that it is cut off
AGAIN_MS = 20.0  # no connection is taken this long after one could not be
AT_ONCE = 8  # connections accepted in one turn: a flood must not keep the loop from its relays
QUEUED = 4096  # connections that the system accepts before this program does
LAST_MS = 100.0  # once no more are taken, whoever has said nothing yet has this long
FEW = 16  # connections without a command that there is always room for


def complete(data: bytes) -> bool:
    """A first line, or more of it than a line may have."""
    return b"\n" in data or len(data) >= lines.LONGEST


class Commands(Protocol):
    """What a first line needs of the table of commands, whatever becomes of them."""

    known: lines.Known
    again_ms: float  # whoever is refused comes again after this; 0: nobody may be told when

    def knows(self, id_: str) -> bool: ...
    def full(self) -> bool: ...
    def room(self) -> int: ...
    def turned_away(self, outcome: str, class_: str) -> None: ...
    async def serve(self, sock: socket.socket, opened: lines.Open) -> None: ...


class Entrance:
    def __init__(self, commands: Commands, clock: Clock) -> None:
        self.commands, self.clock = commands, clock
        self.tasks: set[asyncio.Task] = set()
        # Connections without a command, oldest first: those that have said nothing yet that could be
        # answered, and those that have had an answer and are owed no other.
        self.unheard: dict[asyncio.Task, None] = {}
        self.answered: dict[asyncio.Task, None] = {}
        self.listener: socket.socket | None = None
        self.waits: dict[asyncio.Task, Limit] = {}  # for a line of theirs
        self.last = False  # no more are taken, and nobody is waited for
        self.away = False  # clients are sent away: PING is told so
        self.refuses = False  # and new commands are refused
        self.proof: Callable[[], bool] | None = None  # of the right to that; it ends it where there is none

    def proven(self) -> bool:
        """Whether clients may be sent away. Danger: who slept since it was allowed to has the right no more, and would
        act on it before its clock has told it so."""
        return not (self.away and self.proof) or self.proof()

    def listen(self, address: Address) -> socket.socket:
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.setblocking(False)
        sock.bind(address)
        sock.listen(QUEUED)
        return sock

    def open(self, listener: socket.socket) -> None:
        """Takes connections from now on. Read when the loop says so, not by sock_accept: a connection that it has
        taken just as it is cancelled would be lost, and a successor's socket must stay whole."""
        self.listener = listener
        asyncio.get_running_loop().add_reader(listener, self.accept)

    def close(self) -> None:
        """Takes no more. What is in the queue stays there, for whoever holds the socket too; where nobody does, it is
        reset."""
        if self.listener:
            asyncio.get_running_loop().remove_reader(self.listener)
            self.listener.close()
            self.listener = None

    def leave_none(self) -> None:
        """The last of it: nobody is taken, and whoever is here is told.

        Danger: the machine has accepted what is in the queue, and a request in it is lost with the reset.
        """
        self.refuses = self.last = True
        if self.listener:
            self.accept(QUEUED)
        self.close()
        for limit in list(self.waits.values()):
            limit.stop()

    def accept(self, most: int = AT_ONCE) -> None:
        loop = asyncio.get_running_loop()
        for _ in range(most):
            try:
                sock, _ = self.listener.accept()
            except (BlockingIOError, InterruptedError):
                return
            except OSError as bad:
                # Out of descriptors, or a client that left at once: the listener must outlive both.
                say("accept", str(bad))
                self.shed()
                loop.remove_reader(self.listener)
                self.clock.call_at(self.clock.now() + AGAIN_MS, self.resume)
                return
            self.take(loop, sock)

    def resume(self) -> None:
        if self.listener:
            asyncio.get_running_loop().add_reader(self.listener, self.accept)

    def take(self, loop: asyncio.AbstractEventLoop, sock: socket.socket) -> None:
        task = loop.create_task(self.connection(sock))
        self.tasks.add(task)
        self.unheard[task] = None
        task.add_done_callback(lambda task: self.leave(task, sock))
        # Danger: silent connections by the hundred would take all descriptors, and with them the commands,
        # the probes and discovery. Past their room the oldest go at once; sound ones have spoken by then.
        while len(self.unheard) + len(self.answered) > self.commands.room():
            self.shed()

    def leave(self, task: asyncio.Task, sock: socket.socket) -> None:
        self.tasks.discard(task)
        self.unheard.pop(task, None)
        self.answered.pop(task, None)
        sock.close()

    def shed(self) -> None:
        for pool in (self.answered, self.unheard):
            for task in pool:
                say("shed", f"{len(self.unheard)} connections without a first line: the oldest is closed")
                del pool[task]
                task.cancel()
                return

    def has_answer(self) -> None:
        task = asyncio.current_task()
        self.unheard.pop(task, None)
        self.answered[task] = None

    async def connection(self, sock: socket.socket) -> None:
        try:
            tune(sock)
            opened = await self.first_line(sock)
            if opened is None:
                return
            task = asyncio.current_task()
            del (self.unheard if task in self.unheard else self.answered)[task]
            await self.commands.serve(sock, opened)
        except OSError:
            pass
        except Exception:
            say("connection", traceback.format_exc(limit=-3))

    async def first_line(self, sock: socket.socket) -> lines.Open | None:
        """The command that the client opens with; None if it has left or was turned away."""
        loop, data, pinged = asyncio.get_running_loop(), b"", False
        buffer, task = bytearray(lines.LONGEST), asyncio.current_task()
        while True:
            async with self.clock.limit(LAST_MS if self.last else IDLE_MS if pinged else FIRST_LINE_MS) as limit:
                self.waits[task] = limit
                try:
                    while not complete(data):
                        count = await recv_into(loop, sock, buffer)
                        if not count:
                            return None
                        data += buffer[:count]
                finally:
                    del self.waits[task]
            if limit.over:
                # Danger: a request may have come in the instant in which its connection is given up.
                with contextlib.suppress(BlockingIOError):
                    data += sock.recv(lines.LONGEST)
            if not complete(data):
                await self.turn_away(sock, lines.nack(self.commands.again_ms) if pinged and not data else lines.FAILED)
                return None
            line, end, rest = data.partition(b"\n")
            if line + end != lines.PING:
                break
            self.proven()
            await loop.sock_sendall(sock, lines.FAILED if self.away else lines.PONG)
            self.has_answer()
            data, pinged = rest, True
        opened = lines.parse_open(data, self.commands.known)
        if isinstance(opened, lines.Open) and self.commands.knows(opened.id):
            opened = "the id of a command that is open"
        if isinstance(opened, str):
            first = lines.parse_open(data.partition(b"\n")[0] + b"\n", self.commands.known)
            if isinstance(first, lines.Open):  # what is wrong came behind it: it has a class, and counts there
                self.commands.turned_away("faulted", first.fields["c"])
            say("first line", f"not understood, {opened}: {data[:120]!r}")
            await self.turn_away(sock, lines.FAILED)
        elif (self.proven() and self.refuses) or self.commands.full():
            if not self.refuses:
                say("descriptors", "no room for another command: nacked")
            self.commands.turned_away("throttled", opened.fields["c"])
            await self.turn_away(sock, lines.nack(self.commands.again_ms * (0.5 + random.random() / 2)))
        else:
            return opened
        return None

    async def turn_away(self, sock: socket.socket, line: bytes) -> None:
        """The answer, then the client's end is awaited: a close with its bytes unread resets the connection,
        and some lose the answer with it. Whoever sends on and on has no such care taken."""
        loop, buffer, left = asyncio.get_running_loop(), bytearray(lines.LONGEST), LINGER_BYTES
        self.has_answer()
        async with self.clock.limit(LINGER_MS):
            await loop.sock_sendall(sock, line)
            sock.shutdown(socket.SHUT_WR)
            while left > 0 and (count := await loop.sock_recv_into(sock, buffer)):
                left -= count
