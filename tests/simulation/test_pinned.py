"""The simulation is determined: each recorded day comes out the same, to the last digit (tests/recorded/README.md)."""

from __future__ import annotations

import json
from pathlib import Path

import pytest

from glenrock.simulation import runner, spec

ROOT = Path(__file__).resolve().parents[2]
RECORDED = sorted((ROOT / "tests/recorded/lab").glob("*-seed*.json"))
OF_THE_MACHINE = ("key", "clock", "events_per_s")  # the text that played it, and how fast


def test_ten_days_are_recorded() -> None:
    assert len(RECORDED) == 10


@pytest.mark.parametrize("path", RECORDED, ids=lambda path: path.stem)
def test_a_recorded_day_comes_out_the_same(path: Path) -> None:
    name, _, seed = path.stem.rpartition("-seed")
    where, experiment = spec.points(ROOT / "experiments" / f"{name}.toml", {})[-1]
    summary = runner.play(runner.Task(experiment, where, int(seed), "glenrock"))
    for field in OF_THE_MACHINE:
        del summary[field]
    assert json.loads(json.dumps(summary)) == json.loads(path.read_bytes())
