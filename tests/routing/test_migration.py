"""Migration off draining, overloaded and slow servers."""

from __future__ import annotations

from conftest import SECOND, HarnessFactory

from glenrock.routing import interface

from .scenarios import (
    ROUNDS_TO_LEARN_CAPACITY,
    establish_requests,
    migrated_requests,
    receive_summary,
    run_rounds,
    with_loaded_servers,
)

FOUR_SERVERS = ("a:1", "b:1", "c:1", "d:1")


def test_clients_of_a_draining_server_migrate_in_parts(make_harness: HarnessFactory) -> None:
    harness = make_harness(names=("a:1",))
    request_ids = establish_requests(harness, 8)
    harness.list_servers("a:1", kind=interface.EndpointListKind.CHANGES, state=interface.EndpointState.DRAINING)
    migrated: list[str] = []
    counts = []
    for _ in range(4):
        migrated_in_round = migrated_requests(harness.advance(SECOND // 2))
        counts.append(len(migrated_in_round))
        migrated += migrated_in_round
        for request_id in migrated_in_round:
            harness.end_attempt(request_id, interface.AttemptOutcome.CANCELLED, is_final=True)
    assert sorted(migrated) == sorted(request_ids)
    assert max(counts) <= 4, "the clients do not all migrate at once"


def test_server_that_is_ready_again_keeps_its_clients(make_harness: HarnessFactory) -> None:
    harness = make_harness(names=("a:1",))
    harness.establish(harness.send_request(key=1))
    harness.list_servers("a:1", kind=interface.EndpointListKind.CHANGES, state=interface.EndpointState.DRAINING)
    harness.list_servers("a:1")
    assert not migrated_requests(harness.advance(3 * SECOND))


def test_single_overloaded_server_is_relieved_down_to_the_load_of_the_others(make_harness: HarnessFactory) -> None:
    loads = {**dict.fromkeys(FOUR_SERVERS, 0.3), "e:1": 1.5}
    harness = with_loaded_servers(make_harness, loads, connections_each=10)
    migrated = set(migrated_requests(run_rounds(harness, loads, 1)))
    assert len(migrated) >= 6, "its load falls to half of its capacity"
    assert migrated <= set(harness.balancer.servers["e:1"].connections)


def test_server_that_lost_capacity_is_relieved_before_it_is_full(make_harness: HarnessFactory) -> None:
    loads = dict.fromkeys(FOUR_SERVERS, 0.25)
    harness = with_loaded_servers(make_harness, loads, connections_each=10)
    assert not migrated_requests(run_rounds(harness, loads, ROUNDS_TO_LEARN_CAPACITY))
    migrated = set(migrated_requests(run_rounds(harness, loads | {"d:1": 0.9}, 3)))
    assert len(migrated) >= 6 and migrated <= set(harness.balancer.servers["d:1"].connections)


def test_reports_from_before_a_start_do_not_make_servers_slow(make_harness: HarnessFactory) -> None:
    # The first reports still describe the lower load from before the balancer's connections were opened. Compared with
    # the estimates from these reports, the servers would later seem to have lost capacity.
    loads = dict.fromkeys(FOUR_SERVERS, 0.75)
    harness = with_loaded_servers(make_harness, loads, connections_each=10)
    run_rounds(harness, dict.fromkeys(FOUR_SERVERS, 0.15), 2)
    assert not migrated_requests(run_rounds(harness, loads, 12))
    assert min(server.capacity_ratio for server in harness.balancer.servers.values()) > 0.8


def test_clients_of_a_drained_balancer_do_not_make_servers_slow(make_harness: HarnessFactory) -> None:
    # Another balancer drains, so that this balancer's fraction of the total load doubles. Without a new estimate, all
    # servers would seem to have lost half of their capacity.
    loads = dict.fromkeys(FOUR_SERVERS, 0.75)
    harness = with_loaded_servers(make_harness, loads, connections_each=10)
    own_load = harness.balancer.sessions.active_load
    for peer_load in [own_load] * ROUNDS_TO_LEARN_CAPACITY + [0.0] * ROUNDS_TO_LEARN_CAPACITY:
        receive_summary(harness, 1, peer_load, 10)
        assert not migrated_requests(run_rounds(harness, loads, 1))
    assert min(server.capacity_ratio for server in harness.balancer.servers.values()) > 0.8
