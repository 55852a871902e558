"""The fleet's work at one balancer: its store, its claims, its datagrams. The parts that do the jobs hang on it.

Loaded only where the operator's file is named. Nothing that clients wait for waits for it: with the store gone the
balancer serves on, and jobs rest.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import traceback
from collections.abc import Callable, Coroutine
from dataclasses import replace
from pathlib import Path
from typing import TYPE_CHECKING, Any

from ..config import ConfigError
from ..log import say
from ..toml_file import BadFile
from . import config as files
from . import wire
from .coldstart.milestones import Milestones
from .jobs.board import Board
from .kept import Kept
from .ownership.claim import Ended, Rules
from .ownership.fence import Fence, Taken
from .ownership.holdings import Asks, Event, Holdings
from .ownership.sqlite_store import LocalStore, boottime_us
from .ownership.store import Store, StoreDown
from .roster import Heard

if TYPE_CHECKING:
    from ..__main__ import Program
    from .coldstart.keeper import Keeper
    from .coldstart.starts import Starts

S = 1_000_000
TURN_PART, SHORTEST_S = 0.0125, 0.02  # of a lease, between two looks at the clock; renewals come long before an end
LOOK_PART = 0.2  # of a lease, between two looks at who holds what
ALL_EACH = 5  # of these looks one is at every job, not at those alone that are this one's to take
STEP_PART = LOOK_PART  # of a lease, between two members' asking for one free job: with less, who looks first were first
MAIL = 4096  # datagrams that wait
KEPT_REFUSALS = 50
SLOW_MS = 200.0  # a write that takes longer is told
AGAIN_S = 0.5  # after the store was not there


def rules_of(f: files.FleetFile) -> Rules:
    lease = round(f.lease.lease_ms * 1000)
    return Rules(lease=lease, drift=f.lease.drift, ask_within=round(f.lease.ask_ms * 1000), again=lease // 10,
                 wary=lease // 5)


def store_of(f: files.FleetFile, holder: str) -> Store:
    delay, lease = round(f.store.lock_delay_ms * 1000), round(f.lease.lease_ms * 1000)
    if f.store.kind == "sqlite":
        return LocalStore(Path(f.store.path), holder, delay, f.lease.ask_ms / 1000)
    from .ownership.consul_store import ConsulStore  # aiohttp is loaded here

    token = Path(f.store.token_file).read_text().strip() if f.store.token_file else ""
    return ConsulStore(f.store.addresses, holder, lease, f.store.prefix, delay, token)


class Fleet:
    def __init__(self, program: Program, path: str) -> None:
        try:
            self.file = files.load(Path(path))
            self.folder = Path(self.file.folder)
            self.folder.mkdir(parents=True, exist_ok=True)
        except (BadFile, OSError) as bad:
            raise ConfigError(f"fleet: {bad}") from None
        p, s = program, program.config.settings
        self.program, self.clock = program, p.clock
        self.name = p.config.name or f"balancer-{s.index}"
        self.holder = f"{self.name}/{os.getpid()}-{boottime_us()}"
        self.roster = Heard(s.index, range(s.balancers), boottime_us())
        self.rules = rules_of(self.file)
        try:
            self.store = store_of(self.file, self.holder)
        except OSError as bad:
            raise ConfigError(f"fleet: {path}: store.token_file: {bad}") from None
        self.board, self.fence, self.kept = Board(), Fence(), Kept(self.folder, self.name)
        self.holdings = Holdings(self.roster, self.rules, ["bans"] if self.file.jobs.bans else [],
                                 round(self.rules.lease * STEP_PART))
        self.hands: dict[type, Callable[[int, Any], None]] = {wire.Free: self.on_free}
        self.on_event: list[Callable[[str, Any], None]] = []
        self.after_answer: list[Callable[[str], None]] = []
        self.refusals: list[dict[str, Any]] = []
        self.inbox: list[tuple[int, wire.Message]] = []
        self.store_says = "not asked yet"
        self.tasks: set[asyncio.Task[None]] = set()
        self.wakes = asyncio.Event()
        self.look_now = asyncio.Event()
        self.writing = asyncio.Lock()
        from .bans import Bans
        from .probing import Probing
        from .turnstile import Turnstile

        self.bans = Bans(self) if self.file.jobs.bans else None
        self.turnstile = Turnstile(self, self.file.jobs.turnstile) if self.file.jobs.turnstile else None
        self.probing = Probing(self) if self.file.jobs.probe_shards else None
        self.keeper = self.keeper_of(self.file.start) if self.file.start.keep else None
        self.starts = self.starts_of(self.file.start) if self.file.start.spaced else None
        self.milestones = Milestones(p)
        if p.peers:
            p.peers.others = self.receive

    def keeper_of(self, f: files.Start) -> Keeper:
        from .coldstart.keeper import Keeper
        from .coldstart.record import Trust

        return Keeper(self.program, self.folder, self.name, Trust(f.list_ms, f.half_ms))

    def starts_of(self, f: files.Start) -> Starts:
        from .coldstart.starts import Spacing, Starts

        return Starts(self.folder, self.name, Spacing(f.sound_ms, f.most_wait_ms), self.clock.now)

    # -- life ------------------------------------------------------------------------------------------

    def start(self) -> None:
        p = self.program
        given = p.config.known
        if self.keeper:  # before the first list: what was kept serves until it comes
            p.config = replace(p.config, known=self.keeper.read(given))
            self.run(self.keeper.keep())
        kept = p.config.known is not given
        self.milestones.start("kept" if kept else "given" if given.get("endpoints") else "none")
        self.run(self.milestones.watch())
        try:
            if self.kept.read(self.fence, self.board):
                say("fleet", f"{len(self.board.words)} words and {len(self.fence.seen)} terms read back")
        except ValueError as bad:
            say("fleet", f"{self.kept.path} is left aside, the store must tell: {bad}")
        for part in (self.bans, self.turnstile, self.probing):
            if part:
                part.start()
        for work in (self.core, self.look, self.learn_terms):
            self.run(work())

    def run(self, work: Coroutine[Any, Any, None]) -> None:
        """Beside the program: what fails here is told, and ends no client."""
        async def guarded() -> None:
            try:
                await work
            except Exception:
                say("fleet", "a part of the fleet's work ended: " + traceback.format_exc(limit=-3))

        task = asyncio.get_running_loop().create_task(guarded())
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def space(self, stop: asyncio.Event) -> None:
        """Before anything is served or asked for: a process that dies again and again waits."""
        if self.starts:
            await self.starts.space(stop)

    async def stop(self) -> None:
        """Gives back what it owns, but for a ticket: the restart that it was for goes on without this process."""
        keep = self.turnstile.held if self.turnstile else ""
        for job in [j for j in self.holdings.claims if j != keep]:
            asks, events = self.holdings.leave(job, boottime_us())
            self.told(events)
            with contextlib.suppress(StoreDown, TimeoutError):
                if asks:
                    await asyncio.wait_for(self.store.ask(asks, self.rules.lease), 0.3)
                    self.tell(wire.Free(job))
        for task in list(self.tasks):
            task.cancel()
        if self.starts:  # after the jobs are free: a disk may take seconds
            await asyncio.to_thread(self.starts.ended)
        with contextlib.suppress(Exception):
            await asyncio.wait_for(self.store.close(), 0.3)

    # -- claims ----------------------------------------------------------------------------------------

    def holds(self, job: str) -> int | None:
        """Asked right before each effect leaves."""
        return self.holdings.holds(job, boottime_us())

    async def core(self) -> None:
        while True:
            for job, (term, _) in self.fence.seen.items():
                self.holdings.above(job, term)
            asks, events = self.holdings.tick(boottime_us())
            self.told(events)
            if asks:
                self.run(self.ask(asks))
            self.wakes.clear()
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.wakes.wait(), max(SHORTEST_S, self.rules.lease * TURN_PART / S))

    async def ask(self, asks: Asks) -> None:
        try:
            granted = await asyncio.wait_for(self.store.ask(asks, self.rules.lease), self.rules.ask_within / S)
        except (StoreDown, TimeoutError) as bad:
            self.down(bad)
            self.holdings.lost(asks, boottime_us())
        else:
            self.store_says = ""
            more, events = self.holdings.answered(asks, granted, boottime_us())
            self.told(events)
            if more:
                self.run(self.ask(more))
        for job, _ in asks:
            for hear in self.after_answer:
                hear(job)

    def told(self, events: list[Event]) -> None:
        for job, e in events:
            why = f"ends: {e.why}" if isinstance(e, Ended) else "begins"
            say("owner", f"{job}: term {e.term} {why}")
            for hear in self.on_event:
                hear(job, e)
            if isinstance(e, Ended) and e.why == "stepped down":
                self.tell(wire.Free(job))

    def down(self, bad: object) -> None:
        self.store_says = str(bad) or "no answer in time"
        say("fleet", f"the store: {self.store_says}; jobs rest, clients are served on")

    async def look(self) -> None:
        """Who holds what, so that a job that comes free is taken."""
        turn = 0
        while True:
            turn += 1
            jobs = self.holdings.to_look_at(boottime_us(), turn % ALL_EACH == 0)
            if jobs:
                with contextlib.suppress(StoreDown, TimeoutError):
                    leases = await asyncio.wait_for(self.store.leases(jobs), self.rules.ask_within / S)
                    self.holdings.looked(jobs, leases, boottime_us())
            self.look_now.clear()
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.look_now.wait(), self.rules.lease * LOOK_PART / S)

    def on_free(self, peer: int, m: wire.Free) -> None:
        self.look_now.set()

    async def learn_terms(self) -> None:
        """A fence whose memory is lost takes nothing until the store has said which terms there were."""
        while not self.fence.known:
            try:
                leases = await self.store.leases()
                self.fence.learned({job: (lease.term, 0) for job, lease in leases.items()})
            except StoreDown as bad:
                self.down(bad)
                await asyncio.sleep(AGAIN_S)

    # -- receivers -------------------------------------------------------------------------------------

    def refuse(self, peer: int, job: str, term: int, taken: Taken) -> None:
        self.refusals = [*self.refusals[1 - KEPT_REFUSALS:], {
            "at_ms": round(self.clock.now()), "peer": peer, "job": job, "term": term, "seen": taken.seen,
            "why": taken.why}]
        say("refused", f"balancer {peer}, {job}, term {term}: {taken.why}")

    async def write(self) -> bool:
        """What is known, before it is acted on. Danger: a disk may take seconds, and clients would wait for it."""
        async with self.writing:
            raw, began = self.kept.snapshot(self.fence, self.board), self.clock.now()
            try:
                merged = await asyncio.to_thread(self.kept.write, raw)
            except OSError as bad:
                say("fleet", f"{self.kept.path} cannot be written, so nothing is taken: {bad}")
                return False
        if merged:
            changes = self.kept.take(raw, self.fence, self.board)
            if self.bans:
                self.bans.changes.update(changes)
        if (took := self.clock.now() - began) > SLOW_MS:
            say("fleet", f"{self.kept.path}: writing took {took:.0f} ms")
        return True

    # -- datagrams -------------------------------------------------------------------------------------

    def receive(self, peer: int, data: bytes) -> None:
        """What comes on the peers' socket and is no summary. Handled together, once a turn of the loop."""
        self.roster.hear(peer, boottime_us())
        if data[:1] < b"\xf1":
            return
        m = wire.decode(data)
        if m is None or type(m) not in self.hands:
            say("fleet", f"datagram of {len(data)} bytes from balancer {peer} ignored: it cannot be read")
            return
        if not self.inbox:
            asyncio.get_running_loop().call_soon(self.read)
        if len(self.inbox) < MAIL:
            self.inbox.append((peer, m))

    def read(self) -> None:
        mail, self.inbox = self.inbox, []
        for peer, m in mail:
            self.hands[type(m)](peer, m)
        if self.bans:
            self.bans.unsettled.set()

    def send(self, peer: int, m: wire.Message) -> None:
        data = wire.encode(m)
        if data is not None and self.program.peers:
            self.program.peers.tell_one(peer, data)

    def tell(self, m: wire.Message) -> None:
        for peer in self.roster.heard:
            self.send(peer, m)

    # -- operators -------------------------------------------------------------------------------------

    def view(self) -> str:
        now = boottime_us()
        h = self.holdings
        return json.dumps({
            "name": self.name, "holder": self.holder, "store": self.store_says or "answers",
            "members": sorted(self.roster.members(now)),
            "jobs": {job: {"term": c.term, "left_ms": max(0, c.until - now) // 1000, "state": c.state}
                     for job, c in h.claims.items() if c.state != "idle" or job in h.jobs},
            "seen": self.fence.seen, "refused": self.fence.refused, "refusals": self.refusals,
            "words": {s: {"out": w.out, "revision": w.revision} for s, w in self.board.words.items()},
            "start": {"says": self.keeper.says if self.keeper else "nothing is kept", **self.milestones.view()},
            "wishes": len(self.board.wishes), "digest": f"{self.board.digest:016x}",
            "ticket": self.turnstile.held if self.turnstile else ""}, indent=1)

