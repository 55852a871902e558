"""Clients that leave at an awkward moment: as their answer comes, or while their instance is being dialled."""

from __future__ import annotations

import asyncio
import contextlib
import os
import socket
import time

import pytest
import uvloop
from test_ends import Ends


async def together(word: bytes, reset: bool) -> dict[str, int]:
    site = Ends()
    await site.open()
    loop, door = asyncio.get_running_loop(), socket.create_server(("127.0.0.1", 0))
    door.setblocking(False)
    instance = site.program.servers.get("s1")
    instance.row.address = door.getsockname()
    client = socket.create_connection(("127.0.0.1", site.port))
    client.sendall(b"OPEN wait-1 1 c=look,d=1000\r\n")
    while not (site.commands and site.commands["wait-1"].attempt and site.commands["wait-1"].attempt.sock):
        await asyncio.sleep(0)
    at, _ = await loop.sock_accept(door)
    assert (await loop.sock_recv(at, 100)).startswith(b"OPEN wait-1 ")
    # Both lie in the kernel before the loop looks again, the answer first.
    at.sendall(word + b"\r\n")
    if reset:
        client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
    client.close()
    async with asyncio.timeout(5):  # an end that is lost is never made up for
        with contextlib.suppress(ConnectionResetError):  # an end comes in kind
            while await loop.sock_recv(at, 100):
                pass
        at.close()
        while site.commands:
            await asyncio.sleep(0.01)
    door.close()
    return {o: c["look"] for o, c in site.counts.outcomes.items() if c["look"]}


@pytest.mark.parametrize("reset", [False, True])
@pytest.mark.parametrize("word", [b"UP r", b"ERR"])
def test_a_client_that_leaves_as_its_answer_comes_leaves_nothing(word: bytes, reset: bool) -> None:
    counts = uvloop.run(together(word, reset))
    assert sum(counts.values()) == 1


async def while_dialling() -> tuple[float, dict[str, int]]:
    """How long a command outlives its client while the dial hangs, in seconds, and the counts."""
    site = Ends()
    await site.open()
    full = socket.socket()
    full.bind(("127.0.0.1", 0))
    full.listen(0)
    waiting = []
    for _ in range(4):  # its queue is full: a further connection neither comes up nor is refused
        sock = socket.socket()
        sock.setblocking(False)
        sock.connect_ex(full.getsockname())
        waiting.append(sock)
    await asyncio.sleep(0.05)
    site.program.servers.get("s1").row.address = full.getsockname()
    site.program.servers.connect_timeout_ms = site.program.servers.get("s1").connect_timeout_ms = 9000.0
    descriptors = len(os.listdir("/proc/self/fd"))
    client = socket.create_connection(("127.0.0.1", site.port))
    client.sendall(b"OPEN wait-1 1 c=look,d=5000\r\n")
    while not (site.commands and site.commands["wait-1"].attempt and site.commands["wait-1"].attempt.sock):
        await asyncio.sleep(0)
    await asyncio.sleep(0.05)
    execution = site.commands["wait-1"].attempt
    assert execution.reach == 0 and not execution.task.done(), "the dial hangs"
    client.close()
    began = time.monotonic()
    while site.commands or site.program.acceptor.tasks:
        await asyncio.sleep(0.001)
    took = time.monotonic() - began
    assert execution.task.done() and execution.sock is None
    assert len(os.listdir("/proc/self/fd")) <= descriptors and not site.program.routing.balancer.requests
    for sock in [*waiting, full]:
        sock.close()
    return took, {o: c["look"] for o, c in site.counts.outcomes.items() if c["look"]}


def test_a_client_that_leaves_during_a_dial_takes_the_dial_with_it() -> None:
    took, counts = uvloop.run(while_dialling())
    assert took < 2 and counts == {"left": 1}, "the dial alone would have gone on for five seconds"
