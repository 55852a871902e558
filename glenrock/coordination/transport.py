"""Datagrams of the coordination, on the socket of the gossip summaries."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any, NamedTuple

from ..log import say
from ..net.peers import Peers
from . import datagrams
from .leases.sqlite_store import boottime_us
from .membership import PeerLiveness

MAX_INBOX = 4096  # datagrams that wait

Handler = Callable[[int, Any], None]
"""Takes the sender's number, and a message of the kind that it was registered for."""


class Received(NamedTuple):
    """A message, and the number of the balancer that sent it."""

    peer: int
    message: datagrams.Message


class DatagramTransport:
    """Sends and receives. Handlers run together, once a turn of the loop, and then `after_batch`."""

    def __init__(self, membership: PeerLiveness, peers: Peers | None) -> None:
        self.membership = membership
        self.after_batch: list[Callable[[], None]] = []
        self._peers = peers
        self._handlers: dict[type, Handler] = {}
        self._inbox: list[Received] = []
        if peers:
            peers.others = self.receive

    def register(self, kind: type, handler: Handler) -> None:
        """That handler gets all messages of the kind."""
        self._handlers[kind] = handler

    def receive(self, peer: int, data: bytes) -> None:
        """What comes on the socket, gossip summaries too: these show that the peer is there."""
        self.membership.record_heard(peer, boottime_us())
        if not data or data[0] < datagrams.FIRST_KIND:
            return
        message = datagrams.decode(data)
        if message is None or type(message) not in self._handlers:
            say("fleet", f"datagram of {len(data)} bytes from balancer {peer} ignored: it cannot be read")
            return
        if not self._inbox:
            asyncio.get_running_loop().call_soon(self._deliver)
        if len(self._inbox) < MAX_INBOX:
            self._inbox.append(Received(peer, message))

    def _deliver(self) -> None:
        received, self._inbox = self._inbox, []
        for peer, message in received:
            self._handlers[type(message)](peer, message)
        for call in self.after_batch:
            call()

    def send(self, peer: int, message: datagrams.Message) -> None:
        """To one balancer. What is too long for a datagram goes by the store alone."""
        data = datagrams.encode(message)
        if data is not None and self._peers:
            self._peers.tell_one(peer, data)

    def broadcast(self, message: datagrams.Message) -> None:
        """To every other balancer."""
        for peer in self.membership.heard_us:
            self.send(peer, message)
