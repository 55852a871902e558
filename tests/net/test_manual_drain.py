"""A manual drain that has answered no answers no until an operator ends it, whatever else happens to the process."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest

from glenrock.config import Config
from glenrock.operation_errors import OperationRejectedError

from .rig import LoopbackRig, read_now, run_on_rig, wait_until

PING = b"PING\r\n"
PING_INTERVAL_MS = 100  # of the front end
REJECTS_AFTER_MS = 1000  # from the start of a drain
ACCEPTS_AFTER_SIGTERM_MS = 1800  # the longest deadline of a class


@asynccontextmanager
async def serving(rig: LoopbackRig) -> AsyncIterator[asyncio.Event]:
    """Runs the program, and yields the event that SIGTERM sets."""
    stop = asyncio.Event()
    running = asyncio.create_task(rig.program.run_until(stop))
    try:
        yield stop
    finally:
        running.cancel()
        await asyncio.wait([running])


async def answer_to(rig: LoopbackRig, sock: socket.socket, line: bytes) -> bytes:
    """Sends a line, and returns the answer."""
    sock.sendall(line)
    return await wait_until(lambda: read_now(sock))


async def new_request(rig: LoopbackRig, number: int) -> bytes:
    """Returns the answer to a request on a new connection."""
    return await answer_to(rig, rig.connect_client(), b"OPEN n%d 1 c=look,d=300\r\n" % number)


async def check_says_no(rig: LoopbackRig, duration_ms: int, idle: socket.socket) -> None:
    """Checks that pings on new connections and on one that was open before, and requests, are answered with no."""
    for number in range(duration_ms // PING_INTERVAL_MS):
        assert await answer_to(rig, rig.connect_client(), PING) == b"ERR\r\n"
        assert await answer_to(rig, idle, PING) == b"ERR\r\n"
        assert (await new_request(rig, number)).startswith(b"BUSY")
        assert rig.program.drain.unready_reason() is not None
        await rig.advance(PING_INTERVAL_MS)


@pytest.mark.parametrize("sigterm_after_ms", [0, 600, 2000, 6000])
def test_drained_balancer_says_no_after_sigterm(sigterm_after_ms: int) -> None:
    """Guards against a shutdown that ends a manual drain: the front end then sends clients again (review/10)."""

    async def scenario(rig: LoopbackRig) -> None:
        await rig.open()
        async with serving(rig) as stop:
            idle = rig.connect_client()
            assert await answer_to(rig, idle, PING) == b"PONG\r\n"
            rig.program.shutdown.start_manual_drain()
            await rig.advance(sigterm_after_ms)
            stop.set()
            await wait_until(lambda: rig.program.drain.is_stopping)
            assert await answer_to(rig, idle, PING) == b"ERR\r\n"
            await rig.advance(max(0, REJECTS_AFTER_MS - sigterm_after_ms))
            await check_says_no(rig, ACCEPTS_AFTER_SIGTERM_MS - REJECTS_AFTER_MS, idle)
            # An operator's call to a stopping process is rejected, and so does not lead to a yes either.
            with pytest.raises(OperationRejectedError):
                rig.program.shutdown.end_manual_drain()
            assert await answer_to(rig, rig.connect_client(), PING) == b"ERR\r\n"

    run_on_rig(scenario)


def test_drain_just_before_sigterm_still_moves_its_clients_in_time() -> None:
    """Guards against a shutdown that stops the migration of a drain, and migrates a lone balancer's clients later."""

    async def scenario(rig: LoopbackRig) -> None:
        await rig.open(classes=[{"name": "look", "targetUs": 300_000, "deadlineUs": 20_000_000}])
        async with serving(rig) as stop:
            client, _ = await rig.establish()
            rig.program.shutdown.start_manual_drain()
            await rig.advance(400)
            stop.set()
            await rig.advance(2600)
            assert await wait_until(lambda: read_now(client)) == b"MOVE\r\n"

    run_on_rig(scenario)


def test_reload_and_second_call_do_not_end_a_drain() -> None:
    async def scenario(rig: LoopbackRig) -> None:
        await rig.open()
        async with serving(rig):
            idle = rig.connect_client()
            assert await answer_to(rig, idle, PING) == b"PONG\r\n"
            rig.program.shutdown.start_manual_drain()
            await rig.advance(REJECTS_AFTER_MS)

            def reread(config: Config) -> Config:
                return config

            rig.program.reload(reread)
            rig.program.shutdown.start_manual_drain()
            await check_says_no(rig, 500, idle)

    run_on_rig(scenario)


def test_drain_that_was_taken_over_is_ready_until_its_predecessor_has_ended() -> None:
    async def scenario(rig: LoopbackRig) -> None:
        await rig.open()
        async with serving(rig):
            drain = rig.program.drain
            rig.program.shutdown.continue_manual_drain(rig.clock.now_ms() - REJECTS_AFTER_MS, is_replacing=True)
            assert drain.unready_reason() is None
            assert await answer_to(rig, rig.connect_client(), PING) == b"ERR\r\n"
            assert (await new_request(rig, 1)).startswith(b"BUSY")
            drain.is_replacing = False
            assert drain.unready_reason() == "not ready: draining"
            rig.program.shutdown.end_manual_drain()
            assert drain.unready_reason() is None
            # An operator's own call to this process is a no at once, although the predecessor may still run.
            rig.program.shutdown.continue_manual_drain(rig.clock.now_ms(), is_replacing=True)
            rig.program.shutdown.end_manual_drain()
            rig.program.shutdown.start_manual_drain()
            assert drain.unready_reason() == "not ready: draining"

    run_on_rig(scenario)


def test_activate_before_sigterm_leads_to_a_yes_and_to_an_ordinary_shutdown() -> None:
    async def scenario(rig: LoopbackRig) -> None:
        await rig.open()
        async with serving(rig) as stop:
            rig.program.shutdown.start_manual_drain()
            await rig.advance(6000)
            rig.program.shutdown.end_manual_drain()
            stop.set()  # in the same turn of the event loop
            await wait_until(lambda: rig.program.drain.is_stopping)
            assert await answer_to(rig, rig.connect_client(), PING) == b"PONG\r\n"
            client, _ = await rig.establish()
            await rig.advance(3000)
            assert await wait_until(lambda: read_now(client)) == b"MOVE\r\n"

    run_on_rig(scenario)
