"""Malformed or implausible gossip summaries: each is ignored with a reason, and the previous summary is kept."""

from __future__ import annotations

import pytest
from conftest import Harness, settings
from hypothesis import given
from hypothesis import strategies as st

from glenrock.routing import interface
from glenrock.routing.gossip_codec import check_summary, decode, encode

from .scenarios import open_connection

TIER_LOAD = 9_000_000 + 5 * 25_000  # load in the peer's summary, and of this balancer's connections


def harness_with_a_peer() -> Harness:
    """Returns a harness with five connections that has received a summary of balancer 1."""
    harness = Harness(settings(tenants=(interface.Tenant("t", 600.0),)))
    harness.list_servers("a:1")
    for key in range(5):
        open_connection(harness, f"o{key}", "a:1", key=key, load=25_000)
    harness.deliver(interface.GossipReceived(1, encode(1, 9_000_000, 300, [])))
    assert harness.balancer.gossip.total_active_load() == TIER_LOAD
    return harness


def test_balancer_without_known_loads_accepts_a_summary() -> None:
    harness = Harness(settings(tenants=(interface.Tenant("t", 600.0),)))
    harness.balancer.connection_loads.mean_load = 1.0  # as if no load of a connection were known
    harness.deliver(interface.GossipReceived(1, encode(1, 9_000_000, 300, [])))
    assert harness.balancer.gossip.total_active_load() == 9_000_000 and not harness.balancer.batch.ignored_summaries


@pytest.mark.parametrize(
    ("peer", "data", "reason"),
    [
        (1, b"\1\2", "cannot be read"),
        (1, b"\2" + encode(2, 1, 1, [])[1:], "cannot be read"),
        (1, encode(2, 1e15, 300, []), "absurd"),
        (1, encode(2, 1e6, 2_000_000, []), "absurd"),
        (2, encode(2, 1e6, 3, [(0, 1e15)]), "absurd"),
        (4, encode(2, 1e6, 3, []), "the settings name 4"),
    ],
)
def test_invalid_summary_is_ignored_with_a_reason_and_the_previous_one_is_kept(
    peer: int, data: bytes, reason: str
) -> None:
    harness = harness_with_a_peer()
    harness.deliver(interface.GossipReceived(peer, data))
    (ignored,) = harness.balancer.batch.ignored_summaries
    assert ignored.peer_index == peer and reason in ignored.reason
    assert harness.balancer.gossip.total_active_load() == TIER_LOAD
    assert not harness.balancer.waiting_queue.load_by_bucket()
    assert set(harness.balancer.gossip.peers) == {1}
    harness.deliver()
    assert harness.balancer.batch.ignored_summaries == []


@given(
    active_load=st.floats(0, 1e9),
    clients=st.integers(0, 100_000),
    waiting=st.lists(st.tuples(st.integers(0, 60), st.floats(0, 1e7)), max_size=20),
    peer=st.integers(0, 39),
)
def test_plausible_summary_is_accepted(
    active_load: float, clients: int, waiting: list[tuple[int, float]], peer: int
) -> None:
    summary = decode(encode(7, active_load, clients, waiting))
    assert summary is not None
    assert check_summary(peer, 40, summary, 25_000.0 * 600) is summary
    assert check_summary(peer, 40, summary, 0.0) is summary


@given(data=st.binary(max_size=256))
def test_arbitrary_bytes_raise_the_tier_load_by_a_bounded_amount(data: bytes) -> None:
    harness = harness_with_a_peer()
    harness.deliver(interface.GossipReceived(1, data))
    assert harness.balancer.gossip.total_active_load() <= 100 * 600 * 25_000
