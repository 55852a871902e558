"""A drain that an operator has set, over an upgrade: real processes."""

from __future__ import annotations

import asyncio
import signal

import pytest

from .conftest import RunWithRig, UpgradeRig
from .test_predecessor_list import stop
from .test_processes import STOP_TIMEOUT_S

PING = b"PING\r\n"
PONG = b"PONG\r\n"
ANSWER_TIMEOUT_S = 5.0
FOLLOWS_WITHIN_S = 0.5  # the other process, after an operator's call
YES_WITHIN_S = 2.0  # after `activate`
REJECTS_AFTER_S = 1.1  # from the start of a drain
PINGS = 20  # enough for both processes to accept some


async def answer_to(rig: UpgradeRig, line: bytes) -> bytes:
    """Returns the answer to a line on a new connection."""
    reader, writer = await asyncio.open_connection("127.0.0.1", rig.client_port)
    try:
        writer.write(line)
        return await asyncio.wait_for(reader.readline(), ANSWER_TIMEOUT_S)
    finally:
        writer.close()


async def answers_to_pings(rig: UpgradeRig) -> set[bytes]:
    """Returns the answers to pings on new connections, which any process may accept."""
    return set(await asyncio.gather(*(answer_to(rig, PING) for _ in range(PINGS))))


async def check_says_no(rig: UpgradeRig) -> None:
    """Checks that pings and requests are answered with no."""
    assert await answers_to_pings(rig) == {b"ERR\r\n"}
    for number in range(PINGS):
        assert (await answer_to(rig, b"OPEN d%d 1 c=look,d=500\r\n" % number)).startswith(b"BUSY")


async def call(rig: UpgradeRig, port: int, action: str) -> None:
    """Makes an operator's call of the balancer, which must be carried out."""
    assert (await rig.call(port, "POST", f"balancer/{action}")).startswith("200")


def test_new_process_of_a_drained_balancer_says_no_until_activate(run_with_rig: RunWithRig) -> None:
    """Guards against an upgrade that ends an operator's drain (related to review/10)."""

    async def scenario(rig: UpgradeRig) -> None:
        old = await rig.start_process()
        await call(rig, old, "drain")
        await asyncio.sleep(REJECTS_AFTER_S)
        new = await rig.start_process()  # its readyz is 200, so that the platform can stop the old one
        await check_says_no(rig)
        await stop(rig, 0)
        await check_says_no(rig)
        assert "draining" in await rig.call(new, "GET", "readyz")
        await call(rig, new, "activate")
        async with asyncio.timeout(YES_WITHIN_S):
            while await answers_to_pings(rig) != {PONG}:
                pass
        assert (await rig.call(new, "GET", "readyz")).startswith("200")
        assert await answer_to(rig, b"OPEN up 1 c=look,d=500\r\n") == b"UP r\r\n"

    run_with_rig(scenario)


@pytest.mark.parametrize("called", [0, 1])
def test_call_at_one_process_of_an_upgrade_binds_both(run_with_rig: RunWithRig, called: int) -> None:
    """Guards against a shared address at which only one of two processes says no."""

    async def scenario(rig: UpgradeRig) -> None:
        ports = [await rig.start_process(), await rig.start_process()]
        await call(rig, ports[called], "drain")
        await asyncio.sleep(FOLLOWS_WITHIN_S)
        assert await answers_to_pings(rig) == {b"ERR\r\n"}
        await call(rig, ports[called], "drain")  # again, without an effect
        await call(rig, ports[1 - called], "activate")
        await asyncio.sleep(FOLLOWS_WITHIN_S)
        assert await answers_to_pings(rig) == {PONG}

    run_with_rig(scenario)


def test_activate_at_the_new_process_does_not_revive_the_old_one_that_stops(run_with_rig: RunWithRig) -> None:
    async def scenario(rig: UpgradeRig) -> None:
        old = await rig.start_process()
        await call(rig, old, "drain")
        new = await rig.start_process()
        rig.processes[0].send_signal(signal.SIGTERM)
        await call(rig, new, "activate")
        assert await asyncio.wait_for(rig.processes[0].wait(), STOP_TIMEOUT_S) == 0
        assert await answers_to_pings(rig) == {PONG}
        assert "drain ended" not in rig.log(0).partition("stopping")[2]

    run_with_rig(scenario)
