"""Invalid peer addresses and rows of discovery are logged, and the previous state stays."""

from __future__ import annotations

import asyncio

from glenrock.net import endpoint_watcher, peers

A = ("127.0.0.1", 1)
B = ("127.0.0.1", 2)
C = ("127.0.0.1", 3)
D = ("127.0.0.1", 4)


def peers_after_changes(*changes: tuple, balancers: int = 3) -> peers.Peers:
    async def change() -> peers.Peers:
        changed = peers.Peers(("127.0.0.1", 0), changes[0], None, lambda event: True, balancers)
        for addresses in changes[1:]:
            changed.change_addresses(addresses, None)
        changed.close()
        return changed

    return asyncio.run(change())


def test_repeated_or_too_many_peer_addresses_leave_the_previous_ones(caplog) -> None:
    assert peers_after_changes((A, B, C)).number_by_address == {A: 0, B: 1, C: 2} and caplog.messages == []
    assert peers_after_changes((A, B), (B, A, B)).number_by_address == {A: 0, B: 1}
    assert caplog.messages == [
        'peer addresses invalid: previous addresses stay fault="127.0.0.1:2 stands for balancers 0 and 2"'
    ]
    caplog.clear()
    assert peers_after_changes((A, B), (A, B, C, D)).number_by_address == {A: 0, B: 1}
    assert caplog.messages == ['peer addresses invalid: previous addresses stay fault="4 addresses for 3 balancers"']
    caplog.clear()
    at_start = peers_after_changes((A, A, B, C))  # without previous addresses
    assert at_start.number_by_address == {A: 0, B: 2} and at_start.addresses == (A, B)
    assert "the first balancer of each address counts" in caplog.messages[-1]


def test_server_that_is_listed_twice_is_logged_and_its_later_row_counts(caplog) -> None:
    row = {"name": "s1", "status": "SERVING"}
    endpoints = [{**row, "address": "127.0.0.1:1"}, {**row, "address": "127.0.0.1:2"}]
    _, _, rows = endpoint_watcher.parse_answer({"index": 1, "snapshot": True, "endpoints": endpoints})
    assert [row.address for row in rows] == [B]
    assert caplog.messages == [
        f'endpoint listed twice: the later row counts server=s1 ignored_address="{A}" address="{B}"'
    ]
