"""Operators' connections that send no request."""

from __future__ import annotations

import asyncio

import uvloop
from net.single_server_rig import SingleServerRig

from glenrock.admin.listener import MAX_CALLERS


async def call_beside_idle_callers() -> None:
    rig = SingleServerRig()
    await rig.open()
    assert rig.program.operators
    listener = rig.program.operators.listener
    assert listener.listening_socket
    port = listener.listening_socket.getsockname()[1]
    silent = [await asyncio.open_connection("127.0.0.1", port) for _ in range(3 * MAX_CALLERS)]
    unfinished = [await asyncio.open_connection("127.0.0.1", port) for _ in range(MAX_CALLERS)]
    for _, writer in unfinished:
        writer.write(b"GET /v1/re")
    for _ in range(5):
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(b"GET /v1/readyz HTTP/1.1\r\n\r\n")
        answer = await asyncio.wait_for(reader.read(), 1)
        assert answer.startswith(b"HTTP/1.1 200 ") and answer.endswith(b"\r\n\r\nready\n")
        writer.close()
        assert len(listener.callers) <= MAX_CALLERS + 1
    assert await asyncio.wait_for(silent[0][0].read(), 1) == b"", "the oldest caller is closed"
    assert rig.program.budget.operator_descriptors >= MAX_CALLERS


def test_idle_callers_use_few_descriptors_and_delay_no_call() -> None:
    uvloop.run(call_beside_idle_callers())
