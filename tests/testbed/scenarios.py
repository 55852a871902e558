"""Small scenarios for tests, from plain tables, and what tests read from a run."""

from __future__ import annotations

import tempfile
from pathlib import Path
from typing import Any

from glenrock import toml_file
from glenrock.simulation.spec import merge
from glenrock.testbed import scenario_runner
from glenrock.testbed.history import Event
from glenrock.testbed.history_events import EventData
from glenrock.testbed.scenario import PathFault, Scenario, check
from glenrock.testbed.scenario_testbed import ScenarioTestbed

Table = dict[str, Any]
"""A table of a scenario file, or a part of `summary.json`."""

PATH = Path("scene.toml")
SMALL: Table = {
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


def small_scenario(**tables: Any) -> Scenario:
    """Returns the small scenario with the keys of some tables replaced.

    Raises:
        InputFileError: the result is not valid.
    """
    scenario = toml_file.convert(PATH, "", merge(SMALL, tables), Scenario)
    check(scenario, PATH, "")
    return scenario


def play_small(seed: int = 1, **tables: Any) -> tuple[ScenarioTestbed, Table]:
    """Plays the small scenario with the keys of some tables replaced; returns its testbed and summary."""
    with tempfile.TemporaryDirectory() as folder:
        return scenario_runner.play(small_scenario(**tables), seed, Path(folder))


def assert_no_violation(summary: Table) -> None:
    """Asserts that a run kept all invariants; shows the violations with their events."""
    found = [(violation["rule"], violation["text"], *violation["led"]) for violation in summary["breaches"]]
    assert not found, found


def measured_us(bed: ScenarioTestbed, event: Event[EventData]) -> int:
    """Returns the time of an event in microseconds from the beginning of the measured part of the run."""
    return event.at_us - bed.history.measured_from_us


def path_fault(source: str = "balancer:0", target: str = "instance:0", **fields: Any) -> PathFault:
    """Returns a fault of the path from one party to another."""
    return PathFault(at_s=0.0, source=source, target=target, **fields)
