"""What the new program of an upgrade takes over from the old one beside the endpoint list."""

from __future__ import annotations

import asyncio
import time
from pathlib import Path

import pytest

from glenrock.config import Address
from glenrock.net.clock import Clock, us_from_ms
from glenrock.net.endpoint_rows import EndpointRow
from glenrock.routing.interface import EndpointListKind, EndpointState
from glenrock.routing.state import Server, TimedLoad
from glenrock.upgrade.state_message import (
    ManualDrain,
    ReportedList,
    ServerSends,
    StateChange,
    StateSnapshot,
    ToldServer,
)
from glenrock.upgrade.state_receiver import StateReceiver
from glenrock.upgrade.state_sender import MAX_QUEUED_CHANGES, StateSender

from .conftest import RunWithRig, UpgradeRig
from .two_programs import two_programs, wait_until

HOUR_MS = 3_600_000.0
TOLERANCE_US = 1000


LOAD = 12_500.0


def has_started(server: Server) -> bool:
    """Returns whether discovery has reported a start of the server."""
    return server.started_us > 0


def test_server_that_came_back_cold_is_cold_for_the_new_program(
    run_with_rig: RunWithRig, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a successor that counts a cold server as warm, since its clock says that the start was long ago.

    All servers have restarted, and this machine's clocks are an hour ahead of theirs: a first list shows no start as
    recent, while the old program has seen the servers come back.
    """

    async def scenario(rig: UpgradeRig) -> None:
        async with two_programs(rig, monkeypatch) as programs:
            old = await programs.start()
            rig.report_endpoints(version=3, since_ms=time.time() * 1000 - HOUR_MS)
            known = await programs.wait_for_server(old, "s1", has_started)
            assert not old.routing.balancer.slow_start.is_warm(known)
            rig.is_discovery_silent = True
            new = await programs.start()
            taken_over = await programs.wait_for_server(new, "s1", has_started)
            assert not new.routing.balancer.slow_start.is_warm(taken_over)
            assert abs(taken_over.started_us - known.started_us) < TOLERANCE_US

    run_with_rig(scenario)


@pytest.mark.parametrize("registry_mode", ["push", "ask"])
def test_change_that_only_the_old_program_is_told_binds_the_new_one(
    run_with_rig: RunWithRig, monkeypatch: pytest.MonkeyPatch, registry_mode: str
) -> None:
    """Guards against a successor that does not know of a drain that its predecessor is told of after both are ready."""

    async def scenario(rig: UpgradeRig) -> None:
        async with two_programs(rig, monkeypatch) as programs:
            old = await programs.start(registryMode=registry_mode)
            await programs.wait_for_server(old, "s1", lambda server: server.is_ready)
            rig.is_silent_to_new_connections = True
            new = await programs.start(registryMode=registry_mode)
            rig.report_endpoints(version=3, s1="DRAINING")
            await programs.wait_for_server(old, "s1", lambda server: not server.is_ready)
            await programs.wait_for_server(new, "s1", lambda server: not server.is_ready)
            assert new.endpoints.newest_version == 3
            rig.report_endpoints(version=4)
            await programs.wait_for_server(new, "s1", lambda server: server.is_ready)

    run_with_rig(scenario)


def test_change_passes_on_through_a_chain_of_upgrades(
    run_with_rig: RunWithRig, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a successor that passes a change on under the version of the list before it."""

    async def scenario(rig: UpgradeRig) -> None:
        async with two_programs(rig, monkeypatch) as programs:
            old = await programs.start()
            await programs.wait_for_server(old, "s1", lambda server: server.is_ready)
            rig.is_silent_to_new_connections = True
            await programs.start()
            third = await programs.start()
            rig.report_endpoints(version=3, s1="DRAINING")
            await programs.wait_for_server(third, "s1", lambda server: not server.is_ready)
            assert third.endpoints.newest_version == 3

    run_with_rig(scenario)


def test_spent_slow_start_budget_is_spent_for_the_new_program(
    run_with_rig: RunWithRig, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against two processes that each send a whole slow-start budget to a server within one window."""

    async def scenario(rig: UpgradeRig) -> None:
        async with two_programs(rig, monkeypatch) as programs:
            old = await programs.start()
            rig.report_endpoints(version=3, since_ms=time.time() * 1000)
            cold = await programs.wait_for_server(old, "s1", has_started)
            now_us = us_from_ms(old.clock.now_ms())
            window_us = old.routing.balancer.settings.slow_start_window_us
            cold.slow_start_sends = [TimedLoad(now_us - 2 * window_us, LOAD), TimedLoad(now_us, LOAD)]
            new = await programs.start()
            programs.stop(old)
            taken_over = await programs.wait_for_server(new, "s1", lambda server: bool(server.slow_start_sends))
            [sent] = taken_over.slow_start_sends
            assert sent.load == LOAD and abs(sent.at_us - now_us) < TOLERANCE_US
            await programs.wait_for_server(new, "s2", lambda server: not server.slow_start_sends)

    run_with_rig(scenario)


def test_successor_that_does_not_read_gets_the_whole_list_in_place_of_many_changes(tmp_path: Path) -> None:
    """Guards against changes that pile up for a successor that hangs, and against sends that are dropped for them."""
    row = EndpointRow("s1", Address("127.0.0.1", 1), EndpointState.READY)
    whole = ReportedList(EndpointListKind.FULL, 99, "127.0.0.1:2", None, (ToldServer(row),))
    change = ReportedList(EndpointListKind.CHANGES, 7, "127.0.0.1:2", None, (ToldServer(row),))
    sends = [ServerSends(f"s{number}", ()) for number in range(MAX_QUEUED_CHANGES)]
    published: list[StateChange] = [*[change] * (MAX_QUEUED_CHANGES + 1), *sends]
    received: list[StateChange] = []

    async def scenario() -> None:
        snapshot = StateSnapshot(ManualDrain(None), whole)
        sender = StateSender(str(tmp_path), "n0", lambda: snapshot, lambda _: None)
        sender.listen()
        receiver = StateReceiver(str(tmp_path), "n0", Clock())
        assert await receiver.receive_snapshot() == snapshot
        for item in published:  # in one turn, so that none is sent meanwhile
            sender.publish(item)
        following = asyncio.create_task(receiver.follow(received.append))
        await wait_until(lambda: len(received) == 2 + len(sends))
        following.cancel()
        assert received == [ManualDrain(None), whole, *sends]

    asyncio.run(scenario())
