"""Beliefs on failure domains: what convicts, what clears, and that order within a batch does not matter."""

from __future__ import annotations

import random

import pytest
from conftest import SECOND
from hypothesis import given, settings
from hypothesis import strategies as st

from glenrock.routing import failure_domains as domains
from glenrock.routing import interface
from glenrock.routing.failure_domains import FailureDomains

EVIDENCE = st.tuples(st.sampled_from(["b", "c"]), st.sampled_from("uvwxyz"), st.booleans())


def state(d: FailureDomains) -> dict:
    return {
        name: (round(b.score, 9), b.updated_us, b.is_cut, b.recovered_us, b.evidence_us) for name, b in d.states.items()
    }


@settings(max_examples=200, deadline=None)
@given(st.lists(st.tuples(st.integers(0, 3 * SECOND), st.lists(EVIDENCE, max_size=8)), max_size=12), st.randoms())
def test_evidence_of_one_batch_in_any_order_gives_one_belief(batches, rng) -> None:
    one, two, now = FailureDomains(), FailureDomains(), 0
    for span, evidence in batches:
        now += span
        mixed = list(evidence)
        rng.shuffle(mixed)
        for d, order in ((one, evidence), (two, mixed)):
            for domain, member, answers in order:
                d.record(domain, member, answers)
        # An answer makes a belief only where there is one to speak against, whatever came first.
        assert sorted(one.evaluate(now)) == sorted(two.evaluate(now))
        assert state(one) == state(two)
        for b in one.states.values():
            assert 0 <= b.score <= domains.BOUND and len(b.evidence_us) <= 6


def fails(d: FailureDomains, now: int, *members: str) -> list[str]:
    for m in members:
        d.record("b", m, False)
    return d.evaluate(now)


def test_one_dead_member_convicts_nobody_however_often_it_fails() -> None:
    d = FailureDomains()
    for n in range(200):
        assert fails(d, n * 20_000, "u") == []
        d.record("b", "v", True)  # the others answer now and then
        d.evaluate(n * 20_000 + 1)
    assert not d.is_cut("b") and d.usable_share(5 * SECOND, "b") == 1.0


def test_three_members_within_a_second_convict_and_an_answer_takes_back_in_steps() -> None:
    d = FailureDomains()
    assert fails(d, 0, "u") == [] and fails(d, 100_000, "v") == []
    assert fails(d, 200_000, "w") == ["b"]
    assert d.is_cut("b") and d.usable_share(200_000, "b") == 0.0 and not d.may_use(200_000, "b", 0)
    d.record("b", "u", True)
    assert d.evaluate(3 * SECOND) == ["b"]
    parts = [d.usable_share(3 * SECOND + n * domains.RECOVERY_STEP_US, "b") for n in range(4)]
    assert parts == [0.25, 0.5, 0.75, 1.0]
    used = [
        sum(d.may_use(3 * SECOND + n * domains.RECOVERY_STEP_US, "b", code << 8) for code in range(256))
        for n in range(4)
    ]
    assert used == [64, 128, 192, 256]


def test_beliefs_return_to_neutral_without_evidence() -> None:
    d = FailureDomains()
    fails(d, 0, "u", "v")
    before = d.suspicion(0, "b")
    assert d.suspicion(20 * SECOND, "b") < before / 20
    assert fails(d, 20 * SECOND, "w") == []
    fails(d, 20 * SECOND + 1, "x", "y")
    assert d.is_cut("b")
    assert d.evaluate(20 * SECOND + 2 + domains.NEUTRAL_US) == ["b"] and not d.is_cut("b")


def test_a_domain_believed_cut_is_asked_by_a_trickle() -> None:
    d = FailureDomains()
    fails(d, 0, "u", "v", "w")
    asked = [now for now in range(0, 4 * SECOND, 10_000) if d.due_health_checks(now)]
    assert len(asked) == 4 * SECOND // domains.HEALTH_CHECK_INTERVAL_US


def test_the_stated_error_rates_hold() -> None:
    """Sound domains of 6, each failing by itself now and then: alarms in a million draws under twice the rate."""
    rng, alarms, runs = random.Random(7), 0, 4000
    for _ in range(runs):
        d, now = FailureDomains(), 0
        for _ in range(25):
            now += 100_000
            for m in "uvwxyz":
                d.record("b", m, rng.random() >= domains.SOUND_FAILS)
            alarms += d.evaluate(now) == ["b"]
    assert alarms / runs < 2 * domains.FALSE_ALARM
    caught = 0
    for _ in range(2000):  # and a cut one is believed cut by its third failing member
        d = FailureDomains()
        for n, m in enumerate("uvw"):
            if rng.random() < domains.CUT_FAILS:
                d.record("b", m, False)
            else:
                d.record("b", m, True)
            d.evaluate(n * 50_000)
        caught += d.is_cut("b")
    assert caught / 2000 > 1 - 2 * domains.MISSED


