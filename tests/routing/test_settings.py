"""Settings: their validation, and balancers with unusual settings."""

from __future__ import annotations

from typing import Any, cast

import pytest
from conftest import SECOND, HarnessFactory

from glenrock.routing import interface

INVALID_IDEMPOTENCY = cast("interface.Idempotency", "odd")


@pytest.mark.parametrize(
    ("field", "value"),
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
        ("classes", (interface.RequestClass("x", 1, 5, idempotency=INVALID_IDEMPOTENCY),)),
    ],
)
def test_invalid_settings_raise_an_error_that_names_the_field(
    make_harness: HarnessFactory, field: str, value: object
) -> None:
    with pytest.raises(ValueError, match=field):
        make_harness(**{field: value})


@pytest.mark.parametrize(
    "fields",
    [
        {"balancers": 1},
        {"may_gossip": False},
        {"may_cancel": False},
        {"may_send_retry_after": False},
        {"max_attempts": 1},
        {"may_health_check": True, "load_report_fields": ("utilization",)},
        {"must_poll_endpoints": True},
        {"slow_start_us": 0},
        {"max_retry_after_us": 0},
        {"zone": "z", "cross_zone_cost": 0.1},
        {"tenants": (interface.Tenant("t", 5.0),)},
        {"balancers": 500, "index": 499, "gossip_cost": 0.01},
    ],
)
def test_requests_are_answered_with_unusual_settings(make_harness: HarnessFactory, fields: dict[str, Any]) -> None:
    harness = make_harness(names=("a:1",), **fields)
    request_ids = []
    for number in range(20):
        key = number if number % 2 else None
        request_ids.append(harness.send_request(key=key, group=number % 3 or None, tenant="t"))
    harness.advance(200_000)
    for request_id in request_ids[::2]:
        if harness.attempts_of(request_id):
            harness.establish(request_id)
    harness.advance(5 * SECOND)
    assert all(harness.actions_for(request_id) for request_id in request_ids)
