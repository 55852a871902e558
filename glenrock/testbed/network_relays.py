"""Relays in the ways between parties: what `NetworkPaths` says of a direction is done to what goes through them.

TCP carries every byte or none, as a network does: a cut direction holds its bytes until it is whole again, and
no connection comes up meanwhile. Datagrams are lost, doubled, delayed and put out of order one by one.
"""

from __future__ import annotations

import asyncio
import random
from collections import deque
from collections.abc import Callable

from .loopback import Address, Listener, LoopbackNetwork, reset_connection
from .network_faults import NetworkPaths, State

CHUNK = 16384
HELD = 64  # chunks under way in one direction: past it the sender waits
LOOK_S = 0.01  # a cut direction looks this often whether it is whole again


class Direction:
    """One direction of one stream: read here, written there, as late as the way says."""

    def __init__(self, ways: NetworkPaths, source: str, target: str) -> None:
        self.ways, self.source, self.target = ways, source, target

    def state(self) -> State:
        return self.ways.of(self.source, self.target)

    async def pump(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        loop = asyncio.get_running_loop()
        held: asyncio.Queue[tuple[float, bytes]] = asyncio.Queue(HELD)
        out = loop.create_task(self.write(held, writer))
        try:
            while True:
                chunk = await reader.read(CHUNK)
                state = self.state()
                await held.put((loop.time() + state.delay + state.jitter * random.random(), chunk))
                if not chunk:
                    break
            await out
        finally:
            out.cancel()

    async def write(self, held: asyncio.Queue[tuple[float, bytes]], writer: asyncio.StreamWriter) -> None:
        loop = asyncio.get_running_loop()
        while True:
            due, chunk = await held.get()
            if (wait := due - loop.time()) > 0:
                await asyncio.sleep(wait)
            while (state := self.state()).cut:
                await asyncio.sleep(LOOK_S)
            if not chunk:
                if writer.can_write_eof():
                    writer.write_eof()
                return
            step = max(1, int(state.trickle * LOOK_S)) if state.trickle else len(chunk)
            for at in range(0, len(chunk), step):
                writer.write(chunk[at : at + step])
                await writer.drain()
                if state.trickle:
                    await asyncio.sleep(LOOK_S)


class StreamRelay:
    """The address that `source` is given for `target`."""

    def __init__(self, ways: NetworkPaths, source: str, target: str, address: Address, onward: Address) -> None:
        self.ways, self.onward = ways, onward
        self.there, self.back = Direction(ways, source, target), Direction(ways, target, source)
        self.listener = Listener(address, self.serve)
        self.pairs: set[tuple[asyncio.StreamWriter, asyncio.StreamWriter]] = set()
        ways.listeners.append(self.changed)

    def open(self) -> None:
        self.listener.open()
        self.changed()

    def cut(self) -> bool:
        return self.there.state().cut or self.back.state().cut

    def changed(self) -> None:
        if self.there.state().reset or self.back.state().reset:
            for pair in self.pairs:
                for writer in pair:
                    reset_connection(writer)
        if self.cut():
            self.listener.deafen()
        else:
            self.listener.hear()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.there.state().reset or self.back.state().reset:
            reset_connection(writer)
            return
        try:
            there, onward = await asyncio.open_connection(*self.onward)
        except OSError:
            reset_connection(writer)
            return
        pair = (writer, onward)
        self.pairs.add(pair)
        pumps = [
            asyncio.ensure_future(self.there.pump(reader, onward)),
            asyncio.ensure_future(self.back.pump(there, writer)),
        ]
        try:
            done, _ = await asyncio.wait(pumps, return_when=asyncio.FIRST_EXCEPTION)
            if any(p.exception() for p in done):  # an end that was no end of sending is passed on as one
                reset_connection(writer)
                reset_connection(onward)
        finally:
            self.pairs.discard(pair)
            for p in pumps:
                p.cancel()
            onward.close()

    def close(self) -> None:
        self.listener.close()
        for pair in list(self.pairs):
            for writer in pair:
                reset_connection(writer)


class DatagramRelays:
    """Datagrams between balancers. Each ordered pair has a socket that stands for one of them at the other, so that
    a datagram comes from the address that its receiver knows its sender by.
    """

    def __init__(
        self, ways: NetworkPaths, net: LoopbackNetwork, balancers: int, seed: int, relayed: bool = True
    ) -> None:
        """`relayed` False: balancers have each other's own addresses, and nothing can strike what they say."""
        self.ways, self.net, self.count, self.relayed = ways, net, balancers, relayed
        self.draw = random.Random(seed)
        self.doors: dict[tuple[int, int], asyncio.DatagramTransport] = {}
        self.addresses: dict[tuple[int, int], Address] = {}
        self.late: dict[tuple[int, int], deque[bytes]] = {}
        self.carried = self.lost = 0
        self.seen: Callable[[int, int, bytes], None] | None = None  # hears of each that was sent

    async def open(self) -> None:
        loop = asyncio.get_running_loop()
        for one in range(self.count if self.relayed else 0):
            for at in range(self.count):
                if one != at:
                    address = self.net.next()
                    transport, _ = await loop.create_datagram_endpoint(
                        lambda one=one, at=at: Door(self, one, at), local_addr=address
                    )
                    self.doors[one, at], self.addresses[one, at] = transport, address

    def peers_of(self, n: int) -> list[str]:
        """What balancer n is told of the others, in the order of their numbers; itself among them."""
        listed = [self.addresses.get((m, n), self.net.peer(m)) for m in range(self.count)]
        return [f"{host}:{port}" for host, port in listed]

    def carry(self, sender: int, receiver: int, data: bytes) -> None:
        if self.seen:
            self.seen(sender, receiver, data)
        state = self.ways.of(f"balancer:{sender}", f"balancer:{receiver}")
        if state.cut or state.reset or self.draw.random() < state.loss:
            self.lost += 1
            return
        held = self.late.setdefault((sender, receiver), deque())
        if self.draw.random() < state.disordered:
            held.append(data)
            return
        for _ in range(1 + (self.draw.random() < state.doubled)):
            self.send(sender, receiver, data, state)
        while held:
            self.send(sender, receiver, held.popleft(), state)

    def send(self, sender: int, receiver: int, data: bytes, state: State) -> None:
        wait = state.delay + state.jitter * self.draw.random()
        asyncio.get_running_loop().call_later(wait, self.hand_over, sender, receiver, data)

    def hand_over(self, sender: int, receiver: int, data: bytes) -> None:
        door = self.doors[sender, receiver]
        if not door.is_closing():
            self.carried += 1
            door.sendto(data, self.net.peer(receiver))

    def close(self) -> None:
        for door in self.doors.values():
            door.close()


class Door(asyncio.DatagramProtocol):
    """What `at` sends here is meant for `one`."""

    def __init__(self, post: DatagramRelays, one: int, at: int) -> None:
        self.post, self.one, self.at = post, one, at

    def datagram_received(self, data: bytes, sender: Address) -> None:
        self.post.carry(self.at, self.one, data)
