"""Two processes that are bound to one peer address."""

from __future__ import annotations

import asyncio
import socket

from glenrock.config import Address
from glenrock.net.clock import Clock
from glenrock.net.peers import Peers
from glenrock.routing import interface


def test_last_process_bound_to_the_peer_address_receives_datagrams() -> None:
    async def scenario() -> None:
        received: list[tuple[str, bytes]] = []
        sender = socket.socket(type=socket.SOCK_DGRAM)
        sender.bind(("127.0.0.1", 0))
        peers = (Address("127.0.0.1", 9), Address(*sender.getsockname()))

        def bind_peer(name: str, port: int) -> Peers:
            def receive(event: interface.Event) -> bool:
                assert isinstance(event, interface.GossipReceived)
                received.append((name, event.data))
                return True

            return Peers(Address("127.0.0.1", port), peers, None, receive, 2, Clock(), True)

        async def send_and_await(data: bytes) -> None:
            sender.sendto(data, old.sock.getsockname())
            for _ in range(200):
                if received and received[-1][1] == data:
                    return
                await asyncio.sleep(0.005)
            raise AssertionError(f"{data!r} was lost")

        old = bind_peer("old", 0)
        await send_and_await(b"1")
        new = bind_peer("new", old.sock.getsockname()[1])
        await send_and_await(b"2")
        old.close()
        sender.sendto(b"3", new.sock.getsockname())
        await asyncio.sleep(0.05)
        new.close()
        sender.close()
        assert received == [("old", b"1"), ("new", b"2"), ("new", b"3")]

    asyncio.run(scenario())
