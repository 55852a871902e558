"""A stand-in for Consul, written from its public API: sessions, keys and values, transactions, blocking queries.

A session ends after its TTL times a factor of 1 to 2, which is what the service promises. Its locks are released, and
are not given again within the lock delay. Faults: pauses, errors, slow calls, a restart (all TTLs begin anew), a return
to a snapshot, calls that are executed and not answered, and old data in reads that do not ask for consistency.
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

MIN_TTL_S = 10.0
MAX_OPERATIONS = 64  # of a transaction
MAX_WAIT_S = 60.0  # of a blocking query
DEFAULT_LOCK_DELAY, DEFAULT_WAIT = "15s", "10s"
PAUSE_POLL_S = 0.02
SHUTDOWN_S = 0.1
DURATION = re.compile(r"([0-9.]+)(ms|s|m)")
UNIT_S = {"ms": 0.001, "s": 1.0, "m": 60.0}

JsonObject = dict[str, Any]


def parse_duration_s(text: str) -> float:
    """Returns the seconds of a duration such as `250ms`; 0 where it is none."""
    found = DURATION.fullmatch(text)
    return float(found[1]) * UNIT_S[found[2]] if found else 0.0


@dataclass(frozen=True, slots=True)
class Session:
    """A session. Times are seconds."""

    ttl_s: float
    lock_delay_s: float
    expires_s: float


@dataclass(frozen=True, slots=True)
class Entry:
    """A key's value, its indexes, and the session that holds its lock."""

    value: str | None
    create_index: int
    modify_index: int
    lock_index: int = 0
    session: str = ""

    def encode(self, key: str) -> JsonObject:
        """Returns the entry as the service sends it."""
        session = {"Session": self.session} if self.session else {}
        return {
            "LockIndex": self.lock_index,
            "Key": key,
            "Flags": 0,
            "Value": self.value,
            "CreateIndex": self.create_index,
            "ModifyIndex": self.modify_index,
            **session,
        }


@dataclass(frozen=True, slots=True)
class OperationResult:
    """The outcome of an operation: an entry to send, or why it failed."""

    entry: JsonObject | None = None
    error: str = ""


@dataclass(frozen=True, slots=True)
class TransactionResult:
    """The outcome of a transaction: nothing of it was done where there are errors."""

    results: list[JsonObject]
    errors: list[JsonObject]


