"""The store of several machines: Consul, by its published HTTP API (sessions, KV, transactions, blocking queries).

`PREFIX/jobs/JOB` is the lock of a job; its value holds the term, who holds it and the terms before. A term is told
out of one transaction that checks the lock's index and takes it, so of two that read the same state one is refused,
and a call that was given up and comes late changes nothing. `PREFIX/work/JOB/record/KEY` and `.../wish/KEY` are
records and wishes.

A session lives at least its TTL from when the store took the last renewal, or longer: a holder counts from before it
asked. A session that lives proves no lock (an operator may have taken it away), so renewals check each lock's index.
"""

from __future__ import annotations

import asyncio
import base64
import json
import re
import time
from collections.abc import Mapping, Sequence
from typing import Any

import aiohttp

from .claim import Ask
from .store import NO_TIME, Lease, Past, Record, StoreDown

PATIENCE_S = 1.5  # of one call
MOST = 64  # operations in a transaction, of the service
KEPT = 20  # past terms in a lock's value
FEW = 4  # locks read one by one; more are read at once

Entry = dict[str, Any]
ODD, CODE = re.compile(r"[^A-Za-z0-9_.-]"), re.compile(r"=([0-9A-F]{2})")


def plain(name: str) -> str:
    """A name as one part of a key: what a path would read otherwise is written =XX."""
    return ODD.sub(lambda odd: "".join(f"={b:02X}" for b in odd[0].encode()), name)


def named(part: str) -> str:
    return CODE.sub(lambda code: chr(int(code[1], 16)), part).encode("latin-1").decode("utf-8", "replace")


