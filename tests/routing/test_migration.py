"""Migration off draining, overloaded and slow servers."""

from __future__ import annotations

from conftest import SECOND

from glenrock.routing import interface

from .scenarios import ENOUGH_ROUNDS, receive_summary, run_rounds, with_loaded_servers


def test_clients_of_a_draining_server_migrate_in_parts(make_harness) -> None:
    harness = make_harness(names=("a:1",))
    names = [harness.send_request(key=n) for n in range(8)]
    for name in names:
        harness.establish(name)
    harness.deliver(
        interface.EndpointList(
            interface.EndpointListKind.CHANGES, (interface.Endpoint("a:1", interface.EndpointState.DRAINING),)
        )
    )
    moved: list[str] = []
    paces = []
    for _ in range(4):
        now = [a.request_id for a in harness.advance(SECOND // 2) if isinstance(a, interface.Migrate)]
        paces.append(len(now))
        moved += now
        for name in now:
            harness.end_attempt(name, interface.AttemptOutcome.CANCELLED, is_final=True)
    assert sorted(moved) == sorted(names)
    assert max(paces) <= 4, "not all at once"


def test_server_that_is_ready_again_keeps_its_clients(make_harness) -> None:
    harness = make_harness(names=("a:1",))
    harness.establish(harness.send_request(key=1))
    harness.deliver(
        interface.EndpointList(
            interface.EndpointListKind.CHANGES, (interface.Endpoint("a:1", interface.EndpointState.DRAINING),)
        )
    )
    harness.list_servers("a:1")
    assert not [a for a in harness.advance(3 * SECOND) if isinstance(a, interface.Migrate)]


def test_single_overloaded_server_is_relieved_down_to_the_load_of_the_others(make_harness) -> None:
    loads = {"a:1": 0.3, "b:1": 0.3, "c:1": 0.3, "d:1": 0.3, "e:1": 1.5}
    harness = with_loaded_servers(make_harness, loads, connections_each=10)
    moved = {a.request_id for a in run_rounds(harness, loads, 1) if isinstance(a, interface.Migrate)}
    assert len(moved) >= 6, "down to half of its capacity"
    assert moved <= set(harness.balancer.servers["e:1"].connections)


def test_server_that_lost_capacity_is_emptied_before_it_is_full(make_harness) -> None:
    loads = {"a:1": 0.25, "b:1": 0.25, "c:1": 0.25, "d:1": 0.25}
    harness = with_loaded_servers(make_harness, loads, connections_each=10)
    assert not [a for a in run_rounds(harness, loads, ENOUGH_ROUNDS) if isinstance(a, interface.Migrate)]
    moved = {a.request_id for a in run_rounds(harness, loads | {"d:1": 0.9}, 3) if isinstance(a, interface.Migrate)}
    assert len(moved) >= 6 and moved <= set(harness.balancer.servers["d:1"].connections)


def test_reports_from_before_a_start_do_not_make_servers_slow(make_harness) -> None:
    loads = {name: 0.75 for name in ("a:1", "b:1", "c:1", "d:1")}
    harness = with_loaded_servers(make_harness, loads, connections_each=10)
    run_rounds(harness, {name: 0.15 for name in loads}, 2)
    assert not [a for a in run_rounds(harness, loads, 12) if isinstance(a, interface.Migrate)]
    assert min(s.capacity_ratio for s in harness.balancer.servers.values()) > 0.8


def test_clients_of_a_drained_balancer_do_not_make_servers_slow(make_harness) -> None:
    loads = {name: 0.75 for name in ("a:1", "b:1", "c:1", "d:1")}
    harness = with_loaded_servers(make_harness, loads, connections_each=10)
    for active in [harness.balancer.sessions.active_load] * ENOUGH_ROUNDS + [0.0] * ENOUGH_ROUNDS:
        receive_summary(harness, 1, active, 10)
        assert not [a for a in run_rounds(harness, loads, 1) if isinstance(a, interface.Migrate)]
    assert min(s.capacity_ratio for s in harness.balancer.servers.values()) > 0.8
