"""Server selection: which servers receive requests."""

from __future__ import annotations

from glenrock.routing import interface

from .scenarios import ENOUGH_ROUNDS, run_rounds, with_loaded_servers


def test_draining_server_receives_nothing(make_harness) -> None:
    harness = make_harness(names=("a:1", "b:1"))
    harness.list_servers("a:1", kind=interface.EndpointListKind.CHANGES, state=interface.EndpointState.DRAINING)
    assert {harness.attempts_of(harness.send_request(key=n))[0].server_id for n in range(20)} == {"b:1"}


def test_group_gets_the_same_server_at_every_balancer(make_harness) -> None:
    names = tuple(f"s{n}:1" for n in range(50))
    picked = set()
    for seed in range(8):
        harness = make_harness(seed=seed, names=names)
        picked.add(harness.attempts_of(harness.send_request(key=seed, group=77))[0].server_id)
    assert len(picked) == 1


def test_emptied_slow_server_counts_as_more_loaded_than_a_healthy_one(make_harness) -> None:
    loads = {"a:1": 0.5, "b:1": 0.5, "c:1": 0.5, "d:1": 0.5}
    harness = with_loaded_servers(make_harness, loads)
    run_rounds(harness, loads, ENOUGH_ROUNDS)
    run_rounds(harness, loads | {"d:1": 2.5}, 4)
    slow, sound = harness.balancer.servers["d:1"], harness.balancer.servers["a:1"]
    slow.reported_load = sound.reported_load = 0.4
    slow.unreported_load = sound.unreported_load = harness.balancer.capacity.server_capacity * 0.2
    assert harness.balancer.selection.expected_load(slow) > harness.balancer.selection.expected_load(sound) + 0.1
