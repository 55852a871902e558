"""Invalid lists of peer addresses: an address is repeated, or there are more addresses than balancers."""

from __future__ import annotations

import asyncio

import pytest

from glenrock.config import Address
from glenrock.net.peers import Peers

A, B, C = (Address("127.0.0.1", port) for port in (1, 2, 3))


def peers_after(*address_lists: tuple[Address, ...], balancers: int = 3) -> Peers:
    """Returns closed `Peers` that were created with the first list of addresses and then changed to each later one."""

    async def change_addresses() -> Peers:
        peers = Peers(Address("127.0.0.1", 0), address_lists[0], None, lambda event: True, balancers)
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
