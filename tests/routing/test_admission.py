"""Admission: the cap on the active load, quotas, buckets of waiting clients, and sessions."""

from __future__ import annotations

import pytest
from conftest import SECOND, Harness, HarnessFactory

from glenrock.routing import interface
from glenrock.routing.activity_history import ActivitySample
from glenrock.routing.admission import NO_CAP

from .scenarios import (
    ROUNDS_TO_LEARN_CAPACITY,
    establish_requests,
    first_server,
    is_rejected_at_once,
    receive_summary,
    reject_newcomers,
    run_rounds,
    with_loaded_servers,
)


def set_loads(harness: Harness, load_cap: float, active_load: float) -> None:
    """Sets the cap and this balancer's active load, and advances its batch to the present time."""
    harness.balancer.batch.now_us = harness.now_us
    harness.balancer.admission.load_cap = load_cap
    harness.balancer.sessions.active_load = active_load


def test_quota_is_free_load_times_lagged_client_fraction(make_harness: HarnessFactory) -> None:
    # The cap is 1000 and the active load of all balancers 800. This balancer had 50 of 100 clients, so its quota is
    # half of the free load of 200.
    harness = make_harness()
    admission = harness.balancer.admission
    set_loads(harness, load_cap=1000.0, active_load=300.0)
    admission.history.samples = [ActivitySample(harness.now_us, 50, 500.0)]
    receive_summary(harness, 1, 200.0, 20)
    receive_summary(harness, 2, 300.0, 30)
    admission.load_cap = 1000.0
    admission.update_quota()
    assert admission.client_fraction() == 0.5
    assert admission.quota == pytest.approx(100)
    assert not admission.may_admit_new_clients


def test_new_clients_are_admitted_below_half_the_cap_without_waiting_clients(make_harness: HarnessFactory) -> None:
    harness = make_harness()
    set_loads(harness, load_cap=1000.0, active_load=400.0)
    harness.balancer.admission.update_quota()
    assert harness.balancer.admission.may_admit_new_clients


def test_admitted_clients_use_up_the_quota_of_the_round(make_harness: HarnessFactory) -> None:
    harness = make_harness()
    harness.balancer.sessions.active_load = 8.0
    reject_newcomers(harness, load_cap=10.0, quota=2.0)
    request_ids = [harness.send_request(key=key, load=1) for key in range(5)]
    are_sent = [bool(harness.attempts_of(request_id)) for request_id in request_ids]
    assert are_sent == [True, True, False, False, False]
    assert all(is_rejected_at_once(harness, request_id) for request_id in request_ids[2:])


def test_oldest_buckets_are_admitted_first_and_the_partial_bucket_gets_the_quota(make_harness: HarnessFactory) -> None:
    # The free load is 52. Loads of 2, 50 and 60 wait in three buckets, oldest first.
    harness = make_harness()
    balancer, admission = harness.balancer, harness.balancer.admission
    set_loads(harness, load_cap=200.0, active_load=148.0)
    current_bucket = harness.now_us // balancer.waiting_queue.bucket_us
    receive_summary(harness, 1, 0.0, 0, [(1, 60), (2, 50), (3, 2)])
    admission.load_cap = 200.0
    admission.history.samples = [ActivitySample(harness.now_us, 1, 148.0)]
    admission.update_quota()
    assert admission.last_admitted_bucket == current_bucket - 2
    assert (admission.partial_bucket, admission.quota) == (current_bucket - 1, 0.0)
    admission.load_cap = 220.0  # leaves a free load of 20 for the last bucket
    admission.update_quota()
    assert (admission.partial_bucket, admission.quota) == (current_bucket - 1, 20.0)


