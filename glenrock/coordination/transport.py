"""Sends and receives the datagrams of the coordination, on the socket of the gossip summaries."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any, NamedTuple, TypeVar

from ..log import get_logger
from ..net.peers import Peers
from . import datagrams
from .leases.sqlite_store import boottime_us
from .membership import PeerLiveness

logger = get_logger(__name__)

MAX_INBOX_MESSAGES = 4096  # waiting for delivery; further ones are dropped

MessageT = TypeVar("MessageT", bound=datagrams.Message)
Handler = Callable[[int, MessageT], None]
"""Called with the sender's index and a message of the type that the handler was registered for."""


class PeerMessage(NamedTuple):
    """A message, and the index of the balancer that sent it or to which it is sent."""

    peer: int
    message: datagrams.Message


class DatagramTransport:
    """Sends and receives datagrams.

    The handlers of all datagrams received in one iteration of the event loop run as one batch, followed by the
    `batch_listeners`.

    Attributes:
        membership: records when a datagram of each peer last arrived.
        batch_listeners: called after each batch.
    """

    def __init__(self, membership: PeerLiveness, peers: Peers | None) -> None:
        self.membership = membership
        self.batch_listeners: list[Callable[[], None]] = []
        self._peers = peers
        self._handlers: dict[type, Handler[Any]] = {}
        self._inbox: list[PeerMessage] = []
        if peers:
            peers.on_datagram = self.receive

    def register(self, message_type: type[MessageT], handler: Handler[MessageT]) -> None:
        """Registers the handler of a message type."""
        self._handlers[message_type] = handler

    def receive(self, peer: int, data: bytes) -> None:
        """Records that a peer is alive, and queues its message. A gossip summary is not queued.

        A malformed datagram, and one of a type without a handler, is logged and ignored.
        """
        self.membership.record_heard(peer, boottime_us())
        if not data or data[0] < datagrams.FIRST_KIND:
            return
        message = datagrams.decode(data)
        if message is None or type(message) not in self._handlers:
            logger.warning("malformed or unexpected datagram ignored", peer=peer, length_bytes=len(data))
            return
        if not self._inbox:
            asyncio.get_running_loop().call_soon(self._deliver)
        if len(self._inbox) < MAX_INBOX_MESSAGES:
            self._inbox.append(PeerMessage(peer, message))

    def _deliver(self) -> None:
        received, self._inbox = self._inbox, []
        for peer, message in received:
            self._handlers[type(message)](peer, message)
        for listener in self.batch_listeners:
            listener()

    def send(self, peer: int, message: datagrams.Message) -> None:
        """Sends a message to a peer.

        A message that is too long for a datagram is dropped; the peer reads the override from the store instead.
        """
        data = datagrams.encode(message)
        if data is not None and self._peers:
            self._peers.send_to(peer, data)

    def broadcast(self, message: datagrams.Message) -> None:
        """Sends a message to all peers."""
        for peer in self.membership.last_heard_us:
            self.send(peer, message)
