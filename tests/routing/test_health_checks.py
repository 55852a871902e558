"""Health checks: the selection of the servers to check."""

from __future__ import annotations

from conftest import SECOND, HarnessFactory

from .scenarios import checked_servers, report_loads, with_loaded_servers


def test_busy_servers_with_connections_are_checked_without_delay_reports(make_harness: HarnessFactory) -> None:
    harness = make_harness(may_health_check=True, load_report_fields=("load_ratio",), names=("a:1",))
    harness.establish(harness.send_request(key=1))
    harness.balancer.health_checks.budget.tokens = 5.0  # fewer than are reserved for requests in a lightly loaded fleet
    report_loads(harness, {"a:1": 0.4})
    assert not checked_servers(harness.advance(2 * SECOND)), "a lightly loaded server is not checked"
    report_loads(harness, {"a:1": 0.8})
    assert checked_servers(harness.advance(2 * SECOND))


def test_each_round_checks_the_server_with_the_oldest_report(make_harness: HarnessFactory) -> None:
    loads = {f"{name}:1": 0.3 for name in "abcdef"}
    harness = with_loaded_servers(make_harness, loads)
    harness.balancer.health_checks.budget.tokens = 60.0
    checked: list[str] = []
    for _ in loads:
        checked_in_round = checked_servers(harness.advance(SECOND // 2))
        report_loads(harness, dict.fromkeys(checked_in_round, 0.3))
        checked += checked_in_round
    assert sorted(checked) == sorted(loads), "each server once before any is checked again"
