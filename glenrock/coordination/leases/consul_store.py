"""The lease store for balancers on several machines: Consul, through its HTTP API.

It uses Consul's sessions, key-value store, transactions and blocking queries. `PREFIX/jobs/JOB` is the lock of a job;
its value has the term, its holder and the past terms. `PREFIX/work/JOB/record/KEY` and `PREFIX/work/JOB/wish/KEY` are
records and proposals.

A term is granted by one transaction that checks the lock's modify index and acquires the lock. So if two processes read
the same state, the transaction of one of them fails, and a call that arrives after its sender timed out changes
nothing.

A session lives for at least its TTL from when Consul accepted the last renewal, possibly longer. A holder counts from
before its request, so its lease ends first. A live session does not prove that its locks are held, since an operator
may have removed one; a renewal therefore also checks the index of each lock.
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

from .candidate import LeaseRequest, RequestKind
from .store import NOT_GRANTED, TIME_UNKNOWN, JobRequest, Lease, LeaseAnswers, PastTerm, Record, StoreUnavailableError

SECOND_US = 1_000_000
SECOND_MS = 1000
CALL_TIMEOUT_S = 1.5
MAX_TRANSACTION_OPERATIONS = 64  # a limit of Consul
OPERATIONS_PER_ACQUISITION = 2  # the check of the index, and the lock
MAX_PAST_TERMS = 20  # stored in the value of a lock
MAX_SEPARATE_READS = 4  # locks read by a call each; if there are more, all locks are read in one call
MAX_ERROR_BYTES = 100  # of the body of an error response, quoted in the exception
TERM_TIME_DECIMALS = 3  # of the Unix time in seconds at which a term began

HTTP_OK, HTTP_NOT_FOUND, HTTP_CONFLICT, HTTP_SERVER_ERROR = 200, 404, 409, 500
UNSAFE_CHARACTER = re.compile(r"[^A-Za-z0-9_.-]")
ESCAPED_BYTE = re.compile(r"=([0-9A-F]{2})")

Entry = dict[str, Any]
"""A key with its value, as Consul's API returns it."""

Operation = dict[str, Any]
"""An operation on one key within a transaction, as Consul's API takes it."""


class HeldLock(NamedTuple):
    """A lock that this process holds: its term, and Consul's modify index of the lock."""

    term: int
    modify_index: int


class LockValue(NamedTuple):
    """The value of a lock. `past` has a row for each past term: term, holder, and its start as Unix time in seconds."""

    term: int
    holder: str
    past: list[Any]


class Reply(NamedTuple):
    """Consul's answer to a call. `watch_index` is the index for the next blocking query."""

    status: int
    body: Any
    watch_index: int


class ReadResult(NamedTuple):
    """The entries that a read found, and the index for the next blocking query."""

    entries: list[Entry]
    watch_index: int


class TransactionResult(NamedTuple):
    """The entries that a transaction returned, and the positions of the operations that made it fail."""

    entries: list[Entry]
    failed: set[int]


class _Acquisition(NamedTuple):
    """The operations that acquire a job's lock for a new term."""

    job: str
    term: int
    operations: list[Operation]


NOT_HELD = HeldLock(0, 0)
NO_LOCK = LockValue(0, "", [])


def escape_key(name: str) -> str:
    """Returns a name as one segment of a key. Bytes other than ASCII letters and digits, `_`, `.`, `-` become =XX."""
    return UNSAFE_CHARACTER.sub(lambda found: "".join(f"={byte:02X}" for byte in found[0].encode()), name)


def unescape_key(segment: str) -> str:
    """Returns the name that `escape_key` has escaped."""
    plain = ESCAPED_BYTE.sub(lambda code: chr(int(code[1], 16)), segment)
    return plain.encode("latin-1").decode("utf-8", "replace")


def encode_value(value: Any) -> str:
    """Returns a value as JSON in base64, the form that Consul's transactions take."""
    return base64.b64encode(json.dumps(value).encode()).decode()


def decode_lock_value(entry: Entry | None) -> LockValue:
    """Returns the value of a lock; NO_LOCK if there is no lock, or its value is not of this form.

    A value that another program wrote is ignored. The next term is then above the term floor alone.
    """
    try:
        value = json.loads(base64.b64decode(entry["Value"] or "")) if entry else {}
        return LockValue(int(value["term"]), str(value["holder"]), list(value["past"]))
    except (ValueError, KeyError, TypeError):
        return NO_LOCK


