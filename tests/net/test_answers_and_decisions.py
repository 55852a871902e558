"""Answers of servers that arrive together with a decision of routing, a migration or the end of the process."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import pytest

from glenrock.net import protocol
from glenrock.net.attempt_outcomes import AttemptProgress, AttemptResult
from glenrock.net.client_connection import ClientConnection
from glenrock.net.connection_attempt import ConnectionAttempt
from glenrock.net.connection_messages import DrainConnection, MigrateClient
from glenrock.net.relay_pumps import SHARED_READ_INTERVAL_MS
from glenrock.routing import interface

from .loopback_delivery import ITERATION_S
from .rig import (
    ESTABLISHED_LINE,
    REQUEST_ID,
    REQUEST_LINE,
    LoopbackRig,
    StreamEnd,
    attempt_of,
    read_now,
    read_to_end,
    receive,
    wait_until,
)
from .settings import caps


async def test_connection_established_before_its_rejection_stays_and_is_known_to_routing(rig: LoopbackRig) -> None:
    client, server_side, connection = await rig.start_request()
    post_result = connection.on_attempt_result

    def post_result_then_reject(attempt: ConnectionAttempt, result: AttemptResult) -> None:
        post_result(attempt, result)
        rig.reject_request(connection)

    attempt_of(connection).on_result = post_result_then_reject
    server_side.sendall(ESTABLISHED_LINE)
    assert await receive(client) == ESTABLISHED_LINE
    await wait_until(lambda: rig.program.routing.balancer.requests)
    rig.report_endpoints(s1="DRAINING")
    await rig.advance(2600)
    assert (await read_to_end(client)).data == b"MOVE\r\n"


async def test_connection_established_after_its_rejection_is_closed(rig: LoopbackRig) -> None:
    client, server_side, connection = await rig.start_request()
    post_result = connection.on_attempt_result

    def reject_then_post_result(attempt: ConnectionAttempt, result: AttemptResult) -> None:
        rig.reject_request(connection)
        post_result(attempt, result)

    attempt_of(connection).on_result = reject_then_post_result
    server_side.sendall(ESTABLISHED_LINE)
    assert await read_to_end(server_side) == (b"", StreamEnd.FIN)
    assert await read_to_end(client) == (b"BUSY 500\r\n", StreamEnd.FIN)


@pytest.mark.parametrize("is_established", [True, False])
async def test_full_mailbox_of_routing_loses_no_end_of_a_request(rig: LoopbackRig, is_established: bool) -> None:
    """Guards against requests that routing keeps for ever, and ids that it then ignores, after a flood of events."""
    await rig.open()
    if is_established:
        client, _ = await rig.establish()
    else:
        client = rig.connect_client(REQUEST_LINE)
        await rig.accept_request("s1")
    rig.program.routing.mailbox.limit = 0
    client.close()
    await rig.advance_until(lambda: not rig.connections)
    await rig.run_loop()
    assert not rig.program.routing.balancer.requests


async def test_full_mailbox_of_routing_loses_no_change_of_the_list(rig: LoopbackRig) -> None:
    """Guards against sending to a server whose drain was told while the mailbox was full."""
    await rig.open()
    rig.program.routing.mailbox.limit = 0
    rig.report_endpoints(s1="DRAINING")
    await rig.run_loop()
    assert not rig.program.routing.balancer.servers["s1"].is_ready


async def test_full_mailbox_loses_no_end_of_a_connection(rig: LoopbackRig) -> None:
    await rig.open()
    client, server_side = await rig.establish()
    rig.connections[REQUEST_ID].mailbox.limit = 0  # full before its first message
    client.close()
    assert await read_to_end(server_side) == (b"", StreamEnd.FIN)
    server_side.close()
    await wait_until(lambda: not rig.connections)


@pytest.mark.parametrize("server_reads", [True, False])
async def test_client_migrates_while_its_server_hangs_within_a_line(rig: LoopbackRig, server_reads: bool) -> None:
    """Also if the server does not read, and the client has filled all buffers towards it."""
    await rig.open()
    client, server_side = await rig.establish()
    server_side.sendall(b"whole\r\nhal")
    assert await receive(client) == b"whole\r\n"
    if not server_reads:
        blocked_sends = 0
        while blocked_sends < 50:
            try:
                client.send(b"k" * 1023 + b"\n")
                blocked_sends = 0
            except BlockingIOError:
                # A pump that waits for its next read has not filled the buffers yet.
                blocked_sends = 0 if rig.connections[REQUEST_ID].awaits_client else blocked_sends + 1
                rig.clock.advance(SHARED_READ_INTERVAL_MS)  # a relay that never pauses is slowed down
                await asyncio.sleep(ITERATION_S)
        assert not rig.connections[REQUEST_ID].awaits_client
    rig.connections[REQUEST_ID].mailbox.try_put(MigrateClient(interface.AttemptOutcome.CANCELLED))
    received = b""
    async with asyncio.timeout(5):
        while not received.endswith(b"MOVE\r\n"):
            received += read_now(client)
            await asyncio.sleep(0)
    assert received == b"MOVE\r\n"
    client.close()
    await wait_until(lambda: not rig.connections)


@pytest.mark.parametrize(("is_answer_first", "received"), [(True, b"UP r\r\nMOVE\r\n"), (False, b"BUSY 700\r\n")])
async def test_connection_established_at_the_end_migrates_or_is_rejected_by_order_of_messages(
    rig: LoopbackRig, is_answer_first: bool, received: bytes
) -> None:
    client, server_side, connection = await rig.start_request()
    post_result = connection.on_attempt_result

    def post_both(attempt: ConnectionAttempt, result: AttemptResult) -> None:
        if is_answer_first:
            post_result(attempt, result)
        connection.mailbox.put_unbounded(DrainConnection(700))
        if not is_answer_first:
            post_result(attempt, result)

    attempt_of(connection).on_result = post_both
    server_side.sendall(ESTABLISHED_LINE)
    assert await read_to_end(server_side) == (b"", StreamEnd.FIN)
    assert await read_to_end(client) == (received, StreamEnd.FIN)


async def test_answer_that_arrives_at_the_attempt_timeout_is_ignored(rig: LoopbackRig) -> None:
    await rig.open("s1", caps=caps(maxAttempts=1))
    client = rig.connect_client(REQUEST_LINE)
    server_side = await rig.accept_request("s1")
    server_side.sendall(ESTABLISHED_LINE)
    rig.clock.advance(1500)  # the event loop does not run between the answer and the timeout
    assert await read_to_end(server_side) == (b"", StreamEnd.FIN)
    data, end = await read_to_end(client)
    assert data.split()[0] in (b"BUSY", b"ERR")
    assert data.count(b"\n") == 1
    assert end is StreamEnd.FIN


async def test_partly_written_request_counts_as_possibly_executed(
    rig: LoopbackRig, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Its last byte may have been sent, so a request that is not idempotent fails and is not sent to another server."""
    monkeypatch.setattr(protocol, "with_remaining_wait", lambda line, ms: line + b"z" * (16 << 20))
    await rig.open("s1", "s2", effect="unsafe")
    client = rig.connect_client(REQUEST_LINE)
    await rig.wait_for_attempt(lambda attempt: attempt.progress == AttemptProgress.PARTLY_WRITTEN)
    await rig.advance(1600)
    assert read_now(client) == b"ERR\r\n"
    assert sum(len(rig.accept_queued(listener)) for listener in rig.listeners.values()) == 1


