"""The plan of faults, played against a run by its seed. Each kind in a stage file has one method here."""

from __future__ import annotations

import asyncio
import contextlib
import os
import random
import signal
import sqlite3
from collections.abc import Callable, Coroutine
from typing import TYPE_CHECKING, Any

import msgspec

from ..lab.spec_faults import Fault, fault_name
from . import spec, ways
from .history import S, Spell

if TYPE_CHECKING:
    from .run import Stage

SETTLE_US = 1 * S  # what a process's fault did shows so much later
STREAM_SETTLE_US = 4 * S  # and a way's: the kernel sends again after up to some seconds


class Faults:
    def __init__(self, stage: Stage, draw: random.Random) -> None:
        self.stage, self.draw = stage, draw
        self.tasks: list[asyncio.Task[None]] = []
        self.on: list[Spell] = []
        self.out: dict[int, None] = {}  # by operators, longest first
        self.cores = os.sched_getaffinity(0)

    def begin(self) -> None:
        loop = asyncio.get_running_loop()
        for f in self.stage.scene.faults:
            # What it strikes is drawn now, in the file's order, so that a seed always strikes the same.
            number = self.number(f)
            self.tasks.append(loop.create_task(self.play(f, number)))

    def number(self, f: Fault) -> int:
        for kind, count in (("balancer", self.stage.count), ("instance", len(self.stage.instances))):
            if (given := getattr(f, kind, None)) is not None:
                return given if given >= 0 else self.draw.randrange(count)
        return -1

    def close(self) -> None:
        for task in self.tasks:
            task.cancel()

    async def play(self, f: Fault, number: int) -> None:
        await asyncio.sleep(max(0.0, float(f.at_s) - self.stage.clients.seconds()))
        await getattr(self, fault_name(type(f).__name__))(f, number)

    def strike(self, f: Fault, *parties: str, lag_us: int = SETTLE_US) -> Spell:
        spell = self.stage.history.strike(fault_name(type(f).__name__), parties, lag_us)
        self.on.append(spell)
        return spell

    async def lasting(
        self,
        f: spec.Pause | spec.Squeeze | spec.ListFault | spec.Way,
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

    def lift(self, spell: Spell) -> None:
        self.stage.history.lift(spell)
        self.on.remove(spell)

    # -- processes -------------------------------------------------------------------------------------

    async def back(self, number: int, down_s: float, spell: Spell) -> None:
        """Started again, and whole once the front has taken it in."""
        stage = self.stage
        if not down_s:
            return
        await asyncio.sleep(down_s)
        stage.front.known.discard(number)
        stage.balancers[number].begin()
        while number not in stage.front.known:
            await asyncio.sleep(0.02)
        self.lift(spell)

    async def kill(self, f: spec.Kill, number: int) -> None:
        b = self.stage.balancers[number]
        spell = self.strike(f, b.name)
        b.kill()
        await b.ended(5.0)
        await self.back(number, float(f.down_s), spell)

    async def stop(self, f: spec.Stop, number: int) -> None:
        """A planned end excuses nothing: the spell begins with the process's end."""
        b = self.stage.balancers[number]
        b.signal(signal.SIGTERM, "stopping")
        if not await b.ended(float(f.patience_s)):
            b.kill()
            await b.ended(5.0)
        await self.back(number, float(f.down_s), self.strike(f, b.name))

    async def pause(self, f: spec.Pause, number: int) -> None:
        b = self.stage.balancers[number]
        await self.lasting(f, b.pause, b.resume, b.name)

    async def squeeze(self, f: spec.Squeeze, number: int) -> None:
        b = self.stage.balancers[number]
        await self.lasting(f, lambda: b.squeeze(f.nice, max(self.cores)), lambda: b.loosen(self.cores), b.name)

    # -- stand-ins -------------------------------------------------------------------------------------

    async def instance_kill(self, f: spec.InstanceKill, number: int) -> None:
        stage, s = self.stage, self.stage.instances[number]
        spell = self.strike(f, s.party)
        s.stop()
        await self.listed_later(number, "DELETED", float(stage.scene.discovery.notice_s), float(f.down_s))
        if f.down_s:
            s.again()
            await asyncio.sleep(float(stage.scene.discovery.add_s))
            stage.listing.change(number, "SERVING")
            self.lift(spell)

    async def listed_later(self, number: int, status: str, notice_s: float, within_s: float) -> None:
        """The list learns of it after its time, unless the instance is back before."""
        await asyncio.sleep(min(notice_s, within_s) if within_s else notice_s)
        if not within_s or notice_s <= within_s:
            self.stage.listing.change(number, status)
        if within_s:
            await asyncio.sleep(max(0.0, within_s - notice_s))

    async def drain(self, f: spec.Drain, number: int) -> None:
        stage, s = self.stage, self.stage.instances[number]
        stage.listing.change(number, "DRAINING")
        await asyncio.sleep(float(f.drain_s))
        spell = self.strike(f, s.party)
        s.stop()
        stage.listing.change(number, "DELETED")
        if f.down_s:
            await asyncio.sleep(float(f.down_s))
            s.again()
            stage.listing.change(number, "SERVING")
            self.lift(spell)

    async def list_fault(self, f: spec.ListFault, number: int) -> None:
        listing = self.stage.listing

        def be(how: str) -> None:
            listing.silent, listing.refuses = how == "silent", how == "refuses"
            listing.slow_s = float(f.call_ms) / 1000 if how == "slow" else 0.0

        await self.lasting(f, lambda: be(f.how), lambda: be(""), "list")

    # -- what balancers do together ------------------------------------------------------------------

    async def store_fault(self, f: spec.StoreFault, number: int) -> None:
        together = self.stage.together
        assert together
        consul = together.consul
        if consul is None:  # a file: whoever holds it is waited for
            with contextlib.closing(sqlite3.connect(together.path, isolation_level=None)) as db:
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

    async def ban(self, f: spec.Ban, number: int) -> None:
        instance = f.instance if f.instance >= 0 else self.draw.randrange(len(self.stage.instances))
        assert self.stage.together
        await self.stage.together.ban(number, instance, f.out)

    async def ticket(self, f: spec.Ticket, number: int) -> None:
        assert self.stage.together
        await self.stage.together.ticket(number, float(f.for_s))

    async def strikes(self, f: spec.Strikes, number: int) -> None:
        """Each by itself, and several at once; one that a balancer is struck by already strikes another."""
        loop, draw, lease = asyncio.get_running_loop(), self.draw, float(self.stage.scene.together.lease_ms) / 1000
        end = loop.time() + float(f.for_s)
        while loop.time() < end:
            free = [
                b.number
                for b in self.stage.balancers
                if b.up
                and not b.paused
                and not any(b.name in s.parties and s.kind in ("pause", "kill") for s in self.on)
            ]
            kind = draw.choice(f.kinds)
            if len(free) > 1:
                one, other = draw.sample(free, 2)
                if kind == "ban":
                    await self.beside(self.change_hands(one))
                elif kind == "ticket":
                    await self.beside(self.ticket(spec.Ticket(at_s=0.0, for_s=lease), one))
                elif kind == "pause":
                    for_s = lease * (draw.uniform(0.95, 1.05) if draw.random() < 0.5 else draw.uniform(0.02, 2.0))
                    await self.beside(self.pause(spec.Pause(at_s=0.0, balancer=one, for_s=for_s), one))
                elif kind == "kill":
                    await self.beside(self.kill(spec.Kill(at_s=0.0, balancer=one, down_s=draw.uniform(0.05, 1.0)), one))
                else:
                    target = "store" if kind == "store_cut" else f"balancer:{other}"
                    ends = (f"balancer:{one}", target)
                    late = 0.0 if kind != "late" else lease * 1500
                    way = spec.Way(
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
        assert self.stage.together
        n, count = self.draw.randrange(len(self.stage.instances)), len(self.stage.instances)
        if n not in self.out and len(self.out) < max(1, count // 4):
            self.out[n] = None
            await self.stage.together.ban(balancer, n, True)
        elif self.out:
            n = next(iter(self.out))
            del self.out[n]
            await self.stage.together.ban(balancer, n, False)

    async def beside(self, fault: Coroutine[Any, Any, None]) -> None:
        self.tasks.append(asyncio.get_running_loop().create_task(fault))

    # -- ways ------------------------------------------------------------------------------------------

    async def way(self, f: spec.Way, number: int) -> None:
        stage = self.stage
        every = ["clients", "list", "store", *(b.name for b in stage.balancers), *(s.party for s in stage.instances)]
        struck = {p for p in every for q in every if ways.strikes(f, p, q) or ways.strikes(f, q, p)}
        datagrams = struck <= {b.name for b in stage.balancers}
        # What balancers tell each other is no part of any rule: losing it excuses nothing.
        await self.lasting(
            f,
            lambda: stage.ways.begin(f),
            lambda: stage.ways.end(f),
            *(() if datagrams else struck),
            lag_us=STREAM_SETTLE_US,
        )
