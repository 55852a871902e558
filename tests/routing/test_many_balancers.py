"""Behaviour of one of 40 balancers, each of which has little traffic."""

from __future__ import annotations

import pytest
from conftest import SECOND, T0, Harness, settings
from hypothesis import given
from hypothesis import strategies as st

from glenrock.routing import capacity_estimation, interface, slow_start
from glenrock.routing.capacity_estimation import CapacityEstimator
from glenrock.routing.client_sessions import ClientSessions
from glenrock.routing.connection_load import ConnectionLoads
from glenrock.routing.event_batch import EventBatch
from glenrock.routing.load_estimation import LoadEstimator
from glenrock.routing.slow_start import SlowStart
from glenrock.routing.state import Server, TimedLoad

NAMES = tuple(f"s{n}:1" for n in range(9))
ZONES = ("a", "b")


def one_of_forty(seed: int = 1, names: tuple[str, ...] = NAMES, **over) -> Harness:
    over = {
        "balancers": 40,
        "may_health_check": True,
        "load_report_fields": ("load_ratio",),
        "zone": "a",
        "cross_zone_cost": 0.02,
        **over,
    }
    harness = Harness(settings(**over), seed)
    harness.deliver(
        interface.EndpointList(
            interface.EndpointListKind.FULL,
            tuple(interface.Endpoint(x, zone=ZONES[n % 2]) for n, x in enumerate(names)),
        )
    )
    return harness


def report_load(harness: Harness, load: float, names: tuple[str, ...] = NAMES) -> None:
    harness.deliver(
        *(interface.HealthCheckResult(x, interface.AttemptOutcome.SERVED, 1000, {"load_ratio": load}) for x in names)
    )


def establish_request(harness: Harness, **over) -> str:
    """Sends a request and establishes its attempt. Returns its id."""
    name = harness.send_request(**over)
    harness.advance(50_000)  # the wait for health checks
    server = [a.server_id for a in harness.actions_for(name) if isinstance(a, interface.StartAttempt)][-1]
    harness.deliver(
        interface.ConnectionEstablished(
            name, len([a for a in harness.actions_for(name) if isinstance(a, interface.StartAttempt)]) - 1, server, 1000
        )
    )
    return name


def server_of(harness: Harness, name: str) -> str:
    return harness.balancer.requests[name].server.server_id


@given(group=st.integers(0, 1 << 62), seeds=st.lists(st.integers(0, 999), min_size=2, max_size=5))
def test_all_balancers_have_the_same_candidates_for_a_group(group: int, seeds: list[int]) -> None:
    orders = []
    for n, seed in enumerate(seeds):
        harness = one_of_forty(seed, zone=ZONES[n % 2])
        for s in harness.balancer.servers.values():
            s.weight = 1 + (seed + s.hash) % 3  # weights differ among balancers
        name = harness.send_request(group=group)
        orders.append([s.server_id for s in harness.balancer.requests[name].candidates])
    assert all(order == orders[0] for order in orders)


def test_group_goes_to_the_server_that_holds_its_connections() -> None:
    harness = one_of_forty()
    harness.deliver(interface.OpenConnection(interface.Request("o1", "read", T0 + SECOND, 1, 77), "s4:1"))
    report_load(harness, 0.4)
    assert server_of(harness, establish_request(harness, key=2, group=77)) == "s4:1"
    harness.list_servers("s4:1", kind=interface.EndpointListKind.CHANGES, state=interface.EndpointState.DRAINING)
    assert server_of(harness, establish_request(harness, key=3, group=77)) != "s4:1"