@pytest.mark.parametrize(
    ("decide", "answer"), [(LoopbackRig.fail_request, b"ERR\r\n"), (LoopbackRig.reject_request, b"BUSY 500\r\n")]
)
async def test_drain_answers_with_the_decision_that_waits_behind_it(
    rig: LoopbackRig, decide: Callable[[LoopbackRig, ClientConnection], None], answer: bytes
) -> None:
    """Guards against BUSY for a request that may have run, when routing fails it as the balancer stops (review/6)."""
    await rig.open(effect="unsafe")
    client = rig.connect_client(REQUEST_LINE)
    await rig.accept_request("s1")
    connection = rig.connections[REQUEST_ID]
    connection.mailbox.put_unbounded(DrainConnection(700))
    decide(rig, connection)
    assert await read_to_end(client) == (answer, StreamEnd.FIN)


async def test_drain_fails_a_request_that_was_sent_and_that_routing_no_longer_knows(rig: LoopbackRig) -> None:
    """Guards against taking a request that routing has discarded for one that it does not know yet (review/6)."""
    await rig.open(effect="unsafe")
    client = rig.connect_client(REQUEST_LINE)
    await rig.accept_request("s1")
    rig.program.routing.balancer.lifecycle.on_client_disconnected(REQUEST_ID)
    rig.connections[REQUEST_ID].mailbox.put_unbounded(DrainConnection(700))
    assert await read_to_end(client) == (b"ERR\r\n", StreamEnd.FIN)


async def test_drain_rejects_a_request_that_routing_does_not_know_yet(
    rig: LoopbackRig, monkeypatch: pytest.MonkeyPatch
) -> None:
    await rig.open(effect="unsafe")
    monkeypatch.setattr(rig.program.routing.mailbox, "try_put", lambda event: True)  # its event stays unread
    client = rig.connect_client(REQUEST_LINE)
    await wait_until(lambda: rig.connections)
    rig.connections[REQUEST_ID].mailbox.put_unbounded(DrainConnection(700))
    assert await read_to_end(client) == (b"BUSY 700\r\n", StreamEnd.FIN)
