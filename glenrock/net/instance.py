"""Instances: one actor each, with its executions and its probes."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Callable
from dataclasses import dataclass, field
from math import isfinite

from glenrock.routing import interface

from ..config import Address, ConfigError, address_of
from ..log import say
from . import lines
from .clock import Clock, micros
from .counts import Counts
from .errors import End, Outcome, Reach
from .mailbox import Mailbox

PROBE_MS = 250.0  # an instance that leaves a probe unanswered this long has not answered
IDLE_MS = 8000.0  # a probe connection unused this long is closed
MAIL = 1024  # probes and executions that may wait for one actor
STATES = {"SERVING": "ready", "DRAINING": "draining", "DELETED": "gone"}  # the name table's, the module's
LONGEST_NAME = 256
TABLE = 4096  # instances kept: a name table past that is not this deployment's

Post = Callable[[interface.Event], bool]


@dataclass
class Entry:
    """A row of the name table."""

    name: str
    address: Address
    status: str  # SERVING, DRAINING or DELETED
    zone: str = ""
    group: int = 0
    weight: float = 1.0
    since_ms: float = 0.0


def tune(sock: socket.socket) -> None:
    sock.setblocking(False)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)


def end(sock: socket.socket, reset: bool = False) -> None:
    """Closes a socket that nobody waits on: with FIN, or with RST."""
    with contextlib.suppress(OSError):
        if reset:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
        else:
            # close() alone would send RST if something lies unread.
            sock.shutdown(socket.SHUT_WR)
    sock.close()


@dataclass
class Execution:
    """One attempt of a command at one instance. Once it is up, `sock` is the relay's."""

    line: bytes
    timeout_ms: float
    done: Callable[[Execution, Outcome], None]
    insist: bool = False  # for a connection that stood there before this balancer did
    sock: socket.socket | None = None
    first: bytes = b""  # what came with UP, that line included
    reach: Reach = Reach.NOT_CONNECTED
    sent_at: float = 0.0
    latency_ms: float = 0.0
    withdrawn: bool = False
    wanted: Callable[[], bool] = lambda: True  # asked right before the line is written
    task: asyncio.Task | None = field(default=None, repr=False)

    def withdraw(self) -> None:
        self.withdrawn = True
        if self.task and self.sent_at:  # a task cancelled before its first step would never report
            self.task.cancel()


