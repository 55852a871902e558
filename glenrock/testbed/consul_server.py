"""A stand-in for Consul, written from its public API: sessions, KV, transactions, blocking queries.

One state whose index grows with every change. Sessions end at their TTL times `late` (the service promises never
early, and up to twice); their locks are released, and not given again for the lock delay. It can be paused, slowed,
restarted (all TTLs begin anew), rolled back to a snapshot, made to answer with stale reads where `consistent` is not
asked for, and to lose answers to what it has done.
"""

from __future__ import annotations

import asyncio
import copy
import json
import re
import uuid
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from typing import Any
from urllib.parse import parse_qs

from aiohttp import web

from .loopback import Address

SPAN = re.compile(r"([0-9.]+)(ms|s|m)")
UNITS = {"ms": 0.001, "s": 1.0, "m": 60.0}
TTL_MIN_S, MOST = 10.0, 64
LONGEST_WAIT_S = 60.0


def seconds(text: str) -> float:
    found = SPAN.fullmatch(text)
    return float(found[1]) * UNITS[found[2]] if found else 0.0


@dataclass(frozen=True, slots=True)
class Session:
    ttl: float
    delay: float
    until: float


@dataclass(frozen=True, slots=True)
class Entry:
    value: str | None
    created: int
    modified: int
    locked: int = 0
    session: str = ""

    def told(self, key: str) -> dict[str, Any]:
        more = {"Session": self.session} if self.session else {}
        return {
            "LockIndex": self.locked,
            "Key": key,
            "Flags": 0,
            "Value": self.value,
            "CreateIndex": self.created,
            "ModifyIndex": self.modified,
            **more,
        }


@dataclass(slots=True)
class State:
    """What the service keeps. Pure but for its clock."""

    now: Callable[[], float]
    late: float = 1.0
    index: int = 1
    entries: dict[str, Entry] = field(default_factory=dict)
    sessions: dict[str, Session] = field(default_factory=dict)
    delayed: dict[str, float] = field(default_factory=dict)
    gone: dict[str, int] = field(default_factory=dict)  # keys deleted, and at what index

    def expire(self) -> None:
        for name in [n for n, s in self.sessions.items() if self.now() >= s.until]:
            self.destroy(name)

    def create(self, ttl: float, delay: float) -> str:
        name = str(uuid.uuid4())
        self.sessions[name] = Session(ttl, delay, self.now() + ttl * self.late)
        return name

    def renew(self, name: str) -> bool:
        if name not in self.sessions:
            return False
        s = self.sessions[name]
        self.sessions[name] = replace(s, until=self.now() + s.ttl * self.late)
        return True

    def destroy(self, name: str) -> None:
        s = self.sessions.pop(name, None)
        for key, e in list(self.entries.items()):
            if s and e.session == name:
                self.index += 1
                self.entries[key] = replace(e, session="", modified=self.index)
                self.delayed[key] = self.now() + s.delay

    def operate(self, op: dict[str, Any]) -> tuple[dict[str, Any] | None, str]:
        """One operation of a transaction: its result, or why it fails."""
        verb, key = op["Verb"], op["Key"]
        e, session = self.entries.get(key), op.get("Session", "")
        if verb == "check-not-exists":
            return None, f"key {key} exists" if e else ""
        if verb == "check-index":
            wrong = e is None or e.modified != op["Index"]
            return None, f"current modify index is not {op['Index']}" if wrong else ""
        if verb == "check-session":
            return None, "session does not hold the key" if e is None or e.session != session else ""
        if verb == "delete":
            if self.entries.pop(key, None):
                self.index += 1
                self.gone[key] = self.index
            return None, ""
        if verb == "get-or-empty":
            return (e.told(key) if e else Entry(None, 0, 0).told(key)), ""
        if verb in ("lock", "unlock") and session not in self.sessions:
            return None, f"invalid session {session!r}"
        if verb == "lock" and ((e and e.session not in ("", session)) or self.now() < self.delayed.get(key, 0.0)):
            return None, "lock is already held, or lock-delay is in effect"
        if verb == "unlock" and (e is None or e.session != session):
            return None, "lock isn't held, or is held by another session"
        if verb not in ("set", "lock", "unlock"):
            return None, f"unknown verb {verb!r}"
        self.index += 1
        old = e or Entry(None, self.index, 0)
        held = {"set": old.session, "lock": session, "unlock": ""}[verb]
        value = op.get("Value", old.value) if verb != "unlock" else old.value
        self.entries[key] = Entry(
            value, old.created, self.index, old.locked + (verb == "lock" and old.session != session), held
        )
        return {**self.entries[key].told(key), "Value": None}, ""

    def transaction(self, operations: list[dict[str, Any]]) -> tuple[list[dict[str, Any]], list[dict[str, Any]]]:
        """All of it or nothing. Every operation that fails is told."""
        kept = copy.copy(self.entries), self.index
        results, errors = [], []
        for n, op in enumerate(operations):
            result, wrong = self.operate(op["KV"])
            if wrong:
                errors.append({"OpIndex": n, "What": wrong})
            elif result:
                results.append({"KV": result})
        if errors:
            self.entries, self.index = kept
            return [], errors
        return results, []


