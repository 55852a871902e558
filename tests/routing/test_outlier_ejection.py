"""Outlier ejection: server weights and panic mode."""

from __future__ import annotations

from conftest import SECOND, HarnessFactory

from glenrock.routing import interface

from .scenarios import first_server


def test_weight_is_cut_for_an_overloaded_server_but_not_for_an_overloaded_fleet(make_harness: HarnessFactory) -> None:
    balancer = make_harness().balancer
    balancer.loads.fleet_load = 0.5
    outlier = balancer.servers["a:1"]
    balancer.ejection.record_load(outlier, 1.2)
    assert outlier.weight < 1
    balancer.loads.fleet_load = 1.3
    average = balancer.servers["b:1"]
    balancer.ejection.record_load(average, 1.3)
    assert average.weight == 1


def test_ejection_is_ignored_while_all_servers_are_ejected(make_harness: HarnessFactory) -> None:
    harness = make_harness(may_health_check=True, load_report_fields=("load_ratio",))
    for server_id in ("a:1", "b:1", "c:1"):
        for _ in range(4):
            harness.deliver(interface.HealthCheckResult(server_id, interface.AttemptOutcome.NO_CONNECTION, 1000))
    servers = harness.balancer.servers
    assert all(server.ejected_until_us > harness.now_us + SECOND for server in servers.values())
    first = harness.send_request(key=1)
    harness.advance(SECOND // 10)
    assert harness.attempts_of(first), "an ejected server is tried in panic mode"
    for server_id in ("a:1", "b:1"):
        servers[server_id].ejected_until_us = 0
    second = harness.send_request(key=2)
    harness.advance(SECOND // 10)
    assert first_server(harness, second) != "c:1", "the server that is still ejected receives nothing"
