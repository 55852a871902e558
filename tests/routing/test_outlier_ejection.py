"""Outlier ejection: weights and panic mode."""

from __future__ import annotations

from conftest import SECOND

from glenrock.routing import interface


def test_weight_is_cut_for_an_overloaded_server_but_not_for_an_overloaded_fleet(make_harness) -> None:
    harness = make_harness()
    b = harness.balancer
    b.loads.fleet_load = 0.5
    one = b.servers["a:1"]
    b.ejection.record_load(one, 1.2)
    assert one.weight < 1
    b.loads.fleet_load = 1.3
    other = b.servers["b:1"]
    b.ejection.record_load(other, 1.3)
    assert other.weight == 1


def test_ejection_is_ignored_while_all_servers_are_ejected(make_harness) -> None:
    harness = make_harness(may_health_check=True, load_report_fields=("load_ratio",))
    for name in ("a:1", "b:1", "c:1"):
        for _ in range(4):
            harness.deliver(interface.HealthCheckResult(name, interface.AttemptOutcome.NO_CONNECTION, 1000))
    assert all(s.ejected_until_us > harness.now_us + SECOND for s in harness.balancer.servers.values())
    name = harness.send_request(key=1)
    harness.advance(SECOND // 10)
    assert harness.attempts_of(name), "an ejected server is tried"
    for name in ("a:1", "b:1"):
        harness.balancer.servers[name].ejected_until_us = 0
    again = harness.send_request(key=2)
    harness.advance(SECOND // 10)
    assert harness.attempts_of(again)[0].server_id != "c:1", "the server that is still ejected receives nothing"
