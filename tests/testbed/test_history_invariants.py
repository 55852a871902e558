"""Invariants on written histories: kept, violated, and excused by a fault that accounts for the violation."""

from __future__ import annotations

import pytest

from glenrock.testbed.history import FaultInterval, History
from glenrock.testbed.history_records import check_history
from glenrock.testbed.invariant import InvariantLimits

MS = 1000
LIMITS = InvariantLimits(drain_grace_s=2.0)


def history(*rows) -> History:
    """Rows of milliseconds, party, event, id, data; a row ("fault", from, to, parties) is a spell."""
    h = History(lambda: h.at)  # type: ignore[attr-defined]
    for row in rows:
        if row[0] == "fault":
            h.faults.append(FaultInterval("test", frozenset(row[3:]), row[1] * MS, row[2] * MS))
            continue
        h.at, who, what, id_, data = row[0] * MS, row[1], row[2], row[3], row[4] if len(row) > 4 else {}
        h.note(who, what, id_, **data)
    return h


B, I0, I1 = {"balancer": 0}, "instance:0", "instance:1"
SENT = (0, "clients", "sent", "r", {**B, "d_ms": 1000})
UP = {**B, "answer": "UP", "instance": I0}
TOLD = {**B, "instance": I0, "status": "DRAINING"}
CASES = [
    # rule, history, breaches, excused
    ("answered", [SENT, (900, "clients", "answered", "r", {"answer": "BUSY"})], 0, 0),
    ("answered", [SENT, (1400, "clients", "answered", "r", {"answer": "BUSY"})], 0, 0),  # late, and no more than that
    ("answered", [SENT, (1600, "clients", "answered", "r", {"answer": "BUSY"})], 1, 0),
    ("answered", [SENT, (300, "clients", "closed", "r", B)], 1, 0),
    ("answered", [SENT, (3000, "clients", "silent", "r", B)], 1, 0),
    ("answered", [SENT], 1, 0),
    ("answered", [SENT, (3000, "clients", "silent", "r", B), ("fault", 500, 900, "balancer:0")], 0, 1),
    ("answered", [SENT, (3000, "clients", "silent", "r", B), ("fault", 500, 900, "balancer:1")], 1, 0),
    ("answered", [SENT, (3000, "clients", "silent", "r", B), ("fault", 1600, 1900, "balancer:0")], 1, 0),
    (
        "answered",
        [
            SENT,
            (5, "clients", "answered", "r", {"answer": "BUSY"}),
            (6, "clients", "answered", "r", {"answer": "ERR"}),
            ("fault", 0, 99, "balancer:0"),
        ],
        1,
        0,
    ),
    ("answered", [SENT, (9, "clients", "left", "r")], 0, 0),
    ("repeated", [(0, I0, "line", "r", B), (50, I0, "over", "r", B), (60, I1, "line", "r", B)], 0, 0),
    ("repeated", [(0, I0, "line", "r", B), (60, I1, "line", "r", B), (90, I0, "over", "r", B)], 0, 0),  # in flight
    ("repeated", [(0, I0, "line", "r", B), (60, I1, "line", "r", B), (400, I0, "over", "r", B)], 1, 0),
    ("repeated", [(0, I0, "line", "r", B), (60, I1, "line", "r", B)], 1, 0),
    (
        "repeated",
        [(0, I0, "line", "r", B), (60, I1, "line", "r", B), (400, I0, "over", "r", B), ("fault", 20, 390, I0)],
        0,
        1,
    ),
    (
        "repeated",
        [(0, I0, "line", "r", B), (60, I0, "line", "r", B), (70, I0, "over", "r", B), (400, I0, "over", "r", B)],
        0,
        0,
    ),
    ("drained", [(0, "list", "told", "", TOLD), (1900, I0, "line", "r", B)], 0, 0),
    ("drained", [(0, "list", "told", "", TOLD), (2200, I0, "line", "r", B)], 1, 0),
    ("drained", [(0, "list", "told", "", TOLD), (2200, I0, "line", "r", {"balancer": 1})], 0, 0),
    (
        "drained",
        [
            (0, "list", "told", "", TOLD),
            (2100, "list", "told", "", {**TOLD, "status": "SERVING"}),
            (2200, I0, "line", "r", B),
        ],
        0,
        0,
    ),
    ("drained", [(0, "list", "told", "", TOLD), (2200, I0, "line", "r", B), ("fault", 100, 2150, "balancer:0")], 0, 1),
    ("cold", [(0, I0, "started", ""), (900, I0, "fell", "r", B)], 1, 0),
    ("cut_off", [(0, "clients", "answered", "r", UP), (900, "clients", "ended", "r", {**B, "how": "moved"})], 0, 0),
    ("cut_off", [(0, "clients", "answered", "r", UP), (900, "clients", "ended", "r", {**B, "how": "eof"})], 1, 0),
    (
        "cut_off",
        [
            (0, "clients", "answered", "r", UP),
            (890, I0, "over", "r", {**B, "by": "self"}),
            (900, "clients", "ended", "r", {**B, "how": "eof"}),
        ],
        0,
        0,
    ),
    (
        "cut_off",
        [
            (0, "clients", "answered", "r", UP),
            (890, I0, "over", "r", {**B, "by": "peer"}),
            (900, "clients", "ended", "r", {**B, "how": "reset"}),
            ("fault", 880, 2000, "balancer:0"),
        ],
        0,
        1,
    ),
]


@pytest.mark.parametrize("rule, rows, breaches, excused", CASES)
def test_invariants_on_written_histories(rule, rows, breaches, excused) -> None:
    v = check_history(history(*rows), LIMITS)
    of_rule = [b for b in v.violations if b.invariant == rule]
    assert (len(of_rule), v.excused[rule]) == (breaches, excused), [b.text for b in v.violations]
    assert all(b.details or not b.request_id for b in of_rule)
