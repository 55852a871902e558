"""Whole runs of scenarios: processes of the program under faults, and the invariants."""

from __future__ import annotations

import pytest

from glenrock.testbed import scenario_faults

from .scenarios import played

RUNS = {
    "processes": [
        {"kind": "kill", "at_s": 1.0, "balancer": 0, "down_s": 0.5},
        {"kind": "pause", "at_s": 2.0, "balancer": 1, "for_s": 1.5},
        {"kind": "stop", "at_s": 3.5, "balancer": 2, "down_s": 0.3},
    ],
    "ways": [
        {"kind": "way", "at_s": 1.0, "source": "balancer:0", "target": "instance:*", "for_s": 1.5, "cut": True},
        {"kind": "way", "at_s": 2.0, "source": "instance:1", "target": "balancer:1", "for_s": 1.5, "cut": True},
        {
            "kind": "way",
            "at_s": 1.0,
            "source": "balancer:*",
            "target": "balancer:*",
            "for_s": 4.0,
            "loss": 0.5,
            "doubled": 0.3,
            "disordered": 0.3,
            "delay_ms": 40.0,
        },
        {"kind": "way", "at_s": 3.0, "source": "clients", "target": "balancer:2", "for_s": 1.0, "reset": True},
    ],
    "stand-ins": [
        {"kind": "instance_kill", "at_s": 1.0, "instance": 0, "down_s": 1.0},
        {"kind": "drain", "at_s": 1.5, "instance": 1, "drain_s": 2.5, "down_s": 0.5},
        {"kind": "list_fault", "at_s": 2.0, "how": "refuses", "for_s": 1.0},
        {"kind": "list_fault", "at_s": 3.5, "how": "slow", "for_s": 1.0, "call_ms": 200.0},
    ],
}


@pytest.mark.parametrize("name", RUNS)
def test_invariants_hold_under_faults_and_service_recovers(name) -> None:
    bed, s = played(seed=3, length_s=9.0, faults=RUNS[name])
    assert not s["breaches"], [(b["rule"], b["text"], *b["led"]) for b in s["breaches"]]
    struck = {e.data["kind"] for e in bed.history.each("fault")}
    assert struck == {f["kind"] for f in RUNS[name]}
    assert s["seen"]["answered"] > 20 and s["seen"]["repeated"] > 10, "there were cases to check"
    assert bed.measure.series["standing"][-1] >= 0.6 * (
        bed.measure.series["standing"][-1] + bed.measure.series["line"][-1]
    )
    assert not any(b.is_running for b in bed.balancers)
    if name == "processes":
        assert [b.incarnation for b in bed.balancers] == [2, 1, 2]
        assert s["counts"]["moved"] > 0, "the terminated balancer migrated its clients"
    if name == "ways":
        assert s["counts"]["datagrams_lost"] > 0 and s["counts"]["datagrams"] > 0
    if name == "stand-ins":
        assert s["counts"]["list_refused"] > 0 and s["seen"]["cold"] > 4


def test_run_without_faults_has_no_violation_and_no_excuse() -> None:
    _, s = played(seed=2, length_s=5.0)
    assert not s["breaches"] and not s["excused"] and not s["counts"]["broken"]
    assert s["worth"]["whole"] > 0.9


def test_kill_that_is_not_recorded_is_a_violation(monkeypatch) -> None:
    """The record of a kill is left out, so that its clients count as cut off by the program."""
    strike = scenario_faults.ScenarioFaultPlayer.note_begin
    monkeypatch.setattr(
        scenario_faults.ScenarioFaultPlayer, "note_begin", lambda self, f, *parties, settle_us=0: strike(self, f)
    )
    _, s = played(seed=3, length_s=4.0, faults=[{"kind": "kill", "at_s": 2.0, "balancer": 0, "down_s": 0.5}])
    assert s["rules"]["cut_off"] > 0 and not s["rules"]["repeated"] and not s["excused"]


def test_24_simultaneous_starts_share_a_discovery_service_of_one_call_at_a_time() -> None:
    _, s = played(
        seed=1,
        length_s=6.0,
        fleet={"balancers": 24, "instances": 6},
        traffic={"load": 0.1},
        rig={"known": False, "call_ms": 40.0, "ready_s": 60.0, "admit_s": 1.0},
        faults=[{"kind": "kill", "at_s": 1.0, "balancer": 3, "down_s": 0.5}],
    )
    assert not s["breaches"] and s["list"]["heard"] == 24, s["list"]
    assert s["list"]["calls"] <= 2 * 24 and s["list"]["refused"] <= 12
