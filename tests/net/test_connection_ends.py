"""Connections that end in various ways: each is counted once, and releases its descriptors and tasks."""

from __future__ import annotations

import asyncio
import gc
import random
from collections import Counter

import pytest

from glenrock.net.metrics import ConnectionOutcome

from .rig import count_descriptors
from .single_server_rig import Behaviour, SingleServerRig

POSSIBLE_OUTCOMES = {
    Behaviour.ESTABLISHED: (ConnectionOutcome.FULFILLED,),
    Behaviour.REJECTED: (ConnectionOutcome.THROTTLED,),
    Behaviour.FAILED: (ConnectionOutcome.FAULTED, ConnectionOutcome.THROTTLED),
    Behaviour.EARLY: (ConnectionOutcome.FAULTED,),
    Behaviour.LEAVES: (ConnectionOutcome.LEFT, ConnectionOutcome.FULFILLED),
    Behaviour.SILENT: (ConnectionOutcome.LEFT,),
    Behaviour.FLOODS: (ConnectionOutcome.FULFILLED,),
}
FIRST_CLIENTS = 3


async def run_random_clients(rig: SingleServerRig, rng: random.Random) -> Counter[Behaviour]:
    """Runs 40 clients of random behaviour at once. Returns the number of clients by behaviour."""
    behaviours = [rng.choice(list(POSSIBLE_OUTCOMES)) for _ in range(40)]
    await asyncio.gather(
        *(
            rig.run_client(behaviour, number, [rng.randrange(40) for _ in range(rng.randrange(4))])
            for number, behaviour in enumerate(behaviours)
        )
    )
    await rig.wait_until_idle()
    return Counter(behaviours)


def check_outcomes(counts: Counter[ConnectionOutcome], behaviours: Counter[Behaviour]) -> None:
    """Checks that each client is counted once, and that behaviours with only one possible outcome are counted so."""
    assert sum(counts.values()) == sum(behaviours.values()), (counts, behaviours)
    certain: Counter[ConnectionOutcome] = Counter()
    for behaviour, count in behaviours.items():
        if len(POSSIBLE_OUTCOMES[behaviour]) == 1:
            certain[POSSIBLE_OUTCOMES[behaviour][0]] += count
    assert all(counts[outcome] >= count for outcome, count in certain.items()), (counts, behaviours)


@pytest.mark.parametrize("seed", range(4))
async def test_each_connection_counts_once_and_releases_its_resources(
    single_server: SingleServerRig, seed: int
) -> None:
    # These clients make the program open its health check connections before descriptors are counted.
    first_clients = [
        single_server.run_client(Behaviour.ESTABLISHED, 900 + number, []) for number in range(FIRST_CLIENTS)
    ]
    await asyncio.gather(*first_clients)
    await single_server.wait_until_idle()
    counts_before = Counter(single_server.outcome_counts())
    assert counts_before == {ConnectionOutcome.FULFILLED: FIRST_CLIENTS}
    tasks = len(asyncio.all_tasks())
    descriptors = count_descriptors()
    behaviours = await run_random_clients(single_server, random.Random(seed))
    check_outcomes(Counter(single_server.outcome_counts()) - counts_before, behaviours)
    assert single_server.program.connections.count_open() == 0
    assert not single_server.program.routing.balancer.requests
    gc.collect()
    for _ in range(100):  # the test server closes its connections a few iterations of the event loop later
        if count_descriptors() <= descriptors and len(asyncio.all_tasks()) <= tasks:
            return
        await asyncio.sleep(0.02)
    raise AssertionError(
        f"{count_descriptors()} descriptors, before {descriptors}; {len(asyncio.all_tasks())} tasks, before {tasks}"
    )
