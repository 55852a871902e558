"""Gossip: encoding, order and expiry of summaries."""

from __future__ import annotations

import pytest
from conftest import SECOND, HarnessFactory

from glenrock.routing import interface
from glenrock.routing.gossip_codec import GossipSummary, decode, encode

from .scenarios import receive_summary


def test_active_load_of_a_silent_balancer_expires(make_harness: HarnessFactory) -> None:
    harness = make_harness()
    receive_summary(harness, 1, 500.0, 10)
    harness.advance(2 * SECOND)
    assert harness.balancer.gossip.total_active_load() == 500
    harness.advance(60 * SECOND)
    assert harness.balancer.gossip.total_active_load() == 0


@pytest.mark.parametrize(
    "data",
    [b"", b"\x00" * 9, b"\x01\x00\x00\xff", b"\x01\x00\x00\x80\x80", b"\x01" * 300, b"\x01\x00\x00" + b"\xff" * 40],
)
def test_malformed_summary_is_ignored(make_harness: HarnessFactory, data: bytes) -> None:
    harness = make_harness()
    harness.deliver(interface.GossipReceived(1, data))
    assert not harness.balancer.gossip.peers


def test_summary_round_trip_within_its_size_limit() -> None:
    waiting = [(age, 1000.0 * age) for age in range(200)]
    data = encode(513, 123456.0, 77, waiting)
    assert len(data) <= 256
    summary = decode(data)
    assert isinstance(summary, GossipSummary)
    assert summary[:3] == (513, 123456.0, 77)
    assert summary.waiting == waiting[: len(summary.waiting)] and len(summary.waiting) > 40


def test_old_and_duplicate_summaries_are_ignored(make_harness: HarnessFactory) -> None:
    harness = make_harness()
    harness.deliver(interface.GossipReceived(1, encode(10, 5.0, 1, [])))
    older = interface.GossipReceived(1, encode(9, 99.0, 1, []))
    duplicate = interface.GossipReceived(1, encode(10, 98.0, 1, []))
    harness.deliver(older, duplicate)
    assert harness.balancer.gossip.peers[1].active_load == 5