@dataclass(slots=True)
class ConsulState:
    """Sessions, keys and locks of the service. Pure but for its clock.

    Attributes:
        now_s: the clock.
        expiry_factor: sessions end at their TTL times this.
        index: grows with every change.
        lock_delays_s: by key, until when its lock is not given.
        deleted: keys that were deleted, and the index of the deletion.
    """

    now_s: Callable[[], float]
    expiry_factor: float = 1.0
    index: int = 1
    entries: dict[str, Entry] = field(default_factory=dict)
    sessions: dict[str, Session] = field(default_factory=dict)
    lock_delays_s: dict[str, float] = field(default_factory=dict)
    deleted: dict[str, int] = field(default_factory=dict)

    def copy(self) -> ConsulState:
        """Returns a snapshot."""
        return replace(
            self,
            entries=dict(self.entries),
            sessions=dict(self.sessions),
            lock_delays_s=dict(self.lock_delays_s),
            deleted=dict(self.deleted),
        )

    # -- sessions --------------------------------------------------------------------------------------

    def expire_sessions(self) -> None:
        """Ends the sessions whose time is over."""
        for name in [name for name, session in self.sessions.items() if self.now_s() >= session.expires_s]:
            self.destroy_session(name)

    def create_session(self, ttl_s: float, lock_delay_s: float) -> str:
        """Returns the name of a new session."""
        name = str(uuid.uuid4())
        self.sessions[name] = Session(ttl_s, lock_delay_s, self.now_s() + ttl_s * self.expiry_factor)
        return name

    def renew_session(self, name: str) -> bool:
        """Begins a session's TTL anew. Returns False where there is no such session."""
        if name not in self.sessions:
            return False
        session = self.sessions[name]
        self.sessions[name] = replace(session, expires_s=self.now_s() + session.ttl_s * self.expiry_factor)
        return True

    def destroy_session(self, name: str) -> None:
        """Ends a session and releases its locks."""
        session = self.sessions.pop(name, None)
        if session is None:
            return
        for key, entry in list(self.entries.items()):
            if entry.session == name:
                self.index += 1
                self.entries[key] = replace(entry, session="", modify_index=self.index)
                self.lock_delays_s[key] = self.now_s() + session.lock_delay_s

    # -- transactions ----------------------------------------------------------------------------------

    def run_transaction(self, operations: list[JsonObject]) -> TransactionResult:
        """Runs all operations or none, and reports each that fails."""
        before = copy.copy(self.entries), self.index
        results: list[JsonObject] = []
        errors: list[JsonObject] = []
        for number, operation in enumerate(operations):
            outcome = self._run_operation(operation["KV"])
            if outcome.error:
                errors.append({"OpIndex": number, "What": outcome.error})
            elif outcome.entry:
                results.append({"KV": outcome.entry})
        if errors:
            self.entries, self.index = before
            return TransactionResult([], errors)
        return TransactionResult(results, [])

    def _run_operation(self, operation: JsonObject) -> OperationResult:
        key = operation["Key"]
        entry = self.entries.get(key)
        match operation["Verb"]:
            case "check-not-exists":
                return OperationResult(error=f"key {key} exists" if entry else "")
            case "check-index":
                is_current = entry is not None and entry.modify_index == operation["Index"]
                return OperationResult(error="" if is_current else f"current modify index is not {operation['Index']}")
            case "check-session":
                is_held = entry is not None and entry.session == operation.get("Session", "")
                return OperationResult(error="" if is_held else "session does not hold the key")
            case "delete":
                return self._delete(key)
            case "get-or-empty":
                return OperationResult((entry or Entry(None, 0, 0)).encode(key))
            case "set" | "lock" | "unlock":
                return self._write(operation, key, entry)
            case verb:
                return OperationResult(error=f"unknown verb {verb!r}")

    def _delete(self, key: str) -> OperationResult:
        if self.entries.pop(key, None):
            self.index += 1
            self.deleted[key] = self.index
        return OperationResult()

    def _write(self, operation: JsonObject, key: str, entry: Entry | None) -> OperationResult:
        verb, session = operation["Verb"], operation.get("Session", "")
        if error := self._lock_error(verb, session, key, entry):
            return OperationResult(error=error)
        self.index += 1
        old = entry or Entry(None, self.index, 0)
        holder = {"set": old.session, "lock": session, "unlock": ""}[verb]
        value = operation.get("Value", old.value) if verb != "unlock" else old.value
        is_new_lock = verb == "lock" and old.session != session
        self.entries[key] = Entry(value, old.create_index, self.index, old.lock_index + is_new_lock, holder)
        return OperationResult({**self.entries[key].encode(key), "Value": None})

    def _lock_error(self, verb: str, session: str, key: str, entry: Entry | None) -> str:
        if verb == "set":
            return ""
        if session not in self.sessions:
            return f"invalid session {session!r}"
        if verb == "lock":
            is_held = entry is not None and entry.session not in ("", session)
            is_delayed = self.now_s() < self.lock_delays_s.get(key, 0.0)
            return "lock is already held, or lock-delay is in effect" if is_held or is_delayed else ""
        is_holder = entry is not None and entry.session == session
        return "" if is_holder else "lock isn't held, or is held by another session"

    # -- reads -----------------------------------------------------------------------------------------

    def read(self, key: str, is_prefix: bool) -> tuple[list[JsonObject], int]:
        """Returns the entries at a key or below it, and the index of their last change, for the next query."""

        def is_wanted(found: str) -> bool:
            return found.startswith(key) if is_prefix else found == key

        entries = [entry.encode(found) for found, entry in sorted(self.entries.items()) if is_wanted(found)]
        changes = [entry["ModifyIndex"] for entry in entries]
        deletions = [index for found, index in self.deleted.items() if is_wanted(found)]
        return entries, max([1, *changes, *deletions])


