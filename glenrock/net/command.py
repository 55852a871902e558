"""Commands: a client from its first line to its end."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

from glenrock.routing import interface

from ..log import say
from . import lines
from .clock import micros
from .entrance import LINGER_MS
from .errors import End, Outcome, Reach
from .instance import Execution, end
from .mailbox import Mailbox
from .readiness import recv_into

if TYPE_CHECKING:
    from .command_server import CommandServer

STANDING_MS = 38_000.0  # a standing connection is lost when it is not up after 40 s
UNKNOWN_MS = 2000.0  # where one stands at an instance that nobody knows, its client is owed a word within 3 s
AGAIN_MS = 250.0  # between two tries for one
GUARD_MS = 20.0  # a command that has no decision this long after its time is failed; 58 ms are allowed
BUFFER = 8192
MAIL = 32  # messages that may wait for one command


class Ended(Enum):
    CLIENT_FIN = "client fin"
    CLIENT_RST = "client rst"
    INSTANCE_FIN = "instance fin"
    INSTANCE_RST = "instance rst"
    TOO_EARLY = "bytes before the answer"
    BETWEEN_LINES = "ready to move"
    OVERDUE = "overdue"


ENDINGS = {"BYE": "served", "MOVE": "cancelled", "ERR": "error"}  # an instance's last words, and how the relay ended
CLIENT_ENDS = (Ended.CLIENT_FIN, Ended.CLIENT_RST, Ended.TOO_EARLY)


@dataclass(frozen=True)
class Answered:
    execution: Execution
    outcome: Outcome


@dataclass(frozen=True)
class Move:
    verdict: str


@dataclass(frozen=True)
class Dismiss:
    """It is to have its answer now: the process ends, or sends its clients away."""

    retry_after_ms: float


@dataclass(frozen=True)
class HandOver:
    give: Callable[[Command], Awaitable[bool]]  # true once another process has taken the relay


class Command:
    """One client connection from its first line to its end: an actor. It alone closes its sockets."""

    def __init__(self, server: CommandServer, sock: socket.socket, opened: lines.Open) -> None:
        self.server, self.clock, self.decider = server, server.clock, server.decider
        self.sock, self.opened = sock, opened
        self.arrived = self.clock.now()
        self.deadline = self.arrived + opened.wait_ms
        self.mailbox = Mailbox(MAIL)
        self.execution: Execution | None = None
        self.attempt = -1
        self.up = asyncio.Event()
        self.over = False  # the module hears no more of it
        self.quit = False  # nothing is sent on for it any more
        self.counted = False  # in the figures
        self.ended = False  # it has had its last word, or is about to
        self.splitter = lines.Splitter()
        self.passed = False  # part of a line has been passed on to the client, and its end has not
        self.asked_at: float | None = None  # the oldest client line that nothing has answered
        self.moving = ""  # the verdict of a move that is under way
        self.idle = self.idle_up = False  # the down pump waits for the instance, the other one for the client
        self.offered = False  # to a successor
        self.load = opened.load  # as last known, where it comes from another process
        self.last_word = ""
        self.tasks: list[asyncio.Task] = []

    # -- what the module's actions do (decider.Command) ------------------------------------------------

    def execute(self, instance: str, timeout_ms: float) -> None:
        """Danger: the module decides for clients that have left meanwhile, and for those that have had an answer."""
        if self.quit:
            return
        self.attempt += 1
        self.launch(instance, timeout_ms, False)

    def withdraw(self, attempt: int) -> None:
        if self.execution and attempt == self.attempt and not self.up.is_set():
            self.execution.withdraw()

    def nack(self, retry_after_ms: float) -> None:
        self.mailbox.deliver(lines.nack(retry_after_ms))

    def fail(self) -> None:
        self.mailbox.deliver(lines.FAILED)

    def move(self) -> None:
        self.mailbox.put(Move("cancelled"))

    def launch(self, name: str, timeout_ms: float, insist: bool) -> None:
        if self.quit:  # a standing one is tried again by a timer, whatever has become of its client
            return
        self.name = name
        x = self.execution = Execution(self.opened.line, timeout_ms, self.answered, insist, wanted=self.waits)
        instance = self.server.instances.get(name)
        if instance is None or not instance.mailbox.put(x):
            self.answered(x, Outcome(End.NOT_SENT, Reach.NOT_CONNECTED))

    def answered(self, x: Execution, outcome: Outcome) -> None:
        self.mailbox.deliver(Answered(x, outcome))

    def waits(self) -> bool:
        """Whether the client still waits, by what the machine has of it now.

        Danger: after a turn that came late its end and the instance's connection are both there, and the line was
        written before the up pump had its turn: sent on for a client that had left long ago.
        """
        try:
            ended = Ended.TOO_EARLY if self.sock.recv(1, socket.MSG_PEEK) else Ended.CLIENT_FIN
        except (BlockingIOError, InterruptedError):
            return True
        except OSError:
            ended = Ended.CLIENT_RST
        self.mailbox.deliver(ended)
        return False

    # -- before UP -----------------------------------------------------------------------------------

    def request(self) -> interface.Request:
        f, o = self.opened.fields, self.opened
        return interface.Request(o.id, f["c"], micros(self.deadline), o.key, o.group, f.get("t", ""), self.load,
                          f.get("again") == "1")

    async def run(self) -> None:
        loop = asyncio.get_running_loop()
        self.tasks.append(loop.create_task(self.pump_up(loop)))
        guard = None
        standing = self.opened.fields.get("at")
        try:
            if standing is not None:
                self.launch(standing, STANDING_MS, True)
            else:
                # Guards against a module that failed: its own timer answers some milliseconds before `d`.
                guard = self.clock.call_at(self.deadline + GUARD_MS, self.mailbox.deliver, Ended.OVERDUE)
                if not self.decider.post(self.request()):
                    self.over = True
                    self.nack(self.server.again_ms)
            if await self.settle(standing):
                if guard:
                    guard.cancel()
                self.tasks.append(loop.create_task(self.pump_down(loop)))
                await self.relay()
        finally:
            if guard:
                guard.cancel()
            await self.close()

    async def settle(self, standing: str | None) -> bool:
        """Until it is up (true) or has had its answer."""
        while True:
            mail = await self.mailbox.next()
            if isinstance(mail, bytes):
                self.over = True
                await self.refuse(mail)
                return False
            if isinstance(mail, Dismiss):
                # Danger: to be refused says that coming again is harmless. Of an attempt that may have run it is not.
                harmless = standing is None and self.decider.may_refuse(self.opened.id)
                self.gone()
                await self.refuse(lines.nack(mail.retry_after_ms) if harmless else lines.FAILED)
                return False
            if mail is Ended.OVERDUE:
                say("overdue", f"{self.opened.id} had no decision in time")
                self.gone()
                await self.refuse(lines.FAILED)
                return False
            if isinstance(mail, Ended):
                self.quit = True
                if standing is None:
                    self.gone()
                if mail is Ended.TOO_EARLY:
                    say("first line", f"{self.opened.id} sent bytes before its answer: failed")
                    await self.refuse(lines.FAILED)
                self.count("left")
                return False
            if isinstance(mail, Answered) and mail.execution is self.execution:
                if mail.outcome.end is End.UP:
                    self.started(mail.execution, standing)
                    return True
                if standing is None:
                    self.report(mail.outcome.verdict, False, mail.outcome.report)
                elif self.clock.now() > self.arrived + (
                        STANDING_MS if self.server.instances.get(standing) else UNKNOWN_MS):
                    await self.refuse(lines.FAILED)
                    return False
                else:
                    self.clock.call_at(self.clock.now() + AGAIN_MS, self.launch, standing, STANDING_MS,
                                       True)

    def started(self, x: Execution, standing: str | None) -> None:
        self.count("fulfilled")
        if standing is not None:
            self.attempt = 0
            self.decider.post(interface.OpenConnection(self.request(), standing))
        else:
            latency_us = micros(x.latency_ms)
            self.decider.post(interface.ConnectionEstablished(self.opened.id, self.attempt, self.name, latency_us))

    def report(self, verdict: str, done: bool, report: dict[str, float]) -> None:
        latency = micros(self.execution.latency_ms) if self.execution else 0
        self.decider.post(interface.AttemptEnded(self.opened.id, self.attempt, self.name, verdict, done, latency,
                                          report))

    def gone(self) -> None:
        if not self.over:
            self.over = True
            self.decider.post(interface.ClientDisconnected(self.opened.id))

    def count(self, outcome: str) -> None:
        """Each connection counts once: as what came first."""
        if not self.counted:
            self.counted = True
            self.server.counts.add(outcome, self.opened.fields["c"])

    async def refuse(self, line: bytes) -> None:
        """Its answer, where it is not up. The attempt that is out ends first: its client comes again at once."""
        self.quit = True
        await self.abandon()
        await self.finish(line)

    async def finish(self, line: bytes) -> None:
        """The one final answer. Then the client's end is awaited: a close with its bytes unread would reset
        the connection and the answer with it."""
        loop, self.ended = asyncio.get_running_loop(), True
        self.count("throttled" if line.startswith(b"BUSY") else "faulted")
        with contextlib.suppress(OSError):
            async with self.clock.limit(LINGER_MS):
                await loop.sock_sendall(self.sock, line)
                self.sock.shutdown(socket.SHUT_WR)
                await self.client_end()

    async def client_end(self) -> None:
        while await self.mailbox.next() not in CLIENT_ENDS:
            pass

    # -- the relay -----------------------------------------------------------------------------------

    async def pump_up(self, loop: asyncio.AbstractEventLoop) -> None:
        """Client to instance; before UP it only notices the client's end."""
        buffer, ended = bytearray(BUFFER), Ended.CLIENT_FIN
        try:
            while True:
                self.idle_up = True
                count = await recv_into(loop, self.sock, buffer)
                self.idle_up = False
                if not count:
                    break
                if not self.up.is_set():
                    # A client waits for its answer. What it sends before must never reach an instance: it
                    # would be read there as a first line, or as one of another command.
                    ended = Ended.TOO_EARLY
                    return
                if self.execution.sock is None:  # the instance's side is closed: only the client's end counts
                    continue
                if self.asked_at is None and b"\n" in buffer[:count]:
                    self.asked_at = self.clock.now()
                try:
                    await loop.sock_sendall(self.execution.sock, memoryview(buffer)[:count])
                except OSError:
                    ended = None  # the instance's end is told by the other pump
                    return
        except OSError:
            ended = Ended.CLIENT_RST
        except asyncio.CancelledError:
            ended = None  # stopped: the client is still there
            raise
        finally:
            if ended:
                self.mailbox.deliver(ended)

    async def pump_down(self, loop: asyncio.AbstractEventLoop) -> None:
        """Instance to client, and what the lines tell the module."""
        inst, chunk, ended = self.execution.sock, self.cut(self.execution.first), Ended.INSTANCE_FIN
        self.execution.first = b""
        buffer = bytearray(BUFFER)
        try:
            while True:
                if chunk:
                    try:
                        await loop.sock_sendall(self.sock, chunk)
                    except OSError:
                        return  # the client's end is told by the other pump
                    self.up.set()
                if self.moving and not self.passed:
                    ended = Ended.BETWEEN_LINES
                    break
                self.idle = True
                count = await recv_into(loop, inst, buffer)
                self.idle = False
                if count:
                    chunk = self.cut(bytes(buffer[:count]))
                elif not (chunk := self.rest()):
                    break
        except OSError:
            ended = Ended.INSTANCE_RST
        self.mailbox.deliver(ended)

    def cut(self, chunk: bytes) -> bytes:
        """What of these bytes and those held may be passed on now: whole lines, and all there is of one too long.

        Danger: whoever passed on a part of a line could not move the client while its instance hangs in the middle of
        it. MOVE would be read as the rest of that line.
        """
        data = self.held() + chunk
        self.learn(self.splitter.feed(chunk))
        at = data.rfind(b"\n") + 1
        if self.splitter.overlong or self.passed and not at:
            at = len(data)
        if at:
            self.passed = data[at - 1:at] != b"\n"
        return data[:at]

    def held(self) -> bytes:
        """The part of a line that the client has nothing of."""
        return b"" if self.passed else self.splitter.part

    def rest(self) -> bytes:
        """What is held, where the instance has ended within a line: an end comes in kind."""
        data, self.passed = self.held(), True
        return data

    def learn(self, whole: list[bytes]) -> None:
        now = self.clock.now()
        for line in whole:
            self.last_word, rest = lines.words(line)
            if self.last_word == "LOAD":
                load = lines.number(rest)
                if load is not None and load >= 0:
                    self.decider.post(interface.ConnectionFeedback(self.opened.id, self.name, load=load))
            elif self.asked_at is not None and self.up.is_set():
                took, self.asked_at = now - self.asked_at, None
                self.server.took(self, took)

    async def relay(self) -> None:
        while True:
            mail = await self.mailbox.next()
            if isinstance(mail, Move):
                if self.begin_move(mail.verdict):
                    await self.end_with(Ended.BETWEEN_LINES)
                    return
            elif isinstance(mail, Dismiss):
                if self.begin_move("cancelled"):
                    await self.end_with(Ended.BETWEEN_LINES)
                    return
            elif isinstance(mail, bytes):
                # It was refused or failed just as it came up, and the module has forgotten it. It stands all the same.
                self.attempt = 0
                self.decider.post(interface.OpenConnection(self.request(), self.name))
            elif isinstance(mail, HandOver):
                if await self.hand_over(mail.give):
                    return
            elif mail is Ended.OVERDUE and self.moving:
                # No line end came. Within a line MOVE would be read as part of it: a reset instead.
                await self.end_with(Ended.BETWEEN_LINES if self.may_move() else Ended.INSTANCE_RST)
                return
            elif isinstance(mail, Ended) and mail is not Ended.OVERDUE:
                await self.end_with(mail)
                return

    def may_move(self) -> bool:
        """The client stands between two lines, and nothing that was read is on its way to it."""
        return self.idle and not self.passed

    def begin_move(self, verdict: str) -> bool:
        """Whether the client can be moved now. Else the down pump says so once it can be, or it is cut off.

        Danger: the instance's side must not be shut to wake the pump. What comes in that instant was passed on, half a
        line among it, and its rest never came: the client was cut off (70 of 556 of a short day).
        """
        if not self.moving:
            self.moving = verdict
            if self.may_move():
                return True
            self.clock.call_at(self.clock.now() + LINGER_MS / 2, self.mailbox.deliver, Ended.OVERDUE)
        return False

    def still(self) -> bool:
        """Up, and both pumps wait with nothing read that is not written: another process may go on from here."""
        return (self.up.is_set() and not self.moving and not self.ended and self.idle and self.idle_up
                and not self.held() and not any(task.done() for task in self.tasks))

    async def hand_over(self, give: Callable[[Command], Awaitable[bool]]) -> bool:
        self.offered = False
        if not self.still():
            return False
        await self.stop_pumps(0)
        if not await give(self):
            self.start_pumps()
            return False
        # The connection goes on, elsewhere: closed here, but never shut down.
        self.ended = True
        self.execution.sock.close()
        self.execution.sock = None
        self.sock.close()
        self.tell_end("cancelled")
        return True

    def start_pumps(self) -> None:
        loop = asyncio.get_running_loop()
        self.tasks = [loop.create_task(self.pump_up(loop)), loop.create_task(self.pump_down(loop))]

    def take_over(self, name: str, sock: socket.socket) -> None:
        """A relay that stood in another process: its pumps run once this returns."""
        self.name, self.attempt, self.counted = name, 0, True
        self.execution = Execution(self.opened.line, 0, self.answered, True, sock, reach=Reach.UP)
        self.up.set()
        self.decider.post(interface.OpenConnection(self.request(), name))
        self.start_pumps()

    async def carry_on(self) -> None:
        try:
            await self.relay()
        finally:
            await self.close()

    async def hand_back(self) -> None:
        await self.stop_pumps(1)
        line = self.parting()
        await self.leave_instance()
        self.tell_end(self.moving)
        await self.finish(line)

    def parting(self) -> bytes:
        """MOVE, and before it the whole lines that came at the last moment. An instance that ended meanwhile has had
        its last word: nothing is added to it."""
        try:
            data = self.cut(self.execution.sock.recv(BUFFER))
        except OSError:
            return lines.MOVE
        if self.passed:  # the client has not: it goes without
            return lines.MOVE
        return data if data and self.last_word in ENDINGS else data + lines.MOVE

    async def end_with(self, mail: Ended) -> None:
        """Passes an end on in kind, within a second."""
        self.ended = True
        if mail is Ended.BETWEEN_LINES:
            await self.hand_back()
        elif mail is Ended.INSTANCE_FIN:
            self.tell_end(ENDINGS.get(self.last_word, "broken"))
            await self.leave_instance()
            await self.finish(b"")
        elif mail is Ended.INSTANCE_RST:
            self.tell_end("broken")
            await self.stop_pumps(0)
            end(self.sock, reset=True)
        elif mail in (Ended.CLIENT_RST, Ended.TOO_EARLY):
            self.tell_end("cancelled")
            await self.stop_pumps(0)
            self.close_instance(reset=True)
        else:
            self.tell_end("cancelled")
            with contextlib.suppress(OSError):
                self.execution.sock.shutdown(socket.SHUT_WR)
                async with self.clock.limit(LINGER_MS):
                    await self.instance_end()

    async def instance_end(self) -> None:
        while await self.mailbox.next() not in (Ended.INSTANCE_FIN, Ended.INSTANCE_RST):
            pass

    def tell_end(self, verdict: str) -> None:
        if not self.over:
            self.over = True
            self.report(verdict, True, {})

    # -- the end -------------------------------------------------------------------------------------

    async def stop_pumps(self, first: int) -> None:
        # uvloop wants nobody waiting on a socket that is closed.
        for task in self.tasks[first:]:
            task.cancel()
        await asyncio.gather(*self.tasks[first:], return_exceptions=True)

    def close_instance(self, reset: bool = False) -> None:
        if self.execution and self.execution.sock:
            sock, self.execution.sock = self.execution.sock, None
            end(sock, reset)

    async def leave_instance(self) -> None:
        """Closes the instance's side, while the client's end is still looked out for.

        Danger: the up pump may wait for room at an instance that hangs, or have ended with it. Nobody would read what
        the client sends then, and a close over it takes the client's last line along.
        """
        if self.idle_up:
            self.close_instance()
            return
        await self.stop_pumps(0)
        self.close_instance()
        loop = asyncio.get_running_loop()
        self.tasks = [loop.create_task(self.pump_up(loop))]

    async def close(self) -> None:
        self.quit = True
        await self.stop_pumps(0)
        await self.abandon()
        self.close_instance()
        end(self.sock)

    async def abandon(self) -> None:
        """Ends the attempt that is out, one that still lies with its instance's actor too."""
        x = self.execution
        if x and not self.up.is_set():
            x.withdraw()
            if x.task and not x.task.done():
                await asyncio.wait([x.task])
            self.close_instance()
