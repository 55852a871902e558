"""Attempts at a server that is suspended while they are queued or connecting."""

from __future__ import annotations

import asyncio

import pytest

from glenrock.config import Address
from glenrock.net.attempt_outcomes import AttemptEnd, AttemptResult
from glenrock.net.clock import Clock
from glenrock.net.connection_attempt import ConnectionAttempt
from glenrock.net.descriptor_budget import DescriptorBudget
from glenrock.net.endpoint_rows import EndpointRow
from glenrock.net.metrics import ConnectionMetrics
from glenrock.net.server_connections import ServerRegistry
from glenrock.net.start_times import StartTimes
from glenrock.routing.interface import EndpointListKind, EndpointState


@pytest.mark.usefixtures("runner")
@pytest.mark.parametrize("iterations", [0, 1, 2])
async def test_queued_or_connecting_attempt_sends_nothing_to_a_suspended_server(iterations: int) -> None:
    """The server is suspended `iterations` iterations of the event loop after the attempt was queued."""
    received = bytearray()

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        received.extend(await reader.read(100))
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    row = EndpointRow("s1", Address(*server.sockets[0].getsockname()), EndpointState.READY)
    servers = ServerRegistry(
        Clock(), 250, lambda event: True, ConnectionMetrics(["look"]), DescriptorBudget(1024), StartTimes(Clock(), 5000)
    )
    servers.update(EndpointListKind.FULL, [row])
    actor = servers.get("s1")
    assert actor is not None
    done: asyncio.Future[AttemptResult] = asyncio.get_running_loop().create_future()
    actor.mailbox.try_put(
        ConnectionAttempt(b"OPEN 1 1 c=look,d=900\r\n", 900, lambda _, result: done.set_result(result))
    )
    for _ in range(iterations):
        await asyncio.sleep(0)
    servers.set_suspended("s1", True)
    servers.update(EndpointListKind.CHANGES, [row])
    result = await asyncio.wait_for(done, 2)
    await asyncio.sleep(0.02)
    server.close()
    assert result.end is AttemptEnd.NOT_SENT
    assert received == b""
