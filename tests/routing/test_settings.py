"""Settings: validation, and balancers under unusual settings."""

from __future__ import annotations

import pytest
from conftest import SECOND

from glenrock.routing import interface


@pytest.mark.parametrize(
    "field,value",
    [
        ("balancers", 0),
        ("index", -1),
        ("max_attempts", 0),
        ("tick_us", 0),
        ("slow_start_initial_fraction", 0.0),
        ("slow_start_initial_fraction", float("nan")),
        ("slow_start_multiple", -1.0),
        ("over_quota_weight", 2.0),
        ("classes", ()),
        ("drain_grace_us", -1),
        ("health_check_cost", float("inf")),
        ("max_retry_after_us", -1),
        ("classes", (interface.RequestClass("x", 0, 5),)),
        ("classes", (interface.RequestClass("x", 9, 5),)),
        ("classes", (interface.RequestClass("x", 1, 5, idempotency="odd"),)),
    ],
)
def test_impossible_settings_raise_an_error_that_names_the_field(make_harness, field: str, value) -> None:
    with pytest.raises(ValueError, match=field):
        make_harness(**{field: value})


@pytest.mark.parametrize(
    "over",
    [
        dict(balancers=1),
        dict(may_gossip=False),
        dict(may_cancel=False),
        dict(may_send_retry_after=False),
        dict(max_attempts=1),
        dict(may_health_check=True, load_report_fields=("utilization",)),
        dict(must_poll_endpoints=True),
        dict(slow_start_us=0),
        dict(max_retry_after_us=0),
        dict(zone="z", cross_zone_cost=0.1),
        dict(tenants=(interface.Tenant("t", 5.0),)),
        dict(balancers=500, index=499, gossip_cost=0.01),
    ],
)
def test_requests_are_answered_under_unusual_settings(make_harness, over: dict) -> None:
    harness = make_harness(names=("a:1",), **over)
    names = [harness.send_request(key=n if n % 2 else None, group=n % 3 or None, tenant="t") for n in range(20)]
    harness.advance(200_000)
    for n in names[::2]:
        if harness.attempts_of(n):
            harness.establish(n)
    harness.advance(5 * SECOND)
    assert all(harness.actions_for(n) for n in names)
