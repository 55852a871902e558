"""The judge of soak runs on records made by hand, the plans, and a short seeded soak."""

from __future__ import annotations

import concurrent.futures
import multiprocessing

import pytest

from glenrock.testbed import soak
from glenrock.testbed.bed import BedShape
from glenrock.testbed.endpoint_directory import DRAINING, SERVING
from glenrock.testbed.fault_schedule import FaultKind, draw
from glenrock.testbed.invariants import InvariantChecker
from glenrock.testbed.records import (
    NEVER,
    AttemptRecord,
    ConnectionEnd,
    HalfRequestRecord,
    ListedRecord,
    RequestRecord,
    RunRecord,
)

SHORT_SEEDS = (3, 4, 6, 9, 20, 22)  # among them small fleets, 3,200 names, unsafe classes and twelve processes


def request(**over) -> RequestRecord:
    values = {"request_id": "r", "balancer": 0, "deadline_ms": 1000.0, "sent_s": 10.0, "answer": "UP x"}
    values |= {"answered_s": 10.1, "moved": True, "end": ConnectionEnd.FINISHED, "ended_s": 15.0}
    values |= {"answered_s": NEVER} if over.get("answer") == "" else {}
    return RequestRecord(**(values | over))


def attempt(first_s: float = 10.01, end_s: float = 15.0, answer: str = "UP", **over) -> AttemptRecord:
    values = {"up_s": first_s + 0.01} if answer == "UP" else {}
    return AttemptRecord("r", "s", False, first_s, first_s, ended_s=end_s, answer=answer, **(values | over))


def rules(one: RequestRecord, *attempts: AttemptRecord, **over) -> list[str]:
    record = RunRecord(requests=[one], attempts=list(attempts), **over)
    return [
        breach.rule for breach in InvariantChecker(record, BedShape(window_ms=500.0, drain_grace_ms=2500.0)).breaches()
    ]


def test_a_sound_request_breaks_no_rule() -> None:
    assert rules(request(), attempt()) == []
    assert rules(request(answer="BUSY 300"), attempt(end_s=10.05, answer="BUSY")) == []
    assert rules(request(answer="", left_s=10.02, end=ConnectionEnd.LEFT), attempt(end_s=10.05, answer="")) == []


@pytest.mark.parametrize(
    ("broken", "expected"),
    [
        (lambda: rules(request(answer="", end=ConnectionEnd.RESET)), ["lost"]),
        (lambda: rules(request(answered_s=11.6), attempt()), ["lost"]),
        (lambda: rules(request(standing_at="s", answer="BUSY 300")), ["lost"]),
        (lambda: rules(request(answer="HELLO")), ["wrong"]),
        (lambda: rules(request(unexpected="b'x'"), attempt()), ["wrong"]),
        (lambda: rules(request(moved=False), attempt()), ["cut off"]),
        (lambda: rules(request(), attempt(10.0, 10.9, ""), attempt(10.5)), ["duplicate"]),
        (lambda: rules(request(effect="unsafe"), attempt(10.0, 10.2, "ERR"), attempt(10.3)), ["duplicate"]),
        (lambda: rules(request(effect="keyed"), attempt(10.0, 10.2, "ERR"), attempt(10.6)), ["duplicate"]),
        (lambda: rules(request(effect="unsafe", answer="BUSY 9"), attempt(10.0, 10.2, "ERR")), ["refused"]),
        (lambda: rules(request(answer="", left_s=10.1), attempt(10.5, 10.6, "")), ["forwarded"]),
    ],
)
def test_each_broken_rule_is_told(broken, expected: list[str]) -> None:
    assert broken() == expected


def test_what_a_kill_or_a_server_took_away_is_excused_and_nothing_else() -> None:
    lost, cut = request(answer="", end=ConnectionEnd.RESET), request(moved=False)
    assert rules(lost, killed_s={0: [10.5]}) == [] and rules(lost, killed_s={1: [10.5]}) == ["lost"]
    assert rules(lost, stopped_s={0: [10.0]}) == ["lost"]
    assert rules(cut, attempt(ended_by_server=True)) == [] and rules(cut, attempt(hung_s=12.0)) == []
    assert rules(cut, attempt(hung_s=16.0)) == ["cut off"]


def test_a_send_after_the_grace_is_told_by_when_the_list_came() -> None:
    told = [ListedRecord(0, "s", SERVING, 1.0), ListedRecord(0, "s", DRAINING, 7.0)]
    assert rules(request(), attempt(), listed=told) == ["drain"]
    assert rules(request(), attempt(), listed=[*told, ListedRecord(0, "s", SERVING, 9.0)]) == []
    assert rules(request(), attempt(), listed=[ListedRecord(0, "s", DRAINING, 8.0)]) == []
    assert rules(request(), attempt(), listed=[ListedRecord(1, "s", DRAINING, 1.0)]) == []


def test_half_a_request_that_is_left_open_is_told() -> None:
    kept, closed = HalfRequestRecord(0, 10.0, 14.0), HalfRequestRecord(0, 10.0, 12.0)
    assert rules(request(), attempt(), half_requests=[kept, closed]) == ["bad client"]


def test_a_plan_is_its_seeds_and_all_kinds_are_drawn() -> None:
    assert draw(7) == draw(7) != draw(8)
    drawn = {fault.kind for seed in range(60) for fault in draw(seed).faults}
    assert drawn == set(FaultKind)
    plan = draw(7)
    assert len(plan.without(plan.faults[0]).faults) == len(plan.faults) - 1


def test_a_short_soak_breaks_no_rule() -> None:
    context = multiprocessing.get_context("spawn")
    with concurrent.futures.ProcessPoolExecutor(2, mp_context=context) as pool:
        results = list(pool.map(soak.run_seed, SHORT_SEEDS, [8.0] * len(SHORT_SEEDS)))
    assert all(result.is_clean for result in results), "\n".join(result.text() for result in results)
    assert sum(result.answers["UP"] for result in results) > 500
