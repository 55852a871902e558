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
from ..log import say

LONGEST = 256
NO_SUMMARY = b"\xf1"  # a summary begins with its version
AT_ONCE = 64  # datagrams read in one turn: a flood must not keep the loop from its connections


class Peers:
    def __init__(self, listen: Address, peers: tuple[Address, ...], everyone: Address | None,
                 post: Callable[[interface.Event], bool], balancers: int, shared: bool = False) -> None:
        self.post, self.balancers = post, balancers
        self.others: Callable[[int, bytes], None] | None = None  # what is no summary, where the fleet's work is on
        self.index: dict[Address, int] = {}
        self.move(peers, everyone)
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.sock.setblocking(False)
        if shared:
            # Two processes of an upgrade hold the address, and the one that bound it last gets what comes.
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.sock.bind(listen)
        asyncio.get_running_loop().add_reader(self.sock, self.receive)

    def move(self, peers: tuple[Address, ...], everyone: Address | None) -> None:
        """The other balancers' addresses, in the order of their numbers. What can't be is told, and those
        held before stay; at the start the first of each address that the settings have a number for counts."""
        index: dict[Address, int] = {}
        wrong = f"{len(peers)} addresses for {self.balancers} balancers" if len(peers) > self.balancers else ""
        for n, address in enumerate(peers[:self.balancers]):
            if index.setdefault(address, n) != n:
                wrong = f"{address[0]}:{address[1]} stands for balancers {index[address]} and {n}"
        if wrong:
            say("peers", f"{wrong}; {'the old ones stay' if self.index else 'the first of each counts'}")
            if self.index:
                return
        self.index, self.peers, self.everyone = index, tuple(index), everyone
        self.by_number = {n: address for address, n in index.items()}

    def receive(self) -> None:
        for _ in range(AT_ONCE):
            try:
                data, sender = self.sock.recvfrom(LONGEST + 1)
            except BlockingIOError:
                return
            except OSError:
                continue  # an ICMP error of an earlier send
            peer = self.index.get(sender)
            if peer is None or len(data) > LONGEST:
                say("peer", f"datagram of {len(data)} bytes from {sender} ignored")
                continue
            if self.others:
                self.others(peer, data)
            if not self.others or data[:1] < NO_SUMMARY:
                self.post(interface.GossipReceived(peer, data))

    def tell_one(self, peer: int, data: bytes) -> None:
        """For the fleet's work. Lost without a word, as datagrams are: who needs an answer asks again."""
        if address := self.by_number.get(peer):
            with contextlib.suppress(OSError):
                self.sock.sendto(data, address)

    def tell(self, data: bytes) -> None:
        if len(data) > LONGEST:
            say("peer", f"a message of {len(data)} bytes was not sent")
            return
        for address in (self.everyone,) if self.everyone else self.peers:
            try:
                self.sock.sendto(data, address)
            except OSError as bad:
                say("peer", f"message lost: {bad}")

    def close(self) -> None:
        asyncio.get_running_loop().remove_reader(self.sock)
        self.sock.close()
