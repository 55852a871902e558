"""The milestones of a start."""

from __future__ import annotations

import random

from glenrock.coordination.warm_start.milestones import CountingPollBackoff
from glenrock.net.poll_backoff import PollBackoff


def test_calls_are_counted_and_the_backoff_is_unchanged() -> None:
    one, other = (PollBackoff(200, True, random.Random(1)) for _ in range(2))
    counted = CountingPollBackoff(one)
    assert (counted.must_poll, counted.watch_ms, counted.grace_ms) == (other.must_poll, other.watch_ms, other.grace_ms)
    for _ in range(3):
        assert counted.overbooked() == other.overbooked() and counted.retry(2) == other.retry(2)
    counted.heard()
    other.heard()
    assert counted.overbooked() == other.overbooked() and counted.first(False) == other.first(False)
    assert (counted.answered, counted.refused, counted.failed) == (1, 4, 3)
