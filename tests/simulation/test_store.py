"""The store that servers call at the end of each set-up, backoff of clients, and health checks of a full server."""

from __future__ import annotations

from itertools import pairwise

import pytest
from hypothesis import given
from hypothesis import strategies as st

from glenrock.routing import interface
from glenrock.simulation import spec
from glenrock.simulation.engine import SECOND_US
from glenrock.simulation.fleet_simulation import FleetSimulation
from glenrock.simulation.model.requests import Client
from glenrock.simulation.model.store import Store

from .rig import EXPERIMENTS, ScriptedPolicy, events_of, small_simulation


@given(st.lists(st.integers(0, 300_000), max_size=40), st.floats(1, 100))
def test_store_answers_calls_in_order_and_at_its_rate(gaps_us: list[int], calls_per_s: float) -> None:
    store = Store(calls_per_s, 5_000)
    now_us = 0
    due_us: list[int] = []
    for gap_us in gaps_us:
        now_us += gap_us
        due_us.append(store.call(now_us))
        assert due_us[-1] >= now_us + 5_000
    assert all(later - earlier >= SECOND_US / calls_per_s - 1 for earlier, later in pairwise(due_us))
    assert Store(0, 5_000).call(now_us) == now_us


def test_setups_wait_for_a_slow_store() -> None:
    simulation = small_simulation(make_policy=ScriptedPolicy, store={"headroom": 0.5}, length_s=6.0)
    summary = simulation.run()
    assert simulation.store.calls > 5
    unlimited = small_simulation(make_policy=ScriptedPolicy, length_s=6.0).run()
    p99_ms = min(waits["p99_ms"] for waits in summary["setup"].values())
    assert p99_ms > 2 * max(waits["p99_ms"] for waits in unlimited["setup"].values())


@pytest.mark.parametrize(("backoff", "factors"), [("none", (0, 0)), ("fixed", (1, 1)), ("double", (1, 4))])
def test_retry_delays_follow_the_configured_backoff(backoff: str, factors: tuple[int, int]) -> None:
    simulation = small_simulation(clients={"backoff": backoff, "backoff_ms": 100.0, "retries": 3})
    planned = next(iter(simulation.workload.clients))
    for failures, expected in zip((1, 3), factors, strict=True):
        client = Client(planned, failures=failures)
        delays_us = [simulation.client_delays.delay_after_failure(client) for _ in range(200)]
        assert sum(delays_us) / 200 == pytest.approx(expected * 100_000, rel=0.15)


def test_health_check_that_does_not_wait_is_answered_by_a_full_server() -> None:
    for waits, outcome in ((True, "timeout"), (False, "served")):
        simulation = small_simulation(make_policy=ScriptedPolicy, reports={"probe_waits": waits})
        simulation.prepare()
        balancer, server = simulation.balancers[0], next(iter(simulation.servers.values()))
        server.backlog = 5 * server.capacity(simulation.engine.now)
        server.advance(simulation.engine.now)
        simulation.send_health_check(balancer, server.name)
        simulation.engine.run(simulation.engine.now + SECOND_US)
        results = [event for event in events_of(balancer) if isinstance(event, interface.HealthCheckResult)]
        assert [event.outcome for event in results] == [outcome]


def test_clients_are_connected_again_soon_after_all_servers_were_slow() -> None:
    """Guards against a retry storm that keeps clients unconnected after all servers were slow for 8 s."""
    connected_fractions = []
    for seed in (4, 5, 7):
        overrides = {"faults[0].at_s": 8.0, "faults[0].for_s": 8.0, "length_s": 30.0}
        simulation = FleetSimulation(spec.load(EXPERIMENTS / "one-room-slow.toml", overrides), seed)
        simulation.prepare()
        simulation.engine.run(simulation.start_us + 24 * SECOND_US)
        connected_fractions.append(
            len(simulation.connected_clients)
            / sum(client.arrival_us <= 24 * SECOND_US < client.end_us for client in simulation.workload.clients)
        )
    assert sum(connected_fractions) / 3 > 0.6, connected_fractions
