"""The plan of faults, played against a run by its seed. Each kind in a stage file has one method here."""

from __future__ import annotations

import asyncio
import os
import random
import signal
from collections.abc import Callable
from typing import TYPE_CHECKING

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

    async def lasting(self, f: spec.Pause | spec.Squeeze | spec.ListFault | spec.Way, begin: Callable[[], object],
                      undo: Callable[[], object], *parties: str, lag_us: int = SETTLE_US) -> None:
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

    # -- ways ------------------------------------------------------------------------------------------

    async def way(self, f: spec.Way, number: int) -> None:
        stage = self.stage
        every = ["clients", "list", *(b.name for b in stage.balancers), *(s.party for s in stage.instances)]
        struck = {p for p in every for q in every if ways.strikes(f, p, q) or ways.strikes(f, q, p)}
        datagrams = struck <= {b.name for b in stage.balancers}
        # What balancers tell each other is no part of any rule: losing it excuses nothing.
        await self.lasting(f, lambda: stage.ways.begin(f), lambda: stage.ways.end(f), *(() if datagrams else struck),
                           lag_us=STREAM_SETTLE_US)
