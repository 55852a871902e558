"""Connection load: the load that is expected of a connection without a hint."""

from __future__ import annotations

import pytest
from conftest import Harness, HarnessFactory

from glenrock.routing import interface

from .scenarios import first_server


def expected_load(harness: Harness, key: int) -> float:
    """Returns the load that is expected of a new request without a load hint."""
    return harness.balancer.requests[harness.send_request(key=key)].load


def test_expected_load_is_learned_from_reports_without_hints(make_harness: HarnessFactory) -> None:
    harness = make_harness()
    request_id = harness.send_request(key=1)
    harness.establish(request_id)
    harness.deliver(interface.ConnectionFeedback(request_id, first_server(harness, request_id), load=30_000.0))
    assert expected_load(harness, key=2) == pytest.approx(30_000.0)


def test_single_heavy_connection_does_not_dominate_the_mean(make_harness: HarnessFactory) -> None:
    harness = make_harness()
    request_ids = [harness.send_request(key=key) for key in range(20)]
    for request_id, load in zip(request_ids, [500_000.0] + [50_000.0] * 19, strict=True):
        harness.establish(request_id)
        harness.deliver(interface.ConnectionFeedback(request_id, first_server(harness, request_id), load=load))
    assert expected_load(harness, key=99) == pytest.approx(72_500.0, rel=0.01), "the unweighted mean of twenty loads"
    server_id = first_server(harness, request_ids[1])
    for number in range(600):
        request_id = request_ids[1 + number % 19]
        harness.deliver(interface.ConnectionFeedback(request_id, server_id, load=50_000.0))
    assert expected_load(harness, key=100) == pytest.approx(50_000.0, rel=0.01), "the mean follows later loads"
