"""Connections that end in every way: each is counted once, and releases all of its resources."""

from __future__ import annotations

import asyncio
import gc
import os
import random
from collections import Counter

import pytest
import uvloop

from .single_server_rig import SingleServerRig

POSSIBLE_OUTCOMES = {
    "up": ("fulfilled",),
    "busy": ("throttled",),
    "err": ("faulted", "throttled"),
    "early": ("faulted",),
    "leaves": ("left", "fulfilled"),
    "silent": ("left",),
    "floods": ("fulfilled",),
}


async def end_connections(seed: int) -> None:
    rng, rig = random.Random(seed), SingleServerRig()
    await rig.open()
    # Health checks and their pool open their connections before the descriptors are counted.
    await asyncio.gather(*(rig.run_client("up", 900 + n, []) for n in range(3)))
    await rig.wait_until_idle()
    before = dict(rig.metrics.outcomes["fulfilled"])
    tasks, descriptors = len(asyncio.all_tasks()), len(os.listdir("/proc/self/fd"))
    behaviours = [rng.choice(list(POSSIBLE_OUTCOMES)) for _ in range(40)]
    await asyncio.gather(
        *(
            rig.run_client(behaviour, n, [rng.randrange(40) for _ in range(rng.randrange(4))])
            for n, behaviour in enumerate(behaviours)
        )
    )
    await rig.wait_until_idle()
    counts = Counter({outcome: classes["look"] for outcome, classes in rig.metrics.outcomes.items()})
    counts -= Counter(fulfilled=before["look"])
    assert sum(counts.values()) == len(behaviours), (counts, Counter(behaviours))
    certain = Counter(
        POSSIBLE_OUTCOMES[behaviour][0] for behaviour in behaviours if len(POSSIBLE_OUTCOMES[behaviour]) == 1
    )
    assert all(counts[outcome] >= count for outcome, count in certain.items()), (counts, Counter(behaviours))
    assert rig.program.connections.count_open() == 0 and not rig.program.routing.balancer.requests
    gc.collect()
    for _ in range(100):  # the server's own connections end a few iterations of the loop later
        if len(os.listdir("/proc/self/fd")) <= descriptors and len(asyncio.all_tasks()) <= tasks:
            return
        await asyncio.sleep(0.02)
    raise AssertionError(
        f"{len(os.listdir('/proc/self/fd'))} descriptors of {descriptors}, {len(asyncio.all_tasks())} tasks of {tasks}"
    )


@pytest.mark.parametrize("seed", range(4))
def test_each_connection_counts_once_and_releases_its_resources(seed: int) -> None:
    uvloop.run(end_connections(seed))
