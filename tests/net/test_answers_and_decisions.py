"""Answers of servers that cross decisions of routing, migrations and the end of the process."""

from __future__ import annotations

import asyncio
import contextlib

import pytest

from glenrock.net import server_actor
from glenrock.net.attempt_outcomes import Reach
from glenrock.net.client_connection import AnswerNow, MigrateClient
from glenrock.routing import interface

from .rig import REQUEST_LINE, LoopbackRig, reject_request, run_on_rig
from .settings import SETTINGS


def test_connection_established_before_its_rejection_stays_and_is_known_to_routing() -> None:
    async def scenario(rig: LoopbackRig) -> None:
        client, server_side, connection = await rig.start_request()
        answered = connection.on_attempt_result

        def crossed(x, outcome) -> None:  # the answer, and directly after it the rejection
            answered(x, outcome)
            reject_request(rig, connection)

        connection.attempt.on_result = crossed
        server_side.sendall(b"UP r\r\n")
        assert await rig.wait_until(lambda: rig.read(client)) == b"UP r\r\n"
        await rig.wait_until(lambda: rig.program.routing.balancer.requests)
        rig.report_endpoints(s1="DRAINING")
        await rig.advance(2600)
        assert (await rig.read_to_end(client))[0] == b"MOVE\r\n"

    run_on_rig(scenario)


def test_connection_established_after_its_rejection_is_closed() -> None:
    async def scenario(rig: LoopbackRig) -> None:
        client, server_side, connection = await rig.start_request()
        answered = connection.on_attempt_result
        connection.attempt.on_result = lambda x, outcome: (reject_request(rig, connection), answered(x, outcome))
        server_side.sendall(b"UP r\r\n")
        assert await rig.read_to_end(server_side) == (b"", "fin")
        data, end = await rig.read_to_end(client)
        assert data == b"BUSY 500\r\n" and end == "fin"

    run_on_rig(scenario)


def test_full_mailbox_loses_no_end_of_a_connection() -> None:
    async def scenario(rig: LoopbackRig) -> None:
        await rig.open()
        client, server_side = await rig.establish()
        rig.connections["x1"].mailbox.limit = 0  # full before its first message
        client.close()
        assert await rig.read_to_end(server_side) == (b"", "fin")
        server_side.close()
        await rig.wait_until(lambda: not rig.connections)

    run_on_rig(scenario)


@pytest.mark.parametrize("reads", [True, False])
def test_client_migrates_while_its_server_hangs_within_a_line(reads: bool) -> None:
    """Also while the client's bytes fill the buffers to a server that does not read."""

    async def scenario(rig: LoopbackRig) -> None:
        await rig.open()
        client, server_side = await rig.establish()
        server_side.sendall(b"whole\r\nhal")
        assert await rig.wait_until(lambda: rig.read(client)) == b"whole\r\n"
        if not reads:
            idle = 0
            while idle < 50:
                try:
                    client.send(b"k" * 1023 + b"\n")
                    idle = 0
                except BlockingIOError:
                    idle += 1
                    await asyncio.sleep(0.0002)
            assert not rig.connections["x1"].awaits_client
        rig.connections["x1"].mailbox.try_put(MigrateClient(interface.AttemptOutcome.CANCELLED))
        received = b""
        async with asyncio.timeout(5):
            while not received.endswith(b"MOVE\r\n"):
                received += rig.read(client)
                await asyncio.sleep(0)
        assert received == b"MOVE\r\n"
        client.close()
        await rig.wait_until(lambda: not rig.connections)

    run_on_rig(scenario)


@pytest.mark.parametrize("first", ["answer", "dismissal"])
def test_connection_established_at_the_end_migrates_or_is_rejected_by_order_of_messages(first: str) -> None:
    async def scenario(rig: LoopbackRig) -> None:
        client, server_side, connection = await rig.start_request()
        answered = connection.on_attempt_result

        def crossed(x, outcome) -> None:
            order = [lambda: answered(x, outcome), lambda: connection.mailbox.put_unbounded(AnswerNow(700))]
            for act in order if first == "answer" else reversed(order):
                act()

        connection.attempt.on_result = crossed
        server_side.sendall(b"UP r\r\n")
        assert await rig.read_to_end(server_side) == (b"", "fin")
        assert await rig.read_to_end(client) == (b"UP r\r\nMOVE\r\n" if first == "answer" else b"BUSY 700\r\n", "fin")

    run_on_rig(scenario)


def test_answer_that_arrives_at_the_attempt_timeout_is_ignored() -> None:
    async def scenario(rig: LoopbackRig) -> None:
        await rig.open("s1", caps={**SETTINGS["caps"], "maxAttempts": 1})
        client = rig.connect_client(REQUEST_LINE)
        server_side = await rig.accept_request("s1")
        server_side.sendall(b"UP r\r\n")
        rig.clock.advance(1500)  # no iteration of the loop between
        assert await rig.read_to_end(server_side) == (b"", "fin")
        data, end = await rig.read_to_end(client)
        assert data.split()[0] in (b"BUSY", b"ERR") and data.count(b"\n") == 1 and end == "fin"

    run_on_rig(scenario)


def test_partly_written_request_counts_as_possibly_executed(monkeypatch) -> None:
    """Its last byte may have been sent: a request that is not idempotent fails, and no other server gets it."""
    monkeypatch.setattr(server_actor.protocol, "with_time_left", lambda line, ms: line + b"z" * (16 << 20))

    async def scenario(rig: LoopbackRig) -> None:
        await rig.open("s1", "s2", effect="unsafe")
        client = rig.connect_client(REQUEST_LINE)
        await rig.wait_until(
            lambda: (
                rig.connections
                and rig.connections["x1"].attempt
                and rig.connections["x1"].attempt.reach == Reach.PARTLY_WRITTEN
            )
        )
        await rig.advance(1600)
        assert rig.read(client) == b"ERR\r\n"
        came = 0
        for listener in rig.listeners.values():
            with contextlib.suppress(BlockingIOError):
                while True:
                    rig.keep(listener.accept()[0])
                    came += 1
        assert came == 1

    run_on_rig(scenario)