class ConsulStore:
    """`addresses`: one or more servers or agents, `host:port`; the next is asked where one does not answer."""

    def __init__(self, addresses: Sequence[str], holder: str, lease_us: int, prefix: str = "glenrock",
                 lock_delay_us: int = 0, token: str = "") -> None:
        self.addresses, self.holder, self.prefix = list(addresses), holder, prefix.strip("/")
        self.ttl = f"{lease_us / 1e6:.3f}s"
        self.lock_delay = f"{lock_delay_us / 1e6:.3f}s"
        self.headers = {"X-Consul-Token": token} if token else {}
        self.session = ""
        self.held: dict[str, tuple[int, int]] = {}  # job: term, and the lock's index
        self.seen = 0  # index of the last blocking query
        self.calls = 0
        self.client: aiohttp.ClientSession | None = None
        self.order = asyncio.Lock()  # one request of this holder's at a time

    # -- calls -----------------------------------------------------------------------------------------

    async def call(self, method: str, path: str, body: Any = None, more_s: float = 0.0) -> tuple[int, Any, int]:
        """Status, JSON and the index. 5xx and anything that is no answer is StoreDown."""
        if self.client is None:
            self.client = aiohttp.ClientSession(headers=self.headers)
        self.calls += 1
        try:
            limit = aiohttp.ClientTimeout(total=PATIENCE_S + more_s)
            async with self.client.request(method, f"http://{self.addresses[0]}/v1/{path}", timeout=limit,
                                           json=body) as answer:
                data = await answer.read()
                if answer.status >= 500:
                    raise StoreDown(f"{self.addresses[0]}: {answer.status} {data[:100]!r}")
                found = json.loads(data) if data and answer.status in (200, 409) else None
                return answer.status, found, int(answer.headers.get("X-Consul-Index", "0"))
        except (aiohttp.ClientError, TimeoutError, ValueError, OSError) as bad:
            where = self.addresses[0]
            self.addresses.append(self.addresses.pop(0))
            raise StoreDown(f"{where}: {bad or 'no answer in time'}") from None

    async def read(self, path: str, more: str = "", wait_s: float = 0.0) -> tuple[list[Entry], int]:
        # Danger: without `consistent` a server that has lost its leadership answers with what was true before.
        status, found, index = await self.call("GET", f"kv/{self.prefix}/{path}?consistent{more}", more_s=wait_s)
        if status not in (200, 404):
            raise StoreDown(f"{self.addresses[0]}: {status} to a read")
        return found or [], index

    async def transaction(self, operations: list[dict[str, Any]]) -> tuple[list[Entry], set[int]]:
        """Results, and the numbers of operations that failed; then nothing was done."""
        status, found, _ = await self.call("PUT", "txn", [{"KV": op} for op in operations])
        if status == 200:
            return [r["KV"] for r in found.get("Results") or []], set()
        if status != 409 or not found.get("Errors"):
            raise StoreDown(f"{self.addresses[0]}: {status} to a transaction")
        return [], {int(e["OpIndex"]) for e in found["Errors"]}

    def lock(self, job: str) -> str:
        return f"{self.prefix}/jobs/{plain(job)}"

    def work(self, job: str, kind: str, key: str) -> str:
        return f"{self.prefix}/work/{plain(job)}/{kind}/{plain(key)}"

    # -- leases ----------------------------------------------------------------------------------------

    async def ask(self, asks: Sequence[tuple[str, Ask]], lease_us: int) -> dict[str, int]:
        async with self.order:
            granted: dict[str, int] = {}
            renewals = [(job, a) for job, a in asks if a.kind == "renew"]
            wanted = [(job, a) for job, a in asks if a.kind == "acquire"]
            await self.release([(job, a) for job, a in asks if a.kind == "release"], granted)
            if renewals or wanted:
                # Danger: a lock that is taken in a session renewed a while ago runs out that much sooner.
                lost = not await self.renewed(create=bool(wanted))
                await self.check(renewals, granted, lost)
                await self.acquire(wanted, granted)
            return granted

    async def renewed(self, create: bool) -> bool:
        """Whether the session that the locks are held in goes on."""
        if self.session:
            status, _, _ = await self.call("PUT", f"session/renew/{self.session}")
            if status == 200:
                return True
            self.session = ""
            self.held.clear()
        if create:
            status, found, _ = await self.call("PUT", "session/create", {
                "Name": self.holder, "TTL": self.ttl, "LockDelay": self.lock_delay, "Behavior": "release"})
            if status != 200:
                raise StoreDown(f"{self.addresses[0]}: {status} to a new session")
            self.session = str(found["ID"])
        return False

    async def check(self, renewals: list[tuple[str, Ask]], granted: dict[str, int], lost: bool) -> None:
        sound = [] if lost else [(job, a) for job, a in renewals if self.held.get(job, (0, 0))[0] == a.term]
        granted.update((job, 0) for job, a in renewals if (job, a) not in sound)
        for at in range(0, len(sound), MOST):
            part = sound[at:at + MOST]
            _, failed = await self.transaction([
                {"Verb": "check-index", "Key": self.lock(job), "Index": self.held[job][1]} for job, _ in part])
            for n, (job, a) in enumerate(part):
                granted[job] = 0 if n in failed else a.term
                if n in failed:
                    del self.held[job]

    async def acquire(self, wanted: list[tuple[str, Ask]], granted: dict[str, int]) -> None:
        if not wanted:
            return
        found: dict[str, Entry] = {}
        if len(wanted) > FEW:
            found = {e["Key"]: e for e in (await self.read("jobs/", "&recurse"))[0]}
        else:
            for job, _ in wanted:
                found.update({e["Key"]: e for e in (await self.read(f"jobs/{plain(job)}"))[0]})
        todo = []
        for job, a in wanted:
            entry = found.get(self.lock(job))
            if entry and entry.get("Session") not in (None, "", self.session):
                granted[job] = 0
                continue
            before = value_of(entry)
            term = max(before["term"], a.floor) + 1
            past = [*before["past"], [term, self.holder, round(time.time(), 3)]][-KEPT:]
            check = ({"Verb": "check-index", "Key": self.lock(job), "Index": entry["ModifyIndex"]} if entry else
                     {"Verb": "check-not-exists", "Key": self.lock(job)})
            todo.append((job, term, [check, {
                "Verb": "lock", "Key": self.lock(job), "Session": self.session,
                "Value": packed({"term": term, "holder": self.holder, "past": past})}]))
        while todo:
            part, todo = todo[:MOST // 2], todo[MOST // 2:]
            results, failed = await self.transaction([op for _, _, pair in part for op in pair])
            if failed:
                granted.update((part[n // 2][0], 0) for n in failed)
                todo = [one for n, one in enumerate(part) if not failed & {2 * n, 2 * n + 1}] + todo
                continue
            # Checks have no result; of each lock the answer tells the index by which its term is known from now on.
            index = {r["Key"]: int(r["ModifyIndex"]) for r in results}
            for job, term, _ in part:
                granted[job] = term
                self.held[job] = term, index[self.lock(job)]

    async def release(self, asks: list[tuple[str, Ask]], granted: dict[str, int]) -> None:
        for job, a in asks:
            granted[job] = 0
            term, index = self.held.get(job, (0, 0))
            if term == a.term and self.session:
                await self.unlock(job, index, self.session)
                self.held.pop(job, None)

    async def unlock(self, job: str, index: int, session: str) -> None:
        # The index is checked too: one that comes late must not give away a term that was taken since.
        await self.transaction([{"Verb": "check-index", "Key": self.lock(job), "Index": index},
                                {"Verb": "unlock", "Key": self.lock(job), "Session": session}])

    async def free(self, job: str, holder: str, term: int) -> None:
        for entry in (await self.read(f"jobs/{plain(job)}"))[0]:
            value = value_of(entry)
            if (value["holder"], value["term"]) == (holder, term) and entry.get("Session"):
                await self.unlock(job, int(entry["ModifyIndex"]), entry["Session"])

    async def leases(self, jobs: Sequence[str] = ()) -> dict[str, Lease]:
        if 0 < len(jobs) <= MOST:
            found = (await self.transaction([{"Verb": "get-or-empty", "Key": self.lock(job)} for job in jobs]))[0]
        else:
            found = (await self.read("jobs/", "&recurse"))[0]
        start = len(f"{self.prefix}/jobs/")
        return {named(e["Key"][start:]): Lease(value_of(e)["holder"] if e.get("Session") else "",
                                               value_of(e)["term"], NO_TIME) for e in found}

    async def past(self, job: str) -> list[Past]:
        found = (await self.read(f"jobs/{plain(job)}"))[0]
        return [Past(*row) for e in found for row in value_of(e)["past"]]

    # -- records and wishes ----------------------------------------------------------------------------

    async def put(self, job: str, term: int, number: int, values: Mapping[str, str], wish: str = "") -> bool:
        held, index = self.held.get(job, (0, 0))
        if held != term or not self.session:
            return False
        operations = [{"Verb": "check-session", "Key": self.lock(job), "Session": self.session},
                      {"Verb": "check-index", "Key": self.lock(job), "Index": index}]
        operations += [{"Verb": "set", "Key": self.work(job, "record", key),
                        "Value": packed({"value": value, "term": term, "number": number})}
                       for key, value in values.items()]
        if wish:
            operations.append({"Verb": "delete", "Key": self.work(job, "wish", wish)})
        _, failed = await self.transaction(operations)
        return not failed

    async def records(self, job: str) -> dict[str, Record]:
        found = await self.below(job, "record")
        return dict(sorted(((k, Record(v["value"], v["term"], v["number"])) for k, v in found.items()),
                           key=lambda one: (one[1].term, one[1].number)))

    async def post(self, job: str, wish: str, value: str) -> None:
        await self.transaction([{"Verb": "set", "Key": self.work(job, "wish", wish), "Value": packed(value)}])

    async def wishes(self, job: str) -> dict[str, str]:
        return await self.below(job, "wish")

    async def below(self, job: str, kind: str) -> dict[str, Any]:
        start = self.work(job, kind, "")
        found = (await self.read(f"{start[len(self.prefix) + 1:]}", "&recurse"))[0]
        return {named(e["Key"][len(start):]): json.loads(base64.b64decode(e["Value"]))
                for e in sorted(found, key=lambda e: int(e["CreateIndex"]))}

    async def changed(self, wait_s: float) -> None:
        more = f"&recurse&index={self.seen}&wait={max(1, round(wait_s * 1000))}ms" if self.seen else "&recurse"
        _, index = await self.read("work/", more, wait_s)
        # An index that goes back is a store that was restored; the next query begins anew.
        self.seen = index if index >= self.seen else 0

    async def close(self) -> None:
        if self.client is not None:
            await self.client.close()
            self.client = None


def packed(value: Any) -> str:
    return base64.b64encode(json.dumps(value).encode()).decode()


def value_of(entry: Entry | None) -> dict[str, Any]:
    """A lock's value; one that somebody else wrote counts as none, so that its term is above it by the floor alone."""
    try:
        value = json.loads(base64.b64decode(entry["Value"] or "")) if entry else {}
        return {"term": int(value["term"]), "holder": str(value["holder"]), "past": list(value["past"])}
    except (ValueError, KeyError, TypeError):
        return {"term": 0, "holder": "", "past": []}
