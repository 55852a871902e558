"""`glenrock stage`: processes of the real program among stand-ins and faults."""

from __future__ import annotations

from .main import LazyGroup

command = LazyGroup(
    "glenrock.cli",
    {"run": "scenario_run"},
    name="stage",
    help=("Start processes of the program on loopback, strike them, and judge what came of it.\n\nPage: docs/stage.md"),
)
