"""`glenrock stage`: runs scenarios on the testbed."""

from __future__ import annotations

from .main import LazyGroup

command = LazyGroup(
    "glenrock.cli",
    {"run": "scenario_run"},
    name="stage",
    help=("Run balancer processes under injected faults on the loopback interface.\n\nDocumentation: docs/testbed.md"),
)
