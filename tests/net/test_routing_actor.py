"""The order of events, actions and callbacks of the routing actor."""

from __future__ import annotations

import asyncio

import pytest

from glenrock.net.clock import ManualClock
from glenrock.net.routing_actor import RoutingActor
from glenrock.routing import interface
from glenrock.routing.settings_codec import decode_settings

from .settings import SETTINGS


async def test_callback_follows_the_events_posted_before_it_also_within_a_batch(
    runner: asyncio.Runner, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against an id that is free again before routing has read that its connection has ended (picture c)."""
    actor = RoutingActor(decode_settings(SETTINGS), 1, ManualClock())
    end = interface.ClientDisconnected("x")
    steps: list[str] = []
    done = asyncio.Event()

    def record_callback() -> None:
        steps.append("callback")
        done.set()

    def handle_batch(batch: list[interface.Event]) -> None:
        if end in batch:
            steps.append("end")
        elif not steps:
            steps.append("first")
            actor.post_required(end)
            actor.call_after_batch(record_callback)

    monkeypatch.setattr(actor, "handle_batch", handle_batch)
    task = asyncio.create_task(actor.run())
    await asyncio.sleep(0)
    actor.mailbox.wake()
    await asyncio.wait_for(done.wait(), 5)
    task.cancel()
    assert steps == ["first", "end", "callback"]
