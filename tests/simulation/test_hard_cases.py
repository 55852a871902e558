"""Races and extreme cases: messages that cross, stale load reports, crashes during set-ups, invalid policies."""

from __future__ import annotations

from collections.abc import Callable, Sequence

import pytest

from glenrock.routing import Balancer, admission, interface
from glenrock.simulation.engine import HeapEngine

from .rig import ScriptedPolicy, attempts_ended, events_of, run_until, small_simulation


def test_calls_due_at_one_time_run_in_the_order_of_their_scheduling() -> None:
    engine = HeapEngine(100)
    calls: list[object] = []
    for number in range(5):
        engine.at(200, calls.append, number)
    engine.at(150, lambda: engine.at(200, calls.append, "later"))
    engine.at(50, calls.append, "time in the past")
    engine.run(200)
    assert calls == ["time in the past", 0, 1, 2, 3, 4, "later"]
    assert engine.now == 200 and engine.events == 8


def test_crash_during_a_setup_breaks_the_attempt_and_leaves_nothing() -> None:
    long_setups = [{"name": "job", "setup_ms": 4000.0, "setup_spread": "fixed", "give_up_ms": 9000.0}]
    simulation = small_simulation(
        make_policy=ScriptedPolicy,
        classes=long_setups,
        faults=[{"kind": "crash", "at_s": 2.0, "part": 1.0, "down_s": 0.5}],
    )
    simulation.prepare()
    run_until(simulation, 1.99)
    pending = [
        attempt
        for server in simulation.servers.values()
        for attempt, is_set_up in server.pending_attempts.items()
        if not is_set_up
    ]
    assert pending
    run_until(simulation, 2.05)
    broken = {
        event.request_id
        for balancer in simulation.balancers
        for event in attempts_ended(balancer)
        if event.outcome == "broken"
    }
    assert broken >= {attempt.request.id for attempt in pending}
    assert not any(
        server.pending_attempts or server.queue or server.running_setups
        for server in simulation.servers.values()
        if not server.is_up
    )
    run_until(simulation, 9.0)  # set-ups of the old process must not finish in the new one
    assert all(server.running_setups >= 0 and server.setup_work_rate >= 0 for server in simulation.servers.values())


def test_servers_that_restart_during_a_partition_violate_no_invariant() -> None:
    simulation = small_simulation(
        policy="glenrock",
        length_s=20.0,
        fleet={"balancers": 2, "instances": 6},
        faults=[
            {"kind": "zone_cut", "at_s": 3.0, "for_s": 8.0},
            {"kind": "crash", "at_s": 4.0, "part": 0.5, "down_s": 2.0},
        ],
        discovery={"notice_s": 0.5},
    )
    summary = simulation.run()
    assert not summary["failure"] and not any(summary["rules"].values())
    assert sum(1 for server in simulation.servers.values() if server.started_us) == 3


def test_killed_balancer_starts_with_an_empty_waiting_queue() -> None:
    simulation = small_simulation(
        policy="glenrock",
        length_s=20.0,
        traffic={"load": 1.6},
        fleet={"balancers": 1, "instances": 2},
        faults=[{"kind": "balancer_roll", "at_s": 10.0, "for_s": 0.1, "part": 1.0, "batch": 1.0, "down_s": 0.5}],
    )
    simulation.prepare()
    run_until(simulation, 9.9)
    (balancer,) = simulation.balancers
    assert isinstance(balancer.policy, Balancer)
    assert balancer.policy.waiting_queue
    run_until(simulation, 10.2)
    assert not balancer.is_up
    run_until(simulation, 10.6)
    assert balancer.is_up and isinstance(balancer.policy, Balancer)
    assert not balancer.policy.waiting_queue and balancer.policy.servers
    simulation.engine.run(simulation.start_us + 24_000_000)
    assert not any(simulation.invariants.counts.values()), simulation.invariants.violations


def test_load_report_may_be_older_than_the_restart() -> None:
    simulation = small_simulation(
        reports={"period_ms": 400.0, "delay_ms": 300.0, "noise": 0.0},
        faults=[{"kind": "crash", "at_s": 3.0, "part": 1.0, "down_s": 0.1}],
    )
    simulation.prepare()
    run_until(simulation, 3.15)
    for server in simulation.servers.values():
        report = server.load_report_at(simulation.engine.now - 300_000)
        reported_us = next(at_us for at_us, found in server.load_reports if found is report)
        assert server.is_up and reported_us < server.started_us and report["inflight"] > len(server.open_connections)
    run_until(simulation, 4.5)
    for server in simulation.servers.values():
        report = server.load_report_at(simulation.engine.now - 300_000)
        assert next(at_us for at_us, found in server.load_reports if found is report) > server.started_us


def test_retry_that_crosses_the_late_answer_of_its_first_request() -> None:
    """A client that disconnects and retries before its first request is answered must end up with one connection."""
    slow_setups = [{"name": "job", "setup_ms": 300.0, "setup_spread": "fixed"}]
    simulation = small_simulation(
        make_policy=ScriptedPolicy,
        classes=slow_setups,
        clients={"impatient": 1.0, "backoff_ms": 1.0},
        network={"client_ms": 30.0},
        kinds=[{"name": "k", "cores": 64}],
    )
    summary = simulation.run()
    assert summary["counts"]["left"] > 20
    connections = [
        connection for server in simulation.servers.values() for connection in server.open_connections.values()
    ]
    assert len({connection.attempt.request.client for connection in connections}) == len(connections), (
        "a client is connected twice"
    )
    assert all(connection.attempt.request.client.connection is connection for connection in connections)
    assert not any(summary["rules"].values())


