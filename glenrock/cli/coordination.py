"""`glenrock fleet`: the state of coordination, from the store and from balancers."""

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
    help=("Show lease holders, terms, past terms and rejected messages.\n\nPage: docs/fleet.md"),
)
