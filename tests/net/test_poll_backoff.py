"""Delays of polling when many balancers poll one discovery, which handles one call at a time."""

from __future__ import annotations

import heapq
import random
from collections.abc import Sequence

import pytest
from hypothesis import given
from hypothesis import strategies as st

from glenrock.net.poll_backoff import PollBackoff

SERVICE_MS = 300.0  # the time that discovery needs for a call
MAX_WAIT_MS = (
    2000.0  # in discovery's queue; a call that has waited longer is rejected, but still takes its service time
)
QUEUE_LENGTH = 20  # if more calls are queued, a call is rejected at once
DURATION_MS = 60_000.0


def count_unanswered(
    backoffs: Sequence[PollBackoff],
    service_ms: float = SERVICE_MS,
    duration_ms: float = DURATION_MS,
    has_list: bool = True,
    queue_length: int = QUEUE_LENGTH,
) -> int:
    """Simulates discovery's queue, and returns the number of balancers without an answer after `duration_ms`.

    A call that waited too long is rejected, but takes as much of discovery's time as an answered one.
    """
    calls = [(backoff.first_call_delay_ms(has_list), number) for number, backoff in enumerate(backoffs)]
    heapq.heapify(calls)
    free_at_ms = 0.0
    answered: set[int] = set()
    while calls and calls[0][0] < duration_ms:
        now_ms, number = heapq.heappop(calls)
        wait_ms = max(0.0, free_at_ms - now_ms)
        if wait_ms > queue_length * service_ms:
            heapq.heappush(calls, (now_ms + backoffs[number].overload_delay_ms(), number))
            continue
        free_at_ms = max(free_at_ms, now_ms) + service_ms
        if wait_ms > MAX_WAIT_MS:
            heapq.heappush(calls, (now_ms + MAX_WAIT_MS + backoffs[number].overload_delay_ms(), number))
        else:
            backoffs[number].record_answer()
            answered.add(number)
    return len(backoffs) - len(answered)


class ShortDelayPollBackoff(PollBackoff):
    """A backoff that calls within 300 ms and retries within a second, whatever the number of balancers."""

    def first_call_delay_ms(self, has_list: bool = True) -> float:
        """Returns a delay that does not depend on the number of balancers."""
        return self.rng.random() * 300

    def overload_delay_ms(self) -> float:
        """Returns a delay of less than a second, however many calls were rejected."""
        return 500 + 500 * self.rng.random()


class ImmediatePollBackoff(PollBackoff):
    """A backoff that makes the first call without delay."""

    def first_call_delay_ms(self, has_list: bool = True) -> float:
        """Returns 0."""
        return 0.0


class MaxJitter(random.Random):
    """A random number generator that returns 1.0, so that each delay has its maximum."""

    def random(self) -> float:
        """Returns 1.0."""
        return 1.0


@pytest.mark.parametrize("seed", range(20))
@pytest.mark.parametrize("balancers", [3, 40])
def test_every_balancer_is_answered(balancers: int, seed: int) -> None:
    backoffs = [PollBackoff(balancers, True, random.Random(seed * 100 + number)) for number in range(balancers)]
    assert count_unanswered(backoffs) == 0


@pytest.mark.parametrize("seed", range(20))
def test_every_balancer_is_answered_after_simultaneous_first_calls(seed: int) -> None:
    backoffs = [ImmediatePollBackoff(40, True, random.Random(seed * 100 + number)) for number in range(40)]
    assert count_unanswered(backoffs) == 0


def test_balancers_that_retry_within_a_second_are_starved_by_the_simulated_discovery() -> None:
    assert count_unanswered([ShortDelayPollBackoff(40, True, random.Random(number)) for number in range(40)]) > 30


@pytest.mark.parametrize("has_list", [True, False])
@pytest.mark.parametrize(
    ("balancers", "service_ms", "least_answered"),
    [(3, 300, 3), (200, 5, 200), (200, 20, 200), (200, 100, 200), (200, 300, 120), (300, 100, 295), (1000, 20, 1000)],
)
def test_hundreds_of_balancers_are_answered_without_a_bound_on_the_queue(
    balancers: int, service_ms: float, least_answered: int, has_list: bool
) -> None:
    """With an unbounded queue no call is rejected at once: each takes its service time, even if it waited too long."""
    backoffs = [PollBackoff(balancers, True, random.Random(number)) for number in range(balancers)]
    assert balancers - count_unanswered(backoffs, service_ms, 300_000.0, has_list, 10**6) >= least_answered


def test_first_call_without_a_list_is_immediate_for_few_balancers_and_spread_for_many() -> None:
    assert PollBackoff(8, True, random.Random(1)).first_call_delay_ms(has_list=False) == 0
    delays_ms = [
        PollBackoff(200, True, random.Random(number)).first_call_delay_ms(has_list=False) for number in range(50)
    ]
    assert 0 < max(delays_ms) < 2000


def test_first_call_is_immediate_for_an_agent_and_for_a_single_balancer() -> None:
    assert PollBackoff(40, False, random.Random(1)).first_call_delay_ms() == 0
    assert PollBackoff(1, True, random.Random(1)).first_call_delay_ms() == 0


def test_overload_delay_grows_and_resets_after_an_answer() -> None:
    backoff = PollBackoff(4, False, MaxJitter())
    delays_ms = [backoff.overload_delay_ms() for _ in range(8)]
    assert delays_ms == [1000, 3000, 9000, 20000, 20000, 20000, 20000, 20000]
    backoff.record_answer()
    assert backoff.overload_delay_ms() == 1000


@given(st.floats(1000.0, 20_000.0), st.integers(0, 2**32))
def test_agent_is_called_again_within_the_drain_grace(grace_ms: float, seed: int) -> None:
    """An agent's change counts as reported at once, although the watch in progress may not report it.

    So the next call must follow within the drain grace, after a silent watch as well as after any number of failures.
    """
    backoff = PollBackoff(200, False, random.Random(seed), grace_ms)
    assert backoff.watch_timeout_ms + backoff.response_grace_ms + backoff.retry_delay_ms(1) < grace_ms
    assert max(backoff.response_grace_ms + backoff.retry_delay_ms(failures) for failures in range(1, 20)) < grace_ms


@given(st.floats(300.0, 20_000.0), st.integers(0, 2**32))
def test_polled_discovery_is_called_again_within_the_drain_grace(grace_ms: float, seed: int) -> None:
    """A change that a watch did not report counts as reported 2 s after the watch.

    The next call must follow early enough that about half of the drain grace is left.
    """
    backoff = PollBackoff(4, True, random.Random(seed), grace_ms)
    missed_ms = backoff.response_grace_ms + backoff.retry_delay_ms(1) - 2000.0
    assert missed_ms <= max(grace_ms / 2, grace_ms / 4 + 100)


def test_timeouts_of_polled_discovery_allow_for_its_queue() -> None:
    backoff = PollBackoff(4, True, random.Random(1))
    assert (backoff.watch_timeout_ms, backoff.response_grace_ms) == (10_000.0, 2500.0)