def test_migration_that_crosses_the_end_of_a_connection_ends_each_attempt_once() -> None:
    class MigratesRepeatedly(ScriptedPolicy):
        """Migrates each connection several times, including connections that have ended."""

        def __init__(self, settings: interface.Settings, seed: int) -> None:
            super().__init__(settings, seed)
            self.request_ids: list[str] = []

        def on_event(self, event: interface.Event) -> list[interface.Action]:
            actions = super().on_event(event)
            if isinstance(event, interface.ConnectionEstablished):
                self.request_ids.append(event.request_id)
            return [*actions, *(interface.Migrate(request_id) for request_id in self.request_ids[-3:])]

    simulation = small_simulation(make_policy=MigratesRepeatedly, clients={"move_ms": 5.0})
    summary = simulation.run()
    assert summary["counts"]["moved"] > 50
    ends = [
        (event.request_id, event.attempt_number)
        for balancer in simulation.balancers
        for event in attempts_ended(balancer)
    ]
    assert len(ends) == len(set(ends)), "an attempt ended twice"
    assert not any(summary["rules"].values())


def test_gossip_arrives_after_its_sender_was_killed() -> None:
    class SendsTimeToPeers(ScriptedPolicy):
        def on_event(self, event: interface.Event) -> list[interface.Action]:
            actions = super().on_event(event)
            if isinstance(event, interface.Request):
                actions.append(interface.SendGossip(b"%d" % self.now_us))
            return actions

    simulation = small_simulation(
        make_policy=SendsTimeToPeers,
        network={"peer_ms": 0.0, "peer_loss": 0.0, "cross_ms": 400.0, "jitter": 0.0},
        faults=[{"kind": "balancer_roll", "at_s": 5.0, "for_s": 0.1, "part": 0.5, "batch": 0.5, "down_s": 3.0}],
    )
    simulation.prepare()
    run_until(simulation, 5.0)
    (killed,) = [balancer for balancer in simulation.balancers if not balancer.is_up]
    (running,) = [balancer for balancer in simulation.balancers if balancer.is_up]
    run_until(simulation, 5.39)
    gossip = [event for event in events_of(running) if isinstance(event, interface.GossipReceived)]
    late = [event for event in gossip if int(event.data) > simulation.start_us + 4_620_000]
    assert late and all(event.peer_index == killed.index for event in late)


def test_all_servers_gone_rejects_without_violation() -> None:
    summary = small_simulation(
        policy="glenrock", faults=[{"kind": "crash", "at_s": 3.0, "part": 1.0, "down_s": 0.0}]
    ).run()
    assert not summary["failure"] and not any(summary["rules"].values())
    assert summary["counts"]["refused"] > 0 and summary["recovery_s"][0]["recovery_s"] is None


def test_clock_above_2_to_the_53() -> None:
    default_clock = small_simulation(policy="glenrock", seed=2).run()
    high_clock = small_simulation(policy="glenrock", seed=2, clock_start_s=(2**53 + 1) / 1e6 * 1.5).run()
    assert not high_clock["failure"] and not any(high_clock["rules"].values())
    assert high_clock["worth"]["whole"] == pytest.approx(default_clock["worth"]["whole"], abs=0.02)


def raise_error(request: interface.Request) -> list[interface.Action]:
    """Raises an exception, as a faulty policy would."""
    raise ValueError("invalid policy")


@pytest.mark.parametrize(
    "act",
    [
        raise_error,
        lambda request: ["nonsense"],
        lambda request: [interface.StartAttempt(request.request_id, "nowhere:1", 5)],
        lambda request: [interface.SendHealthCheck("nowhere:1")],
        lambda request: [interface.SendGossip(bytes(257))],
        lambda request: [interface.CancelAttempt("x", 0)],
    ],
    ids=["raises", "no_action", "unknown_server", "unknown_health_check", "long_gossip", "unknown_request"],
)
def test_invalid_policy_ends_the_run_with_its_reason(
    act: Callable[[interface.Request], list[interface.Action]],
) -> None:
    class InvalidPolicy(ScriptedPolicy):
        def on_request(self, request: interface.Request) -> list[interface.Action]:
            return act(request)

    summary = small_simulation(make_policy=InvalidPolicy).run()
    assert summary["failure"] and summary["worth"] is None
    assert "\n" not in summary["failure"]


def test_constants_are_overridden_for_the_run_alone() -> None:
    default = admission.CAP_CUT_FACTOR
    values_in_run: list[float] = []

    class RecordsConstant(Balancer):
        def handle(self, now_us: int, events: Sequence[interface.Event]) -> list[interface.Action]:
            values_in_run.append(admission.CAP_CUT_FACTOR)
            return super().handle(now_us, events)

    small_simulation(make_policy=RecordsConstant, constants={"CAP_CUT": 0.5}).run()
    assert set(values_in_run) == {0.5}
    assert default == admission.CAP_CUT_FACTOR
