"""The replicated log of operators' overrides: which servers are suspended at all balancers.

Pure. For each server, the entry with the highest revision counts. The holder of the job's lease assigns the revision
when it commits the entry to the store. Entries may arrive repeatedly, late and in any order, from the store or in
datagrams, with the same result.

An override is pending while an operator has submitted it at this balancer and it is not committed yet. It is in effect
at this balancer, whatever committed entries arrive, until it is committed or replaced by a later override of the same
server submitted here. Each incarnation numbers the pending overrides that are submitted to it, and the log records up
to which sequence number each incarnation's overrides are committed. Without that record, a proposal that was sent twice
would undo later overrides, and a pending override whose entry was superseded would stay in effect here forever.
"""

from __future__ import annotations

import json
from dataclasses import dataclass, field
from typing import NamedTuple

from ..membership import stable_hash
from .revision import NO_REVISION, Revision

MAX_SERVER_ID_CHARACTERS = 256
MAX_ENTRIES = 4096
MAX_SEQUENCE_DIGITS = 18


class PendingId(NamedTuple):
    """Identifies a pending override: the incarnation it was submitted to, and its sequence number there, from 1.

    The sequence is 0 if it is unknown. The lease holder treats such a proposal as committed and deletes it.
    """

    incarnation: str
    sequence: int

    def encode(self) -> str:
        """Returns the identifier as it is stored."""
        return f"{self.incarnation}#{self.sequence}"


def decode_pending_id(pending_id: str) -> PendingId:
    """Decodes a stored identifier; the sequence is 0 if the identifier is malformed."""
    incarnation, _, sequence = pending_id.rpartition("#")
    is_number = sequence.isdecimal() and len(sequence) <= MAX_SEQUENCE_DIGITS
    return PendingId(incarnation, int(sequence) if is_number else 0)


@dataclass(frozen=True, slots=True)
class OverrideEntry:
    """A committed override: whether the server is suspended, and the revision."""

    is_suspended: bool
    revision: Revision

    def encode(self) -> str:
        """Returns the value in the stored form."""
        return json.dumps({"out": self.is_suspended})


def decode_entry(value: str, revision: Revision) -> OverrideEntry | None:
    """Decodes a stored entry; None if the value is invalid."""
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
    """Decodes a stored pending override; None if the value is invalid."""
    try:
        raw = json.loads(value)
        server_id, is_suspended = raw["server"], raw["out"]
    except (ValueError, KeyError, TypeError):
        return None
    is_server = isinstance(server_id, str) and 0 < len(server_id) <= MAX_SERVER_ID_CHARACTERS
    return PendingOverride(server_id, is_suspended) if is_server and isinstance(is_suspended, bool) else None


INCARNATION_KEY_PREFIX = "\n"  # no server name begins with it


def incarnation_key(incarnation: str) -> str:
    """Returns the key of the record that has an incarnation's last committed sequence number."""
    return f"{INCARNATION_KEY_PREFIX}{incarnation}"


def decode_incarnation_key(key: str) -> str | None:
    """Returns the incarnation of a key made by `incarnation_key`; None if the key is a server name."""
    return key.removeprefix(INCARNATION_KEY_PREFIX) if key.startswith(INCARNATION_KEY_PREFIX) else None


class OverrideChange(NamedTuple):
    """A server whose suspension at this balancer has changed, and whether it is suspended now."""

    server_id: str
    is_suspended: bool


class ServerEntry(NamedTuple):
    """A server, and its committed override."""

    server_id: str
    entry: OverrideEntry


@dataclass(slots=True)
class OverrideLog:
    """The overrides that one balancer knows.

    Attributes:
        entries: the committed override of each server.
        pending: this balancer's pending overrides, by encoded `PendingId`.
        committed_up_to: by incarnation, the sequence number of its last override that is committed.
        digest: a hash of all entries, equal at balancers with the same entries.
        highest_revision: the highest revision of all entries.
    """

    entries: dict[str, OverrideEntry] = field(default_factory=dict)
    pending: dict[str, PendingOverride] = field(default_factory=dict)
    committed_up_to: dict[str, int] = field(default_factory=dict)
    digest: int = 0
    highest_revision: Revision = NO_REVISION

    def merge_entry(self, server_id: str, entry: OverrideEntry) -> OverrideChange | None:
        """Merges an entry. Returns the change of the server's suspension; None if there is none.

        An entry of another server is ignored if the log already has MAX_ENTRIES.
        """
        old = self.entries.get(server_id)
        if (old and old.revision >= entry.revision) or (not old and len(self.entries) >= MAX_ENTRIES):
            return None
        before = self.is_suspended(server_id)
        if old:
            self.digest ^= stable_hash(server_id, *old.revision)
        self.digest ^= stable_hash(server_id, *entry.revision)
        self.entries[server_id] = entry
        self.highest_revision = max(self.highest_revision, entry.revision)
        after = self.is_suspended(server_id)
        return OverrideChange(server_id, after) if after != before else None

    def record_committed(self, incarnation: str, sequence: int) -> list[OverrideChange]:
        """Records that an incarnation's overrides are committed up to a sequence number, and removes them from pending.

        Returns:
            The servers whose suspension changes.
        """
        self.committed_up_to[incarnation] = max(sequence, self.committed_up_to.get(incarnation, 0))
        changes = []
        for pending_id in list(self.pending):
            decoded = decode_pending_id(pending_id)
            if decoded.incarnation != incarnation or decoded.sequence > sequence:
                continue
            server_id = self.pending[pending_id].server_id
            before = self.is_suspended(server_id)
            del self.pending[pending_id]
            if self.is_suspended(server_id) != before:
                changes.append(OverrideChange(server_id, not before))
        return changes

    def add_pending(self, pending_id: str, server_id: str, is_suspended: bool) -> None:
        """Adds a pending override; it replaces an earlier pending override of the same server."""
        for earlier in [other for other, pending in self.pending.items() if pending.server_id == server_id]:
            del self.pending[earlier]
        self.pending[pending_id] = PendingOverride(server_id, is_suspended)

    def is_suspended(self, server_id: str) -> bool:
        """Returns whether the server is suspended at this balancer."""
        for pending in self.pending.values():
            if pending.server_id == server_id:
                return pending.is_suspended
        entry = self.entries.get(server_id)
        return bool(entry and entry.is_suspended)

    def entries_after(self, revision: Revision) -> list[ServerEntry]:
        """Returns the entries with a higher revision, in ascending order of revision."""
        found = [
            ServerEntry(server_id, entry) for server_id, entry in self.entries.items() if entry.revision > revision
        ]
        return sorted(found, key=lambda item: item.entry.revision)
