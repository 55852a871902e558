"""A run: stand-ins and processes brought up, the plan of faults played, everything ended, the judge asked."""

from __future__ import annotations

import asyncio
import os
import random
import time
from collections.abc import Callable
from pathlib import Path
from typing import TYPE_CHECKING, Any

from ..lab import spec as lab
from ..lab.measure import Measure, rounded, told
from ..lab.model import plan as plans
from ..lab.model import shapes
from ..lab.model.client import Habits
from ..lab.model.plan import Row
from ..lab.streams import Streams
from . import config, judge
from . import judge_together as judged
from .clients import Clients
from .faults import Faults
from .front import Front
from .history import History, S
from .instances import Standin
from .listing import Listing
from .net import Address, LoopEngine, Net
from .processes import Balancer
from .relays import Post, TcpRelay
from .spec import Scene, Strikes, Way
from .ways import Ways

if TYPE_CHECKING:
    from .together import Together

STANDING_S = 40.0  # those that stood before the run are up again within this
AGREE_S = 10.0  # after the last fault all say the same of what is done together
MOST_RELAYED = 40  # balancers whose words go through the rig where no fault strikes them: each pair takes a socket
START_GAP_S = 0.005
END_S = 2.0  # after the day: answers that are still due


class NotReady(Exception):
    """The processes did not come up in time; the message says which."""


