"""Peers that send at full speed over an established connection: they take a bounded part of what others need."""

from __future__ import annotations

import contextlib
import socket

import pytest

from glenrock.net.relay_pumps import BUFFER_BYTES, READ_BURST, SHARED_READ_BURST
from glenrock.routing import interface

from .rig import REQUEST_ID, LoopbackRig, read_now

FLOOD_ROUNDS = 400
LOAD_LINES = 1000  # less than one read of the balancer
MAX_BYTES_WITHOUT_PAUSE = (READ_BURST + SHARED_READ_BURST + 2) * BUFFER_BYTES


async def flood(rig: LoopbackRig, sender: socket.socket, receiver: socket.socket, rounds: int = FLOOD_ROUNDS) -> int:
    """Sends as much as the kernel takes, while the clock stands still. Returns the number of bytes received."""
    received = 0
    for _ in range(rounds):
        with contextlib.suppress(BlockingIOError):
            sender.send(b"x\r\n" * BUFFER_BYTES)
        await rig.run_loop()
        received += len(read_now(receiver))
    return received


@pytest.mark.parametrize("is_from_client", [True, False], ids=["client", "server"])
async def test_relay_that_never_pauses_is_slowed_down(rig: LoopbackRig, is_from_client: bool) -> None:
    """Guards against one relay that takes each turn of the event loop (issue 58, picture b)."""
    await rig.open()
    client, server_side = await rig.establish()
    sender, receiver = (client, server_side) if is_from_client else (server_side, client)
    assert await flood(rig, sender, receiver) <= MAX_BYTES_WITHOUT_PAUSE
    await rig.advance(100)
    assert read_now(receiver), "it goes on as time passes"


async def test_load_reports_that_arrive_together_are_one_event(
    rig: LoopbackRig, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against servers whose load lines fill the mailbox of routing, so that it rejects requests (picture b)."""
    await rig.open()
    _, server_side = await rig.establish()
    await rig.run_loop()
    events: list[interface.Event] = []
    monkeypatch.setattr(rig.program.routing, "post", events.append)
    server_side.sendall(b"LOAD 1\r\n" * LOAD_LINES + b"LOAD 2\r\n")
    await rig.run_loop()
    assert events == [interface.ConnectionFeedback(REQUEST_ID, "s1", load=2.0)]
