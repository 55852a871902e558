"""The report that compares the starts of several balancers."""

from __future__ import annotations

from typing import Any

from glenrock.coordination.warm_start.start_report import HEADER, format_report

from .records import NOW_MS

View = dict[str, Any]


def view(name: str, started_ms: float, **over: object) -> View:
    """Returns the part of an operators' view that the report reads; `over` replaces values of `start`."""
    start: View = {
        "begun_ms": started_ms,
        "waited_ms": 0,
        "ready_ms": started_ms + 300,
        "heard_ms": started_ms + 200,
        "served_ms": started_ms + 900,
        "list": "kept",
        "calls": {"answered": 2, "refused": 0, "failed": 0},
        "first": {"attempts": 9, "up": 8, "refused": 1, "failed": 0},
    }
    return {"name": name, "start": {**start, **over}}


def test_report_lists_starts_side_by_side_and_names_missing_balancers() -> None:
    calls = {"answered": 1, "refused": 2, "failed": 3}
    lines = format_report([view("n1", NOW_MS + 500, waited_ms=1250, list="none", calls=calls), view("n0", NOW_MS)])
    assert [" ".join(line.split()) for line in lines[:3]] == [
        " ".join(HEADER),
        "n0 0.00 s - kept 0.30 s 0.20 s 0.90 s 2 9 8 1 0",
        "n1 0.50 s 1.25 s none 0.30 s 0.20 s 0.90 s 1 and 5 not 9 8 1 0",
    ]
    assert lines[3:] == [
        "all accept clients: 0.80 s after the first process began",
        "all have the list from discovery: 0.70 s after the first process began",
        "all have served: 1.40 s after the first process began",
        "calls for the list: 4.0 a balancer, 2 refused, 3 failed",
    ]
    late = format_report(
        [view("n0", NOW_MS), *(view(f"m{number}", NOW_MS, heard_ms=0, served_ms=0) for number in range(6))]
    )
    assert "all have the list from discovery: not yet: m0, m1, m2, m3, m4 and more" in late
    assert "all accept clients: 0.30 s after the first process began" in late
