"""The state that a balancer keeps across restarts: fence positions, overrides, pending overrides and drain permits.

Each balancer has one file, which is replaced as a whole before the new state is acted on. During an upgrade, the old
and the new process have the same balancer name and share the file: under a lock, each merges what the other has
written. The keys of the file must stay readable by other versions. They are defined in this module only, except those
of a pending override, which `override_log` defines.
"""

from __future__ import annotations

import contextlib
import fcntl
import json
import os
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any, NamedTuple

from .. import durable_file
from .leases.fence import NO_POSITION, Fence, FencePosition
from .leases.sqlite_store import current_boot_id
from .shared_work.override_log import OverrideChange, OverrideEntry, OverrideLog, PendingOverride, decode_pending
from .shared_work.revision import NO_REVISION, Revision

VERSION = 1
MAX_BYTES = 8 << 20


class DurableStateError(ValueError):
    """The state file cannot be used; the message gives the reason."""


class StoredPermit(NamedTuple):
    """A drain permit that an incarnation may still hold: the permit's holder, and the term of its lease."""

    holder: str
    term: int


class FileStamp(NamedTuple):
    """File metadata that changes whenever the file is replaced."""

    modified_ns: int
    inode: int
    size_bytes: int


@dataclass(slots=True)
class StateSnapshot:
    """The content of the file.

    Attributes:
        boot: identifier of the machine's boot in which the file was written.
        positions: fence positions by job.
        permits: drain permits by job.
        committed_up_to: see `OverrideLog`.
        entries: committed overrides by server.
        pending: pending overrides by encoded `PendingId`; None for an entry that cannot be decoded.
    """

    boot: Any
    positions: dict[str, FencePosition]
    permits: dict[str, StoredPermit]
    committed_up_to: dict[str, int]
    entries: dict[str, OverrideEntry]
    pending: dict[str, PendingOverride | None]

    def to_json(self) -> dict[str, Any]:
        """Returns the content as the JSON object of the file."""
        return {
            "version": VERSION,
            "boot": self.boot,
            "seen": self.positions,
            "tickets": self.permits,
            "lives": self.committed_up_to,
            "words": {server_id: [entry.is_suspended, *entry.revision] for server_id, entry in self.entries.items()},
            "wishes": {
                pending_id: {"server": pending.server_id, "out": pending.is_suspended}
                for pending_id, pending in self.pending.items()
                if pending
            },
        }


class DurableState:
    """The file of one balancer.

    `load_snapshot` and the `_load_*` functions merge file content into the fence and the override log; the `_merge_*`
    functions merge it into a snapshot that is about to be written.

    Attributes:
        boot: identifier of the machine's current boot.
        path: the path of the file.
        permits: by job, the drain permits of this and earlier incarnations that may still be held.
    """

    def __init__(self, folder: Path, name: str) -> None:
        self.boot = current_boot_id()
        self.path = folder / f"glenrock-{name}.fleet.json"
        self.permits: dict[str, StoredPermit] = {}
        self._stamp: FileStamp | None = None  # of the file as this process last read or wrote it

    # -- reading ---------------------------------------------------------------------------------------

    def read(self, fence: Fence, overrides: OverrideLog) -> bool:
        """Merges the file into the fence and the override log.

        A file written in an earlier boot is merged, but the last writes before the machine stopped may be missing, so
        the fence is not marked as restored and must also be restored from the lease store. If the file is corrupt, the
        previous version of the file is merged in the same way before the error is raised.

        Returns:
            True if the file contains everything that was known before the restart.

        Raises:
            DurableStateError: the file cannot be used.
        """
        try:
            with open(self.path, "rb") as file:
                self._stamp = _stamp_of(os.fstat(file.fileno()))
                data = file.read(MAX_BYTES + 1)
        except FileNotFoundError:
            return False
        except OSError as error:
            raise DurableStateError(str(error)) from error
        try:
            content = _decode(data)
        except DurableStateError:
            self._load_previous_version(fence, overrides)
            raise
        is_complete = bool(content.boot == self.boot)
        self._load_content(content, fence, overrides)
        fence.is_restored |= is_complete
        return is_complete

    def _load_previous_version(self, fence: Fence, overrides: OverrideLog) -> None:
        """Merges the previous version of the file into the fence and the log, if it can be read."""
        with contextlib.suppress(OSError, DurableStateError):
            content = _decode(durable_file.previous_path(self.path).read_bytes()[: MAX_BYTES + 1])
            self._load_content(content, fence, overrides)

    def _load_content(self, content: StateSnapshot, fence: Fence, overrides: OverrideLog) -> None:
        """Merges the content of a file into the fence, the override log and the permits."""
        fence.merge(content.positions)
        _load_overrides(content, overrides)
        for pending_id, pending in content.pending.items():
            if pending and pending_id not in overrides.pending:
                overrides.add_pending(pending_id, pending.server_id, pending.is_suspended)
        self.permits.update(content.permits)

    def load_snapshot(self, snapshot: StateSnapshot, fence: Fence, overrides: OverrideLog) -> list[OverrideChange]:
        """Merges a snapshot into the fence and the log, after `write` has merged the other process's file into it.

        Returns:
            The servers whose suspension at this balancer changes.
        """
        fence.merge(snapshot.positions)
        return _load_overrides(snapshot, overrides)

    # -- writing ---------------------------------------------------------------------------------------

    def snapshot(self, fence: Fence, overrides: OverrideLog) -> StateSnapshot:
        """Returns a copy of the current state, for `write`."""
        return StateSnapshot(
            boot=self.boot,
            positions=dict(fence.positions),
            permits=dict(self.permits),
            committed_up_to=dict(overrides.committed_up_to),
            entries=dict(overrides.entries),
            pending=dict(overrides.pending),
        )

    def write(self, snapshot: StateSnapshot) -> bool:
        """Replaces the file. Must be called in a thread, since a slow disk may block for seconds.

        Returns:
            True if the other process with this balancer's name has written the file since this process last read or
            wrote it; the other process's content is then merged into the snapshot.

        Raises:
            OSError: the file cannot be written; the snapshot must then not be acted on.
        """
        with self._file_lock():
            is_merged = self._merge_file(snapshot)
            durable_file.replace(self.path, durable_file.encode_with_digest(snapshot.to_json()), sync=True)
            self._stamp = _stamp_of(os.stat(self.path))
            return is_merged

    @contextlib.contextmanager
    def _file_lock(self) -> Iterator[None]:
        with open(self.path.with_suffix(".lock"), "wb") as file:
            fcntl.flock(file, fcntl.LOCK_EX)
            yield

    def _merge_file(self, snapshot: StateSnapshot) -> bool:
        """Merges the file into the snapshot if the other process has written it. Returns whether it has."""
        with contextlib.suppress(OSError, ValueError):
            if _stamp_of(os.stat(self.path)) != self._stamp:
                return _merge_json(snapshot, json.loads(self.path.read_bytes()[:MAX_BYTES]))
        return False


