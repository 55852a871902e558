"""States of directions between parties under several faults."""

from __future__ import annotations

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from glenrock.testbed.network_faults import FAULT_FREE, NetworkPaths, combine, matches
from glenrock.testbed.scenario import PathFault

from .scenarios import path_fault

PARTIES = ["clients", "list", "balancer:0", "balancer:12", "instance:0"]


@pytest.mark.parametrize(
    ("pattern", "party", "is_match"),
    [
        ("balancer:1", "balancer:1", True),
        ("balancer:1", "balancer:12", False),
        ("balancer:*", "balancer:12", True),
        ("balancer:*", "instance:1", False),
        ("clients", "clients", True),
        ("list", "clients", False),
    ],
)
def test_party_patterns(pattern: str, party: str, is_match: bool) -> None:
    assert matches(pattern, party) is is_match


def test_fault_affects_one_direction() -> None:
    cut = path_fault(cut=True)
    paths = NetworkPaths((cut,))
    paths.begin(cut)
    assert paths.state("balancer:0", "instance:0").is_cut
    assert not paths.state("instance:0", "balancer:0").is_cut
    assert paths.needs_relay("instance:0", "balancer:0")
    assert not paths.needs_relay("balancer:1", "instance:0")
    paths.end(cut)
    assert paths.state("balancer:0", "instance:0") == FAULT_FREE


path_faults = st.builds(
    path_fault,
    source=st.sampled_from(["balancer:*", "balancer:0"]),
    target=st.just("instance:*"),
    loss=st.floats(0, 1),
    delay_ms=st.floats(0, 900),
    trickle=st.floats(0, 5000),
    cut=st.booleans(),
)


@given(st.lists(path_faults, max_size=4), path_faults)
def test_additional_fault_never_improves_a_direction(some: list[PathFault], further: PathFault) -> None:
    before, after = combine(some), combine([*some, further])
    assert after.loss >= before.loss - 1e-9
    assert after.delay_s >= before.delay_s
    assert after.is_cut >= before.is_cut
    assert not before.bytes_per_s or 0 < after.bytes_per_s <= before.bytes_per_s


@given(st.lists(path_faults, max_size=5), st.randoms())
def test_listeners_are_notified_and_ended_faults_leave_no_trace(some: list[PathFault], rng: random.Random) -> None:
    paths, active_counts = NetworkPaths(tuple(some)), list[int]()
    paths.listeners.append(lambda: active_counts.append(len(paths.active)))
    for fault in some:
        paths.begin(fault)
    order = list(some)
    rng.shuffle(order)
    for fault in order:
        paths.end(fault)
    assert len(active_counts) == 2 * len(some)
    assert all(paths.state(party, other) == FAULT_FREE for party in PARTIES for other in PARTIES)
