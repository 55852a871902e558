"""States of directions between parties under several faults."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from glenrock.testbed import network_faults
from glenrock.testbed.scenario import PathFault

PARTIES = ["clients", "list", "balancer:0", "balancer:12", "instance:0"]


def way(source="balancer:0", target="instance:0", **over) -> PathFault:
    return PathFault(at_s=0.0, source=source, target=target, **over)


@pytest.mark.parametrize(
    "pattern, party, does",
    [
        ("balancer:1", "balancer:1", True),
        ("balancer:1", "balancer:12", False),
        ("balancer:*", "balancer:12", True),
        ("balancer:*", "instance:1", False),
        ("clients", "clients", True),
        ("list", "clients", False),
    ],
)
def test_party_patterns(pattern, party, does) -> None:
    assert network_faults.matches(pattern, party) is does


def test_fault_affects_one_direction() -> None:
    w = network_faults.NetworkPaths((way(cut=True),))
    w.begin(w.planned[0])
    assert w.state("balancer:0", "instance:0").is_cut and not w.state("instance:0", "balancer:0").is_cut
    assert w.needs_relay("instance:0", "balancer:0") and not w.needs_relay("balancer:1", "instance:0")
    w.end(w.planned[0])
    assert w.state("balancer:0", "instance:0") == network_faults.FAULT_FREE


faults = st.builds(
    way,
    source=st.sampled_from(["balancer:*", "balancer:0"]),
    target=st.just("instance:*"),
    loss=st.floats(0, 1),
    delay_ms=st.floats(0, 900),
    trickle=st.floats(0, 5000),
    cut=st.booleans(),
)


@given(st.lists(faults, max_size=4), faults)
def test_additional_fault_never_improves_a_direction(some, more) -> None:
    before, after = network_faults.combine(some), network_faults.combine([*some, more])
    assert after.loss >= before.loss - 1e-9 and after.delay_s >= before.delay_s and after.is_cut >= before.is_cut
    assert not before.bytes_per_s or 0 < after.bytes_per_s <= before.bytes_per_s


@given(st.lists(faults, max_size=5), st.randoms())
def test_listeners_are_notified_and_ended_faults_leave_no_trace(some, draw) -> None:
    w, heard = network_faults.NetworkPaths(tuple(some)), []
    w.listeners.append(lambda: heard.append(len(w.active)))
    for f in some:
        w.begin(f)
    order = list(some)
    draw.shuffle(order)
    for f in order:
        w.end(f)
    assert len(heard) == 2 * len(some)
    assert all(w.state(p, q) == network_faults.FAULT_FREE for p in PARTIES for q in PARTIES)
