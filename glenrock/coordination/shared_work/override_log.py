"""Servers taken out of rotation by operators, the same at every balancer.

Pure. Each server has the entry with the highest revision (term, number), given by the lease holder when it wrote the
entry into the store. Entries may come twice, late and in any order, by the store or by datagrams: the outcome is the
same. What an operator said here and the holder has not numbered yet is pending, and holds here meanwhile, whatever
older entries say.

A pending override is named by the incarnation of the balancer that proposes it and counted there, and the holder
records up to which it has numbered each incarnation's. A proposal that is posted again, since nobody knew that it had
counted, would undo what was said since; and one whose entry was followed by another before its proposer saw it would
stand there for ever.
"""

from __future__ import annotations

import json
from dataclasses import dataclass, field

from ..membership import stable_hash
from .revision import NO_REVISION, Revision

MAX_SERVER_CHARACTERS = 256
MAX_ENTRIES = 4096
MAX_COUNT_DIGITS = 18


@dataclass(frozen=True, slots=True)
class OverrideEntry:
    """An operator's word, numbered: whether a server is out."""

    is_suspended: bool
    revision: Revision

    def value(self) -> str:
        """As the store keeps it."""
        return json.dumps({"out": self.is_suspended})


def entry_of(value: str, revision: Revision) -> OverrideEntry | None:
    """An entry as the store keeps it; None for anything that is none."""
    try:
        out = json.loads(value)["out"]
    except (ValueError, KeyError, TypeError):
        return None
    return OverrideEntry(out, revision) if isinstance(out, bool) else None


@dataclass(slots=True)
class PendingOverride:
    """An operator's word, not numbered yet."""

    server: str
    is_suspended: bool

    def value(self) -> str:
        """As the store keeps it."""
        return json.dumps({"server": self.server, "out": self.is_suspended})


def pending_of(value: str) -> PendingOverride | None:
    """A pending override as the store keeps it; None for anything that is none."""
    try:
        raw = json.loads(value)
        server, out = raw["server"], raw["out"]
    except (ValueError, KeyError, TypeError):
        return None
    sound = isinstance(server, str) and 0 < len(server) <= MAX_SERVER_CHARACTERS and isinstance(out, bool)
    return PendingOverride(server, out) if sound else None


def split_pending_id(pending_id: str) -> tuple[str, int]:
    """The incarnation that a pending override is of, and its number there; 0 for what is none of ours."""
    incarnation, _, count = pending_id.rpartition("#")
    return incarnation, int(count) if count.isdecimal() and len(count) <= MAX_COUNT_DIGITS else 0


def incarnation_key(incarnation: str) -> str:
    """The record that tells up to which proposal an incarnation has been answered; no server has such a name."""
    return f"\n{incarnation}"


@dataclass(slots=True)
class OverrideLog:
    """What one balancer knows of overrides.

    Attributes:
        entries: by server.
        pending: of this balancer, by their ids.
        committed_up_to: up to which proposal each incarnation has been answered.
        digest: of all entries: the same at two that have the same.
        last: the highest revision.
    """

    entries: dict[str, OverrideEntry] = field(default_factory=dict)
    pending: dict[str, PendingOverride] = field(default_factory=dict)
    committed_up_to: dict[str, int] = field(default_factory=dict)
    digest: int = 0
    last: Revision = NO_REVISION

    def merge_entry(self, server: str, entry: OverrideEntry) -> bool | None:
        """Takes an entry in. Returns whether the server is out now; None where that has not changed."""
        old = self.entries.get(server)
        if (old and old.revision >= entry.revision) or (not old and len(self.entries) >= MAX_ENTRIES):
            return None
        before = self.is_suspended(server)
        if old:
            self.digest ^= stable_hash(server, *old.revision)
        self.digest ^= stable_hash(server, *entry.revision)
        self.entries[server] = entry
        self.last = max(self.last, entry.revision)
        after = self.is_suspended(server)
        return after if after != before else None

    def record_committed(self, incarnation: str, count: int) -> dict[str, bool]:
        """The holder has answered an incarnation's proposals up to that one. Returns the servers that change by it."""
        self.committed_up_to[incarnation] = max(count, self.committed_up_to.get(incarnation, 0))
        changes = {}
        for pending_id in list(self.pending):
            owner, number = split_pending_id(pending_id)
            if owner != incarnation or number > count:
                continue
            server = self.pending[pending_id].server
            before = self.is_suspended(server)
            del self.pending[pending_id]
            if self.is_suspended(server) != before:
                changes[server] = not before
        return changes

    def add_pending(self, pending_id: str, server: str, out: bool) -> None:
        """An operator's word here; what was said last of a server counts."""
        for old in [id_ for id_, pending in self.pending.items() if pending.server == server]:
            del self.pending[old]
        self.pending[pending_id] = PendingOverride(server, out)

    def is_suspended(self, server: str) -> bool:
        """Whether the server is out of rotation."""
        for pending in self.pending.values():
            if pending.server == server:
                return pending.is_suspended
        entry = self.entries.get(server)
        return bool(entry and entry.is_suspended)

    def entries_after(self, revision: Revision) -> list[tuple[str, OverrideEntry]]:
        """Servers and entries that somebody lacks who has all up to that revision, oldest first."""
        found = [(server, entry) for server, entry in self.entries.items() if entry.revision > revision]
        return sorted(found, key=lambda pair: pair[1].revision)
