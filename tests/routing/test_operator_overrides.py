"""Operator overrides: a suspended server receives nothing, whatever the list reports, and warms up after its return."""

from __future__ import annotations

import random

import pytest
from conftest import SECOND, Harness, settings
from hypothesis import given
from hypothesis import strategies as st

from glenrock.routing import interface
from glenrock.routing.gossip_codec import decode, encode
from glenrock.routing.slow_start import reference_load
from glenrock.routing.state import Peer

NAMES = [f"s{n}:1" for n in range(5)]


def endpoint_list(kind: str, names, **over) -> interface.EndpointList:
    return interface.EndpointList(kind, tuple(interface.Endpoint(n, **over) for n in names))


def test_suspended_server_drains(make_harness) -> None:
    harness = make_harness(names=NAMES)
    names = [harness.send_request(key=n) for n in range(40)]
    for name in names:
        harness.establish(name)
    there = [n for n in names if harness.attempts_of(n)[-1].server_id == NAMES[0]]
    assert there
    harness.deliver(interface.OperatorOverride(NAMES[0], True), interface.OperatorOverride(NAMES[0], True))
    harness.advance(3 * SECOND)
    assert sorted({a.request_id for _, a in harness.action_log if isinstance(a, interface.Migrate)}) == sorted(there)


