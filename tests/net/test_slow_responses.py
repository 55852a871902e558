"""Responses of discovery that come in many parts: each is read as long as it is whole in time."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from glenrock.net.response_progress import ResponseProgress

from .discovery_answers import endpoint_row
from .scripted_discovery import VERSION, Behavior, Cut, WatcherRig

CreateRig = Callable[..., WatcherRig]

TOLD_S = 6.0  # after this time a change counts as told; the grace of a draining server follows
AGENT_WATCH_S = 3.0  # half of the drain grace of the rig
CLOCK_SLACK_S = 0.25  # the clock advances in steps, and the retry follows after up to 0.1 s


@pytest.mark.parametrize("must_poll", [True, False], ids=["service", "agent"])
@pytest.mark.parametrize("cut", [Cut(2, 600), Cut(2, 2500), Cut(5, 500), Cut(50, 50)], ids=str)
async def test_response_in_parts_is_used(create_watcher_rig: CreateRig, cut: Cut, must_poll: bool) -> None:
    """Guards against giving up each response whose parts are further apart than some time limit (review/9)."""
    rig = create_watcher_rig(balancers=1, must_poll=must_poll)
    rig.discovery.cut = cut
    await rig.run_for(TOLD_S)
    rig.discovery.version = VERSION + 1
    rig.discovery.set_behavior(Behavior.ANSWERS)  # ends the open watch
    await rig.run_for(TOLD_S)
    assert rig.watcher.newest_version == VERSION + 1


@pytest.mark.parametrize(("must_poll", "limit_s"), [(True, TOLD_S), (False, AGENT_WATCH_S)], ids=["service", "agent"])
@pytest.mark.parametrize("behavior", [Behavior.DRIPS, Behavior.STALLS])
async def test_response_that_never_ends_is_given_up(
    create_watcher_rig: CreateRig, behavior: Behavior, must_poll: bool, limit_s: float
) -> None:
    """Guards against a discovery that keeps a balancer from the next call by sending a byte now and then."""
    rig = create_watcher_rig(balancers=3, must_poll=must_poll)
    await rig.run_for(1.0)
    rig.discovery.set_behavior(behavior)
    await rig.seconds_until_next_call()
    assert await rig.seconds_until_next_call() <= limit_s + CLOCK_SLACK_S


async def test_long_list_that_comes_slowly_is_read_to_its_end(create_watcher_rig: CreateRig) -> None:
    """Guards against asking again and again for a list whose transfer takes longer than the time of a call."""
    rig = create_watcher_rig(balancers=1)
    rig.discovery.rows = [endpoint_row(f"s{number}", "127.0.0.1:1") for number in range(3000)]
    rig.discovery.cut = Cut(200, 100.0)
    await rig.run_for(25.0)
    assert rig.server_count == 3000
    assert len([call for call in rig.discovery.calls if "?" not in call.path]) == 1


@pytest.mark.parametrize(
    ("received", "checks"),
    [
        ([0, 0, 0], 2),  # nothing more by the time limit
        ([900, 900], 2),  # no further bytes in the second half
        ([100, 200, 300, 300], 4),  # it stalls later on
        ([1, 2, 3, 4], 2),  # too slow to be complete within 30 s
        ([*range(90, 1000, 90), 995], 12),  # 30 s have passed
    ],
)
def test_response_is_given_up_at_the_check_that_shows_no_progress(received: list[int], checks: int) -> None:
    progress = ResponseProgress(began_ms=0.0, timeout_ms=5000.0)
    verdicts = [progress.may_continue(count, 1000) for count in received]
    assert verdicts[:checks] == [True] * (checks - 1) + [False]
