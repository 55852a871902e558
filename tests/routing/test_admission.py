"""Admission: the cap, quotas, buckets and sessions."""

from __future__ import annotations

import pytest
from conftest import SECOND

from glenrock.routing import interface
from glenrock.routing.activity_history import ActivitySample

from .scenarios import ENOUGH_ROUNDS, receive_summary, run_rounds, with_loaded_servers


def test_quota_is_free_load_times_lagged_client_fraction(make_harness) -> None:
    # This balancer had 50 of 100 clients, the cap is 1000 and the active load 800, so its quota is 100.
    harness = make_harness()
    b = harness.balancer
    b.batch.now_us, b.admission.load_cap, b.sessions.active_load = harness.now_us, 1000.0, 300.0
    b.admission.history.samples = [ActivitySample(harness.now_us, 50, 500.0)]
    receive_summary(harness, 1, 200.0, 20)
    receive_summary(harness, 2, 300.0, 30)
    b.admission.load_cap = 1000.0
    b.admission.update_quota()
    assert b.admission.client_fraction() == 0.5
    assert b.admission.quota == pytest.approx(100)
    assert not b.admission.may_admit_newcomers


def test_new_clients_are_admitted_below_half_the_cap_without_waiting_clients(make_harness) -> None:
    harness = make_harness()
    harness.balancer.admission.load_cap, harness.balancer.sessions.active_load = 1000.0, 400.0
    harness.balancer.admission.update_quota()
    assert harness.balancer.admission.may_admit_newcomers


def test_admitted_clients_use_up_the_quota_of_the_round(make_harness) -> None:
    harness = make_harness()
    (
        harness.balancer.admission.load_cap,
        harness.balancer.sessions.active_load,
        harness.balancer.admission.may_admit_newcomers,
        harness.balancer.admission.quota,
    ) = (
        10.0,
        8.0,
        False,
        2.0,
    )
    names = [harness.send_request(key=n, load=1) for n in range(5)]
    assert [bool(harness.attempts_of(n)) for n in names] == [True, True, False, False, False]
    assert all(isinstance(harness.actions_for(n)[0], interface.Reject) for n in names[2:])


def test_oldest_buckets_open_first_and_the_partial_bucket_gets_the_quota(make_harness) -> None:
    # 52 of the load is free; 2 wait in the oldest bucket, 50 in the next one, 60 in the last.
    harness = make_harness()
    b = harness.balancer
    b.batch.now_us, b.admission.load_cap, b.sessions.active_load = harness.now_us, 200.0, 148.0
    now = harness.now_us // b.waiting_queue.bucket_us
    receive_summary(harness, 1, 0.0, 0, [(1, 60), (2, 50), (3, 2)])
    b.admission.load_cap = 200.0
    b.admission.history.samples = [ActivitySample(harness.now_us, 1, 148.0)]
    b.admission.update_quota()
    assert (b.admission.last_open_bucket, b.admission.partial_bucket, b.admission.quota) == (now - 2, now - 1, 0.0)
    b.admission.load_cap = 220.0  # leaves 20 for the last bucket
    b.admission.update_quota()
    assert (b.admission.partial_bucket, b.admission.quota) == (now - 1, 20.0)


