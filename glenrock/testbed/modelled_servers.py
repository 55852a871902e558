"""Stand-ins for instances: the protocol on sockets, and behind it the laboratory's own model of one.

The model (`glenrock.simulation.model.instance`) tells how long a set-up takes, what is turned away, how late
messages are, what a report says and when a cold one falls over; here it runs on the loop's clock.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass
from math import exp

from glenrock.routing import interface

from ..simulation.model.instance import Connection, Figures, Instance, Shape
from ..simulation.model.plan import Row
from .history import EventKind, History
from .loopback import Address, Listener, LoopbackNetwork, RealTimeEngine, reset_connection
from .scenario import Scenario

S = 1_000_000
NAMES = {
    interface.LOAD_RATIO: "x0",
    interface.UTILIZATION: "util",
    "backlog": "queue",
    "backlog_s": "x1",
    "inflight": "inflight",
}
REFUSED = {"full": b"BUSY\r\n", "error": b"ERR\r\n"}
LONGEST_ECHO_S = 30.0


@dataclass(eq=False, slots=True)
class Attempt:
    """One line that came, until its connection ends."""

    id: str
    balancer: int
    done: asyncio.Future[str]
    writer: asyncio.StreamWriter
    connection: Connection | None = None


class ModelledServer:
    """One instance, with an address for each balancer."""

    def __init__(
        self,
        number: int,
        name: str,
        shape: Shape,
        figures: Figures,
        scene: Scenario,
        engine: RealTimeEngine,
        history: History,
        rows: dict[str, Row],
        net: LoopbackNetwork,
        noise: Callable[[], float],
        earn: Callable[[int, int, float], None],
        work: Callable[[Row], float],
        credit: Callable[[Row, float], None],
    ) -> None:
        self.number, self.name, self.party = number, name, f"instance:{number}"
        self.zone = scene.fleet.zones[shape.zone]
        self.scene, self.engine, self.history, self.rows = scene, engine, history, rows
        self.noise, self.work, self.credit = noise, work, credit
        self.attempts = 0
        self.model = Instance(name, number, shape, figures, self.told, engine, earn)
        self.model.last = engine.now
        self.started_ms = 0.0  # Unix time, as the list tells it; 0: long ago
        self.told_start: dict[int, float] = {}  # balancer: the start that the list told it last
        self.listeners = [
            Listener(net.next(), lambda r, w, n=n: self.serve(n, r, w)) for n in range(int(scene.fleet.balancers))
        ]
        self.open_now: dict[Attempt, None] = {}
        self.draining = False

    def address(self, balancer: int) -> Address:
        return self.listeners[balancer].address

    # -- the process -----------------------------------------------------------------------------------

    def begin(self) -> None:
        if self.started_ms or not self.model.up:
            self.model.begin(self.engine.now)
        for listener in self.listeners:
            listener.open()
        self.history.note(self.party, EventKind.STARTED, cold=bool(self.started_ms))

    def stop(self) -> None:
        """Its process dies: connections are reset, new ones are refused."""
        if not self.model.up:
            return
        self.history.note(self.party, EventKind.CRASHED)
        for listener in self.listeners:
            listener.refuse()
        self.model.stop(self.engine.now)
        for a in list(self.open_now):
            self.over(a, "self")
            reset_connection(a.writer)
        self.draining = False

    def again(self) -> None:
        self.started_ms = time.time() * 1000
        self.begin()

    def second(self) -> None:
        """Once a second: what has piled up beyond its buffer, and who is dropped for it."""
        for c in self.model.tick(self.engine.now):
            a: Attempt = c.attempt  # type: ignore[assignment]
            self.over(a, "self")
            reset_connection(a.writer)

    def close(self) -> None:
        for listener in self.listeners:
            listener.close()

    # -- one connection --------------------------------------------------------------------------------

    async def serve(self, balancer: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while line := await reader.readline():
            word = line.split(b" ", 1)[0].strip()
            if word in (b"PING", b"STATS"):
                await self.probe(word, writer)
            elif word == b"OPEN":
                await self.command(balancer, line.decode(), reader, writer)
                return
            else:
                self.history.note(self.party, EventKind.UNKNOWN_LINE, line=repr(line[:80]))
                return

    async def probe(self, word: bytes, writer: asyncio.StreamWriter) -> None:
        r = self.scene.reports
        took = self.model.work(self.engine.now, float(r.probe_ms) * 1000, r.probe_waits) / S
        self.history.note(self.party, EventKind.HEALTH_CHECK)
        await asyncio.sleep(min(took, LONGEST_ECHO_S))
        if word == b"PING":
            writer.write(b"PONG\r\n")
            return
        seen = self.model.reported(self.engine.now - round(float(r.delay_ms) * 1000))
        spread = float(r.noise)
        pairs = ",".join(f"{NAMES[n]}={seen[n] * exp(spread * self.noise()):.5f}" for n in r.names if n in seen)
        writer.write(f"PONG {pairs}\r\n".encode() if pairs else b"PONG\r\n")

    def told(self, a: object, what: str) -> None:
        """The model's word on an attempt."""
        if isinstance(a, Attempt) and not a.done.done():
            a.done.set_result(what)

    async def command(
        self, balancer: int, line: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        _, id_, _, pairs = line.split()
        fields = dict(p.split("=", 1) for p in pairs.split(","))
        row = self.rows[id_]
        loop = asyncio.get_running_loop()
        a = Attempt(id_, balancer, loop.create_future(), writer)
        self.open_now[a] = None
        self.attempts += "at" not in fields
        self.history.note(self.party, EventKind.ATTEMPT_RECEIVED, id_, balancer=balancer, at="at" in fields)
        try:
            if "at" in fields:
                self.model.opening[a] = True  # type: ignore[index]
                a.done.set_result("up")
            else:
                known = self.told_start.get(balancer, -1.0) >= self.started_ms
                self.model.arrive(self.engine.now, a, self.work(row), row.usual, known)  # type: ignore[arg-type]
                if self.model.fallen and self.model.up:
                    self.history.note(self.party, EventKind.OVERLOADED, id_, balancer=balancer)
                    self.stop()
            leaves = asyncio.ensure_future(reader.read(1))  # a client says nothing before its answer
            await asyncio.wait([a.done, leaves], return_when=asyncio.FIRST_COMPLETED)
            if not a.done.done():
                self.model.abandon(self.engine.now, a)  # type: ignore[arg-type]
                self.over(a, "peer")
                return
            leaves.cancel()
            await asyncio.wait([leaves])  # the reader is free again only then
            if a.done.result() == "up":
                await self.stand(a, row, reader, writer)
            else:
                self.over(a, "self")
                if answer := REFUSED.get(a.done.result()):
                    writer.write(answer)
                    await writer.drain()
                else:
                    reset_connection(writer)
        finally:
            self.over(a, "peer")

    async def stand(self, a: Attempt, row: Row, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        f = self.scene.classes[row.kind]
        c = a.connection = Connection(a, a.balancer, row.kind, row.group, float(f.worth) * row.weight)
        if not self.model.open(self.engine.now, c, load_at(row, self.engine)):
            reset_connection(writer)
            return
        self.history.note(self.party, EventKind.ATTEMPT_UP, a.id, balancer=a.balancer)
        writer.write(f"UP {self.name}-{a.id}\r\n".encode())
        changes = asyncio.ensure_future(self.changes(c, row, writer))
        try:
            while line := await reader.readline():
                await asyncio.sleep(min(self.model.message_us / S, LONGEST_ECHO_S))
                writer.write(line)
                await writer.drain()
        finally:
            changes.cancel()

    async def changes(self, c: Connection, row: Row, writer: asyncio.StreamWriter) -> None:
        """The client's load as it changes, told to the balancer."""
        last = -1.0
        for at, load in ((0, load_at(row, self.engine)), *row.changes):
            wait = (self.engine.day + at - self.engine.now) / S
            if at and wait < 0:
                continue
            await asyncio.sleep(max(0.0, wait if at else 0.0))
            self.model.load(self.engine.now, c, load)
            if self.scene.reports.load_told and load != last:
                writer.write(f"LOAD {load:.0f}\r\n".encode())
            last = load

    def over(self, a: Attempt, by: str) -> None:
        """Its connection is at its end, once."""
        if self.open_now.pop(a, a) is a:
            return
        if a.connection is not None:
            self.model.close(self.engine.now, a.connection)
            self.credit(self.rows[a.id], a.connection.earned)
        self.history.note(self.party, EventKind.ATTEMPT_ENDED, a.id, by=by, balancer=a.balancer)

    def day_begins(self) -> None:
        """What was served until now is no part of the day."""
        self.model.advance(self.engine.now)
        for c in self.model.held.values():
            c.since, c.earned = self.model.integrals[c.kind], 0.0

    def settle(self, a: Attempt) -> None:
        """The end of the day: seconds served so far are counted, and none after."""
        c = a.connection
        if c is not None and c.attempt in self.model.held:
            self.credit(self.rows[a.id], c.earned + self.model.integrals[c.kind] - c.since)
            a.connection, c.value = None, 0.0


def load_at(row: Row, engine: RealTimeEngine) -> float:
    """What the client asks for now, in microseconds of work a second."""
    now, load = engine.now - engine.day, row.changes[0][1] if row.changes else row.usual
    for at, size in row.changes:
        if at > now:
            break
        load = size
    return load
