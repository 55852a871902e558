"""Handover of established connections, clients that send too much too early, and SIGTERM right after the start."""

from __future__ import annotations

import asyncio
import socket

import pytest

from glenrock.net.acceptor import LINGER_TIMEOUT_MS

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

FLOOD = b"z" * 200_000


@pytest.mark.parametrize("is_accepted", [True, False])
@pytest.mark.parametrize("late", [b"a line\r\nhal", b""], ids=["bytes", "the client's end"])
async def test_bytes_that_arrive_during_a_handover_are_read_by_the_owner_of_the_relay(
    rig: LoopbackRig, is_accepted: bool, late: bytes
) -> None:
    await rig.open()
    client, server_side = await rig.establish()
    connection = rig.connections[REQUEST_ID]
    successor_socks: list[socket.socket] = []
    await wait_until(connection.may_hand_over)

    async def offer() -> bool:
        successor_socks.append(rig.keep(connection.sock.dup()))
        await rig.run_loop()
        return is_accepted

    # The event loop does not run between this and the offer, so the pumps have not read the bytes yet.
    if late:
        client.sendall(late)
    else:
        client.shutdown(socket.SHUT_WR)
    assert await connection.hand_over(offer) is is_accepted
    if is_accepted and late:
        assert await receive(successor_socks[0]) == late
    elif is_accepted:
        assert await read_to_end(successor_socks[0]) == (b"", StreamEnd.FIN)
    elif late:
        assert await receive(server_side) == late
    else:
        assert await read_to_end(server_side) == (b"", StreamEnd.FIN)
    server_side.close()


@pytest.mark.parametrize("is_in_request_segment", [True, False])
async def test_flood_behind_a_request_line_is_answered_and_delays_no_other_client(
    rig: LoopbackRig, is_in_request_segment: bool
) -> None:
    await rig.open()
    flood_line = REQUEST_LINE.replace(b"x1", b"x9")
    flood_client = rig.connect_client(flood_line + FLOOD if is_in_request_segment else flood_line)
    if not is_in_request_segment:
        await rig.accept_request("s1")
        flood_client.send(FLOOD)
    client, server_side = await rig.establish()
    assert read_now(flood_client) == b"ERR\r\n"
    for sock in (flood_client, client, server_side):
        sock.close()
    await rig.advance(LINGER_TIMEOUT_MS + 20)
    assert not rig.connections


async def test_signal_before_serving_ends_the_program_with_all_clients_answered(rig: LoopbackRig) -> None:
    await rig.open(balancers=2)
    stop = asyncio.Event()
    stop.set()
    client = rig.connect_client(REQUEST_LINE)
    serving = asyncio.create_task(rig.program.run_until(stop))
    server_side = await rig.accept_request("s1")
    server_side.sendall(ESTABLISHED_LINE)
    await rig.advance_until(serving.done, timeout_s=10.0)
    serving.result()
    assert read_now(client) == ESTABLISHED_LINE + b"MOVE\r\n"
    assert not rig.connections