def test_load_reserved_for_absent_clients_goes_to_younger_buckets(make_harness) -> None:
    # Old buckets of a peer reserve all the free load, and their clients do not return.
    harness = make_harness(balancers=2)
    b = harness.balancer
    harness.advance(SECOND)
    for n in range(10):
        harness.establish(harness.send_request(key=n, load=1))
    harness.advance(SECOND)
    admitted_count = 0
    for n in range(16):
        b.admission.load_cap = 40.0
        receive_summary(harness, 1, 10.0, 10, [(9, 19), (5, 30)])
        harness.advance(SECOND // 2)
        admitted_count += sum(
            bool(harness.attempts_of(harness.send_request(key=100 + 10 * n + k, load=1))) for k in range(2)
        )
    assert admitted_count >= 8


def test_negative_buckets_of_a_young_clock_are_handled(make_harness) -> None:
    harness = make_harness()
    b = harness.balancer
    b.batch.now_us = harness.now_us = 3 * SECOND
    receive_summary(harness, 1, 5.0, 5, [(9, 30)])
    b.admission.load_cap, b.sessions.active_load = 20.0, 5.0
    b.admission.update_quota()
    assert b.admission.partial_bucket == 1 - 9 and not b.admission.may_admit_newcomers
    b.admission.has_rejected_newcomer, b.admission.quota = False, 10.0
    assert not harness.attempts_of(harness.send_request(key=1, load=1)) and b.admission.has_rejected_newcomer


def test_clients_not_seen_lately_reserve_no_load(make_harness) -> None:
    harness = make_harness()
    (
        harness.balancer.admission.load_cap,
        harness.balancer.admission.may_admit_newcomers,
        harness.balancer.admission.quota,
    ) = 0.0, False, 0.0
    harness.send_request(key=1, load=5)
    assert sum(harness.balancer.waiting_queue.load_by_bucket().values()) == 5
    harness.now_us += 3 * SECOND
    harness.balancer.batch.now_us = harness.now_us
    assert (
        not harness.balancer.waiting_queue.load_by_bucket() and 1 in harness.balancer.waiting_queue.clients
    )  # and keeps its entry


def test_admitted_client_returns_while_its_session_lasts(make_harness) -> None:
    harness = make_harness()
    name = harness.send_request(key=7)
    harness.establish(name)
    harness.advance(5 * SECOND)
    harness.end_attempt(name, interface.AttemptOutcome.BROKEN, is_final=True)
    (
        harness.balancer.admission.load_cap,
        harness.balancer.admission.may_admit_newcomers,
        harness.balancer.admission.quota,
    ) = 10.0, False, 0.0
    assert harness.attempts_of(harness.send_request(key=7))
    harness.balancer.sessions.by_key.clear()
    assert isinstance(harness.actions_for(harness.send_request(key=7))[0], interface.Reject)


def test_client_dropped_soon_after_its_start_loses_its_session(make_harness) -> None:
    # With a session the client would be admitted at once and dropped again.
    harness = make_harness()
    name = harness.send_request(key=7)
    harness.establish(name)
    harness.end_attempt(name, interface.AttemptOutcome.BROKEN, is_final=True)
    (
        harness.balancer.admission.load_cap,
        harness.balancer.admission.may_admit_newcomers,
        harness.balancer.admission.quota,
    ) = 0.0, False, 0.0
    assert not harness.attempts_of(harness.send_request(key=7))
    assert all(s.ejected_until_us == 0 for s in harness.balancer.servers.values())


def test_cap_rises_again_without_load_reports(make_harness) -> None:
    # Only slow messages are reported; silence follows.
    harness = make_harness(has_message_delay_reports=True, names=tuple(f"s{n}:1" for n in range(15)))
    names = [harness.send_request(key=n, load=1) for n in range(120)]
    for name in names:
        harness.establish(name)
    for _ in range(6):
        harness.deliver(
            *(interface.ConnectionFeedback(n, harness.attempts_of(n)[0].server_id, None, 500_000.0) for n in names)
        )
        harness.advance(SECOND // 2)
    cut_cap = harness.balancer.admission.load_cap
    assert cut_cap < float("inf")
    harness.advance(10 * SECOND)
    assert (
        harness.balancer.admission.load_cap > cut_cap and harness.balancer.loads.fleet_load < 0.65
    )  # silence lowers the mean load


def test_cap_is_cut_once_per_feedback_delay_and_rises_again(make_harness) -> None:
    harness = make_harness(
        may_health_check=True, load_report_fields=("load_ratio",), names=tuple(f"s{n}:1" for n in range(20))
    )
    b = harness.balancer
    b.sessions.active_load = 100.0
    for s in b.servers.values():
        b.ejection.record_load(s, 1.6)
    b.admission.update_cap()
    first = b.admission.load_cap
    assert 50 <= first < 100
    b.admission.update_cap()
    assert b.admission.load_cap == first
    b.batch.now_us += 2 * SECOND
    b.admission.update_cap()
    assert b.admission.load_cap == first  # the load of the first cut has not left yet
    for s in b.servers.values():
        b.ejection.record_load(s, 0.4)
    b.admission.update_cap()
    assert b.admission.load_cap > first


def test_few_slow_servers_do_not_close_the_cap(make_harness) -> None:
    loads = {"a:1": 0.5, "b:1": 0.5, "c:1": 0.6, "d:1": 0.5, "e:1": 0.6}
    harness = with_loaded_servers(make_harness, loads)
    run_rounds(harness, loads, ENOUGH_ROUNDS)
    run_rounds(harness, loads | {"d:1": 1.6, "e:1": 2.4}, 8)
    # Three healthy servers and two with 0.3 to 0.4 of their capacity bear 0.84 of the load; a plain mean allows 0.64.
    assert (
        harness.balancer.loads.fleet_load < 0.86
        and harness.balancer.admission.load_cap > 0.8 * harness.balancer.sessions.active_load
    )


def test_overloaded_fleet_closes_the_cap(make_harness) -> None:
    loads = {name: 1.1 for name in ("a:1", "b:1", "c:1", "d:1", "e:1")}
    harness = with_loaded_servers(make_harness, loads)
    run_rounds(harness, loads, 12)
    assert harness.balancer.admission.load_cap < float("inf")


def test_drops_at_a_single_server_do_not_cut_the_cap(make_harness) -> None:
    harness = make_harness(names=("a:1", "b:1", "c:1", "d:1"))
    names = [harness.send_request(key=n) for n in range(30)]
    for name in names:
        if harness.attempts_of(name)[-1].server_id == "a:1":
            harness.end_attempt(name, interface.AttemptOutcome.BROKEN)
    harness.advance(SECOND)
    assert harness.balancer.admission.load_cap == float("inf")
    for n in range(30, 60):
        harness.end_attempt(harness.send_request(key=n), interface.AttemptOutcome.BROKEN)
    harness.advance(SECOND)
    assert harness.balancer.admission.load_cap < float("inf")
