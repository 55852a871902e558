"""The estimated load of a server: delays, checks that time out, and changes since a report."""

from __future__ import annotations

import pytest
from conftest import SECOND, settings
from hypothesis import given
from hypothesis import strategies as st

from glenrock.routing import interface, load_estimation
from glenrock.routing.capacity_estimation import CapacityEstimator, ObservedLoad
from glenrock.routing.client_sessions import ClientSessions
from glenrock.routing.connection_load import ConnectionLoads
from glenrock.routing.event_batch import EventBatch
from glenrock.routing.load_estimation import LoadEstimator
from glenrock.routing.state import DelaySample, Server

from .scenarios import with_one_connection


def with_delay_reports(make_harness, count: int = 20):
    """Returns a harness, a server with connections and delay reports, and a request there."""
    harness = make_harness(
        names=("a:1", "b:1"),
        may_health_check=True,
        load_report_fields=("load_ratio",),
        has_message_delay_reports=True,
        balancers=1,
    )
    names = [harness.send_request(key=n, load=10) for n in range(count)]
    harness.advance(SECOND // 10)
    for name in names:
        harness.establish(name)
    s = harness.balancer.servers["a:1"]
    return harness, s, next(iter(s.connections))


def report_delays(harness, id_: str, waits_ms: list[int]) -> None:
    """Reports message delays, a second apart; health checks stay unanswered."""
    for n, ms in enumerate(waits_ms):
        if n:
            harness.advance(SECOND)
        harness.deliver(interface.ConnectionFeedback(id_, "a:1", None, ms * 1000.0))


@pytest.mark.parametrize(
    "delays_ms, load",
    [
        ([500], 1.5 + 0.25),  # a first delay: the backlog grew within a second
        ([500, 1000], 1.5 + 0.5),  # the delay grows by 0.5 s a second, with a backlog of 1 s
        ([1000, 500], 0.5 + 0.25),  # the backlog shrinks at half of the capacity
        ([1000, 60], load_estimation.MIN_DELAY_GROWTH_LOAD + 0.03),
        ([100, 9000], load_estimation.MAX_DELAY_GROWTH_LOAD + 4.5),
    ],
)
def test_load_of_a_late_server_follows_the_growth_of_its_delay(make_harness, delays_ms, load) -> None:
    harness, s, id_ = with_delay_reports(make_harness)
    harness.balancer.ejection.record_load(s, 0.5)
    report_delays(harness, id_, delays_ms)
    assert harness.balancer.loads.load(s) == pytest.approx(load, abs=0.01)


def test_connections_ended_since_delay_reports_lower_the_load(make_harness) -> None:
    harness, s, id_ = with_delay_reports(make_harness)
    report_delays(harness, id_, [500, 1000])
    before = harness.balancer.loads.load(s)
    for name in list(s.connections)[1 : len(s.connections) // 2 + 1]:
        harness.end_attempt(name, interface.AttemptOutcome.CANCELLED, is_final=True)
    backlog = 1.0 * SECOND / load_estimation.FEEDBACK_DELAY_US
    assert harness.balancer.loads.load(s) - backlog == pytest.approx((before - backlog) * 0.5, rel=0.15)


def test_connections_ended_since_a_report_lower_the_remaining_fraction(make_harness) -> None:
    harness, s, _ = with_delay_reports(make_harness)
    harness.advance(3 * SECOND)
    harness.balancer.ejection.record_load(s, 1.4)
    assert harness.balancer.loads.remaining_load_fraction(s) == 1.0
    there = list(s.connections)
    for name in there[: len(there) // 2]:
        harness.end_attempt(name, interface.AttemptOutcome.CANCELLED, is_final=True)
    assert harness.balancer.loads.remaining_load_fraction(s) == pytest.approx(1 - len(there) // 2 / len(there))


def test_few_ended_connections_do_not_lower_the_load(make_harness) -> None:
    harness, s, id_ = with_delay_reports(make_harness, count=8)
    harness.advance(3 * SECOND)
    harness.balancer.ejection.record_load(s, 1.4)
    report_delays(harness, id_, [500])
    before = harness.balancer.loads.load(s)
    for name in list(s.connections)[1:]:
        harness.end_attempt(name, interface.AttemptOutcome.CANCELLED, is_final=True)
    assert len(s.connections) == 1 and harness.balancer.loads.load(s) == before
    s.objective_missed_us = -1 << 40
    assert harness.balancer.loads.remaining_load_fraction(s) == 1.0


def test_timed_out_check_of_a_late_server_counts_as_load(make_harness) -> None:
    harness, s, id_ = with_delay_reports(make_harness)
    harness.balancer.ejection.record_load(s, 0.5)
    report_delays(harness, id_, [400])
    for _ in range(3):
        harness.deliver(interface.HealthCheckResult("a:1", interface.AttemptOutcome.TIMEOUT))
    assert (
        not s.consecutive_failures
        and harness.balancer.ejection.is_usable(s)
        and s.reported_load >= load_estimation.MIN_LATE_LOAD
    )
    harness.advance(3 * SECOND)  # nothing is heard of the server
    for _ in range(3):
        harness.deliver(interface.HealthCheckResult("a:1", interface.AttemptOutcome.TIMEOUT))
    assert s.consecutive_failures and not harness.balancer.ejection.is_usable(s)


def test_answered_check_ends_an_ejection(make_harness) -> None:
    harness, s, _ = with_delay_reports(make_harness)
    for _ in range(6):
        harness.deliver(interface.HealthCheckResult("a:1", interface.AttemptOutcome.NO_CONNECTION))
    assert not harness.balancer.ejection.is_usable(s)
    harness.deliver(interface.HealthCheckResult("a:1", interface.AttemptOutcome.SERVED, 1000, {"load_ratio": 0.2}))
    assert harness.balancer.ejection.is_usable(s)


def test_load_sent_after_a_report_counts_beside_it(make_harness) -> None:
    harness, _, _ = with_delay_reports(make_harness)
    harness.advance(3 * SECOND)
    name = harness.send_request(key=99, load=100)
    harness.advance(SECOND // 10)  # no health check is answered
    sent = harness.balancer.servers[harness.attempts_of(name)[0].server_id]
    for later, load, observed in ((0, 0.3, 0.4), (2 * SECOND, 0.4, 0.4)):
        harness.now_us += later
        harness.deliver()
        harness.balancer.ejection.record_load(sent, load)
        harness.balancer.capacity.server_capacity, sent.health_check_sent_us, sent.capacity_ratio = 1000.0, -1, 1.0
        assert harness.balancer.selection.expected_load(sent) == pytest.approx(observed)


def test_servers_with_inherited_connections_are_checked_at_once(make_harness) -> None:
    harness = make_harness(
        names=("a:1", "b:1"), may_health_check=True, load_report_fields=("load_ratio",), has_message_delay_reports=True
    )
    for n in range(12):
        harness.deliver(interface.OpenConnection(interface.Request(f"o{n}", "read", 0, n), "a:1"))
    harness.advance(SECOND)
    assert "a:1" in {a.server_id for _, a in harness.action_log if isinstance(a, interface.SendHealthCheck)}


@given(st.lists(st.tuples(st.integers(0, 4_000_000), st.floats(0, 5e6)), min_size=1, max_size=20))
def test_load_from_delays_is_bounded_and_grows_with_the_delay(delays) -> None:
    batch, s = EventBatch(), Server("a", "", 0, 1)
    loads = LoadEstimator(batch, settings())
    for gap, wait in delays:
        batch.now_us += gap
        loads.record_delay(s, wait, 60_000)
    low = loads.load_from_delays(s)
    at, wait, own_load = s.delay_samples[-1]
    assert 0 < low <= load_estimation.MAX_DELAY_GROWTH_LOAD + wait
    s.delay_samples[-1] = DelaySample(at, wait + 0.5, own_load)
    assert loads.load_from_delays(s) > low


def test_timed_out_check_of_a_server_just_heard_is_no_failure(make_harness) -> None:
    harness, s, id_ = with_delay_reports(make_harness)
    for _ in range(3):
        harness.deliver(
            interface.ConnectionFeedback(id_, "a:1", 10.0),
            interface.HealthCheckResult("a:1", interface.AttemptOutcome.TIMEOUT),
        )
    assert not s.consecutive_failures
    harness.advance(2 * SECOND)
    harness.deliver(interface.HealthCheckResult("a:1", interface.AttemptOutcome.TIMEOUT))
    assert s.consecutive_failures


@given(st.integers(2, 40), st.data())
def test_hanging_servers_do_not_raise_the_mean_load_but_a_full_fleet_does(
    server_count: int, data: st.DataObject
) -> None:
    """Up to half of the servers hang and report a multiple of their capacity; nothing else is known."""
    hanging_count = data.draw(st.integers(0, server_count // 2))
    load = data.draw(st.floats(0.2, 0.6))
    batch = EventBatch()
    servers = [
        Server(f"s{n}", "", 0, n, is_ready=True, reported_load=8.0 if n < hanging_count else load)
        for n in range(server_count)
    ]
    capacity = CapacityEstimator(
        batch,
        {s.server_id: s for s in servers},
        LoadEstimator(batch, settings()),
        ClientSessions(batch, SECOND),
        ConnectionLoads(),
    )
    observed = [ObservedLoad(s, min(3.0, s.reported_load)) for s in servers]
    most = load * server_count / (server_count - hanging_count)  # the others bear the whole load
    assert capacity.mean_load(observed, 1.0) <= most + 1e-9
    assert capacity.mean_load([ObservedLoad(s, 1.2) for s in servers], 1.0) == pytest.approx(1.2), (
        "all servers are full"
    )


def test_old_high_report_of_a_silent_server_loses_its_effect(make_harness) -> None:
    # The server was checked while overloaded and not since; slow messages are no longer reported.
    harness, name, s = with_one_connection(make_harness)
    harness.balancer.ejection.record_load(s, 1.8)
    assert harness.balancer.loads.load(s) == 1.8
    harness.advance(3 * SECOND)
    assert harness.balancer.loads.load(s) < 0.9
    harness.deliver(interface.ConnectionFeedback(name, "a:1", None, 90_000.0))
    assert harness.balancer.loads.load(s) > 1


def test_late_messages_outweigh_an_earlier_report(make_harness) -> None:
    # Reports describe the past: at the onset of an overload they are low while messages are late.
    harness, name, s = with_one_connection(make_harness)
    harness.balancer.ejection.record_load(s, 0.4)
    harness.advance(100_000)
    harness.deliver(interface.ConnectionFeedback(name, "a:1", None, 90_000.0))
    assert harness.balancer.loads.load(s) > 1
    harness.advance(100_000)
    harness.deliver(interface.HealthCheckResult("a:1", interface.AttemptOutcome.SERVED, 1000, {"load_ratio": 0.4}))
    assert harness.balancer.loads.load(s) > 1, "the report may describe a time before the delay"
    harness.advance(SECOND)
    harness.deliver(interface.HealthCheckResult("a:1", interface.AttemptOutcome.SERVED, 1000, {"load_ratio": 0.4}))
    assert harness.balancer.loads.load(s) == 0.4


def test_negative_load_report_is_ignored(make_harness) -> None:
    harness = make_harness(may_health_check=True, load_report_fields=("load_ratio",), names=("a:1",))
    harness.deliver(interface.HealthCheckResult("a:1", interface.AttemptOutcome.SERVED, 1000, {"load_ratio": 0.7}))
    harness.deliver(interface.HealthCheckResult("a:1", interface.AttemptOutcome.SERVED, 1000, {"load_ratio": -5.0}))
    assert harness.balancer.servers["a:1"].reported_load == 0.7
