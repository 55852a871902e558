"""`glenrock lab`: the laboratory's sub-commands."""

from __future__ import annotations

from .main import LazyGroup

command = LazyGroup(
    "glenrock.cli",
    {"run": "lab_run", "sweep": "lab_sweep", "compare": "lab_compare", "report": "lab_report", "list": "lab_list"},
    name="lab",
    help=("Emulate the fleet in simulated time: run, sweep, compare, report, list.\n\nPage: docs/lab.md"),
)
