"""`glenrock simulation`: simulates fleets of balancers and session servers."""

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
    help=("Simulate a fleet of balancers and session servers.\n\nDocumentation: docs/simulation.md"),
)
