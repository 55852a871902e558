"""What is easily got wrong: messages that cross, old news, ends in the middle of things."""

from __future__ import annotations

import pytest

from glenrock.routing import interface
from glenrock.simulation.engine import HeapEngine
from glenrock.simulation.fleet_simulation import FleetSimulation

from .days import Scripted, day


def at(d: FleetSimulation, second: float) -> FleetSimulation:
    d.engine.run(d.start_us + round(second * 1e6))
    return d


def test_events_at_one_instant_run_in_the_order_in_which_they_were_scheduled() -> None:
    e, seen = HeapEngine(100), []
    for n in range(5):
        e.at(200, seen.append, n)
    e.at(150, lambda: e.at(200, seen.append, "later"))
    e.at(50, seen.append, "past is now")
    e.run(200)
    assert seen == ["past is now", 0, 1, 2, 3, 4, "later"] and e.now == 200 and e.events == 8


def test_a_crash_in_the_middle_of_a_set_up_breaks_the_attempt_and_leaves_nothing() -> None:
    long = [{"name": "job", "setup_ms": 4000.0, "setup_spread": "fixed", "give_up_ms": 9000.0}]
    d = day(make=Scripted, classes=long, faults=[{"kind": "crash", "at_s": 2.0, "part": 1.0, "down_s": 0.5}])
    d.prepare()
    at(d, 1.99)
    setting = [a for i in d.servers.values() for a, ready in i.pending_attempts.items() if not ready]
    assert setting
    at(d, 2.05)
    events = [e for h in d.balancers for e in h.policy.events]
    ends = [e for e in events if isinstance(e, interface.AttemptEnded) and e.outcome == "broken"]
    assert {e.request_id for e in ends} >= {a.request.id for a in setting}
    assert not any(i.pending_attempts or i.queue or i.running_setups for i in d.servers.values() if not i.is_up)
    at(d, 9.0)  # jobs of the old process do not end in the new one
    assert all(i.running_setups >= 0 and i.setup_work_rate >= 0 for i in d.servers.values())


def test_an_instance_that_returns_cold_during_a_zone_cut_is_unknown_across_it_until_links_are_whole() -> None:
    d = day(
        policy="glenrock",
        length_s=20.0,
        fleet={"balancers": 2, "instances": 6},
        faults=[
            {"kind": "zone_cut", "at_s": 3.0, "for_s": 8.0},
            {"kind": "crash", "at_s": 4.0, "part": 0.5, "down_s": 2.0},
        ],
        discovery={"notice_s": 0.5},
    )
    s = d.run()
    assert not s["failure"] and not any(s["rules"].values())
    assert sum(1 for i in d.servers.values() if i.started_us) == 3


def test_a_balancer_killed_with_clients_in_line_loses_the_line_and_answers_afresh() -> None:
    d = day(
        policy="glenrock",
        length_s=20.0,
        traffic={"load": 1.6},
        fleet={"balancers": 1, "instances": 2},
        faults=[{"kind": "balancer_roll", "at_s": 10.0, "for_s": 0.1, "part": 1.0, "batch": 1.0, "down_s": 0.5}],
    )
    d.prepare()
    at(d, 9.9)
    (host,) = d.balancers
    assert host.policy.waiting_queue
    at(d, 10.2)
    assert not host.is_up
    at(d, 10.6)
    assert host.is_up and not host.policy.waiting_queue and host.policy.servers
    d.engine.run(d.start_us + 24_000_000)
    assert not any(d.invariants.counts.values()), d.invariants.violations


def test_a_report_may_be_older_than_the_restart_that_it_describes() -> None:
    d = day(
        reports={"period_ms": 400.0, "delay_ms": 300.0, "noise": 0.0},
        faults=[{"kind": "crash", "at_s": 3.0, "part": 1.0, "down_s": 0.1}],
    )
    d.prepare()
    at(d, 3.15)
    for i in d.servers.values():
        told = i.load_report_at(d.engine.now - 300_000)
        when = next(at for at, r in i.load_reports if r is told)
        assert i.is_up and when < i.started_us and told["inflight"] > len(i.open_connections)
    at(d, 4.5)
    for i in d.servers.values():
        told = i.load_report_at(d.engine.now - 300_000)
        assert next(at for at, r in i.load_reports if r is told) > i.started_us


