"""Shards of health checks."""

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
    """Starts the checks that are due. Returns the servers by balancer."""
    return [shard.start_due_checks(now_us) for shard in shards]


def test_each_server_has_one_checker_loads_age_and_a_silent_members_shard_is_taken_over() -> None:
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
    assert checked_later == set(NAMES), "the silent member's servers go to the others"
    assert receiving.receive(data[:3], now_us) is None


@pytest.mark.parametrize("load", [0.0, 0.01, 0.3, 0.86, 1.0, 1.9])
def test_load_is_encoded_within_a_step(load: float) -> None:
    assert abs(decode_load(encode_load(load)) - load) <= 0.0126 * load
