"""Replication of overrides at one balancer, with an SQLite store and without peers."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from pathlib import Path

import pytest

from glenrock.coordination.leases.sqlite_store import AsyncSqliteStore
from glenrock.coordination.override_replication import OverrideReplication
from glenrock.coordination.shared_work.override_log import OverrideChange, OverrideEntry, OverrideLog
from glenrock.coordination.shared_work.revision import Revision
from glenrock.upgrade.override_file import SharedOverrides
from glenrock.upgrade.override_sync import OverrideSync

from .rig import DeferredTasks, FakeHost, FakeOperators, build_context

POLL_S = 0.05


class RecordingSync(OverrideSync):
    """Records the overrides that are set.

    Attributes:
        applied: these overrides, in order.
    """

    def __init__(self, suspended: set[str]) -> None:
        self.overrides = SharedOverrides(suspended)
        self.applied: list[OverrideChange] = []

    async def set_override(self, server_id: str, is_suspended: bool) -> None:
        """Records the override."""
        self.applied.append(OverrideChange(server_id, is_suspended))


class ProposalDroppingStore(AsyncSqliteStore):
    """A store that drops all proposals.

    Attributes:
        proposals_received: the keys of the proposals, in order.
    """

    def __init__(self, folder: Path) -> None:
        super().__init__(folder / "store", "n1/5-6")
        self.proposals_received: list[str] = []

    async def propose(self, job: str, proposal: str, value: str) -> None:
        """Records the proposal's key, and drops the proposal."""
        self.proposals_received.append(proposal)


async def wait_until(condition: Callable[[], bool]) -> None:
    """Waits until the condition is true."""
    while not condition():  # noqa: ASYNC110 - the condition has no event
        await asyncio.sleep(POLL_S)


def test_stored_override_that_was_not_applied_is_applied_at_the_next_start(tmp_path: Path) -> None:
    """A process was killed after it stored overrides and before it applied them."""
    overrides = OverrideLog()
    overrides.merge_entry("back", OverrideEntry(False, Revision(1, 1)))
    overrides.merge_entry("out", OverrideEntry(True, Revision(1, 2)))
    overrides.merge_entry("never", OverrideEntry(False, Revision(1, 3)))
    override_sync = RecordingSync({"back", "alone"})
    host = FakeHost(operators=FakeOperators(override_sync))
    tasks = DeferredTasks()
    OverrideReplication(build_context(host, tmp_path, overrides, tasks=tasks)).start()
    apply_stored, *others = tasks.coroutines
    for work in others:
        work.close()
    asyncio.run(apply_stored)
    expected = [OverrideChange("back", False), OverrideChange("out", True)]
    assert sorted(override_sync.applied) == expected, "a server suspended at this balancer only is not changed"


def test_pending_overrides_are_proposed_repeatedly_in_order_until_committed(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("glenrock.coordination.override_replication.PROPOSAL_RETRY_INTERVAL_S", 0.3)

    async def scenario() -> None:
        store = ProposalDroppingStore(tmp_path)
        context = build_context(FakeHost(), tmp_path, store=store)
        replication = OverrideReplication(context)
        context.overrides.add_pending("n/1#1", "s", True)
        context.overrides.add_pending("n/1#2", "t", True)
        proposing = asyncio.create_task(replication._run_proposals())
        proposals = store.proposals_received
        await wait_until(lambda: len(proposals) >= 4)
        context.overrides.record_committed("n/1", 2)
        count_before = len(proposals)
        await asyncio.sleep(0.7)
        assert proposals[:4] == ["n/1#1", "n/1#2"] * 2
        assert len(proposals) == count_before
        proposing.cancel()

    asyncio.run(asyncio.wait_for(scenario(), 20))
