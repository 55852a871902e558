"""Capacity estimation: servers that are slow, and the mean load of the fleet."""

from __future__ import annotations

import pytest
from conftest import SECOND, HarnessFactory

from glenrock.routing import interface
from glenrock.routing.admission import NO_CAP
from glenrock.routing.capacity_estimation import ObservedLoad

from .scenarios import health_report, report_loads, run_rounds, with_loaded_servers


def test_unreachable_servers_do_not_count_in_the_mean_load(make_harness: HarnessFactory) -> None:
    names = tuple(f"s{number}:1" for number in range(20))
    harness = make_harness(may_health_check=True, load_report_fields=("load_ratio",), names=names)
    for server_id in names[:10]:
        harness.deliver(health_report(server_id, 0.5))
    for server_id in names[10:]:
        harness.deliver(interface.HealthCheckResult(server_id, interface.AttemptOutcome.NO_CONNECTION, 1000))
    harness.advance(SECOND)
    assert harness.balancer.loads.fleet_load == pytest.approx(0.5)
    assert harness.balancer.admission.load_cap == NO_CAP


def test_server_slow_from_the_start_is_recognized_by_comparison(make_harness: HarnessFactory) -> None:
    loads = {"a:1": 0.15, "b:1": 0.2, "c:1": 0.15, "d:1": 4.5}
    harness = with_loaded_servers(make_harness, loads)
    run_rounds(harness, loads, 2)
    servers = harness.balancer.servers
    assert servers["d:1"].capacity_ratio < 0.6
    assert min(servers[server_id].capacity_ratio for server_id in ("a:1", "b:1", "c:1")) > 0.9


def test_mean_load_follows_all_servers_of_a_small_fleet_and_few_of_a_large_one_slowly(
    make_harness: HarnessFactory,
) -> None:
    few = ("a:1", "b:1", "c:1")
    harness = with_loaded_servers(make_harness, dict.fromkeys(few, 0.5))
    run_rounds(harness, dict.fromkeys(few, 0.5), 4)
    run_rounds(harness, dict.fromkeys(few, 1.1), 2)
    assert harness.balancer.loads.fleet_load > 1.0 and harness.balancer.admission.load_cap < NO_CAP
    many = [f"{name}:1" for name in "abcdefghijklmnopqrst"]
    harness = with_loaded_servers(make_harness, dict.fromkeys(many, 0.5))
    run_rounds(harness, dict.fromkeys(many, 0.5), 4)
    run_rounds(harness, dict.fromkeys(many[:3], 1.1), 1)
    assert harness.balancer.loads.fleet_load < 0.7, "three of twenty servers do not determine the mean"


def test_mean_load_without_any_weight_is_the_plain_mean(make_harness: HarnessFactory) -> None:
    """All weights are 0 if the median reported load is 0 and the observed servers have no usual capacity."""
    harness = make_harness(may_health_check=True, load_report_fields=("load_ratio",), names=("a:1", "b:1", "c:1"))
    report_loads(harness, {"a:1": 0.0, "b:1": 2.0, "c:1": 3.0})
    report_loads(harness, {"b:1": 0.0})
    servers = harness.balancer.servers
    observed = [ObservedLoad(servers["b:1"], 2.0), ObservedLoad(servers["c:1"], 3.0)]
    assert harness.balancer.capacity.mean_load(observed, total_active_load=1.0) == pytest.approx(2.5)
