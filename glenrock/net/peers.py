"""Datagrams between balancers: gossip summaries and coordination messages.

uvloop does not implement `sock_recvfrom` and `sock_sendto`. So datagrams are received in a reader callback, and sent by
the `sendto` of the non-blocking socket.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Callable

from glenrock.routing import interface

from ..config import Address
from ..log import get_logger
from .clock import Clock
from .rate_limit import RateLimit

MAX_DATAGRAM_BYTES = 256
FIRST_COORDINATION_MESSAGE_TYPE = b"\xf1"  # lowest first byte; a gossip summary starts with its version, which is lower
MAX_READS_PER_WAKEUP = 32  # so that a flood of datagrams does not hold up connections
FLOOD_PAUSE_MS = 5.0  # after as many reads in one wake-up; the kernel drops what does not fit its buffer
PEER_INTERVAL_MS = 10.0  # between datagrams of one peer that never pauses; those in between are dropped
PEER_BURST = 128  # datagrams

logger = get_logger(__name__)


class Peers:
    """Exchanges datagrams with the other balancers, which are identified by their numbers.

    Attributes:
        sock: the bound socket.
        addresses: the addresses to which gossip summaries are sent if there is no broadcast address.
        number_by_address: the number of each balancer by its address.
        on_datagram: called with the number of the sender and the datagram; None without coordination.

    Args:
        listen: the address to bind.
        peers: see `change_addresses`.
        broadcast: see `change_addresses`.
        post: takes events for routing.
        balancers: the number of balancers.
        clock: the clock of the process.
        reuses_address: whether another process may have bound the same address.

    Raises:
        OSError: the address cannot be bound.
    """

    def __init__(
        self,
        listen: Address,
        peers: tuple[Address, ...],
        broadcast: Address | None,
        post: Callable[[interface.Event], bool],
        balancers: int,
        clock: Clock,
        reuses_address: bool = False,
    ) -> None:
        self.on_datagram: Callable[[int, bytes], None] | None = None
        self.number_by_address: dict[Address, int] = {}
        self.addresses: tuple[Address, ...] = ()
        self._broadcast: Address | None = None
        self._address_by_number: dict[int, Address] = {}
        self._post = post
        self._balancers = balancers
        self._clock = clock
        self._limits = [RateLimit(PEER_INTERVAL_MS, PEER_BURST) for _ in range(balancers)]  # by number
        self.change_addresses(peers, broadcast)
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.sock.setblocking(False)
        if reuses_address:
            # During an upgrade both processes bind the address, and the later one receives the datagrams.
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.sock.bind(listen)
        asyncio.get_running_loop().add_reader(self.sock, self._receive)

    def change_addresses(self, peers: tuple[Address, ...], broadcast: Address | None) -> None:
        """Sets the addresses of the other balancers.

        If the addresses are invalid, an error is logged and the previous ones stay. At the start there are no previous
        ones. Then addresses beyond the number of balancers are ignored, and a repeated address belongs to the first
        balancer that it is given for.

        Args:
            peers: the addresses of the balancers in the order of their numbers.
            broadcast: an address that reaches all balancers; None if there is none.
        """
        number_by_address, fault = _assign_numbers(peers, self._balancers)
        if fault:
            if self.number_by_address:
                logger.error("peer addresses invalid: previous addresses stay", fault=fault)
                return
            logger.error("peer addresses invalid: a repeated address belongs to its first balancer", fault=fault)
        self.number_by_address = number_by_address
        self.addresses = tuple(number_by_address)
        self._broadcast = broadcast
        self._address_by_number = {number: address for address, number in number_by_address.items()}

    def _receive(self) -> None:
        for _ in range(MAX_READS_PER_WAKEUP):
            try:
                data, sender = self.sock.recvfrom(MAX_DATAGRAM_BYTES + 1)
            except BlockingIOError:
                return
            except OSError:
                continue  # an ICMP error in response to an earlier send
            peer = self.number_by_address.get(sender)
            if peer is None or len(data) > MAX_DATAGRAM_BYTES:
                logger.warning("datagram ignored", sender=Address(*sender), size_bytes=len(data))
            else:
                self._handle(peer, data)
        self._pause()

    def _handle(self, peer: int, data: bytes) -> None:
        """Passes on a datagram, unless its sender exceeds its rate."""
        now_ms = self._clock.now_ms()
        if self._limits[peer].delay_ms(now_ms):
            logger.warning("datagram dropped: its sender exceeds its rate", peer=peer)
            return
        self._limits[peer].record(now_ms)
        if self.on_datagram:
            self.on_datagram(peer, data)
        if not self.on_datagram or data[:1] < FIRST_COORDINATION_MESSAGE_TYPE:
            self._post(interface.GossipReceived(peer, data))

    def _pause(self) -> None:
        """Stops reading for a while, since more datagrams arrive than a wake-up may read."""
        asyncio.get_running_loop().remove_reader(self.sock)
        self._clock.call_at(self._clock.now_ms() + FLOOD_PAUSE_MS, self._resume)

    def _resume(self) -> None:
        if self.sock.fileno() >= 0:
            asyncio.get_running_loop().add_reader(self.sock, self._receive)

    def send_to(self, peer: int, data: bytes) -> None:
        """Sends a coordination message to a balancer. Errors are ignored, since coordination repeats its messages."""
        if address := self._address_by_number.get(peer):
            with contextlib.suppress(OSError):
                self.sock.sendto(data, address)

    def send_gossip(self, data: bytes) -> None:
        """Sends a gossip summary to all other balancers."""
        if len(data) > MAX_DATAGRAM_BYTES:
            logger.error("gossip summary too long to send", size_bytes=len(data))
            return
        for address in (self._broadcast,) if self._broadcast else self.addresses:
            try:
                self.sock.sendto(data, address)
            except OSError as error:
                logger.warning("gossip summary not sent", error=error, address=address)

    def close(self) -> None:
        """Closes the socket."""
        asyncio.get_running_loop().remove_reader(self.sock)
        self.sock.close()


def _assign_numbers(peers: tuple[Address, ...], balancers: int) -> tuple[dict[Address, int], str]:
    """Numbers the addresses in their order; a repeated address gets the number of its first occurrence.

    Returns:
        The number of each address, and why the addresses are invalid; empty if they are valid.
    """
    number_by_address: dict[Address, int] = {}
    fault = ""
    if len(peers) > balancers:
        fault = f"{len(peers)} addresses for {balancers} balancers"
    for number, address in enumerate(peers[:balancers]):
        first_number = number_by_address.setdefault(address, number)
        if first_number != number:
            fault = f"{address} is given for balancers {first_number} and {number}"
    return number_by_address, fault
