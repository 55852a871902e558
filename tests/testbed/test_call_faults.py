"""System calls that fail as Linux documents, on real processes: requests without part in a failure succeed."""

from __future__ import annotations

import asyncio
import errno
import shutil
import time
from collections.abc import Awaitable, Callable

import pytest
import uvloop

from glenrock.testbed.call_faults import DOCUMENTED, Call, CallFaults
from glenrock.testbed.invariant import NEVER
from glenrock.testbed.testbed import FleetShape, Testbed

if not shutil.which("cc"):
    pytest.skip("no C compiler: system calls cannot be failed here", allow_module_level=True)

SHAPE = FleetShape(balancers=2, servers=20, descriptors=256)
ON_SOCKETS = (Call.ACCEPT, Call.SOCKET, Call.CONNECT, Call.RECEIVE, Call.SEND, Call.WAIT)
SHORT = (Call.SHORT_READ, Call.SHORT_WRITE)
CONNECTIONS, ROUNDS = 10, 40
MAX_CALM_S = 6.0  # a balancer without waiting clients sends a datagram every 5 s


def run_on_testbed(
    scenario: Callable[[Testbed, CallFaults], Awaitable[None]], shape: FleetShape = SHAPE, seed: int = 1
) -> None:
    async def play() -> None:
        async with Testbed(shape) as bed:
            faults = bed.prepare_call_faults(0, seed)
            await bed.start_balancers()
            await scenario(bed, faults)
            faults.close()

    uvloop.run(asyncio.wait_for(play(), 60))


async def assert_served(bed: Testbed, faults: CallFaults) -> None:
    """Sends requests while calls fail: all are answered, open connections stay, and no descriptor leaks."""
    connected = [bed.start_client(0, stays_s=60.0, line_interval_s=0.1) for _ in range(CONNECTIONS)]
    clients = []
    for _ in range(ROUNDS):
        clients += [bed.start_client(0, stays_s=0.2), bed.start_client(0, stays_s=0.2)]
        await asyncio.sleep(0.05)
    assert await bed.wait_until(lambda: all(client.request.answer for client in [*connected, *clients]), 5.0)
    answers = [client.request.answer.partition(" ")[0] for client in [*connected, *clients]]
    assert answers == ["UP"] * len(answers)
    assert await bed.wait_until(lambda: bool(faults.injected()), MAX_CALM_S)
    faults.clear()
    before_s = time.monotonic()
    assert await bed.wait_until(lambda: all(before_s < client.request.last_line_s < NEVER for client in connected), 3.0)
    assert not any(client.request.is_migrated for client in connected)
    # Both sides of the open connections, the program's own, and health checks' connections: at most one a server.
    max_descriptors = 2 * CONNECTIONS + 24 + SHAPE.servers
    assert await bed.wait_until(lambda: bed.processes[0].usage().descriptors <= max_descriptors, 5.0)


@pytest.mark.parametrize("call", [*ON_SOCKETS, *SHORT], ids=lambda call: call.name.lower())
def test_requests_succeed_while_a_system_call_fails_at_times(call: Call) -> None:
    async def scenario(bed: Testbed, faults: CallFaults) -> None:
        faults.fail(call, 0.25)
        await assert_served(bed, faults)

    run_on_testbed(scenario)


@pytest.mark.parametrize("error", sorted({error for call in ON_SOCKETS for error in DOCUMENTED[call]}))
def test_requests_succeed_under_each_errno(error: int) -> None:
    async def scenario(bed: Testbed, faults: CallFaults) -> None:
        for call in ON_SOCKETS:
            if error in DOCUMENTED[call]:
                faults.fail(call, 0.2, (error,))
        await assert_served(bed, faults)

    run_on_testbed(scenario, seed=error)


@pytest.mark.parametrize("error", DOCUMENTED[Call.DATAGRAM])
def test_failed_datagrams_affect_no_request(error: int) -> None:
    async def scenario(bed: Testbed, faults: CallFaults) -> None:
        faults.fail(Call.DATAGRAM, 1.0, (error,))
        await assert_served(bed, faults)

    run_on_testbed(scenario)


def test_descriptor_shortage_ejects_no_server_and_uses_no_cpu() -> None:
    """No descriptor is free for longer than an attempt may take: requests are rejected, and served right after."""

    async def scenario(bed: Testbed, faults: CallFaults) -> None:
        faults.fail(Call.SOCKET, 1.0, (errno.EMFILE,))
        clients = [bed.start_client(0, stays_s=0.2) for _ in range(20)]
        began_cpu_s = bed.processes[0].usage().cpu_s
        assert await bed.wait_until(lambda: all(client.request.answer for client in clients), 4.0)
        assert {client.request.answer.partition(" ")[0] for client in clients} == {"BUSY"}
        assert bed.processes[0].usage().cpu_s - began_cpu_s < 1.0
        faults.clear()
        after = [bed.start_client(0, stays_s=0.2) for _ in range(20)]
        assert await bed.wait_until(lambda: all(client.up.is_set() for client in after), 2.0)
        reader, writer = await asyncio.open_connection(*bed.network.admin(0))
        writer.write(b"GET /v1/metrics HTTP/1.1\r\n\r\n")
        figures = (await reader.read()).decode()
        writer.close()
        assert "\napp_out_of_rotation 0\n" in figures
        assert 'app_system_errors{errno="EMFILE"}' in figures

    run_on_testbed(scenario)


@pytest.mark.parametrize("error", (errno.ECONNRESET, errno.EPIPE, errno.ETIMEDOUT, errno.EHOSTUNREACH))
def test_connection_error_ends_one_connection(error: int) -> None:
    async def scenario(bed: Testbed, faults: CallFaults) -> None:
        connected = [bed.start_client(0, stays_s=60.0, line_interval_s=0.1) for _ in range(2 * CONNECTIONS)]
        assert await bed.wait_until(lambda: all(client.up.is_set() for client in connected), 5.0)
        faults.fail(Call.SEND if error == errno.EPIPE else Call.RECEIVE, 0.01, (error,))
        assert await bed.wait_until(lambda: len(faults.injected()) >= 3, 10.0)
        faults.clear()
        await asyncio.sleep(0.3)
        failed_calls = len(faults.injected())
        before_s = time.monotonic()
        unaffected = [
            client for client in connected if client.request.ended_s > before_s and not client.request.is_migrated
        ]
        assert len(unaffected) >= len(connected) - failed_calls
        assert await bed.wait_until(
            lambda: all(before_s < client.request.last_line_s < NEVER for client in unaffected), 3.0
        )
        assert bed.processes[0].is_running

    run_on_testbed(scenario)


def test_requests_are_answered_in_time_under_stalls_of_150_ms() -> None:
    async def scenario(bed: Testbed, faults: CallFaults) -> None:
        faults.stall(0.02, 150)
        clients = []
        for _ in range(ROUNDS):
            clients += [bed.start_client(0, stays_s=0.3)]
            await asyncio.sleep(0.05)
        assert await bed.wait_until(lambda: all(client.request.answer for client in clients), 5.0)
        assert any(fault.call is Call.STALL for fault in faults.injected())
        for client in clients:
            request = client.request
            assert request.answered_s - request.sent_s < request.deadline_ms / 1000 + 0.05 + 0.5

    run_on_testbed(scenario)
