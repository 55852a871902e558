"""Small scenarios for tests, from plain tables."""

from __future__ import annotations

import tempfile
from pathlib import Path
from typing import Any

from glenrock import toml_file
from glenrock.simulation import spec as lab
from glenrock.testbed import scenario, scenario_runner, scenario_testbed

PATH = Path("scene.toml")
SMALL: dict[str, Any] = {
    "name": "small",
    "length_s": 7.0,
    "drain_s": 1.0,
    "fleet": {"balancers": 3, "instances": 4, "zones": ["here"]},
    "traffic": {"life_s": 8.0, "connections_per_core": 6.0, "load": 0.3, "group_size": 4.0},
    "classes": [{"name": "browse", "give_up_ms": 2000.0}],
    "kinds": [{"name": "small", "cores": 2, "warm_s": 4.0}],
    "clients": {"retries": 4, "backoff_ms": 100.0, "rejoin_ms": 200.0},
    "front": {"notice_s": 1.0},
    "discovery": {"mode": "ask", "notice_s": 0.5, "add_s": 0.3},
    "rules": {"cold_s": 4.0},
    "platform": {"price_cross_zone": 0.0},
}


def scene(**over: Any) -> scenario.Scenario:
    found = toml_file.convert(PATH, "", lab.merge(SMALL, over), scenario.Scenario)
    scenario.check(found, PATH, "")
    return found


def played(seed: int = 1, **over: Any) -> tuple[scenario_testbed.ScenarioTestbed, dict[str, Any]]:
    with tempfile.TemporaryDirectory() as folder:
        return scenario_runner.play(scene(**over), seed, Path(folder))
