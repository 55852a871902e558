"""One small test for each decision, and for each failure found."""

from __future__ import annotations

import pytest
from conftest import SECOND, Harness, settings

from glenrock.routing import interface
from glenrock.routing.activity_history import ActivitySample
from glenrock.routing.gossip_codec import decode, encode


def peer(h, n: int, active: float, clients: int, line=()) -> None:
    h.give(interface.GossipReceived(n, encode(h.now // 100_000 & 0xFFFF, active, clients, list(line))))


def one_standing(make):
    """A connection on the only server, which reports its load and tells of slow messages."""
    h = make(may_health_check=True, load_report_fields=("load_ratio",), has_message_delay_reports=True, names=("a:1",))
    name = h.request(key=1)
    h.start(name)
    s = h.b.servers["a:1"]
    return h, name, s


def test_slots_are_cap_less_all_known_actives_times_the_lagged_share(make) -> None:
    # 50 of 100 clients here at the lag, cap 1000, 800 active: this balancer may add 100.
    h = make()
    b = h.b
    b.batch.now_us, b.admission.load_cap, b.sessions.active_load = h.now, 1000.0, 300.0
    b.admission.history.samples = [ActivitySample(h.now, 50, 500.0)]
    peer(h, 1, 200.0, 20)
    peer(h, 2, 300.0, 30)
    b.admission.load_cap = 1000.0
    b.admission.update_quota()
    assert b.admission.client_fraction() == 0.5
    assert b.admission.quota == pytest.approx(100)
    assert not b.admission.may_admit_newcomers


def test_newcomers_pass_below_half_the_cap_when_nobody_waits(make) -> None:
    h = make()
    h.b.admission.load_cap, h.b.sessions.active_load = 1000.0, 400.0
    h.b.admission.update_quota()
    assert h.b.admission.may_admit_newcomers


def test_the_part_is_a_ledger_of_the_round(make) -> None:
    h = make()
    h.b.admission.load_cap, h.b.sessions.active_load, h.b.admission.may_admit_newcomers, h.b.admission.quota = (
        10.0,
        8.0,
        False,
        2.0,
    )
    names = [h.request(key=n, load=1) for n in range(5)]
    assert [bool(h.sends(n)) for n in names] == [True, True, False, False, False]
    assert all(isinstance(h.done(n)[0], interface.Reject) for n in names[2:])


def test_oldest_bucket_goes_first_and_the_partial_one_by_share(make) -> None:
    # The article's example: 52 slots free, 2 wait in the oldest bucket, 50 in the next, 60 in the last.
    h = make()
    b = h.b
    b.batch.now_us, b.admission.load_cap, b.sessions.active_load = h.now, 200.0, 148.0
    now = h.now // b.waiting_queue.bucket_us
    peer(h, 1, 0.0, 0, [(1, 60), (2, 50), (3, 2)])
    b.admission.load_cap = 200.0
    b.admission.history.samples = [ActivitySample(h.now, 1, 148.0)]
    b.admission.update_quota()
    assert (b.admission.last_open_bucket, b.admission.partial_bucket, b.admission.quota) == (now - 2, now - 1, 0.0)
    b.admission.load_cap = 220.0  # 20 left for the last bucket
    b.admission.update_quota()
    assert (b.admission.partial_bucket, b.admission.quota) == (now - 1, 20.0)


def test_slots_kept_for_clients_that_never_come_go_to_younger_buckets(make) -> None:
    # Old buckets at peers hold all the free slots, but their clients come back at other balancers.
    h = make(balancers=2)
    b = h.b
    h.run(SECOND)
    for n in range(10):
        h.start(h.request(key=n, load=1))
    h.run(SECOND)
    came = 0
    for n in range(16):
        b.admission.load_cap = 40.0
        peer(h, 1, 10.0, 10, [(9, 19), (5, 30)])
        h.run(SECOND // 2)
        came += sum(bool(h.sends(h.request(key=100 + 10 * n + k, load=1))) for k in range(2))
    assert came >= 8


def test_buckets_before_the_clock_began_count(make) -> None:
    h = make()
    b = h.b
    b.batch.now_us = h.now = 3 * SECOND
    peer(h, 1, 5.0, 5, [(9, 30)])
    b.admission.load_cap, b.sessions.active_load = 20.0, 5.0
    b.admission.update_quota()
    assert b.admission.partial_bucket == 1 - 9 and not b.admission.may_admit_newcomers
    b.admission.has_rejected_newcomer, b.admission.quota = False, 10.0
    assert not h.sends(h.request(key=1, load=1)) and b.admission.has_rejected_newcomer


def test_clients_not_seen_lately_reserve_no_slots(make) -> None:
    h = make()
    h.b.admission.load_cap, h.b.admission.may_admit_newcomers, h.b.admission.quota = 0.0, False, 0.0
    h.request(key=1, load=5)
    assert sum(h.b.waiting_queue.load_by_bucket().values()) == 5
    h.now += 3 * SECOND
    h.b.batch.now_us = h.now
    assert not h.b.waiting_queue.load_by_bucket() and 1 in h.b.waiting_queue.clients  # it keeps its place all the same


def test_an_admitted_key_returns_within_session_duration_only(make) -> None:
    h = make()
    name = h.request(key=7)
    h.start(name)
    h.run(5 * SECOND)
    h.end(name, "broken", done=True)
    h.b.admission.load_cap, h.b.admission.may_admit_newcomers, h.b.admission.quota = 10.0, False, 0.0
    assert h.sends(h.request(key=7))
    h.b.sessions.by_key.clear()
    assert isinstance(h.done(h.request(key=7))[0], interface.Reject)


def test_a_connection_dropped_soon_after_its_start_is_not_admitted(make) -> None:
    # A loaded server drops its newest: as sessions they would pass at once and be dropped again, without end.
    h = make()
    name = h.request(key=7)
    h.start(name)
    h.end(name, "broken", done=True)
    h.b.admission.load_cap, h.b.admission.may_admit_newcomers, h.b.admission.quota = 0.0, False, 0.0
    assert not h.sends(h.request(key=7))
    assert all(s.ejected_until_us == 0 for s in h.b.servers.values())


def test_old_reports_of_troubled_servers_do_not_hold_the_cap_down(make) -> None:
    # Asked while hot and not since; its connections send no word of slow messages any more.
    h, name, s = one_standing(make)
    h.b.ejection.record_load(s, 1.8)
    assert h.b.loads.load(s) == 1.8
    h.run(3 * SECOND)
    assert h.b.loads.load(s) < 0.9
    h.give(interface.ConnectionFeedback(name, "a:1", None, 90_000.0))
    assert h.b.loads.load(s) > 1


def test_the_cap_rises_again_without_reports(make) -> None:
    # No probes, no reports: only word of slow messages, and then silence.
    h = make(has_message_delay_reports=True, names=tuple(f"s{n}:1" for n in range(15)))
    names = [h.request(key=n, load=1) for n in range(120)]
    for name in names:
        h.start(name)
    for _ in range(6):
        h.give(*(interface.ConnectionFeedback(n, h.sends(n)[0].server, None, 500_000.0) for n in names))
        h.run(SECOND // 2)
    cut = h.b.admission.load_cap
    assert cut < float("inf")
    h.run(10 * SECOND)
    assert h.b.admission.load_cap > cut and h.b.loads.fleet_load < 0.65  # or silence would hold it at the cut


def test_late_messages_after_a_report_outweigh_it(make) -> None:
    # Reports show the past: at the onset of trouble they are good while messages are late already.
    h, name, s = one_standing(make)
    h.b.ejection.record_load(s, 0.4)
    h.run(100_000)
    h.give(interface.ConnectionFeedback(name, "a:1", None, 90_000.0))
    assert h.b.loads.load(s) > 1
    h.run(100_000)
    h.give(interface.HealthCheckResult("a:1", "served", 1000, {"load_ratio": 0.4}))
    assert h.b.loads.load(s) > 1, "reports are old: this one may be of a time before the word"
    h.run(SECOND)
    h.give(interface.HealthCheckResult("a:1", "served", 1000, {"load_ratio": 0.4}))
    assert h.b.loads.load(s) == 0.4


def test_cap_falls_once_a_feedback_delay_and_rises_again(make) -> None:
    h = make(may_health_check=True, load_report_fields=("load_ratio",), names=tuple(f"s{n}:1" for n in range(20)))
    b = h.b
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
    assert b.admission.load_cap == first  # a cut of the cut would starve the line: the load has not left yet
    for s in b.servers.values():
        b.ejection.record_load(s, 0.4)
    b.admission.update_cap()
    assert b.admission.load_cap > first


def test_servers_out_of_reach_do_not_load_the_fleet(make) -> None:
    h = make(may_health_check=True, load_report_fields=("load_ratio",), names=tuple(f"s{n}:1" for n in range(20)))
    for n in range(20):
        s = f"s{n}:1"
        h.give(
            interface.HealthCheckResult(s, "served", 1000, {"load_ratio": 0.5})
            if n < 10
            else interface.HealthCheckResult(s, "no_connection", 1000)
        )
    h.run(SECOND)
    assert h.b.loads.fleet_load == pytest.approx(0.5) and h.b.admission.load_cap == float("inf")


def test_weight_is_cut_for_one_servers_load_but_not_for_the_fleets(make) -> None:
    h = make()
    b = h.b
    b.loads.fleet_load = 0.5
    one = b.servers["a:1"]
    b.ejection.record_load(one, 1.2)
    assert one.weight < 1
    b.loads.fleet_load = 1.3
    other = b.servers["b:1"]
    b.ejection.record_load(other, 1.3)
    assert other.weight == 1


def test_refusals_spread_their_returns(make) -> None:
    h = make()
    h.b.admission.load_cap, h.b.admission.may_admit_newcomers, h.b.admission.quota = 0.0, False, 0.0
    waits = {h.done(h.request(key=n))[0].retry_after_us for n in range(20)}
    assert len(waits) > 15 and min(waits) >= SECOND and max(waits) <= 2 * SECOND


def test_nothing_goes_to_a_draining_server(make) -> None:
    h = make(names=("a:1", "b:1"))
    h.servers("a:1", kind="changes", state="draining")
    assert {h.sends(h.request(key=n))[0].server for n in range(20)} == {"b:1"}


def test_a_cold_server_gets_a_part_of_what_one_carries(make) -> None:
    h = make(names=("a:1", "b:1"), slow_start_us=20 * SECOND, slow_start_initial_fraction=0.1, slow_start_multiple=3.0)
    for n in range(40):
        h.start(h.request(key=n))
    h.servers("c:1", kind="changes", started_us=h.now)
    sent = 0
    for n in range(100, 200):
        h.run(20_000)
        sent += h.sends(h.request(key=n))[0].server == "c:1"
    # 2 s; each server carries some 40 connections, so a tenth of that a 20 s warm-up, three times over
    assert sent <= 3


def test_an_unanswered_request_is_ended_in_time(make) -> None:
    h = make()
    name = h.request(life_us=400_000)
    h.run(400_000)
    assert any(isinstance(a, interface.Reject | interface.Fail) for a in h.done(name))


def test_without_servers_requests_are_answered(make) -> None:
    h = make(names=())
    name = h.request()
    h.run(SECOND)
    assert isinstance(h.done(name)[-1], interface.Reject)


def test_a_group_meets_on_the_same_servers_at_every_balancer(make) -> None:
    names = tuple(f"s{n}:1" for n in range(50))
    picked = set()
    for seed in range(8):
        h = make(seed=seed, names=names)
        picked.add(h.sends(h.request(key=seed, group=77))[0].server)
    assert len(picked) == 1


def test_a_departed_balancers_actives_age_out(make) -> None:
    h = make()
    peer(h, 1, 500.0, 10)
    h.run(2 * SECOND)
    assert h.b.gossip.tier_load() == 500
    h.run(60 * SECOND)
    assert h.b.gossip.tier_load() == 0


def test_memory_is_given_back(make) -> None:
    h = make()
    for n in range(200):
        name = h.request(key=n)
        if h.sends(name):
            h.start(name)
            h.end(name, "served", done=True)
    h.run(60 * SECOND)
    b = h.b
    assert (
        not b.requests
        and not b.sessions.by_key
        and not b.waiting_queue.clients
        and b.sessions.active_load == 0
        and len(b.batch.timers) == 1
    )
    assert not any(s.connections for s in b.servers.values())


@pytest.mark.parametrize(
    "data",
    [b"", b"\x00" * 9, b"\x01\x00\x00\xff", b"\x01\x00\x00\x80\x80", b"\x01" * 300, b"\x01\x00\x00" + b"\xff" * 40],
)
def test_garbage_from_a_peer_is_ignored(make, data: bytes) -> None:
    h = make()
    h.give(interface.GossipReceived(1, data))
    assert not h.b.gossip.peers


def test_summary_round_trip_and_size() -> None:
    line = [(n, 1000.0 * n) for n in range(200)]
    data = encode(513, 123456.0, 77, line)
    assert len(data) <= 256
    stamp, active, clients, kept = decode(data)
    assert (stamp, active, clients) == (513, 123456.0, 77)
    assert kept == line[: len(kept)] and len(kept) > 40


def test_summaries_out_of_order_or_doubled_change_nothing(make) -> None:
    h = make()
    h.give(interface.GossipReceived(1, encode(10, 5.0, 1, [])))
    h.give(interface.GossipReceived(1, encode(9, 99.0, 1, [])), interface.GossipReceived(1, encode(10, 98.0, 1, [])))
    assert h.b.gossip.peers[1].active_load == 5


def test_unknown_things_are_ignored(make) -> None:
    h = make()
    assert not h.give(
        interface.ConnectionEstablished("x", 0, "q:1"),
        interface.AttemptEnded("x", 3, "q:1", "error", False),
        interface.ClientDisconnected("x"),
        interface.HealthCheckResult("q:1", "served"),
        interface.TimerFired(12345),
        interface.ConnectionFeedback("x", "q:1", 1.0, 2.0),
        interface.OpenConnection(interface.Request("y", "read", 0), "q:1"),
    )


@pytest.mark.parametrize(
    "field,value",
    [
        ("balancers", 0),
        ("index", -1),
        ("max_attempts", 0),
        ("tick_us", 0),
        ("slow_start_initial_fraction", 0.0),
        ("slow_start_initial_fraction", float("nan")),
        ("slow_start_multiple", -1.0),
        ("over_quota_weight", 2.0),
        ("classes", ()),
        ("drain_grace_us", -1),
        ("health_check_cost", float("inf")),
        ("max_retry_after_us", -1),
        ("classes", (interface.RequestClass("x", 0, 5),)),
        ("classes", (interface.RequestClass("x", 9, 5),)),
        ("classes", (interface.RequestClass("x", 1, 5, idempotency="odd"),)),
    ],
)
def test_impossible_settings_name_the_field(make, field: str, value) -> None:
    with pytest.raises(ValueError, match=field):
        make(**{field: value})


@pytest.mark.parametrize(
    "over",
    [
        dict(balancers=1),
        dict(may_gossip=False),
        dict(may_cancel=False),
        dict(may_send_retry_after=False),
        dict(max_attempts=1),
        dict(may_health_check=True, load_report_fields=("utilization",)),
        dict(must_poll_endpoints=True),
        dict(slow_start_us=0),
        dict(max_retry_after_us=0),
        dict(zone="z", cross_zone_cost=0.1),
        dict(tenants=(interface.Tenant("t", 5.0),)),
        dict(balancers=500, index=499, gossip_cost=0.01),
    ],
)
def test_unlike_settings_run(make, over: dict) -> None:
    h = make(names=("a:1",), **over)
    names = [h.request(key=n if n % 2 else None, group=n % 3 or None, tenant="t") for n in range(20)]
    h.run(200_000)
    for n in names[::2]:
        if h.sends(n):
            h.start(n)
    h.run(5 * SECOND)
    assert all(h.done(n) for n in names)


def test_many_balancers_together_do_not_push_a_cold_server_over() -> None:
    # Each keeps its part alone; a crowd falls on all of them at the same moment, after a quiet while.
    count, load, multiple, window, cold = 40, 1000, 3.0, SECOND, 20 * SECOND
    hs = []
    for n in range(count):
        h = Harness(
            settings(
                balancers=count,
                index=n,
                slow_start_us=cold,
                slow_start_initial_fraction=0.1,
                slow_start_multiple=multiple,
                slow_start_window_us=window,
                max_attempts=1,
            ),
            seed=n,
        )
        h.servers(*(f"w{k}:1" for k in range(5)))
        for k in range(10):
            h.start(h.request(key=k, load=load))
        h.run(2 * SECOND)
        h.b.loads.fleet_load = 0.5
        h.servers("cold:1", kind="changes", started_us=h.now)
        hs.append(h)
    born = hs[0].now
    at: list[int] = []
    for step in range(100):
        for h in hs:
            h.now = born + 4 * SECOND + step * 40_000
            name = h.request(key=1000 + step, load=load, life_us=SECOND)
            sent = h.sends(name)
            if sent and sent[0].server == "cold:1":
                at.append(h.now)
            h.end(name, "cancelled", done=True) if sent else None
    full = count * 10 / 5 / 0.5  # connections that fill a server
    for t in at:
        share = 0.1 + 0.9 * (t - born) / cold
        inside = sum(t <= x < t + window for x in at)
        assert inside <= multiple * share * full * window / cold + 2
    assert len(at) >= 4


def test_without_hints_the_mean_load_is_learned_from_notes(make) -> None:
    # Found on sockets: after a restart 184 clients came back at once and went to three servers of nine.
    h = make()
    name = h.request(key=1)
    h.start(name)
    h.give(interface.ConnectionFeedback(name, h.sends(name)[0].server, load=30_000.0))
    assert h.b.requests[h.request(key=2)].load == pytest.approx(30_000.0)


def test_one_heavy_connection_is_not_the_mean(make) -> None:
    # Found on sockets, hand+drain: a balancer with few clients first heard of one at 545,000, ten times the mean, and
    # at 0.02 a note counted 18 clients as 100 for the rest of the day.
    h = make()
    names = [h.request(key=n) for n in range(20)]
    for name, load in zip(names, [500_000.0] + [50_000.0] * 19, strict=True):
        h.start(name)
        h.give(interface.ConnectionFeedback(name, h.sends(name)[0].server, load=load))
    assert h.b.requests[h.request(key=99)].load == pytest.approx(72_500.0, rel=0.01), "the plain mean of twenty"
    for n in range(600):
        h.give(interface.ConnectionFeedback(names[1 + n % 19], h.sends(names[1])[0].server, load=50_000.0))
    assert h.b.requests[h.request(key=100)].load == pytest.approx(50_000.0, rel=0.01), "and it follows"


def test_clients_leave_a_draining_server_before_it_stops_paced(make) -> None:
    h = make(names=("a:1",))
    names = [h.request(key=n) for n in range(8)]
    for name in names:
        h.start(name)
    h.give(interface.EndpointList("changes", (interface.Endpoint("a:1", "draining"),)))
    moved: list[str] = []
    paces = []
    for _ in range(4):
        now = [a.id for a in h.run(SECOND // 2) if isinstance(a, interface.Migrate)]
        paces.append(len(now))
        moved += now
        for name in now:
            h.end(name, "cancelled", done=True)
    assert sorted(moved) == sorted(names)
    assert max(paces) <= 4, "not all at once"


def test_a_server_that_is_back_keeps_its_clients(make) -> None:
    h = make(names=("a:1",))
    h.start(h.request(key=1))
    h.give(interface.EndpointList("changes", (interface.Endpoint("a:1", "draining"),)))
    h.servers("a:1")
    assert not [a for a in h.run(3 * SECOND) if isinstance(a, interface.Migrate)]


def test_where_nobody_tells_of_slow_messages_servers_that_hold_ours_are_asked(make) -> None:
    # Found on sockets: instances at 1.3 of their capacity returned lines at once, and old reports said 0.4.
    h = make(may_health_check=True, load_report_fields=("load_ratio",), names=("a:1",))
    h.start(h.request(key=1))
    h.b.health_checks.budget.tokens = 5.0  # too few for the sample of each round
    h.give(interface.HealthCheckResult("a:1", "served", 1000, {"load_ratio": 0.4}))
    assert not [a for a in h.run(2 * SECOND) if isinstance(a, interface.SendHealthCheck)], "a calm one is not asked"
    h.give(interface.HealthCheckResult("a:1", "served", 1000, {"load_ratio": 0.8}))
    assert [a for a in h.run(2 * SECOND) if isinstance(a, interface.SendHealthCheck)]


PAST = 10  # rounds after which a server has a past to be slow against


def loaded(make, loads: dict[str, float], each: int = 6):
    """A balancer with as many connections at each server, and servers that report these loads."""
    h = make(may_health_check=True, load_report_fields=("load_ratio",), names=tuple(loads))
    h.give(*(interface.HealthCheckResult(name, "served", 1000, {"load_ratio": 0.3}) for name in loads))
    for n in range(each * len(loads)):
        h.start(h.request(key=n, load=10_000))
    by = {s.id: s for s in h.b.servers.values()}
    flows = list(h.b.requests.values())
    for s in by.values():
        s.connections.clear()
    for n, f in enumerate(flows):
        f.server = by[list(loads)[n % len(loads)]]
        f.server.connections[f.event.id] = f
    return h


def report(h, loads: dict[str, float], rounds: int) -> list:
    out = []
    for _ in range(rounds):
        h.give(*(interface.HealthCheckResult(name, "served", 1000, {"load_ratio": x}) for name, x in loads.items()))
        out += h.run(SECOND // 2)
    return out


def test_a_few_slow_servers_do_not_close_the_cap(make) -> None:
    # Found on sockets: two of five became slow and reported 1.9 and 1.4; the mean closed the cap at 0.6.
    loads = {"a:1": 0.5, "b:1": 0.5, "c:1": 0.6, "d:1": 0.5, "e:1": 0.6}
    h = loaded(make, loads)
    report(h, loads, PAST)
    report(h, loads | {"d:1": 1.6, "e:1": 2.4}, 8)
    # Three whole ones and two at 0.3 to 0.4 bear 0.84 of it at the target; a plain mean, 1.12, would let in 0.64.
    assert h.b.loads.fleet_load < 0.86 and h.b.admission.load_cap > 0.8 * h.b.sessions.active_load


def test_a_fleet_that_is_loaded_throughout_still_closes_it(make) -> None:
    loads = {name: 1.1 for name in ("a:1", "b:1", "c:1", "d:1", "e:1")}
    h = loaded(make, loads)
    report(h, loads, 12)
    assert h.b.admission.load_cap < float("inf")


def test_drops_at_one_server_do_not_make_the_fleet_full(make) -> None:
    # Found on sockets: a server fell over and dropped what it held; the cap closed with 0.7 of the rest used.
    h = make(names=("a:1", "b:1", "c:1", "d:1"))
    names = [h.request(key=n) for n in range(30)]
    for name in names:
        if h.sends(name)[-1].server == "a:1":
            h.end(name, "broken")
    h.run(SECOND)
    assert h.b.admission.load_cap == float("inf")
    for n in range(30, 60):
        h.end(h.request(key=n), "broken")
    h.run(SECOND)
    assert h.b.admission.load_cap < float("inf")


def test_a_lone_slow_server_is_emptied_down_to_where_the_others_work(make) -> None:
    loads = {"a:1": 0.3, "b:1": 0.3, "c:1": 0.3, "d:1": 0.3, "e:1": 1.5}
    h = loaded(make, loads, each=10)
    moved = {a.id for a in report(h, loads, 1) if isinstance(a, interface.Migrate)}
    assert len(moved) >= 6, "down to half its capacity, not just below all of it"
    assert moved <= set(h.b.servers["e:1"].connections)


def test_a_slow_server_that_was_emptied_is_not_filled_again(make) -> None:
    loads = {"a:1": 0.5, "b:1": 0.5, "c:1": 0.5, "d:1": 0.5}
    h = loaded(make, loads)
    report(h, loads, PAST)
    report(h, loads | {"d:1": 2.5}, 4)
    slow, sound = h.b.servers["d:1"], h.b.servers["a:1"]
    slow.reported_load = sound.reported_load = 0.4
    slow.unreported_load = sound.unreported_load = h.b.capacity.server_capacity * 0.2
    assert h.b.selection.expected_load(slow) > h.b.selection.expected_load(sound) + 0.1


def test_one_that_loses_its_capacity_is_left_before_it_is_full(make) -> None:
    # Found on sockets: an instance went from 0.25 to 0.9, stayed there, and then dropped all it held.
    loads = {"a:1": 0.25, "b:1": 0.25, "c:1": 0.25, "d:1": 0.25}
    h = loaded(make, loads, each=10)
    assert not [a for a in report(h, loads, PAST) if isinstance(a, interface.Migrate)]
    moved = {a.id for a in report(h, loads | {"d:1": 0.9}, 3) if isinstance(a, interface.Migrate)}
    assert len(moved) >= 6 and moved <= set(h.b.servers["d:1"].connections)


def test_the_sample_of_each_round_is_the_server_longest_unheard(make) -> None:
    loads = {f"{c}:1": 0.3 for c in "abcdef"}
    h = loaded(make, loads)
    h.b.health_checks.budget.tokens = 60.0
    asked: list[str] = []
    for _ in loads:
        now = [a.server for a in h.run(SECOND // 2) if isinstance(a, interface.SendHealthCheck)]
        h.give(*(interface.HealthCheckResult(name, "served", 1000, {"load_ratio": 0.3}) for name in now))
        asked += now
    assert sorted(asked) == sorted(loads), "each once before one is asked again"


def test_excluding_all_servers_is_excluding_none(make) -> None:
    h = make(may_health_check=True, load_report_fields=("load_ratio",))
    for name in ("a:1", "b:1", "c:1"):
        for _ in range(4):
            h.give(interface.HealthCheckResult(name, "no_connection", 1000))
    assert all(s.ejected_until_us > h.now + SECOND for s in h.b.servers.values())
    name = h.request(key=1)
    h.run(SECOND // 10)
    assert h.sends(name), "tried rather than left without an attempt"
    for name in ("a:1", "b:1"):
        h.b.servers[name].ejected_until_us = 0
    again = h.request(key=2)
    h.run(SECOND // 10)
    assert h.sends(again)[0].server != "c:1", "with others back, the one out of use stays out"


def test_a_report_below_zero_is_no_report(make) -> None:
    h = make(may_health_check=True, load_report_fields=("load_ratio",), names=("a:1",))
    h.give(interface.HealthCheckResult("a:1", "served", 1000, {"load_ratio": 0.7}))
    h.give(interface.HealthCheckResult("a:1", "served", 1000, {"load_ratio": -5.0}))
    assert h.b.servers["a:1"].reported_load == 0.7


def test_one_that_is_slow_when_first_seen_is_told_by_the_others(make) -> None:
    # Found on sockets: an instance stood at 4.5 when it was first asked, and its own past told nothing.
    loads = {"a:1": 0.15, "b:1": 0.2, "c:1": 0.15, "d:1": 4.5}
    h = loaded(make, loads)
    report(h, loads, 2)
    assert h.b.servers["d:1"].capacity_ratio < 0.6
    assert min(h.b.servers[name].capacity_ratio for name in ("a:1", "b:1", "c:1")) > 0.9


def test_reports_from_before_a_start_make_no_server_slow(make) -> None:
    # Found on sockets, hand+drain: reports of the first second said 0.12, later ones 0.75, and a balancer emptied
    # a sound server as one that had lost half of its capacity.
    loads = {name: 0.75 for name in ("a:1", "b:1", "c:1", "d:1")}
    h = loaded(make, loads, each=10)
    report(h, {name: 0.15 for name in loads}, 2)
    assert not [a for a in report(h, loads, 12) if isinstance(a, interface.Migrate)]
    assert min(s.capacity_ratio for s in h.b.servers.values()) > 0.8


def test_clients_of_another_balancer_make_no_server_slow(make) -> None:
    # Found on sockets, hand+drain: one of two balancers was drained; to the other each server seemed to do half.
    loads = {name: 0.75 for name in ("a:1", "b:1", "c:1", "d:1")}
    h = loaded(make, loads, each=10)
    for active in [h.b.sessions.active_load] * PAST + [0.0] * PAST:
        peer(h, 1, active, 10)
        assert not [a for a in report(h, loads, 1) if isinstance(a, interface.Migrate)]
    assert min(s.capacity_ratio for s in h.b.servers.values()) > 0.8


def test_a_few_servers_that_all_are_known_are_the_fleet(make) -> None:
    # Found in the laboratory, hand-drain: three servers at 1.1 were a fleet at 0.7 for seconds, and the cap open.
    loads = {"a:1": 0.5, "b:1": 0.5, "c:1": 0.5}
    h = loaded(make, loads)
    report(h, loads, 4)
    report(h, {name: 1.1 for name in loads}, 2)
    assert h.b.loads.fleet_load > 1.0 and h.b.admission.load_cap < float("inf")
    many = {f"{c}:1": 0.5 for c in "abcdefghijklmnopqrst"}
    h = loaded(make, many)
    report(h, many, 4)
    report(h, {name: 1.1 for name in list(many)[:3]}, 1)
    assert h.b.loads.fleet_load < 0.7, "three of twenty are not"


@pytest.mark.parametrize("scope", ["all", "zone", "cell"])
def test_a_repeat_is_given_up_with_the_window_in_which_servers_drop_it(make, scope: str) -> None:
    """A connection that comes up later would carry a second effect."""
    kind = interface.RequestClass(
        "read", 300_000, 2_000_000, 60_000, idempotency="keyed", idempotency_scope=scope, idempotency_window_us=400_000
    )
    h = make(classes=(kind,))
    name = h.request(life_us=2 * SECOND)
    h.run(200_000)
    h.end(name, "broken")
    h.run(20_000)
    first, again = h.sends(name)
    # The process may be held up for 150 ms between this decision and its write.
    assert 0 < again.timeout_us <= 50_000 < first.timeout_us


def test_no_repeat_is_decided_on_that_a_held_up_process_would_write_after_the_window(make) -> None:
    kind = interface.RequestClass(
        "read", 300_000, 2_000_000, 60_000, idempotency="keyed", idempotency_scope="all", idempotency_window_us=400_000
    )
    h = make(classes=(kind,))
    name = h.request(life_us=2 * SECOND)
    h.run(300_000)
    h.end(name, "broken")
    h.run(2 * SECOND)
    assert len(h.sends(name)) == 1 and len(h.done(name)) == 2
