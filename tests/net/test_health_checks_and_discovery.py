"""Health checks on connections that the server has closed, and watches of the endpoint list."""

from __future__ import annotations

import pytest

from glenrock.config import Address
from glenrock.routing import interface

from .loopback_delivery import CLOCK_STEP_MS
from .rig import REQUEST_LINE, LoopbackRig, create_listener, read_now, receive, wait_until
from .settings import SETTINGS, caps

DRAIN_GRACE_MS = 2000.0


async def test_health_check_on_a_closed_connection_is_repeated_on_a_new_one(rig: LoopbackRig) -> None:
    await rig.open(caps=caps(probes=True), report={"how": "probe", "names": ["x0"]})
    results: list[interface.Event] = []

    def record_result(event: interface.Event) -> bool:
        results.append(event)
        return True

    actor = rig.server_actor()
    actor.post = record_result
    for _ in range(2):
        rig.program.servers.send_health_check("s1")
        server_side = await rig.accept_connection(rig.listeners["s1"])
        assert await receive(server_side) == b"STATS\r\n"
        server_side.sendall(b"PONG x0=0.5\r\n")
        await wait_until(lambda: actor.health_check_task is not None and actor.health_check_task.done())
        server_side.close()  # the program does not notice it, since it reads only during a health check
    outcomes = [result.outcome for result in results if isinstance(result, interface.HealthCheckResult)]
    assert outcomes == [interface.AttemptOutcome.SERVED] * len(results)
    assert len(results) == 2


async def test_silent_watch_ends_before_a_missed_change_counts_as_reported(rig: LoopbackRig) -> None:
    """An agent's change counts as reported at once, although the watch in progress may not report it.

    So the watch must end and the whole list must be polled before the grace of a draining server is over. After the
    grace the server gets no connection.
    """
    await rig.open(obligations={**SETTINGS["obligations"], "drainGraceUs": DRAIN_GRACE_MS * 1000})
    assert b"index=2&wait=1000 " in await receive(rig.discovery_connection)
    with pytest.raises(BlockingIOError):
        rig.discovery.accept()
    elapsed_ms = 0.0
    while not (accepted := rig.accept_queued(rig.discovery)):
        await rig.advance(CLOCK_STEP_MS)
        elapsed_ms += CLOCK_STEP_MS
        assert elapsed_ms < DRAIN_GRACE_MS
    (rig.discovery_connection,) = accepted
    assert (await receive(rig.discovery_connection)).startswith(b"GET /discovery/hosts HTTP"), (
        "a request for the whole list, not a watch"
    )
    rig.report_endpoints(s1="DRAINING")
    await rig.run_loop()
    client = rig.connect_client(REQUEST_LINE)

    def advance_and_read() -> bytes:
        rig.clock.advance(CLOCK_STEP_MS)
        return read_now(client)

    assert (await wait_until(advance_and_read)).startswith(b"BUSY")


@pytest.mark.parametrize("is_answered", [True, False])
async def test_change_of_discovery_address_discards_versions_of_the_earlier_discovery(
    rig: LoopbackRig, is_answered: bool
) -> None:
    """The new discovery does not know the versions of the earlier one.

    So it is polled for the whole list, which is used even though its version is lower.
    """
    await rig.open()
    await wait_until(lambda: b"index=2" in read_now(rig.discovery_connection))
    if is_answered:
        rig.report_endpoints(s1="DRAINING")  # the loop does not run before the address changes
    rig.discovery = create_listener()
    rig.version = 0
    rig.program.endpoints.change_address(Address(*rig.discovery.getsockname()))
    rig.discovery_connection = await rig.accept_connection(rig.discovery)
    assert (await receive(rig.discovery_connection)).startswith(b"GET /discovery/hosts HTTP")
    rig.report_endpoints()
    await rig.establish()
