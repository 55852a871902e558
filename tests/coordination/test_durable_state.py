"""The durable state: restored after a restart, merged between processes, and unusable files."""

from __future__ import annotations

import json
from dataclasses import dataclass
from pathlib import Path

import pytest

from glenrock.coordination.durable_state import DurableState, StoredPermit
from glenrock.coordination.leases.fence import Fence
from glenrock.coordination.shared_work.override_log import OverrideEntry, OverrideLog
from glenrock.coordination.shared_work.revision import Revision


@dataclass
class Incarnation:
    """The state of one process, and its file."""

    state: DurableState
    fence: Fence
    overrides: OverrideLog

    def read(self) -> bool:
        """Reads the file. Returns whether it contains everything that was known before."""
        return self.state.read(self.fence, self.overrides)

    def write(self) -> bool:
        """Writes the file. Returns whether the file of another process was merged."""
        return self.state.write(self.state.snapshot(self.fence, self.overrides))


def start_incarnation(folder: Path, is_restored: bool = False) -> Incarnation:
    """Returns a process that has not read its file yet; `is_restored` says whether its fence is restored."""
    return Incarnation(DurableState(folder, "n"), Fence(is_restored=is_restored), OverrideLog())


def first_incarnation(folder: Path) -> Incarnation:
    """Returns a process with a fence position, an override, a pending override and a permit, all in its file."""
    first = start_incarnation(folder, is_restored=True)
    first.fence.check_effect("bans", 4, 9)
    first.overrides.merge_entry("s", OverrideEntry(True, Revision(4, 2)))
    first.overrides.add_pending("n/1#3", "t", True)
    first.state.permits["turnstile/0"] = StoredPermit("n/1", 2)
    first.write()
    return first


def test_state_survives_a_restart(tmp_path: Path) -> None:
    first = first_incarnation(tmp_path)
    successor = start_incarnation(tmp_path)
    assert successor.read()
    assert successor.fence.is_restored
    assert successor.overrides.digest == first.overrides.digest
    assert list(successor.overrides.pending) == ["n/1#3"]
    assert successor.state.permits == first.state.permits
    assert not successor.fence.check_effect("bans", 3, 1).is_accepted


def test_fence_positions_of_both_processes_of_an_upgrade_are_merged_and_never_decrease(tmp_path: Path) -> None:
    first = first_incarnation(tmp_path)
    successor = start_incarnation(tmp_path)
    successor.read()
    first.fence.check_effect("bans", 6, 1)
    first.write()
    snapshot = successor.state.snapshot(successor.fence, successor.overrides)
    assert successor.state.write(snapshot), "the other process has written the file since"
    assert successor.state.load_snapshot(snapshot, successor.fence, successor.overrides) == []
    assert successor.fence.positions["bans"] == (6, 1)
    third = start_incarnation(tmp_path)
    assert third.read()
    assert third.fence.positions["bans"] == (6, 1)


@pytest.mark.parametrize("content", ["{", "[]", '{"version": 9}', '{"version": 1, "boot": "x", "seen": {"a": 1}}'])
def test_corrupt_file_does_not_restore_the_fence(tmp_path: Path, content: str) -> None:
    first = first_incarnation(tmp_path)
    first.write()  # the second write keeps the first as the previous version, which is merged
    first.state.path.write_text(content)
    incarnation = start_incarnation(tmp_path)
    with pytest.raises(ValueError):
        incarnation.read()
    assert not incarnation.fence.is_restored
    assert not incarnation.fence.check_effect("bans", 99, 1).is_accepted


def test_file_of_an_earlier_boot_does_not_restore_the_fence(tmp_path: Path) -> None:
    first = first_incarnation(tmp_path)
    empty = {"version": 1, "boot": "another", "words": {}, "wishes": {}, "lives": {}, "tickets": {}}
    first.state.path.write_text(json.dumps({**empty, "seen": {"bans": [6, 1]}}))
    incarnation = start_incarnation(tmp_path)
    assert not incarnation.read()
    assert not incarnation.fence.is_restored, "the fence must be restored from the store too"
