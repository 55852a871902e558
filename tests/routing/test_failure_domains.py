"""Failure domains: the start and end of a partition, the error rates, and the effects on requests and checks."""

from __future__ import annotations

import random
from dataclasses import replace

import pytest
from conftest import SECOND, Harness, HarnessFactory
from conftest import settings as balancer_settings
from hypothesis import given, settings
from hypothesis import strategies as st

from glenrock.net.clock import ManualClock
from glenrock.net.routing_actor import RoutingActor
from glenrock.routing import failure_domains, interface
from glenrock.routing.failure_domains import DomainState, FailureDomains

from .scenarios import checked_servers, first_server, health_report

DOMAIN = "b"
MEMBERS = "uvwxyz"
EVIDENCE = st.tuples(st.sampled_from(["b", "c"]), st.sampled_from(MEMBERS), st.booleans())
"""A domain, a member, and whether the member was reached."""


def rounded_states(domains: FailureDomains) -> dict[str, DomainState]:
    """Returns the states with rounded scores, so that they can be compared."""
    return {name: replace(state, score=round(state.score, 9)) for name, state in domains.states.items()}


@settings(max_examples=200, deadline=None)
@given(st.lists(st.tuples(st.integers(0, 3 * SECOND), st.lists(EVIDENCE, max_size=8)), max_size=12), st.randoms())
def test_result_does_not_depend_on_the_order_within_a_batch(
    batches: list[tuple[int, list[tuple[str, str, bool]]]], rng: random.Random
) -> None:
    domains, shuffled_domains, now_us = FailureDomains(), FailureDomains(), 0
    for span_us, evidence in batches:
        now_us += span_us
        shuffled_evidence = list(evidence)
        rng.shuffle(shuffled_evidence)
        for domain, member, is_reachable in evidence:
            domains.record(domain, member, is_reachable)
        for domain, member, is_reachable in shuffled_evidence:
            shuffled_domains.record(domain, member, is_reachable)
        # A reached member adds no state for a domain without failures, whatever the order.
        assert sorted(domains.evaluate(now_us)) == sorted(shuffled_domains.evaluate(now_us))
        assert rounded_states(domains) == rounded_states(shuffled_domains)
        for state in domains.states.values():
            assert 0 <= state.score <= failure_domains.PARTITION_THRESHOLD and len(state.failure_counted_at_us) <= 6


def record_failures(domains: FailureDomains, now_us: int, members: str) -> list[str]:
    """Records that each of these members of `DOMAIN` failed. Returns the domains whose state changed."""
    for member in members:
        domains.record(DOMAIN, member, False)
    return domains.evaluate(now_us)


def test_single_dead_member_causes_no_partition() -> None:
    domains = FailureDomains()
    for number in range(200):
        assert record_failures(domains, number * 20_000, "u") == []
        domains.record(DOMAIN, "v", True)  # another member is reached
        domains.evaluate(number * 20_000 + 1)
    assert not domains.is_partitioned(DOMAIN) and domains.usable_fraction(5 * SECOND, DOMAIN) == 1.0


def test_three_failed_members_cause_a_partition_and_a_reached_one_starts_the_recovery_ramp() -> None:
    domains = FailureDomains()
    assert record_failures(domains, 0, "u") == []
    assert record_failures(domains, 100_000, "v") == []
    assert record_failures(domains, 200_000, "w") == [DOMAIN]
    assert domains.is_partitioned(DOMAIN)
    assert domains.usable_fraction(200_000, DOMAIN) == 0.0 and not domains.may_use(200_000, DOMAIN, 0)
    domains.record(DOMAIN, "u", True)
    assert domains.evaluate(3 * SECOND) == [DOMAIN]
    steps_us = [3 * SECOND + number * failure_domains.RECOVERY_STEP_US for number in range(4)]
    assert [domains.usable_fraction(at_us, DOMAIN) for at_us in steps_us] == [0.25, 0.5, 0.75, 1.0]
    hashes = [number << 8 for number in range(256)]
    usable_counts = [sum(domains.may_use(at_us, DOMAIN, member_hash) for member_hash in hashes) for at_us in steps_us]
    assert usable_counts == [64, 128, 192, 256]


