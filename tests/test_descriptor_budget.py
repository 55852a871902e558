"""Limits that keep descriptors from running out, and what becomes of whoever is past them."""

from __future__ import annotations

import asyncio

import pytest
from net.rig import REQUEST_LINE, LoopbackRig, run_on_rig

from glenrock.config import ConfigError, parse_config
from glenrock.net.clock import Clock
from glenrock.net.descriptor_budget import DescriptorBudget
from glenrock.net.health_connections import HealthConnections
from glenrock.program import Program


class Held:
    """A connection of the pool."""

    def __init__(self) -> None:
        self.closed = 0

    def disconnect(self) -> None:
        self.closed += 1


@pytest.mark.parametrize("limit", (64, 128, 256, 512, 1024, 65536))
@pytest.mark.parametrize("servers", (0, 9, 200, 3200, 100_000))
def test_what_is_set_aside_does_not_grow_with_the_list(limit: int, servers: int) -> None:
    budget = DescriptorBudget(limit)
    budget.servers = servers
    budget.check_limit(limit)
    assert budget.allows_relay(0)
    assert budget.free(0) >= limit * 3 // 4 - 24 - 8


def test_the_pool_closes_the_idle_connection_used_longest_ago_and_never_one_with_a_check_out() -> None:
    pool, held = HealthConnections(lambda: 2), [Held() for _ in range(4)]
    assert pool.acquire(held[0]) and pool.acquire(held[1]) and not pool.acquire(held[2])
    pool.release(held[1])
    pool.release(held[0])
    assert pool.acquire(held[2]) and [one.closed for one in held] == [1, 0, 0, 0]
    assert pool.acquire(held[1]) and not pool.acquire(held[3]) and len(pool) == 2
    pool.release(held[2])
    pool.remove(held[2])
    assert pool.acquire(held[3]) and [one.closed for one in held] == [1, 0, 0, 0]


def test_a_limit_without_room_for_one_client_is_told_at_the_start() -> None:
    async def scenario(rig: LoopbackRig) -> None:
        raw = {"listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "admin": "127.0.0.1:0", "limits": {"sockets": 64}}
        with pytest.raises(ConfigError, match=r"limits\.sockets: 64 leave no room for one client, 84 are needed"):
            Program(parse_config(raw | {"settings": SETTINGS}), Clock())

    from net.settings import SETTINGS

    run_on_rig(scenario)


def test_whoever_is_shed_with_a_request_in_the_buffer_has_its_answer() -> None:
    """Connections past their room: the oldest has sent a request that nobody has read yet."""

    async def scenario(rig: LoopbackRig) -> None:
        await rig.open()
        acceptor = rig.program.acceptor
        asyncio.get_running_loop().remove_reader(acceptor.listener)
        room = rig.program.connections.max_idle_connections()
        first = rig.connect_client(REQUEST_LINE)
        crowd = [rig.connect_client() for _ in range(room + 3)]
        acceptor._socket.accept(room + 4)  # in one turn: no task has run yet
        async with asyncio.timeout(5):  # a request that was lost reaches no server
            at = await rig.accept_request("s1")
        at.sendall(b"UP r\r\n")
        assert await rig.wait_until(lambda: rig.read(first)) == b"UP r\r\n"
        for sock in crowd[:3]:
            assert (await rig.wait_until(lambda sock=sock: rig.read(sock))).startswith(b"BUSY ")
        assert rig.program.connections.metrics.rejected["shed"] == 3

    run_on_rig(scenario)
