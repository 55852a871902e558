"""The invariants: for each, a policy that violates it on purpose, and the violation in the summary."""

from __future__ import annotations

from typing import Any

import pytest

from glenrock.routing import interface
from glenrock.simulation import policies

from .rig import PolicyFactory, ScriptedPolicy, small_simulation

Summary = dict[str, Any]


def run(make_policy: PolicyFactory, **overrides: Any) -> Summary:
    """Runs the small experiment with a policy. Returns the summary of results."""
    return small_simulation(make_policy=make_policy, **overrides).run()


def only_violation(summary: Summary, rule: str) -> dict[str, Any]:
    """Checks that `rule` was violated and no other. Returns the first violation."""
    assert summary["rules"][rule] > 0
    assert not any(count for name, count in summary["rules"].items() if name != rule), summary["rules"]
    violation: dict[str, Any] = summary["breaches"][0]
    assert violation["rule"] == rule and violation["led"], violation
    return violation


def test_request_without_a_final_answer_is_a_violation() -> None:
    class NeverAnswers(ScriptedPolicy):
        def on_request(self, request: interface.Request) -> list[interface.Action]:
            return []

    violation = only_violation(run(NeverAnswers), "answered")
    assert "no final answer" in violation["text"] and "arrives" in violation["led"][0]


def test_attempt_after_the_final_answer_is_a_violation() -> None:
    class AttemptsAfterAnswer(ScriptedPolicy):
        def on_request(self, request: interface.Request) -> list[interface.Action]:
            return [
                interface.Reject(request.request_id),
                interface.StartAttempt(request.request_id, self.select_server(), 1000),
            ]

    assert "after its end" in only_violation(run(AttemptsAfterAnswer), "answered")["text"]


def test_two_attempts_in_flight_are_a_violation() -> None:
    class AttemptsTwice(ScriptedPolicy):
        def on_request(self, request: interface.Request) -> list[interface.Action]:
            return [*super().on_request(request), interface.StartAttempt(request.request_id, list(self.ready)[1], 1000)]

    assert only_violation(run(AttemptsTwice), "repeated")["text"] == "two attempts at once"


def test_attempt_at_a_draining_server_is_a_violation_after_the_grace_period() -> None:
    class IgnoresState(ScriptedPolicy):
        def select_server(self) -> str:
            return next(iter(self.ready))  # whatever its state in the endpoint list

    summary = run(IgnoresState, faults=[{"kind": "drains", "at_s": 1.0, "part": 1.0, "batch": 1.0, "drain_s": 30.0}])
    assert "draining or suspended" in only_violation(summary, "drained")["text"]
    # Within the grace period, attempts are allowed.
    summary = run(
        IgnoresState, drain_s=2.0, faults=[{"kind": "drains", "at_s": 11.6, "part": 1.0, "batch": 1.0, "drain_s": 30.0}]
    )
    assert not any(summary["rules"].values())


def test_overload_of_a_warming_server_by_informed_balancers_is_a_violation() -> None:
    class PrefersLatestStart(ScriptedPolicy):
        """Sends all requests to the server that started last."""

        latest_started: str | None = None

        def on_event(self, event: interface.Event) -> list[interface.Action]:
            if isinstance(event, interface.EndpointList):
                for entry in event.entries:
                    if entry.started_us:
                        self.latest_started = entry.server_id if entry.state == "ready" else None
            return super().on_event(event)

        def select_server(self) -> str:
            return self.latest_started or super().select_server()

    summary = run(
        PrefersLatestStart,
        faults=[{"kind": "crash", "at_s": 1.0, "part": 0.25, "down_s": 1.0}],
        discovery={"notice_s": 0.2, "add_s": 0.1},
        traffic={"load": 0.9, "connections_per_core": 30.0},
    )
    violation = only_violation(summary, "cold")
    assert "overloaded" in violation["text"] and violation["instance"]


def test_overload_of_a_warming_server_by_uninformed_balancers_is_no_violation() -> None:
    simulation = small_simulation(
        make_policy=ScriptedPolicy,
        faults=[{"kind": "crash", "at_s": 1.0, "part": 1.0, "down_s": 0.1}],
        discovery={"notice_s": 60.0, "add_s": 60.0},
        fleet={"instances": 1},
        traffic={"load": 1.5, "connections_per_core": 30.0},
    )
    summary = simulation.run()
    assert any(server.was_overloaded_while_warming_up for server in simulation.servers.values())
    assert not any(summary["rules"].values())


def test_open_connection_closed_without_migration_is_a_violation() -> None:
    class CancelsOpenConnections(ScriptedPolicy):
        def on_event(self, event: interface.Event) -> list[interface.Action]:
            if isinstance(event, interface.ConnectionEstablished):
                return [interface.CancelAttempt(event.request_id, event.attempt_number)]
            return super().on_event(event)

    assert "without MOVE" in only_violation(run(CancelsOpenConnections), "cut off")["text"]


def test_connection_open_at_the_end_of_a_planned_restart_is_a_violation(monkeypatch: pytest.MonkeyPatch) -> None:
    simulation = small_simulation(
        make_policy=ScriptedPolicy,
        faults=[{"kind": "balancer_roll", "at_s": 2.0, "for_s": 1.0, "part": 1.0, "batch": 1.0, "hand_back_s": 1.0}],
    )
    monkeypatch.setattr(simulation, "migrate", lambda request: None)  # no client migrates
    summary = simulation.run()
    assert summary["rules"]["cut off"] > 0


@pytest.mark.parametrize("policy", policies.POLICIES)
def test_every_policy_keeps_the_invariants_under_several_faults(policy: str) -> None:
    summary = small_simulation(
        7,
        policy,
        traffic={"load": 0.5},
        length_s=25.0,
        fleet={"balancers": 3, "instances": 8},
        faults=[
            {"kind": "balancer_roll", "at_s": 4.0, "for_s": 6.0, "part": 0.9, "batch": 0.3},
            {"kind": "crash", "at_s": 6.0, "part": 0.3, "down_s": 4.0},
            {"kind": "zone_cut", "at_s": 9.0, "for_s": 5.0},
            {"kind": "drains", "at_s": 12.0, "part": 0.4, "batch": 0.2, "every_s": 3.0},
        ],
    ).run()
    # The reference policies have no slow start, so the invariant `cold` holds for the production routing alone.
    violated = [rule for rule, count in summary["rules"].items() if count and (policy == "glenrock" or rule != "cold")]
    assert not summary["failure"] and not violated, summary["breaches"]
    assert summary["worth"]["whole"] > 0.3