def test_a_retry_that_meets_the_late_answer_of_its_first_try() -> None:
    slow = [{"name": "job", "setup_ms": 300.0, "setup_spread": "fixed"}]
    d = day(
        make=Scripted,
        classes=slow,
        clients={"impatient": 1.0, "backoff_ms": 1.0},
        network={"client_ms": 30.0},
        kinds=[{"name": "k", "cores": 64}],
    )
    s = d.run()
    assert s["counts"]["left"] > 20
    held = [c for i in d.servers.values() for c in i.open_connections.values()]
    assert len({c.attempt.request.client for c in held}) == len(held), "a client stands twice"
    assert all(c.attempt.request.client.connection is c for c in held)
    assert not any(s["rules"].values())


def test_a_move_that_crosses_the_end_is_no_end_of_anything_else() -> None:
    class Mover(Scripted):
        """Moves each connection again and again, and those that have ended too."""

        def __init__(self, settings, seed):
            super().__init__(settings, seed)
            self.ids = []

        def on(self, e):
            out = super().on(e)
            if isinstance(e, interface.ConnectionEstablished):
                self.ids.append(e.request_id)
            return out + [interface.Migrate(i) for i in self.ids[-3:]]

    d = day(make=Mover, clients={"move_ms": 5.0})
    s = d.run()
    assert s["counts"]["moved"] > 50
    ends = [
        (e.request_id, e.attempt_number)
        for h in d.balancers
        for e in h.policy.events
        if isinstance(e, interface.AttemptEnded)
    ]
    assert len(ends) == len(set(ends)), "an attempt ended twice"
    assert not any(s["rules"].values())


def test_a_message_outlives_its_sender() -> None:
    class Teller(Scripted):
        def on(self, e):
            told = [interface.SendGossip(b"%d" % self.now)] if isinstance(e, interface.Request) else []
            return super().on(e) + told

    d = day(
        make=Teller,
        network={"peer_ms": 0.0, "peer_loss": 0.0, "cross_ms": 400.0, "jitter": 0.0},
        faults=[{"kind": "balancer_roll", "at_s": 5.0, "for_s": 0.1, "part": 0.5, "batch": 0.5, "down_s": 3.0}],
    )
    d.prepare()
    at(d, 5.0)
    (dead,), (alive,) = [h for h in d.balancers if not h.is_up], [h for h in d.balancers if h.is_up]
    at(d, 5.39)
    gossip = [e for e in alive.policy.events if isinstance(e, interface.GossipReceived)]
    late = [e for e in gossip if int(e.data) > d.start_us + 4_620_000]
    assert late and all(e.peer_index == dead.index for e in late)


def test_all_instances_gone() -> None:
    s = day(policy="glenrock", faults=[{"kind": "crash", "at_s": 3.0, "part": 1.0, "down_s": 0.0}]).run()
    assert not s["failure"] and not any(s["rules"].values())
    assert s["counts"]["refused"] > 0 and s["recovery_s"][0]["recovery_s"] is None


def test_a_clock_past_2_to_the_53() -> None:
    usual = day(policy="glenrock", seed=2).run()
    late = day(policy="glenrock", seed=2, clock_start_s=(2**53 + 1) / 1e6 * 1.5).run()
    assert not late["failure"] and not any(late["rules"].values())
    assert late["worth"]["whole"] == pytest.approx(usual["worth"]["whole"], abs=0.02)


@pytest.mark.parametrize(
    "broken",
    [
        "raise ValueError('no')",
        "return ['nonsense']",
        "return [interface.StartAttempt('x', 'nowhere:1', 5)]",
        "return [interface.SendHealthCheck('nowhere:1')]",
        "return [interface.SendGossip(bytes(257))]",
        "return [interface.CancelAttempt('x', 0)]",
    ],
)
def test_a_policy_that_raises_or_asks_for_what_is_not_there_ends_the_run_with_its_reason(broken: str) -> None:
    class Broken(Scripted):
        def on_request(self, e):
            scope = {"interface": interface}
            exec(f"def act():\n    {broken}", scope)
            out = scope["act"]()
            starts = interface.StartAttempt
            return [starts(e.request_id, a.server_id, 5) if isinstance(a, starts) else a for a in out]

    s = day(make=Broken).run()
    assert s["failure"] and s["worth"] is None
    assert "\n" not in s["failure"]


def test_constants_of_the_module_are_set_for_the_run_alone() -> None:
    from glenrock.routing import Balancer, admission

    before = admission.CAP_CUT_FACTOR
    seen = []

    class Looks(Balancer):
        def handle(self, now_us, events):
            seen.append(admission.CAP_CUT_FACTOR)
            return super().handle(now_us, events)

    day(make=Looks, constants={"CAP_CUT": 0.5}).run()
    assert set(seen) == {0.5} and admission.CAP_CUT_FACTOR == before
