"""A tier at a discovery that takes its calls one at a time, as the large days showed it."""

from __future__ import annotations

import heapq
import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from glenrock.net.poll_backoff import PollBackoff

SERVICE_MS, PATIENCE_MS, LINE = 300.0, 2000.0, 20
DAY_MS = 60_000.0


def unheard(
    paces: list[PollBackoff],
    service_ms: float = SERVICE_MS,
    day_ms: float = DAY_MS,
    known: bool = True,
    line: int = LINE,
) -> int:
    """How many never hear, where a call that waited too long is turned away and takes its turn all the same."""
    calls = [(p.first_call_delay_ms(known), n) for n, p in enumerate(paces)]
    heapq.heapify(calls)
    free_at, heard = 0.0, set()
    while calls and calls[0][0] < day_ms:
        now, n = heapq.heappop(calls)
        wait = max(0.0, free_at - now)
        if wait > line * service_ms:  # no place in the line
            heapq.heappush(calls, (now + paces[n].overload_delay_ms(), n))
            continue
        free_at = max(free_at, now) + service_ms
        if wait > PATIENCE_MS:
            heapq.heappush(calls, (now + PATIENCE_MS + paces[n].overload_delay_ms(), n))
        else:
            paces[n].record_answer()
            heard.add(n)
    return len(paces) - len(heard)


class Hasty(PollBackoff):
    """Each for itself: at once, and again within a second."""

    def first_call_delay_ms(self, has_list: bool = True) -> float:
        return self.random_numbers.random() * 300

    def overload_delay_ms(self) -> float:
        return 500 + 500 * self.random_numbers.random()


@pytest.mark.parametrize("seed", range(20))
@pytest.mark.parametrize("balancers", [3, 40])
def test_all_are_heard(balancers: int, seed: int) -> None:
    assert unheard([PollBackoff(balancers, True, random.Random(seed * 100 + n)) for n in range(balancers)]) == 0


@pytest.mark.parametrize("seed", range(20))
def test_all_are_heard_though_all_had_to_ask_at_once(seed: int) -> None:
    paces = [PollBackoff(40, True, random.Random(seed * 100 + n)) for n in range(40)]
    for p in paces:
        p.first_call_delay_ms = lambda has_list: 0.0  # no list is known
    assert unheard(paces) == 0


def test_the_stage_shows_the_collapse() -> None:
    assert unheard([Hasty(40, True, random.Random(n)) for n in range(40)]) > 30


@pytest.mark.parametrize("known", [True, False])
@pytest.mark.parametrize(
    "balancers, service_ms, heard",
    [(3, 300, 3), (200, 5, 200), (200, 20, 200), (200, 100, 200), (200, 300, 120), (300, 100, 295), (1000, 20, 1000)],
)
def test_a_tier_of_hundreds_is_heard_whatever_a_call_takes(balancers, service_ms, heard, known) -> None:
    """Nobody is told at once that the line is long: a call waits its 2 s, and is paid for all the same."""
    paces = [PollBackoff(balancers, True, random.Random(n)) for n in range(balancers)]
    assert balancers - unheard(paces, service_ms, 300_000.0, known, 10**6) >= heard


def test_without_a_list_a_small_tier_asks_at_once_and_a_large_one_within_seconds() -> None:
    assert PollBackoff(8, True, random.Random(1)).first_call_delay_ms(has_list=False) == 0
    assert (
        0 < max(PollBackoff(200, True, random.Random(n)).first_call_delay_ms(has_list=False) for n in range(50)) < 2000
    )


def test_nobody_waits_where_the_list_is_pushed_or_alone() -> None:
    assert PollBackoff(40, False, random.Random(1)).first_call_delay_ms() == 0
    assert PollBackoff(1, True, random.Random(1)).first_call_delay_ms() == 0


def test_refusals_grow_the_pause_and_an_answer_ends_that() -> None:
    p = PollBackoff(4, False, random.Random(1))
    p.random_numbers.random = lambda: 1.0
    assert [p.overload_delay_ms() for _ in range(8)] == [1000, 3000, 9000, 20000, 20000, 20000, 20000, 20000]
    p.record_answer()
    assert p.overload_delay_ms() == 1000


@given(st.floats(1000.0, 20_000.0), st.integers(0, 2**32))
def test_a_pushed_list_is_heard_again_within_the_grace_whatever_became_of_the_watch(grace: float, seed: int) -> None:
    """What the agent has counts from the first moment; a watch that fell silent just then is waited for in vain. So is
    a call that falls into the agent's last silent moment, however many have failed before it."""
    pace = PollBackoff(200, False, random.Random(seed), grace)
    assert pace.watch_timeout_ms + pace.answer_grace_ms + pace.retry_delay_ms(1) < grace
    assert max(pace.answer_grace_ms + pace.retry_delay_ms(n) for n in range(1, 20)) < grace


@given(st.floats(300.0, 20_000.0), st.integers(0, 2**32))
def test_a_list_that_is_asked_for_is_asked_anew_within_the_grace(grace: float, seed: int) -> None:
    """What a silent watch missed counts 2 s after its wait; half of the grace is left for the new call's answer."""
    pace = PollBackoff(4, True, random.Random(seed), grace)
    assert pace.answer_grace_ms + pace.retry_delay_ms(1) - 2000.0 <= max(grace / 2, grace / 4 + 100)


def test_a_list_that_is_asked_for_is_left_its_line() -> None:
    pace = PollBackoff(4, True, random.Random(1))
    assert (pace.watch_timeout_ms, pace.answer_grace_ms) == (10_000.0, 2500.0)