def _load_overrides(content: StateSnapshot, overrides: OverrideLog) -> list[OverrideChange]:
    """Merges the committed overrides of a file into the log. Returns the servers whose suspension changes."""
    merged = [overrides.merge_entry(server_id, entry) for server_id, entry in content.entries.items()]
    changes = [change for change in merged if change is not None]
    for incarnation, sequence in content.committed_up_to.items():
        changes += overrides.record_committed(incarnation, sequence)
    return changes


def _stamp_of(status: os.stat_result) -> FileStamp:
    return FileStamp(status.st_mtime_ns, status.st_ino, status.st_size)


def _decode(data: bytes) -> StateSnapshot:
    """Decodes and checks a file. Raises DurableStateError."""
    try:
        raw: Any = json.loads(data) if len(data) <= MAX_BYTES else None
    except ValueError as error:
        raise DurableStateError(str(error)) from error
    if not isinstance(raw, dict) or raw.get("version") != VERSION:
        raise DurableStateError(f"not a JSON object of version {VERSION}")
    try:
        durable_file.check_digest(raw)
        return StateSnapshot(
            boot=raw.get("boot"),
            positions=_decode_positions(raw),
            permits={str(job): StoredPermit(str(holder), int(term)) for job, (holder, term) in raw["tickets"].items()},
            committed_up_to=_decode_committed(raw),
            entries=_decode_entries(raw),
            pending={
                str(pending_id): decode_pending(json.dumps(pending)) for pending_id, pending in raw["wishes"].items()
            },
        )
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        raise DurableStateError(f"invalid content: {error!r}") from error


def _decode_positions(raw: dict[str, Any]) -> dict[str, FencePosition]:
    return {str(job): FencePosition(int(term), int(sequence)) for job, (term, sequence) in raw["seen"].items()}


def _decode_committed(raw: dict[str, Any]) -> dict[str, int]:
    return {str(incarnation): int(sequence) for incarnation, sequence in raw["lives"].items()}


def _decode_entries(raw: dict[str, Any]) -> dict[str, OverrideEntry]:
    return {
        str(server_id): OverrideEntry(bool(is_suspended), Revision(int(term), int(sequence)))
        for server_id, (is_suspended, term, sequence) in raw["words"].items()
    }


def _merge_json(snapshot: StateSnapshot, raw: Any) -> bool:
    """Merges the other process's file into the snapshot where the file is newer. Returns whether it was merged.

    Pending overrides and permits belong to the process that created them and are not merged.
    """
    if raw.get("version") != VERSION:
        return False
    for job, position in _decode_positions(raw).items():
        snapshot.positions[job] = max(snapshot.positions.get(job, NO_POSITION), position)
    for server_id, entry in _decode_entries(raw).items():
        own = snapshot.entries.get(server_id)
        if entry.revision > (own.revision if own else NO_REVISION):
            snapshot.entries[server_id] = entry
    for incarnation, sequence in _decode_committed(raw).items():
        snapshot.committed_up_to[incarnation] = max(snapshot.committed_up_to.get(incarnation, 0), sequence)
    return True
