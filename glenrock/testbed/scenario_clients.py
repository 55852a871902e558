"""Clients of a scenario: an open loop, drawn ahead by the simulation's workload."""

from __future__ import annotations

import asyncio
import contextlib
from dataclasses import dataclass

from ..simulation.model.client import Habits
from ..simulation.model.plan import Row
from .frontend import Frontend
from .history import EventKind, History
from .loopback import Address, RealTimeEngine
from .scenario import Scenario

S = 1_000_000
SILENT_S = 2.0  # a client waits this much longer than it said before it calls an answer lost
STANDING_S = 40.0  # one that stood before the run waits so long to stand again
DIAL_S = 1.0  # to a balancer: it is near


@dataclass(eq=False, slots=True)
class Caller:
    row: Row
    tries: int = 0
    failures: int = 0
    again: bool = False
    standing: bool = False


class ScenarioClients:
    """All of them. `counts` are the laboratory's."""

    def __init__(
        self,
        scene: Scenario,
        rows: list[Row],
        front: Frontend,
        addresses: list[Address],
        habits: Habits,
        engine: RealTimeEngine,
        history: History,
        registry: dict[str, Row],
        counts: dict[str, int],
        waited: list,
    ) -> None:  # type: ignore[type-arg]
        self.scene, self.rows, self.front, self.addresses = scene, rows, front, addresses
        self.habits, self.engine, self.history = habits, engine, history
        self.registry, self.counts, self.waited = registry, counts, waited
        self.callers = [Caller(row) for row in rows]
        self.tasks: set[asyncio.Task[None]] = set()
        self.ends: list[tuple[Row, asyncio.Timeout]] = []  # of those that stood before
        self.before = 0  # who stood before the run and is not up again yet

    def seconds(self) -> float:
        """Of the day; 0 until it begins."""
        return (self.engine.now - self.engine.day) / S if self.engine.day else 0.0

    def standing(self) -> int:
        return sum(c.standing for c in self.callers)

    def waiting(self) -> int:
        now = self.seconds() * S
        return sum(not c.standing and c.row.arrival <= now < c.row.end for c in self.callers)

    def place(self, balancers: int, instances: list[str]) -> None:
        """Those that stood before: each at an instance of its own draw, evenly over the balancers."""
        standing = [c for c in self.callers if c.row.arrival < 0]
        self.before = len(standing)
        for n, c in enumerate(standing):
            self.start(self.life(c, n % balancers, instances[c.row.group % len(instances)]))

    def begin(self) -> None:
        """The day begins: those that stood before it leave by its clock too."""
        for row, limit in self.ends:
            with contextlib.suppress(RuntimeError):  # it has ended meanwhile
                limit.reschedule(self.engine.zero + (self.engine.day + row.end) / S)
        self.ends.clear()
        for c in self.callers:
            if c.row.arrival >= 0:
                self.start(self.life(c))

    def start(self, life) -> None:  # type: ignore[no-untyped-def]
        task = asyncio.get_running_loop().create_task(life)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def close(self) -> None:
        for task in self.tasks:
            task.cancel()

    async def life(self, c: Caller, balancer: int | None = None, at: str = "") -> None:
        row = c.row
        await asyncio.sleep(max(0.0, row.arrival / S - self.seconds()))
        self.counts["clients"] += 1
        since = self.engine.now
        while self.seconds() * S < row.end:
            number = balancer if balancer is not None else self.front.pick()
            if number is None:
                self.counts["unreachable"] += 1
                c.failures += 1
                await asyncio.sleep(self.habits.after_failure(c) / S)  # type: ignore[arg-type]
                continue
            how, wait = await self.attempt(c, number, since, at)
            balancer, at = None, ""
            if how == "own":
                return
            if how in ("moved", "eof", "reset"):
                c.again, since = True, self.engine.now
                wait = self.habits.after_move() if how == "moved" else self.habits.after_break()
            elif how == "refused":
                wait = self.habits.after_refusal(c, wait)  # type: ignore[arg-type]
            else:
                wait = self.habits.after_failure(c)  # type: ignore[arg-type]
            await asyncio.sleep(wait / S)

    async def attempt(self, c: Caller, number: int, since: int, at: str) -> tuple[str, int]:
        """One try: how it ended, and what a refusal said of when to come back, in microseconds."""
        row, kind = c.row, self.scene.classes[c.row.kind]
        c.tries += 1
        self.counts["tries"] += 1
        id_ = f"{row.number}.{c.tries}"
        self.registry[id_] = row
        fields = f"c={kind.name},t={self.scene.tenants[row.tenant].name},g={row.group:x}"
        fields += f",at={at}" if at else f",d={float(kind.give_up_ms):.0f}{',again=1' if c.again else ''}"
        try:
            async with asyncio.timeout(DIAL_S):
                reader, writer = await asyncio.open_connection(*self.addresses[number])
        except (OSError, TimeoutError):
            self.counts["unreachable"] += 1
            c.failures += 1
            self.before -= bool(at)
            return "unreachable", 0
        patience = STANDING_S if at else float(kind.give_up_ms) / 1000
        try:
            writer.write(f"OPEN {id_} {row.number:x} {fields}\r\n".encode())
            self.history.note("clients", EventKind.SENT, id_, balancer=number, d_ms=patience * 1000, at=at)
            try:
                how, told = await self.answer(c, id_, number, reader, patience)
            finally:
                self.before -= bool(at)
            if how == "up":
                self.waited[row.kind].record_value(max(1, self.engine.now - since))
                return await self.stand(c, id_, number, reader, writer), 0
            c.failures += 1
            return how, told
        finally:
            writer.close()

    async def answer(
        self, c: Caller, id_: str, number: int, reader: asyncio.StreamReader, patience: float
    ) -> tuple[str, int]:
        try:
            async with asyncio.timeout(patience + SILENT_S):
                line = await reader.readline()
        except TimeoutError:
            self.counts["overdue"] += 1
            self.history.note("clients", EventKind.GAVE_UP, id_, balancer=number)
            return "silent", 0
        except OSError:
            line = b""
        word, _, rest = line.decode("ascii", "replace").strip().partition(" ")
        if not line.endswith(b"\n"):
            self.counts["broken"] += 1
            self.history.note("clients", EventKind.CLOSED_UNANSWERED, id_, balancer=number)
            return "closed", 0
        if word == "UP":
            self.counts["set_up"] += 1
            self.history.note(
                "clients", EventKind.ANSWERED, id_, balancer=number, answer="UP", instance=rest.rpartition("-")[0]
            )
            return "up", 0
        self.counts["refused" if word == "BUSY" else "failed"] += 1
        self.history.note("clients", EventKind.ANSWERED, id_, balancer=number, answer=word)
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(SILENT_S):
                while more := await reader.readline():  # an answer is one line
                    self.history.note("clients", EventKind.ANSWERED, id_, balancer=number, answer=repr(more))
        told = int(rest) * 1000 if word == "BUSY" and rest.isdecimal() else 0
        return "refused" if word == "BUSY" else "failed", told

    async def stand(
        self, c: Caller, id_: str, number: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> str:
        c.standing, c.failures = True, 0
        asks = asyncio.ensure_future(self.asks(writer))
        how = "own"
        try:
            async with asyncio.timeout(max(0.0, c.row.end / S - self.seconds())) as limit:
                if c.row.arrival < 0 and not c.again and not self.engine.day:
                    self.ends.append((c.row, limit))
                while True:
                    line = await reader.readline()
                    if not line.endswith(b"\n"):
                        how = "eof"
                        break
                    if line == b"MOVE\r\n":
                        self.counts["moved"] += 1
                        how = "moved"
                        break
        except TimeoutError:
            pass
        except OSError:
            how = "reset"
        finally:
            c.standing = False
            asks.cancel()
        if how in ("eof", "reset"):
            self.counts["broken"] += 1
        self.history.note("clients", EventKind.CONNECTION_ENDED, id_, balancer=number, how=how)
        return how

    async def asks(self, writer: asyncio.StreamWriter) -> None:
        every = float(self.scene.rig.ask_s)
        with contextlib.suppress(OSError):
            while True:
                await asyncio.sleep(every)
                writer.write(b"ask\r\n")
                await writer.drain()
