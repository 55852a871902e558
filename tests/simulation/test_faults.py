"""The effect of each kind of fault on servers, balancers, links, discovery and arrivals."""

from __future__ import annotations

from typing import Any

import pytest

from glenrock.simulation import spec, spec_faults
from glenrock.simulation.faults import INJECTORS
from glenrock.simulation.fleet_simulation import FleetSimulation
from glenrock.toml_file import InputFileError

from .rig import EXPERIMENTS, PolicyFactory, ScriptedPolicy, attempts_ended, run_until, small_simulation


def with_fault(
    policy: str = "random",
    make_policy: PolicyFactory | None = None,
    overrides: dict[str, Any] | None = None,
    **fault: Any,
) -> FleetSimulation:
    """Returns a prepared simulation of the small experiment with one fault, whose keys are those of the file."""
    simulation = small_simulation(policy=policy, make_policy=make_policy, faults=[fault], **(overrides or {}))
    simulation.prepare()
    return simulation


def test_every_kind_of_fault_is_injected() -> None:
    assert set(INJECTORS) == set(spec_faults.FAULT_TYPES)


def test_crash_of_a_zone_ends_its_servers_alone() -> None:
    simulation = with_fault(kind="crash", at_s=3.0, part=1.0, down_s=4.0, zone="b")
    run_until(simulation, 3.01)
    is_up_by_zone = {(simulation.zones[server.shape.zone], server.is_up) for server in simulation.servers.values()}
    assert is_up_by_zone == {("a", True), ("b", False)}
    with pytest.raises(InputFileError, match=r"faults\[0\].zone: 'c' is not one of fleet.zones"):
        with_fault(kind="crash", at_s=3.0, zone="c")


@pytest.mark.parametrize("name", ["large-herd", "large-zone", "large-join"])
def test_routing_keeps_the_invariants_in_a_large_fleet(name: str) -> None:
    experiment = spec.load(EXPERIMENTS / f"{name}.toml", {"length_s": 14.0, "fleet.instances": 9})
    summary = FleetSimulation(experiment, 3, "glenrock").run()
    assert summary["failure"] == "" and sum(summary["rules"].values()) == 0
    assert summary["counts"]["attempts"] > 100


def test_crashed_servers_restart_in_slow_start_and_discovery_notices_late() -> None:
    simulation = with_fault(
        kind="crash", at_s=3.0, part=0.5, down_s=4.0, overrides={"discovery": {"notice_s": 1.0, "add_s": 0.5}}
    )
    run_until(simulation, 3.01)
    down = [server for server in simulation.servers.values() if not server.is_up]
    assert len(down) == 2 and not any(server.open_connections for server in down)
    assert all(simulation.feed.endpoints[server.name].state == "ready" for server in down)
    run_until(simulation, 4.2)
    assert all(simulation.balancers[0].endpoints[server.name].state == "gone" for server in down)
    run_until(simulation, 7.1)
    assert all(
        server.is_up
        and server.started_us == simulation.start_us + 7_000_000
        and server.slow_start_fraction(simulation.engine.now) < 0.5
        for server in down
    )
    run_until(simulation, 8.0)
    endpoint = simulation.balancers[0].endpoints[down[0].name]
    assert endpoint.state == "ready" and endpoint.started_us == down[0].started_us


def test_crash_without_restart_stays_down() -> None:
    simulation = run_until(with_fault(kind="crash", at_s=3.0, part=1.0, down_s=0.0), 12.0)
    assert not any(server.is_up for server in simulation.servers.values())
    assert not simulation.connected_clients


