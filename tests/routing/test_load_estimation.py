"""Load estimation: message delays, health checks that time out, and load that changed since a report."""

from __future__ import annotations

import pytest
from conftest import SECOND, Harness, HarnessFactory, settings
from hypothesis import given
from hypothesis import strategies as st

from glenrock.routing import interface, load_estimation
from glenrock.routing.capacity_estimation import CapacityEstimator, ObservedLoad
from glenrock.routing.client_sessions import ClientSessions
from glenrock.routing.connection_load import ConnectionLoads
from glenrock.routing.event_batch import NEVER_US, EventBatch
from glenrock.routing.interface import AttemptOutcome
from glenrock.routing.load_estimation import LoadEstimator
from glenrock.routing.state import DelaySample, Server

from .scenarios import (
    ConnectedServer,
    checked_servers,
    establish_requests,
    health_report,
    open_connection,
    with_one_connection,
)


def with_delay_reports(make_harness: HarnessFactory, connections: int = 20) -> ConnectedServer:
    """Returns a harness with that number of connections at two servers, whose slow messages are reported."""
    harness = make_harness(
        names=("a:1", "b:1"),
        may_health_check=True,
        load_report_fields=("load_ratio",),
        has_message_delay_reports=True,
        balancers=1,
    )
    establish_requests(harness, connections, load=10, wait_us=SECOND // 10)
    server = harness.balancer.servers["a:1"]
    return ConnectedServer(harness, server, next(iter(server.connections)))


def report_delay(harness: Harness, request_id: str, delay_ms: float) -> None:
    """Reports the delay of a message of that connection at server a:1."""
    harness.deliver(interface.ConnectionFeedback(request_id, "a:1", None, delay_ms * 1000.0))


def report_delays(harness: Harness, request_id: str, delays_ms: list[int]) -> None:
    """Reports message delays, one second apart. Health checks sent meanwhile are not answered."""
    for number, delay_ms in enumerate(delays_ms):
        if number:
            harness.advance(SECOND)
        report_delay(harness, request_id, delay_ms)


def time_out_check(harness: Harness) -> None:
    """Delivers the result of a health check of server a:1 that timed out."""
    harness.deliver(interface.HealthCheckResult("a:1", AttemptOutcome.TIMEOUT))


def cancel_connections(harness: Harness, request_ids: list[str]) -> None:
    """Ends these connections, as cancelled."""
    for request_id in request_ids:
        harness.end_attempt(request_id, AttemptOutcome.CANCELLED, is_final=True)


@pytest.mark.parametrize(
    ("delays_ms", "load"),
    [
        ([500], 1.5 + 0.25),  # before a first delay there was none, so it grew within a second
        ([500, 1000], 1.5 + 0.5),  # the delay grows by 0.5 s per second, and the backlog is 1 s
        ([1000, 500], 0.5 + 0.25),  # the backlog shrinks, at half of the capacity
        ([1000, 60], load_estimation.MIN_DELAY_GROWTH_LOAD + 0.03),
        ([100, 9000], load_estimation.MAX_DELAY_GROWTH_LOAD + 4.5),
    ],
)
def test_load_of_a_late_server_follows_the_growth_of_its_delay(
    make_harness: HarnessFactory, delays_ms: list[int], load: float
) -> None:
    harness, server, request_id = with_delay_reports(make_harness)
    harness.balancer.ejection.record_load(server, 0.5)
    report_delays(harness, request_id, delays_ms)
    assert harness.balancer.loads.load(server) == pytest.approx(load, abs=0.01)


def test_connections_ended_since_delay_reports_lower_the_load(make_harness: HarnessFactory) -> None:
    harness, server, request_id = with_delay_reports(make_harness)
    loads = harness.balancer.loads
    report_delays(harness, request_id, [500, 1000])
    before = loads.load(server)
    cancel_connections(harness, list(server.connections)[1 : len(server.connections) // 2 + 1])
    backlog = 1.0 * SECOND / load_estimation.FEEDBACK_DELAY_US
    assert loads.load(server) - backlog == pytest.approx((before - backlog) * 0.5, rel=0.15)


def test_connections_ended_since_a_report_lower_the_remaining_fraction(make_harness: HarnessFactory) -> None:
    harness, server, _ = with_delay_reports(make_harness)
    loads = harness.balancer.loads
    harness.advance(3 * SECOND)
    harness.balancer.ejection.record_load(server, 1.4)
    assert loads.remaining_load_fraction(server) == 1.0
    connections = list(server.connections)
    ended = connections[: len(connections) // 2]
    cancel_connections(harness, ended)
    assert loads.remaining_load_fraction(server) == pytest.approx(1 - len(ended) / len(connections))


def test_few_ended_connections_do_not_lower_the_load(make_harness: HarnessFactory) -> None:
    harness, server, request_id = with_delay_reports(make_harness, connections=8)
    loads = harness.balancer.loads
    harness.advance(3 * SECOND)
    harness.balancer.ejection.record_load(server, 1.4)
    report_delays(harness, request_id, [500])
    before = loads.load(server)
    cancel_connections(harness, list(server.connections)[1:])
    assert len(server.connections) == 1 and loads.load(server) == before
    server.objective_missed_at_us = NEVER_US
    assert loads.remaining_load_fraction(server) == 1.0


def test_timed_out_check_of_a_late_server_counts_as_load(make_harness: HarnessFactory) -> None:
    harness, server, request_id = with_delay_reports(make_harness)
    ejection = harness.balancer.ejection
    ejection.record_load(server, 0.5)
    report_delays(harness, request_id, [400])
    for _ in range(3):
        time_out_check(harness)
    assert not server.consecutive_failures and ejection.is_usable(server)
    assert server.reported_load >= load_estimation.MISSED_OBJECTIVE_MIN_LOAD
    harness.advance(3 * SECOND)  # nothing is received from the server
    for _ in range(3):
        time_out_check(harness)
    assert server.consecutive_failures and not ejection.is_usable(server)


def test_answered_check_ends_an_ejection(make_harness: HarnessFactory) -> None:
    harness, server, _ = with_delay_reports(make_harness)
    ejection = harness.balancer.ejection
    for _ in range(6):
        harness.deliver(interface.HealthCheckResult("a:1", AttemptOutcome.NO_CONNECTION))
    assert not ejection.is_usable(server)
    harness.deliver(health_report("a:1", 0.2))
    assert ejection.is_usable(server)


def test_load_sent_after_a_report_counts_beside_it(make_harness: HarnessFactory) -> None:
    harness, _, _ = with_delay_reports(make_harness)
    balancer = harness.balancer
    harness.advance(3 * SECOND)
    request_id = harness.send_request(key=99, load=100)
    harness.advance(SECOND // 10)  # health checks are not answered
    server = balancer.servers[harness.attempts_of(request_id)[0].server_id]
    for later_us, reported_load, expected_load in ((0, 0.3, 0.4), (2 * SECOND, 0.4, 0.4)):
        harness.now_us += later_us
        harness.deliver()
        balancer.ejection.record_load(server, reported_load)
        balancer.capacity.server_capacity = 1000.0
        server.health_check_sent_at_us, server.capacity_ratio = -1, 1.0
        assert balancer.selection.expected_load(server) == pytest.approx(expected_load)


def test_servers_with_inherited_connections_are_checked_at_once(make_harness: HarnessFactory) -> None:
    harness = make_harness(
        names=("a:1", "b:1"), may_health_check=True, load_report_fields=("load_ratio",), has_message_delay_reports=True
    )
    for key in range(12):
        open_connection(harness, f"o{key}", "a:1", key=key)
    harness.advance(SECOND)
    assert "a:1" in checked_servers(action for _, action in harness.action_log)


@given(st.lists(st.tuples(st.integers(0, 4_000_000), st.floats(0, 5e6)), min_size=1, max_size=20))
def test_load_from_delays_is_bounded_and_grows_with_the_delay(delays: list[tuple[int, float]]) -> None:
    batch, server = EventBatch(), Server("a", "", 0, 1)
    loads = LoadEstimator(batch, settings())
    for gap_us, delay_us in delays:
        batch.now_us += gap_us
        loads.record_delay(server, delay_us, 60_000)
    load = loads.load_from_delays(server)
    last = server.delay_samples[-1]
    assert 0 < load <= load_estimation.MAX_DELAY_GROWTH_LOAD + last.delay_s
    server.delay_samples[-1] = DelaySample(last.at_us, last.delay_s + 0.5, last.own_load)
    assert loads.load_from_delays(server) > load


def test_timed_out_check_of_a_server_just_heard_is_no_failure(make_harness: HarnessFactory) -> None:
    harness, server, request_id = with_delay_reports(make_harness)
    for _ in range(3):
        harness.deliver(
            interface.ConnectionFeedback(request_id, "a:1", 10.0),
            interface.HealthCheckResult("a:1", AttemptOutcome.TIMEOUT),
        )
    assert not server.consecutive_failures
    harness.advance(2 * SECOND)
    time_out_check(harness)
    assert server.consecutive_failures


@given(st.integers(2, 40), st.data())
def test_hanging_servers_do_not_raise_the_mean_load_but_a_full_fleet_does(
    server_count: int, data: st.DataObject
) -> None:
    """Up to half of the servers hang and report a load far above 1, and no usual capacity is known.

    With equal weights their reports would raise the mean load and cut the cap. If all servers are full, the mean load
    still has to show it.
    """
    hanging_count = data.draw(st.integers(0, server_count // 2))
    load = data.draw(st.floats(0.2, 0.6))
    batch = EventBatch()
    reported_loads = [8.0] * hanging_count + [load] * (server_count - hanging_count)
    servers = {
        f"s{number}": Server(f"s{number}", "", 0, number, is_ready=True, reported_load=reported_load)
        for number, reported_load in enumerate(reported_loads)
    }
    capacity = CapacityEstimator(
        batch, servers, LoadEstimator(batch, settings()), ClientSessions(batch, SECOND), ConnectionLoads()
    )
    observed = [ObservedLoad(server, min(3.0, server.reported_load)) for server in servers.values()]
    max_mean = load * server_count / (server_count - hanging_count)  # the other servers bear the whole load
    assert capacity.mean_load(observed, 1.0) <= max_mean + 1e-9
    all_full = [ObservedLoad(server, 1.2) for server in servers.values()]
    assert capacity.mean_load(all_full, 1.0) == pytest.approx(1.2)


def test_old_high_report_of_a_silent_server_loses_its_effect(make_harness: HarnessFactory) -> None:
    # The server was last checked while it was overloaded. Slow messages are not reported any more, so it has recovered,
    # and its old report must not keep the mean load high.
    harness, server, request_id = with_one_connection(make_harness)
    loads = harness.balancer.loads
    harness.balancer.ejection.record_load(server, 1.8)
    assert loads.load(server) == 1.8
    harness.advance(3 * SECOND)
    assert loads.load(server) < 0.9
    report_delay(harness, request_id, 90)
    assert loads.load(server) > 1


def test_late_messages_outweigh_an_earlier_report(make_harness: HarnessFactory) -> None:
    # Load reports describe the past: when an overload begins, they still state a low load although messages are late.
    harness, server, request_id = with_one_connection(make_harness)
    loads = harness.balancer.loads
    harness.balancer.ejection.record_load(server, 0.4)
    harness.advance(100_000)
    report_delay(harness, request_id, 90)
    assert loads.load(server) > 1
    harness.advance(100_000)
    harness.deliver(health_report("a:1", 0.4))
    assert loads.load(server) > 1, "the report may describe a time before the delay"
    harness.advance(SECOND)
    harness.deliver(health_report("a:1", 0.4))
    assert loads.load(server) == 0.4


def test_negative_load_report_is_ignored(make_harness: HarnessFactory) -> None:
    harness = make_harness(may_health_check=True, load_report_fields=("load_ratio",), names=("a:1",))
    harness.deliver(health_report("a:1", 0.7))
    harness.deliver(health_report("a:1", -5.0))
    assert harness.balancer.servers["a:1"].reported_load == 0.7
