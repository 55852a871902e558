"""Coordination of processes that are paused, killed and cut off, and its invariants on written histories."""

from __future__ import annotations

import pytest

from glenrock.testbed.coordination_figures import coordination_figures
from glenrock.testbed.history import History
from glenrock.testbed.history_records import check_history, records_of
from glenrock.testbed.invariant import Invariant, InvariantLimits
from glenrock.toml_file import InputFileError

from .scenarios import played, scene

LEASE_MS = 700.0
TOGETHER = {"lease_ms": LEASE_MS, "ask_ms": 250.0}
STRUCK = ["pause", "kill", "cut", "late", "ban", "ban", "ticket"]


def strikes(kinds: list[str]) -> dict:
    return {"kind": "strikes", "at_s": 5.0, "for_s": 5.0, "each_ms": 150.0, "kinds": kinds}


# Whoever owns sleeps past its term once, whatever is drawn afterwards: a new term and a drain there are in any case.
BEGIN = [
    {"kind": "ban", "at_s": 0.5, "balancer": 1, "instance": 1},
    *({"kind": "pause", "at_s": 1.0 + 1.3 * n, "balancer": n, "for_s": 1.1} for n in range(3)),
    {"kind": "ticket", "at_s": 0.3, "balancer": 2, "for_s": 0.3},
]
RUNS = {
    "sqlite": [*BEGIN, strikes(STRUCK)],
    "consul": [
        *BEGIN,
        strikes([*STRUCK, "store_cut"]),
        {"kind": "store_fault", "at_s": 5.5, "how": "rollback", "for_s": 1.0},
        {"kind": "store_fault", "at_s": 7.0, "how": "loses", "for_s": 0.5},
        {"kind": "store_fault", "at_s": 8.5, "how": "restart", "for_s": 0.4},
    ],
}


@pytest.mark.parametrize("store", RUNS)
def test_coordination_invariants_hold_under_random_faults(store) -> None:
    together = {**TOGETHER, "store": store, "late": 1.3}
    bed, s = played(seed=4, length_s=11.0, together=together, faults=RUNS[store])
    assert not s["breaches"], [(b["rule"], b["text"], *b["led"]) for b in s["breaches"]]
    t = s["together"]
    assert t["terms"] >= 2 and t["struck"] > 8 and s["seen"]["terms"] and s["seen"]["agreed"]
    assert t["told"] + t["told_later"] > 0 and t["drained"] + t["drains_refused"] > 0


def test_overrides_reach_all_by_the_store_and_late_gossip_of_an_old_holder_is_rejected() -> None:
    cut = {"kind": "way", "at_s": 0.0, "source": "balancer:*", "target": "balancer:*", "for_s": 3.0, "cut": True}
    # Later than from an old owner's last mark to a new term.
    late = {**cut, "at_s": 3.0, "for_s": 5.0, "cut": False, "delay_ms": 3000.0}
    bed, s = played(
        seed=1,
        length_s=9.0,
        together={**TOGETHER, "store": "sqlite"},
        faults=[
            cut,
            late,
            {"kind": "ban", "at_s": 1.0, "balancer": 0, "instance": 2},
            {"kind": "ban", "at_s": 3.1, "balancer": 0, "instance": 2, "out": False},
            *({"kind": "pause", "at_s": 4.2 + n % 3, "balancer": n, "for_s": 0.9} for n in range(3)),
        ],
    )
    assert not s["breaches"], [(b["rule"], b["text"], *b["led"]) for b in s["breaches"]]
    assert s["together"]["told"] + s["together"]["told_later"] == 2 and not s["seen"].get("banned")
    assert s["together"]["late"] > 0, "void unless words of an old term were refused"


def test_without_the_store_requests_are_served_and_overrides_apply_locally() -> None:
    bed, s = played(
        seed=2,
        length_s=9.0,
        together={**TOGETHER, "store": "consul"},
        faults=[
            {"kind": "store_fault", "at_s": 0.5, "how": "refuses", "for_s": 5.0},
            {"kind": "ban", "at_s": 1.5, "balancer": 0, "instance": 2},
            {"kind": "ticket", "at_s": 3.0, "balancer": 1},
        ],
    )
    assert not s["breaches"] and s["counts"]["set_up"] > 20, s["breaches"]
    t = s["together"]
    assert (t["told"], t["told_later"], t["drained"], t["drains_refused"]) == (0, 1, 0, 1)
    lines = [
        e for e in bed.history.each("line") if e.party == "instance:2" and e.at_us > bed.history.measured_from_us + 2e6
    ]
    assert not [e for e in lines if e.data["balancer"] == 0]


