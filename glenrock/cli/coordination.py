"""`glenrock fleet`: the state of coordination between balancers, read from the store and from the balancers."""

from __future__ import annotations

from .main import LazyGroup

command = LazyGroup(
    "glenrock.cli",
    {
        "jobs": "coordination_jobs",
        "owner": "coordination_holder",
        "history": "coordination_history",
        "start-report": "coordination_start_report",
    },
    name="fleet",
    help=(
        "Show the coordination of balancers: leases, past terms, rejected messages and starts."
        "\n\nDocumentation: docs/fleet.md"
    ),
)
