"""Connections that have sent no request: at the end of the process, at their timeout, and after pings."""

from __future__ import annotations

import asyncio
import contextlib
import socket

import pytest

from glenrock.net.acceptor import (
    IDLE_TIMEOUT_MS,
    LAST_LINE_TIMEOUT_MS,
    PING_ANSWER_TIMEOUT_MS,
    PING_BURST,
    PING_INTERVAL_MS,
)
from glenrock.net.connection_messages import DrainConnection

from .rig import (
    ESTABLISHED_LINE,
    REQUEST_ID,
    REQUEST_LINE,
    LoopbackRig,
    StreamEnd,
    read_now,
    read_to_end,
    receive,
    wait_until,
)
from .settings import caps

SHUTDOWN_TIMEOUT_S = 10.0
FILL_ROUNDS = 5  # until the buffers of both ends are full
SMALL_BUFFER_BYTES = 4096
HALF_REQUEST_LINE = REQUEST_LINE[:9]


def fill_send_buffer(sock: socket.socket) -> None:
    """Sends until the kernel takes no more."""
    with contextlib.suppress(BlockingIOError):
        while True:
            sock.send(b"x" * 65536)


async def test_pings_without_a_pause_are_answered_at_a_limited_rate(rig: LoopbackRig) -> None:
    """Guards against one connection whose pings take all turns of the event loop (issue 58, picture b)."""
    await rig.open()
    client = rig.connect_client(b"PING\r\n" * 1000)
    await rig.advance(1000)
    answers = read_now(client)
    assert answers == b"PONG\r\n" * (PING_BURST + int(1000 / PING_INTERVAL_MS))


