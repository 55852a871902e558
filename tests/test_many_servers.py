"""Thousands of names in the endpoint list, on real processes: what a balancer sets aside must not grow with them."""

from __future__ import annotations

import asyncio

import pytest
import uvloop

from glenrock.testbed.testbed import FleetShape, Testbed

THOUSANDS = 3200
STANDING, NEWCOMERS = 30, 10
ANSWER_S = 5.0
STEP_S = 0.05  # between two looks at the figures


async def has_list(bed: Testbed) -> bool:
    """Whether the balancer has taken the whole list: clients that come before are let in whatever follows."""
    reader, writer = await asyncio.open_connection(*bed.network.admin(0))
    writer.write(b"GET /v1/metrics HTTP/1.1\r\n\r\n")
    figures = await reader.read()
    writer.close()
    return f"app_registry_entries {THOUSANDS}\n".encode() in figures


async def answers_of(descriptors: int) -> list[str]:
    """What clients hear whose connections stood before, and others, all at once."""
    async with Testbed(FleetShape(servers=THOUSANDS, descriptors=descriptors)) as bed:
        await bed.start_balancers()
        while not await has_list(bed):
            await asyncio.sleep(STEP_S)
        names = list(bed.servers)
        clients = [bed.start_client(0, resumes_at=names[n * 97 % len(names)]) for n in range(STANDING)]
        clients += [bed.start_client(0) for _ in range(NEWCOMERS)]
        await bed.wait_until(lambda: all(client.up.is_set() for client in clients), ANSWER_S)
        return [client.request.answer.partition(" ")[0] or client.request.end.value for client in clients]


@pytest.mark.parametrize("descriptors", (256, 512, 1024))
def test_all_are_served_beside_thousands_of_servers(descriptors: int) -> None:
    assert uvloop.run(asyncio.wait_for(answers_of(descriptors), 60)) == ["UP"] * (STANDING + NEWCOMERS)
