"""The expected load of a connection."""

from __future__ import annotations

import pytest

from glenrock.routing import interface


def test_expected_load_is_learned_from_reports_without_hints(make_harness) -> None:
    harness = make_harness()
    name = harness.send_request(key=1)
    harness.establish(name)
    harness.deliver(interface.ConnectionFeedback(name, harness.attempts_of(name)[0].server_id, load=30_000.0))
    assert harness.balancer.requests[harness.send_request(key=2)].load == pytest.approx(30_000.0)


def test_single_heavy_connection_does_not_dominate_the_mean(make_harness) -> None:
    harness = make_harness()
    names = [harness.send_request(key=n) for n in range(20)]
    for name, load in zip(names, [500_000.0] + [50_000.0] * 19, strict=True):
        harness.establish(name)
        harness.deliver(interface.ConnectionFeedback(name, harness.attempts_of(name)[0].server_id, load=load))
    assert harness.balancer.requests[harness.send_request(key=99)].load == pytest.approx(72_500.0, rel=0.01), (
        "the plain mean of twenty loads"
    )
    for n in range(600):
        harness.deliver(
            interface.ConnectionFeedback(names[1 + n % 19], harness.attempts_of(names[1])[0].server_id, load=50_000.0)
        )
    assert harness.balancer.requests[harness.send_request(key=100)].load == pytest.approx(50_000.0, rel=0.01), (
        "the mean follows later loads"
    )
