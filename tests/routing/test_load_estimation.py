"""What is believed of a server's load: late messages, probes that time out, and what came or left since a report."""

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


def told(make_harness, count: int = 20):
    """A server with connections of ours that tells of late messages and may be probed."""
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


def late(harness, id_: str, waits_ms: list[int]) -> None:
    """Word of slow messages, a second apart; probes stay unanswered, as they do at a full server."""
    for n, ms in enumerate(waits_ms):
        if n:
            harness.advance(SECOND)
        harness.deliver(interface.ConnectionFeedback(id_, "a:1", None, ms * 1000.0))


@pytest.mark.parametrize(
    "waits, load",
    [
        ([500], 1.5 + 0.25),  # the first word: what is piled up came within a second
        ([500, 1000], 1.5 + 0.5),  # grows by half a second a second, and one is piled up
        ([1000, 500], 0.5 + 0.25),  # works it off: half of its capacity is asked for
        ([1000, 60], load_estimation.MIN_DELAY_GROWTH_LOAD + 0.03),
        ([100, 9000], load_estimation.MAX_DELAY_GROWTH_LOAD + 4.5),
    ],
)
def test_load_of_a_late_server_follows_the_growth_of_its_delay(make_harness, waits, load) -> None:
    # Seen on a day on which all slow down at once: by reports of the time before all were emptied twice.
    harness, s, id_ = told(make_harness)
    harness.balancer.ejection.record_load(s, 0.5)
    late(harness, id_, waits)
    assert harness.balancer.loads.load(s) == pytest.approx(load, abs=0.01)


