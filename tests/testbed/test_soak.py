"""Invariants on records made by hand, plans of soaks, and a short soak."""

from __future__ import annotations

import concurrent.futures
import multiprocessing

import pytest

from glenrock.routing.interface import Idempotency
from glenrock.testbed import soak
from glenrock.testbed.endpoint_directory import EndpointStatus
from glenrock.testbed.fault_player import kill_record
from glenrock.testbed.fault_schedule import FaultKind, draw
from glenrock.testbed.invariant import NEVER, Invariant
from glenrock.testbed.invariants import check
from glenrock.testbed.records import (
    AttemptRecord,
    ConnectionEnd,
    FaultRecord,
    HalfRequestRecord,
    ListedRecord,
    RequestRecord,
    RunRecord,
)
from glenrock.testbed.testbed import FleetShape

SHORT_SEEDS = (3, 4, 6, 9, 20, 22)  # among them small fleets, 3,200 names, unsafe classes and twelve processes


def request(**over) -> RequestRecord:
    values = {"request_id": "r", "balancer": 0, "deadline_ms": 1000.0, "sent_s": 10.0, "answer": "UP x"}
    values |= {"answered_s": 10.1, "answers": 1, "is_migrated": True, "end": ConnectionEnd.FINISHED, "ended_s": 15.0}
    values |= {"answered_s": NEVER, "answers": 0} if over.get("answer") == "" else {}
    return RequestRecord(**(values | over))


def attempt(first_s: float = 10.01, end_s: float = 15.0, answer: str = "UP", **over) -> AttemptRecord:
    values = {"up_s": first_s + 0.01} if answer == "UP" else {}
    return AttemptRecord("r", "s", False, first_s, first_s, ended_s=end_s, answer=answer, **(values | over))


def rules(one: RequestRecord, *attempts: AttemptRecord, **over) -> list[str]:
    record = RunRecord(requests=[one], attempts=list(attempts), **over)
    limits = soak.limits_of(FleetShape(window_ms=500.0, drain_grace_ms=2500.0))
    return [violation.invariant for violation in check(record, limits).violations]


def test_valid_request_violates_nothing() -> None:
    assert rules(request(), attempt()) == []
    assert rules(request(answer="BUSY 300"), attempt(end_s=10.05, answer="BUSY")) == []
    assert rules(request(answer="", left_s=10.02, end=ConnectionEnd.LEFT), attempt(end_s=10.05, answer="")) == []


@pytest.mark.parametrize(
    ("broken", "expected"),
    [
        (lambda: rules(request(answer="", end=ConnectionEnd.RESET)), [Invariant.FINAL_ANSWER]),
        (lambda: rules(request(answered_s=11.6), attempt()), [Invariant.FINAL_ANSWER]),
        (lambda: rules(request(resumes_at="s", answer="BUSY 300")), [Invariant.FINAL_ANSWER]),
        (lambda: rules(request(answer="HELLO")), [Invariant.PROTOCOL_ANSWER]),
        (lambda: rules(request(unexpected="b'x'"), attempt()), [Invariant.PROTOCOL_ANSWER]),
        (lambda: rules(request(is_migrated=False), attempt()), [Invariant.CONNECTION_KEPT]),
        (lambda: rules(request(), attempt(10.0, 10.9, ""), attempt(10.5)), [Invariant.SINGLE_ATTEMPT]),
        (
            lambda: rules(request(idempotency=Idempotency.UNSAFE), attempt(10.0, 10.2, "ERR"), attempt(10.3)),
            [Invariant.SINGLE_EXECUTION],
        ),
        (
            lambda: rules(request(idempotency=Idempotency.KEYED), attempt(10.0, 10.2, "ERR"), attempt(10.6)),
            [Invariant.SINGLE_EXECUTION],
        ),
        (
            lambda: rules(request(idempotency=Idempotency.UNSAFE, answer="BUSY 9"), attempt(10.0, 10.2, "ERR")),
            [Invariant.NO_REJECT_AFTER_EXECUTION],
        ),
        (lambda: rules(request(answer="", left_s=10.1), attempt(10.5, 10.6, "")), [Invariant.CLIENT_PRESENT]),
    ],
)
def test_each_violation_is_reported(broken, expected: list[str]) -> None:
    assert broken() == expected


def test_kills_and_ended_servers_excuse_and_nothing_else_does() -> None:
    lost, cut = request(answer="", end=ConnectionEnd.RESET), request(is_migrated=False)
    assert rules(lost, faults=[kill_record(0, 10.5)]) == [] and rules(lost, faults=[kill_record(1, 10.5)]) == [
        Invariant.FINAL_ANSWER
    ]
    assert rules(lost, faults=[FaultRecord("terminate", frozenset({"balancer:0"}), 10.0, 15.0, frozenset())]) == [
        Invariant.FINAL_ANSWER
    ]
    assert rules(cut, attempt(ended_by_server=True)) == [] and rules(cut, attempt(hung_s=12.0)) == []
    assert rules(cut, attempt(hung_s=16.0)) == [Invariant.CONNECTION_KEPT]


def test_drain_grace_counts_from_the_notice() -> None:
    told = [ListedRecord(0, "s", EndpointStatus.SERVING, 1.0), ListedRecord(0, "s", EndpointStatus.DRAINING, 7.0)]
    assert rules(request(), attempt(), listed=told) == [Invariant.DRAIN_GRACE]
    assert rules(request(), attempt(), listed=[*told, ListedRecord(0, "s", EndpointStatus.SERVING, 9.0)]) == []
    assert rules(request(), attempt(), listed=[ListedRecord(0, "s", EndpointStatus.DRAINING, 8.0)]) == []
    assert rules(request(), attempt(), listed=[ListedRecord(1, "s", EndpointStatus.DRAINING, 1.0)]) == []


def test_open_half_request_is_a_violation() -> None:
    kept, closed = HalfRequestRecord(0, 10.0, 14.0), HalfRequestRecord(0, 10.0, 12.0)
    assert rules(request(), attempt(), half_requests=[kept, closed]) == [Invariant.HALF_REQUEST_CLOSED]


def test_plan_depends_on_its_seed_and_all_kinds_are_drawn() -> None:
    assert draw(7) == draw(7) != draw(8)
    drawn = {fault.kind for seed in range(60) for fault in draw(seed).faults}
    assert drawn == set(FaultKind)
    plan = draw(7)
    assert len(plan.without(plan.faults[0]).faults) == len(plan.faults) - 1


def test_short_soak_has_no_violation() -> None:
    context = multiprocessing.get_context("spawn")
    with concurrent.futures.ProcessPoolExecutor(2, mp_context=context) as pool:
        results = list(pool.map(soak.run_seed, SHORT_SEEDS, [8.0] * len(SHORT_SEEDS)))
    assert all(result.is_clean for result in results), "\n".join(result.text() for result in results)
    assert sum(result.answers["UP"] for result in results) > 500
