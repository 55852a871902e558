"""Relays on the paths between parties, which apply the faults of each direction to streams and datagrams.

TCP delivers every byte or none: a cut direction holds its bytes until it is restored, and no connection comes up
meanwhile. Datagrams are lost, duplicated, delayed and reordered one by one.
"""

from __future__ import annotations

import asyncio
import functools
import random
from collections import deque
from collections.abc import Callable
from typing import Any

from .loopback import Address, Listener, LoopbackNetwork, format_address, reset_connection
from .network_faults import NetworkPaths, PathState
from .records import balancer_party

CHUNK_BYTES = 16384
MAX_QUEUED_CHUNKS = 64  # in one direction; above it the sender waits
POLL_S = 0.01  # of a direction that is cut, and between the pieces of one whose rate is limited

DatagramObserver = Callable[[int, int, bytes], None]


class StreamDirection:
    """One direction of one path."""

    def __init__(self, paths: NetworkPaths, source: str, target: str) -> None:
        self._paths, self._source, self._target = paths, source, target

    def state(self) -> PathState:
        """Returns the state of the direction now."""
        return self._paths.state(self._source, self._target)

    async def pump(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Copies a stream to its end, under the faults of the direction."""
        loop = asyncio.get_running_loop()
        queue: asyncio.Queue[tuple[float, bytes]] = asyncio.Queue(MAX_QUEUED_CHUNKS)
        writing = loop.create_task(self._write_queued(queue, writer))
        try:
            while True:
                chunk = await reader.read(CHUNK_BYTES)
                state = self.state()
                delay_s = state.delay_s + state.jitter_s * random.random()  # noqa: S311 - jitter of a test
                await queue.put((loop.time() + delay_s, chunk))
                if not chunk:
                    break
            await writing
        finally:
            writing.cancel()

    async def _write_queued(self, queue: asyncio.Queue[tuple[float, bytes]], writer: asyncio.StreamWriter) -> None:
        loop = asyncio.get_running_loop()
        while True:
            due_s, chunk = await queue.get()
            if (wait_s := due_s - loop.time()) > 0:
                await asyncio.sleep(wait_s)
            while (state := self.state()).is_cut:  # noqa: ASYNC110 - the state is computed, and no event reports it
                await asyncio.sleep(POLL_S)
            if not chunk:
                if writer.can_write_eof():
                    writer.write_eof()
                return
            size = max(1, int(state.bytes_per_s * POLL_S)) if state.bytes_per_s else len(chunk)
            for start in range(0, len(chunk), size):
                writer.write(chunk[start : start + size])
                await writer.drain()
                if state.bytes_per_s:
                    await asyncio.sleep(POLL_S)


class StreamRelay:
    """The address that `source` is given for `target`."""

    def __init__(
        self, paths: NetworkPaths, source: str, target: str, address: Address, target_address: Address
    ) -> None:
        self._target_address = target_address
        self._outward = StreamDirection(paths, source, target)
        self._backward = StreamDirection(paths, target, source)
        self._listener = Listener(address, self._serve)
        self._pairs: set[tuple[asyncio.StreamWriter, asyncio.StreamWriter]] = set()
        paths.listeners.append(self._apply_state)

    @property
    def address(self) -> Address:
        """Where `source` connects."""
        return self._listener.address

    def open(self) -> None:
        """Relays connections from now on."""
        self._listener.open()
        self._apply_state()

    def close(self) -> None:
        """Ends all connections."""
        self._listener.close()
        self._reset_all()

    def _reset_all(self) -> None:
        for pair in list(self._pairs):
            for writer in pair:
                reset_connection(writer)

    def _is_reset(self) -> bool:
        return self._outward.state().is_reset or self._backward.state().is_reset

    def _apply_state(self) -> None:
        if self._is_reset():
            self._reset_all()
        if self._outward.state().is_cut or self._backward.state().is_cut:
            self._listener.leave_unanswered()
        else:
            self._listener.answer_again()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self._is_reset():
            reset_connection(writer)
            return
        try:
            target_reader, target_writer = await asyncio.open_connection(*self._target_address)
        except OSError:
            reset_connection(writer)
            return
        pair = (writer, target_writer)
        self._pairs.add(pair)
        pumps = [
            asyncio.ensure_future(self._outward.pump(reader, target_writer)),
            asyncio.ensure_future(self._backward.pump(target_reader, writer)),
        ]
        try:
            done, _ = await asyncio.wait(pumps, return_when=asyncio.FIRST_EXCEPTION)
            if any(pump.exception() for pump in done):  # the other side has to see a reset too
                reset_connection(writer)
                reset_connection(target_writer)
        finally:
            self._pairs.discard(pair)
            for pump in pumps:
                pump.cancel()
            target_writer.close()


class DatagramRelays:
    """Datagrams between balancers.

    Each ordered pair has a socket that stands for one balancer at the other, so that a datagram comes from the address
    that its receiver knows the sender by.

    Attributes:
        delivered, lost: datagrams so far.
        observer: is called with sender, receiver and data of each datagram that is sent.
    """

    def __init__(
        self, paths: NetworkPaths, network: LoopbackNetwork, balancers: int, seed: int, is_relayed: bool = True
    ) -> None:
        """With `is_relayed` False, balancers have each other's own addresses, and no fault can affect datagrams."""
        self.delivered = self.lost = 0
        self.observer: DatagramObserver | None = None
        self._paths, self._network, self._count, self._is_relayed = paths, network, balancers, is_relayed
        self._rng = random.Random(seed)  # noqa: S311 - draws need be repeatable, not secret
        self._transports: dict[tuple[int, int], asyncio.DatagramTransport] = {}
        self._addresses: dict[tuple[int, int], Address] = {}
        self._held_back: dict[tuple[int, int], deque[bytes]] = {}

    async def open(self) -> None:
        """Opens a socket for each ordered pair."""
        loop = asyncio.get_running_loop()
        for represented in range(self._count if self._is_relayed else 0):
            for location in range(self._count):
                if represented == location:
                    continue
                address = self._network.next()
                relay = functools.partial(_DatagramRelay, self, sender=location, receiver=represented)
                transport, _ = await loop.create_datagram_endpoint(relay, local_addr=address)
                self._transports[represented, location] = transport
                self._addresses[represented, location] = address

    def close(self) -> None:
        """Closes all sockets."""
        for transport in self._transports.values():
            transport.close()

    def peers_of(self, number: int) -> list[str]:
        """Returns the addresses of all balancers as one of them has to use them, in the order of their numbers."""
        return [
            format_address(self._addresses.get((other, number), self._network.peer(other)))
            for other in range(self._count)
        ]

    def carry(self, sender: int, receiver: int, data: bytes) -> None:
        """Carries a datagram, under the faults of its direction."""
        if self.observer:
            self.observer(sender, receiver, data)
        state = self._paths.state(balancer_party(sender), balancer_party(receiver))
        if state.is_cut or state.is_reset or self._rng.random() < state.loss:
            self.lost += 1
            return
        held_back = self._held_back.setdefault((sender, receiver), deque())
        if self._rng.random() < state.reordering:
            held_back.append(data)
            return
        for _ in range(1 + (self._rng.random() < state.duplication)):
            self._send_later(sender, receiver, data, state)
        while held_back:
            self._send_later(sender, receiver, held_back.popleft(), state)

    def _send_later(self, sender: int, receiver: int, data: bytes, state: PathState) -> None:
        delay_s = state.delay_s + state.jitter_s * self._rng.random()
        asyncio.get_running_loop().call_later(delay_s, self._deliver, sender, receiver, data)

    def _deliver(self, sender: int, receiver: int, data: bytes) -> None:
        transport = self._transports[sender, receiver]
        if not transport.is_closing():
            self.delivered += 1
            transport.sendto(data, self._network.peer(receiver))


class _DatagramRelay(asyncio.DatagramProtocol):
    """The socket at which `sender` reaches `receiver`."""

    def __init__(self, relays: DatagramRelays, sender: int, receiver: int) -> None:
        self._relays, self._sender, self._receiver = relays, sender, receiver

    def datagram_received(self, data: bytes, addr: tuple[str | Any, int]) -> None:
        self._relays.carry(self._sender, self._receiver, data)
