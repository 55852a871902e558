"""The shards of health checks, and the loads that balancers share."""

from __future__ import annotations

from itertools import chain

import pytest

from glenrock.coordination.membership import LIVENESS_TIMEOUT_US, PeerLiveness
from glenrock.coordination.shared_work.health_check_shards import (
    CHECK_INTERVAL_US,
    HealthCheckShards,
    decode_load,
    encode_load,
)
from glenrock.routing.load_estimation import FRESH_REPORT_US

BALANCER_COUNT = 4
NAMES = [f"s-{number}" for number in range(40)]


def start_checks(shards: list[HealthCheckShards], now_us: int) -> list[list[str]]:
    """Starts the checks that are due. Returns for each balancer the servers that it checks."""
    return [shard.start_due_checks(now_us) for shard in shards]


def test_servers_are_checked_once_loads_become_stale_and_the_shard_of_a_dead_member_is_redistributed() -> None:
    memberships = [PeerLiveness(index, range(BALANCER_COUNT), 0) for index in range(BALANCER_COUNT)]
    shards = [HealthCheckShards(membership) for membership in memberships]
    for shard in shards:
        shard.update_servers(NAMES)
    sharing, receiving, *_ = shards
    checked = start_checks(shards, 0)
    checked_by_sharing = checked[0]
    assert sorted(chain.from_iterable(checked)) == sorted(NAMES)
    assert not any(start_checks(shards, CHECK_INTERVAL_US - 1))
    for name in checked_by_sharing:
        sharing.record_result(name, 0.7, 10)
    (data,) = sharing.pop_datagrams()
    assert len(data) < 256
    assert sharing.pop_datagrams() == []
    received = receiving.receive(data, 100)
    assert received is not None
    assert {item.server_id for item in received} == set(checked_by_sharing)
    assert all(abs(item.load - 0.7) < 0.02 for item in received)
    name = checked_by_sharing[0]
    assert receiving.fresh_load(name, 100 + FRESH_REPORT_US - 1) is not None
    assert receiving.fresh_load(name, 100 + FRESH_REPORT_US) is None
    for membership in memberships[1:]:
        for other in range(1, BALANCER_COUNT):
            membership.record_heard(other, LIVENESS_TIMEOUT_US)
    now_us = LIVENESS_TIMEOUT_US + 1
    checked_later = set(chain.from_iterable(start_checks(shards[1:], now_us)))
    assert checked_later == set(NAMES), "the other members check the dead member's servers"
    assert receiving.receive(data[:3], now_us) is None


@pytest.mark.parametrize("load", [0.0, 0.01, 0.3, 0.86, 1.0, 1.9])
def test_load_is_encoded_to_the_nearest_step(load: float) -> None:
    assert abs(decode_load(encode_load(load)) - load) <= 0.0126 * load