def test_load_reserved_for_absent_clients_goes_to_younger_buckets(make_harness: HarnessFactory) -> None:
    # The older buckets of another balancer reserve all the free load, but their clients do not return.
    harness = make_harness(balancers=2)
    harness.advance(SECOND)
    for key in range(10):
        harness.establish(harness.send_request(key=key, load=1))
    harness.advance(SECOND)
    admitted_count = 0
    for number in range(16):
        harness.balancer.admission.load_cap = 40.0
        receive_summary(harness, 1, 10.0, 10, [(9, 19), (5, 30)])
        harness.advance(SECOND // 2)
        for key in (100 + 10 * number, 101 + 10 * number):
            admitted_count += bool(harness.attempts_of(harness.send_request(key=key, load=1)))
    assert admitted_count >= 8


def test_negative_buckets_on_a_clock_near_zero_are_handled(make_harness: HarnessFactory) -> None:
    harness = make_harness()
    admission = harness.balancer.admission
    harness.balancer.batch.now_us = harness.now_us = 3 * SECOND
    receive_summary(harness, 1, 5.0, 5, [(9, 30)])
    set_loads(harness, load_cap=20.0, active_load=5.0)
    admission.update_quota()
    assert admission.partial_bucket == 1 - 9 and not admission.may_admit_new_clients
    admission.has_rejected_young_bucket, admission.quota = False, 10.0
    assert not harness.attempts_of(harness.send_request(key=1, load=1))
    assert admission.has_rejected_young_bucket


def test_clients_not_seen_lately_reserve_no_load(make_harness: HarnessFactory) -> None:
    harness = make_harness()
    waiting_queue = harness.balancer.waiting_queue
    reject_newcomers(harness)
    harness.send_request(key=1, load=5)
    assert sum(waiting_queue.load_by_bucket().values()) == 5
    harness.now_us += 3 * SECOND
    harness.balancer.batch.now_us = harness.now_us
    assert not waiting_queue.load_by_bucket()
    assert 1 in waiting_queue.clients, "the client keeps its place in the queue"


def test_admitted_client_returns_while_its_session_lasts(make_harness: HarnessFactory) -> None:
    harness = make_harness()
    request_id = harness.send_request(key=7)
    harness.establish(request_id)
    harness.advance(5 * SECOND)
    harness.end_attempt(request_id, interface.AttemptOutcome.BROKEN, is_final=True)
    reject_newcomers(harness, load_cap=10.0)
    assert harness.attempts_of(harness.send_request(key=7))
    harness.balancer.sessions.by_key.clear()
    assert is_rejected_at_once(harness, harness.send_request(key=7))


def test_client_dropped_soon_after_its_start_loses_its_session(make_harness: HarnessFactory) -> None:
    # If the client kept its session, it would be admitted at once and dropped again.
    harness = make_harness()
    request_id = harness.send_request(key=7)
    harness.establish(request_id)
    harness.end_attempt(request_id, interface.AttemptOutcome.BROKEN, is_final=True)
    reject_newcomers(harness)
    assert not harness.attempts_of(harness.send_request(key=7))
    assert all(server.ejected_until_us == 0 for server in harness.balancer.servers.values())


def test_cap_rises_again_without_load_reports(make_harness: HarnessFactory) -> None:
    # Servers report no loads, only slow messages. Once no slow messages are reported any more, the cap has to rise.
    names = tuple(f"s{number}:1" for number in range(15))
    harness = make_harness(has_message_delay_reports=True, names=names)
    request_ids = establish_requests(harness, 120, load=1)
    for _ in range(6):
        slow_messages = [
            interface.ConnectionFeedback(request_id, first_server(harness, request_id), None, 500_000.0)
            for request_id in request_ids
        ]
        harness.deliver(*slow_messages)
        harness.advance(SECOND // 2)
    cut_cap = harness.balancer.admission.load_cap
    assert cut_cap < NO_CAP
    harness.advance(10 * SECOND)
    assert harness.balancer.admission.load_cap > cut_cap
    assert harness.balancer.loads.fleet_load < 0.65, "the mean load falls while no slow messages are reported"


def test_cap_is_cut_once_per_feedback_delay_and_rises_again(make_harness: HarnessFactory) -> None:
    names = tuple(f"s{number}:1" for number in range(20))
    harness = make_harness(may_health_check=True, load_report_fields=("load_ratio",), names=names)
    balancer, admission = harness.balancer, harness.balancer.admission
    balancer.sessions.active_load = 100.0
    for server in balancer.servers.values():
        balancer.ejection.record_load(server, 1.6)
    admission.update_cap()
    cut_cap = admission.load_cap
    assert 50 <= cut_cap < 100
    balancer.sessions.active_load = 50.0  # another cut would lower the cap further
    admission.update_cap()
    assert admission.load_cap == cut_cap
    balancer.sessions.active_load = 100.0
    balancer.batch.now_us += 2 * SECOND
    admission.update_cap()
    assert admission.load_cap == cut_cap, "the first cut has not taken effect yet"
    for server in balancer.servers.values():
        balancer.ejection.record_load(server, 0.4)
    admission.update_cap()
    assert admission.load_cap > cut_cap


def test_few_slow_servers_do_not_cut_the_cap_deeply(make_harness: HarnessFactory) -> None:
    loads = {"a:1": 0.5, "b:1": 0.5, "c:1": 0.6, "d:1": 0.5, "e:1": 0.6}
    harness = with_loaded_servers(make_harness, loads)
    run_rounds(harness, loads, ROUNDS_TO_LEARN_CAPACITY)
    run_rounds(harness, loads | {"d:1": 1.6, "e:1": 2.4}, 8)
    # Two of five servers have only 0.3 to 0.4 of their capacity. Together the servers can sustain 0.84 of the load; by
    # an unweighted mean it would be 0.64.
    balancer = harness.balancer
    assert balancer.loads.fleet_load < 0.86
    assert balancer.admission.load_cap > 0.8 * balancer.sessions.active_load


def test_overloaded_fleet_cuts_the_cap(make_harness: HarnessFactory) -> None:
    loads = dict.fromkeys(("a:1", "b:1", "c:1", "d:1", "e:1"), 1.1)
    harness = with_loaded_servers(make_harness, loads)
    run_rounds(harness, loads, 12)
    assert harness.balancer.admission.load_cap < NO_CAP


def test_drops_at_a_single_server_do_not_cut_the_cap(make_harness: HarnessFactory) -> None:
    harness = make_harness(names=("a:1", "b:1", "c:1", "d:1"))
    request_ids = [harness.send_request(key=key) for key in range(30)]
    for request_id in request_ids:
        if harness.attempts_of(request_id)[-1].server_id == "a:1":
            harness.end_attempt(request_id, interface.AttemptOutcome.BROKEN)
    harness.advance(SECOND)
    assert harness.balancer.admission.load_cap == NO_CAP
    for key in range(30, 60):
        harness.end_attempt(harness.send_request(key=key), interface.AttemptOutcome.BROKEN)
    harness.advance(SECOND)
    assert harness.balancer.admission.load_cap < NO_CAP
