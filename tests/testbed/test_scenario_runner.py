"""Whole runs of scenarios: processes of the program under faults, and the invariants."""

from __future__ import annotations

import pytest

from glenrock.testbed.history import FaultInterval
from glenrock.testbed.history_events import FaultBegan
from glenrock.testbed.scenario import AnyFault
from glenrock.testbed.scenario_faults import ScenarioFaultPlayer

from .scenarios import Table, assert_no_violation, play_small

FAULTS: dict[str, list[Table]] = {
    "processes": [
        {"kind": "kill", "at_s": 1.0, "balancer": 0, "down_s": 0.5},
        {"kind": "pause", "at_s": 2.0, "balancer": 1, "for_s": 1.5},
        {"kind": "stop", "at_s": 3.5, "balancer": 2, "down_s": 0.3},
    ],
    "paths": [
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


@pytest.mark.parametrize("name", FAULTS)
def test_invariants_hold_under_faults_and_service_recovers(name: str) -> None:
    bed, summary = play_small(seed=3, length_s=9.0, faults=FAULTS[name])
    assert_no_violation(summary)
    assert {event.data.kind for event in bed.history.each(FaultBegan)} == {fault["kind"] for fault in FAULTS[name]}
    assert summary["seen"]["answered"] > 20
    assert summary["seen"]["repeated"] > 10
    connected, waiting = bed.measure.series["standing"][-1], bed.measure.series["line"][-1]
    assert connected >= 0.6 * (connected + waiting)
    assert not any(balancer.is_running for balancer in bed.balancers)
    counts = summary["counts"]
    if name == "processes":
        assert [balancer.incarnation for balancer in bed.balancers] == [2, 1, 2]
        assert counts["moved"] > 0, "the terminated balancer migrated its clients"
    if name == "paths":
        assert counts["datagrams_lost"] > 0
        assert counts["datagrams"] > 0
    if name == "stand-ins":
        assert counts["list_refused"] > 0
        assert summary["seen"]["cold"] > 4


def test_run_without_faults_has_no_violation_and_no_excuse() -> None:
    _, summary = play_small(seed=2, length_s=5.0)
    assert_no_violation(summary)
    assert not summary["excused"]
    assert not summary["counts"]["broken"]
    assert summary["worth"]["whole"] > 0.9


def test_kill_that_is_not_recorded_is_a_violation(monkeypatch: pytest.MonkeyPatch) -> None:
    """The parties of a kill are left out of its record, so that its clients count as cut off by the program."""
    note_begin = ScenarioFaultPlayer.note_begin

    def note_without_parties(
        player: ScenarioFaultPlayer, fault: AnyFault, *parties: str, settle_us: int = 0
    ) -> FaultInterval:
        return note_begin(player, fault)

    monkeypatch.setattr(ScenarioFaultPlayer, "note_begin", note_without_parties)
    kill = {"kind": "kill", "at_s": 2.0, "balancer": 0, "down_s": 0.5}
    _, summary = play_small(seed=3, length_s=4.0, faults=[kill])
    assert summary["rules"]["cut_off"] > 0
    assert not summary["rules"]["repeated"]
    assert not summary["excused"]


def test_24_simultaneous_starts_share_a_discovery_service_of_one_call_at_a_time() -> None:
    _, summary = play_small(
        seed=1,
        length_s=6.0,
        fleet={"balancers": 24, "instances": 6},
        traffic={"load": 0.1},
        rig={"known": False, "call_ms": 40.0, "ready_s": 60.0, "admit_s": 1.0},
        faults=[{"kind": "kill", "at_s": 1.0, "balancer": 3, "down_s": 0.5}],
    )
    assert_no_violation(summary)
    discovery = summary["list"]
    assert discovery["heard"] == 24, discovery
    assert discovery["calls"] <= 2 * 24
    assert discovery["refused"] <= 12
