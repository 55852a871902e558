"""The stage's side of the fleet's work: the store, each balancer's operator's file, operators, the wire.

The judge reads terms from the store itself, effects from the datagrams that receivers answer with, drains from the
front's PING, and bans from the lines that instances get: not from what a balancer says of itself.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import sqlite3
from typing import TYPE_CHECKING, Any

import aiohttp

from ..coordination import datagrams
from ..coordination.leases.consul_store import decode_lock_value, unescape_key
from .consul import Consul

if TYPE_CHECKING:
    from .run import Stage

LOOK_S = 0.05
CALL_S = 5.0


class Together:
    def __init__(self, stage: Stage) -> None:
        self.stage, self.told = stage, stage.scene.together
        self.path = stage.folder / "store.db"
        self.consul: Consul | None = None
        self.tasks: list[asyncio.Task[None]] = []
        self.terms: dict[str, int] = {}
        self.client: aiohttp.ClientSession | None = None
        if self.told.store == "consul":
            self.consul = Consul(stage.net.next(), 0.0, self.told.late)
            self.addresses = [stage.way(f"balancer:{n}", "store", self.consul.address) for n in range(stage.count)]

    # -- files -----------------------------------------------------------------------------------------

    def config(self, n: int) -> dict[str, Any]:
        """What is added to a balancer's configuration."""
        folder = self.stage.folder / f"balancer-{n}"
        folder.mkdir(parents=True, exist_ok=True)
        t = self.told
        store: dict[str, Any] = {"kind": t.store, "lock_delay_ms": t.lock_delay_ms}
        if self.consul:
            host, port = self.addresses[n]
            store |= {"addresses": [f"{host}:{port}"], "shortest_ms": t.lease_ms}
        else:
            store["path"] = str(self.path)
        tables = {
            "store": store,
            "lease": {"lease_ms": t.lease_ms, "drift": t.drift, "ask_ms": t.ask_ms},
            "jobs": {"bans": t.bans, "turnstile": t.turnstile, "probe_shards": t.probe_shards},
            "start": {"keep": t.keep, "spaced": t.spaced, "sound_ms": t.sound_ms},
        }
        lines = [f"folder = {json.dumps(str(folder))}"]
        for name, values in tables.items():
            lines += [f"[{name}]", *(f"{key} = {json.dumps(value)}" for key, value in values.items())]
        (folder / "fleet.toml").write_text("\n".join(lines) + "\n", encoding="utf-8")
        host, port = self.stage.net.admin(n)
        return {"fleet": str(folder / "fleet.toml"), "admin": f"{host}:{port}"}

    # -- life ------------------------------------------------------------------------------------------

    async def open(self) -> None:
        self.client = aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=CALL_S))
        if self.consul:
            await self.consul.open()
        self.stage.post.seen = self.crossed
        self.tasks.append(asyncio.get_running_loop().create_task(self.watch()))

    async def close(self) -> None:
        for task in self.tasks:
            task.cancel()
        if self.client:
            await self.client.close()
        if self.consul:
            self.consul.paused = self.consul.loses = False
            await self.consul.close()

    async def watch(self) -> None:
        """Each term that begins, from the store itself, and each balancer's word on every server that is out."""
        while True:
            for job, (term, holder) in self.leases().items():
                if term != self.terms.get(job):
                    self.terms[job] = term
                    self.stage.history.note("store", "term", job=job, term=term, holder=holder)
            await asyncio.sleep(LOOK_S)

    def leases(self) -> dict[str, tuple[int, str]]:
        if self.consul:
            found = {}
            for key, e in self.consul.state.entries.items():
                if "/jobs/" in key and e.value:
                    value = decode_lock_value(e.told(key))
                    found[unescape_key(key.rpartition("/")[2])] = value.term, value.holder
            return found
        with (
            contextlib.suppress(sqlite3.Error),
            contextlib.closing(sqlite3.connect(f"file:{self.path}?mode=ro", uri=True, timeout=0)) as db,
        ):
            return {job: (term, holder) for job, term, holder in db.execute("SELECT job, term, holder FROM lease")}
        return {}

    def owner(self, job: str) -> int:
        """The number of the balancer that the store says holds it, or held it last; -1: nobody."""
        holder = self.leases().get(job, (0, ""))[1]
        return int(holder.partition("/")[0][1:]) if holder else -1

    # -- what is seen ----------------------------------------------------------------------------------

    def crossed(self, sender: int, receiver: int, data: bytes) -> None:
        """A datagram that a balancer has sent, whatever becomes of it."""
        m = datagrams.decode(data) if data[:1] >= b"\xf1" else None
        if isinstance(m, datagrams.Acknowledgement) and m.sequence:
            self.stage.history.note(
                f"balancer:{sender}",
                "effect",
                job=m.job,
                term=m.term,
                number=m.sequence,
                ok=m.is_accepted,
                seen=m.highest_term,
                order=m.verdict_sequence,
            )
        elif isinstance(m, datagrams.Acknowledgement):
            self.stage.history.note(f"balancer:{sender}", "mark refused", job=m.job, term=m.term, seen=m.highest_term)

    # -- operators -------------------------------------------------------------------------------------

    async def call(self, n: int, method: str, path: str) -> tuple[int, str]:
        """Status and text; 0 where no answer came."""
        assert self.client is not None
        host, port = self.stage.net.admin(n)
        try:
            async with self.client.request(method, f"http://{host}:{port}{path}") as answer:
                return answer.status, await answer.text()
        except (aiohttp.ClientError, TimeoutError, OSError) as bad:
            return 0, repr(bad)

    async def view(self, n: int) -> dict[str, Any]:
        status, text = await self.call(n, "GET", "/v1/fleet")
        return json.loads(text) if status == 200 else {}

    async def ban(self, n: int, instance: int, out: bool) -> None:
        name = self.stage.instances[instance].name
        self.stage.history.note("operator", "says", balancer=n, instance=f"instance:{instance}", out=out)
        status, text = await self.call(n, "POST", f"/v1/session-servers/{name}/{'suspend' if out else 'resume'}")
        self.stage.history.note(
            "operator",
            "heard",
            balancer=n,
            instance=f"instance:{instance}",
            out=out,
            status=status,
            text=text.strip()[:100],
        )

    async def ticket(self, n: int, for_s: float) -> None:
        status, text = await self.call(n, "POST", "/v1/balancer/drain")
        self.stage.history.note("operator", "drain", balancer=n, status=status, text=text.strip()[:100])
        if status == 200:
            await asyncio.sleep(for_s)
            status, text = await self.call(n, "POST", "/v1/balancer/activate")
            self.stage.history.note("operator", "activate", balancer=n, status=status, text=text.strip()[:100])

    async def agree(self, within_s: float) -> list[str]:
        """Who does not say the same of all servers within that time, in words."""
        until = asyncio.get_running_loop().time() + within_s
        while True:
            views = {b.number: await self.view(b.number) for b in self.stage.balancers if b.up and not b.paused}
            words = {n: {s: w["out"] for s, w in v.get("words", {}).items()} for n, v in views.items()}
            apart = [
                f"balancer {n}: {w or views[n].get('store', 'no answer')}"
                for n, w in words.items()
                if w != next(iter(words.values())) or not views[n] or views[n]["wishes"]
            ]
            if not apart or asyncio.get_running_loop().time() > until:
                return apart
            await asyncio.sleep(0.1)
