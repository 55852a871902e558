"""The plan of faults, played against a run by its seed. Each kind in a stage file has one method here."""

from __future__ import annotations

import asyncio
import contextlib
import os
import random
import sqlite3
from collections.abc import Callable, Coroutine
from typing import TYPE_CHECKING, Any

import msgspec

from ..simulation.spec_faults import Fault, fault_name
from . import network_faults, scenario
from .history import US_PER_S, FaultInterval
from .scenario_testbed import ScenarioTestbed

if TYPE_CHECKING:
    from .operator_calls import Operator

SETTLE_US = 1 * US_PER_S  # what a process's fault did shows so much later
STREAM_SETTLE_US = 4 * US_PER_S  # and a way's: the kernel sends again after up to some seconds


class ScenarioFaultPlayer:
    def __init__(self, bed: ScenarioTestbed, draw: random.Random) -> None:
        self.bed, self.draw = bed, draw
        self.operator: Operator | None = None  # where the scenario has a store
        self.tasks: list[asyncio.Task[None]] = []
        self.on: list[FaultInterval] = []
        self.out: dict[int, None] = {}  # by operators, longest first
        self.cores = os.sched_getaffinity(0)

    def begin(self) -> None:
        loop = asyncio.get_running_loop()
        for f in self.bed.scenario.faults:
            # What it strikes is drawn now, in the file's order, so that a seed always strikes the same.
            number = self.number(f)
            self.tasks.append(loop.create_task(self.play(f, number)))

    def number(self, f: Fault) -> int:
        for kind, count in (("balancer", self.bed.balancer_count), ("instance", len(self.bed.servers))):
            if (given := getattr(f, kind, None)) is not None:
                return given if given >= 0 else self.draw.randrange(count)
        return -1

    def close(self) -> None:
        for task in self.tasks:
            task.cancel()

    async def play(self, f: Fault, number: int) -> None:
        await asyncio.sleep(max(0.0, float(f.at_s) - self.bed.clients.seconds()))
        await getattr(self, fault_name(type(f).__name__))(f, number)

    def strike(self, f: Fault, *parties: str, lag_us: int = SETTLE_US) -> FaultInterval:
        spell = self.bed.history.begin_fault(fault_name(type(f).__name__), parties, lag_us)
        self.on.append(spell)
        return spell

    async def lasting(
        self,
        f: scenario.Pause | scenario.Squeeze | scenario.ListFault | scenario.Way,
        begin: Callable[[], object],
        undo: Callable[[], object],
        *parties: str,
        lag_us: int = SETTLE_US,
    ) -> None:
        """A fault that lasts its time and is undone then."""
        spell = self.strike(f, *parties, lag_us=lag_us)
        begin()
        await asyncio.sleep(float(f.for_s))
        undo()
        self.lift(spell)

    def lift(self, spell: FaultInterval) -> None:
        self.bed.history.end_fault(spell)
        self.on.remove(spell)

    # -- processes -------------------------------------------------------------------------------------

    async def back(self, number: int, down_s: float, spell: FaultInterval) -> None:
        """Started again, and whole once the front has taken it in."""
        bed = self.bed
        if not down_s:
            return
        await asyncio.sleep(down_s)
        bed.frontend.known.discard(number)
        bed.balancers[number].start()
        while number not in bed.frontend.known:
            await asyncio.sleep(0.02)
        self.lift(spell)

    async def kill(self, f: scenario.Kill, number: int) -> None:
        b = self.bed.balancers[number]
        spell = self.strike(f, b.party)
        b.kill()
        await b.wait_ended(5.0)
        await self.back(number, float(f.down_s), spell)

    async def stop(self, f: scenario.Stop, number: int) -> None:
        """A planned end excuses nothing: the spell begins with the process's end."""
        b = self.bed.balancers[number]
        b.terminate()
        if not await b.wait_ended(float(f.patience_s)):
            b.kill()
            await b.wait_ended(5.0)
        await self.back(number, float(f.down_s), self.strike(f, b.party))

    async def pause(self, f: scenario.Pause, number: int) -> None:
        b = self.bed.balancers[number]
        await self.lasting(f, b.pause, b.resume, b.party)

    async def squeeze(self, f: scenario.Squeeze, number: int) -> None:
        b = self.bed.balancers[number]
        await self.lasting(f, lambda: b.limit_cpu(f.nice, max(self.cores)), lambda: b.restore_cpu(self.cores), b.party)

    # -- stand-ins -------------------------------------------------------------------------------------

    async def instance_kill(self, f: scenario.InstanceKill, number: int) -> None:
        bed, s = self.bed, self.bed.servers[number]
        spell = self.strike(f, s.party)
        s.stop()
        await self.listed_later(number, "DELETED", float(bed.scenario.discovery.notice_s), float(f.down_s))
        if f.down_s:
            s.again()
            await asyncio.sleep(float(bed.scenario.discovery.add_s))
            bed.discovery.change(number, "SERVING")
            self.lift(spell)

    async def listed_later(self, number: int, status: str, notice_s: float, within_s: float) -> None:
        """The list learns of it after its time, unless the instance is back before."""
        await asyncio.sleep(min(notice_s, within_s) if within_s else notice_s)
        if not within_s or notice_s <= within_s:
            self.bed.discovery.change(number, status)
        if within_s:
            await asyncio.sleep(max(0.0, within_s - notice_s))

    async def drain(self, f: scenario.Drain, number: int) -> None:
        bed, s = self.bed, self.bed.servers[number]
        bed.discovery.change(number, "DRAINING")
        await asyncio.sleep(float(f.drain_s))
        spell = self.strike(f, s.party)
        s.stop()
        bed.discovery.change(number, "DELETED")
        if f.down_s:
            await asyncio.sleep(float(f.down_s))
            s.again()
            bed.discovery.change(number, "SERVING")
            self.lift(spell)

    async def list_fault(self, f: scenario.ListFault, number: int) -> None:
        discovery = self.bed.discovery

        def be(how: str) -> None:
            discovery.silent, discovery.refuses = how == "silent", how == "refuses"
            discovery.slow_s = float(f.call_ms) / 1000 if how == "slow" else 0.0

        await self.lasting(f, lambda: be(f.how), lambda: be(""), "list")

    # -- what balancers do together ------------------------------------------------------------------

    async def store_fault(self, f: scenario.StoreFault, number: int) -> None:
        store = self.bed.store
        assert store is not None, "the scenario has a store"
        consul = store.consul
        if consul is None:  # a file: whoever holds it is waited for
            with contextlib.closing(sqlite3.connect(store.path, isolation_level=None)) as db:
                await self.lasting(f, lambda: db.execute("BEGIN IMMEDIATE"), lambda: db.execute("ROLLBACK"), "store")
            return
        if f.how in ("rollback", "stale"):
            consul.keep()

        def be(on: bool) -> None:
            consul.paused, consul.refuses = on and f.how in ("paused", "restart"), on and f.how == "refuses"
            consul.loses, consul.stale = on and f.how == "loses", on and f.how == "stale"
            consul.slow_s = float(f.call_ms) / 1000 if on and f.how == "slow" else 0.0
            if not on and f.how in ("restart", "rollback"):
                consul.restart(back=f.how == "rollback")

        await self.lasting(f, lambda: be(True), lambda: be(False), "store")

    async def ban(self, f: scenario.Ban, number: int) -> None:
        instance = f.instance if f.instance >= 0 else self.draw.randrange(len(self.bed.servers))
        assert self.operator is not None, "the scenario has a store"
        await self.operator.override_server(number, instance, f.out)

    async def ticket(self, f: scenario.Ticket, number: int) -> None:
        assert self.operator is not None, "the scenario has a store"
        await self.operator.drain_balancer(number, float(f.for_s))

    async def strikes(self, f: scenario.Strikes, number: int) -> None:
        """Each by itself, and several at once; one that a balancer is struck by already strikes another."""
        loop, draw, lease = asyncio.get_running_loop(), self.draw, float(self.bed.scenario.together.lease_ms) / 1000
        end = loop.time() + float(f.for_s)
        while loop.time() < end:
            free = [
                b.number
                for b in self.bed.balancers
                if b.is_running
                and not b.is_paused
                and not any(b.party in s.parties and s.kind in ("pause", "kill") for s in self.on)
            ]
            kind = draw.choice(f.kinds)
            if len(free) > 1:
                one, other = draw.sample(free, 2)
                if kind == "ban":
                    await self.beside(self.change_hands(one))
                elif kind == "ticket":
                    await self.beside(self.ticket(scenario.Ticket(at_s=0.0, for_s=lease), one))
                elif kind == "pause":
                    for_s = lease * (draw.uniform(0.95, 1.05) if draw.random() < 0.5 else draw.uniform(0.02, 2.0))
                    await self.beside(self.pause(scenario.Pause(at_s=0.0, balancer=one, for_s=for_s), one))
                elif kind == "kill":
                    await self.beside(
                        self.kill(scenario.Kill(at_s=0.0, balancer=one, down_s=draw.uniform(0.05, 1.0)), one)
                    )
                else:
                    target = "store" if kind == "store_cut" else f"balancer:{other}"
                    ends = (f"balancer:{one}", target)
                    late = 0.0 if kind != "late" else lease * 1500
                    way = scenario.Way(
                        at_s=0.0,
                        source=ends[draw.random() < 0.5],
                        target="",
                        for_s=lease * draw.uniform(0.2, 2.0),
                        cut=kind != "late",
                        delay_ms=late,
                    )
                    way = msgspec.structs.replace(way, target=ends[way.source == ends[0]])
                    await self.beside(self.way(way, -1))
            await asyncio.sleep(float(f.each_ms) / 1000 * draw.uniform(0.5, 1.5))

    async def change_hands(self, balancer: int) -> None:
        """An operator takes an instance out, or calls back the one that has been out longest."""
        assert self.operator is not None, "the scenario has a store"
        n, count = self.draw.randrange(len(self.bed.servers)), len(self.bed.servers)
        if n not in self.out and len(self.out) < max(1, count // 4):
            self.out[n] = None
            await self.operator.override_server(balancer, n, True)
        elif self.out:
            n = next(iter(self.out))
            del self.out[n]
            await self.operator.override_server(balancer, n, False)

    async def beside(self, fault: Coroutine[Any, Any, None]) -> None:
        self.tasks.append(asyncio.get_running_loop().create_task(fault))

    # -- ways ------------------------------------------------------------------------------------------

    async def way(self, f: scenario.Way, number: int) -> None:
        bed = self.bed
        every = ["clients", "list", "store", *(b.party for b in bed.balancers), *(s.party for s in bed.servers)]
        struck = {p for p in every for q in every if network_faults.strikes(f, p, q) or network_faults.strikes(f, q, p)}
        datagrams = struck <= {b.party for b in bed.balancers}
        # What balancers tell each other is no part of any rule: losing it excuses nothing.
        await self.lasting(
            f,
            lambda: bed.paths.begin(f),
            lambda: bed.paths.end(f),
            *(() if datagrams else struck),
            lag_us=STREAM_SETTLE_US,
        )
