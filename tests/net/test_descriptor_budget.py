"""The descriptor budget, and connections that are closed because they exceed it."""

from __future__ import annotations

import asyncio

import pytest

from glenrock.config import ConfigError, parse_config
from glenrock.net.clock import Clock
from glenrock.net.descriptor_budget import DescriptorBudget
from glenrock.net.metrics import FinalAnswerReason
from glenrock.program import Program

from .rig import ESTABLISHED_LINE, REQUEST_LINE, LoopbackRig, receive
from .settings import SETTINGS


@pytest.mark.parametrize("limit", [64, 128, 256, 512, 1024, 65536])
@pytest.mark.parametrize("servers", [0, 9, 200, 3200, 100_000])
def test_reserved_descriptors_do_not_grow_with_the_endpoint_list(limit: int, servers: int) -> None:
    budget = DescriptorBudget(limit)
    budget.server_count = servers
    budget.check_limit(limit)
    assert budget.allows_relay(0)
    assert budget.free_descriptors(0) >= limit * 3 // 4 - 24 - 8


@pytest.mark.usefixtures("runner")
async def test_limit_too_low_for_one_client_is_a_configuration_error() -> None:
    raw = {"listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "admin": "127.0.0.1:0", "limits": {"sockets": 64}}
    with pytest.raises(ConfigError, match=r"limits\.sockets: at least 84 are needed to serve one client, got 64"):
        Program(parse_config(raw | {"settings": SETTINGS}), Clock())


async def test_connection_closed_for_lack_of_descriptors_has_its_buffered_request_answered(rig: LoopbackRig) -> None:
    """There are more idle connections than allowed, and the oldest has sent a request that has not been read."""
    await rig.open()
    assert rig.acceptor.listener is not None
    asyncio.get_running_loop().remove_reader(rig.acceptor.listener)
    max_idle = rig.program.connections.max_idle_connections()
    first = rig.connect_client(REQUEST_LINE)
    idle = [rig.connect_client() for _ in range(max_idle + 3)]
    rig.acceptor._socket.accept(max_idle + 4)  # all at once, before any task of a connection runs
    async with asyncio.timeout(5):  # a request that was lost would never reach a server
        server_side = await rig.accept_request("s1")
    server_side.sendall(ESTABLISHED_LINE)
    assert await receive(first) == ESTABLISHED_LINE
    for client in idle[:3]:
        assert (await receive(client)).startswith(b"BUSY ")
    assert rig.program.connections.metrics.final_answers[FinalAnswerReason.SHED] == 3
