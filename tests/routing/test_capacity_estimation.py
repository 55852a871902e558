"""Capacity estimation and the mean load of the fleet."""

from __future__ import annotations

import pytest
from conftest import SECOND

from glenrock.routing import interface
from glenrock.routing.capacity_estimation import ObservedLoad

from .scenarios import report_loads, run_rounds, with_loaded_servers


def test_unreachable_servers_do_not_count_in_the_mean_load(make_harness) -> None:
    harness = make_harness(
        may_health_check=True, load_report_fields=("load_ratio",), names=tuple(f"s{n}:1" for n in range(20))
    )
    for n in range(20):
        s = f"s{n}:1"
        harness.deliver(
            interface.HealthCheckResult(s, interface.AttemptOutcome.SERVED, 1000, {"load_ratio": 0.5})
            if n < 10
            else interface.HealthCheckResult(s, interface.AttemptOutcome.NO_CONNECTION, 1000)
        )
    harness.advance(SECOND)
    assert harness.balancer.loads.fleet_load == pytest.approx(0.5) and harness.balancer.admission.load_cap == float(
        "inf"
    )


def test_server_slow_from_the_start_is_recognized_by_comparison(make_harness) -> None:
    loads = {"a:1": 0.15, "b:1": 0.2, "c:1": 0.15, "d:1": 4.5}
    harness = with_loaded_servers(make_harness, loads)
    run_rounds(harness, loads, 2)
    assert harness.balancer.servers["d:1"].capacity_ratio < 0.6
    assert min(harness.balancer.servers[name].capacity_ratio for name in ("a:1", "b:1", "c:1")) > 0.9


def test_mean_load_follows_all_servers_of_a_small_fleet_and_few_of_a_large_one_slowly(make_harness) -> None:
    loads = {"a:1": 0.5, "b:1": 0.5, "c:1": 0.5}
    harness = with_loaded_servers(make_harness, loads)
    run_rounds(harness, loads, 4)
    run_rounds(harness, {name: 1.1 for name in loads}, 2)
    assert harness.balancer.loads.fleet_load > 1.0 and harness.balancer.admission.load_cap < float("inf")
    many = {f"{c}:1": 0.5 for c in "abcdefghijklmnopqrst"}
    harness = with_loaded_servers(make_harness, many)
    run_rounds(harness, many, 4)
    run_rounds(harness, {name: 1.1 for name in list(many)[:3]}, 1)
    assert harness.balancer.loads.fleet_load < 0.7, "three of twenty servers do not determine the mean"


def test_mean_load_without_any_weight_is_the_plain_mean(make_harness) -> None:
    """The median server reports no load and is not observed; the observed servers have no usual capacity."""
    harness = make_harness(may_health_check=True, load_report_fields=("load_ratio",), names=("a:1", "b:1", "c:1"))
    report_loads(harness, {"a:1": 0.0, "b:1": 2.0, "c:1": 3.0})
    report_loads(harness, {"b:1": 0.0})
    observed = [ObservedLoad(harness.balancer.servers[name], load) for name, load in (("b:1", 2.0), ("c:1", 3.0))]
    assert harness.balancer.capacity.mean_load(observed, tier_load=1.0) == pytest.approx(2.5)
