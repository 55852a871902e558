"""Failure domains: start and end of a partition, error rates, and the effect on requests and checks."""

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
        name: (round(b.score, 9), b.updated_us, b.is_partitioned, b.recovered_us, b.evidence_us)
        for name, b in d.states.items()
    }


@settings(max_examples=200, deadline=None)
@given(st.lists(st.tuples(st.integers(0, 3 * SECOND), st.lists(EVIDENCE, max_size=8)), max_size=12), st.randoms())
def test_result_does_not_depend_on_the_order_within_a_batch(batches, rng) -> None:
    one, two, now = FailureDomains(), FailureDomains(), 0
    for span, evidence in batches:
        now += span
        mixed = list(evidence)
        rng.shuffle(mixed)
        for d, order in ((one, evidence), (two, mixed)):
            for domain, member, answers in order:
                d.record(domain, member, answers)
        # An answer adds no state for a domain without failures, whatever the order.
        assert sorted(one.evaluate(now)) == sorted(two.evaluate(now))
        assert state(one) == state(two)
        for b in one.states.values():
            assert 0 <= b.score <= domains.PARTITION_BOUND and len(b.evidence_us) <= 6


def record_failures(d: FailureDomains, now: int, *members: str) -> list[str]:
    for m in members:
        d.record("b", m, False)
    return d.evaluate(now)


def test_single_dead_member_causes_no_partition() -> None:
    d = FailureDomains()
    for n in range(200):
        assert record_failures(d, n * 20_000, "u") == []
        d.record("b", "v", True)  # other members answer
        d.evaluate(n * 20_000 + 1)
    assert not d.is_partitioned("b") and d.usable_fraction(5 * SECOND, "b") == 1.0


def test_three_failed_members_cause_a_partition_and_an_answer_starts_the_recovery_ramp() -> None:
    d = FailureDomains()
    assert record_failures(d, 0, "u") == [] and record_failures(d, 100_000, "v") == []
    assert record_failures(d, 200_000, "w") == ["b"]
    assert d.is_partitioned("b") and d.usable_fraction(200_000, "b") == 0.0 and not d.may_use(200_000, "b", 0)
    d.record("b", "u", True)
    assert d.evaluate(3 * SECOND) == ["b"]
    parts = [d.usable_fraction(3 * SECOND + n * domains.RECOVERY_STEP_US, "b") for n in range(4)]
    assert parts == [0.25, 0.5, 0.75, 1.0]
    used = [
        sum(d.may_use(3 * SECOND + n * domains.RECOVERY_STEP_US, "b", code << 8) for code in range(256))
        for n in range(4)
    ]
    assert used == [64, 128, 192, 256]


def test_score_and_partition_expire_without_evidence() -> None:
    d = FailureDomains()
    record_failures(d, 0, "u", "v")
    before = d.suspicion(0, "b")
    assert d.suspicion(20 * SECOND, "b") < before / 20
    assert record_failures(d, 20 * SECOND, "w") == []
    record_failures(d, 20 * SECOND + 1, "x", "y")
    assert d.is_partitioned("b")
    assert d.evaluate(20 * SECOND + 2 + domains.EVIDENCE_TIMEOUT_US) == ["b"] and not d.is_partitioned("b")


def test_partitioned_domain_is_checked_at_the_interval() -> None:
    d = FailureDomains()
    record_failures(d, 0, "u", "v", "w")
    checked = [now for now in range(0, 4 * SECOND, 10_000) if d.due_health_checks(now)]
    assert len(checked) == 4 * SECOND // domains.HEALTH_CHECK_INTERVAL_US


def test_stated_error_rates_hold() -> None:
    """Draws healthy and partitioned domains of six members; each error rate stays below twice the stated one."""
    rng, false_alarms, runs = random.Random(7), 0, 4000
    for _ in range(runs):
        d, now = FailureDomains(), 0
        for _ in range(25):
            now += 100_000
            for m in "uvwxyz":
                d.record("b", m, rng.random() >= domains.HEALTHY_FAILURE_PROBABILITY)
            false_alarms += d.evaluate(now) == ["b"]
    assert false_alarms / runs < 2 * domains.FALSE_ALARM_RATE
    detected = 0
    for _ in range(2000):  # a partition is detected by the third failing member
        d = FailureDomains()
        for n, m in enumerate("uvw"):
            if rng.random() < domains.PARTITIONED_FAILURE_PROBABILITY:
                d.record("b", m, False)
            else:
                d.record("b", m, True)
            d.evaluate(n * 50_000)
        detected += d.is_partitioned("b")
    assert detected / 2000 > 1 - 2 * domains.MISSED_RATE


# -- effects on requests and checks --------------------------------------------------------------------