def test_connections_ended_since_delay_reports_lower_the_load(make_harness) -> None:
    harness, s, id_ = told(make_harness)
    late(harness, id_, [500, 1000])
    before = harness.balancer.loads.load(s)
    for name in list(s.connections)[1 : len(s.connections) // 2 + 1]:
        harness.end_attempt(name, interface.AttemptOutcome.CANCELLED, is_final=True)
    piled = 1.0 * SECOND / load_estimation.FEEDBACK_DELAY_US
    assert harness.balancer.loads.load(s) - piled == pytest.approx((before - piled) * 0.5, rel=0.15)


def test_connections_ended_since_a_report_lower_the_remaining_fraction(make_harness) -> None:
    harness, s, _ = told(make_harness)
    harness.advance(3 * SECOND)
    harness.balancer.ejection.record_load(s, 1.4)
    assert harness.balancer.loads.remaining_load_fraction(s) == 1.0
    there = list(s.connections)
    for name in there[: len(there) // 2]:
        harness.end_attempt(name, interface.AttemptOutcome.CANCELLED, is_final=True)
    assert harness.balancer.loads.remaining_load_fraction(s) == pytest.approx(1 - len(there) // 2 / len(there))


def test_few_ended_connections_do_not_lower_the_load(make_harness) -> None:
    harness, s, id_ = told(make_harness, count=8)
    harness.advance(3 * SECOND)
    harness.balancer.ejection.record_load(s, 1.4)
    late(harness, id_, [500])
    before = harness.balancer.loads.load(s)
    for name in list(s.connections)[1:]:
        harness.end_attempt(name, interface.AttemptOutcome.CANCELLED, is_final=True)
    assert len(s.connections) == 1 and harness.balancer.loads.load(s) == before
    s.objective_missed_us = -1 << 40
    assert harness.balancer.loads.remaining_load_fraction(s) == 1.0


def test_timed_out_check_of_a_late_server_counts_as_load(make_harness) -> None:
    # In the laboratory, all slow at once: full servers counted as out of reach for half a minute, the fleet's load
    # came from the two that answered, and half of the clients stayed outside (one-room-slow 0.60, 0.68 with this).
    harness, s, id_ = told(make_harness)
    harness.balancer.ejection.record_load(s, 0.5)
    late(harness, id_, [400])
    for _ in range(3):
        harness.deliver(interface.HealthCheckResult("a:1", interface.AttemptOutcome.TIMEOUT))
    assert (
        not s.consecutive_failures
        and harness.balancer.ejection.is_usable(s)
        and s.reported_load >= load_estimation.MIN_LATE_LOAD
    )
    harness.advance(3 * SECOND)  # it says nothing at all now
    for _ in range(3):
        harness.deliver(interface.HealthCheckResult("a:1", interface.AttemptOutcome.TIMEOUT))
    assert s.consecutive_failures and not harness.balancer.ejection.is_usable(s)


def test_answered_check_ends_an_ejection(make_harness) -> None:
    harness, s, _ = told(make_harness)
    for _ in range(6):
        harness.deliver(interface.HealthCheckResult("a:1", interface.AttemptOutcome.NO_CONNECTION))
    assert not harness.balancer.ejection.is_usable(s)
    harness.deliver(interface.HealthCheckResult("a:1", interface.AttemptOutcome.SERVED, 1000, {"load_ratio": 0.2}))
    assert harness.balancer.ejection.is_usable(s)


def test_load_sent_after_a_report_counts_beside_it(make_harness) -> None:
    harness, _, _ = told(make_harness)
    harness.advance(3 * SECOND)
    name = harness.send_request(key=99, load=100)
    harness.advance(SECOND // 10)  # no probe is answered
    sent = harness.balancer.servers[harness.attempts_of(name)[0].server]
    for later, load, seen in ((0, 0.3, 0.4), (2 * SECOND, 0.4, 0.4)):
        harness.now_us += later
        harness.deliver()
        harness.balancer.ejection.record_load(sent, load)
        harness.balancer.capacity.server_capacity, sent.health_check_sent_us, sent.capacity_ratio = 1000.0, -1, 1.0
        assert harness.balancer.selection.expected_load(sent) == pytest.approx(seen)


def test_servers_with_inherited_connections_are_checked_at_once(make_harness) -> None:
    harness = make_harness(
        names=("a:1", "b:1"), may_health_check=True, load_report_fields=("load_ratio",), has_message_delay_reports=True
    )
    for n in range(12):
        harness.deliver(interface.OpenConnection(interface.Request(f"o{n}", "read", 0, n), "a:1"))
    harness.advance(SECOND)
    assert "a:1" in {a.server for _, a in harness.action_log if isinstance(a, interface.SendHealthCheck)}


@given(st.lists(st.tuples(st.integers(0, 4_000_000), st.floats(0, 5e6)), min_size=1, max_size=20))
def test_load_from_delays_is_bounded_and_grows_with_the_delay(words) -> None:
    batch, s = EventBatch(), Server("a", "", 0, 1)
    loads = LoadEstimator(batch, settings())
    for gap, wait in words:
        batch.now_us += gap
        loads.record_delay(s, wait, 60_000)
    low = loads.load_from_delays(s)
    at, wait, held = s.delay_samples[-1]
    assert 0 < low <= load_estimation.MAX_DELAY_GROWTH_LOAD + wait
    s.delay_samples[-1] = DelaySample(at, wait + 0.5, held)
    assert loads.load_from_delays(s) > low


def test_timed_out_check_of_a_server_just_heard_is_no_failure(make_harness) -> None:
    # Seen on sockets: while all that stood before is set up, probes wait. Four servers of five counted as lost, and the
    # cap was closed by what their clients would bring elsewhere.
    harness, s, id_ = told(make_harness)
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
def test_hanging_servers_do_not_raise_the_mean_load_but_a_full_fleet_does(many: int, data: st.DataObject) -> None:
    """Up to half of them hang and tell of many times what they can do; with thin traffic nothing else tells of it."""
    hang = data.draw(st.integers(0, many // 2))
    load = data.draw(st.floats(0.2, 0.6))
    batch = EventBatch()
    servers = [Server(f"s{n}", "", 0, n, ready=True, reported_load=8.0 if n < hang else load) for n in range(many)]
    capacity = CapacityEstimator(
        batch,
        {s.id: s for s in servers},
        LoadEstimator(batch, settings()),
        ClientSessions(batch, SECOND),
        ConnectionLoads(),
    )
    seen = [ObservedLoad(s, min(3.0, s.reported_load)) for s in servers]
    most = load * many / (many - hang)  # the others bear what was there
    assert capacity.mean_load(seen, 1.0) <= most + 1e-9
    assert capacity.mean_load([ObservedLoad(s, 1.2) for s in servers], 1.0) == pytest.approx(1.2), "all are full"


def test_old_high_report_of_a_silent_server_loses_its_effect(make_harness) -> None:
    # Asked while hot and not since; its connections send no word of slow messages any more.
    harness, name, s = with_one_connection(make_harness)
    harness.balancer.ejection.record_load(s, 1.8)
    assert harness.balancer.loads.load(s) == 1.8
    harness.advance(3 * SECOND)
    assert harness.balancer.loads.load(s) < 0.9
    harness.deliver(interface.ConnectionFeedback(name, "a:1", None, 90_000.0))
    assert harness.balancer.loads.load(s) > 1


def test_late_messages_outweigh_an_earlier_report(make_harness) -> None:
    # Reports show the past: at the onset of trouble they are good while messages are late already.
    harness, name, s = with_one_connection(make_harness)
    harness.balancer.ejection.record_load(s, 0.4)
    harness.advance(100_000)
    harness.deliver(interface.ConnectionFeedback(name, "a:1", None, 90_000.0))
    assert harness.balancer.loads.load(s) > 1
    harness.advance(100_000)
    harness.deliver(interface.HealthCheckResult("a:1", interface.AttemptOutcome.SERVED, 1000, {"load_ratio": 0.4}))
    assert harness.balancer.loads.load(s) > 1, "reports are old: this one may be of a time before the word"
    harness.advance(SECOND)
    harness.deliver(interface.HealthCheckResult("a:1", interface.AttemptOutcome.SERVED, 1000, {"load_ratio": 0.4}))
    assert harness.balancer.loads.load(s) == 0.4


def test_negative_load_report_is_ignored(make_harness) -> None:
    harness = make_harness(may_health_check=True, load_report_fields=("load_ratio",), names=("a:1",))
    harness.deliver(interface.HealthCheckResult("a:1", interface.AttemptOutcome.SERVED, 1000, {"load_ratio": 0.7}))
    harness.deliver(interface.HealthCheckResult("a:1", interface.AttemptOutcome.SERVED, 1000, {"load_ratio": -5.0}))
    assert harness.balancer.servers["a:1"].reported_load == 0.7
