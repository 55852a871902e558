"""Gossip summaries that are invalid are ignored, and the previous ones count."""

from __future__ import annotations

import pytest
from conftest import Harness, settings
from hypothesis import given
from hypothesis import strategies as st

from glenrock.routing import interface
from glenrock.routing.gossip_codec import check_summary, decode, encode

EXPECTED_LOAD = 9_000_000 + 5 * 25_000  # of the peer and of the own connections


def harness_with_peer() -> Harness:
    harness = Harness(settings(tenants=(interface.Tenant("t", 600.0),)))
    harness.list_servers("a:1")
    for n in range(5):
        harness.deliver(
            interface.OpenConnection(interface.Request(f"o{n}", "read", harness.now_us, n, load=25_000), "a:1")
        )
    harness.deliver(interface.GossipReceived(1, encode(1, 9_000_000, 300, [])))
    assert harness.balancer.gossip.tier_load() == EXPECTED_LOAD
    return harness


def test_summary_is_not_checked_against_the_load_of_few_own_connections() -> None:
    harness = Harness(settings(tenants=(interface.Tenant("t", 600.0),)))
    harness.balancer.connection_loads.mean_load = 1.0  # no connection has reported its load yet
    harness.deliver(interface.GossipReceived(1, encode(1, 9_000_000, 300, [])))
    assert harness.balancer.gossip.tier_load() == 9_000_000 and not harness.balancer.batch.ignored_summaries


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
def test_invalid_summary_is_ignored_with_its_reason_and_the_previous_one_counts(
    peer: int, data: bytes, reason: str
) -> None:
    harness = harness_with_peer()
    harness.deliver(interface.GossipReceived(peer, data))
    (ignored,) = harness.balancer.batch.ignored_summaries
    assert ignored.peer == peer and reason in ignored.reason
    assert (
        harness.balancer.gossip.tier_load() == EXPECTED_LOAD
        and not harness.balancer.waiting_queue.load_by_bucket()
        and set(harness.balancer.gossip.peers) == {1}
    )
    harness.deliver()
    assert harness.balancer.batch.ignored_summaries == []


@given(
    active=st.floats(0, 1e9),
    clients=st.integers(0, 100_000),
    line=st.lists(st.tuples(st.integers(0, 60), st.floats(0, 1e7)), max_size=20),
    peer=st.integers(0, 39),
)
def test_plausible_summary_is_accepted(active, clients, line, peer) -> None:
    read = decode(encode(7, active, clients, line))
    assert read is not None
    assert check_summary(peer, 40, read, 25_000.0 * 600) is read
    assert check_summary(peer, 40, read, 0.0) is read


@given(data=st.binary(max_size=256))
def test_arbitrary_bytes_never_give_an_implausible_load(data: bytes) -> None:
    harness = harness_with_peer()
    harness.deliver(interface.GossipReceived(1, data))
    assert harness.balancer.gossip.tier_load() <= 100 * 600 * 25_000
