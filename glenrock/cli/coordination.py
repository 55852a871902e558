"""`glenrock fleet`: what balancers do together, as the store and the balancers tell it."""

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
    help=("Who owns what, since when, on which term, and what was refused.\n\nPage: docs/fleet.md"),
)