def with_two_zones(make_harness, **over):
    harness = make_harness(
        zone="a", names=(), may_health_check=True, load_report_fields=("load_ratio",), health_check_cost=0.0001, **over
    )
    entries = [interface.Endpoint(f"{z}{n}:1", interface.EndpointState.READY, z) for z in "ab" for n in range(4)]
    harness.deliver(interface.EndpointList(interface.EndpointListKind.FULL, tuple(entries)))
    return harness


def time_out_checks(harness, *servers: str) -> None:
    for s in servers:
        harness.deliver(interface.HealthCheckResult(s, interface.AttemptOutcome.TIMEOUT))


def test_partitioned_zone_gets_no_requests_and_recovers_as_a_whole(make_harness) -> None:
    harness = with_two_zones(make_harness)
    time_out_checks(harness, "b0:1", "b1:1", "b2:1")
    harness.advance(10_000)
    names = [harness.send_request(key=n, group=n) for n in range(40)]
    harness.advance(100_000)
    assert {harness.attempts_of(n)[0].server_id[0] for n in names} == {"a"}
    # After one answer no server is ejected for the partition: a part is used at once, and then all.
    harness.deliver(interface.HealthCheckResult("b3:1", interface.AttemptOutcome.SERVED, 1000, {"load_ratio": 0.1}))
    harness.advance(4 * domains.RECOVERY_STEP_US)
    assert all(harness.balancer.ejection.is_usable(s) for s in harness.balancer.servers.values())
    assert not any(s.consecutive_failures for s in harness.balancer.servers.values())


def test_partitioned_zone_is_checked_few_times_a_second(make_harness) -> None:
    harness = with_two_zones(make_harness)
    harness.send_request(key=1)
    time_out_checks(harness, "b0:1", "b1:1", "b2:1")
    harness.action_log.clear()
    harness.advance(5 * SECOND)
    checked = [a for _, a in harness.action_log if isinstance(a, interface.SendHealthCheck) and a.server_id[0] == "b"]
    assert 4 <= len(checked) <= 20


def test_single_dead_server_of_another_zone_is_ejected_alone(make_harness) -> None:
    harness = with_two_zones(make_harness)
    for _ in range(6):
        time_out_checks(harness, "b0:1")
        harness.advance(300_000)
    assert not harness.balancer.domains.is_partitioned("b")
    assert not harness.balancer.ejection.is_usable(
        harness.balancer.servers["b0:1"]
    ) and harness.balancer.ejection.is_usable(harness.balancer.servers["b1:1"])


def test_servers_are_tried_when_all_are_partitioned(make_harness) -> None:
    harness = with_two_zones(make_harness)
    harness.deliver(
        interface.EndpointList(
            interface.EndpointListKind.FULL,
            tuple(interface.Endpoint(f"b{n}:1", interface.EndpointState.READY, "b") for n in range(4)),
        )
    )
    time_out_checks(harness, "b0:1", "b1:1", "b2:1")
    name = harness.send_request(key=1)
    harness.advance(100_000)
    assert harness.attempts_of(name)


@pytest.mark.parametrize("zone", ["a", ""])
def test_own_zone_is_never_partitioned(make_harness, zone: str) -> None:
    harness = with_two_zones(make_harness)
    time_out_checks(harness, "a0:1", "a1:1", "a2:1", "a3:1")
    assert not harness.balancer.domains.states.get(zone)


def test_partition_is_logged_once_at_its_start_and_once_at_its_end(caplog) -> None:
    caplog.set_level("INFO", logger="glenrock")
    from conftest import settings as usual

    from glenrock.net.routing_actor import RoutingActor

    class At:
        ms = 1000.0

        def now_ms(self) -> float:
            return self.ms

    clock = At()
    d = RoutingActor(usual(zone="a", may_health_check=True, load_report_fields=("load_ratio",)), 1, clock)
    entries = tuple(interface.Endpoint(f"{z}{n}:1", interface.EndpointState.READY, z) for z in "ab" for n in range(4))
    d.handle_batch([interface.EndpointList(interface.EndpointListKind.FULL, entries)])
    for events in (
        [interface.HealthCheckResult(f"b{n}:1", interface.AttemptOutcome.TIMEOUT) for n in range(3)],
        [],
        [],
        [interface.HealthCheckResult("b0:1", interface.AttemptOutcome.SERVED)],
        [],
        [],
    ):
        clock.ms += 10
        d.handle_batch(events)
    said = [line for line in caplog.messages if line.startswith("zone ")]
    assert said == [
        "zone believed partitioned: no new connections to it zone=b",
        "zone no longer believed partitioned: recovery ramp begins zone=b",
    ]
