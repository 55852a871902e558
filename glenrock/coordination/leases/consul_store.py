"""The lease store of several machines: Consul, by its published HTTP API (sessions, KV, transactions, watches).

`PREFIX/jobs/JOB` is the lock of a job; its value holds the term, who holds it and the terms before. A term is told out
of one transaction that checks the lock's index and takes it, so of two that read the same state one is refused, and a
call that was given up and comes late changes nothing. `PREFIX/work/JOB/record/KEY` and `.../wish/KEY` are records and
proposals.

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
from typing import Any, NamedTuple

import aiohttp

from .candidate import LeaseRequest
from .store import TIME_UNKNOWN, Lease, PastTerm, Record, StoreUnavailableError

CALL_TIMEOUT_S = 1.5
MAX_OPERATIONS = 64  # in a transaction, of the service
PAST_TERMS_KEPT = 20  # in a lock's value
SINGLE_READS = 4  # locks read one by one; more are read at once
TERM_DECIMALS = 3  # of the Unix time at which a term began

HTTP_OK, HTTP_NOT_FOUND, HTTP_CONFLICT, HTTP_SERVER_ERROR = 200, 404, 409, 500
UNSAFE_CHARACTER, ESCAPED_BYTE = re.compile(r"[^A-Za-z0-9_.-]"), re.compile(r"=([0-9A-F]{2})")

Entry = dict[str, Any]
"""A key of the service, as its API gives it."""


class HeldLock(NamedTuple):
    """A lock that this holder has: its term, and the index by which the service knows it."""

    term: int
    modify_index: int


class LockValue(NamedTuple):
    """What a lock's value tells. `past` has a row a term: term, holder, Unix time."""

    term: int
    holder: str
    past: list[Any]


class Reply(NamedTuple):
    """An answer of the service."""

    status: int
    body: Any
    watch_index: int


class TransactionResult(NamedTuple):
    """Entries of a transaction, or the numbers of operations that failed; then nothing was done."""

    entries: list[Entry]
    failed: set[int]


class _Acquisition(NamedTuple):
    job: str
    term: int
    operations: list[dict[str, Any]]


NOT_HELD = HeldLock(0, 0)
NO_LOCK = LockValue(0, "", [])


def escape_key(name: str) -> str:
    """A name as one part of a key: what a path would read otherwise is written =XX."""
    return UNSAFE_CHARACTER.sub(lambda found: "".join(f"={byte:02X}" for byte in found[0].encode()), name)


def unescape_key(part: str) -> str:
    """The name that `escape_key` made the part of."""
    plain = ESCAPED_BYTE.sub(lambda code: chr(int(code[1], 16)), part)
    return plain.encode("latin-1").decode("utf-8", "replace")


def encode_value(value: Any) -> str:
    """A value as the service takes it."""
    return base64.b64encode(json.dumps(value).encode()).decode()


def decode_lock_value(entry: Entry | None) -> LockValue:
    """A lock's value; one that somebody else wrote counts as none, so that its term is above it by `min_term` alone."""
    try:
        value = json.loads(base64.b64decode(entry["Value"] or "")) if entry else {}
        return LockValue(int(value["term"]), str(value["holder"]), list(value["past"]))
    except (ValueError, KeyError, TypeError):
        return NO_LOCK


