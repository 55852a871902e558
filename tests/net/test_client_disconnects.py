"""Clients that disconnect as their answer arrives, or while the connection to the server is being set up."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import time

import pytest

from glenrock.config import Address
from glenrock.net.attempt_outcomes import AttemptProgress
from glenrock.net.connection_attempt import ConnectionAttempt
from glenrock.net.metrics import ConnectionOutcome
from glenrock.net.server_actor import ServerActor

from .rig import close_socket, count_descriptors, create_listener, fill_backlog, wait_until
from .single_server_rig import SingleServerRig

MAX_CANCEL_S = 2.0  # shorter than the 5 s after which the attempt would end by itself


def actor_of(rig: SingleServerRig) -> ServerActor:
    """Returns the actor of the only server."""
    actor = rig.program.servers.get("s1")
    assert actor is not None
    return actor


async def wait_for_attempt(rig: SingleServerRig) -> ConnectionAttempt:
    """Waits until the request `wait-1` has an attempt with a socket."""
    while True:
        connection = rig.connections.get("wait-1")
        if connection and connection.attempt and connection.attempt.sock:
            return connection.attempt
        await asyncio.sleep(0)


@pytest.mark.parametrize("reset", [False, True])
@pytest.mark.parametrize("answer", [b"UP r", b"ERR"])
async def test_client_that_disconnects_as_its_answer_arrives_counts_once(
    single_server: SingleServerRig, answer: bytes, reset: bool
) -> None:
    loop = asyncio.get_running_loop()
    listener = create_listener()
    actor_of(single_server).row.address = Address(*listener.getsockname())
    client = socket.create_connection(("127.0.0.1", single_server.port))
    client.sendall(b"OPEN wait-1 1 c=look,d=1000\r\n")
    await wait_for_attempt(single_server)
    server_side, _ = await loop.sock_accept(listener)
    assert (await loop.sock_recv(server_side, 100)).startswith(b"OPEN wait-1 ")
    # The answer and the client's end are both in the kernel, in this order, before the event loop polls again.
    server_side.sendall(answer + b"\r\n")
    close_socket(client, reset)
    async with asyncio.timeout(5):  # if the program misses the client's end, no later event ends the connection
        with contextlib.suppress(ConnectionResetError):  # a reset is forwarded as a reset
            while await loop.sock_recv(server_side, 100):
                pass
        server_side.close()
        await wait_until(lambda: not single_server.connections)
    listener.close()
    assert sum(single_server.outcome_counts().values()) == 1


async def test_client_that_disconnects_while_connecting_cancels_the_attempt(single_server: SingleServerRig) -> None:
    listener = create_listener(backlog=0)
    fillers = fill_backlog(listener)
    await asyncio.sleep(0.05)
    actor = actor_of(single_server)
    actor.row.address = Address(*listener.getsockname())
    single_server.program.servers.connect_timeout_ms = actor.connect_timeout_ms = 9000.0
    descriptors = count_descriptors()
    client = socket.create_connection(("127.0.0.1", single_server.port))
    client.sendall(b"OPEN wait-1 1 c=look,d=5000\r\n")
    attempt = await wait_for_attempt(single_server)
    await asyncio.sleep(0.05)
    assert attempt.task is not None
    assert attempt.progress is AttemptProgress.NOT_CONNECTED
    assert not attempt.task.done()
    client.close()
    closed_s = time.monotonic()
    await wait_until(lambda: not single_server.connections and not single_server.program.acceptor.tasks)
    assert time.monotonic() - closed_s < MAX_CANCEL_S
    assert attempt.task.done()
    assert attempt.sock is None
    assert count_descriptors() <= descriptors
    assert not single_server.program.routing.balancer.requests
    assert single_server.outcome_counts() == {ConnectionOutcome.LEFT: 1}
    for sock in [*fillers, listener]:
        sock.close()
