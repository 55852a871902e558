"""Other balancers: datagrams of at most 256 bytes.

uvloop has no sock_recvfrom or sock_sendto, so the socket is read when the loop says it is readable.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Callable

from glenrock.routing import interface

from ..config import Address
from ..log import get_logger

MAX_DATAGRAM = 256
COORDINATION_KINDS = b"\xf1"  # and above; a gossip summary begins with its version
MAX_READS = 64  # datagrams read in one turn: a flood must not keep the loop from its connections

logger = get_logger(__name__)


class Peers:
    """The socket, and who the peers are.

    Attributes:
        others: takes what is no gossip summary, where the coordination is on.
        index: balancers' numbers by their addresses.
    """

    def __init__(
        self,
        listen: Address,
        peers: tuple[Address, ...],
        everyone: Address | None,
        post: Callable[[interface.Event], bool],
        balancers: int,
        shared: bool = False,
    ) -> None:
        self.others: Callable[[int, bytes], None] | None = None
        self.index: dict[Address, int] = {}
        self.peers: tuple[Address, ...] = ()
        self._everyone: Address | None = None
        self._by_number: dict[int, Address] = {}
        self._post = post
        self._balancers = balancers
        self.move(peers, everyone)
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.sock.setblocking(False)
        if shared:
            # Two processes of an upgrade hold the address, and the one that bound it last gets what comes.
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.sock.bind(listen)
        asyncio.get_running_loop().add_reader(self.sock, self._receive)

    def move(self, peers: tuple[Address, ...], everyone: Address | None) -> None:
        """The other balancers' addresses, in the order of their numbers.

        What can't be is told, and those held before stay; at the start the first of each address that the settings have
        a number for counts.
        """
        index: dict[Address, int] = {}
        fault = ""
        if len(peers) > self._balancers:
            fault = f"{len(peers)} addresses for {self._balancers} balancers"
        for number, address in enumerate(peers[: self._balancers]):
            if index.setdefault(address, number) != number:
                fault = f"{address[0]}:{address[1]} stands for balancers {index[address]} and {number}"
        if fault:
            if self.index:
                logger.error("peer addresses invalid: previous addresses stay", fault=fault)
                return
            logger.error("peer addresses invalid: the first balancer of each address counts", fault=fault)
        self.index = index
        self.peers = tuple(index)
        self._everyone = everyone
        self._by_number = {number: address for address, number in index.items()}

    def _receive(self) -> None:
        for _ in range(MAX_READS):
            try:
                data, sender = self.sock.recvfrom(MAX_DATAGRAM + 1)
            except BlockingIOError:
                return
            except OSError:
                continue  # an ICMP error of an earlier send
            peer = self.index.get(sender)
            if peer is None or len(data) > MAX_DATAGRAM:
                logger.warning("datagram ignored", sender=sender, size_bytes=len(data))
                continue
            if self.others:
                self.others(peer, data)
            if not self.others or data[:1] < COORDINATION_KINDS:
                self._post(interface.GossipReceived(peer, data))

    def tell_one(self, peer: int, data: bytes) -> None:
        """For the coordination. Lost without a word, as datagrams are: who needs an answer asks again."""
        if address := self._by_number.get(peer):
            with contextlib.suppress(OSError):
                self.sock.sendto(data, address)

    def tell(self, data: bytes) -> None:
        """A gossip summary, to every other balancer."""
        if len(data) > MAX_DATAGRAM:
            logger.error("gossip summary too long to send", size_bytes=len(data))
            return
        for address in (self._everyone,) if self._everyone else self.peers:
            try:
                self.sock.sendto(data, address)
            except OSError as error:
                logger.warning("gossip summary not sent", error=error, address=address)

    def close(self) -> None:
        """Closes the socket."""
        asyncio.get_running_loop().remove_reader(self.sock)
        self.sock.close()
