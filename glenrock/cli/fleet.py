"""`glenrock fleet`: what balancers do together, as the store and the balancers tell it."""

from __future__ import annotations

from .main import LazyGroup

command = LazyGroup(
    "glenrock.cli",
    {"jobs": "fleet_jobs", "owner": "fleet_owner", "history": "fleet_history", "start-report": "fleet_start"},
    name="fleet",
    help=("Who owns what, since when, on which term, and what was refused.\n\nPage: docs/fleet.md"),
)
