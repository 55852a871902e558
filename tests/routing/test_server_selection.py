"""Server selection: which server receives a request."""

from __future__ import annotations

from conftest import HarnessFactory

from glenrock.routing import interface

from .scenarios import ROUNDS_TO_LEARN_CAPACITY, first_server, run_rounds, with_loaded_servers


def test_draining_server_receives_no_requests(make_harness: HarnessFactory) -> None:
    harness = make_harness(names=("a:1", "b:1"))
    harness.list_servers("a:1", kind=interface.EndpointListKind.CHANGES, state=interface.EndpointState.DRAINING)
    assert {first_server(harness, harness.send_request(key=key)) for key in range(20)} == {"b:1"}


def test_every_balancer_selects_the_same_server_for_a_group(make_harness: HarnessFactory) -> None:
    names = tuple(f"s{number}:1" for number in range(50))
    chosen = set()
    for seed in range(8):
        harness = make_harness(seed=seed, names=names)
        chosen.add(first_server(harness, harness.send_request(key=seed, group=77)))
    assert len(chosen) == 1


def test_emptied_slow_server_counts_as_more_loaded_than_a_healthy_one(make_harness: HarnessFactory) -> None:
    loads = {"a:1": 0.5, "b:1": 0.5, "c:1": 0.5, "d:1": 0.5}
    harness = with_loaded_servers(make_harness, loads)
    run_rounds(harness, loads, ROUNDS_TO_LEARN_CAPACITY)
    run_rounds(harness, loads | {"d:1": 2.5}, 4)
    balancer = harness.balancer
    slow, healthy = balancer.servers["d:1"], balancer.servers["a:1"]
    slow.reported_load = healthy.reported_load = 0.4
    slow.unreported_load = healthy.unreported_load = balancer.capacity.server_capacity * 0.2
    assert balancer.selection.expected_load(slow) > balancer.selection.expected_load(healthy) + 0.1