def lose_zone(harness: Harness) -> None:
    """Breaks the connections at five servers, whose health checks then find no connection."""
    for n, x in enumerate(NAMES[4:]):
        harness.deliver(
            interface.OpenConnection(interface.Request(f"o{n}", "read", T0 + SECOND, 100 + n, load=10_000), x)
        )
    report_load(harness, 0.45)
    harness.advance(2 * SECOND)
    report_load(harness, 0.45)
    out = []
    for n, x in enumerate(NAMES[4:]):
        out += harness.deliver(interface.AttemptEnded(f"o{n}", 0, x, interface.AttemptOutcome.BROKEN, True, 0, {}))
    assert {a.server_id for a in out if isinstance(a, interface.SendHealthCheck)} == set(NAMES[4:])
    harness.deliver(*(interface.HealthCheckResult(x, interface.AttemptOutcome.NO_CONNECTION) for x in NAMES[4:]))


def test_loss_of_a_zone_closes_the_cap_before_reports_show_it() -> None:
    harness = one_of_forty()
    lose_zone(harness)
    harness.advance(SECOND // 2)
    assert harness.balancer.loads.fleet_load == pytest.approx(
        capacity_estimation.MAX_GUESSED_LOAD
    ) and harness.balancer.admission.load_cap < float("inf")
    # Reports from before the clients have reconnected do not open the cap; later ones do.
    report_load(harness, 0.2, NAMES[:4])
    harness.advance(SECOND // 4)
    assert harness.balancer.loads.fleet_load == pytest.approx(capacity_estimation.MAX_GUESSED_LOAD)
    for _ in range(12):
        harness.advance(SECOND // 2)
        report_load(harness, 0.2, NAMES[:4])
    assert harness.balancer.loads.fleet_load < 0.6


def test_draining_servers_do_not_raise_the_mean_load() -> None:
    harness = one_of_forty()
    report_load(harness, 0.45)
    harness.advance(SECOND)
    harness.deliver(
        interface.EndpointList(
            interface.EndpointListKind.CHANGES,
            tuple(interface.Endpoint(x, interface.EndpointState.DRAINING) for x in NAMES[4:]),
        )
    )
    harness.advance(SECOND)
    assert harness.balancer.loads.fleet_load < 0.5 and harness.balancer.admission.load_cap == float("inf")


@given(loads=st.lists(st.floats(0.05, 1.5), min_size=2, max_size=9), remaining=st.integers(1, 8))
def test_guessed_mean_load_only_rises_and_is_bounded(loads: list[float], remaining: int) -> None:
    names = NAMES[: len(loads)]
    harness = one_of_forty(names=names)
    warm = list(harness.balancer.servers.values())
    harness.balancer.batch.now_us, harness.balancer.loads.fleet_load = T0, sum(loads) / len(loads)
    harness.balancer.capacity.follow_membership(warm)
    before = harness.balancer.loads.fleet_load
    harness.balancer.capacity.follow_membership(warm[:remaining])
    lost_at, fleet = harness.balancer.capacity.servers_lost_us, harness.balancer.loads.fleet_load
    assert before <= fleet <= max(before, capacity_estimation.MAX_GUESSED_LOAD)
    assert (lost_at == T0) == (remaining < len(warm))


def test_single_connection_does_not_change_a_capacity() -> None:
    harness = one_of_forty()
    harness.deliver(interface.OpenConnection(interface.Request("o", "read", T0 + SECOND, 1, load=90_000), "s0:1"))
    harness.balancer.connection_loads.mean_load = 10_000
    for load in (0.2, 0.2, 0.2, 0.2, 1.4):
        report_load(harness, load)
        harness.advance(SECOND // 2)
    assert all(s.capacity_ratio == 1.0 for s in harness.balancer.servers.values())


def test_busy_fleet_is_checked_down_to_the_last_tokens() -> None:
    harness = one_of_forty()
    harness.advance(SECOND)
    harness.balancer.health_checks.budget.tokens, harness.balancer.loads.fleet_load = 4.0, 0.3
    assert not [a for a in harness.advance(SECOND) if isinstance(a, interface.SendHealthCheck)]
    harness.balancer.health_checks.budget.tokens, harness.balancer.loads.fleet_load = 4.0, 0.7
    assert [a for a in harness.advance(SECOND) if isinstance(a, interface.SendHealthCheck)]


def test_warming_servers_raise_the_slow_start_load_cap_beside_a_closed_cap() -> None:
    harness = one_of_forty(
        slow_start_us=9 * SECOND,
        slow_start_initial_fraction=0.31,
        slow_start_multiple=3.0,
        slow_start_window_us=3 * SECOND,
    )
    harness.deliver(interface.OpenConnection(interface.Request("o", "read", T0 + SECOND, 1, load=1_000_000), "s0:1"))
    harness.deliver(
        interface.EndpointList(
            interface.EndpointListKind.CHANGES,
            tuple(
                interface.Endpoint(x, interface.EndpointState.READY, "a", started_us=harness.now_us) for x in NAMES[4:]
            ),
        )
    )
    slow_start_caps = []
    for _ in range(14):
        report_load(harness, 0.95, NAMES[:4])
        harness.advance(SECOND // 2)
        slow_start_caps.append(harness.balancer.admission.slow_start_load_cap)
    assert slow_start_caps[0] < slow_start_caps[4] < slow_start_caps[9] and harness.balancer.admission.load_cap < float(
        "inf"
    )
    assert slow_start_caps[9] < 5 / 4 * 0.72 * 1_000_000 / 0.9
    harness.advance(3 * SECOND)
    assert harness.balancer.admission.slow_start_load_cap == 0  # warm servers count in the cap


def full_fleet_with_warming_servers(seed: int = 1, load: float = 0.95) -> Harness:
    """Returns a harness with four full servers, five that started lately, and a closed cap."""
    harness = one_of_forty(
        seed,
        slow_start_us=9 * SECOND,
        slow_start_initial_fraction=0.31,
        slow_start_multiple=3.0,
        slow_start_window_us=3 * SECOND,
    )
    for n in range(8):
        harness.deliver(
            interface.OpenConnection(
                interface.Request(f"o{n}", "read", T0 + SECOND, 500 + n, load=10_000), NAMES[n % 4]
            )
        )
    harness.deliver(
        interface.EndpointList(
            interface.EndpointListKind.CHANGES,
            tuple(
                interface.Endpoint(x, interface.EndpointState.READY, "a", started_us=harness.now_us - 2 * SECOND)
                for x in NAMES[4:]
            ),
        )
    )
    for _ in range(3):
        harness.advance(SECOND // 2)
        report_load(harness, load, NAMES[:4])
    harness.advance(SECOND // 2)
    harness.balancer.admission.load_cap = harness.balancer.admission.quota = (
        harness.balancer.admission.slow_start_load_cap
    ) = 0.0
    (
        harness.balancer.admission.may_admit_newcomers,
        harness.balancer.admission.partial_bucket,
        harness.balancer.admission.extra_buckets,
    ) = False, 0, 0
    return harness


@pytest.mark.parametrize("begin_ms", [0, 1500, 2500, 2900, 5600])
def test_no_sliding_window_exceeds_the_slow_start_budget(begin_ms: int) -> None:
    rules = settings(
        slow_start_us=9 * SECOND,
        slow_start_initial_fraction=0.31,
        slow_start_multiple=3.0,
        slow_start_window_us=3 * SECOND,
        balancers=2,
    )
    batch, s = EventBatch(), Server("a:1", "", 0, 7, started_us=T0)
    loads = LoadEstimator(batch, rules)
    loads.fleet_load = 0.6
    capacity = CapacityEstimator(batch, {s.server_id: s}, loads, ClientSessions(batch, SECOND), ConnectionLoads())
    budgets = SlowStart(batch, rules, {s.server_id: s}, loads, capacity, salt=0)
    budgets.reference_load = 100_000.0
    sent: list[tuple[int, float]] = []
    for ms in range(begin_ms, 9000, 20):
        batch.now_us = T0 + 1000 * ms
        if budgets.headroom(s) >= 1000:
            budgets.record_sent(s, 1000)
            sent.append((batch.now_us, 1000))
    window = rules.slow_start_window_us / rules.slow_start_us
    whole = (
        slow_start.SLOW_START_BUDGET_FRACTION
        * rules.slow_start_multiple
        * window
        * budgets.reference_load
        / loads.fleet_load
    )
    for at, _ in sent:
        within = [(t, x) for t, x in sent if at <= t < at + rules.slow_start_window_us]
        batch.now_us = within[-1][0]
        assert sum(x for _, x in within) <= whole * budgets.warmth(s) + 1
    assert sum(x for _, x in sent) > whole, "the budget is used"


@pytest.mark.parametrize("seed", range(5))
def test_warming_servers_get_requests_beyond_the_cap_within_their_budgets(seed: int) -> None:
    harness = full_fleet_with_warming_servers(seed)
    report_load(harness, 1.3, NAMES[4:])  # more loaded than the others, but with a budget
    budgets_total = sum(max(0.0, harness.balancer.slow_start.headroom(s)) for s in harness.balancer.slow_start.warming)
    assert len(harness.balancer.slow_start.warming) == 5 and budgets_total > 0
    names = [harness.send_request(key=n, load=1000, group=n) for n in range(400)]
    harness.advance(50_000)
    to = [a.server_id for x in names for a in harness.actions_for(x) if isinstance(a, interface.StartAttempt)]
    assert to and set(to) <= set(NAMES[4:])  # requests beyond the cap go to warming servers only
    assert 1000 * len(to) <= budgets_total + 1000 * len(NAMES[4:])
    assert sum(isinstance(a, interface.Reject) for x in names for a in harness.actions_for(x)) == 400 - len(to)


def test_warming_servers_are_first_candidates_only_while_the_others_are_full() -> None:
    for load, first in ((0.95, True), (0.3, False)):
        harness = full_fleet_with_warming_servers(load=load)
        harness.balancer.admission.load_cap = float("inf")
        harness.balancer.admission.may_admit_newcomers = True
        warming_ids = {s.server_id for s in harness.balancer.slow_start.warming}
        for s in harness.balancer.slow_start.warming:
            s.slow_start_sends = [TimedLoad(harness.now_us, -1e9)]  # budget for all
        warming_flags = []
        for n in range(20):
            harness.balancer.health_checks.budget.tokens = 0.0
            f = harness.balancer.requests[harness.send_request(key=n, load=1000, group=n)]
            warming_flags.append([s.server_id in warming_ids for s in f.candidates])
        assert all(a[0] for a in warming_flags) == first


def test_open_connections_earn_check_tokens_and_a_calm_fleet_keeps_half() -> None:
    harness = one_of_forty(health_check_cost=0.0015)
    for n in range(30):
        harness.deliver(
            interface.OpenConnection(interface.Request(f"o{n}", "read", T0 + SECOND, n, load=10_000), NAMES[n % 9])
        )
    assert harness.balancer.health_checks.budget.tokens == 60
    for _ in range(80):
        report_load(harness, 0.3)
        harness.advance(SECOND // 2)
    assert 29 <= harness.balancer.health_checks.budget.tokens <= 31
    remaining_tokens = harness.balancer.health_checks.budget.tokens
    for _ in range(40):
        report_load(harness, 0.8)
        harness.advance(SECOND // 2)
    assert harness.balancer.health_checks.budget.tokens < remaining_tokens - 10


def test_balancers_that_start_together_check_different_servers_first() -> None:
    first = []
    for seed in range(40):
        harness = one_of_forty(seed)
        harness.balancer.health_checks.budget.tokens = 60.0
        first.append(next(a.server_id for a in harness.advance(SECOND) if isinstance(a, interface.SendHealthCheck)))
    assert max(map(first.count, NAMES)) <= 14 and len(set(first)) == len(NAMES)


def test_just_warmed_server_gets_nothing_beyond_the_cap() -> None:
    harness = full_fleet_with_warming_servers()
    harness.now_us += 9 * SECOND  # without a round since
    names = [harness.send_request(key=n, load=1000, group=n) for n in range(20)]
    assert all(isinstance(harness.actions_for(x)[0], interface.Reject) for x in names)
