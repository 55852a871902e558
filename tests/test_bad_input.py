"""What must be told in a line and must change nothing, in a tier of many."""

from __future__ import annotations

import asyncio

import pytest
from conftest import Harness, settings
from hypothesis import given
from hypothesis import strategies as st

from glenrock.net import endpoint_watcher, peers
from glenrock.routing import interface
from glenrock.routing.gossip_codec import check_summary, decode, encode

ALL = 9_000_000 + 5 * 25_000  # what the sound tier holds
A, B, C = ("127.0.0.1", 1), ("127.0.0.1", 2), ("127.0.0.1", 3)


def moved(*moves: tuple, balancers: int = 3) -> peers.Peers:
    async def inside() -> peers.Peers:
        p = peers.Peers(("127.0.0.1", 0), moves[0], None, lambda e: True, balancers)
        for more in moves[1:]:
            p.change_addresses(more, None)
        p.close()
        return p

    return asyncio.run(inside())


def test_peers_that_repeat_an_address_or_are_too_many_leave_the_old_ones(caplog) -> None:
    assert moved((A, B, C)).number_by_address == {A: 0, B: 1, C: 2} and caplog.messages == []
    assert moved((A, B), (B, A, B)).number_by_address == {A: 0, B: 1}
    assert caplog.messages == [
        'peer addresses invalid: previous addresses stay fault="127.0.0.1:2 stands for balancers 0 and 2"'
    ]
    caplog.clear()
    assert moved((A, B), (A, B, C, ("127.0.0.1", 4))).number_by_address == {A: 0, B: 1}
    assert caplog.messages == ['peer addresses invalid: previous addresses stay fault="4 addresses for 3 balancers"']
    caplog.clear()
    p = moved((A, A, B, C))  # at the start there are no old ones
    assert (
        p.number_by_address == {A: 0, B: 2}
        and p.addresses == (A, B)
        and "the first balancer of each address counts" in caplog.messages[-1]
    )


def test_an_instance_that_stands_twice_is_told(caplog) -> None:
    row = {"name": "s1", "status": "SERVING"}
    _, _, rows = endpoint_watcher.parse_answer(
        {
            "index": 1,
            "snapshot": True,
            "endpoints": [{**row, "address": "127.0.0.1:1"}, {**row, "address": "127.0.0.1:2"}],
        }
    )
    assert [r.address for r in rows] == [B]
    assert caplog.messages == [
        f'endpoint listed twice: the later row counts server=s1 ignored_address="{A}" address="{B}"'
    ]


def tier() -> Harness:
    harness = Harness(settings(tenants=(interface.Tenant("t", 600.0),)))
    harness.list_servers("a:1")
    for n in range(5):
        harness.deliver(
            interface.OpenConnection(interface.Request(f"o{n}", "read", harness.now_us, n, load=25_000), "a:1")
        )
    harness.deliver(interface.GossipReceived(1, encode(1, 9_000_000, 300, [])))
    assert harness.balancer.gossip.tier_load() == ALL
    return harness


def test_one_that_holds_little_does_not_measure_others_by_it() -> None:
    harness = Harness(settings(tenants=(interface.Tenant("t", 600.0),)))
    harness.balancer.connection_loads.mean_load = 1.0  # no connection has told its load yet
    harness.deliver(interface.GossipReceived(1, encode(1, 9_000_000, 300, [])))
    assert harness.balancer.gossip.tier_load() == 9_000_000 and not harness.balancer.batch.ignored_summaries


@pytest.mark.parametrize(
    ("peer", "data", "told"),
    [
        (1, b"\1\2", "cannot be read"),
        (1, b"\2" + encode(2, 1, 1, [])[1:], "cannot be read"),
        (1, encode(2, 1e15, 300, []), "absurd"),
        (1, encode(2, 1e6, 2_000_000, []), "absurd"),
        (2, encode(2, 1e6, 3, [(0, 1e15)]), "absurd"),
        (4, encode(2, 1e6, 3, []), "the settings name 4"),
    ],
)
def test_an_unsound_summary_is_told_and_the_one_before_stands(peer: int, data: bytes, told: str) -> None:
    harness = tier()
    harness.deliver(interface.GossipReceived(peer, data))
    (ignored,) = harness.balancer.batch.ignored_summaries
    assert ignored.peer == peer and told in ignored.reason
    assert (
        harness.balancer.gossip.tier_load() == ALL
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
def test_what_a_balancer_of_the_tier_says_is_believed(active, clients, line, peer) -> None:
    read = decode(encode(7, active, clients, line))
    assert read is not None
    assert check_summary(peer, 40, read, 25_000.0 * 600) is read
    assert check_summary(peer, 40, read, 0.0) is read


@given(data=st.binary(max_size=256))
def test_no_bytes_whatever_change_what_is_known_beyond_measure(data: bytes) -> None:
    harness = tier()
    harness.deliver(interface.GossipReceived(1, data))
    assert harness.balancer.gossip.tier_load() <= 100 * 600 * 25_000
