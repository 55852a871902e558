"""The counters of discovery calls in the milestones of a start."""

from __future__ import annotations

import random

from glenrock.coordination.warm_start.milestones import CountingPollBackoff
from glenrock.net.poll_backoff import PollBackoff


def test_calls_are_counted_and_delays_are_those_of_the_wrapped_backoff() -> None:
    wrapped, other = (PollBackoff(200, True, random.Random(1)) for _ in range(2))
    counted = CountingPollBackoff(wrapped)
    assert (counted.must_poll, counted.watch_timeout_ms, counted.response_grace_ms) == (
        other.must_poll,
        other.watch_timeout_ms,
        other.response_grace_ms,
    )
    for _ in range(3):
        assert counted.overload_delay_ms() == other.overload_delay_ms()
        assert counted.retry_delay_ms(2) == other.retry_delay_ms(2)
    counted.record_answer()
    other.record_answer()
    assert counted.overload_delay_ms() == other.overload_delay_ms()
    assert counted.first_call_delay_ms(False) == other.first_call_delay_ms(False)
    assert (counted.answered, counted.rejected, counted.failed) == (1, 4, 3)