class Stage:
    """One run of a scene, drawn by its seed. All of it lives in one event loop but the balancers' processes."""

    def __init__(
        self, scene: Scene, seed: int, folder: Path, live: Callable[[Stage], None] | None = None, net: Net | None = None
    ) -> None:
        self.scene = scene = lab.drawn(scene, seed)  # type: ignore[assignment]
        self.seed, self.folder, self.live, self.net = seed, folder, live, net or Net()
        self.streams = streams = Streams(seed)
        self.shapes = shapes.shapes(scene, streams)
        self.figures = shapes.figures(scene)
        capacity = sum(s.cores * s.speed for s in self.shapes) * S
        self.plan = plans.plan(scene, streams, capacity)
        self.count = int(scene.fleet.balancers)
        self.length_s = float(scene.length_s)
        self.measure = Measure(scene, self.plan.asked, 0, len(self.shapes))
        self.rows: dict[str, Row] = {}
        planned = tuple(f for f in scene.faults if isinstance(f, Way))
        if any(isinstance(f, Strikes) and "store_cut" in f.kinds for f in scene.faults):
            planned += (Way(at_s=0.0, source="balancer:*", target="store", cut=True),)  # which of them is drawn later
        self.ways = Ways(planned)
        self.relays: list[TcpRelay] = []
        self.balancers: list[Balancer] = []
        self.began = False
        self.cpu: dict[int, float] = {}
        self.apart: list[str] = []
        self.started = 0.0

    # -- bringing up ---------------------------------------------------------------------------------

    def build(self) -> None:
        """Everything but the processes; sockets are bound, nothing is served yet."""
        scene, r = self.scene, self.scene.rig
        self.engine = LoopEngine()
        self.history = History(lambda: self.engine.now)
        noise, work = self.streams.normals("report noise"), self.streams.exponentials("set-up work")
        setups = [(float(c.setup_ms) * 1000, c.setup_spread == "exp") for c in scene.classes]

        def work_of(row: Row) -> float:
            mean, spread = setups[row.kind]
            return mean * work() if spread else mean

        self.instances = [
            Standin(
                n,
                f"s-{n:03d}",
                shape,
                self.figures,
                scene,
                self.engine,
                self.history,
                self.rows,
                self.net,
                noise,
                self.earn,
                work_of,
                self.measure.credit,
            )
            for n, shape in enumerate(self.shapes)
        ]
        addresses = {
            (b, s.number): self.way(f"balancer:{b}", s.party, s.address(b))
            for b in range(self.count)
            for s in self.instances
        }
        self.listing = Listing(
            self.instances, addresses, self.history, self.net, self.count, r.call_ms, float(r.line_s)
        )
        struck = any(f.source[:4] == f.target[:4] for f in self.ways.planned) or scene.together.store
        self.post = Post(self.ways, self.net, self.count, self.seed, bool(struck) or self.count <= MOST_RELAYED)
        fronts = [self.way("clients", f"balancer:{b}", self.net.balancer(b)) for b in range(self.count)]
        self.front = Front(fronts, float(scene.front.notice_s), r.admit_s, self.history, self.seed)
        self.clients = Clients(
            scene,
            self.plan.rows,
            self.front,
            fronts,
            Habits(scene.clients, self.streams),
            self.engine,
            self.history,
            self.rows,
            self.measure.counts,
            self.measure.waits,
        )
        self.together: Together | None = None
        if scene.together.store:
            from .together import Together  # aiohttp is loaded here

            self.together = Together(self)
        self.faults = Faults(self, random.Random(self.seed))

    def way(self, source: str, target: str, onward: Address) -> Address:
        """The address that `source` is given: the target's own, or a relay's where a fault is planned on the way."""
        if not self.ways.needs(source, target):
            return onward
        relay = TcpRelay(self.ways, source, target, self.net.next(), onward)
        self.relays.append(relay)
        return relay.listener.address

    def earn(self, at_us: int, kind: int, worth: float) -> None:
        if self.began:
            self.measure.earn(at_us - self.engine.day, kind, worth)

    def config(self, n: int) -> dict[str, Any]:
        told = lab.settings_of(self.scene, n, self.scene.fleet.zones[0], self.plan.quotas)
        host, port = self.way(f"balancer:{n}", "list", self.listing.address(n))
        listen, peer = self.net.balancer(n), self.net.peer(n)
        more = self.together.config(n) if self.together else {}
        if self.scene.rig.known:
            more["known"] = self.listing.answer(n, None)
        return {
            "name": f"n{n}",
            "listen": f"{listen[0]}:{listen[1]}",
            "discovery": f"{host}:{port}",
            "seed": f"{self.seed * 1000 + n:x}",
            "limits": {"sockets": self.scene.rig.sockets},
            "settings": config.settings(told, tuple(t.name for t in self.scene.tenants)),
            "peer_listen": f"{peer[0]}:{peer[1]}",
            "peers": self.post.peers_of(n),
            **more,
        }

    async def open(self) -> None:
        for s in self.instances:
            s.begin()
        self.listing.open()
        await self.post.open()
        if self.together:
            await self.together.open()
        for n in range(self.count):
            self.balancers.append(
                Balancer(n, self.folder / f"balancer-{n}", self.config(n), self.history, self.scene.rig.memory_mb)
            )
        for relay in self.relays:
            relay.open()
        self.started = asyncio.get_running_loop().time()
        for b in self.balancers:
            b.begin()
            # A start takes tens of milliseconds of this loop; the stand-ins must go on between two.
            await asyncio.sleep(START_GAP_S)
        self.front.open()
        until = asyncio.get_running_loop().time() + float(self.scene.rig.ready_s)
        while len(self.front.known) < self.count:
            if asyncio.get_running_loop().time() > until:
                missing = sorted(set(range(self.count)) - self.front.known)
                raise NotReady(
                    f"balancer {missing[0]} did not answer PING in time; its log: "
                    f"{self.balancers[missing[0]].folder / 'log'}"
                )
            await asyncio.sleep(0.02)
        self.clients.place(self.count, [s.name for s in self.instances])
        until = asyncio.get_running_loop().time() + STANDING_S
        while self.clients.before and asyncio.get_running_loop().time() < until:
            await asyncio.sleep(0.02)

    # -- the day -------------------------------------------------------------------------------------

    async def play(self) -> dict[str, Any]:
        """The whole run, bounded in time. Whatever happens, no process and no socket of it is left."""
        self.build()
        wall, cpu = time.monotonic(), time.process_time()
        try:
            await self.open()
            for s in self.instances:
                s.day_begins()
            self.engine.day = self.history.day = self.engine.now
            self.began = True
            self.clients.begin()
            self.faults.begin()
            for second in range(int(self.length_s) + 1):
                await asyncio.sleep(max(0.0, second - self.clients.seconds()))
                self.second(second)
            await asyncio.sleep(max(0.0, self.length_s - self.clients.seconds()))
            for s in self.instances:
                s.model.advance(self.engine.now)
                for a in list(s.open_now):
                    s.settle(a)
            self.measure.ask(self.plan.rows, round(self.length_s * S))
            self.began = False
            await asyncio.sleep(END_S)
            self.cpu = {b.number: b.cpu_s() for b in self.balancers}
            if self.together:
                self.apart = await self.together.agree(AGREE_S)
        finally:
            self.end()
            if self.together:
                await self.together.close()
        figures = judge.Figures(
            self.scene.rules.drain_grace_ms,
            self.scene.rules.answer_grace_ms,
            self.scene.together.turnstile,
            self.history.events[-1].at,
            tuple(self.apart),
        )
        verdict = judge.judge(self.history, figures)
        return self.summary(verdict, time.monotonic() - wall, time.process_time() - cpu)

    def second(self, n: int) -> None:
        m = self.measure
        load = 0.0
        for s in self.instances:
            s.second()
            if s.model.up:
                whole = s.model.capacity(self.engine.now)
                load += s.model.demand
                if n < m.seconds:
                    m.heat[s.number, n] = s.model.demand / whole if whole > 0 else 0.0
                if s.model.held:
                    m.messages.record_value(int(min(3e9, max(1, s.model.message_us))), len(s.model.held))
            elif n < m.seconds:
                m.heat[s.number, n] = -1
        for b in self.balancers:
            for line in b.log_lines():
                self.history.note(b.name, "log", text=line)
        if n < m.seconds:
            m.put(
                n,
                load=load / self.plan.capacity,
                standing=float(self.clients.standing()),
                cap=float("nan"),
                line=float(self.clients.waiting()),
                refused=float(m.counts["refused"]),
                attempts=float(sum(s.attempts for s in self.instances)),
                broken=float(m.counts["broken"]),
                up=float(sum(s.model.up for s in self.instances)),
                balancers=float(sum(b.up and not b.paused for b in self.balancers)),
            )
        if self.live:
            self.live(self)

    def end(self) -> None:
        """Everything, in an order in which nobody is left waiting."""
        self.engine.closed = True
        self.faults.close()
        self.clients.close()
        self.front.close()
        for b in self.balancers:
            b.end()
        for part in (*self.relays, self.listing, self.post, *self.instances):
            part.close()

    def told(self) -> dict[str, Any]:
        """What a start cost at the list service; seconds from when the first process was started."""
        heard = sorted(round(at - self.started, 3) for at in self.listing.heard.values())
        part = {f"p{q}_s": heard[max(0, q * len(heard) // 100 - 1)] if heard else None for q in (50, 95, 100)}
        return {
            "heard": len(heard),
            **part,
            "calls": self.listing.calls,
            "refused": self.listing.refused,
            "longest_line": self.listing.longest,
        }

    # -- what it came to -----------------------------------------------------------------------------

    def summary(self, v: judge.Verdict, wall_s: float, cpu_s: float) -> dict[str, Any]:
        """The laboratory's keys, and what only a stage has: `excused`, `seen`, `processes`."""
        m, c = self.measure, self.measure.counts
        c["attempts"] = sum(s.attempts for s in self.instances)
        c["probes"] = sum(1 for _ in self.history.each("probed"))
        c["list_calls"], c["list_refused"] = self.listing.calls, self.listing.refused
        c["datagrams"], c["datagrams_lost"] = self.post.carried, self.post.lost
        first = max(1, c["clients"])
        rules = {name: sum(b.rule == name for b in v.breaches) for name in judge.CHECKS}
        day, lease_us = self.engine.day, round(self.scene.together.lease_ms * 1000)
        faults = [
            {
                "kind": s.kind,
                "from_s": rounded((s.begin - day) / S),
                "to_s": rounded(min(self.length_s, (s.end - day) / S)),
            }
            for s in self.history.spells
            if s.begin - day < self.length_s * S
        ]
        return {
            "format": 1,
            "experiment": self.scene.name,
            "seed": self.seed,
            "policy": "processes",
            "failure": "",
            "worth": m.worth(),
            "rules": rules,
            "excused": dict(v.excused),
            "seen": dict(v.seen),
            "breaches": [
                {
                    "rule": b.rule,
                    "at_s": rounded((b.at - day) / S),
                    "text": b.text,
                    "request": b.id,
                    "balancer": b.balancer,
                    "instance": b.instance,
                    "led": list(b.led),
                }
                for b in v.breaches[:20]
            ],
            "recovery_s": m.recovery(faults),
            "counts": dict(c),
            "per_client": {
                k: rounded(c[k] / first)
                for k in ("tries", "attempts", "refused", "failed", "broken", "moved", "probes", "peer_bytes")
            },
            "crossing_part": 0.0,
            "fairness": m.fairness(),
            "setup": {k.name: told(h) for k, h in zip(self.scene.classes, m.waits, strict=True)},
            "messages": told(m.messages),
            "refusals": told(m.refusals),
            "fleet": {
                "balancers": self.count,
                "instances": len(self.instances),
                "capacity_cores": rounded(self.plan.capacity / S),
                "clients_per_s": rounded(self.plan.per_s),
            },
            "list": self.told(),
            "processes": {
                b.name: {"lives": b.lives, "cpu_s": rounded(self.cpu.get(b.number, 0.0))} for b in self.balancers
            },
            **({"together": judged.figures(self.history, lease_us)} if self.together else {}),
            "clock": {
                "wall_s": round(wall_s, 3),
                "cpu_s": round(cpu_s, 3),
                "cores": os.cpu_count() or 1,
                "events": len(self.history.events),
            },
        }


def play(
    scene: Scene, seed: int, folder: Path, live: Callable[[Stage], None] | None = None, net: Net | None = None
) -> tuple[Stage, dict[str, Any]]:
    """Plays a scene in this process's own loop. Raises NotReady."""
    stage = Stage(scene, seed, folder, live, net)
    return stage, asyncio.run(stage.play())