class Instance:
    def __init__(self, entry: Entry, clock: Clock, dial_ms: float, post: Post, counts: Counts) -> None:
        self.entry, self.clock, self.dial_ms, self.post = entry, clock, dial_ms, post
        self.counts, self.held = counts, False  # held: out of rotation by hand, whatever the name table says
        self.mailbox = Mailbox(MAIL)
        self.prober: asyncio.Task | None = None
        self.probe_sock: socket.socket | None = None
        self.probed_at = 0.0
        self.tasks: set[asyncio.Task] = set()
        self.actor = asyncio.get_running_loop().create_task(self.run())

    @property
    def serving(self) -> bool:
        return self.entry.status == "SERVING" and not self.held

    def stop(self) -> None:
        self.actor.cancel()
        if self.prober:
            self.prober.cancel()

    async def run(self) -> None:
        while True:
            for job in await self.mailbox.take():
                if isinstance(job, Execution):
                    job.task = self.start(self.execute(job))
                elif self.prober is None or self.prober.done():
                    self.prober = self.start(self.probe())

    def start(self, work) -> asyncio.Task:
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    # -- executions ----------------------------------------------------------------------------------

    async def execute(self, x: Execution) -> None:
        x.sent_at = self.clock.now()
        try:
            outcome = await self.attempt(x)
        except asyncio.CancelledError:
            outcome = Outcome(End.WITHDRAWN, x.reach)
        except OSError:
            outcome = Outcome(End.BROKEN, x.reach)
        except Exception as bad:  # the command must hear of an end, whatever went wrong
            say("execution", f"{self.entry.name}: {bad!r}")
            outcome = Outcome(End.BROKEN, x.reach)
        if outcome.end is not End.UP and x.sock:
            # Guards against a second copy: the socket is closed before the module hears of the end.
            end(x.sock)
            x.sock = None
        x.latency_ms = self.clock.now() - x.sent_at
        x.done(x, outcome)

    def left(self, x: Execution) -> float:
        return x.sent_at + x.timeout_ms - self.clock.now()

    async def attempt(self, x: Execution) -> Outcome:
        loop = asyncio.get_running_loop()
        if x.withdrawn:
            return Outcome(End.WITHDRAWN, x.reach)
        if not (self.serving or x.insist):
            return Outcome(End.NOT_SENT, x.reach)
        x.sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        tune(x.sock)
        async with self.clock.limit(min(self.dial_ms, self.left(x))) as limit:
            await loop.sock_connect(x.sock, self.entry.address)
        if limit.over:
            return Outcome(End.SILENT, x.reach)
        # The table may have changed while the connection came up.
        if not (self.serving or x.insist):
            return Outcome(End.NOT_SENT, x.reach)
        if not x.wanted():
            return Outcome(End.WITHDRAWN, x.reach)
        async with self.clock.limit(self.left(x)) as limit:
            x.reach = Reach.PARTLY_WRITTEN
            await loop.sock_sendall(x.sock, lines.with_wait(x.line, self.left(x)))
            x.reach = Reach.WRITTEN
            self.counts.relayed += 1
            return await self.answer(x, loop)
        x.reach = Reach.WRITTEN  # a write that was stopped does not tell how much is out
        return Outcome(End.SILENT, x.reach)

    async def answer(self, x: Execution, loop: asyncio.AbstractEventLoop) -> Outcome:
        buffer, splitter, whole = bytearray(lines.LONGEST), lines.Splitter(), []
        while not whole:
            count = await loop.sock_recv_into(x.sock, buffer)
            if not count:
                return Outcome(End.BROKEN, x.reach)
            x.first += buffer[:count]
            whole = splitter.feed(bytes(buffer[:count]))
            if splitter.overlong:
                return Outcome(End.ERROR, x.reach)
        word, rest = lines.words(whole[0])
        if word == "UP":
            x.reach = Reach.UP
            return Outcome(End.UP, x.reach)
        if word == "SYNTAX":
            say("syntax", f"{self.entry.name} did not understand {x.line!r}")
        end = {"BUSY": End.NACK, "BYE": End.BYE, "MOVE": End.MOVED}.get(word, End.ERROR)
        return Outcome(end, x.reach, lines.report_of(rest))

    # -- probes --------------------------------------------------------------------------------------

    async def probe(self) -> None:
        sent_at, verdict, report = self.clock.now(), "timeout", {}
        try:
            async with self.clock.limit(PROBE_MS):
                verdict, report = await self.ask(asyncio.get_running_loop())
        except OSError:
            verdict = "no_connection"
        finally:
            if verdict != "served":
                self.hang_up()
        self.probed_at = self.clock.now()
        latency = micros(self.probed_at - sent_at)
        self.post(interface.HealthCheckResult(self.entry.name, verdict, latency, report))

    async def ask(self, loop: asyncio.AbstractEventLoop) -> tuple[str, dict[str, float]]:
        if self.probe_sock:
            # Danger: an instance closes a connection that has been idle, perhaps just now. That is no word on its
            # reach: held for one, a sound instance was out of use after two such ends. Asked anew, on another.
            with contextlib.suppress(OSError):
                verdict, report = await self.question(loop)
                if verdict != "no_connection":
                    return verdict, report
            self.hang_up()
        self.probe_sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        tune(self.probe_sock)
        await loop.sock_connect(self.probe_sock, self.entry.address)
        return await self.question(loop)

    async def question(self, loop: asyncio.AbstractEventLoop) -> tuple[str, dict[str, float]]:
        await loop.sock_sendall(self.probe_sock, lines.STATS)
        buffer, splitter, text = bytearray(lines.LONGEST), lines.Splitter(), ""
        while True:
            count = await loop.sock_recv_into(self.probe_sock, buffer)
            if not count:
                return "no_connection", {}
            for line in splitter.feed(bytes(buffer[:count])):
                word, rest = lines.words(line)
                if word != "PONG" and "=" not in word:
                    return "error", {}
                text = rest if word == "PONG" else word
                if "=" in text:
                    return "served", lines.report_of(text)

    def hang_up(self) -> None:
        if self.probe_sock:
            end(self.probe_sock)
            self.probe_sock = None

    def tidy(self) -> None:
        """Closes a probe connection that has been idle."""
        idle = self.prober is None or self.prober.done()
        if idle and self.probe_sock and self.clock.now() - self.probed_at > IDLE_MS:
            self.hang_up()


