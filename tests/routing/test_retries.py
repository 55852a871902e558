"""Retries: Retry-After, attempt timeouts and idempotency windows."""

from __future__ import annotations

import pytest
from conftest import SECOND

from glenrock.routing import interface


def test_retry_after_of_rejections_is_spread(make_harness) -> None:
    harness = make_harness()
    (
        harness.balancer.admission.load_cap,
        harness.balancer.admission.may_admit_newcomers,
        harness.balancer.admission.quota,
    ) = 0.0, False, 0.0
    waits = {harness.actions_for(harness.send_request(key=n))[0].retry_after_us for n in range(20)}
    assert len(waits) > 15 and min(waits) >= SECOND and max(waits) <= 2 * SECOND


@pytest.mark.parametrize("scope", ["all", "zone", "cell"])
def test_attempt_of_keyed_request_times_out_within_its_idempotency_window(make_harness, scope: str) -> None:
    """A connection established after the window could execute the request twice."""
    kind = interface.RequestClass(
        "read", 300_000, 2_000_000, 60_000, idempotency="keyed", idempotency_scope=scope, idempotency_window_us=400_000
    )
    harness = make_harness(classes=(kind,))
    name = harness.send_request(life_us=2 * SECOND)
    harness.advance(200_000)
    harness.end_attempt(name, interface.AttemptOutcome.BROKEN)
    harness.advance(20_000)
    first, again = harness.attempts_of(name)
    # The process may be paused for 150 ms between this decision and the write.
    assert 0 < again.timeout_us <= 50_000 < first.timeout_us


def test_no_retry_that_a_paused_process_could_write_after_the_window(make_harness) -> None:
    kind = interface.RequestClass(
        "read", 300_000, 2_000_000, 60_000, idempotency="keyed", idempotency_scope="all", idempotency_window_us=400_000
    )
    harness = make_harness(classes=(kind,))
    name = harness.send_request(life_us=2 * SECOND)
    harness.advance(300_000)
    harness.end_attempt(name, interface.AttemptOutcome.BROKEN)
    harness.advance(2 * SECOND)
    assert len(harness.attempts_of(name)) == 1 and len(harness.actions_for(name)) == 2
