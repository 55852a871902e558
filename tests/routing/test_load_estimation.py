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


def told(make, count: int = 20):
    """A server with connections of ours that tells of late messages and may be probed."""
    h = make(
        names=("a:1", "b:1"),
        may_health_check=True,
        load_report_fields=("load_ratio",),
        has_message_delay_reports=True,
        balancers=1,
    )
    names = [h.request(key=n, load=10) for n in range(count)]
    h.run(SECOND // 10)
    for name in names:
        h.start(name)
    s = h.b.servers["a:1"]
    return h, s, next(iter(s.connections))


def late(h, id_: str, waits_ms: list[int]) -> None:
    """Word of slow messages, a second apart; probes stay unanswered, as they do at a full server."""
    for n, ms in enumerate(waits_ms):
        if n:
            h.run(SECOND)
        h.give(interface.ConnectionFeedback(id_, "a:1", None, ms * 1000.0))


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
def test_the_load_of_a_late_server_is_how_fast_its_wait_grows(make, waits, load) -> None:
    # Seen on a day on which all slow down at once: by reports of the time before all were emptied twice.
    h, s, id_ = told(make)
    h.b.ejection.record_load(s, 0.5)
    late(h, id_, waits)
    assert h.b.loads.load(s) == pytest.approx(load, abs=0.01)


def test_what_left_since_the_words_is_not_sent_away_again(make) -> None:
    h, s, id_ = told(make)
    late(h, id_, [500, 1000])
    before = h.b.loads.load(s)
    for name in list(s.connections)[1 : len(s.connections) // 2 + 1]:
        h.end(name, "cancelled", done=True)
    piled = 1.0 * SECOND / load_estimation.FEEDBACK_DELAY_US
    assert h.b.loads.load(s) - piled == pytest.approx((before - piled) * 0.5, rel=0.15)


def test_what_left_since_a_report_is_not_sent_away_again(make) -> None:
    h, s, _ = told(make)
    h.run(3 * SECOND)
    h.b.ejection.record_load(s, 1.4)
    assert h.b.loads.remaining_load_fraction(s) == 1.0
    there = list(s.connections)
    for name in there[: len(there) // 2]:
        h.end(name, "cancelled", done=True)
    assert h.b.loads.remaining_load_fraction(s) == pytest.approx(1 - len(there) // 2 / len(there))


def test_of_a_few_connections_those_that_leave_say_nothing_of_the_rest(make) -> None:
    h, s, id_ = told(make, count=8)
    h.run(3 * SECOND)
    h.b.ejection.record_load(s, 1.4)
    late(h, id_, [500])
    before = h.b.loads.load(s)
    for name in list(s.connections)[1:]:
        h.end(name, "cancelled", done=True)
    assert len(s.connections) == 1 and h.b.loads.load(s) == before
    s.objective_missed_us = -1 << 40
    assert h.b.loads.remaining_load_fraction(s) == 1.0


def test_a_probe_that_times_out_at_a_late_server_tells_of_load(make) -> None:
    # In the laboratory, all slow at once: full servers counted as out of reach for half a minute, the fleet's load
    # came from the two that answered, and half of the clients stayed outside (one-room-slow 0.60, 0.68 with this).
    h, s, id_ = told(make)
    h.b.ejection.record_load(s, 0.5)
    late(h, id_, [400])
    for _ in range(3):
        h.give(interface.HealthCheckResult("a:1", "timeout"))
    assert not s.consecutive_failures and h.b.ejection.is_usable(s) and s.reported_load >= load_estimation.MIN_LATE_LOAD
    h.run(3 * SECOND)  # it says nothing at all now
    for _ in range(3):
        h.give(interface.HealthCheckResult("a:1", "timeout"))
    assert s.consecutive_failures and not h.b.ejection.is_usable(s)


def test_an_answered_probe_takes_a_server_back_at_once(make) -> None:
    h, s, _ = told(make)
    for _ in range(6):
        h.give(interface.HealthCheckResult("a:1", "no_connection"))
    assert not h.b.ejection.is_usable(s)
    h.give(interface.HealthCheckResult("a:1", "served", 1000, {"load_ratio": 0.2}))
    assert h.b.ejection.is_usable(s)


def test_what_was_just_sent_counts_beside_a_report_that_cannot_show_it(make) -> None:
    h, _, _ = told(make)
    h.run(3 * SECOND)
    name = h.request(key=99, load=100)
    h.run(SECOND // 10)  # no probe is answered
    sent = h.b.servers[h.sends(name)[0].server]
    for later, load, seen in ((0, 0.3, 0.4), (2 * SECOND, 0.4, 0.4)):
        h.now += later
        h.give()
        h.b.ejection.record_load(sent, load)
        h.b.capacity.server_capacity, sent.health_check_sent_us, sent.capacity_ratio = 1000.0, -1, 1.0
        assert h.b.selection.expected_load(sent) == pytest.approx(seen)


def test_servers_with_connections_from_before_are_asked_at_once(make) -> None:
    h = make(
        names=("a:1", "b:1"), may_health_check=True, load_report_fields=("load_ratio",), has_message_delay_reports=True
    )
    for n in range(12):
        h.give(interface.OpenConnection(interface.Request(f"o{n}", "read", 0, n), "a:1"))
    h.run(SECOND)
    assert "a:1" in {a.server for _, a in h.log if isinstance(a, interface.SendHealthCheck)}


@given(st.lists(st.tuples(st.integers(0, 4_000_000), st.floats(0, 5e6)), min_size=1, max_size=20))
def test_whatever_words_come_the_belief_is_bounded_and_grows_with_the_wait(words) -> None:
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


def test_a_probe_that_times_out_proves_nothing_where_something_was_just_heard(make) -> None:
    # Seen on sockets: while all that stood before is set up, probes wait. Four servers of five counted as lost, and the
    # cap was closed by what their clients would bring elsewhere.
    h, s, id_ = told(make)
    for _ in range(3):
        h.give(interface.ConnectionFeedback(id_, "a:1", 10.0), interface.HealthCheckResult("a:1", "timeout"))
    assert not s.consecutive_failures
    h.run(2 * SECOND)
    h.give(interface.HealthCheckResult("a:1", "timeout"))
    assert s.consecutive_failures


@given(st.integers(2, 40), st.data())
def test_servers_that_hang_do_not_close_the_cap_and_a_full_fleet_does(many: int, data: st.DataObject) -> None:
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
