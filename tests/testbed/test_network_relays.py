"""Relays on real sockets: each fault affects its direction alone."""

from __future__ import annotations

import asyncio
import functools
import itertools
from collections.abc import Awaitable, Callable
from typing import Any

import pytest

from glenrock.testbed.loopback import Listener, LoopbackNetwork
from glenrock.testbed.network_faults import NetworkPaths
from glenrock.testbed.network_relays import DatagramRelays, StreamRelay
from glenrock.testbed.scenario import PathFault

from .scenarios import path_fault

NETWORK_NUMBERS = itertools.count(3)
PORTS_PER_NETWORK = 500
MAX_TEST_S = 20.0


def new_network() -> LoopbackNetwork:
    network = LoopbackNetwork()
    network.next_port += PORTS_PER_NETWORK * next(NETWORK_NUMBERS)  # beside those of other tests of this process
    return network


class RelayedEcho:
    """A server that sends each line back, behind a relay."""

    def __init__(self) -> None:
        network = new_network()
        self.paths = NetworkPaths(())
        self.server = Listener(network.next(), self.serve)
        self.relay = StreamRelay(self.paths, "balancer:0", "instance:0", network.next(), self.server.address)
        self.received: list[bytes] = []
        self.ended = asyncio.Event()

    async def __aenter__(self) -> RelayedEcho:
        self.server.open()
        self.relay.open()
        return self

    async def __aexit__(self, *_: object) -> None:
        self.relay.close()
        self.server.close()
        await asyncio.sleep(0)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while line := await reader.readline():
                self.received.append(line)
                writer.write(line)
        finally:
            self.ended.set()

    async def connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        return await asyncio.wait_for(asyncio.open_connection(*self.relay.address), 3)


def on_relayed_echo(test: Callable[[RelayedEcho], Awaitable[None]]) -> Callable[[], None]:
    """Returns the test function that runs a coroutine on a relayed echo server of its own."""

    async def run_test() -> None:
        async with RelayedEcho() as echo:
            await test(echo)

    def run() -> None:
        asyncio.run(asyncio.wait_for(run_test(), MAX_TEST_S))

    return run


async def read_line(reader: asyncio.StreamReader, timeout_s: float = 3.0) -> bytes:
    return await asyncio.wait_for(reader.readline(), timeout_s)


@on_relayed_echo
async def test_relay_without_faults_passes_data_and_ends(echo: RelayedEcho) -> None:
    reader, writer = await echo.connect()
    writer.write(b"one\n")
    assert await read_line(reader) == b"one\n"
    writer.write_eof()
    assert await read_line(reader) == b""
    assert echo.ended.is_set()


@on_relayed_echo
async def test_cut_holds_one_direction_and_loses_nothing(echo: RelayedEcho) -> None:
    reader, writer = await echo.connect()
    cut = path_fault("instance:0", "balancer:0", cut=True)
    echo.paths.begin(cut)
    writer.write(b"asked\n")
    with pytest.raises(TimeoutError):
        await read_line(reader, 0.3)
    assert echo.received == [b"asked\n"], "the other direction is whole"
    echo.paths.end(cut)
    assert await read_line(reader) == b"asked\n"


@on_relayed_echo
async def test_connections_come_up_only_after_a_cut(echo: RelayedEcho) -> None:
    cut = path_fault(cut=True)
    echo.paths.begin(cut)
    with pytest.raises(TimeoutError):
        async with asyncio.timeout(0.5):
            await asyncio.open_connection(*echo.relay.address)
    echo.paths.end(cut)
    reader, writer = await echo.connect()
    writer.write(b"again\n")
    assert await read_line(reader) == b"again\n"
    assert echo.received == [b"again\n"]


@on_relayed_echo
async def test_reset_ends_both_sides_and_rejects_new_connections(echo: RelayedEcho) -> None:
    reader, writer = await echo.connect()
    writer.write(b"one\n")
    await read_line(reader)
    echo.paths.begin(path_fault(reset=True))
    with pytest.raises(ConnectionResetError):
        await read_line(reader)
    await asyncio.wait_for(echo.ended.wait(), 3)
    with pytest.raises(ConnectionResetError):
        reader, writer = await echo.connect()
        writer.write(b"two\n")
        assert not await read_line(reader)
        raise ConnectionResetError  # an end at once is as good
    assert echo.received == [b"one\n"]


@on_relayed_echo
async def test_delay_and_rate_limit_slow_their_direction(echo: RelayedEcho) -> None:
    loop = asyncio.get_running_loop()
    reader, writer = await echo.connect()
    delay = path_fault(delay_ms=300.0)
    rate_limit = path_fault("instance:0", "balancer:0", trickle=1000.0)
    for fault in (delay, rate_limit):
        echo.paths.begin(fault)
        began_s = loop.time()
        writer.write(b"x" * 399 + b"\n")
        assert len(await read_line(reader, 10)) == 400
        assert loop.time() - began_s >= 0.3
        echo.paths.end(fault)


class ReceivingPeer(asyncio.DatagramProtocol):
    """A balancer that keeps what it receives from the only other one."""

    def __init__(self, number: int, relays: DatagramRelays) -> None:
        self.received: list[bytes] = []
        self._other_address = relays.peers_of(number)[1 - number]

    def datagram_received(self, data: bytes, addr: tuple[str | Any, int]) -> None:
        """Keeps a datagram. Its sender has the address that this balancer knows the other by."""
        assert f"{addr[0]}:{addr[1]}" == self._other_address
        self.received.append(data)


async def exchange_datagrams(fault: PathFault, count: int) -> list[list[bytes]]:
    """Lets each of two balancers send the other so many numbered datagrams. Returns what each receives."""
    loop = asyncio.get_running_loop()
    network, paths = new_network(), NetworkPaths(())
    relays = DatagramRelays(paths, network, 2, seed=5)
    await relays.open()
    paths.begin(fault)
    transports, peers = [], []
    for number in range(2):
        open_peer = functools.partial(ReceivingPeer, number, relays)
        transport, peer = await loop.create_datagram_endpoint(open_peer, local_addr=network.peer(number))
        transports.append(transport)
        peers.append(peer)
    for datagram in range(count):
        for number, transport in enumerate(transports):
            host, _, port = relays.peers_of(number)[1 - number].partition(":")
            transport.sendto(b"%d" % datagram, (host, int(port)))
        await asyncio.sleep(0.001)
    await asyncio.sleep(0.2)
    for transport in transports:
        transport.close()
    relays.close()
    return [peer.received for peer in peers]


@pytest.mark.parametrize(
    ("fields", "is_expected"),
    [
        ({}, lambda received, sent: received == sent),
        ({"loss": 1.0}, lambda received, sent: not received),
        ({"loss": 0.5}, lambda received, sent: 0.2 < len(received) / len(sent) < 0.8),
        ({"cut": True}, lambda received, sent: not received),
        ({"doubled": 1.0}, lambda received, sent: len(received) == 2 * len(sent)),
        ({"disordered": 0.5}, lambda received, sent: received != sent and len(received) >= 0.9 * len(sent)),
    ],
)
def test_datagram_faults_in_one_direction(
    fields: dict[str, Any], is_expected: Callable[[list[bytes], list[bytes]], bool]
) -> None:
    sent = [b"%d" % number for number in range(60)]
    fault = path_fault("balancer:0", "balancer:1", **fields)
    at_sender, at_receiver = asyncio.run(exchange_datagrams(fault, len(sent)))
    assert is_expected(at_receiver, sent), at_receiver
    assert at_sender == sent, "the other direction is whole"
