"""Health checks: which servers are checked."""

from __future__ import annotations

from conftest import SECOND

from glenrock.routing import interface

from .scenarios import with_loaded_servers


def test_busy_servers_with_connections_are_checked_without_delay_reports(make_harness) -> None:
    harness = make_harness(may_health_check=True, load_report_fields=("load_ratio",), names=("a:1",))
    harness.establish(harness.send_request(key=1))
    harness.balancer.health_checks.budget.tokens = 5.0  # too few for the periodic check
    harness.deliver(interface.HealthCheckResult("a:1", interface.AttemptOutcome.SERVED, 1000, {"load_ratio": 0.4}))
    assert not [a for a in harness.advance(2 * SECOND) if isinstance(a, interface.SendHealthCheck)], (
        "a lightly loaded server is not checked"
    )
    harness.deliver(interface.HealthCheckResult("a:1", interface.AttemptOutcome.SERVED, 1000, {"load_ratio": 0.8}))
    assert [a for a in harness.advance(2 * SECOND) if isinstance(a, interface.SendHealthCheck)]


def test_each_round_checks_the_server_with_the_oldest_report(make_harness) -> None:
    loads = {f"{c}:1": 0.3 for c in "abcdef"}
    harness = with_loaded_servers(make_harness, loads)
    harness.balancer.health_checks.budget.tokens = 60.0
    checked: list[str] = []
    for _ in loads:
        now = [a.server_id for a in harness.advance(SECOND // 2) if isinstance(a, interface.SendHealthCheck)]
        harness.deliver(
            *(
                interface.HealthCheckResult(name, interface.AttemptOutcome.SERVED, 1000, {"load_ratio": 0.3})
                for name in now
            )
        )
        checked += now
    assert sorted(checked) == sorted(loads), "each server once before any is checked again"
