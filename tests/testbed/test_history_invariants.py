"""Invariants on written histories: kept, violated, and excused by a fault that accounts for the violation."""

from __future__ import annotations

from dataclasses import dataclass

import pytest

from glenrock.testbed.endpoint_directory import EndpointStatus
from glenrock.testbed.history_events import (
    AttemptEnded,
    AttemptReceived,
    ClientLeft,
    ClosedUnanswered,
    ConnectionEnded,
    EndCause,
    EndedBy,
    RequestAnswered,
    RequestGivenUp,
    RequestSent,
    ServerListed,
    ServerOverloaded,
    ServerStarted,
)
from glenrock.testbed.history_records import check_history
from glenrock.testbed.invariant import Invariant, InvariantLimits
from glenrock.testbed.records import CLIENTS, DISCOVERY

from .written_history import Row, WrittenFault, write_history

LIMITS = InvariantLimits(drain_grace_s=2.0)
REQUEST, BALANCER, SERVER, OTHER_SERVER = "r", 0, "instance:0", "instance:1"


def sent() -> Row:
    return Row(0, CLIENTS, RequestSent(REQUEST, BALANCER, deadline_ms=1000))


def answered(at_ms: int, answer: str) -> Row:
    return Row(at_ms, CLIENTS, RequestAnswered(REQUEST, BALANCER, answer))


def set_up() -> Row:
    return Row(0, CLIENTS, RequestAnswered(REQUEST, BALANCER, "UP", SERVER))


def given_up(at_ms: int) -> Row:
    return Row(at_ms, CLIENTS, RequestGivenUp(REQUEST, BALANCER))


def connection_ended(cause: EndCause) -> Row:
    return Row(900, CLIENTS, ConnectionEnded(REQUEST, BALANCER, cause))


def received(at_ms: int, server: str = SERVER, balancer: int = BALANCER) -> Row:
    return Row(at_ms, server, AttemptReceived(REQUEST, balancer, is_resumed=False))


def attempt_ended(at_ms: int, ended_by: EndedBy = EndedBy.PEER) -> Row:
    return Row(at_ms, SERVER, AttemptEnded(REQUEST, BALANCER, ended_by))


def listed(at_ms: int, status: EndpointStatus) -> Row:
    return Row(at_ms, DISCOVERY, ServerListed(BALANCER, SERVER, status))


@dataclass(frozen=True)
class Case:
    """A history, and how often an invariant is violated and excused in it."""

    invariant: Invariant
    rows: tuple[Row | WrittenFault, ...]
    violations: int = 0
    excused: int = 0


DRAINING = listed(0, EndpointStatus.DRAINING)
CASES = [
    Case(Invariant.FINAL_ANSWER, (sent(), answered(900, "BUSY"))),
    Case(Invariant.FINAL_ANSWER, (sent(), answered(1400, "BUSY"))),  # late, and no more than that
    Case(Invariant.FINAL_ANSWER, (sent(), answered(1600, "BUSY")), violations=1),
    Case(Invariant.FINAL_ANSWER, (sent(), Row(300, CLIENTS, ClosedUnanswered(REQUEST, BALANCER))), violations=1),
    Case(Invariant.FINAL_ANSWER, (sent(), given_up(3000)), violations=1),
    Case(Invariant.FINAL_ANSWER, (sent(),), violations=1),
    Case(Invariant.FINAL_ANSWER, (sent(), given_up(3000), WrittenFault(500, 900, "balancer:0")), excused=1),
    Case(Invariant.FINAL_ANSWER, (sent(), given_up(3000), WrittenFault(500, 900, "balancer:1")), violations=1),
    Case(Invariant.FINAL_ANSWER, (sent(), given_up(3000), WrittenFault(1600, 1900, "balancer:0")), violations=1),
    Case(
        Invariant.FINAL_ANSWER,
        (sent(), answered(5, "BUSY"), answered(6, "ERR"), WrittenFault(0, 99, "balancer:0")),
        violations=1,
    ),
    Case(Invariant.FINAL_ANSWER, (sent(), Row(9, CLIENTS, ClientLeft(REQUEST, BALANCER)))),
    Case(Invariant.SINGLE_ATTEMPT, (received(0), attempt_ended(50), received(60, OTHER_SERVER))),
    Case(Invariant.SINGLE_ATTEMPT, (received(0), received(60, OTHER_SERVER), attempt_ended(90))),  # in flight
    Case(Invariant.SINGLE_ATTEMPT, (received(0), received(60, OTHER_SERVER), attempt_ended(400)), violations=1),
    Case(Invariant.SINGLE_ATTEMPT, (received(0), received(60, OTHER_SERVER)), violations=1),
    Case(
        Invariant.SINGLE_ATTEMPT,
        (received(0), received(60, OTHER_SERVER), attempt_ended(400), WrittenFault(20, 390, SERVER)),
        excused=1,
    ),
    Case(Invariant.SINGLE_ATTEMPT, (received(0), received(60), attempt_ended(70), attempt_ended(400))),
    Case(Invariant.DRAIN_GRACE, (DRAINING, received(1900))),
    Case(Invariant.DRAIN_GRACE, (DRAINING, received(2200)), violations=1),
    Case(Invariant.DRAIN_GRACE, (DRAINING, received(2200, balancer=1))),
    Case(Invariant.DRAIN_GRACE, (DRAINING, listed(2100, EndpointStatus.SERVING), received(2200))),
    Case(Invariant.DRAIN_GRACE, (DRAINING, received(2200), WrittenFault(100, 2150, "balancer:0")), excused=1),
    Case(
        Invariant.SLOW_START_BUDGET,
        (Row(0, SERVER, ServerStarted(is_warming=True)), Row(900, SERVER, ServerOverloaded(REQUEST, BALANCER))),
        violations=1,
    ),
    Case(Invariant.CONNECTION_KEPT, (set_up(), connection_ended(EndCause.MIGRATED))),
    Case(Invariant.CONNECTION_KEPT, (set_up(), connection_ended(EndCause.FINISHED)), violations=1),
    Case(
        Invariant.CONNECTION_KEPT,
        (set_up(), attempt_ended(890, EndedBy.SERVER), connection_ended(EndCause.FINISHED)),
    ),
    Case(
        Invariant.CONNECTION_KEPT,
        (
            set_up(),
            attempt_ended(890, EndedBy.PEER),
            connection_ended(EndCause.RESET),
            WrittenFault(880, 2000, "balancer:0"),
        ),
        excused=1,
    ),
]


@pytest.mark.parametrize("case", CASES)
def test_invariants_on_written_histories(case: Case) -> None:
    result = check_history(write_history(*case.rows), LIMITS)
    violations = [violation for violation in result.violations if violation.invariant == case.invariant]
    found = [violation.text for violation in result.violations]
    assert (len(violations), result.excused[case.invariant]) == (case.violations, case.excused), found
    assert all(violation.details or not violation.request_id for violation in violations)
