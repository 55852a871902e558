"""Through whatever end: each connection counts once, and nothing of it is left."""

from __future__ import annotations

import asyncio
import gc
import os
import random
import socket
from collections import Counter

import pytest
import uvloop
from hypothesis import given
from hypothesis import strategies as st
from net.settings import SETTINGS

from glenrock.admin.listener import MAX_CALLERS, Listener
from glenrock.config import parse_config
from glenrock.net.attempt_outcomes import AttemptEnd
from glenrock.net.clock import Clock
from glenrock.net.connection_attempt import ConnectionAttempt
from glenrock.net.descriptor_budget import DescriptorBudget
from glenrock.net.discovery_client import HttpAnswer as DiscoveryAnswer
from glenrock.net.endpoint_rows import EndpointRow
from glenrock.net.metrics import ConnectionMetrics
from glenrock.net.protocol import LineSplitter
from glenrock.net.server_connections import ServerRegistry
from glenrock.net.start_times import StartTimes
from glenrock.program import Program
from glenrock.routing.interface import EndpointListKind, EndpointState


class Ends:
    """A program with one instance whose next answer the client names in its id, and clients that end as they will."""

    async def open(self) -> None:
        self.server = await asyncio.start_server(self.instance, "127.0.0.1", 0)
        mute = self.mute = socket.create_server(("127.0.0.1", 0))
        port = self.server.sockets[0].getsockname()[1]
        row = {
            "name": "s1",
            "address": f"127.0.0.1:{port}",
            "zone": "a",
            "type": "m",
            "group": 0,
            "status": "SERVING",
            "weight": 1.0,
            "since_ms": 0,
        }
        settings = {**SETTINGS, "balancers": 1, "caps": {**SETTINGS["caps"], "maxAttempts": 1}}
        self.program = Program(
            parse_config(
                {
                    "listen": "127.0.0.1:0",
                    "admin": "127.0.0.1:0",
                    "settings": settings,
                    "seed": "7",
                    "discovery": f"127.0.0.1:{mute.getsockname()[1]}",
                    "known": {"index": 1, "snapshot": True, "endpoints": [row]},
                }
            ),
            Clock(),
        )
        await self.program.start()
        self.port = self.program.acceptor.listener.getsockname()[1]
        self.counts, self.commands = self.program.connections.metrics, self.program.connections.by_id

    async def instance(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        line = (await reader.readline()).decode()
        how = line.split(" ")[1].split("-")[0] if line.startswith("OPEN") else ""
        if how in ("up", "leaves", "floods"):
            writer.write(b"UP r\r\n")
            while (got := await reader.readline()) and how != "floods":
                writer.write(got)
            try:
                while how == "floods":  # whoever does not read has a write blocked
                    writer.write(b"x" * 65536)
                    await writer.drain()
            except OSError:
                pass
        elif how in ("busy", "err"):
            writer.write(b"BUSY\r\n" if how == "busy" else b"ERR\r\n")
        else:
            await reader.read()
        writer.close()

    async def client(self, how: str, number: int, cuts: list[int]) -> None:
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        line = b"OPEN %s-%d %x c=look,d=1000\r\n" % (how.encode(), number, number)
        at = 0
        for cut in sorted(cuts):
            writer.write(line[at:cut])
            at = max(at, cut)
            await asyncio.sleep(0.001)
        writer.write(line[at:])
        if how == "leaves" or how == "silent":  # before UP, or during it
            await asyncio.sleep(0 if number % 2 else 0.02)
            writer.transport.abort()
            return
        if how == "early":
            writer.write(b"more\r\n")
        if how == "floods":
            await asyncio.sleep(0.2)
            writer.transport.abort()
            return
        assert await reader.readline()
        if how == "up":
            writer.write(b"hello\r\n")
            assert await reader.readline() == b"hello\r\n"
        writer.close()

    async def quiet(self) -> None:
        for _ in range(300):
            if not self.commands and not self.program.acceptor.tasks:
                return
            await asyncio.sleep(0.01)
        raise AssertionError(f"left: {list(self.commands)}, {len(self.program.acceptor.tasks)} connections")


WANT = {
    "up": ("fulfilled",),
    "busy": ("throttled",),
    "err": ("faulted", "throttled"),
    "early": ("faulted",),
    "leaves": ("left", "fulfilled"),
    "silent": ("left",),
    "floods": ("fulfilled",),
}


async def ended(seed: int) -> None:
    draw, site = random.Random(seed), Ends()
    await site.open()
    await asyncio.gather(*(site.client("up", 900 + n, []) for n in range(3)))  # probes and pools are warm
    await site.quiet()
    before = dict(site.counts.outcomes["fulfilled"])
    tasks, descriptors = len(asyncio.all_tasks()), len(os.listdir("/proc/self/fd"))
    script = [draw.choice(list(WANT)) for _ in range(40)]
    await asyncio.gather(
        *(site.client(how, n, [draw.randrange(40) for _ in range(draw.randrange(4))]) for n, how in enumerate(script))
    )
    await site.quiet()
    got = Counter({o: c["look"] for o, c in site.counts.outcomes.items()}) - Counter(fulfilled=before["look"])
    assert sum(got.values()) == len(script), (got, Counter(script))
    sure = Counter(WANT[how][0] for how in script if len(WANT[how]) == 1)
    assert all(got[outcome] >= count for outcome, count in sure.items()), (got, Counter(script))
    assert site.program.connections.count_open() == 0 and not site.program.routing.balancer.requests
    gc.collect()
    for _ in range(100):  # ends of the stand-in's own connections are seen in later turns
        if len(os.listdir("/proc/self/fd")) <= descriptors and len(asyncio.all_tasks()) <= tasks:
            return
        await asyncio.sleep(0.02)
    raise AssertionError(
        f"{len(os.listdir('/proc/self/fd'))} descriptors of {descriptors}, {len(asyncio.all_tasks())} tasks of {tasks}"
    )


@pytest.mark.parametrize("seed", range(4))
def test_each_end_counts_once_and_leaves_nothing(seed: int) -> None:
    uvloop.run(ended(seed))


async def crowded() -> None:
    site = Ends()
    await site.open()
    listener: Listener = site.program.operators.listener
    port = listener.listening_socket.getsockname()[1]
    mute = [await asyncio.open_connection("127.0.0.1", port) for _ in range(3 * MAX_CALLERS)]
    half = [await asyncio.open_connection("127.0.0.1", port) for _ in range(MAX_CALLERS)]
    for _, writer in half:
        writer.write(b"GET /v1/re")
    for _ in range(5):
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(b"GET /v1/readyz HTTP/1.1\r\n\r\n")
        answer = await asyncio.wait_for(reader.read(), 1)
        assert answer.startswith(b"HTTP/1.1 200 ") and answer.endswith(b"\r\n\r\ntakes clients\n")
        writer.close()
        assert len(listener.callers) <= MAX_CALLERS + 1
    assert await asyncio.wait_for(mute[0][0].read(), 1) == b""  # the oldest made room
    assert site.program.budget.operators >= MAX_CALLERS


def test_callers_that_say_nothing_cost_few_descriptors_and_delay_nobody() -> None:
    uvloop.run(crowded())


@given(
    st.lists(st.binary(max_size=12).map(lambda b: b.replace(b"\n", b" ")), max_size=6), st.binary(max_size=6), st.data()
)
def test_lines_cut_anywhere_are_the_same_lines(whole: list[bytes], rest: bytes, data: st.DataObject) -> None:
    rest = rest.replace(b"\n", b"")
    stream = b"".join(line + b"\n" for line in whole) + rest
    splitter, got, at = LineSplitter(), [], 0
    while at < len(stream):
        n = data.draw(st.integers(1, len(stream) - at))
        got += splitter.feed(stream[at : at + n])
        at += n
    assert got == [line + b"\n" for line in whole] and splitter.is_between_lines == (not rest)


def test_an_answer_of_discovery_cut_anywhere_is_the_same_answer() -> None:
    body = b'{"index":1,"snapshot":true,"endpoints":[]}'
    text = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)
    for cut in range(1, len(text)):
        answer = DiscoveryAnswer()
        answer.parser.feed_data(text[:cut])
        assert not answer.is_complete
        answer.parser.feed_data(text[cut:])
        assert answer.is_complete and answer.keeps_alive and bytes(answer.body) == body


