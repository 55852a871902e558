"""The operators' view is byte for byte that of an earlier version; see tests/recorded/README.md."""

from __future__ import annotations

from pathlib import Path

import pytest

from glenrock.coordination import status_view
from glenrock.coordination.leases.candidate import CandidateState, LeaseCandidate
from glenrock.coordination.leases.fence import FencePosition
from glenrock.coordination.override_receiver import Rejection
from glenrock.coordination.shared_work.override_log import OverrideEntry, OverrideLog
from glenrock.coordination.shared_work.revision import Revision
from glenrock.coordination.warm_start.milestones import CallCounts, ConnectionCounts, ListSource, StartProgress

from .rig import TIMING, FakeHost, build_context

RECORDED = Path(__file__).resolve().parents[1] / "recorded/fleet-view.json"
NOW_US = 5_000_000
EXPIRES_US = 9_000_000


def test_view_equals_the_recorded_view(monkeypatch: pytest.MonkeyPatch, tmp_path: Path) -> None:
    monkeypatch.setattr(status_view, "boottime_us", lambda: NOW_US)
    overrides = OverrideLog()
    overrides.merge_entry("s1", OverrideEntry(True, Revision(3, 2)))
    overrides.add_pending("n1/5-6#2", "s2", False)
    context = build_context(FakeHost(), tmp_path, overrides=overrides, jobs=["idle"], started_us=NOW_US)
    context.leases.store_error = ""
    jobs = ("idle", "asking", "owner", "leaving", "wary")
    for term, (job, state) in enumerate(zip(jobs, CandidateState, strict=True)):
        candidate = LeaseCandidate(TIMING, state=state, term=term, expires_us=EXPIRES_US)
        context.leases.manager.candidates[job] = candidate
    context.fence.positions["bans"] = FencePosition(3, 2)
    context.fence.rejected_count = 1
    start = StartProgress(
        process_started_ms=1000.4,
        delay_ms=0.0,
        ready_ms=1300.0,
        list_ms=1200.0,
        served_ms=0.0,
        list_source=ListSource.CACHED,
        calls=CallCounts(answered=2, rejected=1, failed=0),
        connections=ConnectionCounts(attempts=9, established=8, rejected=1, failed=0),
    )
    rejections = [Rejection(7, 2, "bans", 2, 3, "term 2 is past, 3 was seen")]
    view = status_view.build_view(context, rejections, "nothing was kept", start, "turnstile/0")
    assert view == RECORDED.read_text()
