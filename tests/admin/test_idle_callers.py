"""Operators' connections that send no request, or one request after the other without a pause."""

from __future__ import annotations

import asyncio

import uvloop
from net.single_server_rig import SingleServerRig

from glenrock.admin.listener import ACCEPT_BURST, ACCEPT_INTERVAL_MS, MAX_OPERATOR_CONNECTIONS

CALLERS = 8
CALLS_S = 0.5


async def call_beside_idle_connections() -> None:
    rig = SingleServerRig()
    await rig.open()
    assert rig.program.operators
    listener = rig.program.operators.listener
    assert listener.listening_socket
    port = listener.listening_socket.getsockname()[1]
    idle_connections = [await asyncio.open_connection("127.0.0.1", port) for _ in range(3 * MAX_OPERATOR_CONNECTIONS)]
    partial_requests = [await asyncio.open_connection("127.0.0.1", port) for _ in range(MAX_OPERATOR_CONNECTIONS)]
    for _, writer in partial_requests:
        writer.write(b"GET /v1/re")
    for _ in range(5):
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(b"GET /v1/readyz HTTP/1.1\r\n\r\n")
        answer = await asyncio.wait_for(reader.read(), 1)
        assert answer.startswith(b"HTTP/1.1 200 ") and answer.endswith(b"\r\n\r\nready\n")
        writer.close()
        assert len(listener.connection_tasks) <= MAX_OPERATOR_CONNECTIONS + 1
    assert await asyncio.wait_for(idle_connections[0][0].read(), 1) == b"", "the oldest caller is closed"
    assert rig.program.budget.operator_descriptors >= MAX_OPERATOR_CONNECTIONS


def test_idle_connections_use_few_descriptors_and_delay_no_call() -> None:
    uvloop.run(call_beside_idle_connections())


async def count_calls_without_a_pause() -> tuple[int, float]:
    """Returns the number of calls that were answered, and the seconds that they took."""
    rig = SingleServerRig()
    await rig.open()
    assert rig.program.operators and rig.program.operators.listener.listening_socket
    port = rig.program.operators.listener.listening_socket.getsockname()[1]
    loop = asyncio.get_running_loop()
    began_s = loop.time()

    async def call_repeatedly() -> int:
        calls = 0
        while loop.time() < began_s + CALLS_S:
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(b"GET /v1/readyz HTTP/1.1\r\n\r\n")
            assert (await reader.read()).startswith(b"HTTP/1.1 200 ")
            writer.close()
            calls += 1
        return calls

    calls = sum(await asyncio.gather(*(call_repeatedly() for _ in range(CALLERS))))
    return calls, loop.time() - began_s


def test_calls_without_a_pause_are_accepted_at_a_limited_rate() -> None:
    """Guards against operators' tools that take each turn of the event loop (issue 58, picture b)."""
    calls, seconds = uvloop.run(count_calls_without_a_pause())
    assert calls <= ACCEPT_BURST + seconds * 1000 / ACCEPT_INTERVAL_MS + 1
