"""Connections without a request: at the end of the process, at their timeout, and pings."""

from __future__ import annotations

import asyncio

import pytest

from glenrock.net.acceptor import IDLE_TIMEOUT_MS, LAST_LINE_TIMEOUT_MS
from glenrock.net.client_connection import AnswerNow

from .rig import REQUEST_LINE, LoopbackRig, run_on_rig
from .settings import SETTINGS


def test_queued_request_is_answered_when_accepting_ends() -> None:
    async def scenario(rig: LoopbackRig) -> None:
        await rig.open()
        client = rig.connect_client(REQUEST_LINE)  # no iteration of the loop before accepting ends
        rig.acceptor.close_idle()
        data, end = await rig.read_to_end(client)
        assert data.startswith(b"BUSY ") and end == "fin"
        client.close()
        await rig.check_nothing_was_sent()

    run_on_rig(scenario)


@pytest.mark.parametrize("late", [b"", REQUEST_LINE, REQUEST_LINE[:9]], ids=["nothing", "a request", "half of one"])
def test_idle_connection_and_its_late_request_are_answered_at_the_end(late: bytes) -> None:
    async def scenario(rig: LoopbackRig) -> None:
        await rig.open()
        client = rig.connect_client(b"PING\r\n")
        assert await rig.wait_until(lambda: rig.read(client)) == b"PONG\r\n"
        if late:
            client.sendall(late)
        rig.acceptor.close_idle()
        data, end = await rig.read_to_end(client)
        assert (data == b"ERR\r\n" if late == REQUEST_LINE[:9] else data.startswith(b"BUSY ")) and end == "fin"
        client.close()
        await rig.check_nothing_was_sent()

    run_on_rig(scenario)


@pytest.mark.parametrize(
    "caps,words",
    [
        ({"retryAfter": True, "maxRetryAfterUs": 400_000}, (b"BUSY 400\r\n", b"BUSY 400\r\n")),
        ({"retryAfter": True, "maxRetryAfterUs": 9_000_000}, (b"BUSY 1000\r\n", b"BUSY 1000\r\n")),
        ({"retryAfter": False, "maxRetryAfterUs": 400_000}, (b"BUSY\r\n", b"BUSY\r\n")),
    ],
)
def test_retry_after_at_the_end_is_within_the_longest_that_settings_allow(caps, words) -> None:
    async def scenario(rig: LoopbackRig) -> None:
        await rig.open(caps={**SETTINGS["caps"], **caps})
        rests, waits = rig.connect_client(b"PING\r\n"), rig.connect_client(REQUEST_LINE.replace(b"1500", b"9000"))
        assert await rig.wait_until(lambda: rig.read(rests)) == b"PONG\r\n"
        await rig.accept_request("s1")
        end = asyncio.create_task(rig.program.shutdown.stop(False, None))
        async with asyncio.timeout(10):
            while not end.done():
                await rig.advance(10)
        assert (rig.read(rests), rig.read(waits)) == words

    run_on_rig(scenario)


@pytest.mark.parametrize("late", [b"", REQUEST_LINE], ids=["nothing", "a request"])
def test_process_with_inherited_listener_ends_after_idle_connections_are_answered(late: bytes) -> None:
    async def scenario(rig: LoopbackRig) -> None:
        await rig.open(balancers=2)
        client = rig.connect_client(b"PING\r\n")
        assert await rig.wait_until(lambda: rig.read(client)) == b"PONG\r\n"
        if late:
            client.sendall(late)  # no iteration of the loop before the signal

        async def told_at_the_end() -> bytes:
            await rig.program.shutdown.stop(True, None)
            return rig.read(client)

        end = asyncio.create_task(told_at_the_end())
        async with asyncio.timeout(10):
            while not end.done():
                await rig.advance(10)
        assert end.result().startswith(b"BUSY ")

    run_on_rig(scenario)


def test_silent_connection_is_closed_shortly_after_accepting_ends() -> None:
    async def scenario(rig: LoopbackRig) -> None:
        await rig.open()
        client = rig.connect_client()
        rig.acceptor.close_idle()
        await rig.run_loop()
        assert rig.read(client) == b""
        await rig.advance(LAST_LINE_TIMEOUT_MS + 20)
        assert await rig.read_to_end(client) == (b"ERR\r\n", "fin")

    run_on_rig(scenario)


@pytest.mark.parametrize("late", [b"", REQUEST_LINE], ids=["nothing", "a request"])
def test_request_that_arrives_at_the_idle_timeout_is_served(late: bytes) -> None:
    async def scenario(rig: LoopbackRig) -> None:
        await rig.open()
        client = rig.connect_client(b"PING\r\n")
        assert await rig.wait_until(lambda: rig.read(client)) == b"PONG\r\n"
        await rig.run_loop()
        if late:
            client.sendall(late)
        rig.clock.advance(IDLE_TIMEOUT_MS)  # without an iteration of the loop between
        if late:
            server_side = await rig.accept_request("s1")
            server_side.sendall(b"UP r\r\n")
            assert await rig.wait_until(lambda: rig.read(client)) == b"UP r\r\n"
        else:
            assert (await rig.read_to_end(client))[0].startswith(b"BUSY ")

    run_on_rig(scenario)


def test_pings_and_request_in_one_segment_are_all_answered() -> None:
    async def scenario(rig: LoopbackRig) -> None:
        await rig.open()
        client = rig.connect_client(b"PING\r\nPING\r\n" + REQUEST_LINE)
        server_side = await rig.accept_request("s1")
        server_side.sendall(b"UP r\r\n")
        received = b""
        async with asyncio.timeout(5):
            while received != b"PONG\r\nPONG\r\nUP r\r\n":
                received += rig.read(client)
                await asyncio.sleep(0)

    run_on_rig(scenario)


@pytest.mark.parametrize(
    "effect,sent,word",
    [("safe", True, b"BUSY"), ("keyed", True, b"BUSY"), ("unsafe", True, b"ERR"), ("unsafe", False, b"BUSY")],
)
def test_waiting_client_gets_busy_at_the_end_only_if_no_attempt_may_have_executed(effect, sent, word) -> None:
    async def scenario(rig: LoopbackRig) -> None:
        await rig.open(effect=effect)
        if not sent:
            rig.report_endpoints(s1="DRAINING")
            await rig.run_loop()
        client = rig.connect_client(REQUEST_LINE)
        server_side = await rig.accept_request("s1") if sent else None
        await rig.wait_until(lambda: rig.program.routing.balancer.requests)
        rig.connections["x1"].mailbox.put_unbounded(AnswerNow(1000))
        data, end = await rig.read_to_end(client)
        assert data.startswith(word) and data.count(b"\n") == 1 and end == "fin"
        if server_side:
            assert (await rig.read_to_end(server_side))[0] == b""  # the attempt has ended too

    run_on_rig(scenario)
