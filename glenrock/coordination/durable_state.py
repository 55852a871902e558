"""What a balancer must know after its own restart: terms seen, overrides taken, its operators' pending words.

One file for each balancer, replaced as a whole before what it says is carried out. Two processes of one name, in an
upgrade, share it: under a lock each takes over what the other has written, and marks only grow. The keys of the file
are those that earlier versions wrote.
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
from .leases.fence import Fence, FencePosition
from .leases.sqlite_store import current_boot
from .shared_work.override_log import OverrideEntry, OverrideLog, PendingOverride, pending_of
from .shared_work.revision import Revision

VERSION = 1
MAX_BYTES = 8 << 20


class DurableStateError(ValueError):
    """The file cannot be used; the message says why."""


class Ticket(NamedTuple):
    """A drain ticket that may still be out: who took it, and in which term."""

    holder: str
    term: int


class FileStamp(NamedTuple):
    """Differs once the file has been replaced."""

    modified_ns: int
    inode: int
    size: int


@dataclass(frozen=True, slots=True)
class _Content:
    """A file, read and checked."""

    boot: Any
    seen: dict[str, FencePosition]
    entries: dict[str, OverrideEntry]
    pending: dict[str, PendingOverride | None]
    committed_up_to: dict[str, int]
    tickets: dict[str, Ticket]


class DurableState:
    """The file of one balancer. `tickets`: by job, those that may still be out."""

    def __init__(self, folder: Path, name: str) -> None:
        self.boot = current_boot()
        self.path = folder / f"glenrock-{name}.fleet.json"
        self.tickets: dict[str, Ticket] = {}
        self._stamp: FileStamp | None = None  # of the file as this process last read or wrote it

    # -- reading ---------------------------------------------------------------------------------------

    def read(self, fence: Fence, overrides: OverrideLog) -> bool:
        """Takes over what stands there; True where that is all that was seen.

        After a boot the file's marks count, and the store must say the rest. So it is with the record before, where the
        file is spoilt.

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
            content = _content_of(data)
        except DurableStateError:
            self._take_previous(fence, overrides)
            raise
        complete = bool(content.boot == self.boot)
        was_known = fence.is_restored
        self._take(content, fence, overrides)
        fence.is_restored = was_known or complete
        return complete

    def _take_previous(self, fence: Fence, overrides: OverrideLog) -> None:
        """The last whole record, where the newest is spoilt: its marks count, and the store must say the rest."""
        with contextlib.suppress(OSError, DurableStateError):
            was_known = fence.is_restored
            content = _content_of(durable_file.previous_of(self.path).read_bytes()[: MAX_BYTES + 1])
            self._take(content, fence, overrides)
            fence.is_restored = was_known

    def _take(self, content: _Content, fence: Fence, overrides: OverrideLog) -> None:
        fence.restore(content.seen)
        for server, entry in content.entries.items():
            overrides.merge_entry(server, entry)
        for incarnation, count in content.committed_up_to.items():
            overrides.record_committed(incarnation, count)
        for pending_id, pending in content.pending.items():
            if pending and pending_id not in overrides.pending:
                overrides.add_pending(pending_id, pending.server, pending.is_suspended)
        self.tickets.update(content.tickets)

    def merge(self, snapshot: dict[str, Any], fence: Fence, overrides: OverrideLog) -> dict[str, bool]:
        """Takes in what another process of this name knew. Returns the servers that change by it."""
        for job, mark in snapshot["seen"].items():
            fence.positions[job] = max(fence.position(job), FencePosition(*mark))
        changes = {}
        for server, (out, term, number) in snapshot["words"].items():
            changed = overrides.merge_entry(server, OverrideEntry(out, Revision(term, number)))
            if changed is not None:
                changes[server] = changed
        for incarnation, count in snapshot["lives"].items():
            changes.update(overrides.record_committed(incarnation, count))
        return changes

    # -- writing ---------------------------------------------------------------------------------------

    def snapshot(self, fence: Fence, overrides: OverrideLog) -> dict[str, Any]:
        """What is to be written, as it is now."""
        entries = {server: [entry.is_suspended, *entry.revision] for server, entry in overrides.entries.items()}
        pending = {id_: {"server": one.server, "out": one.is_suspended} for id_, one in overrides.pending.items()}
        return {
            "version": VERSION,
            "boot": self.boot,
            "seen": dict(fence.positions),
            "tickets": dict(self.tickets),
            "lives": dict(overrides.committed_up_to),
            "words": entries,
            "wishes": pending,
        }

    def write(self, snapshot: dict[str, Any]) -> bool:
        """Replaces the file. From a thread: a disk may take seconds.

        Returns:
            True where the other process of this name has written meanwhile; its content is merged into the snapshot.

        Raises:
            OSError: it cannot be written; then what it would say must not be carried out.
        """
        with self._locked():
            merged = self._merge_file(snapshot)
            durable_file.replace(self.path, durable_file.sealed(snapshot), sync=True)
            self._stamp = _stamp_of(os.stat(self.path))
            return merged

    @contextlib.contextmanager
    def _locked(self) -> Iterator[None]:
        with open(self.path.with_suffix(".lock"), "wb") as file:
            fcntl.flock(file, fcntl.LOCK_EX)
            yield

    def _merge_file(self, snapshot: dict[str, Any]) -> bool:
        """Whether the other process has written since, and could be read."""
        with contextlib.suppress(OSError, ValueError):
            if _stamp_of(os.stat(self.path)) != self._stamp:
                theirs = json.loads(self.path.read_bytes()[:MAX_BYTES])
                return _merge_snapshots(snapshot, theirs)
        return False


def _stamp_of(status: os.stat_result) -> FileStamp:
    return FileStamp(status.st_mtime_ns, status.st_ino, status.st_size)


def _content_of(data: bytes) -> _Content:
    """Raises DurableStateError."""
    try:
        raw: Any = json.loads(data) if len(data) <= MAX_BYTES else None
    except ValueError as error:
        raise DurableStateError(str(error)) from error
    if not isinstance(raw, dict) or raw.get("version") != VERSION:
        raise DurableStateError(f"not of version {VERSION}")
    try:
        durable_file.check_seal(raw)
        return _Content(
            boot=raw.get("boot"),
            seen={str(job): FencePosition(int(term), int(number)) for job, (term, number) in raw["seen"].items()},
            entries={
                str(server): OverrideEntry(bool(out), Revision(int(term), int(number)))
                for server, (out, term, number) in raw["words"].items()
            },
            pending={str(id_): pending_of(json.dumps(one)) for id_, one in raw["wishes"].items()},
            committed_up_to={str(incarnation): int(count) for incarnation, count in raw["lives"].items()},
            tickets={str(job): Ticket(str(holder), int(term)) for job, (holder, term) in raw["tickets"].items()},
        )
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        raise DurableStateError(f"not what it should be: {error!r}") from error


def _merge_snapshots(own: dict[str, Any], theirs: Any) -> bool:
    """What the other process has written stands where it is higher; its pending words and tickets are its own."""
    if theirs.get("version") != VERSION:
        return False
    for job, mark in theirs["seen"].items():
        own["seen"][job] = max(tuple(own["seen"].get(job, (0, 0))), tuple(mark))
    for server, entry in theirs["words"].items():
        if tuple(entry[1:]) > tuple(own["words"].get(server, (False, 0, 0))[1:]):
            own["words"][server] = entry
    for incarnation, count in theirs["lives"].items():
        own["lives"][incarnation] = max(own["lives"].get(incarnation, 0), count)
    return True