def test_failures_of_a_member_count_again_once_a_member_was_reached() -> None:
    domains = FailureDomains()
    record_failures(domains, 0, "u")
    score_fraction = domains.score_fraction(0, DOMAIN)
    assert record_failures(domains, 100_000, "u") == []
    assert domains.score_fraction(100_000, DOMAIN) < score_fraction, "failures within the window count once"
    domains.record(DOMAIN, "v", True)
    domains.evaluate(200_000)
    record_failures(domains, 300_000, "u")
    assert domains.score_fraction(300_000, DOMAIN) == pytest.approx(score_fraction)


def test_score_and_partition_expire_without_evidence() -> None:
    domains = FailureDomains()
    record_failures(domains, 0, "uv")
    before = domains.score_fraction(0, DOMAIN)
    assert domains.score_fraction(20 * SECOND, DOMAIN) < before / 20
    assert record_failures(domains, 20 * SECOND, "w") == []
    record_failures(domains, 20 * SECOND + 1, "xy")
    assert domains.is_partitioned(DOMAIN)
    assert domains.evaluate(20 * SECOND + 2 + failure_domains.EVIDENCE_TIMEOUT_US) == [DOMAIN]
    assert not domains.is_partitioned(DOMAIN)


def test_partitioned_domain_is_checked_at_the_interval() -> None:
    domains = FailureDomains()
    record_failures(domains, 0, "uvw")
    check_times_us = [now_us for now_us in range(0, 4 * SECOND, 10_000) if domains.due_health_checks(now_us)]
    assert len(check_times_us) == 4 * SECOND // failure_domains.HEALTH_CHECK_INTERVAL_US


def test_stated_error_rates_hold() -> None:
    """Simulates healthy and partitioned domains of six members. Each error rate is below twice the stated rate."""
    rng = random.Random(7)
    healthy_count, partitioned_count = 4000, 2000
    false_alarms = detected = 0
    for _ in range(healthy_count):
        domains, now_us = FailureDomains(), 0
        for _ in range(25):
            now_us += 100_000
            for member in MEMBERS:
                domains.record(DOMAIN, member, rng.random() >= failure_domains.HEALTHY_FAILURE_PROBABILITY)
            false_alarms += domains.evaluate(now_us) == [DOMAIN]
    assert false_alarms / healthy_count < 2 * failure_domains.FALSE_ALARM_RATE
    for _ in range(partitioned_count):  # three failed members are enough to detect a partition
        domains = FailureDomains()
        for number, member in enumerate("uvw"):
            has_failed = rng.random() < failure_domains.PARTITIONED_FAILURE_PROBABILITY
            domains.record(DOMAIN, member, not has_failed)
            domains.evaluate(number * 50_000)
        detected += domains.is_partitioned(DOMAIN)
    assert detected / partitioned_count > 1 - 2 * failure_domains.MISSED_DETECTION_RATE


# -- effects on requests and checks ------------------------------------------------------------------

TWO_ZONES = tuple(
    interface.Endpoint(f"{zone}{number}:1", interface.EndpointState.READY, zone) for zone in "ab" for number in range(4)
)


def with_two_zones(make_harness: HarnessFactory) -> Harness:
    """Returns a harness of a balancer in zone a, with four servers there and four in zone b."""
    harness = make_harness(
        zone="a", names=(), may_health_check=True, load_report_fields=("load_ratio",), health_check_cost=0.0001
    )
    harness.deliver(interface.EndpointList(interface.EndpointListKind.FULL, TWO_ZONES))
    return harness


