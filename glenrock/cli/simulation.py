"""`glenrock simulation`: the sub-commands of the simulation."""

from __future__ import annotations

from .main import LazyGroup

command = LazyGroup(
    "glenrock.cli",
    {
        "run": "simulation_run",
        "sweep": "simulation_sweep",
        "compare": "simulation_compare",
        "report": "simulation_report",
        "list": "simulation_list",
    },
    name="simulation",
    help=("Simulate a fleet: run, sweep, compare, report, list.\n\nPage: docs/simulation.md"),
)
