"""Attempts at a server that an operator suspends."""

from __future__ import annotations

import asyncio

import pytest
import uvloop

from glenrock.config import Address
from glenrock.net.attempt_outcomes import AttemptEnd
from glenrock.net.clock import Clock
from glenrock.net.connection_attempt import ConnectionAttempt
from glenrock.net.descriptor_budget import DescriptorBudget
from glenrock.net.endpoint_rows import EndpointRow
from glenrock.net.metrics import ConnectionMetrics
from glenrock.net.server_connections import ServerRegistry
from glenrock.net.start_times import StartTimes
from glenrock.routing.interface import EndpointListKind, EndpointState


async def suspend_after(iterations: int) -> tuple[AttemptEnd, bytes]:
    """Suspends the server that many iterations of the loop after an attempt was queued.

    Returns the end of the attempt, and the bytes that the server received.
    """
    received = bytearray()

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        received.extend(await reader.read(100))
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    servers = ServerRegistry(
        Clock(), 250, lambda event: True, ConnectionMetrics(["look"]), DescriptorBudget(1024), StartTimes(Clock(), 5000)
    )
    address = Address(*server.sockets[0].getsockname())
    servers.update(EndpointListKind.FULL, [EndpointRow("s1", address, EndpointState.READY)])
    done = asyncio.get_running_loop().create_future()
    attempt = ConnectionAttempt(b"OPEN 1 1 c=look,d=900\r\n", 900, lambda _, result: done.set_result(result))
    servers.get("s1").mailbox.try_put(attempt)
    for _ in range(iterations):
        await asyncio.sleep(0)
    servers.set_suspended("s1", True)
    servers.update(EndpointListKind.CHANGES, [EndpointRow("s1", address, EndpointState.READY)])
    result = await asyncio.wait_for(done, 2)
    await asyncio.sleep(0.02)
    server.close()
    return result.end, bytes(received)


@pytest.mark.parametrize("iterations", [0, 1, 2])
def test_queued_or_connecting_attempt_sends_nothing_to_a_suspended_server(iterations: int) -> None:
    assert uvloop.run(suspend_after(iterations)) == (AttemptEnd.NOT_SENT, b"")
