"""Runs repeat exactly: each summary is equal to the recorded one, to the last digit (tests/recorded/README.md)."""

from __future__ import annotations

import json
from pathlib import Path

import pytest

from glenrock.simulation import runner, spec

ROOT = Path(__file__).resolve().parents[2]
RECORDED = sorted((ROOT / "tests/recorded/lab").glob("*-seed*.json"))
MACHINE_DEPENDENT_KEYS = ("key", "clock", "events_per_s")  # digest of the routing source, and times


def test_ten_runs_are_recorded() -> None:
    assert len(RECORDED) == 10


@pytest.mark.parametrize("path", RECORDED, ids=lambda path: path.stem)
def test_run_is_equal_to_the_recorded_one(path: Path) -> None:
    name, _, seed = path.stem.rpartition("-seed")
    sweep_point, experiment = spec.sweep_points(ROOT / "experiments" / f"{name}.toml", {})[-1]
    summary = runner.run_task(runner.Task(experiment, sweep_point, int(seed), "glenrock"))
    for key in MACHINE_DEPENDENT_KEYS:
        del summary[key]
    assert json.loads(json.dumps(summary)) == json.loads(path.read_bytes())
