"""The replicated log of operators' overrides: which servers are out of rotation at all balancers.

Pure. Each server has the entry with the highest revision. The holder of the job's lease gives the revision when it
commits the entry to the store. Entries may arrive repeatedly, late and in any order, from the store or by datagrams,
with the same result.

An override that an operator has submitted at this balancer and that is not committed yet is pending. It is in effect
here, whatever committed entries arrive, until it is committed itself or replaced by a later call here. Pending
overrides are numbered by the incarnation that submits them, and the log records up to which number each incarnation's
are committed. Without that record, a proposal posted a second time would undo later overrides, and a pending override
whose entry was superseded would stay in effect here forever.
"""

from __future__ import annotations

import json
from dataclasses import dataclass, field
from typing import NamedTuple

from ..membership import stable_hash
from .revision import NO_REVISION, Revision

MAX_SERVER_CHARACTERS = 256
MAX_ENTRIES = 4096
MAX_COUNT_DIGITS = 18


class PendingId(NamedTuple):
    """Identifies a pending override: the incarnation that submitted it, and its number there, from 1; 0 if unknown.

    The lease holder counts a number of 0 as committed, and deletes the proposal.
    """

    incarnation: str
    sequence: int

    def encode(self) -> str:
        """Returns the identifier in the stored form."""
        return f"{self.incarnation}#{self.sequence}"


def decode_pending_id(pending_id: str) -> PendingId:
    """Decodes the stored form; the sequence is 0 if another program wrote it."""
    incarnation, _, count = pending_id.rpartition("#")
    is_count = count.isdecimal() and len(count) <= MAX_COUNT_DIGITS
    return PendingId(incarnation, int(count) if is_count else 0)


@dataclass(frozen=True, slots=True)
class OverrideEntry:
    """A committed override: whether the server is out of rotation, and the revision."""

    is_suspended: bool
    revision: Revision

    def encode(self) -> str:
        """Returns the value in the stored form."""
        return json.dumps({"out": self.is_suspended})


def decode_entry(value: str, revision: Revision) -> OverrideEntry | None:
    """Decodes the stored form; None if the value is not valid."""
    try:
        is_suspended = json.loads(value)["out"]
    except (ValueError, KeyError, TypeError):
        return None
    return OverrideEntry(is_suspended, revision) if isinstance(is_suspended, bool) else None


@dataclass(frozen=True, slots=True)
class PendingOverride:
    """An override that is not committed yet."""

    server_id: str
    is_suspended: bool

    def encode(self) -> str:
        """Returns the value in the stored form."""
        return json.dumps({"server": self.server_id, "out": self.is_suspended})


def decode_pending(value: str) -> PendingOverride | None:
    """Decodes the stored form; None if the value is not valid."""
    try:
        raw = json.loads(value)
        server_id, is_suspended = raw["server"], raw["out"]
    except (ValueError, KeyError, TypeError):
        return None
    is_server = isinstance(server_id, str) and 0 < len(server_id) <= MAX_SERVER_CHARACTERS
    return PendingOverride(server_id, is_suspended) if is_server and isinstance(is_suspended, bool) else None


INCARNATION_KEY_PREFIX = "\n"  # no server's name begins with it


def incarnation_key(incarnation: str) -> str:
    """Returns the key of the record with an incarnation's committed count."""
    return f"{INCARNATION_KEY_PREFIX}{incarnation}"


def decode_incarnation_key(key: str) -> str | None:
    """Returns the incarnation of such a key; None if the key is a server's name."""
    return key.removeprefix(INCARNATION_KEY_PREFIX) if key.startswith(INCARNATION_KEY_PREFIX) else None


class OverrideChange(NamedTuple):
    """A server that is suspended or not at this balancer now, and was the opposite before."""

    server_id: str
    is_suspended: bool


class ServerEntry(NamedTuple):
    """A committed override, and the server that it is for."""

    server_id: str
    entry: OverrideEntry


@dataclass(slots=True)
class OverrideLog:
    """The overrides that one balancer knows.

    Attributes:
        entries: the committed override of each server.
        pending: this balancer's pending overrides, by their encoded `PendingId`.
        committed_up_to: by incarnation, the count of its last pending override that is committed.
        digest: a hash of all entries, equal at balancers with the same entries.
        last: the highest revision.
    """

    entries: dict[str, OverrideEntry] = field(default_factory=dict)
    pending: dict[str, PendingOverride] = field(default_factory=dict)
    committed_up_to: dict[str, int] = field(default_factory=dict)
    digest: int = 0
    last: Revision = NO_REVISION

    def merge_entry(self, server_id: str, entry: OverrideEntry) -> OverrideChange | None:
        """Merges an entry. Returns what that changes at this balancer; None if nothing."""
        old = self.entries.get(server_id)
        if (old and old.revision >= entry.revision) or (not old and len(self.entries) >= MAX_ENTRIES):
            return None
        before = self.is_suspended(server_id)
        if old:
            self.digest ^= stable_hash(server_id, *old.revision)
        self.digest ^= stable_hash(server_id, *entry.revision)
        self.entries[server_id] = entry
        self.last = max(self.last, entry.revision)
        after = self.is_suspended(server_id)
        return OverrideChange(server_id, after) if after != before else None

    def record_committed(self, incarnation: str, count: int) -> list[OverrideChange]:
        """Records that an incarnation's pending overrides are committed up to `count`. Returns what that changes."""
        self.committed_up_to[incarnation] = max(count, self.committed_up_to.get(incarnation, 0))
        changes = []
        for pending_id in list(self.pending):
            decoded = decode_pending_id(pending_id)
            if decoded.incarnation != incarnation or decoded.sequence > count:
                continue
            server_id = self.pending[pending_id].server_id
            before = self.is_suspended(server_id)
            del self.pending[pending_id]
            if self.is_suspended(server_id) != before:
                changes.append(OverrideChange(server_id, not before))
        return changes

    def add_pending(self, pending_id: str, server_id: str, is_suspended: bool) -> None:
        """Adds a pending override, in place of an earlier override of the same server."""
        for earlier in [other for other, pending in self.pending.items() if pending.server_id == server_id]:
            del self.pending[earlier]
        self.pending[pending_id] = PendingOverride(server_id, is_suspended)

    def is_suspended(self, server_id: str) -> bool:
        """Returns whether the server is out of rotation at this balancer."""
        for pending in self.pending.values():
            if pending.server_id == server_id:
                return pending.is_suspended
        entry = self.entries.get(server_id)
        return bool(entry and entry.is_suspended)

    def entries_after(self, revision: Revision) -> list[ServerEntry]:
        """Returns the entries with a higher revision, lowest first."""
        found = [
            ServerEntry(server_id, entry) for server_id, entry in self.entries.items() if entry.revision > revision
        ]
        return sorted(found, key=lambda item: item.entry.revision)