async def test_client_that_reads_no_answer_to_its_pings_is_closed(
    rig: LoopbackRig, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against connections that are never closed, until no descriptor is left for others (picture b)."""
    await rig.open()
    accepted: list[socket.socket] = []
    serve = rig.acceptor._serve

    async def record_and_serve(sock: socket.socket) -> None:
        accepted.append(sock)
        await serve(sock)

    monkeypatch.setattr(rig.acceptor, "_serve", record_and_serve)
    clients = [rig.connect_client(b"PING\r\n") for _ in range(3)]
    await wait_until(lambda: len(rig.acceptor.idle.answered) == len(clients))
    for sock, option in [(sock, socket.SO_SNDBUF) for sock in accepted] + [
        (sock, socket.SO_RCVBUF) for sock in clients
    ]:
        sock.setsockopt(socket.SOL_SOCKET, option, SMALL_BUFFER_BYTES)  # the kernel does not enlarge it from now on
    for _ in range(FILL_ROUNDS):
        for sock in accepted:
            fill_send_buffer(sock)
        await rig.run_loop()
    for client in clients:
        client.sendall(b"PING\r\n")
    await rig.run_loop()
    rig.acceptor.idle.shed_oldest()
    await rig.run_loop()
    assert len(rig.acceptor.tasks) == len(clients) - 1, "one that is shed ends at once"
    await rig.advance(PING_ANSWER_TIMEOUT_MS + 10)
    assert not rig.acceptor.tasks


async def test_queued_request_is_answered_when_accepting_ends(rig: LoopbackRig) -> None:
    await rig.open()
    client = rig.connect_client(REQUEST_LINE)  # the event loop does not run before accepting ends
    rig.acceptor.close_idle()
    data, end = await read_to_end(client)
    assert data.startswith(b"BUSY ")
    assert end is StreamEnd.FIN
    client.close()
    await rig.check_nothing_was_sent()


@pytest.mark.parametrize(
    ("late", "answer"),
    [(b"", b"BUSY "), (REQUEST_LINE, b"BUSY "), (HALF_REQUEST_LINE, b"ERR\r\n")],
    ids=["nothing", "a request", "half of a request"],
)
async def test_idle_connection_and_its_late_request_are_answered_at_the_end(
    rig: LoopbackRig, late: bytes, answer: bytes
) -> None:
    await rig.open()
    client = rig.connect_client(b"PING\r\n")
    assert await receive(client) == b"PONG\r\n"
    if late:
        client.sendall(late)
    rig.acceptor.close_idle()
    data, end = await read_to_end(client)
    assert data == answer if late == HALF_REQUEST_LINE else data.startswith(answer)
    assert end is StreamEnd.FIN
    client.close()
    await rig.check_nothing_was_sent()


@pytest.mark.parametrize(
    ("may_send", "max_retry_after_us", "answer"),
    [(True, 400_000, b"BUSY 400\r\n"), (True, 9_000_000, b"BUSY 1000\r\n"), (False, 400_000, b"BUSY\r\n")],
)
async def test_retry_after_at_the_end_is_within_the_longest_that_settings_allow(
    rig: LoopbackRig, may_send: bool, max_retry_after_us: int, answer: bytes
) -> None:
    await rig.open(caps=caps(retryAfter=may_send, maxRetryAfterUs=max_retry_after_us))
    idle = rig.connect_client(b"PING\r\n")
    waiting = rig.connect_client(REQUEST_LINE.replace(b"1500", b"9000"))
    assert await receive(idle) == b"PONG\r\n"
    await rig.accept_request("s1")
    shutdown = asyncio.create_task(rig.program.shutdown.stop(False, None))
    await rig.advance_until(shutdown.done, SHUTDOWN_TIMEOUT_S)
    assert read_now(idle) == answer
    assert read_now(waiting) == answer


@pytest.mark.parametrize("late", [b"", REQUEST_LINE], ids=["nothing", "a request"])
async def test_process_with_inherited_listener_ends_after_idle_connections_are_answered(
    rig: LoopbackRig, late: bytes
) -> None:
    await rig.open(balancers=2)
    client = rig.connect_client(b"PING\r\n")
    assert await receive(client) == b"PONG\r\n"
    if late:
        client.sendall(late)  # the event loop does not run before the shutdown starts

    async def stop_and_read() -> bytes:
        await rig.program.shutdown.stop(True, None)
        return read_now(client)

    stopping = asyncio.create_task(stop_and_read())
    await rig.advance_until(stopping.done, SHUTDOWN_TIMEOUT_S)
    assert stopping.result().startswith(b"BUSY ")


async def test_silent_connection_is_closed_shortly_after_accepting_ends(rig: LoopbackRig) -> None:
    await rig.open()
    client = rig.connect_client()
    rig.acceptor.close_idle()
    await rig.run_loop()
    assert read_now(client) == b""
    await rig.advance(LAST_LINE_TIMEOUT_MS + 20)
    assert await read_to_end(client) == (b"ERR\r\n", StreamEnd.FIN)


@pytest.mark.parametrize("late", [b"", REQUEST_LINE], ids=["nothing", "a request"])
async def test_request_that_arrives_at_the_idle_timeout_is_served(rig: LoopbackRig, late: bytes) -> None:
    await rig.open()
    client = rig.connect_client(b"PING\r\n")
    assert await receive(client) == b"PONG\r\n"
    await rig.run_loop()
    if late:
        client.sendall(late)
    rig.clock.advance(IDLE_TIMEOUT_MS)  # the event loop does not run in between
    if late:
        server_side = await rig.accept_request("s1")
        server_side.sendall(ESTABLISHED_LINE)
        assert await receive(client) == ESTABLISHED_LINE
    else:
        assert (await read_to_end(client)).data.startswith(b"BUSY ")


async def test_pings_and_request_in_one_segment_are_all_answered(rig: LoopbackRig) -> None:
    await rig.open()
    client = rig.connect_client(b"PING\r\nPING\r\n" + REQUEST_LINE)
    server_side = await rig.accept_request("s1")
    server_side.sendall(ESTABLISHED_LINE)
    received = b""
    async with asyncio.timeout(5):
        while received != b"PONG\r\nPONG\r\n" + ESTABLISHED_LINE:
            received += read_now(client)
            await asyncio.sleep(0)


@pytest.mark.parametrize(
    ("effect", "is_sent", "answer"),
    [("safe", True, b"BUSY"), ("keyed", True, b"BUSY"), ("unsafe", True, b"ERR"), ("unsafe", False, b"BUSY")],
)
async def test_waiting_client_gets_busy_at_the_end_only_if_no_attempt_may_have_executed(
    rig: LoopbackRig, effect: str, is_sent: bool, answer: bytes
) -> None:
    await rig.open(effect=effect)
    if not is_sent:
        rig.report_endpoints(s1="DRAINING")
        await rig.run_loop()
    client = rig.connect_client(REQUEST_LINE)
    server_side = await rig.accept_request("s1") if is_sent else None
    await wait_until(lambda: rig.program.routing.balancer.requests)
    rig.connections[REQUEST_ID].mailbox.put_unbounded(DrainConnection(1000))
    data, end = await read_to_end(client)
    assert data.startswith(answer)
    assert data.count(b"\n") == 1
    assert end is StreamEnd.FIN
    if server_side:
        assert (await read_to_end(server_side)).data == b""  # the program has ended the attempt