class ConsulStore:
    """The `LeaseStore` over Consul.

    Attributes:
        holder: name of this incarnation of this process.
        session: identifier of the Consul session that holds the locks; empty if there is none.
        call_count: number of HTTP calls made.
        addresses: `host:port` of Consul's servers or agents. The first is called; an address that does not answer is
            moved to the end.
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
        self.call_count = 0
        self.addresses = list(addresses)
        self._prefix = prefix.strip("/")
        self._ttl = f"{lease_us / SECOND_US:.3f}s"
        self._lock_delay = f"{lock_delay_us / SECOND_US:.3f}s"
        self._headers = {"X-Consul-Token": token} if token else {}
        self._held: dict[str, HeldLock] = {}
        self._watch_index = 0  # returned by the last blocking query; 0 before the first
        self._client: aiohttp.ClientSession | None = None
        self._submit_lock = asyncio.Lock()  # keeps this holder's requests in order

    # -- calls -----------------------------------------------------------------------------------------

    async def _call(self, method: str, path: str, body: Any = None, wait_s: float = 0.0) -> Reply:
        """Calls Consul. `wait_s` is added to the timeout, for blocking queries.

        Raises:
            StoreUnavailableError: no answer came in time, or the answer was a server error.
        """
        if self._client is None:
            self._client = aiohttp.ClientSession(headers=self._headers)
        self.call_count += 1
        address = self.addresses[0]
        url = f"http://{address}/v1/{path}"
        timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_S + wait_s)
        try:
            async with self._client.request(method, url, timeout=timeout, json=body) as answer:
                data = await answer.read()
                if answer.status >= HTTP_SERVER_ERROR:
                    raise StoreUnavailableError(f"{address}: {answer.status} {data[:MAX_ERROR_BYTES]!r}")
                has_json = data and answer.status in (HTTP_OK, HTTP_CONFLICT)
                watch_index = int(answer.headers.get("X-Consul-Index", "0"))
                return Reply(answer.status, json.loads(data) if has_json else None, watch_index)
        except (aiohttp.ClientError, TimeoutError, ValueError, OSError) as error:
            self.addresses.append(self.addresses.pop(0))
            raise StoreUnavailableError(f"{address}: {error or 'no answer in time'}") from error

    def _unexpected_status(self, status: int, call: str) -> StoreUnavailableError:
        return StoreUnavailableError(f"{self.addresses[0]}: unexpected status {status} in answer to {call}")

    async def _read(self, path: str, query: str = "", wait_s: float = 0.0) -> ReadResult:
        """Returns the entry at a path, or those below it if `query` has `recurse`. Raises StoreUnavailableError."""
        # Without `consistent`, a Consul server that has lost its leadership may return a stale state.
        reply = await self._call("GET", f"kv/{self._prefix}/{path}?consistent{query}", wait_s=wait_s)
        if reply.status not in (HTTP_OK, HTTP_NOT_FOUND):
            raise self._unexpected_status(reply.status, "a read")
        return ReadResult(reply.body or [], reply.watch_index)

    async def transaction(self, operations: list[Operation]) -> TransactionResult:
        """Carries out all of the operations, or none. Raises StoreUnavailableError."""
        reply = await self._call("PUT", "txn", [{"KV": operation} for operation in operations])
        if reply.status == HTTP_OK:
            return TransactionResult([result["KV"] for result in reply.body.get("Results") or []], set())
        if reply.status != HTTP_CONFLICT or not reply.body.get("Errors"):
            raise self._unexpected_status(reply.status, "a transaction")
        return TransactionResult([], {int(error["OpIndex"]) for error in reply.body["Errors"]})

    def _lock_key(self, job: str) -> str:
        return f"{self._prefix}/jobs/{escape_key(job)}"

    def _work_key(self, job: str, kind: str, key: str) -> str:
        return f"{self._prefix}/work/{escape_key(job)}/{kind}/{escape_key(key)}"

    # -- leases ----------------------------------------------------------------------------------------

    async def submit(self, requests: Sequence[JobRequest], lease_us: int) -> LeaseAnswers:
        """See `LeaseStore`."""
        async with self._submit_lock:
            answers = LeaseAnswers()
            renewals = _requests_of_kind(requests, RequestKind.RENEW)
            acquisitions = _requests_of_kind(requests, RequestKind.ACQUIRE)
            await self._release(_requests_of_kind(requests, RequestKind.RELEASE), answers)
            if renewals or acquisitions:
                # The session is renewed first: an acquired lock lives only for the rest of the session's TTL.
                is_renewed = await self._renew_session(may_create=bool(acquisitions))
                await self._check_renewals(renewals, answers, is_renewed)
                await self._acquire(acquisitions, answers)
            return answers

    async def _renew_session(self, may_create: bool) -> bool:
        """Renews the session; creates one if there is none and `may_create` is set.

        Returns:
            Whether an existing session was renewed, so that its locks may still be held.
        """
        if self.session:
            reply = await self._call("PUT", f"session/renew/{self.session}")
            if reply.status == HTTP_OK:
                return True
            self.session = ""
            self._held.clear()
        if may_create:
            body = {"Name": self.holder, "TTL": self._ttl, "LockDelay": self._lock_delay, "Behavior": "release"}
            reply = await self._call("PUT", "session/create", body)
            if reply.status != HTTP_OK:
                raise self._unexpected_status(reply.status, "a new session")
            self.session = str(reply.body["ID"])
        return False

    async def _check_renewals(self, renewals: list[JobRequest], answers: LeaseAnswers, is_renewed: bool) -> None:
        """Checks which locks are still held, and adds the result of each renewal to `answers`."""
        renewable = []
        for renewal in renewals:
            if is_renewed and self._held.get(renewal.job, NOT_HELD).term == renewal.request.term:
                renewable.append(renewal)
            else:
                answers.add(renewal.job, NOT_GRANTED)
        for start in range(0, len(renewable), MAX_TRANSACTION_OPERATIONS):
            batch = renewable[start : start + MAX_TRANSACTION_OPERATIONS]
            checks = [self._index_check(job, self._held[job].modify_index) for job, _ in batch]
            result = await self.transaction(checks)
            for position, (job, request) in enumerate(batch):
                if position in result.failed:
                    answers.add(job, NOT_GRANTED)
                    del self._held[job]
                else:
                    answers.add(job, request.term)

    def _index_check(self, job: str, index: int) -> Operation:
        return {"Verb": "check-index", "Key": self._lock_key(job), "Index": index}

    async def _acquire(self, requests: list[JobRequest], answers: LeaseAnswers) -> None:
        """Acquires the locks that are free, and adds the result of each request to `answers`."""
        if not requests:
            return
        locks = await self._read_locks([job for job, _ in requests])
        acquisitions: list[_Acquisition] = []
        for job, request in requests:
            entry = locks.get(self._lock_key(job))
            if entry and entry.get("Session") not in (None, "", self.session):
                answers.add(job, NOT_GRANTED)
            else:
                acquisitions.append(self._build_acquisition(job, request, entry))
        await self._submit_acquisitions(acquisitions, answers)

    async def _submit_acquisitions(self, pending: list[_Acquisition], answers: LeaseAnswers) -> None:
        """Submits acquisitions in batches. A failed batch is retried without those that made it fail."""
        batch_size = MAX_TRANSACTION_OPERATIONS // OPERATIONS_PER_ACQUISITION
        while pending:
            batch, pending = pending[:batch_size], pending[batch_size:]
            result = await self.transaction(
                [operation for acquisition in batch for operation in acquisition.operations]
            )
            if result.failed:
                failed = {position // OPERATIONS_PER_ACQUISITION for position in result.failed}
                for position in failed:
                    answers.add(batch[position].job, NOT_GRANTED)
                allowed = [acquisition for position, acquisition in enumerate(batch) if position not in failed]
                pending = allowed + pending
                continue
            self._record_acquired(batch, result.entries, answers)

    async def _read_locks(self, jobs: list[str]) -> dict[str, Entry]:
        """Returns the locks of at least these jobs by key, without those that do not exist."""
        if len(jobs) > MAX_SEPARATE_READS:
            entries = (await self._read("jobs/", "&recurse")).entries
            return {entry["Key"]: entry for entry in entries}
        locks: dict[str, Entry] = {}
        for job in jobs:
            entries = (await self._read(f"jobs/{escape_key(job)}")).entries
            locks.update({entry["Key"]: entry for entry in entries})
        return locks

    def _build_acquisition(self, job: str, request: LeaseRequest, entry: Entry | None) -> _Acquisition:
        previous = decode_lock_value(entry)
        term = max(previous.term, request.term_floor) + 1
        row = [term, self.holder, round(time.time(), TERM_TIME_DECIMALS)]
        past = [*previous.past, row][-MAX_PAST_TERMS:]
        check = {"Verb": "check-not-exists", "Key": self._lock_key(job)}
        if entry:
            check = self._index_check(job, entry["ModifyIndex"])
        value = encode_value({"term": term, "holder": self.holder, "past": past})
        lock = {"Verb": "lock", "Key": self._lock_key(job), "Session": self.session, "Value": value}
        return _Acquisition(job, term, [check, lock])

    def _record_acquired(self, acquired: list[_Acquisition], entries: list[Entry], answers: LeaseAnswers) -> None:
        """Records the acquired locks, with the modify indexes that the transaction returned for them."""
        indexes = {entry["Key"]: int(entry["ModifyIndex"]) for entry in entries}
        for job, term, _ in acquired:
            answers.add(job, term)
            self._held[job] = HeldLock(term, indexes[self._lock_key(job)])

    async def _release(self, requests: list[JobRequest], answers: LeaseAnswers) -> None:
        for job, request in requests:
            answers.add(job, NOT_GRANTED)
            held = self._held.get(job, NOT_HELD)
            if held.term == request.term and self.session:
                await self._unlock(job, held.modify_index, self.session)
                self._held.pop(job, None)

    async def _unlock(self, job: str, index: int, session: str) -> None:
        # The check of the index keeps a late call from releasing a lock that has been acquired again since.
        unlock = {"Verb": "unlock", "Key": self._lock_key(job), "Session": session}
        await self.transaction([self._index_check(job, index), unlock])

    async def release_for(self, job: str, holder: str, term: int) -> None:
        """See `LeaseStore`."""
        entries = (await self._read(f"jobs/{escape_key(job)}")).entries
        for entry in entries:
            value = decode_lock_value(entry)
            if (value.holder, value.term) == (holder, term) and entry.get("Session"):
                await self._unlock(job, int(entry["ModifyIndex"]), entry["Session"])

    async def leases(self, jobs: Sequence[str] = ()) -> dict[str, Lease]:
        """See `LeaseStore`."""
        if 0 < len(jobs) <= MAX_TRANSACTION_OPERATIONS:
            operations = [{"Verb": "get-or-empty", "Key": self._lock_key(job)} for job in jobs]
            entries = (await self.transaction(operations)).entries
        else:
            entries = (await self._read("jobs/", "&recurse")).entries
        prefix_length = len(f"{self._prefix}/jobs/")
        leases = {}
        for entry in entries:
            value = decode_lock_value(entry)
            holder = value.holder if entry.get("Session") else ""
            leases[unescape_key(entry["Key"][prefix_length:])] = Lease(holder, value.term, TIME_UNKNOWN)
        return leases

    async def past_terms(self, job: str) -> list[PastTerm]:
        """See `LeaseStore`."""
        entries = (await self._read(f"jobs/{escape_key(job)}")).entries
        return [PastTerm(*row) for entry in entries for row in decode_lock_value(entry).past]

    # -- records and proposals -------------------------------------------------------------------------

    async def put(self, job: str, term: int, sequence: int, values: Mapping[str, str], proposal: str = "") -> bool:
        """See `LeaseStore`."""
        held = self._held.get(job, NOT_HELD)
        if held.term != term or not self.session:
            return False
        operations: list[Operation] = [
            {"Verb": "check-session", "Key": self._lock_key(job), "Session": self.session},
            self._index_check(job, held.modify_index),
        ]
        for key, value in values.items():
            record = encode_value({"value": value, "term": term, "number": sequence})
            operations.append({"Verb": "set", "Key": self._work_key(job, "record", key), "Value": record})
        if proposal:
            operations.append({"Verb": "delete", "Key": self._work_key(job, "wish", proposal)})
        return not (await self.transaction(operations)).failed

    async def records(self, job: str) -> dict[str, Record]:
        """See `LeaseStore`."""
        values = await self._read_values(job, "record")
        records = {key: Record(raw["value"], raw["term"], raw["number"]) for key, raw in values.items()}
        return dict(sorted(records.items(), key=lambda item: (item[1].term, item[1].sequence)))

    async def propose(self, job: str, proposal: str, value: str) -> None:
        """See `LeaseStore`."""
        key = self._work_key(job, "wish", proposal)
        await self.transaction([{"Verb": "set", "Key": key, "Value": encode_value(value)}])

    async def proposals(self, job: str) -> dict[str, str]:
        """See `LeaseStore`."""
        return await self._read_values(job, "wish")

    async def _read_values(self, job: str, kind: str) -> dict[str, Any]:
        """Returns the decoded values of a job's records or proposals, oldest first."""
        key_prefix = self._work_key(job, kind, "")
        entries = (await self._read(key_prefix[len(self._prefix) + 1 :], "&recurse")).entries
        oldest_first = sorted(entries, key=lambda entry: int(entry["CreateIndex"]))
        return {
            unescape_key(entry["Key"][len(key_prefix) :]): json.loads(base64.b64decode(entry["Value"]))
            for entry in oldest_first
        }

    async def wait_for_change(self, timeout_s: float) -> None:
        """See `LeaseStore`."""
        query = "&recurse"
        if self._watch_index:
            query += f"&index={self._watch_index}&wait={max(1, round(timeout_s * SECOND_MS))}ms"
        index = (await self._read("work/", query, timeout_s)).watch_index
        # The index goes back when Consul is restored from a snapshot. Then the next query is made without one.
        self._watch_index = index if index >= self._watch_index else 0

    async def close(self) -> None:
        """Closes the client's connections."""
        if self._client is not None:
            await self._client.close()
            self._client = None


def _requests_of_kind(requests: Sequence[JobRequest], kind: RequestKind) -> list[JobRequest]:
    return [job_request for job_request in requests if job_request.request.kind is kind]
