"""Clients that disconnect as their answer arrives, or while a connection to the server is being set up."""

from __future__ import annotations

import asyncio
import contextlib
import os
import socket
import time

import pytest
import uvloop

from glenrock.config import Address

from .single_server_rig import SingleServerRig


async def disconnect_with_answer(answer: bytes, reset: bool) -> dict[str, int]:
    """Lets the server's answer and the client's end arrive together. Returns the outcome counts."""
    rig = SingleServerRig()
    await rig.open()
    loop, listener = asyncio.get_running_loop(), socket.create_server(("127.0.0.1", 0))
    listener.setblocking(False)
    rig.program.servers.get("s1").row.address = Address(*listener.getsockname())
    client = socket.create_connection(("127.0.0.1", rig.port))
    client.sendall(b"OPEN wait-1 1 c=look,d=1000\r\n")
    while not (rig.connections and rig.connections["wait-1"].attempt and rig.connections["wait-1"].attempt.sock):
        await asyncio.sleep(0)
    server_sock, _ = await loop.sock_accept(listener)
    assert (await loop.sock_recv(server_sock, 100)).startswith(b"OPEN wait-1 ")
    # Both are in the kernel before the loop polls again, the answer first.
    server_sock.sendall(answer + b"\r\n")
    if reset:
        client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
    client.close()
    async with asyncio.timeout(5):  # no later event makes up for an end that is missed
        with contextlib.suppress(ConnectionResetError):  # a reset is forwarded as a reset
            while await loop.sock_recv(server_sock, 100):
                pass
        server_sock.close()
        while rig.connections:
            await asyncio.sleep(0.01)
    listener.close()
    return rig.outcome_counts()


@pytest.mark.parametrize("reset", [False, True])
@pytest.mark.parametrize("answer", [b"UP r", b"ERR"])
def test_client_that_disconnects_as_its_answer_arrives_counts_once(answer: bytes, reset: bool) -> None:
    counts = uvloop.run(disconnect_with_answer(answer, reset))
    assert sum(counts.values()) == 1


async def disconnect_while_connecting() -> tuple[float, dict[str, int]]:
    """Lets a client disconnect while the connection to its server hangs.

    Returns the seconds that the request outlives its client, and the outcome counts.
    """
    rig = SingleServerRig()
    await rig.open()
    listener = socket.socket()
    listener.bind(("127.0.0.1", 0))
    listener.listen(0)
    queued = []
    for _ in range(4):  # with a full queue, a further connection is neither set up nor refused
        sock = socket.socket()
        sock.setblocking(False)
        sock.connect_ex(listener.getsockname())
        queued.append(sock)
    await asyncio.sleep(0.05)
    servers = rig.program.servers
    servers.get("s1").row.address = Address(*listener.getsockname())
    servers.connect_timeout_ms = servers.get("s1").connect_timeout_ms = 9000.0
    descriptors = len(os.listdir("/proc/self/fd"))
    client = socket.create_connection(("127.0.0.1", rig.port))
    client.sendall(b"OPEN wait-1 1 c=look,d=5000\r\n")
    while not (rig.connections and rig.connections["wait-1"].attempt and rig.connections["wait-1"].attempt.sock):
        await asyncio.sleep(0)
    await asyncio.sleep(0.05)
    attempt = rig.connections["wait-1"].attempt
    assert attempt.reach == 0 and not attempt.task.done(), "the connection is not set up"
    client.close()
    closed_s = time.monotonic()
    while rig.connections or rig.program.acceptor.tasks:
        await asyncio.sleep(0.001)
    outlived_s = time.monotonic() - closed_s
    assert attempt.task.done() and attempt.sock is None
    assert len(os.listdir("/proc/self/fd")) <= descriptors and not rig.program.routing.balancer.requests
    for sock in [*queued, listener]:
        sock.close()
    return outlived_s, rig.outcome_counts()


def test_client_that_disconnects_while_connecting_cancels_the_attempt() -> None:
    outlived_s, counts = uvloop.run(disconnect_while_connecting())
    assert outlived_s < 2 and counts == {"left": 1}, "the attempt's own timeout is 5 s"
