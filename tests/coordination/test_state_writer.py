"""The state writer: merges the other process's writes, and reports failed writes."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from pathlib import Path

import pytest

from glenrock.coordination.durable_state import DurableState
from glenrock.coordination.leases.fence import Fence
from glenrock.coordination.shared_work.override_log import OverrideChange, OverrideEntry, OverrideLog
from glenrock.coordination.shared_work.revision import Revision
from glenrock.coordination.state_writer import StateWriter
from glenrock.net.clock import ManualClock
from glenrock.net.metrics import ConnectionMetrics


@dataclass
class Process:
    """The state of one process of a balancer name; two of them share a file during an upgrade."""

    folder: Path
    overrides: OverrideLog = field(default_factory=OverrideLog)
    fence: Fence = field(default_factory=lambda: Fence(is_restored=True))
    metrics: ConnectionMetrics = field(default_factory=lambda: ConnectionMetrics([]))

    def writer(self) -> StateWriter:
        """Returns a writer of this process's state."""
        return StateWriter(DurableState(self.folder, "n1"), self.fence, self.overrides, ManualClock(), self.metrics)


def test_changes_of_the_other_process_are_merged_and_reported(tmp_path: Path) -> None:
    async def scenario() -> None:
        first, second = Process(tmp_path), Process(tmp_path)
        first_writer, second_writer = first.writer(), second.writer()
        reported: list[OverrideChange] = []
        second_writer.change_listeners.append(reported.extend)
        first.overrides.merge_entry("s", OverrideEntry(True, Revision(1, 1)))
        first.fence.check_effect("bans", 3, 1)
        assert await first_writer.write()
        assert await second_writer.write()
        assert reported == [OverrideChange("s", True)]
        assert second.overrides.is_suspended("s")
        assert second.fence.positions == {"bans": (3, 1)}

    asyncio.run(scenario())


def test_failed_writes_are_counted_and_logged_once_until_the_file_is_writable_again(
    tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    async def scenario() -> None:
        folder = tmp_path / "folder"
        process = Process(folder)
        writer = process.writer()
        for _ in range(2):
            assert not await writer.write()
        assert process.metrics.system_errors["ENOENT"] == 2
        folder.mkdir()
        with caplog.at_level("INFO"):
            assert await writer.write()
        failed, writable = caplog.messages
        assert failed.startswith("coordination state not writable")
        assert writable.startswith("coordination state writable again")

    asyncio.run(scenario())
