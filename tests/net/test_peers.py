"""Invalid lists of peer addresses: an address is repeated, or there are more addresses than balancers."""

from __future__ import annotations

import asyncio
import socket

import pytest

from glenrock.config import Address
from glenrock.net.clock import Clock, ManualClock
from glenrock.net.peers import MAX_READS_PER_WAKEUP, PEER_BURST, Peers
from glenrock.routing import interface

A, B, C = (Address("127.0.0.1", port) for port in (1, 2, 3))


def peers_after(*address_lists: tuple[Address, ...], balancers: int = 3) -> Peers:
    """Returns closed `Peers` that were created with the first list of addresses and then changed to each later one."""

    async def change_addresses() -> Peers:
        peers = Peers(Address("127.0.0.1", 0), address_lists[0], None, lambda event: True, balancers, Clock())
        for addresses in address_lists[1:]:
            peers.change_addresses(addresses, None)
        peers.close()
        return peers

    return asyncio.run(change_addresses())


def test_invalid_peer_addresses_are_logged_and_change_nothing(caplog: pytest.LogCaptureFixture) -> None:
    assert peers_after((A, B, C)).number_by_address == {A: 0, B: 1, C: 2} and caplog.messages == []
    assert peers_after((A, B), (B, A, B)).number_by_address == {A: 0, B: 1}
    assert caplog.messages == [
        'peer addresses invalid: previous addresses stay fault="127.0.0.1:2 is given for balancers 0 and 2"'
    ]
    caplog.clear()
    assert peers_after((A, B), (A, B, C, Address("127.0.0.1", 4))).number_by_address == {A: 0, B: 1}
    assert caplog.messages == ['peer addresses invalid: previous addresses stay fault="4 addresses for 3 balancers"']
    caplog.clear()
    peers = peers_after((A, A, B, C))  # a new object has no previous addresses to keep
    assert peers.number_by_address == {A: 0, B: 2}
    assert peers.addresses == (A, B)
    assert "a repeated address belongs to its first balancer" in caplog.messages[-1]


def test_datagrams_of_a_peer_above_its_rate_are_dropped() -> None:
    """Guards against a peer whose datagrams take each turn of the event loop (issue 58, picture b)."""
    received: list[interface.Event] = []

    def record(event: interface.Event) -> bool:
        received.append(event)
        return True

    async def flood() -> None:
        sender = socket.socket(type=socket.SOCK_DGRAM)
        sender.bind(("127.0.0.1", 0))
        clock = ManualClock()
        addresses = (A, Address(*sender.getsockname()))
        peers = Peers(Address("127.0.0.1", 0), addresses, None, record, 2, clock)
        for _ in range(20):
            for _ in range(MAX_READS_PER_WAKEUP):
                sender.sendto(b"x", peers.sock.getsockname())
            await asyncio.sleep(0.001)
            clock.advance(5.0)
        peers.close()
        sender.close()

    asyncio.run(flood())
    assert 0 < len(received) <= PEER_BURST + 20
