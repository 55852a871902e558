"""Real processes with thousands of servers: rolling releases, restarts, slow and truncated endpoint lists."""

from __future__ import annotations

import asyncio
import signal
import time
from collections.abc import Awaitable, Callable

import pytest
import uvloop

from glenrock.testbed.clients import Client
from glenrock.testbed.endpoint_directory import EndpointStatus
from glenrock.testbed.testbed import FleetShape, Testbed

SERVERS = 3200
WAVES = 3  # in a rolling release
WAVE_SERVERS = 320  # the servers that drain in each wave
DRAIN_GRACE_S = 2.5
MAX_TIMER_DELAY_S = 0.05
SIGKILL_AFTER_S = 1.8 + 1.2 + 0.7  # 0.7 s after the longest deadline (1.8 s), which counts as at least 3 s


def run_on_testbed(descriptors: int, scenario: Callable[[Testbed], Awaitable[None]], balancers: int = 1) -> None:
    async def run() -> None:
        async with Testbed(FleetShape(balancers=balancers, servers=SERVERS, descriptors=descriptors)) as bed:
            await bed.start_balancers()
            await scenario(bed)

    uvloop.run(asyncio.wait_for(run(), 60))


@pytest.mark.parametrize("descriptors", (256, 512, 1024))
def test_rolling_release_loses_no_answer_and_sends_nothing_to_draining_servers(descriptors: int) -> None:
    async def scenario(bed: Testbed) -> None:
        names = list(bed.servers)
        clients: list[Client] = []
        drain_started_s: dict[str, float] = {}
        resumed = [bed.start_client(0, resumes_at=names[number * 97 % SERVERS], stays_s=30.0) for number in range(20)]
        assert await bed.wait_until(lambda: all(client.up.is_set() for client in resumed), 5.0)
        for wave in range(WAVES):
            drained = [name for name, row in bed.directory.servers.items() if row.status == EndpointStatus.DRAINING]
            if drained:
                bed.directory.set_status(drained, EndpointStatus.DELETED)
            draining = names[wave * WAVE_SERVERS : (wave + 1) * WAVE_SERVERS]
            bed.directory.set_status(draining, EndpointStatus.DRAINING)
            drain_started_s |= dict.fromkeys(draining, time.monotonic())
            for number in range(10):
                bed.add_server(f"t-{wave}-{number}", since_ms=time.time() * 1000)
            for _ in range(10):
                clients += [bed.start_client(0, stays_s=1.0) for _ in range(3)]
                await asyncio.sleep(0.1)
        assert await bed.wait_until(lambda: all(client.request.answer for client in clients), 4.0)
        assert {client.request.answer.split(" ")[0] for client in clients} == {"UP"}
        for attempt in bed.record.attempts:
            started_s = drain_started_s.get(attempt.server, float("inf"))
            assert attempt.is_resumed or attempt.first_byte_s < started_s + DRAIN_GRACE_S + MAX_TIMER_DELAY_S
        on_draining = [client for client in resumed if client.request.resumes_at in drain_started_s]
        assert await bed.wait_until(lambda: all(client.request.is_migrated for client in on_draining), 4.0)
        others = [client for client in resumed if client not in on_draining]
        assert not any(client.request.is_migrated or client.request.ended_s < float("inf") for client in others)

    run_on_testbed(descriptors, scenario)


@pytest.mark.parametrize("descriptors", (256, 1024))
def test_balancers_are_ready_again_after_sigterm_and_sigkill_and_lose_no_request(descriptors: int) -> None:
    async def scenario(bed: Testbed) -> None:
        terminated, killed = bed.processes
        clients = [bed.start_client(number, stays_s=10.0) for number in (0, 1) for _ in range(10)]
        assert await bed.wait_until(lambda: all(client.up.is_set() for client in clients), 5.0)
        terminated.send_signal(signal.SIGTERM)
        killed.send_signal(signal.SIGKILL)
        signals_s = time.monotonic()
        killed.end()
        killed.start()
        await bed.wait_until_ready(killed)
        assert time.monotonic() - signals_s < 6.0
        remaining_s = SIGKILL_AFTER_S - (time.monotonic() - signals_s)
        assert await bed.wait_until(lambda: not terminated.is_running, remaining_s)
        assert terminated.exit_code == 0
        assert all(client.request.is_migrated for client in clients[:10])
        terminated.start()
        await bed.wait_until_ready(terminated)
        later_clients = [bed.start_client(number) for number in (0, 1) for _ in range(10)]
        assert await bed.wait_until(lambda: all(client.up.is_set() for client in later_clients), 5.0)

    run_on_testbed(descriptors, scenario, balancers=2)


@pytest.mark.parametrize("fault", ("slow", "truncated"))
def test_slow_or_truncated_list_does_not_interrupt_service(fault: str) -> None:
    async def scenario(bed: Testbed) -> None:
        agent = bed.agents[0]
        names = list(bed.servers)
        if fault == "slow":
            agent.slow_s = 0.3
        else:
            agent.cuts = 3
        calls = agent.calls
        draining = names[: SERVERS // 2]
        bed.directory.set_status(draining, EndpointStatus.DRAINING)
        drain_started_s = time.monotonic()
        clients = []
        while time.monotonic() < drain_started_s + DRAIN_GRACE_S + 1.0:
            clients.append(bed.start_client(0, stays_s=0.5))
            await asyncio.sleep(0.05)
        assert await bed.wait_until(lambda: all(client.request.answer for client in clients), 4.0)
        assert {client.request.answer.split(" ")[0] for client in clients} == {"UP"}
        assert agent.calls > calls
        grace_end_s = drain_started_s + DRAIN_GRACE_S + MAX_TIMER_DELAY_S
        late_attempts = [attempt for attempt in bed.record.attempts if attempt.first_byte_s > grace_end_s]
        assert late_attempts and not any(attempt.server in draining for attempt in late_attempts)

    run_on_testbed(512, scenario)


@pytest.mark.parametrize("answer_s", (1.5, 4.0))
def test_connections_are_established_after_a_first_list_that_takes_seconds(answer_s: float) -> None:
    async def scenario(bed: Testbed) -> None:
        bed.agents[0].slow_s = answer_s
        process = bed.processes[0]
        names = list(bed.servers)
        process.end()
        process.start()
        await bed.wait_until_ready(process)
        resumed = [bed.start_client(0, resumes_at=names[number * 97 % SERVERS]) for number in range(10)]
        assert await bed.wait_until(lambda: all(client.up.is_set() for client in resumed), answer_s + 3.0)
        clients = [bed.start_client(0) for _ in range(10)]
        assert await bed.wait_until(lambda: all(client.up.is_set() for client in clients), 3.0)

    run_on_testbed(512, scenario)