def time_out_checks(harness: Harness, *server_ids: str) -> None:
    """Delivers the results of health checks of these servers, one by one, as timed out."""
    for server_id in server_ids:
        harness.deliver(interface.HealthCheckResult(server_id, interface.AttemptOutcome.TIMEOUT))


def test_partitioned_zone_gets_no_requests_and_recovers_as_a_whole(make_harness: HarnessFactory) -> None:
    harness = with_two_zones(make_harness)
    time_out_checks(harness, "b0:1", "b1:1", "b2:1")
    harness.advance(10_000)
    request_ids = [harness.send_request(key=key, group=key) for key in range(40)]
    harness.advance(100_000)
    assert {first_server(harness, request_id)[0] for request_id in request_ids} == {"a"}
    # After one answer, no server is still ejected because of the partition: part of the zone is usable at once, and all
    # of it after the recovery ramp.
    harness.deliver(health_report("b3:1", 0.1))
    harness.advance(4 * failure_domains.RECOVERY_STEP_US)
    servers = harness.balancer.servers.values()
    assert all(harness.balancer.ejection.is_usable(server) for server in servers)
    assert not any(server.consecutive_failures for server in servers)


def test_partitioned_zone_is_checked_few_times_a_second(make_harness: HarnessFactory) -> None:
    harness = with_two_zones(make_harness)
    harness.send_request(key=1)
    time_out_checks(harness, "b0:1", "b1:1", "b2:1")
    harness.action_log.clear()
    harness.advance(5 * SECOND)
    checked = checked_servers(action for _, action in harness.action_log)
    assert 4 <= sum(server_id[0] == "b" for server_id in checked) <= 20


def test_single_dead_server_of_another_zone_is_ejected_alone(make_harness: HarnessFactory) -> None:
    harness = with_two_zones(make_harness)
    for _ in range(6):
        time_out_checks(harness, "b0:1")
        harness.advance(300_000)
    balancer = harness.balancer
    assert not balancer.domains.is_partitioned("b")
    assert not balancer.ejection.is_usable(balancer.servers["b0:1"])
    assert balancer.ejection.is_usable(balancer.servers["b1:1"])


def test_servers_are_tried_when_all_are_partitioned(make_harness: HarnessFactory) -> None:
    harness = with_two_zones(make_harness)
    harness.list_servers(*(f"b{number}:1" for number in range(4)), zone="b")
    time_out_checks(harness, "b0:1", "b1:1", "b2:1")
    request_id = harness.send_request(key=1)
    harness.advance(100_000)
    assert harness.attempts_of(request_id)


@pytest.mark.parametrize("zone", ["a", ""])
def test_own_zone_is_never_partitioned(make_harness: HarnessFactory, zone: str) -> None:
    harness = with_two_zones(make_harness)
    time_out_checks(harness, "a0:1", "a1:1", "a2:1", "a3:1")
    assert not harness.balancer.domains.states.get(zone)


def test_partition_is_logged_once_at_its_start_and_once_at_its_end(caplog: pytest.LogCaptureFixture) -> None:
    caplog.set_level("INFO", logger="glenrock")
    clock = ManualClock(1000.0)
    actor = RoutingActor(
        balancer_settings(zone="a", may_health_check=True, load_report_fields=("load_ratio",)), 1, clock
    )
    timed_out: list[interface.Event] = [
        interface.HealthCheckResult(f"b{number}:1", interface.AttemptOutcome.TIMEOUT) for number in range(3)
    ]
    answered: list[interface.Event] = [interface.HealthCheckResult("b0:1", interface.AttemptOutcome.SERVED)]
    actor.handle_batch([interface.EndpointList(interface.EndpointListKind.FULL, TWO_ZONES)])
    for events in (timed_out, [], [], answered, [], []):
        clock.advance(10)
        actor.handle_batch(events)
    logged = [message for message in caplog.messages if message.startswith("zone ")]
    assert logged == [
        "zone believed partitioned: no new connections to it zone=b",
        "zone no longer believed partitioned: recovery ramp begins zone=b",
    ]