async def held(turns: int) -> tuple[AttemptEnd, bytes]:
    """An execution whose instance is taken out so many turns of the loop after it was queued; what reached it."""
    got = bytearray()

    async def instance(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        got.extend(await reader.read(100))
        writer.close()

    server = await asyncio.start_server(instance, "127.0.0.1", 0)
    instances = ServerRegistry(
        Clock(), 250, lambda e: True, ConnectionMetrics(["look"]), DescriptorBudget(1024), StartTimes(Clock(), 5000)
    )
    instances.update(EndpointListKind.FULL, [EndpointRow("s1", server.sockets[0].getsockname(), EndpointState.READY)])
    done = asyncio.get_running_loop().create_future()
    attempt = ConnectionAttempt(b"OPEN 1 1 c=look,d=900\r\n", 900, lambda x, end: done.set_result(end))
    instances.get("s1").mailbox.put(attempt)
    for _ in range(turns):
        await asyncio.sleep(0)
    instances.set_suspended("s1", True)
    instances.update(
        EndpointListKind.CHANGES, [EndpointRow("s1", server.sockets[0].getsockname(), EndpointState.READY)]
    )
    outcome = await asyncio.wait_for(done, 2)
    await asyncio.sleep(0.02)
    server.close()
    return outcome.end, bytes(got)


@pytest.mark.parametrize("turns", [0, 1, 2])
def test_nothing_queued_or_dialled_starts_at_one_that_is_out(turns: int) -> None:
    assert uvloop.run(held(turns)) == (AttemptEnd.NOT_SENT, b"")