def establish_connections(harness: Harness, number: int) -> None:
    names = [harness.send_request(key=n, load=10) for n in range(number)]
    harness.advance(SECOND // 10)  # no health check is answered
    for name in names:
        harness.establish(name)


def migrated_during(harness: Harness, loads: dict[str, float], rounds: int) -> set[str]:
    """Returns the requests that migrate while the servers report these loads."""
    migrated: set[str] = set()
    for _ in range(rounds):
        harness.deliver(
            *(
                interface.HealthCheckResult(name, interface.AttemptOutcome.SERVED, 1000, {"load_ratio": x})
                for name, x in loads.items()
            )
        )
        migrated |= {a.request_id for a in harness.advance(SECOND // 2) if isinstance(a, interface.Migrate)}
    return migrated


def test_clients_of_a_suspended_server_stay_while_the_others_are_full(make_harness) -> None:
    harness = make_harness(names=NAMES, may_health_check=True, load_report_fields=("load_ratio",))
    establish_connections(harness, 60)
    s, full = harness.balancer.servers[NAMES[0]], {name: 0.75 for name in NAMES}
    assert s.connections and not migrated_during(harness, full, 8)
    harness.deliver(interface.OperatorOverride(NAMES[0], True))
    assert not migrated_during(harness, full, 8), "the others are above the target of 0.72"
    there = set(s.connections)
    few = migrated_during(harness, {name: 0.65 for name in NAMES}, 7)
    assert few and few < there, "a part each round, within the free capacity"
    assert migrated_during(harness, {name: 0.3 for name in NAMES}, 8) | few == there


def test_clients_of_a_suspended_server_that_is_gone_migrate_at_once(make_harness) -> None:
    harness = make_harness(names=NAMES, may_health_check=True, load_report_fields=("load_ratio",))
    establish_connections(harness, 60)
    full = {name: 0.75 for name in NAMES}
    migrated_during(harness, full, 8)
    there = set(harness.balancer.servers[NAMES[0]].connections)
    harness.deliver(interface.OperatorOverride(NAMES[0], True))
    assert there and not migrated_during(harness, full, 6)
    harness.deliver(endpoint_list(interface.EndpointListKind.CHANGES, NAMES[:1], state=interface.EndpointState.GONE))
    assert migrated_during(harness, full, 1) >= there


def test_servers_resumed_together_warm_up_within_their_budgets(make_harness) -> None:
    harness = make_harness(
        names=NAMES,
        balancers=1,
        slow_start_us=9 * SECOND,
        slow_start_initial_fraction=0.31,
        slow_start_multiple=3.0,
        slow_start_window_us=3 * SECOND,
    )
    establish_connections(harness, 100)
    harness.advance(6 * SECOND)
    reference_load_before = harness.balancer.slow_start.reference_load
    assert reference_load_before == 1000
    harness.deliver(*(interface.OperatorOverride(name, True) for name in NAMES))
    harness.advance(SECOND)
    for name in [f for f in harness.balancer.requests]:
        harness.end_attempt(name, interface.AttemptOutcome.BROKEN, is_final=True)
    harness.advance(4 * SECOND)
    refused = harness.send_request(key=500, load=10)
    assert any(isinstance(a, interface.Reject) for a in harness.actions_for(refused)), "all servers are suspended"
    harness.deliver(*(interface.OperatorOverride(name, False) for name in NAMES))
    sent = 0
    for n in range(100):
        name = harness.send_request(key=n, load=10)
        if harness.attempts_of(name):
            harness.establish(name)
            sent += 1
        harness.advance(25_000)
    share = harness.balancer.slow_start.warmth(harness.balancer.servers[NAMES[0]])
    assert 10 <= sent <= 0.45 * 3 * 3 / 9 * share * 100 / harness.balancer.loads.fleet_load + len(NAMES)
    assert harness.balancer.slow_start.reference_load == reference_load_before


def test_resumed_server_warms_up_whatever_the_list_reports(make_harness) -> None:
    harness = make_harness(names=NAMES)
    harness.deliver(interface.OperatorOverride(NAMES[0], True))
    harness.deliver(interface.OperatorOverride(NAMES[0], True))
    s = harness.balancer.servers[NAMES[0]]
    assert not s.is_ready and harness.balancer.slow_start.warmth(s) == 1
    harness.advance(SECOND)
    harness.deliver(interface.OperatorOverride(NAMES[0], False))
    assert s.is_ready and harness.balancer.slow_start.warmth(s) < 0.2
    harness.deliver(endpoint_list(interface.EndpointListKind.FULL, NAMES, started_us=0))
    assert s.is_ready and harness.balancer.slow_start.warmth(s) < 0.2
    harness.deliver(interface.OperatorOverride(NAMES[0], False))  # a repeated return changes nothing
    assert s.started_us == harness.now_us


def test_suspension_survives_removal_from_the_list(make_harness) -> None:
    harness = make_harness(names=NAMES)
    harness.deliver(interface.OperatorOverride(NAMES[0], True))
    harness.list_servers(*NAMES[1:])
    assert NAMES[0] not in harness.balancer.servers
    harness.list_servers(*NAMES)
    assert not harness.balancer.servers[NAMES[0]].is_ready
    harness.list_servers(*NAMES[1:])
    harness.deliver(interface.OperatorOverride(NAMES[0], False))
    harness.list_servers(*NAMES)
    assert (
        harness.balancer.servers[NAMES[0]].is_ready
        and harness.balancer.slow_start.warmth(harness.balancer.servers[NAMES[0]]) < 0.2
    )


def test_requests_are_rejected_at_once_while_the_only_server_is_suspended(make_harness) -> None:
    harness = make_harness(names=["a:1"])
    harness.deliver(interface.OperatorOverride("a:1", True))
    name = harness.send_request()
    refused = [a for a in harness.actions_for(name) if isinstance(a, interface.Reject)]
    assert len(refused) == 1 and refused[0].retry_after_us > 0 and harness.now_us == harness.action_log[-1][0]
    harness.deliver(interface.OperatorOverride("a:1", False))
    harness.advance(harness.settings.slow_start_us)
    assert harness.attempts_of(harness.send_request())


def last_summary(harness: Harness) -> tuple:
    return decode([a.data for _, a in harness.action_log if isinstance(a, interface.SendGossip)][-1])


def test_migrated_clients_of_a_draining_balancer_keep_no_session(make_harness) -> None:
    harness = make_harness(names=NAMES, balancers=2)
    names = [harness.send_request(key=n, load=10) for n in range(20)]
    for name in names:
        harness.establish(name)
    harness.advance(6 * SECOND)
    assert harness.balancer.sessions.active_load == 200 and last_summary(harness)[1:3] == (200.0, 20)
    harness.deliver(interface.DrainMode(True))
    for name in names[:15]:
        harness.end_attempt(name, interface.AttemptOutcome.CANCELLED, is_final=True)
    assert harness.balancer.sessions.active_load == 50  # they keep no session
    harness.advance(SECOND)
    assert last_summary(harness)[1:3] == (50.0, 0)  # the others divide its quota
    harness.deliver(interface.DrainMode(False))
    harness.end_attempt(names[15], interface.AttemptOutcome.CANCELLED, is_final=True)
    assert harness.balancer.sessions.active_load == 50  # the session of a client that migrated off a server is kept
    harness.advance(6 * SECOND)
    assert last_summary(harness)[2] > 0


def test_quota_and_slow_start_budget_of_a_draining_balancer_go_to_the_others(make_harness) -> None:
    harness = make_harness(names=NAMES, balancers=2, slow_start_us=9 * SECOND, slow_start_window_us=3 * SECOND)
    harness.advance(SECOND)
    harness.establish(harness.send_request(key=1, load=10))
    harness.advance(5 * SECOND)
    harness.deliver(endpoint_list(interface.EndpointListKind.CHANGES, NAMES[:1], started_us=harness.now_us))

    def after_summary(clients: int) -> tuple[float, float]:
        harness.advance(SECOND)
        harness.deliver(interface.GossipReceived(1, encode(harness.now_us // 100_000 & 0xFFFF, 2000.0, clients, [])))
        harness.advance(SECOND // 2)
        return harness.balancer.admission.client_fraction(), harness.balancer.slow_start.reference_load

    assert after_summary(99) == (0.01, 10)
    assert after_summary(0) == (1.0, 2010)


@given(
    st.lists(
        st.tuples(st.floats(1, 1e6), st.sampled_from(["serving", "serving", "draining", "new"]), st.integers(1, 500)),
        min_size=2,
        max_size=8,
    )
)
def test_reference_loads_add_up_to_the_load_of_the_tier(tier: list[tuple[float, str, int]]) -> None:
    clients = [n if what == "serving" else 0 for _, what, n in tier]
    total_reference_load = 0.0
    for me, (own, what, n) in enumerate(tier):
        peers = [Peer(0, 0, load, clients[k], []) for k, (load, _, _) in enumerate(tier) if k != me]
        mine = 0 if what == "new" else n
        others = sum(c for k, c in enumerate(clients) if k != me)
        share = mine / (mine + others) if mine else None
        total_reference_load += reference_load(own, share, peers, len(tier), is_draining=what == "draining")
    total = sum(load for load, _, _ in tier)
    assert total_reference_load <= total * 1.001
    if any(clients):
        assert total_reference_load >= total * 0.999


@pytest.mark.parametrize("seed", range(25))
def test_suspended_server_receives_nothing_in_random_sequences(seed: int) -> None:
    rng = random.Random(seed)
    harness = Harness(
        settings(may_health_check=seed % 2 == 0, load_report_fields=("load_ratio",), slow_start_us=4 * SECOND), seed
    )
    harness.deliver(endpoint_list(interface.EndpointListKind.FULL, NAMES))
    suspended: set[str] = set()
    read = 0
    for _ in range(250):
        n = rng.random()
        if n < 0.15:
            name, is_suspended = rng.choice(NAMES), rng.random() < 0.6
            harness.deliver(interface.OperatorOverride(name, is_suspended))
            (suspended.add if is_suspended else suspended.discard)(name)
        elif n < 0.3:
            kind = rng.choice(["full", "changes", "remembered"])
            some = rng.sample(NAMES, rng.randint(1, 5))
            harness.deliver(
                endpoint_list(
                    kind,
                    some,
                    state=rng.choice(["ready", "ready", "draining", "gone"]),
                    started_us=rng.choice([0, harness.now_us]),
                )
            )
        elif n < 0.8:
            name = harness.send_request(key=rng.randrange(30), group=rng.choice([None, 1, 2]))
            if harness.attempts_of(name) and rng.random() < 0.8:
                if rng.random() < 0.7:
                    harness.establish(name)
                else:
                    harness.end_attempt(name, rng.choice(["full", "no_connection", "unsent", "timeout", "broken"]))
        else:
            harness.advance(rng.choice([10_000, 100_000, SECOND]))
        for _, a in harness.action_log[read:]:
            assert not (
                isinstance(a, interface.StartAttempt | interface.SendHealthCheck) and a.server_id in suspended
            ), f"{a} while it is suspended"
        read = len(harness.action_log)
    for name in suspended:
        harness.deliver(interface.OperatorOverride(name, False))
    harness.deliver(endpoint_list(interface.EndpointListKind.FULL, NAMES))
    harness.advance(20 * SECOND)  # all servers are warm and no ejection is left
    assert all(harness.balancer.ejection.may_receive(harness.balancer.servers[name], 1.0) for name in NAMES)
