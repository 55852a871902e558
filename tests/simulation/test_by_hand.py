"""Manual suspensions and drains in the simulation, and instances that answer ERR: effects and violations."""

from __future__ import annotations

import pytest

from glenrock.routing import interface

from .days import InputFileError, Scripted, day, experiment

OUT = {"kind": "by_hand", "at_s": 2.0, "for_s": 6.0, "restart_s": 3.0, "down_s": 1.0}


def test_the_instance_that_carries_most_is_out_restarted_and_back() -> None:
    d = day(policy="glenrock", faults=[OUT], discovery={"notice_s": 4.0, "add_s": 0.2})
    d.prepare()
    d.engine.run(d.start_us + 2_500_000)
    (name,) = d.balancers[0].suspended_since_us
    most = d.servers[name]
    assert len(d.balancers[1].suspended_since_us) == 1 and most.is_up
    d.engine.run(d.start_us + 5_500_000)
    assert not most.is_up or not most.open_connections
    d.engine.run(d.start_us + 7_900_000)
    assert most.is_up and most.started_us and not most.open_connections, "it runs again, and stays out"
    d.engine.run(d.start_us + 11_900_000)
    assert most.open_connections and not any(h.suspended_since_us for h in d.balancers), (
        "its end, noticed after its start, keeps nobody away"
    )
    assert not any(d.invariants.counts.values())


def test_a_send_to_one_that_is_out_is_a_breach() -> None:
    class Deaf(Scripted):
        def first(self) -> str:
            return max(self.ready)

    s = day(make=Deaf, faults=[{**OUT, "for_s": 9.0, "restart_s": 8.0}], fleet={"instances": 1}).run()
    assert s["rules"]["drained"] > 0


@pytest.mark.parametrize("policy", ["glenrock", "random"])
def test_a_balancer_that_is_sent_away_is_empty_in_three_seconds_and_comes_back(policy: str) -> None:
    d = day(
        policy=policy,
        faults=[{"kind": "send_away", "at_s": 2.0, "for_s": 4.0, "balancer": 1}],
        fleet={"balancers": 2, "zones": ["a"]},
    )
    d.prepare()
    d.engine.run(d.start_us + 2_000_001)
    before = len(d.connected_clients)
    assert any(f.established for f in d.balancers[1].requests.values())
    d.engine.run(d.start_us + 5_300_000)
    assert not any(f.open_attempt() for f in d.balancers[1].requests.values())
    assert len(d.connected_clients) > before / 2 and d.balancers[1].is_up, "its clients are at the other one"
    d.engine.run(d.start_us + 11_900_000)
    assert any(f.established for f in d.balancers[1].requests.values()) and not any(d.invariants.counts.values())


def test_the_module_is_told_of_both() -> None:
    seen: list[interface.Event] = []

    class Ear(Scripted):
        def on(self, e: interface.Event) -> list[interface.Action]:
            seen.append(e)
            return super().on(e)

    day(make=Ear, faults=[OUT, {"kind": "send_away", "at_s": 2.0}]).run()
    assert [e.is_suspended for e in seen if isinstance(e, interface.OperatorOverride)] == [True, True, False, False]
    assert [e.is_draining for e in seen if isinstance(e, interface.DrainMode)] == [True, False]


def test_set_ups_fail_for_a_while_with_the_chance_that_is_given() -> None:
    def errors(chance: float) -> tuple[int, int]:
        d = day(make=Scripted, faults=[{"kind": "errs", "at_s": 2.0, "for_s": 4.0, "part": 1.0, "chance": chance}])
        d.run()
        failed = sum(h.outcomes.get("failed", 0) for h in d.balancers)
        return failed, sum(h.outcomes.get("up", 0) for h in d.balancers)

    never, half, always = errors(0.0), errors(0.5), errors(1.0)
    assert never[0] < half[0] < always[0] and always[1] > 0, "outside of these four seconds they stand"


def test_a_drain_names_a_balancer_that_each_day_has() -> None:
    with pytest.raises(InputFileError, match=r"faults\[0\].balancer: there is no such balancer"):
        experiment(fleet={"balancers": [1, 3]}, faults=[{"kind": "send_away", "at_s": 2.0, "balancer": 1}])
