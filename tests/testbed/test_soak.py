"""Invariants on records made by hand, plans of soaks, and a short soak."""

from __future__ import annotations

import concurrent.futures
import multiprocessing
from collections.abc import Sequence
from dataclasses import replace

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
    StallRecord,
)
from glenrock.testbed.testbed import FleetShape

SHORT_SEEDS = (3, 4, 6, 9, 20, 22)  # among them small fleets, 3,200 names, unsafe classes and twelve processes


REQUEST = RequestRecord(
    "r",
    0,
    deadline_ms=1000.0,
    sent_s=10.0,
    answer="UP x",
    answered_s=10.1,
    answers=1,
    is_migrated=True,
    end=ConnectionEnd.FINISHED,
    ended_s=15.0,
)
UNANSWERED = replace(REQUEST, answer="", answered_s=NEVER, answers=0)


def attempt(first_s: float = 10.01, end_s: float = 15.0, answer: str = "UP") -> AttemptRecord:
    up_s = first_s + 0.01 if answer == "UP" else NEVER
    return AttemptRecord("r", "s", False, first_s, first_s, up_s=up_s, ended_s=end_s, answer=answer)


def violated(
    request: RequestRecord,
    *attempts: AttemptRecord,
    faults: Sequence[FaultRecord] = (),
    listed: Sequence[ListedRecord] = (),
    half_requests: Sequence[HalfRequestRecord] = (),
    stalls: Sequence[StallRecord] = (),
) -> list[Invariant]:
    """Returns the invariants that a run with these records violates."""
    record = RunRecord(
        requests=[request],
        attempts=list(attempts),
        faults=list(faults),
        listed=list(listed),
        half_requests=list(half_requests),
        stalls=list(stalls),
    )
    limits = soak.limits_of(FleetShape(window_ms=500.0, drain_grace_ms=2500.0))
    return [violation.invariant for violation in check(record, limits).violations]


def test_valid_request_violates_nothing() -> None:
    rejected = replace(REQUEST, answer="BUSY 300")
    left = replace(UNANSWERED, left_s=10.02, end=ConnectionEnd.LEFT)
    assert violated(REQUEST, attempt()) == []
    assert violated(rejected, attempt(end_s=10.05, answer="BUSY")) == []
    assert violated(left, attempt(end_s=10.05, answer="")) == []


@pytest.mark.parametrize(
    ("stalls", "is_in_time"),
    [
        ([], False),
        ([StallRecord(0, 10.1, 10.25)], True),
        ([StallRecord(1, 10.1, 10.25)], False),  # of another balancer
        ([StallRecord(0, 9.9, 10.05)], False),  # two thirds of it before the request
        ([StallRecord(0, 9.9, 10.05), StallRecord(0, 11.5, 11.65)], True),
        ([StallRecord(0, 11.56, 11.71)], False),  # after the time at which the answer was due
    ],
)
def test_answer_is_due_later_by_the_time_for_which_its_balancer_was_stopped(
    stalls: list[StallRecord], is_in_time: bool
) -> None:
    late = replace(REQUEST, answer="ERR", answered_s=11.65, is_migrated=False, ended_s=11.65)
    expected = [] if is_in_time else [Invariant.FINAL_ANSWER]
    assert violated(late, attempt(end_s=11.0, answer="ERR"), stalls=stalls) == expected


UNSAFE = replace(REQUEST, idempotency=Idempotency.UNSAFE)
KEYED = replace(REQUEST, idempotency=Idempotency.KEYED)


@pytest.mark.parametrize(
    ("request_record", "attempts", "invariant"),
    [
        (replace(UNANSWERED, end=ConnectionEnd.RESET), [], Invariant.FINAL_ANSWER),
        (replace(REQUEST, answered_s=11.6), [attempt()], Invariant.FINAL_ANSWER),
        (replace(REQUEST, resumes_at="s", answer="BUSY 300"), [], Invariant.FINAL_ANSWER),
        (replace(REQUEST, answer="HELLO"), [], Invariant.PROTOCOL_ANSWER),
        (replace(REQUEST, unexpected="b'x'"), [attempt()], Invariant.PROTOCOL_ANSWER),
        (replace(REQUEST, is_migrated=False), [attempt()], Invariant.CONNECTION_KEPT),
        (REQUEST, [attempt(10.0, 10.9, ""), attempt(10.5)], Invariant.SINGLE_ATTEMPT),
        (UNSAFE, [attempt(10.0, 10.2, "ERR"), attempt(10.3)], Invariant.SINGLE_EXECUTION),
        (KEYED, [attempt(10.0, 10.2, "ERR"), attempt(10.6)], Invariant.SINGLE_EXECUTION),
        (replace(UNSAFE, answer="BUSY 9"), [attempt(10.0, 10.2, "ERR")], Invariant.NO_REJECT_AFTER_EXECUTION),
        (replace(UNANSWERED, left_s=10.1), [attempt(10.5, 10.6, "")], Invariant.CLIENT_PRESENT),
    ],
)
def test_each_violation_is_reported(
    request_record: RequestRecord, attempts: list[AttemptRecord], invariant: Invariant
) -> None:
    assert violated(request_record, *attempts) == [invariant]


def test_kills_and_ended_servers_excuse_and_nothing_else_does() -> None:
    lost = replace(UNANSWERED, end=ConnectionEnd.RESET)
    cut_off = replace(REQUEST, is_migrated=False)
    terminated = FaultRecord("terminate", frozenset({"balancer:0"}), 10.0, 15.0, frozenset())
    assert violated(lost, faults=[kill_record(0, 10.5)]) == []
    assert violated(lost, faults=[kill_record(1, 10.5)]) == [Invariant.FINAL_ANSWER]
    assert violated(lost, faults=[terminated]) == [Invariant.FINAL_ANSWER]
    assert violated(cut_off, replace(attempt(), ended_by_server=True)) == []
    assert violated(cut_off, replace(attempt(), hung_s=12.0)) == []
    assert violated(cut_off, replace(attempt(), hung_s=16.0)) == [Invariant.CONNECTION_KEPT]


def listed(balancer: int, status: EndpointStatus, at_s: float) -> ListedRecord:
    return ListedRecord(balancer, "s", status, at_s)


def test_drain_grace_counts_from_the_notice() -> None:
    rows = [listed(0, EndpointStatus.SERVING, 1.0), listed(0, EndpointStatus.DRAINING, 7.0)]
    assert violated(REQUEST, attempt(), listed=rows) == [Invariant.DRAIN_GRACE]
    assert violated(REQUEST, attempt(), listed=[*rows, listed(0, EndpointStatus.SERVING, 9.0)]) == []
    assert violated(REQUEST, attempt(), listed=[listed(0, EndpointStatus.DRAINING, 8.0)]) == []
    assert violated(REQUEST, attempt(), listed=[listed(1, EndpointStatus.DRAINING, 1.0)]) == []


def test_open_half_request_is_a_violation() -> None:
    left_open, closed = HalfRequestRecord(0, 10.0, 14.0), HalfRequestRecord(0, 10.0, 12.0)
    assert violated(REQUEST, attempt(), half_requests=[left_open, closed]) == [Invariant.HALF_REQUEST_CLOSED]


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