def test_partitioned_zone_is_unreachable_and_its_connections_serve_nothing() -> None:
    simulation = with_fault(kind="zone_cut", at_s=3.0, for_s=4.0, zone="b")
    run_until(simulation, 3.0)
    crossing = [
        connection
        for server in simulation.servers.values()
        for connection in server.open_connections.values()
        if simulation.balancers[connection.balancer_index].zone != server.shape.zone
    ]
    assert crossing and all(connection.is_unreachable and connection.load == 0 for connection in crossing)
    assert not simulation.links.is_open(0, 1) and simulation.links.is_open(1, 1)
    uncredited = {connection: connection.uncredited_s for connection in crossing}
    run_until(simulation, 6.9)
    for server in simulation.servers.values():
        server.advance(simulation.engine.now)
    assert all(
        connection.uncredited_s == uncredited_s
        for connection, uncredited_s in uncredited.items()
        if connection.attempt in connection.attempt.server.open_connections
    )
    run_until(simulation, 7.1)
    assert simulation.links.is_open(0, 1)
    assert not any(
        connection.is_unreachable
        for server in simulation.servers.values()
        for connection in server.open_connections.values()
    )


def test_attempts_into_a_partitioned_zone_end_after_the_connect_timeout() -> None:
    class PrefersLast(ScriptedPolicy):
        def select_server(self) -> str:
            return list(self.ready)[-1]  # of the last zone

    simulation = with_fault(make_policy=PrefersLast, kind="zone_cut", at_s=1.0, for_s=10.0)
    run_until(simulation, 5.0)
    ends = [event for event in attempts_ended(simulation.balancers[0]) if event.outcome == "no_connection"]
    assert ends and all(event.latency_us == 200_000 for event in ends)


def test_balancer_roll_restarts_balancers_in_batches() -> None:
    simulation = with_fault(
        kind="balancer_roll",
        at_s=2.0,
        for_s=4.0,
        part=1.0,
        batch=0.25,
        down_s=0.5,
        overrides={"fleet": {"balancers": 4}},
    )
    down = []
    for step in range(24):
        run_until(simulation, 2.05 + step * 0.25)
        down.append(sum(not balancer.is_up for balancer in simulation.balancers))
    assert max(down) == 1 and sum(count > 0 for count in down) >= 6
    assert all(balancer.is_up and balancer.incarnation == 3 for balancer in simulation.balancers)
    assert not simulation.invariants.counts["cut off"]


def test_graceful_balancer_roll_migrates_clients_first() -> None:
    simulation = with_fault(kind="balancer_roll", at_s=2.0, for_s=3.0, part=1.0, batch=0.5, down_s=0.5, hand_back_s=1.0)
    run_until(simulation, 10.0)
    assert simulation.measure.counts["moved"] > 10
    assert not simulation.invariants.counts["cut off"]


def test_dropped_clients_reconnect_within_the_time() -> None:
    simulation = with_fault(kind="reconnect", at_s=4.0, part=0.5, within_s=1.0)
    run_until(simulation, 3.99)
    before = len(simulation.connected_clients)
    run_until(simulation, 4.0)
    assert len(simulation.connected_clients) == pytest.approx(before / 2, abs=2)
    run_until(simulation, 5.5)
    assert len(simulation.connected_clients) > 0.8 * before


def test_slow_servers_have_reduced_capacity_and_servers_at_speed_zero_do_not_answer() -> None:
    simulation = with_fault(kind="slow", at_s=2.0, part=0.5, speed=0.25, for_s=3.0)
    full_capacities = [server.capacity(simulation.engine.now) for server in simulation.servers.values()]
    run_until(simulation, 2.1)
    fractions = [
        server.capacity(simulation.engine.now) / capacity
        for server, capacity in zip(simulation.servers.values(), full_capacities, strict=True)
    ]
    assert sorted(fractions) == pytest.approx([0.25, 0.25, 1, 1])
    run_until(simulation, 5.1)
    assert [server.capacity(simulation.engine.now) for server in simulation.servers.values()] == pytest.approx(
        full_capacities
    )

    simulation = with_fault(make_policy=ScriptedPolicy, kind="slow", at_s=2.0, part=1.0, speed=0.0, for_s=20.0)
    run_until(simulation, 10.0)
    late = [event for event in attempts_ended(simulation.balancers[0]) if event.outcome == "timeout"]
    assert late and all(event.latency_us > 1_000_000 for event in late)


