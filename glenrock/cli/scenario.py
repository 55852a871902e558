"""`glenrock stage`: written scenarios of the testbed."""

from __future__ import annotations

from .main import LazyGroup

command = LazyGroup(
    "glenrock.cli",
    {"run": "scenario_run"},
    name="stage",
    help=("Run processes of the program on loopback under faults, and check the invariants.\n\nPage: docs/testbed.md"),
)