class ConsulServer:
    """The service on an address of the run."""

    def __init__(self, address: Address, ttl_min_s: float = TTL_MIN_S, late: float = 1.0) -> None:
        self.address, self.ttl_min = address, ttl_min_s
        self.loop = asyncio.get_running_loop()
        self.state = State(self.loop.time, late)
        self.snapshots: list[State] = []
        self.news = asyncio.Event()
        self.paused = self.refuses = self.loses = self.stale = False
        self.slow_s = 0.0
        self.calls = 0
        self.sites: list[web.TCPSite] = []
        self.runner: web.ServerRunner | None = None

    async def open(self, *more: Address) -> None:
        self.runner = web.ServerRunner(web.Server(self.serve), shutdown_timeout=0.1)
        await self.runner.setup()
        for host, port in (self.address, *more):
            site = web.TCPSite(self.runner, host, port, reuse_address=True)
            await site.start()
            self.sites.append(site)

    async def close(self) -> None:
        if self.runner:
            await self.runner.cleanup()

    # -- faults ----------------------------------------------------------------------------------------

    def keep(self) -> None:
        """A snapshot, to be rolled back to."""
        s = self.state
        self.snapshots.append(
            replace(s, entries=dict(s.entries), sessions=dict(s.sessions), delayed=dict(s.delayed), gone=dict(s.gone))
        )

    def restart(self, back: bool = False) -> None:
        """As a new leader: each TTL begins anew. `back`: with what stood in the last snapshot."""
        if back and self.snapshots:
            self.state = self.snapshots.pop()
        for name in self.state.sessions:
            self.state.renew(name)
        self.tell()

    def tell(self) -> None:
        self.news.set()
        self.news = asyncio.Event()

    # -- calls -----------------------------------------------------------------------------------------

    async def serve(self, request: web.BaseRequest) -> web.Response:
        self.calls += 1
        body = await request.read()
        if self.slow_s:
            await asyncio.sleep(self.slow_s)
        while self.paused:
            await asyncio.sleep(0.02)
        if self.refuses:
            return web.Response(status=500, text="No cluster leader")
        self.state.expire()
        before = self.state.index
        path = request.path.removeprefix("/v1/")
        if request.method == "GET" and path.startswith("kv/"):
            return await self.get(path.removeprefix("kv/"), parse_qs(request.query_string, True))
        answer = self.put(path, json.loads(body or b"null"))
        if self.state.index != before:
            self.tell()
        if self.loses:  # it was done, and nobody hears of it
            await asyncio.sleep(LONGEST_WAIT_S)
        return answer

    def put(self, path: str, body: Any) -> web.Response:
        s = self.state
        if path == "session/create":
            ttl = seconds(body.get("TTL", ""))
            if ttl < self.ttl_min:
                return web.Response(status=400, text=f"Invalid Session TTL {ttl}, must be between [{self.ttl_min}s=..]")
            return web.json_response({"ID": s.create(ttl, seconds(body.get("LockDelay", "15s")))})
        if path.startswith("session/renew/"):
            name = path.removeprefix("session/renew/")
            return web.json_response([{"ID": name}]) if s.renew(name) else web.Response(status=404)
        if path.startswith("session/destroy/"):
            s.destroy(path.removeprefix("session/destroy/"))
            return web.json_response(True)
        if path != "txn":
            return web.Response(status=404)
        if len(body) > MOST:
            return web.Response(status=413, text=f"Transaction contains too many operations (> {MOST})")
        results, errors = s.transaction(body)
        return web.json_response({"Results": results or None, "Errors": errors or None}, status=409 if errors else 200)

    async def get(self, key: str, asked: dict[str, list[str]]) -> web.Response:
        if "index" in asked:
            wait = min(LONGEST_WAIT_S, seconds(asked.get("wait", ["10s"])[0]))
            until = self.loop.time() + wait
            while (
                self.below(key, "recurse" in asked)[1] <= int(asked["index"][0])
                and (left := until - self.loop.time()) > 0
            ):
                try:
                    await asyncio.wait_for(self.news.wait(), left)
                except TimeoutError:
                    break
            self.state.expire()
        old = self.stale and "consistent" not in asked and self.snapshots
        found, index = self.below(key, "recurse" in asked, self.snapshots[-1] if old else self.state)
        return web.json_response(found, status=200 if found else 404, headers={"X-Consul-Index": str(index)})

    def below(self, key: str, recurse: bool, state: State | None = None) -> tuple[list[dict[str, Any]], int]:
        """Entries below a key, and the index of their last change: what a blocking query goes on from."""
        s = state or self.state

        def wanted(k: str) -> bool:
            return k.startswith(key) if recurse else k == key

        found = [e.told(k) for k, e in sorted(s.entries.items()) if wanted(k)]
        return found, max([1, *(e["ModifyIndex"] for e in found), *(n for k, n in s.gone.items() if wanted(k))])
