"""Relays on real sockets: each fault affects its direction alone."""

from __future__ import annotations

import asyncio
import itertools

import pytest

from glenrock.testbed.loopback import Listener, LoopbackNetwork
from glenrock.testbed.network_faults import NetworkPaths
from glenrock.testbed.network_relays import DatagramRelays, StreamRelay
from glenrock.testbed.scenario import PathFault

NUMBERS = itertools.count(3)


def net() -> LoopbackNetwork:
    base = LoopbackNetwork()
    base.next_port += 500 * next(NUMBERS)  # beside those of other tests of this process
    return base


def way(source="balancer:0", target="instance:0", **over) -> PathFault:
    return PathFault(at_s=0.0, source=source, target=target, **over)


class Echo:
    """An instance that answers each line, behind a relay."""

    async def __aenter__(self) -> Echo:
        self.ways, n = NetworkPaths(()), net()
        self.there, self.got, self.ended = Listener(n.next(), self.serve), [], asyncio.Event()
        self.there.open()
        self.relay = StreamRelay(self.ways, "balancer:0", "instance:0", n.next(), self.there.address)
        self.relay.open()
        return self

    async def __aexit__(self, *_) -> None:
        self.relay.close()
        self.there.close()
        await asyncio.sleep(0)

    async def serve(self, reader, writer) -> None:
        try:
            while line := await reader.readline():
                self.got.append(line)
                writer.write(line)
        finally:
            self.ended.set()

    async def connect(self):
        return await asyncio.wait_for(asyncio.open_connection(*self.relay.address), 3)


def plays(test):
    def run() -> None:
        async def inside() -> None:
            async with Echo() as echo:
                await test(echo)

        asyncio.run(asyncio.wait_for(inside(), 20))

    run.__name__ = test.__name__
    return run


async def line(reader, within=3.0) -> bytes:
    return await asyncio.wait_for(reader.readline(), within)


@plays
async def test_relay_without_faults_passes_data_and_ends(echo) -> None:
    reader, writer = await echo.connect()
    writer.write(b"one\n")
    assert await line(reader) == b"one\n"
    writer.write_eof()
    assert await line(reader) == b"" and echo.ended.is_set()


@plays
async def test_cut_holds_one_direction_and_loses_nothing(echo) -> None:
    reader, writer = await echo.connect()
    cut = way("instance:0", "balancer:0", cut=True)
    echo.ways.begin(cut)
    writer.write(b"asked\n")
    with pytest.raises(TimeoutError):
        await line(reader, 0.3)
    assert echo.got == [b"asked\n"], "the other direction is whole"
    echo.ways.end(cut)
    assert await line(reader) == b"asked\n"


@plays
async def test_connections_come_up_only_after_a_cut(echo) -> None:
    cut = way(cut=True)
    echo.ways.begin(cut)
    with pytest.raises(TimeoutError):
        async with asyncio.timeout(0.5):
            await asyncio.open_connection(*echo.relay.address)
    echo.ways.end(cut)
    reader, writer = await echo.connect()
    writer.write(b"again\n")
    assert await line(reader) == b"again\n" and echo.got == [b"again\n"]


@plays
async def test_reset_ends_both_sides_and_rejects_new_connections(echo) -> None:
    reader, writer = await echo.connect()
    writer.write(b"one\n")
    await line(reader)
    reset = way(reset=True)
    echo.ways.begin(reset)
    with pytest.raises(ConnectionResetError):
        await line(reader)
    await asyncio.wait_for(echo.ended.wait(), 3)
    with pytest.raises(ConnectionResetError):
        reader, writer = await echo.connect()
        writer.write(b"two\n")
        assert not await line(reader)
        raise ConnectionResetError  # an end at once is as good
    assert echo.got == [b"one\n"]


@plays
async def test_delay_and_rate_limit_slow_their_direction(echo) -> None:
    loop = asyncio.get_running_loop()
    reader, writer = await echo.connect()
    for fault, least in ((way(delay_ms=300.0), 0.3), (way("instance:0", "balancer:0", trickle=1000.0), 0.3)):
        echo.ways.begin(fault)
        began = loop.time()
        writer.write(b"x" * 399 + b"\n")
        assert len(await line(reader, 10)) == 400
        assert loop.time() - began >= least
        echo.ways.end(fault)


def datagrams(fault: PathFault | None, count: int) -> list[list[bytes]]:
    """What two balancers hear of what each sends the other."""

    async def run() -> list[list[bytes]]:
        n, heard, ways = net(), [[], []], NetworkPaths(())
        post = DatagramRelays(ways, n, 2, seed=5)
        await post.open()
        if fault:
            ways.begin(fault)
        loop = asyncio.get_running_loop()

        class Peer(asyncio.DatagramProtocol):
            def __init__(self, number: int) -> None:
                self.number = number

            def datagram_received(self, data, sender) -> None:
                assert f"{sender[0]}:{sender[1]}" == post.peers_of(self.number)[1 - self.number], "known by its sender"
                heard[self.number].append(data)

        ends = [(await loop.create_datagram_endpoint(lambda n_=k: Peer(n_), local_addr=n.peer(k)))[0] for k in (0, 1)]
        for k in range(count):
            for number, end in enumerate(ends):
                host, _, port = post.peers_of(number)[1 - number].partition(":")
                end.sendto(b"%d" % k, (host, int(port)))
            await asyncio.sleep(0.001)
        await asyncio.sleep(0.2)
        for end in ends:
            end.close()
        post.close()
        return heard

    return asyncio.run(run())


@pytest.mark.parametrize(
    "over, test",
    [
        ({}, lambda got, sent: got == sent),
        ({"loss": 1.0}, lambda got, sent: not got),
        ({"loss": 0.5}, lambda got, sent: 0.2 < len(got) / len(sent) < 0.8),
        ({"cut": True}, lambda got, sent: not got),
        ({"doubled": 1.0}, lambda got, sent: len(got) == 2 * len(sent)),
        ({"disordered": 0.5}, lambda got, sent: got != sent and len(got) >= 0.9 * len(sent)),
    ],
)
def test_datagram_faults_in_one_direction(over, test) -> None:
    sent = [b"%d" % k for k in range(60)]
    zero, one = datagrams(way("balancer:0", "balancer:1", **over), 60)
    assert test(one, sent), one
    assert zero == sent, "the way back is whole"
