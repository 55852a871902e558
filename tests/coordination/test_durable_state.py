"""The state file of a balancer."""

from __future__ import annotations

import json

import pytest

from glenrock.coordination.durable_state import DurableState, StoredPermit
from glenrock.coordination.leases.fence import Fence
from glenrock.coordination.shared_work.override_log import OverrideEntry, OverrideLog
from glenrock.coordination.shared_work.revision import Revision


def test_state_outlives_a_restart_positions_grow_and_a_bad_file_restores_nothing(tmp_path) -> None:
    state, fence, log = DurableState(tmp_path, "n"), Fence(is_restored=True), OverrideLog()
    fence.check_effect("bans", 4, 9)
    log.merge_entry("s", OverrideEntry(True, Revision(4, 2)))
    log.add_pending("n/1#3", "t", True)
    state.permits["turnstile/0"] = StoredPermit("n/1", 2)
    state.write(state.snapshot(fence, log))
    successor, fence2, log2 = DurableState(tmp_path, "n"), Fence(), OverrideLog()
    assert successor.read(fence2, log2) and fence2.is_restored and log2.digest == log.digest
    assert (
        list(log2.pending) == ["n/1#3"]
        and successor.permits == state.permits
        and not fence2.check_effect("bans", 3, 1).is_accepted
    )
    fence.check_effect("bans", 6, 1)
    state.write(state.snapshot(fence, log))
    raw = successor.snapshot(fence2, log2)
    assert successor.write(raw), "the other process of an upgrade has written since"
    assert successor.merge(raw, fence2, log2) == {} and fence2.positions["bans"] == (6, 1)
    third, fence3 = DurableState(tmp_path, "n"), Fence()
    assert third.read(fence3, OverrideLog()) and fence3.positions["bans"] == (6, 1)
    for bad in ("{", "[]", '{"version": 9}', '{"version": 1, "boot": "x", "seen": {"a": 1}}'):
        state.path.write_text(bad)
        fence4 = Fence()
        with pytest.raises(ValueError):
            third.read(fence4, OverrideLog())
        assert not fence4.is_restored and not fence4.check_effect("bans", 99, 1).is_accepted
    raw = {"version": 1, "boot": "another", "seen": {"bans": [6, 1]}, "words": {}, "wishes": {}, "lives": {}}
    raw["tickets"] = {}
    state.path.write_text(json.dumps(raw))
    assert not third.read(fence4, OverrideLog()) and not fence4.is_restored, (
        "after a boot the store must restore the fence too"
    )
