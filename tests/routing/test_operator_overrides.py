"""Servers out by hand: whatever lists say, nothing new goes there, and they come back cold."""

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


def listed(kind: str, names, **over) -> interface.EndpointList:
    return interface.EndpointList(kind, tuple(interface.Endpoint(n, **over) for n in names))


def test_out_counts_as_a_drain_told_now(make) -> None:
    h = make(names=NAMES)
    names = [h.request(key=n) for n in range(40)]
    for name in names:
        h.start(name)
    there = [n for n in names if h.sends(n)[-1].server == NAMES[0]]
    assert there
    h.give(interface.OperatorOverride(NAMES[0], True), interface.OperatorOverride(NAMES[0], True))
    h.run(3 * SECOND)
    assert sorted({a.id for _, a in h.log if isinstance(a, interface.Migrate)}) == sorted(there)


def bring(h: Harness, number: int) -> None:
    names = [h.request(key=n, load=10) for n in range(number)]
    h.run(SECOND // 10)  # no probe is answered
    for name in names:
        h.start(name)


def moved(h: Harness, loads: dict[str, float], rounds: int) -> set[str]:
    """Who is moved while the servers report these loads."""
    out = set()
    for _ in range(rounds):
        h.give(*(interface.HealthCheckResult(name, "served", 1000, {"load_ratio": x}) for name, x in loads.items()))
        out |= {a.id for a in h.run(SECOND // 2) if isinstance(a, interface.Migrate)}
    return out


def test_clients_of_one_that_is_out_stay_while_the_rest_is_full(make) -> None:
    # Found on sockets, hand+drain: moved to servers at 0.7 to 1.1, they and those who stood there were not served.
    h = make(names=NAMES, may_health_check=True, load_report_fields=("load_ratio",))
    bring(h, 60)
    s, full = h.b.servers[NAMES[0]], {name: 0.75 for name in NAMES}
    assert s.connections and not moved(h, full, 8)
    h.give(interface.OperatorOverride(NAMES[0], True))
    assert not moved(h, full, 8), "no room there; the target is 0.72"
    there = set(s.connections)
    few = moved(h, {name: 0.65 for name in NAMES}, 7)
    assert few and few < there, "a part each round as there is room"
    assert moved(h, {name: 0.3 for name in NAMES}, 8) | few == there


def test_one_that_is_out_and_then_gone_is_left_at_once_however_full_the_rest_is(make) -> None:
    h = make(names=NAMES, may_health_check=True, load_report_fields=("load_ratio",))
    bring(h, 60)
    full = {name: 0.75 for name in NAMES}
    moved(h, full, 8)
    there = set(h.b.servers[NAMES[0]].connections)
    h.give(interface.OperatorOverride(NAMES[0], True))
    assert there and not moved(h, full, 6)
    h.give(listed("changes", NAMES[:1], state="gone"))
    assert moved(h, full, 1) >= there


def test_all_out_and_back_take_clients_while_they_warm_up_within_their_budgets(make) -> None:
    # Each counts as cold and nothing stands: clients were refused for all of the nine seconds.
    h = make(
        names=NAMES,
        balancers=1,
        slow_start_us=9 * SECOND,
        slow_start_initial_fraction=0.31,
        slow_start_multiple=3.0,
        slow_start_window_us=3 * SECOND,
    )
    bring(h, 100)
    h.run(6 * SECOND)
    stood = h.b.slow_start.reference_load
    assert stood == 1000
    h.give(*(interface.OperatorOverride(name, True) for name in NAMES))
    h.run(SECOND)
    for name in [f for f in h.b.requests]:
        h.end(name, "broken", done=True)
    h.run(4 * SECOND)
    refused = h.request(key=500, load=10)
    assert any(isinstance(a, interface.Reject) for a in h.done(refused)), "with all out there is nowhere to go"
    h.give(*(interface.OperatorOverride(name, False) for name in NAMES))
    sent = 0
    for n in range(100):
        name = h.request(key=n, load=10)
        if h.sends(name):
            h.start(name)
            sent += 1
        h.run(25_000)
    share = h.b.slow_start.warmth(h.b.servers[NAMES[0]])
    assert 10 <= sent <= 0.45 * 3 * 3 / 9 * share * 100 / h.b.loads.fleet_load + len(NAMES)
    assert h.b.slow_start.reference_load == stood


def test_one_call_back_ends_it_and_it_is_cold_whatever_the_list_says(make) -> None:
    h = make(names=NAMES)
    h.give(interface.OperatorOverride(NAMES[0], True))
    h.give(interface.OperatorOverride(NAMES[0], True))
    s = h.b.servers[NAMES[0]]
    assert not s.ready and h.b.slow_start.warmth(s) == 1
    h.run(SECOND)
    h.give(interface.OperatorOverride(NAMES[0], False))
    assert s.ready and h.b.slow_start.warmth(s) < 0.2
    h.give(listed("full", NAMES, started_us=0))
    assert s.ready and h.b.slow_start.warmth(s) < 0.2
    h.give(interface.OperatorOverride(NAMES[0], False))  # and again: it is in rotation, so nothing starts anew
    assert s.started_us == h.now


def test_one_deleted_while_out_and_listed_anew_stays_out_and_returns_cold(make) -> None:
    h = make(names=NAMES)
    h.give(interface.OperatorOverride(NAMES[0], True))
    h.servers(*NAMES[1:])
    assert NAMES[0] not in h.b.servers
    h.servers(*NAMES)
    assert not h.b.servers[NAMES[0]].ready
    h.servers(*NAMES[1:])
    h.give(interface.OperatorOverride(NAMES[0], False))
    h.servers(*NAMES)
    assert h.b.servers[NAMES[0]].ready and h.b.slow_start.warmth(h.b.servers[NAMES[0]]) < 0.2


def test_the_only_one_out_refuses_at_once_with_a_time_to_come_back(make) -> None:
    h = make(names=["a:1"])
    h.give(interface.OperatorOverride("a:1", True))
    name = h.request()
    refused = [a for a in h.done(name) if isinstance(a, interface.Reject)]
    assert len(refused) == 1 and refused[0].retry_after_us > 0 and h.now == h.log[-1][0]
    h.give(interface.OperatorOverride("a:1", False))
    h.run(h.settings.slow_start_us)
    assert h.sends(h.request())


def told(h: Harness) -> tuple:
    return decode([a.data for _, a in h.log if isinstance(a, interface.SendGossip)][-1])


def test_clients_sent_away_count_at_their_new_balancer_only(make) -> None:
    h = make(names=NAMES, balancers=2)
    names = [h.request(key=n, load=10) for n in range(20)]
    for name in names:
        h.start(name)
    h.run(6 * SECOND)
    assert h.b.sessions.active_load == 200 and told(h)[1:3] == (200.0, 20)
    h.give(interface.DrainMode(True))
    for name in names[:15]:
        h.end(name, "cancelled", done=True)
    assert h.b.sessions.active_load == 50  # no session is kept for them
    h.run(SECOND)
    assert told(h)[1:3] == (50.0, 0)  # and its part of the free slots is the others'
    h.give(interface.DrainMode(False))
    h.end(names[15], "cancelled", done=True)
    assert h.b.sessions.active_load == 50  # now one that was moved off a server comes back here
    h.run(6 * SECOND)
    assert told(h)[2] > 0


def test_the_slots_and_the_cold_budget_of_one_that_goes_are_the_others(make) -> None:
    h = make(names=NAMES, balancers=2, slow_start_us=9 * SECOND, slow_start_window_us=3 * SECOND)
    h.run(SECOND)
    h.start(h.request(key=1, load=10))
    h.run(5 * SECOND)
    h.give(listed("changes", NAMES[:1], started_us=h.now))

    def heard(clients: int) -> tuple[float, float]:
        h.run(SECOND)
        h.give(interface.GossipReceived(1, encode(h.now // 100_000 & 0xFFFF, 2000.0, clients, [])))
        h.run(SECOND // 2)
        return h.b.admission.client_fraction(), h.b.slow_start.reference_load

    assert heard(99) == (0.01, 10)
    assert heard(0) == (1.0, 2010)


@given(
    st.lists(
        st.tuples(st.floats(1, 1e6), st.sampled_from(["has", "has", "goes", "new"]), st.integers(1, 500)),
        min_size=2,
        max_size=8,
    )
)
def test_what_stands_in_the_tier_is_brought_to_cold_servers_once(tier: list[tuple[float, str, int]]) -> None:
    # Found in the laboratory, hand-drain: one that went brought its part beside the others, and a server fell over.
    clients = [n if what == "has" else 0 for _, what, n in tier]
    brought = 0.0
    for me, (own, what, n) in enumerate(tier):
        peers = [Peer(0, 0, load, clients[k], []) for k, (load, _, _) in enumerate(tier) if k != me]
        mine = 0 if what == "new" else n
        others = sum(c for k, c in enumerate(clients) if k != me)
        share = mine / (mine + others) if mine else None
        brought += reference_load(own, share, peers, len(tier), is_draining=what == "goes")
    total = sum(load for load, _, _ in tier)
    assert brought <= total * 1.001
    if any(clients):
        assert brought >= total * 0.999


@pytest.mark.parametrize("seed", range(25))
def test_no_order_of_lists_calls_and_time_sends_to_one_that_is_out(seed: int) -> None:
    rng = random.Random(seed)
    h = Harness(
        settings(may_health_check=seed % 2 == 0, load_report_fields=("load_ratio",), slow_start_us=4 * SECOND), seed
    )
    h.give(listed("full", NAMES))
    out: set[str] = set()
    read = 0
    for _ in range(250):
        n = rng.random()
        if n < 0.15:
            name, away = rng.choice(NAMES), rng.random() < 0.6
            h.give(interface.OperatorOverride(name, away))
            (out.add if away else out.discard)(name)
        elif n < 0.3:
            kind = rng.choice(["full", "changes", "remembered"])
            some = rng.sample(NAMES, rng.randint(1, 5))
            h.give(
                listed(
                    kind,
                    some,
                    state=rng.choice(["ready", "ready", "draining", "gone"]),
                    started_us=rng.choice([0, h.now]),
                )
            )
        elif n < 0.8:
            name = h.request(key=rng.randrange(30), group=rng.choice([None, 1, 2]))
            if h.sends(name) and rng.random() < 0.8:
                if rng.random() < 0.7:
                    h.start(name)
                else:
                    h.end(name, rng.choice(["full", "no_connection", "unsent", "timeout", "broken"]))
        else:
            h.run(rng.choice([10_000, 100_000, SECOND]))
        for _, a in h.log[read:]:
            assert not (isinstance(a, interface.StartAttempt | interface.SendHealthCheck) and a.server in out), (
                f"{a} while it is out"
            )
        read = len(h.log)
    for name in out:
        h.give(interface.OperatorOverride(name, False))
    h.give(listed("full", NAMES))
    h.run(20 * SECOND)  # warm, and what was out of reach has been for its while
    assert all(h.b.ejection.may_receive(h.b.servers[name], 1.0) for name in NAMES)
