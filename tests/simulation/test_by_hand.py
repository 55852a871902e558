"""Operators' suspensions and drains in the simulation, and servers that answer ERR: effects and violations."""

from __future__ import annotations

import pytest

from glenrock.routing import interface
from glenrock.simulation.model.requests import RequestOutcome
from glenrock.toml_file import InputFileError

from .rig import ScriptedPolicy, small_experiment, small_simulation

SUSPENSION = {"kind": "by_hand", "at_s": 2.0, "for_s": 6.0, "restart_s": 3.0, "down_s": 1.0}


def test_busiest_server_is_suspended_restarted_and_used_again() -> None:
    simulation = small_simulation(policy="glenrock", faults=[SUSPENSION], discovery={"notice_s": 4.0, "add_s": 0.2})
    simulation.prepare()
    simulation.engine.run(simulation.start_us + 2_500_000)
    (name,) = simulation.balancers[0].suspended_since_us
    busiest = simulation.servers[name]
    assert len(simulation.balancers[1].suspended_since_us) == 1 and busiest.is_up
    simulation.engine.run(simulation.start_us + 5_500_000)
    assert not busiest.is_up or not busiest.open_connections
    simulation.engine.run(simulation.start_us + 7_900_000)
    assert busiest.is_up and busiest.started_us and not busiest.open_connections, (
        "it is running again and still suspended"
    )
    simulation.engine.run(simulation.start_us + 11_900_000)
    assert busiest.open_connections and not any(balancer.suspended_since_us for balancer in simulation.balancers), (
        "discovery reports its end after its restart; that must not suspend it"
    )
    assert not any(simulation.invariants.counts.values())


def test_attempt_at_a_suspended_server_is_a_violation() -> None:
    class PrefersLast(ScriptedPolicy):
        def select_server(self) -> str:
            return max(self.ready)

    summary = small_simulation(
        make_policy=PrefersLast, faults=[{**SUSPENSION, "for_s": 9.0, "restart_s": 8.0}], fleet={"instances": 1}
    ).run()
    assert summary["rules"]["drained"] > 0


@pytest.mark.parametrize("policy", ["glenrock", "random"])
def test_drained_balancer_is_empty_in_three_seconds_and_accepts_clients_again(policy: str) -> None:
    simulation = small_simulation(
        policy=policy,
        faults=[{"kind": "send_away", "at_s": 2.0, "for_s": 4.0, "balancer": 1}],
        fleet={"balancers": 2, "zones": ["a"]},
    )
    simulation.prepare()
    simulation.engine.run(simulation.start_us + 2_000_001)
    before = len(simulation.connected_clients)
    assert any(request.established_attempt for request in simulation.balancers[1].requests.values())
    simulation.engine.run(simulation.start_us + 5_300_000)
    assert not any(request.open_attempt() for request in simulation.balancers[1].requests.values())
    assert len(simulation.connected_clients) > before / 2 and simulation.balancers[1].is_up, (
        "its clients have moved to the other balancer"
    )
    simulation.engine.run(simulation.start_us + 11_900_000)
    assert any(request.established_attempt for request in simulation.balancers[1].requests.values()) and not any(
        simulation.invariants.counts.values()
    )


def test_policy_receives_operator_overrides_and_drains() -> None:
    seen: list[interface.Event] = []

    class RecordsEvents(ScriptedPolicy):
        def on_event(self, event: interface.Event) -> list[interface.Action]:
            seen.append(event)
            return super().on_event(event)

    small_simulation(make_policy=RecordsEvents, faults=[SUSPENSION, {"kind": "send_away", "at_s": 2.0}]).run()
    assert [event.is_suspended for event in seen if isinstance(event, interface.OperatorOverride)] == [
        True,
        True,
        False,
        False,
    ]
    assert [event.is_draining for event in seen if isinstance(event, interface.DrainMode)] == [True, False]


def test_setups_fail_during_the_fault_with_its_chance() -> None:
    def errors(chance: float) -> tuple[int, int]:
        simulation = small_simulation(
            make_policy=ScriptedPolicy,
            faults=[{"kind": "errs", "at_s": 2.0, "for_s": 4.0, "part": 1.0, "chance": chance}],
        )
        simulation.run()
        failed = sum(balancer.outcomes.get(RequestOutcome.FAILED, 0) for balancer in simulation.balancers)
        return failed, sum(balancer.outcomes.get(RequestOutcome.ESTABLISHED, 0) for balancer in simulation.balancers)

    never, half, always = errors(0.0), errors(0.5), errors(1.0)
    assert never[0] < half[0] < always[0] and always[1] > 0, "set-ups outside these four seconds succeed"


def test_drain_must_name_a_balancer_that_every_seed_has() -> None:
    with pytest.raises(
        InputFileError, match=r"faults\[0\].balancer: no such balancer with the smallest value of fleet.balancers"
    ):
        small_experiment(fleet={"balancers": [1, 3]}, faults=[{"kind": "send_away", "at_s": 2.0, "balancer": 1}])
