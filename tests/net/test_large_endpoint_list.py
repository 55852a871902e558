"""Real processes with thousands of servers in the endpoint list, under low descriptor limits."""

from __future__ import annotations

import asyncio

import pytest
import uvloop

from glenrock.testbed.testbed import FleetShape, Testbed

SERVERS = 3200
RESUMED_CLIENTS = 30
NEW_CLIENTS = 10
ANSWER_TIMEOUT_S = 5.0
POLL_INTERVAL_S = 0.05


async def has_list(bed: Testbed) -> bool:
    """Returns whether the balancer has the whole endpoint list. Until then it admits all clients."""
    reader, writer = await asyncio.open_connection(*bed.network.admin(0))
    writer.write(b"GET /v1/metrics HTTP/1.1\r\n\r\n")
    metrics = await reader.read()
    writer.close()
    return f"app_registry_entries {SERVERS}\n".encode() in metrics


async def answers_of_clients(descriptors: int) -> list[str]:
    """Returns the answers to resuming and new clients that all connect at the same time."""
    async with Testbed(FleetShape(servers=SERVERS, descriptors=descriptors)) as bed:
        await bed.start_balancers()
        while not await has_list(bed):  # noqa: ASYNC110 - the list is in another process
            await asyncio.sleep(POLL_INTERVAL_S)
        names = list(bed.servers)
        clients = [bed.start_client(0, resumes_at=names[number * 97 % len(names)]) for number in range(RESUMED_CLIENTS)]
        clients += [bed.start_client(0) for _ in range(NEW_CLIENTS)]
        await bed.wait_until(lambda: all(client.up.is_set() for client in clients), ANSWER_TIMEOUT_S)
        return [client.request.answer.partition(" ")[0] or client.request.end.value for client in clients]


@pytest.mark.parametrize("descriptors", (256, 512, 1024))
def test_every_client_is_served_with_thousands_of_servers_listed(descriptors: int) -> None:
    answers = uvloop.run(asyncio.wait_for(answers_of_clients(descriptors), 60))
    assert answers == ["UP"] * (RESUMED_CLIENTS + NEW_CLIENTS)