def test_discovery_publishes_missed_changes_after_a_silence() -> None:
    simulation = small_simulation(
        faults=[
            {"kind": "discovery_silence", "at_s": 1.0, "for_s": 6.0},
            {"kind": "crash", "at_s": 2.0, "part": 0.5, "down_s": 0.0},
        ],
        discovery={"notice_s": 0.5},
    )
    simulation.prepare()
    run_until(simulation, 6.9)
    assert all(endpoint.state == "ready" for endpoint in simulation.balancers[0].endpoints.values())
    run_until(simulation, 7.2)
    assert sum(endpoint.state == "gone" for endpoint in simulation.balancers[0].endpoints.values()) == 2


def test_balancers_start_with_the_stale_list() -> None:
    simulation = small_simulation(
        faults=[
            {"kind": "crash", "at_s": 1.0, "part": 0.5, "down_s": 0.0},
            {"kind": "discovery_silence", "at_s": 4.0, "for_s": 8.0},
            {"kind": "stale_list", "at_s": 4.0, "for_s": 4.0, "age_s": 10.0},
            {"kind": "balancer_roll", "at_s": 5.0, "for_s": 0.1, "part": 1.0, "batch": 1.0, "down_s": 0.2},
        ],
        discovery={"notice_s": 0.5},
    )
    simulation.prepare()
    run_until(simulation, 4.9)
    assert sum(endpoint.state == "gone" for endpoint in simulation.balancers[0].endpoints.values()) == 2
    run_until(simulation, 6.0)
    assert [endpoint.state for endpoint in simulation.balancers[0].endpoints.values()] == ["ready"] * 4


def count_arrivals(simulation: FleetSimulation, tenant: int, from_s: float, to_s: float) -> int:
    """Returns how many clients of a tenant arrive between two times."""
    return sum(
        from_s <= client.arrival_us / 1e6 < to_s and client.tenant == tenant for client in simulation.workload.clients
    )


def test_flash_crowd_and_tenant_flood_multiply_arrivals() -> None:
    for fault, tenants in (
        ({"kind": "flash_crowd", "times": 5.0}, {0, 1}),
        ({"kind": "tenant_flood", "times": 5.0, "tenant": "two"}, {1}),
    ):
        plain = small_simulation(traffic={"load": 0.6})
        simulation = small_simulation(faults=[{**fault, "at_s": 4.0, "for_s": 4.0}], traffic={"load": 0.6})

        for tenant in (0, 1):
            expected = count_arrivals(plain, tenant, 0, 12) / 12 * 4
            factor = 5 if tenant in tenants else 1
            assert count_arrivals(simulation, tenant, 4, 8) == pytest.approx(factor * expected, rel=0.45)
            assert count_arrivals(simulation, tenant, 8, 12) == count_arrivals(plain, tenant, 8, 12)


def test_deployment_drains_stops_and_starts_servers() -> None:
    simulation = with_fault(
        kind="drains",
        at_s=1.0,
        part=0.5,
        batch=0.25,
        every_s=3.0,
        drain_s=2.0,
        down_s=1.0,
        overrides={"discovery": {"notice_s": 0.3}},
    )
    run_until(simulation, 1.5)
    (draining_server,) = [server for server in simulation.servers.values() if server.is_draining]
    assert draining_server.is_up and simulation.balancers[0].endpoints[draining_server.name].state == "draining"
    run_until(simulation, 3.1)
    assert not draining_server.is_up
    run_until(simulation, 4.5)
    assert (
        draining_server.is_up
        and draining_server.started_us
        and sum(server.is_draining for server in simulation.servers.values()) == 1
    )


def test_peer_messages_are_lost_during_the_fault() -> None:
    simulation = with_fault(policy="glenrock", kind="peer_loss", at_s=3.0, for_s=6.0, loss=1.0)
    run_until(simulation, 3.2)
    before = simulation.measure.counts["peer_bytes"]
    run_until(simulation, 9.0)
    assert simulation.measure.counts["peer_bytes"] == before
    run_until(simulation, 16.0)
    assert simulation.measure.counts["peer_bytes"] > before
