"""Requests whose id comes again after its client has left, and lines that are left when a client resets."""

from __future__ import annotations

import socket
from collections.abc import Callable

import pytest

from glenrock.net.relay_pumps import BUFFER_BYTES

from .rig import (
    ESTABLISHED_LINE,
    REQUEST_LINE,
    LoopbackRig,
    StreamEnd,
    close_socket,
    read_now,
    read_to_end,
    receive,
    wait_until,
)
from .settings import caps

LINES = b"order\r\n" * 300_000
KINDS_THAT_RUN_ONCE = ["keyed", "unsafe"]


async def end_request(rig: LoopbackRig, client: socket.socket, server_side: socket.socket, reset: bool) -> None:
    """Makes the client leave, and waits until its connection and its attempt have ended."""
    close_socket(client, reset)
    await read_to_end(server_side)
    server_side.close()
    await wait_until(lambda: not rig.connections)


@pytest.mark.parametrize("reset", [False, True], ids=["fin", "rst"])
@pytest.mark.parametrize("is_established", [False, True], ids=["in flight", "established"])
@pytest.mark.parametrize("effect", KINDS_THAT_RUN_ONCE)
async def test_id_that_may_have_run_is_not_sent_again(
    rig: LoopbackRig, effect: str, is_established: bool, reset: bool
) -> None:
    """Guards against a request that runs twice when its id comes again after its client has left (picture c)."""
    await rig.open(effect=effect)
    client = rig.connect_client(REQUEST_LINE)
    server_side = await rig.accept_request("s1")
    if is_established:
        server_side.sendall(ESTABLISHED_LINE)
        assert await receive(client) == ESTABLISHED_LINE
    await end_request(rig, client, server_side, reset)
    again = rig.connect_client(REQUEST_LINE)
    assert await read_to_end(again) == (b"ERR\r\n", StreamEnd.FIN)
    assert not rig.accept_queued(rig.listeners["s1"])


@pytest.mark.parametrize("effect", ["safe", *KINDS_THAT_RUN_ONCE])
async def test_id_that_never_ran_is_free(rig: LoopbackRig, effect: str) -> None:
    await rig.open(effect=effect, caps=caps(maxAttempts=1))
    client = rig.connect_client(REQUEST_LINE)
    server_side = await rig.accept_request("s1")
    server_side.sendall(b"BUSY\r\n")
    await rig.advance(1600)
    assert read_now(client).startswith(b"BUSY")
    client.close()
    await wait_until(lambda: not rig.connections)
    again = rig.connect_client(REQUEST_LINE)
    await rig.accept_request("s1")
    assert read_now(again) == b""


async def test_safe_id_is_sent_again_only_after_its_first_attempt_has_ended(rig: LoopbackRig) -> None:
    await rig.open()
    client = rig.connect_client(REQUEST_LINE)
    server_side = await rig.accept_request("s1")
    while_it_runs = rig.connect_client(REQUEST_LINE)
    assert await read_to_end(while_it_runs) == (b"ERR\r\n", StreamEnd.FIN)
    await end_request(rig, client, server_side, reset=False)
    rig.connect_client(REQUEST_LINE)
    await rig.accept_request("s1")


async def test_id_is_in_use_until_routing_knows_of_its_end(rig: LoopbackRig, monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a decision on the earlier request that is carried out for the later one of its id (picture c)."""
    await rig.open()
    callbacks: list[Callable[[], object]] = []
    client = rig.connect_client(REQUEST_LINE)
    server_side = await rig.accept_request("s1")
    monkeypatch.setattr(rig.program.routing, "call_after_batch", callbacks.append, raising=False)
    client.close()
    await read_to_end(server_side)
    await rig.run_loop()
    again = rig.connect_client(REQUEST_LINE)
    assert await read_to_end(again) == (b"ERR\r\n", StreamEnd.FIN)
    for callback in callbacks:
        callback()
    rig.connect_client(REQUEST_LINE)
    await rig.accept_request("s1")


async def test_lines_left_when_a_client_resets_are_not_passed_on(rig: LoopbackRig) -> None:
    """Guards against requests that are sent on after their client has closed with much still unread (picture c)."""
    await rig.open()
    client, server_side = await rig.establish()
    client.setblocking(True)
    client.settimeout(0.2)
    sent = 0
    while sent < len(LINES):
        try:
            sent += client.send(LINES[sent:])
        except TimeoutError:
            break
    close_socket(client, reset=True)
    await rig.run_loop()
    received, is_reset = 0, False
    while not is_reset:
        await rig.advance(10)
        try:
            received += len(server_side.recv(1 << 20))
        except BlockingIOError:
            continue
        except ConnectionResetError:
            is_reset = True
    assert sent > BUFFER_BYTES and received == 0, "the reset came before the first read"
