"""Coordination of processes that are paused, killed and cut off, and its invariants on written histories."""

from __future__ import annotations

import itertools

import pytest

from glenrock.testbed.coordination_figures import coordination_figures
from glenrock.testbed.coordination_invariants import DRAIN_SIGHTING_GAP_S
from glenrock.testbed.history_events import (
    AttemptReceived,
    BalancerStarted,
    DrainObserved,
    EffectAcknowledged,
    OverrideAnswered,
    OverrideRequested,
)
from glenrock.testbed.history_records import check_history, records_of
from glenrock.testbed.invariant import Invariant, InvariantLimits
from glenrock.toml_file import InputFileError

from .scenarios import Table, assert_no_violation, measured_us, play_small, small_scenario
from .written_history import Row, WrittenFault, write_history

LEASE_MS = 700.0
TOGETHER = {"lease_ms": LEASE_MS, "ask_ms": 250.0}
KINDS = ["pause", "kill", "cut", "late", "ban", "ban", "ticket"]


def random_faults(kinds: list[str]) -> Table:
    return {"kind": "strikes", "at_s": 5.0, "for_s": 5.0, "each_ms": 150.0, "kinds": kinds}


# Each balancer is paused for more than a lease, so that a new term begins whatever is drawn afterwards.
FIRST_FAULTS: list[Table] = [
    {"kind": "ban", "at_s": 0.5, "balancer": 1, "instance": 1},
    *({"kind": "pause", "at_s": 1.0 + 1.3 * number, "balancer": number, "for_s": 1.1} for number in range(3)),
    {"kind": "ticket", "at_s": 0.3, "balancer": 2, "for_s": 0.3},
]
FAULTS_BY_STORE: dict[str, list[Table]] = {
    "sqlite": [*FIRST_FAULTS, random_faults(KINDS)],
    "consul": [
        *FIRST_FAULTS,
        random_faults([*KINDS, "store_cut"]),
        {"kind": "store_fault", "at_s": 5.5, "how": "rollback", "for_s": 1.0},
        {"kind": "store_fault", "at_s": 7.0, "how": "loses", "for_s": 0.5},
        {"kind": "store_fault", "at_s": 8.5, "how": "restart", "for_s": 0.4},
    ],
}


@pytest.mark.parametrize("store", FAULTS_BY_STORE)
def test_coordination_invariants_hold_under_random_faults(store: str) -> None:
    together = {**TOGETHER, "store": store, "late": 1.3}
    _, summary = play_small(seed=4, length_s=11.0, together=together, faults=FAULTS_BY_STORE[store])
    assert_no_violation(summary)
    figures = summary["together"]
    assert figures["terms"] >= 2
    assert figures["struck"] > 8
    assert summary["seen"]["terms"]
    assert summary["seen"]["agreed"]
    assert figures["told"] + figures["told_later"] > 0
    assert figures["drained"] + figures["drains_refused"] > 0


def test_overrides_reach_all_by_the_store_and_late_gossip_of_an_old_holder_is_rejected() -> None:
    cut = {"kind": "way", "at_s": 0.0, "source": "balancer:*", "target": "balancer:*", "for_s": 3.0, "cut": True}
    # Later than from an old holder's last heartbeat to a new term.
    late = {**cut, "at_s": 3.0, "for_s": 5.0, "cut": False, "delay_ms": 3000.0}
    _, summary = play_small(
        seed=1,
        length_s=9.0,
        together={**TOGETHER, "store": "sqlite"},
        faults=[
            cut,
            late,
            {"kind": "ban", "at_s": 1.0, "balancer": 0, "instance": 2},
            {"kind": "ban", "at_s": 3.1, "balancer": 0, "instance": 2, "out": False},
            *({"kind": "pause", "at_s": 4.2 + number, "balancer": number, "for_s": 0.9} for number in range(3)),
        ],
    )
    assert_no_violation(summary)
    assert summary["together"]["told"] + summary["together"]["told_later"] == 2
    assert not summary["seen"].get("banned")
    assert summary["together"]["late"] > 0, "no effect of an old term was rejected, so the test shows nothing"


def test_without_the_store_requests_are_served_and_overrides_apply_locally() -> None:
    bed, summary = play_small(
        seed=2,
        length_s=9.0,
        together={**TOGETHER, "store": "consul"},
        faults=[
            {"kind": "store_fault", "at_s": 0.5, "how": "refuses", "for_s": 5.0},
            {"kind": "ban", "at_s": 1.5, "balancer": 0, "instance": 2},
            {"kind": "ticket", "at_s": 3.0, "balancer": 1},
        ],
    )
    assert_no_violation(summary)
    assert summary["counts"]["set_up"] > 20
    figures = summary["together"]
    assert (figures["told"], figures["told_later"], figures["drained"], figures["drains_refused"]) == (0, 1, 0, 1)
    received = [
        event
        for event in bed.history.each(AttemptReceived)
        if event.party == "instance:2" and measured_us(bed, event) > 2e6
    ]
    assert not [event for event in received if event.data.balancer == 0]


