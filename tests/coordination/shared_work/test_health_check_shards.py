"""Shards of health checks."""

from __future__ import annotations

import pytest

from glenrock.coordination.membership import LIVENESS_TIMEOUT_US, PeerLiveness
from glenrock.coordination.shared_work.health_check_shards import CHECK_INTERVAL_US, HealthCheckShards, load_of, step_of
from glenrock.routing.load_estimation import FRESH_REPORT_US


def test_each_server_has_one_checker_loads_age_and_a_silent_members_shard_is_taken_over() -> None:
    names = [f"s-{n}" for n in range(40)]
    shards = [HealthCheckShards(PeerLiveness(n, range(4), 0)) for n in range(4)]
    for shard in shards:
        shard.update_servers(names)
    checked = [shard.start_due_checks(0) for shard in shards]
    assert sorted(sum(checked, [])) == sorted(names) and not any(
        shard.start_due_checks(CHECK_INTERVAL_US - 1) for shard in shards
    )
    for name in checked[0]:
        shards[0].record_result(name, 0.7, 10)
    (data,) = shards[0].pop_datagrams()
    assert len(data) < 256 and shards[0].pop_datagrams() == []
    loads = shards[1].receive(data, 100)
    assert {n for n, _ in loads} == set(checked[0]) and all(abs(x - 0.7) < 0.02 for _, x in loads)
    name = checked[0][0]
    assert shards[1].fresh_load(name, 100 + FRESH_REPORT_US - 1) is not None
    assert shards[1].fresh_load(name, 100 + FRESH_REPORT_US) is None
    for shard in shards[1:]:
        for other in (1, 2, 3):
            shard.membership.record_heard(other, LIVENESS_TIMEOUT_US)
    now = LIVENESS_TIMEOUT_US + 1
    assert set(sum((shard.start_due_checks(now) for shard in shards[1:]), [])) == set(names), (
        "the silent member's servers go to the others"
    )
    assert shards[1].receive(data[:3], now) is None


@pytest.mark.parametrize("load", [0.0, 0.01, 0.3, 0.86, 1.0, 1.9])
def test_load_is_encoded_within_a_step(load) -> None:
    assert abs(load_of(step_of(load)) - load) <= 0.0126 * load
