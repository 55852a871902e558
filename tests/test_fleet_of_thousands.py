"""Thousands of names on real processes: releases in waves, restarts, and a list that comes slowly or breaks off."""

from __future__ import annotations

import asyncio
import signal
import time
from collections.abc import Awaitable, Callable

import pytest
import uvloop

from glenrock.testbed.endpoint_directory import EndpointStatus
from glenrock.testbed.testbed import FleetShape, Testbed

THOUSANDS = 3200
WAVES, WAVE = 3, 320  # of a release: a tenth of the servers each
GRACE_S = 2.5
KILL_AFTER_S = 1.8 + 1.2 + 0.7  # 3 s where the longest deadline is shorter, and 0.7 s


def played(descriptors: int, story: Callable[[Testbed], Awaitable[None]], balancers: int = 1) -> None:
    async def play() -> None:
        async with Testbed(FleetShape(balancers=balancers, servers=THOUSANDS, descriptors=descriptors)) as bed:
            await bed.start_balancers()
            await story(bed)

    uvloop.run(asyncio.wait_for(play(), 60))


@pytest.mark.parametrize("descriptors", (256, 512, 1024))
def test_a_release_in_waves_costs_nobody_an_answer_and_nothing_goes_to_what_drains(descriptors: int) -> None:
    async def story(bed: Testbed) -> None:
        names, clients, drained_s = list(bed.servers), [], {}
        standing = [bed.start_client(0, resumes_at=names[n * 97 % THOUSANDS], stays_s=30.0) for n in range(20)]
        assert await bed.wait_until(lambda: all(client.up.is_set() for client in standing), 5.0)
        for wave in range(WAVES):
            gone = [name for name, row in bed.directory.servers.items() if row.status == EndpointStatus.DRAINING]
            if gone:
                bed.directory.set_status(gone, EndpointStatus.DELETED)
            draining = names[wave * WAVE : (wave + 1) * WAVE]
            bed.directory.set_status(draining, EndpointStatus.DRAINING)
            drained_s |= dict.fromkeys(draining, time.monotonic())
            for number in range(10):
                bed.add_server(f"t-{wave}-{number}", since_ms=time.time() * 1000)
            for _ in range(10):
                clients += [bed.start_client(0, stays_s=1.0) for _ in range(3)]
                await asyncio.sleep(0.1)
        assert await bed.wait_until(lambda: all(client.request.answer for client in clients), 4.0)
        assert {client.request.answer.split(" ")[0] for client in clients} == {"UP"}
        for attempt in bed.record.attempts:
            told_s = drained_s.get(attempt.server, float("inf"))
            assert attempt.is_resumed or attempt.first_byte_s < told_s + GRACE_S + 0.05
        on_what_drains = [client for client in standing if client.request.resumes_at in drained_s]
        assert await bed.wait_until(lambda: all(client.request.is_migrated for client in on_what_drains), 4.0)
        kept = [client for client in standing if client not in on_what_drains]
        assert not any(client.request.is_migrated or client.request.ended_s < float("inf") for client in kept)

    played(descriptors, story)


@pytest.mark.parametrize("descriptors", (256, 1024))
def test_restarts_by_sigterm_and_kill_are_ready_again_and_no_request_is_lost(descriptors: int) -> None:
    async def story(bed: Testbed) -> None:
        told, struck = bed.processes
        clients = [bed.start_client(number, stays_s=10.0) for number in (0, 1) for _ in range(10)]
        assert await bed.wait_until(lambda: all(client.up.is_set() for client in clients), 5.0)
        told.send_signal(signal.SIGTERM)
        struck.send_signal(signal.SIGKILL)
        asked_s = time.monotonic()
        struck.end()
        struck.start()
        await bed.wait_until_ready(struck)
        assert time.monotonic() - asked_s < 6.0
        assert await bed.wait_until(lambda: not told.is_running, KILL_AFTER_S - (time.monotonic() - asked_s))
        assert told.exit_code == 0
        assert all(client.request.is_migrated for client in clients[:10])
        told.start()
        await bed.wait_until_ready(told)
        again = [bed.start_client(number) for number in (0, 1) for _ in range(10)]
        assert await bed.wait_until(lambda: all(client.up.is_set() for client in again), 5.0)

    played(descriptors, story, balancers=2)


@pytest.mark.parametrize("trouble", ("slow", "cut"))
def test_a_list_that_comes_slowly_or_breaks_off_stops_no_service(trouble: str) -> None:
    async def story(bed: Testbed) -> None:
        agent, names = bed.agents[0], list(bed.servers)
        if trouble == "slow":
            agent.slow_s = 0.3
        else:
            agent.cuts = 3
        calls = agent.calls
        bed.directory.set_status(names[: THOUSANDS // 2], EndpointStatus.DRAINING)
        told_s = time.monotonic()
        clients = []
        while time.monotonic() < told_s + GRACE_S + 1.0:
            clients.append(bed.start_client(0, stays_s=0.5))
            await asyncio.sleep(0.05)
        assert await bed.wait_until(lambda: all(client.request.answer for client in clients), 4.0)
        assert {client.request.answer.split(" ")[0] for client in clients} == {"UP"}
        assert agent.calls > calls
        late = [one for one in bed.record.attempts if one.first_byte_s > told_s + GRACE_S + 0.05]
        assert late and not any(one.server in names[: THOUSANDS // 2] for one in late)

    played(512, story)


@pytest.mark.parametrize("takes_s", (1.5, 4.0))
def test_a_first_list_that_takes_seconds_is_heard_and_what_stood_comes_up(takes_s: float) -> None:
    async def story(bed: Testbed) -> None:
        bed.agents[0].slow_s = takes_s
        process, names = bed.processes[0], list(bed.servers)
        process.end()
        process.start()
        await bed.wait_until_ready(process)
        standing = [bed.start_client(0, resumes_at=names[n * 97 % THOUSANDS]) for n in range(10)]
        assert await bed.wait_until(lambda: all(client.up.is_set() for client in standing), takes_s + 3.0)
        clients = [bed.start_client(0) for _ in range(10)]
        assert await bed.wait_until(lambda: all(client.up.is_set() for client in clients), 3.0)

    played(512, story)