class Instances:
    """All instances by name. A name is an identity: its address may change, its process may restart."""

    def __init__(self, clock: Clock, dial_ms: float, post: Post, counts: Counts) -> None:
        self.clock, self.dial_ms, self.post, self.counts = clock, dial_ms, post, counts
        self.all: dict[str, Instance] = {}
        self.out: set[str] = set()  # held, listed or not

    def hold(self, name: str, out: bool) -> None:
        """Nothing that is queued or being connected starts there any more, or all may again."""
        (self.out.add if out else self.out.discard)(name)
        if instance := self.all.get(name):
            instance.held = out

    def listed(self) -> list[str]:
        return [name for name, instance in self.all.items() if instance.entry.status != "DELETED"]

    def get(self, name: str) -> Instance | None:
        return self.all.get(name)

    def update(self, kind: str, rows: list[Entry]) -> None:
        """Takes a piece of the name table and hands it to the module: `full`, `changes` or `remembered`."""
        if kind != "changes":
            named = {row.name for row in rows}
            for name in [n for n in self.all if n not in named]:
                self.all[name].entry.status = "DELETED"
        for row in rows:
            known = self.all.get(row.name)
            if known is None and len(self.all) >= TABLE:
                self.forget()
            if known:
                if row.since_ms != known.entry.since_ms or row.address != known.entry.address:
                    if known.prober is None or known.prober.done():
                        known.hang_up()  # the process at its other end is gone
                known.entry = row
            elif len(self.all) < TABLE:
                self.all[row.name] = Instance(row, self.clock, self.dial_ms, self.post, self.counts)
                self.all[row.name].held = row.name in self.out
        now = self.clock.now()  # one that starts in the future would be cold for as long
        self.post(interface.EndpointList(kind, tuple(
            interface.Endpoint(r.name, STATES[r.status], r.zone, r.group, r.weight, micros(min(now, r.since_ms)))
            for r in rows if r.name in self.all)))

    def forget(self) -> None:
        for name in [n for n, x in self.all.items() if x.entry.status == "DELETED" and not x.tasks]:
            self.all.pop(name).stop()

    def probe(self, name: str) -> None:
        instance = self.all.get(name)
        if instance is None or not instance.mailbox.put("probe"):
            self.post(interface.HealthCheckResult(name, "unsent"))

    def tidy(self) -> None:
        for instance in self.all.values():
            instance.tidy()


def row_of(raw: dict) -> Entry:
    """ValueError, TypeError, KeyError or OverflowError where the row is not one."""
    try:
        address = address_of(raw["address"], "address")
    except ConfigError as bad:
        raise ValueError(str(bad)) from None
    row = Entry(str(raw["name"]), address, str(raw["status"]), str(raw.get("zone", "")),
                int(raw.get("group", 0)), float(raw.get("weight", 1.0)), float(raw.get("since_ms", 0)))
    if not 0 < len(row.name) <= LONGEST_NAME or row.status not in STATES or not address[1]:
        raise ValueError("no name, state or port that can be used")
    if not (isfinite(row.weight) and row.weight >= 0 and isfinite(row.since_ms) and row.since_ms >= 0):
        raise ValueError("a number out of range")
    return row
