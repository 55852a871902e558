"""Health checks on closed connections, and watches of the endpoint list."""

from __future__ import annotations

import contextlib

import pytest

from glenrock.config import Address

from .rig import REQUEST_LINE, LoopbackRig, create_listener, run_on_rig
from .settings import SETTINGS

PROBES = {**SETTINGS["caps"], "probes": True}


def test_health_check_on_a_closed_connection_is_repeated_on_a_new_one() -> None:
    async def scenario(rig: LoopbackRig) -> None:
        await rig.open(caps=PROBES, report={"how": "probe", "names": ["x0"]})
        results = []
        actor = rig.program.servers.get("s1")
        actor.post = results.append
        for _ in range(2):
            rig.program.servers.send_health_check("s1")
            server_side = await rig.accept_connection(rig.listeners["s1"])
            assert await rig.wait_until(lambda server_side=server_side: rig.read(server_side)) == b"STATS\r\n"
            server_side.sendall(b"PONG x0=0.5\r\n")
            await rig.wait_until(lambda: actor.health_check_task.done())
            server_side.close()  # unused: the program does not read from it
        assert [r.outcome for r in results] == ["served", "served"]

    run_on_rig(scenario)


def test_silent_watch_ends_before_a_missed_change_counts_as_reported() -> None:
    """The agent lists a draining server from the moment the watch is silent; after the grace it gets no connection."""

    async def scenario(rig: LoopbackRig) -> None:
        grace = 2000.0
        await rig.open(obligations={**SETTINGS["obligations"], "drainGraceUs": grace * 1000})
        assert b"index=2&wait=1000 " in await rig.wait_until(lambda: rig.read(rig.discovery_connection))
        spent = 0.0
        with pytest.raises(BlockingIOError):
            rig.discovery.accept()
        while True:
            await rig.advance(10)
            spent += 10
            assert spent < grace
            with contextlib.suppress(BlockingIOError):
                rig.discovery_connection = rig.keep(rig.discovery.accept()[0])
                break
        assert (await rig.wait_until(lambda: rig.read(rig.discovery_connection))).startswith(
            b"GET /discovery/hosts HTTP"
        ), "no watch"
        rig.report_endpoints(s1="DRAINING")
        await rig.run_loop()
        client = rig.connect_client(REQUEST_LINE)
        assert (await rig.wait_until(lambda: rig.clock.advance(10) or rig.read(client))).startswith(b"BUSY")

    run_on_rig(scenario)


@pytest.mark.parametrize("answered", [True, False])
def test_change_of_discovery_address_discards_versions_of_the_earlier_discovery(answered: bool) -> None:
    """The new discovery does not know earlier versions: it is polled for the whole list, and its list counts."""

    async def scenario(rig: LoopbackRig) -> None:
        await rig.open()
        await rig.wait_until(lambda: b"index=2" in rig.read(rig.discovery_connection))
        if answered:
            rig.report_endpoints(s1="DRAINING")  # no iteration of the loop between
        rig.discovery, rig.version = create_listener(), 0
        rig.program.endpoints.change_address(Address(*rig.discovery.getsockname()))
        rig.discovery_connection = await rig.accept_connection(rig.discovery)
        assert (await rig.wait_until(lambda: rig.read(rig.discovery_connection))).startswith(
            b"GET /discovery/hosts HTTP"
        )
        rig.report_endpoints()
        await rig.establish()

    run_on_rig(scenario)
