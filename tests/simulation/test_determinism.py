"""Runs in two processes with different hash seeds have summaries that are equal to the last digit."""

from __future__ import annotations

import os
import subprocess
import sys

import pytest

from .rig import EXPERIMENTS

RUN_TIMEOUT_S = 120
REDUCTIONS = {"fleet.balancers": 8, "fleet.instances": 12, "length_s": 12.0}
PROGRAM = """
import sys
from pathlib import Path
from glenrock.simulation import record, spec
from glenrock.simulation.fleet_simulation import FleetSimulation
summary = FleetSimulation(spec.load(Path(sys.argv[1]), {overrides}), 3, "glenrock").run()
del summary["clock"], summary["events_per_s"]
print(record.json_text(summary))
"""


def summary_text(experiment: str, hash_seed: int) -> str:
    """Returns the summary of a smaller experiment, run in a separate process with this PYTHONHASHSEED."""
    program = PROGRAM.format(overrides=REDUCTIONS)
    environment = {**os.environ, "PYTHONHASHSEED": str(hash_seed)}
    path = str(EXPERIMENTS / f"{experiment}.toml")
    finished = subprocess.run(
        [sys.executable, "-c", program, path],
        env=environment,
        capture_output=True,
        text=True,
        timeout=RUN_TIMEOUT_S,
        check=True,
    )
    return finished.stdout


@pytest.mark.parametrize("experiment", ["shards", "large-herd"])
def test_summary_does_not_depend_on_the_hash_seed(experiment: str) -> None:
    first, second = (summary_text(experiment, hash_seed) for hash_seed in (1, 2))
    assert first == second
    assert '"failure": ""' in first
