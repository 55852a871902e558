"""What the old process was told of its servers binds the new one, although discovery is silent: real processes."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Awaitable, Callable

import pytest

from glenrock.upgrade.state_message import SOCKET_NAME

from .conftest import RunWithRig, UpgradeRig
from .test_processes import STOP_TIMEOUT_S, run_client

CLIENTS = 10
READY_WITHIN_S = 6.0  # of a new process
TOLD_VERSION = 3
REPLACED = "predecessor's endpoint list received"
NOT_RECEIVED = "predecessor's endpoint list not received"


async def stop(rig: UpgradeRig, number: int) -> None:
    """Sends SIGTERM to a process, and waits for its end."""
    rig.processes[number].send_signal(signal.SIGTERM)
    assert await asyncio.wait_for(rig.processes[number].wait(), STOP_TIMEOUT_S) == 0, rig.log(number)


async def check_nothing_goes_to_s1(rig: UpgradeRig) -> None:
    """Checks that new clients are served, and none by `s1`."""
    before = rig.connection_counts["s1"]
    outcomes = [await run_client(rig, 1000 + number, 1) for number in range(CLIENTS)]
    assert outcomes.count("kept") == CLIENTS, (outcomes, rig.log(len(rig.processes) - 1))
    assert rig.connection_counts["s1"] == before, rig.log(len(rig.processes) - 1)


async def start_beside_silent_discovery(rig: UpgradeRig) -> None:
    """Starts a process that is told that `s1` drains, and takes discovery away."""
    rig.report_endpoints(TOLD_VERSION, s1="DRAINING")
    await rig.start_process()
    rig.is_discovery_silent = True


@pytest.mark.parametrize("registry_mode", ["push", "ask"])
@pytest.mark.parametrize("upgrades", [1, 2])
def test_new_process_beside_a_silent_discovery_knows_what_drains(
    run_with_rig: RunWithRig, registry_mode: str, upgrades: int
) -> None:
    """Guards against a successor that serves from the configured list, older than its predecessor's (review/7)."""

    async def scenario(rig: UpgradeRig) -> None:
        rig.settings = {**rig.settings, "registryMode": registry_mode}
        await start_beside_silent_discovery(rig)
        for number in range(upgrades):
            await rig.start_process()
            await stop(rig, number)
            assert REPLACED in rig.log(number + 1)
        await check_nothing_goes_to_s1(rig)

    run_with_rig(scenario)


def test_new_process_is_ready_in_time_beside_a_hung_predecessor(run_with_rig: RunWithRig) -> None:
    async def scenario(rig: UpgradeRig) -> None:
        await start_beside_silent_discovery(rig)
        rig.processes[0].send_signal(signal.SIGSTOP)
        await asyncio.wait_for(rig.start_process(), READY_WITHIN_S)
        assert f"{NOT_RECEIVED} error=" in rig.log(1)
        assert await run_client(rig, 1, 1) == "kept"
        rig.processes[0].send_signal(signal.SIGCONT)
        await stop(rig, 0)

    run_with_rig(scenario)


async def serve_garbage(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Answers with bytes that are no message."""
    writer.write(b"half a mess")
    writer.close()


async def remove_socket(rig: UpgradeRig) -> None:
    """Leaves the predecessor without a socket, as an older release is."""
    (rig.folder / SOCKET_NAME).unlink()


async def make_folder_read_only(rig: UpgradeRig) -> None:
    """Puts a directory in the place of the socket, so that none can be bound there."""
    (rig.folder / SOCKET_NAME).unlink()
    (rig.folder / SOCKET_NAME).mkdir()


async def replace_socket(rig: UpgradeRig) -> None:
    """Puts a socket of another kind in the place of the predecessor's."""
    (rig.folder / SOCKET_NAME).unlink()
    await asyncio.start_unix_server(serve_garbage, rig.folder / SOCKET_NAME)


@pytest.mark.parametrize("damage", [remove_socket, make_folder_read_only, replace_socket])
def test_missing_or_foreign_state_costs_a_start_from_the_configured_list(
    run_with_rig: RunWithRig, damage: Callable[[UpgradeRig], Awaitable[None]]
) -> None:
    async def scenario(rig: UpgradeRig) -> None:
        await start_beside_silent_discovery(rig)
        await damage(rig)
        await asyncio.wait_for(rig.start_process(), READY_WITHIN_S)
        assert f"{NOT_RECEIVED} error=" in rig.log(1)
        await stop(rig, 0)
        assert await run_client(rig, 1, 1) == "kept"

    run_with_rig(scenario)


def test_new_process_that_died_does_not_keep_the_next_one_from_the_list(run_with_rig: RunWithRig) -> None:
    """Guards against a socket that stays with a process that was ready and has ended, beside its predecessor."""

    async def scenario(rig: UpgradeRig) -> None:
        await start_beside_silent_discovery(rig)
        await rig.start_process()
        rig.processes[1].kill()
        await rig.processes[1].wait()
        await rig.start_process()
        await stop(rig, 0)
        await check_nothing_goes_to_s1(rig)

    run_with_rig(scenario)