def test_drain_outlasts_its_permit_while_the_store_does_not_answer() -> None:
    """Guards against a drained balancer that takes clients again because the lease of its permit has ended."""
    drain_s, drain_length_s = 0.5, 5.0
    bed, summary = play_small(
        seed=3,
        length_s=8.0,
        together={**TOGETHER, "store": "consul", "turnstile": 1},
        faults=[
            {"kind": "ticket", "at_s": drain_s, "balancer": 1, "for_s": drain_length_s},
            {"kind": "store_fault", "at_s": 1.5, "how": "refuses", "for_s": 2.5},
        ],
    )
    assert_no_violation(summary)
    assert summary["together"]["drained"] == 1
    seen_us = [measured_us(bed, event) for event in bed.history.each(DrainObserved) if event.data.balancer == 1]
    gaps_us = [after - before for before, after in itertools.pairwise(seen_us)]
    assert max(gaps_us) < DRAIN_SIGHTING_GAP_S * 1e6
    assert seen_us[-1] > (drain_s + drain_length_s - DRAIN_SIGHTING_GAP_S) * 1e6


SUSPENDED = "instance:3"


def _time_ms(row: Row | WrittenFault) -> int:
    return row.at_ms if isinstance(row, Row) else row.from_ms


def effect(
    at_ms: int, term: int, number: int, is_accepted: bool = True, receiver: str = "balancer:1", order: int = 0
) -> Row:
    data = EffectAcknowledged("bans", term, number, is_accepted, highest_term=5, order=order or at_ms)
    return Row(at_ms, receiver, data)


def drains(balancer: int, *at_ms: int) -> list[Row]:
    return [Row(at, "front", DrainObserved(balancer)) for at in at_ms]


def override_answered(at_ms: int, is_suspended: bool, status: int = 200) -> Row:
    return Row(at_ms, "operator", OverrideAnswered(0, SUSPENDED, is_suspended, status, ""))


def override_requested(at_ms: int, is_suspended: bool) -> Row:
    return Row(at_ms, "operator", OverrideRequested(0, SUSPENDED, is_suspended))


def restarted(at_ms: int) -> Row:
    return Row(at_ms, "balancer:1", BalancerStarted(1, 1))


def received(at_ms: int) -> Row:
    return Row(at_ms, SUSPENDED, AttemptReceived("", 2, is_resumed=False))


@pytest.mark.parametrize(
    ("rows", "violated"),
    [
        ([effect(1, 4, 1), effect(2, 5, 1), effect(3, 5, 2), effect(4, 4, 9, is_accepted=False)], None),
        ([effect(1, 5, 1), effect(2, 4, 7)], Invariant.TERM_ORDER),
        ([effect(1, 5, 1), effect(2, 5, 1)], Invariant.TERM_ORDER),
        ([effect(1, 5, 1, order=2), effect(2, 4, 7, order=1)], None),
        ([effect(1, 4, 1, order=2), effect(2, 5, 1, order=1)], Invariant.TERM_ORDER),
        ([effect(1, 5, 1), restarted(2), effect(3, 4, 7, order=1)], Invariant.TERM_ORDER),
        ([effect(1, 5, 1), effect(2, 4, 7, receiver="balancer:2")], None),
        ([*drains(1, 100, 300, 500), *drains(2, 900, 1100)], None),
        ([*drains(1, 100, 300), *drains(2, 350, 500)], None),
        ([*drains(1, 100, 300, 500), *drains(2, 400, 600)], Invariant.DRAIN_PERMITS),
        ([*drains(1, 100), *drains(2, 100)], Invariant.DRAIN_PERMITS),
        ([*drains(1, 100, 500), WrittenFault(200, 300, "balancer:1"), *drains(2, 400, 600)], None),
        ([*drains(1, 100, 500), WrittenFault(200, 300, "store"), *drains(2, 400, 600)], None),
        (
            [*drains(1, 100, 500), WrittenFault(200, 300, "balancer:2"), *drains(2, 400, 600)],
            Invariant.DRAIN_PERMITS,
        ),
        ([WrittenFault(10, 50, "balancer:1"), *drains(1, 100, 500), *drains(2, 400, 600)], Invariant.DRAIN_PERMITS),
        ([override_answered(100, True), received(1000)], None),
        ([override_answered(100, True), received(1300)], Invariant.OVERRIDE_APPLIED),
        ([override_answered(100, True, 202), received(1300)], None),
        ([override_answered(100, True), override_requested(900, False), received(1300)], None),
    ],
)
def test_coordination_invariants_on_written_histories(
    rows: list[Row | WrittenFault], violated: Invariant | None
) -> None:
    history = write_history(*sorted(rows, key=_time_ms))
    result = check_history(history, InvariantLimits(2.5, drain_permits=1))
    assert {violation.invariant for violation in result.violations} == ({violated} if violated else set())
    assert sum(result.cases.values()) > 0
    accepted = sum(event.data.is_accepted for event in history.each(EffectAcknowledged))
    assert coordination_figures(history, 1000)["taken"] == accepted


def test_disagreement_at_the_end_is_a_violation() -> None:
    history = write_history(effect(1, 5, 1))
    record = records_of(history)
    record.disagreements = ("balancer 2: {}",)
    [violation] = check_history(history, InvariantLimits(2.5), record).violations
    assert violation.invariant == Invariant.AGREEMENT
    assert "balancer 2" in violation.text


@pytest.mark.parametrize(
    ("fault", "message"),
    [
        ({"kind": "ban", "at_s": 1.0}, "names no store"),
        (random_faults(["pause"]), "names no store"),
        ({"kind": "way", "at_s": 1.0, "source": "balancer:0", "target": "store", "cut": True}, "nothing goes from"),
    ],
)
def test_faults_that_need_a_store_are_rejected_without_one(fault: Table, message: str) -> None:
    with pytest.raises(InputFileError, match=message):
        small_scenario(faults=[fault])