class ConsulServer:
    """The service on an address.

    Attributes:
        state: what it keeps.
        calls: so far.
        is_paused: calls wait. `rejects`: they are answered 500. `slow_s`: each takes so long.
        loses_answers: changes are made and not answered.
        has_stale_reads: reads that do not ask for consistency get the last snapshot.
    """

    def __init__(self, address: Address, min_ttl_s: float = MIN_TTL_S, expiry_factor: float = 1.0) -> None:
        self.address = address
        self.state = ConsulState(asyncio.get_running_loop().time, expiry_factor)
        self.calls = 0
        self.is_paused = self.rejects = self.loses_answers = self.has_stale_reads = False
        self.slow_s = 0.0
        self._min_ttl_s = min_ttl_s
        self._snapshots: list[ConsulState] = []
        self._changed = asyncio.Event()
        self._runner: web.ServerRunner | None = None

    async def open(self, *more: Address) -> None:
        """Serves at its address, and at further ones."""
        self._runner = web.ServerRunner(web.Server(self._serve), shutdown_timeout=SHUTDOWN_S)
        await self._runner.setup()
        for host, port in (self.address, *more):
            await web.TCPSite(self._runner, host, port, reuse_address=True).start()

    async def close(self) -> None:
        """Ends the service."""
        if self._runner:
            await self._runner.cleanup()

    # -- faults ----------------------------------------------------------------------------------------

    def take_snapshot(self) -> None:
        """Keeps the state, for `restart` and stale reads."""
        self._snapshots.append(self.state.copy())

    def restart(self, to_snapshot: bool = False) -> None:
        """Begins each TTL anew, as a new leader does; with `to_snapshot`, on the state of the last snapshot."""
        if to_snapshot and self._snapshots:
            self.state = self._snapshots.pop()
        for name in self.state.sessions:
            self.state.renew_session(name)
        self._notify()

    def _notify(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    # -- calls -----------------------------------------------------------------------------------------

    async def _serve(self, request: web.BaseRequest) -> web.Response:
        self.calls += 1
        body = await request.read()
        if self.slow_s:
            await asyncio.sleep(self.slow_s)
        while self.is_paused:  # noqa: ASYNC110 - a fault that tests set as an attribute
            await asyncio.sleep(PAUSE_POLL_S)
        if self.rejects:
            return web.Response(status=500, text="No cluster leader")
        self.state.expire_sessions()
        before = self.state.index
        path = request.path.removeprefix("/v1/")
        if request.method == "GET" and path.startswith("kv/"):
            return await self._read(path.removeprefix("kv/"), parse_qs(request.query_string, True))
        answer = self._change(path, json.loads(body or b"null"))
        if self.state.index != before:
            self._notify()
        if self.loses_answers:
            await asyncio.sleep(MAX_WAIT_S)
        return answer

    def _change(self, path: str, body: Any) -> web.Response:
        if path == "session/create":
            return self._create_session(body)
        if path.startswith("session/renew/"):
            name = path.removeprefix("session/renew/")
            is_renewed = self.state.renew_session(name)
            return web.json_response([{"ID": name}]) if is_renewed else web.Response(status=404)
        if path.startswith("session/destroy/"):
            self.state.destroy_session(path.removeprefix("session/destroy/"))
            return web.json_response(True)
        return self._run_transaction(body) if path == "txn" else web.Response(status=404)

    def _create_session(self, body: JsonObject) -> web.Response:
        ttl_s = parse_duration_s(body.get("TTL", ""))
        if ttl_s < self._min_ttl_s:
            text = f"Invalid Session TTL {ttl_s}, must be between [{self._min_ttl_s}s=..]"
            return web.Response(status=400, text=text)
        lock_delay_s = parse_duration_s(body.get("LockDelay", DEFAULT_LOCK_DELAY))
        return web.json_response({"ID": self.state.create_session(ttl_s, lock_delay_s)})

    def _run_transaction(self, body: list[JsonObject]) -> web.Response:
        if len(body) > MAX_OPERATIONS:
            text = f"Transaction contains too many operations (> {MAX_OPERATIONS})"
            return web.Response(status=413, text=text)
        found = self.state.run_transaction(body)
        answer = {"Results": found.results or None, "Errors": found.errors or None}
        return web.json_response(answer, status=409 if found.errors else 200)

    async def _read(self, key: str, query: dict[str, list[str]]) -> web.Response:
        is_prefix = "recurse" in query
        if "index" in query:
            wait_s = min(MAX_WAIT_S, parse_duration_s(query.get("wait", [DEFAULT_WAIT])[0]))
            await self._wait_for_change(key, is_prefix, int(query["index"][0]), wait_s)
            self.state.expire_sessions()
        is_stale = self.has_stale_reads and "consistent" not in query and self._snapshots
        entries, index = (self._snapshots[-1] if is_stale else self.state).read(key, is_prefix)
        return web.json_response(entries, status=200 if entries else 404, headers={"X-Consul-Index": str(index)})

    async def _wait_for_change(self, key: str, is_prefix: bool, index: int, wait_s: float) -> None:
        loop = asyncio.get_running_loop()
        until_s = loop.time() + wait_s
        while self.state.read(key, is_prefix)[1] <= index and (left_s := until_s - loop.time()) > 0:
            try:
                await asyncio.wait_for(self._changed.wait(), left_s)
            except TimeoutError:
                return