# -- what the module does with them --------------------------------------------------------------------


def two_zones(make, **over):
    h = make(
        zone="a", names=(), may_health_check=True, load_report_fields=("load_ratio",), health_check_cost=0.0001, **over
    )
    entries = [interface.Endpoint(f"{z}{n}:1", "ready", z) for z in "ab" for n in range(4)]
    h.give(interface.EndpointList("full", tuple(entries)))
    return h


def unreachable(h, *servers: str) -> None:
    for s in servers:
        h.give(interface.HealthCheckResult(s, "timeout"))


def test_a_link_believed_cut_is_left_as_a_whole_and_taken_back_whole(make) -> None:
    h = two_zones(make)
    unreachable(h, "b0:1", "b1:1", "b2:1")
    h.run(10_000)
    names = [h.request(key=n, group=n) for n in range(40)]
    h.run(100_000)
    assert {h.sends(n)[0].server[0] for n in names} == {"a"}
    # When one answers, none is out of use for what was the link's; a part comes back at once, and then all.
    h.give(interface.HealthCheckResult("b3:1", "served", 1000, {"load_ratio": 0.1}))
    h.run(4 * domains.RECOVERY_STEP_US)
    assert all(h.b.ejection.is_usable(s) for s in h.b.servers.values())
    assert not any(s.consecutive_failures for s in h.b.servers.values())


def test_while_it_is_cut_the_link_is_asked_a_few_times_a_second(make) -> None:
    h = two_zones(make)
    h.request(key=1)
    unreachable(h, "b0:1", "b1:1", "b2:1")
    h.log.clear()
    h.run(5 * SECOND)
    asked = [a for _, a in h.log if isinstance(a, interface.SendHealthCheck) and a.server[0] == "b"]
    assert 4 <= len(asked) <= 20


def test_one_dead_server_of_another_zone_is_its_own_trouble(make) -> None:
    h = two_zones(make)
    for _ in range(6):
        unreachable(h, "b0:1")
        h.run(300_000)
    assert not h.b.domains.is_cut("b")
    assert not h.b.ejection.is_usable(h.b.servers["b0:1"]) and h.b.ejection.is_usable(h.b.servers["b1:1"])


def test_a_cut_of_all_that_is_known_leaves_all_to_try(make) -> None:
    h = two_zones(make)
    h.give(interface.EndpointList("full", tuple(interface.Endpoint(f"b{n}:1", "ready", "b") for n in range(4))))
    unreachable(h, "b0:1", "b1:1", "b2:1")
    name = h.request(key=1)
    h.run(100_000)
    assert h.sends(name)


@pytest.mark.parametrize("zone", ["a", ""])
def test_the_own_zone_has_no_link(make, zone: str) -> None:
    h = two_zones(make)
    unreachable(h, "a0:1", "a1:1", "a2:1", "a3:1")
    assert not h.b.domains.states.get(zone)


def test_what_is_believed_of_a_link_is_logged_once_each_way(caplog) -> None:
    caplog.set_level("INFO", logger="glenrock")
    from conftest import settings as usual

    from glenrock.net.routing_actor import RoutingActor

    class At:
        ms = 1000.0

        def now(self) -> float:
            return self.ms

    clock = At()
    d = RoutingActor(usual(zone="a", may_health_check=True, load_report_fields=("load_ratio",)), 1, clock)
    entries = tuple(interface.Endpoint(f"{z}{n}:1", "ready", z) for z in "ab" for n in range(4))
    d.turn([interface.EndpointList("full", entries)])
    for events in (
        [interface.HealthCheckResult(f"b{n}:1", "timeout") for n in range(3)],
        [],
        [],
        [interface.HealthCheckResult("b0:1", "served")],
        [],
        [],
    ):
        clock.ms += 10
        d.turn(events)
    said = [line for line in caplog.messages if line.startswith("zone ")]
    assert said == [
        "zone believed partitioned: no new connections to it zone=b",
        "zone no longer believed partitioned: recovery ramp begins zone=b",
    ]