class ConsulStore:
    """`addresses`: one or more servers or agents, `host:port`; the next is asked where one does not answer.

    Attributes:
        session: the service's session that locks are held in; empty while there is none.
        calls: how many were made.
        addresses: the one that is asked first.
    """

    def __init__(
        self,
        addresses: Sequence[str],
        holder: str,
        lease_us: int,
        prefix: str = "glenrock",
        lock_delay_us: int = 0,
        token: str = "",
    ) -> None:
        self.holder = holder
        self.session = ""
        self.calls = 0
        self.addresses = list(addresses)
        self._prefix = prefix.strip("/")
        self._ttl = f"{lease_us / 1e6:.3f}s"
        self._lock_delay = f"{lock_delay_us / 1e6:.3f}s"
        self._headers = {"X-Consul-Token": token} if token else {}
        self._held: dict[str, HeldLock] = {}
        self._watched_index = 0  # of the last blocking query
        self._client: aiohttp.ClientSession | None = None
        self._order = asyncio.Lock()  # one request of this holder's at a time

    # -- calls -----------------------------------------------------------------------------------------

    async def _call(self, method: str, path: str, body: Any = None, more_s: float = 0.0) -> Reply:
        """A server error, and anything that is no answer, is StoreUnavailableError."""
        if self._client is None:
            self._client = aiohttp.ClientSession(headers=self._headers)
        self.calls += 1
        address = self.addresses[0]
        url = f"http://{address}/v1/{path}"
        timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_S + more_s)
        try:
            async with self._client.request(method, url, timeout=timeout, json=body) as answer:
                data = await answer.read()
                if answer.status >= HTTP_SERVER_ERROR:
                    raise StoreUnavailableError(f"{address}: {answer.status} {data[:100]!r}")
                found = json.loads(data) if data and answer.status in (HTTP_OK, HTTP_CONFLICT) else None
                return Reply(answer.status, found, int(answer.headers.get("X-Consul-Index", "0")))
        except (aiohttp.ClientError, TimeoutError, ValueError, OSError) as error:
            self.addresses.append(self.addresses.pop(0))
            raise StoreUnavailableError(f"{address}: {error or 'no answer in time'}") from error

    def _unexpected(self, status: int, what: str) -> StoreUnavailableError:
        return StoreUnavailableError(f"{self.addresses[0]}: {status} to {what}")

    async def _read(self, path: str, more: str = "", wait_s: float = 0.0) -> tuple[list[Entry], int]:
        """Entries, and the index of the answer."""
        # Without `consistent` a server that has lost its leadership answers with what was true before.
        reply = await self._call("GET", f"kv/{self._prefix}/{path}?consistent{more}", more_s=wait_s)
        if reply.status not in (HTTP_OK, HTTP_NOT_FOUND):
            raise self._unexpected(reply.status, "a read")
        return reply.body or [], reply.watch_index

    async def transaction(self, operations: list[dict[str, Any]]) -> TransactionResult:
        """All of the operations or none."""
        reply = await self._call("PUT", "txn", [{"KV": operation} for operation in operations])
        if reply.status == HTTP_OK:
            return TransactionResult([result["KV"] for result in reply.body.get("Results") or []], set())
        if reply.status != HTTP_CONFLICT or not reply.body.get("Errors"):
            raise self._unexpected(reply.status, "a transaction")
        return TransactionResult([], {int(error["OpIndex"]) for error in reply.body["Errors"]})

    def _lock_key(self, job: str) -> str:
        return f"{self._prefix}/jobs/{escape_key(job)}"

    def _work_key(self, job: str, kind: str, key: str) -> str:
        return f"{self._prefix}/work/{escape_key(job)}/{kind}/{escape_key(key)}"

    # -- leases ----------------------------------------------------------------------------------------

    async def submit(self, requests: Sequence[tuple[str, LeaseRequest]], lease_us: int) -> dict[str, int]:
        """See `LeaseStore`."""
        async with self._order:
            granted: dict[str, int] = {}
            renewals = [(job, request) for job, request in requests if request.kind == "renew"]
            wanted = [(job, request) for job, request in requests if request.kind == "acquire"]
            await self._release([(job, r) for job, r in requests if r.kind == "release"], granted)
            if renewals or wanted:
                # A lock that is taken in a session renewed a while ago runs out that much sooner.
                lost = not await self._renew_session(create=bool(wanted))
                await self._check_renewals(renewals, granted, lost)
                await self._acquire(wanted, granted)
            return granted

    async def _renew_session(self, create: bool) -> bool:
        """Whether the session that the locks are held in goes on."""
        if self.session:
            reply = await self._call("PUT", f"session/renew/{self.session}")
            if reply.status == HTTP_OK:
                return True
            self.session = ""
            self._held.clear()
        if create:
            body = {"Name": self.holder, "TTL": self._ttl, "LockDelay": self._lock_delay, "Behavior": "release"}
            reply = await self._call("PUT", "session/create", body)
            if reply.status != HTTP_OK:
                raise self._unexpected(reply.status, "a new session")
            self.session = str(reply.body["ID"])
        return False

    async def _check_renewals(
        self, renewals: list[tuple[str, LeaseRequest]], granted: dict[str, int], lost: bool
    ) -> None:
        sound = []
        for job, request in renewals:
            if not lost and self._held.get(job, NOT_HELD).term == request.term:
                sound.append((job, request))
            else:
                granted[job] = 0
        for at in range(0, len(sound), MAX_OPERATIONS):
            part = sound[at : at + MAX_OPERATIONS]
            result = await self.transaction([self._index_check(job, self._held[job].modify_index) for job, _ in part])
            for number, (job, request) in enumerate(part):
                granted[job] = 0 if number in result.failed else request.term
                if number in result.failed:
                    del self._held[job]

    def _index_check(self, job: str, index: int) -> dict[str, Any]:
        return {"Verb": "check-index", "Key": self._lock_key(job), "Index": index}

    async def _acquire(self, wanted: list[tuple[str, LeaseRequest]], granted: dict[str, int]) -> None:
        if not wanted:
            return
        found = await self._read_locks([job for job, _ in wanted])
        todo: list[_Acquisition] = []
        for job, request in wanted:
            entry = found.get(self._lock_key(job))
            if entry and entry.get("Session") not in (None, "", self.session):
                granted[job] = 0
            else:
                todo.append(self._acquisition(job, request, entry))
        while todo:
            part, todo = todo[: MAX_OPERATIONS // 2], todo[MAX_OPERATIONS // 2 :]
            result = await self.transaction([one for acquisition in part for one in acquisition.operations])
            if result.failed:
                failed = {number // 2 for number in result.failed}  # two operations a job
                granted.update((part[number].job, 0) for number in failed)
                todo = [one for number, one in enumerate(part) if number not in failed] + todo
                continue
            self._record_acquired(part, result.entries, granted)

    async def _read_locks(self, jobs: list[str]) -> dict[str, Entry]:
        if len(jobs) > SINGLE_READS:
            entries, _ = await self._read("jobs/", "&recurse")
            return {entry["Key"]: entry for entry in entries}
        found: dict[str, Entry] = {}
        for job in jobs:
            entries, _ = await self._read(f"jobs/{escape_key(job)}")
            found.update({entry["Key"]: entry for entry in entries})
        return found

    def _acquisition(self, job: str, request: LeaseRequest, entry: Entry | None) -> _Acquisition:
        before = decode_lock_value(entry)
        term = max(before.term, request.min_term) + 1
        began = [term, self.holder, round(time.time(), TERM_DECIMALS)]
        past = [*before.past, began][-PAST_TERMS_KEPT:]
        check = {"Verb": "check-not-exists", "Key": self._lock_key(job)}
        if entry:
            check = self._index_check(job, entry["ModifyIndex"])
        value = encode_value({"term": term, "holder": self.holder, "past": past})
        lock = {"Verb": "lock", "Key": self._lock_key(job), "Session": self.session, "Value": value}
        return _Acquisition(job, term, [check, lock])

    def _record_acquired(self, acquired: list[_Acquisition], entries: list[Entry], granted: dict[str, int]) -> None:
        """Checks have no result; of each lock the answer tells the index by which its term is known from now on."""
        indexes = {entry["Key"]: int(entry["ModifyIndex"]) for entry in entries}
        for job, term, _ in acquired:
            granted[job] = term
            self._held[job] = HeldLock(term, indexes[self._lock_key(job)])

    async def _release(self, requests: list[tuple[str, LeaseRequest]], granted: dict[str, int]) -> None:
        for job, request in requests:
            granted[job] = 0
            held = self._held.get(job, NOT_HELD)
            if held.term == request.term and self.session:
                await self._unlock(job, held.modify_index, self.session)
                self._held.pop(job, None)

    async def _unlock(self, job: str, index: int, session: str) -> None:
        # The index is checked too: one that comes late must not give away a term that was taken since.
        unlock = {"Verb": "unlock", "Key": self._lock_key(job), "Session": session}
        await self.transaction([self._index_check(job, index), unlock])

    async def free(self, job: str, holder: str, term: int) -> None:
        """See `LeaseStore`."""
        entries, _ = await self._read(f"jobs/{escape_key(job)}")
        for entry in entries:
            value = decode_lock_value(entry)
            if (value.holder, value.term) == (holder, term) and entry.get("Session"):
                await self._unlock(job, int(entry["ModifyIndex"]), entry["Session"])

    async def leases(self, jobs: Sequence[str] = ()) -> dict[str, Lease]:
        """See `LeaseStore`."""
        if 0 < len(jobs) <= MAX_OPERATIONS:
            operations = [{"Verb": "get-or-empty", "Key": self._lock_key(job)} for job in jobs]
            entries = (await self.transaction(operations)).entries
        else:
            entries, _ = await self._read("jobs/", "&recurse")
        start = len(f"{self._prefix}/jobs/")
        leases = {}
        for entry in entries:
            value = decode_lock_value(entry)
            holder = value.holder if entry.get("Session") else ""
            leases[unescape_key(entry["Key"][start:])] = Lease(holder, value.term, TIME_UNKNOWN)
        return leases

    async def past_terms(self, job: str) -> list[PastTerm]:
        """See `LeaseStore`."""
        entries, _ = await self._read(f"jobs/{escape_key(job)}")
        return [PastTerm(*row) for entry in entries for row in decode_lock_value(entry).past]

    # -- records and proposals -------------------------------------------------------------------------

    async def put(self, job: str, term: int, number: int, values: Mapping[str, str], proposal: str = "") -> bool:
        """See `LeaseStore`."""
        held = self._held.get(job, NOT_HELD)
        if held.term != term or not self.session:
            return False
        operations: list[dict[str, Any]] = [
            {"Verb": "check-session", "Key": self._lock_key(job), "Session": self.session},
            self._index_check(job, held.modify_index),
        ]
        for key, value in values.items():
            record = encode_value({"value": value, "term": term, "number": number})
            operations.append({"Verb": "set", "Key": self._work_key(job, "record", key), "Value": record})
        if proposal:
            operations.append({"Verb": "delete", "Key": self._work_key(job, "wish", proposal)})
        return not (await self.transaction(operations)).failed

    async def records(self, job: str) -> dict[str, Record]:
        """See `LeaseStore`."""
        found = await self._values_below(job, "record")
        records = {key: Record(v["value"], v["term"], v["number"]) for key, v in found.items()}
        return dict(sorted(records.items(), key=lambda pair: (pair[1].term, pair[1].number)))

    async def propose(self, job: str, proposal: str, value: str) -> None:
        """See `LeaseStore`."""
        key = self._work_key(job, "wish", proposal)
        await self.transaction([{"Verb": "set", "Key": key, "Value": encode_value(value)}])

    async def proposals(self, job: str) -> dict[str, str]:
        """See `LeaseStore`."""
        return await self._values_below(job, "wish")

    async def _values_below(self, job: str, kind: str) -> dict[str, Any]:
        start = self._work_key(job, kind, "")
        entries, _ = await self._read(start[len(self._prefix) + 1 :], "&recurse")
        oldest_first = sorted(entries, key=lambda entry: int(entry["CreateIndex"]))
        return {
            unescape_key(entry["Key"][len(start) :]): json.loads(base64.b64decode(entry["Value"]))
            for entry in oldest_first
        }

    async def changed(self, wait_s: float) -> None:
        """See `LeaseStore`."""
        more = "&recurse"
        if self._watched_index:
            more += f"&index={self._watched_index}&wait={max(1, round(wait_s * 1000))}ms"
        _, index = await self._read("work/", more, wait_s)
        # An index that goes back is a store that was restored; the next query begins anew.
        self._watched_index = index if index >= self._watched_index else 0

    async def close(self) -> None:
        """Closes the client's connections."""
        if self._client is not None:
            await self._client.close()
            self._client = None
