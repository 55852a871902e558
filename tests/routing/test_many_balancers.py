"""One of 40 balancers, each of which has little traffic and sends few connections to each server."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any, NamedTuple

import pytest
from conftest import SECOND, START_US, Harness, settings
from hypothesis import given
from hypothesis import strategies as st

from glenrock.routing import capacity_estimation, interface, slow_start
from glenrock.routing.admission import NO_CAP
from glenrock.routing.capacity_estimation import CapacityEstimator
from glenrock.routing.client_sessions import ClientSessions
from glenrock.routing.connection_load import ConnectionLoads
from glenrock.routing.event_batch import EventBatch
from glenrock.routing.interface import EndpointListKind, EndpointState
from glenrock.routing.load_estimation import LoadEstimator
from glenrock.routing.slow_start import SlowStart
from glenrock.routing.state import Server, TimedLoad

from .scenarios import checked_servers, is_rejected_at_once, open_connection, rejections, report_loads

NAMES = tuple(f"s{number}:1" for number in range(9))
FOUR_SERVERS, FIVE_SERVERS = NAMES[:4], NAMES[4:]
ZONES = ("a", "b")
SLOW_START_SETTINGS: dict[str, Any] = {
    "slow_start_us": 9 * SECOND,
    "slow_start_initial_fraction": 0.31,
    "slow_start_multiple": 3.0,
    "slow_start_window_us": 3 * SECOND,
}


def one_of_forty(seed: int = 1, names: tuple[str, ...] = NAMES, **fields: Any) -> Harness:
    """Returns a harness of a balancer in zone a, with servers in two zones.

    Args:
        seed: seed of the balancer.
        names: ids of the servers, which are in the zones a and b in turn.
        fields: fields of the settings to replace.
    """
    usual: dict[str, Any] = {
        "balancers": 40,
        "may_health_check": True,
        "load_report_fields": ("load_ratio",),
        "zone": "a",
        "cross_zone_cost": 0.02,
    }
    harness = Harness(settings(**(usual | fields)), seed)
    endpoints = tuple(interface.Endpoint(server_id, zone=ZONES[number % 2]) for number, server_id in enumerate(names))
    harness.deliver(interface.EndpointList(EndpointListKind.FULL, endpoints))
    return harness


def report_load(harness: Harness, load: float, server_ids: Iterable[str] = NAMES) -> None:
    """Delivers a health check result with the same load for each of these servers."""
    report_loads(harness, dict.fromkeys(server_ids, load))


def server_of_new_connection(harness: Harness, key: int, group: int) -> str:
    """Delivers a request and establishes its connection. Returns the id of the server."""
    request_id = harness.send_request(key=key, group=group)
    harness.advance(50_000)  # the wait for health checks
    harness.establish(request_id)
    server = harness.balancer.requests[request_id].server
    assert server
    return server.server_id


@given(group=st.integers(0, 1 << 62), seeds=st.lists(st.integers(0, 999), min_size=2, max_size=5))
def test_all_balancers_have_the_same_candidates_for_a_group(group: int, seeds: list[int]) -> None:
    orders = []
    for number, seed in enumerate(seeds):
        harness = one_of_forty(seed, zone=ZONES[number % 2])
        for server in harness.balancer.servers.values():
            server.weight = 1 + (seed + server.hash) % 3  # weights differ among balancers
        request = harness.balancer.requests[harness.send_request(group=group)]
        orders.append([server.server_id for server in request.candidates])
    assert all(order == orders[0] for order in orders)


def test_group_goes_to_the_server_that_has_its_connections() -> None:
    harness = one_of_forty()
    open_connection(harness, "o1", "s4:1", key=1, group=77)
    report_load(harness, 0.4)
    assert server_of_new_connection(harness, key=2, group=77) == "s4:1"
    harness.list_servers("s4:1", kind=EndpointListKind.CHANGES, state=EndpointState.DRAINING)
    assert server_of_new_connection(harness, key=3, group=77) != "s4:1"


def lose_zone(harness: Harness) -> None:
    """Breaks the connections to five servers, and lets the health checks that follow fail to connect."""
    for number, server_id in enumerate(FIVE_SERVERS):
        open_connection(harness, f"o{number}", server_id, key=100 + number, load=10_000)
    report_load(harness, 0.45)
    harness.advance(2 * SECOND)
    report_load(harness, 0.45)
    actions = []
    for number, server_id in enumerate(FIVE_SERVERS):
        broken = interface.AttemptEnded(f"o{number}", 0, server_id, interface.AttemptOutcome.BROKEN, True)
        actions += harness.deliver(broken)
    assert set(checked_servers(actions)) == set(FIVE_SERVERS)
    unreachable = [
        interface.HealthCheckResult(server_id, interface.AttemptOutcome.NO_CONNECTION) for server_id in FIVE_SERVERS
    ]
    harness.deliver(*unreachable)


def test_loss_of_a_zone_closes_the_cap_before_reports_show_it() -> None:
    harness = one_of_forty()
    loads = harness.balancer.loads
    lose_zone(harness)
    harness.advance(SECOND // 2)
    assert loads.fleet_load == pytest.approx(capacity_estimation.MAX_PREDICTED_LOAD)
    assert harness.balancer.admission.load_cap < NO_CAP
    # Reports that describe the time before the clients reconnected do not open the cap; later reports do.
    report_load(harness, 0.2, FOUR_SERVERS)
    harness.advance(SECOND // 4)
    assert loads.fleet_load == pytest.approx(capacity_estimation.MAX_PREDICTED_LOAD)
    for _ in range(12):
        harness.advance(SECOND // 2)
        report_load(harness, 0.2, FOUR_SERVERS)
    assert loads.fleet_load < 0.6


def test_draining_servers_do_not_raise_the_mean_load() -> None:
    harness = one_of_forty()
    report_load(harness, 0.45)
    harness.advance(SECOND)
    harness.list_servers(*FIVE_SERVERS, kind=EndpointListKind.CHANGES, state=EndpointState.DRAINING)
    harness.advance(SECOND)
    assert harness.balancer.loads.fleet_load < 0.5
    assert harness.balancer.admission.load_cap == NO_CAP


@given(loads=st.lists(st.floats(0.05, 1.5), min_size=2, max_size=9), remaining=st.integers(1, 8))
def test_guessed_mean_load_only_rises_and_is_bounded(loads: list[float], remaining: int) -> None:
    balancer = one_of_forty(names=NAMES[: len(loads)]).balancer
    warm = list(balancer.servers.values())
    balancer.batch.now_us, balancer.loads.fleet_load = START_US, sum(loads) / len(loads)
    balancer.capacity.update_membership(warm)
    before = balancer.loads.fleet_load
    balancer.capacity.update_membership(warm[:remaining])
    assert before <= balancer.loads.fleet_load <= max(before, capacity_estimation.MAX_PREDICTED_LOAD)
    assert (balancer.capacity.servers_lost_at_us == START_US) == (remaining < len(warm))


def test_single_connection_does_not_change_a_capacity() -> None:
    harness = one_of_forty()
    open_connection(harness, "o", "s0:1", key=1, load=90_000)
    harness.balancer.connection_loads.mean_load = 10_000
    for load in (0.2, 0.2, 0.2, 0.2, 1.4):
        report_load(harness, load)
        harness.advance(SECOND // 2)
    assert all(server.capacity_ratio == 1.0 for server in harness.balancer.servers.values())


def test_busy_fleet_is_checked_down_to_the_last_tokens() -> None:
    harness = one_of_forty()
    harness.advance(SECOND)
    budget, loads = harness.balancer.health_checks.budget, harness.balancer.loads
    budget.tokens, loads.fleet_load = 4.0, 0.3
    assert not checked_servers(harness.advance(SECOND))
    budget.tokens, loads.fleet_load = 4.0, 0.7
    assert checked_servers(harness.advance(SECOND))


def start_five_servers(harness: Harness, started_us: int) -> None:
    """Lists `FIVE_SERVERS` in zone a as started at `started_us`."""
    harness.list_servers(*FIVE_SERVERS, kind=EndpointListKind.CHANGES, zone="a", started_us=started_us)


def test_warming_servers_raise_the_slow_start_load_cap_beside_a_closed_cap() -> None:
    harness = one_of_forty(**SLOW_START_SETTINGS)
    admission = harness.balancer.admission
    open_connection(harness, "o", "s0:1", key=1, load=1_000_000)
    start_five_servers(harness, harness.now_us)
    slow_start_caps = []
    for _ in range(14):
        report_load(harness, 0.95, FOUR_SERVERS)
        harness.advance(SECOND // 2)
        slow_start_caps.append(admission.slow_start_load_cap)
    assert slow_start_caps[0] < slow_start_caps[4] < slow_start_caps[9]
    assert admission.load_cap < NO_CAP
    assert slow_start_caps[9] < 5 / 4 * 0.72 * 1_000_000 / 0.9
    harness.advance(3 * SECOND)
    assert admission.slow_start_load_cap == 0  # warm servers count in the load cap instead


def full_fleet_with_warming_servers(seed: int = 1, load: float = 0.95) -> Harness:
    """Returns a harness with four full servers, five servers that are warming up, and a closed load cap.

    Args:
        seed: seed of the balancer.
        load: load that the four servers report.
    """
    harness = one_of_forty(seed, **SLOW_START_SETTINGS)
    for number in range(8):
        open_connection(harness, f"o{number}", FOUR_SERVERS[number % 4], key=500 + number, load=10_000)
    start_five_servers(harness, harness.now_us - 2 * SECOND)
    for _ in range(3):
        harness.advance(SECOND // 2)
        report_load(harness, load, FOUR_SERVERS)
    harness.advance(SECOND // 2)
    admission = harness.balancer.admission
    admission.load_cap = admission.quota = admission.slow_start_load_cap = 0.0
    admission.may_admit_new_clients = False
    admission.partial_bucket = admission.extra_buckets = 0
    return harness


class SentLoad(NamedTuple):
    """A load, with the time at which it was sent to a server."""

    at_us: int
    load: float


@pytest.mark.parametrize("begin_ms", [0, 1500, 2500, 2900, 5600])
def test_no_sliding_window_exceeds_the_slow_start_budget(begin_ms: int) -> None:
    window_settings = settings(balancers=2, **SLOW_START_SETTINGS)
    window_us = window_settings.slow_start_window_us
    batch, server = EventBatch(), Server("a:1", "", 0, 7, started_us=START_US)
    servers = {server.server_id: server}
    loads = LoadEstimator(batch, window_settings)
    loads.fleet_load = 0.6
    capacity = CapacityEstimator(batch, servers, loads, ClientSessions(batch, SECOND), ConnectionLoads())
    budgets = SlowStart(batch, window_settings, servers, loads, capacity, salt=0)
    budgets.reference_load = 100_000.0
    sent: list[SentLoad] = []
    for now_ms in range(begin_ms, 9000, 20):
        batch.now_us = START_US + 1000 * now_ms
        if budgets.headroom(server) >= 1000:
            budgets.record_sent(server, 1000)
            sent.append(SentLoad(batch.now_us, 1000))
    budget_fraction = slow_start.SLOW_START_BUDGET_FRACTION * window_settings.slow_start_multiple
    window_fraction = window_us / window_settings.slow_start_us
    budget = budget_fraction * window_fraction * budgets.reference_load / loads.fleet_load
    for first in sent:
        in_window = [send for send in sent if first.at_us <= send.at_us < first.at_us + window_us]
        batch.now_us = in_window[-1].at_us
        assert sum(send.load for send in in_window) <= budget * budgets.warmth(server) + 1
    assert sum(send.load for send in sent) > budget, "in total, more than the budget of one window is sent"


@pytest.mark.parametrize("seed", range(5))
def test_warming_servers_get_requests_beyond_the_cap_within_their_budgets(seed: int) -> None:
    harness = full_fleet_with_warming_servers(seed)
    report_load(harness, 1.3, FIVE_SERVERS)  # their load is higher than that of the others, but they have a budget
    budgets = harness.balancer.slow_start
    total_budget = sum(max(0.0, budgets.headroom(server)) for server in budgets.warming)
    assert len(budgets.warming) == 5 and total_budget > 0
    request_ids = [harness.send_request(key=key, load=1000, group=key) for key in range(400)]
    harness.advance(50_000)
    attempts = [attempt for request_id in request_ids for attempt in harness.attempts_of(request_id)]
    assert attempts
    assert {attempt.server_id for attempt in attempts} <= set(FIVE_SERVERS), "beyond the cap, only warming servers"
    assert 1000 * len(attempts) <= total_budget + 1000 * len(FIVE_SERVERS)
    rejected_count = sum(len(rejections(harness.actions_for(request_id))) for request_id in request_ids)
    assert rejected_count == 400 - len(attempts)


@pytest.mark.parametrize(("load", "are_first"), [(0.95, True), (0.3, False)])
def test_warming_servers_are_first_candidates_only_while_the_others_are_full(load: float, are_first: bool) -> None:
    harness = full_fleet_with_warming_servers(load=load)
    balancer = harness.balancer
    balancer.admission.load_cap = NO_CAP
    balancer.admission.may_admit_new_clients = True
    warming = balancer.slow_start.warming
    for server in warming:
        server.slow_start_sends = [TimedLoad(harness.now_us, -1e9)]  # leaves budget for every request
    first_candidates = []
    for key in range(20):
        balancer.health_checks.budget.tokens = 0.0
        request = balancer.requests[harness.send_request(key=key, load=1000, group=key)]
        first_candidates.append(request.candidates[0])
    assert all(candidate in warming for candidate in first_candidates) == are_first


def test_open_connections_earn_check_tokens_and_a_calm_fleet_keeps_half() -> None:
    harness = one_of_forty(health_check_cost=0.0015)
    budget = harness.balancer.health_checks.budget
    for key in range(30):
        open_connection(harness, f"o{key}", NAMES[key % 9], key=key, load=10_000)
    assert budget.tokens == 60
    for _ in range(80):
        report_load(harness, 0.3)
        harness.advance(SECOND // 2)
    assert 29 <= budget.tokens <= 31
    calm_tokens = budget.tokens
    for _ in range(40):
        report_load(harness, 0.8)
        harness.advance(SECOND // 2)
    assert budget.tokens < calm_tokens - 10


def test_balancers_that_start_together_check_different_servers_first() -> None:
    first_checked = []
    for seed in range(40):
        harness = one_of_forty(seed)
        harness.balancer.health_checks.budget.tokens = 60.0
        first_checked.append(checked_servers(harness.advance(SECOND))[0])
    assert max(map(first_checked.count, NAMES)) <= 14 and len(set(first_checked)) == len(NAMES)


def test_just_warmed_server_gets_nothing_beyond_the_cap() -> None:
    harness = full_fleet_with_warming_servers()
    harness.now_us += 9 * SECOND  # the slow start is over, but no round has run since
    request_ids = [harness.send_request(key=key, load=1000, group=key) for key in range(20)]
    assert all(is_rejected_at_once(harness, request_id) for request_id in request_ids)
