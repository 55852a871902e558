"""The retry policy: Retry-After, attempt timeouts, and idempotency windows."""

from __future__ import annotations

import pytest
from conftest import SECOND, HarnessFactory

from glenrock.routing import interface

from .scenarios import reject_newcomers

WINDOW_US = 400_000


def keyed_class(scope: interface.IdempotencyScope) -> interface.RequestClass:
    """Returns a class of keyed requests with that idempotency scope and a window of `WINDOW_US`."""
    return interface.RequestClass(
        "read",
        300_000,
        2_000_000,
        60_000,
        idempotency=interface.Idempotency.KEYED,
        idempotency_scope=scope,
        idempotency_window_us=WINDOW_US,
    )


def test_retry_after_of_rejections_is_spread(make_harness: HarnessFactory) -> None:
    harness = make_harness()
    reject_newcomers(harness)
    delays_us = set()
    for key in range(20):
        first_action = harness.actions_for(harness.send_request(key=key))[0]
        assert isinstance(first_action, interface.Reject)
        delays_us.add(first_action.retry_after_us)
    assert len(delays_us) > 15 and min(delays_us) >= SECOND and max(delays_us) <= 2 * SECOND


@pytest.mark.parametrize("scope", list(interface.IdempotencyScope))
def test_attempt_of_keyed_request_times_out_within_its_idempotency_window(
    make_harness: HarnessFactory, scope: interface.IdempotencyScope
) -> None:
    """An attempt that is established after the idempotency window could execute the request twice."""
    harness = make_harness(classes=(keyed_class(scope),))
    request_id = harness.send_request(deadline_in_us=2 * SECOND)
    harness.advance(200_000)
    harness.end_attempt(request_id, interface.AttemptOutcome.BROKEN)
    harness.advance(20_000)
    first, retry = harness.attempts_of(request_id)
    # 200 ms of the window remain, and the process may be paused for 150 ms between the decision and the write.
    assert 0 < retry.timeout_us <= 50_000 < first.timeout_us


def test_no_retry_that_a_paused_process_could_write_after_the_window(make_harness: HarnessFactory) -> None:
    """A retry decided after 300 ms and written after a pause of 150 ms would miss the window of 400 ms."""
    harness = make_harness(classes=(keyed_class(interface.IdempotencyScope.ALL),))
    request_id = harness.send_request(deadline_in_us=2 * SECOND)
    harness.advance(300_000)
    harness.end_attempt(request_id, interface.AttemptOutcome.BROKEN)
    harness.advance(2 * SECOND)
    assert len(harness.attempts_of(request_id)) == 1 and len(harness.actions_for(request_id)) == 2