def history(*events: tuple) -> History:
    clock = [0]
    h = History(lambda: clock[0])
    for at_ms, who, what, data in events:
        clock[0] = at_ms * 1000
        h.note(who, what, "", **data)
    return h


def effect(at_ms: int, term: int, number: int, ok: bool = True, who: str = "balancer:1", order: int = 0) -> tuple:
    return (
        at_ms,
        who,
        "effect",
        {"job": "bans", "term": term, "number": number, "ok": ok, "seen": 5, "order": order or at_ms},
    )


def away(n: int, *at_ms: int) -> list[tuple]:
    return [(at, "front", "away", {"balancer": n}) for at in at_ms]


def heard(at_ms: int, out: bool, status: int = 200) -> tuple:
    return at_ms, "operator", "heard", {"balancer": 0, "instance": "instance:3", "out": out, "status": status}


LINE = "instance:3", "line", {"balancer": 2, "at": False}


@pytest.mark.parametrize(
    "events, broken",
    [
        ([effect(1, 4, 1), effect(2, 5, 1), effect(3, 5, 2), effect(4, 4, 9, ok=False)], ""),
        ([effect(1, 5, 1), effect(2, 4, 7)], "terms"),
        ([effect(1, 5, 1), effect(2, 5, 1)], "terms"),
        ([effect(1, 5, 1, order=2), effect(2, 4, 7, order=1)], ""),
        ([effect(1, 4, 1, order=2), effect(2, 5, 1, order=1)], "terms"),
        ([effect(1, 5, 1), (2, "balancer:1", "started", {}), effect(3, 4, 7, order=1)], "terms"),
        ([effect(1, 5, 1), effect(2, 4, 7, who="balancer:2")], ""),
        ([*away(1, 100, 300, 500), *away(2, 900, 1100)], ""),
        ([*away(1, 100, 300), *away(2, 350, 500)], ""),
        ([*away(1, 100, 300, 500), *away(2, 400, 600)], "tickets"),
        ([*away(1, 100), *away(2, 100)], "tickets"),
        ([heard(100, True), (1000, *LINE)], ""),
        ([heard(100, True), (1300, *LINE)], "banned"),
        ([heard(100, True, 202), (1300, *LINE)], ""),
        ([heard(100, True), (900, "operator", "says", {"instance": "instance:3", "out": False}), (1300, *LINE)], ""),
    ],
)
def test_coordination_invariants_on_written_histories(events, broken) -> None:
    h = history(*sorted(events, key=lambda e: e[0]))
    v = check_history(h, InvariantLimits(2.5, drain_permits=1))
    assert {b.invariant for b in v.violations} == ({broken} if broken else set())
    assert sum(v.cases.values()) > 0 and coordination_figures(h, 1000)["taken"] == sum(
        e.data["ok"] for e in h.each("effect")
    )


def test_disagreement_at_the_end_is_a_violation() -> None:
    h = history(effect(1, 5, 1))
    record = records_of(h)
    record.disagreements = ("balancer 2: {}",)
    v = check_history(h, InvariantLimits(2.5), record)
    assert [b.invariant for b in v.violations] == [Invariant.AGREEMENT] and "balancer 2" in v.violations[0].text


@pytest.mark.parametrize(
    "fault, said",
    [
        ({"kind": "ban", "at_s": 1.0}, "names no store"),
        (strikes(["pause"]), "names no store"),
        ({"kind": "way", "at_s": 1.0, "source": "balancer:0", "target": "store", "cut": True}, "nothing goes from"),
    ],
)
def test_faults_that_need_a_store_are_rejected_without_one(fault, said) -> None:
    with pytest.raises(InputFileError, match=said):
        scene(faults=[fault])
