"""Established connections: handover, floods, and a signal at the start."""

from __future__ import annotations

import asyncio
import socket

import pytest

from glenrock.net.acceptor import LINGER_TIMEOUT_MS

from .rig import REQUEST_LINE, LoopbackRig, run_on_rig


@pytest.mark.parametrize("taken", [True, False])
@pytest.mark.parametrize("late", [b"a line\r\nhal", b""], ids=["bytes", "the client's end"])
def test_bytes_that_arrive_during_a_handover_are_read_by_the_owner_of_the_relay(taken: bool, late: bytes) -> None:
    async def scenario(rig: LoopbackRig) -> None:
        await rig.open()
        client, server_side = await rig.establish()
        connection, elsewhere = rig.connections["x1"], []
        await rig.wait_until(connection.may_hand_over)

        async def give() -> bool:
            elsewhere.append(rig.keep(connection.sock.dup()))
            await rig.run_loop()
            return taken

        client.sendall(late) if late else client.shutdown(socket.SHUT_WR)  # no iteration of the loop before the offer
        handed = await connection.hand_over(give)
        assert handed is taken
        if taken:
            assert await rig.wait_until(lambda: rig.read(elsewhere[0]) or not late) == (late or True)
        elif late:
            assert await rig.wait_until(lambda: rig.read(server_side)) == late
        else:
            assert await rig.read_to_end(server_side) == (b"", "fin")
        server_side.close()

    run_on_rig(scenario)


@pytest.mark.parametrize("at_once", [True, False])
def test_flood_behind_a_request_line_is_answered_and_delays_no_other_client(at_once: bool) -> None:
    async def scenario(rig: LoopbackRig) -> None:
        await rig.open()
        flood = rig.connect_client(REQUEST_LINE.replace(b"x1", b"x9") + b"z" * 200_000 * at_once)
        if not at_once:
            await rig.accept_request("s1")
            flood.send(b"z" * 200_000)
        client, server_side = await rig.establish()
        assert rig.read(flood) == b"ERR\r\n"
        for sock in (flood, client, server_side):
            sock.close()
        await rig.advance(LINGER_TIMEOUT_MS + 20)
        assert not rig.connections

    run_on_rig(scenario)


def test_signal_before_serving_ends_the_program_with_all_clients_answered() -> None:
    async def scenario(rig: LoopbackRig) -> None:
        await rig.open(balancers=2)
        stop, client = asyncio.Event(), rig.connect_client(REQUEST_LINE)
        stop.set()
        end = asyncio.create_task(rig.program.run_until(stop))
        server_side = await rig.accept_request("s1")
        server_side.sendall(b"UP r\r\n")
        async with asyncio.timeout(10):
            while not end.done():
                await rig.advance(10)
        end.result()
        assert rig.read(client) == b"UP r\r\nMOVE\r\n" and not rig.connections

    run_on_rig(scenario)
