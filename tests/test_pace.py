"""A tier at a discovery that takes its calls one at a time, as the large days showed it."""

from __future__ import annotations

import heapq
import random

import pytest

from glenrock.net.pace import Pace

SERVICE_MS, PATIENCE_MS, LINE = 300.0, 2000.0, 20
DAY_MS = 60_000.0


def unheard(paces: list[Pace]) -> int:
    """How many never hear, where a call that waited too long is turned away and takes its turn all the same."""
    calls = [(p.first(), n) for n, p in enumerate(paces)]
    heapq.heapify(calls)
    free_at, heard = 0.0, set()
    while calls and calls[0][0] < DAY_MS:
        now, n = heapq.heappop(calls)
        wait = max(0.0, free_at - now)
        if wait > LINE * SERVICE_MS:  # no place in the line
            heapq.heappush(calls, (now + paces[n].overbooked(), n))
            continue
        free_at = max(free_at, now) + SERVICE_MS
        if wait > PATIENCE_MS:
            heapq.heappush(calls, (now + PATIENCE_MS + paces[n].overbooked(), n))
        else:
            paces[n].heard()
            heard.add(n)
    return len(paces) - len(heard)


class Hasty(Pace):
    """Each for itself: at once, and again within a second."""

    def first(self) -> float:
        return self.draw.random() * 300

    def overbooked(self) -> float:
        return 500 + 500 * self.draw.random()


@pytest.mark.parametrize("seed", range(20))
@pytest.mark.parametrize("balancers", [3, 40])
def test_all_are_heard(balancers: int, seed: int) -> None:
    assert unheard([Pace(balancers, True, random.Random(seed * 100 + n)) for n in range(balancers)]) == 0


@pytest.mark.parametrize("seed", range(20))
def test_all_are_heard_though_all_had_to_ask_at_once(seed: int) -> None:
    paces = [Pace(40, True, random.Random(seed * 100 + n)) for n in range(40)]
    for p in paces:
        p.first = lambda: 0.0  # no list is known
    assert unheard(paces) == 0


def test_the_stage_shows_the_collapse() -> None:
    assert unheard([Hasty(40, True, random.Random(n)) for n in range(40)]) > 30


def test_nobody_waits_where_the_list_is_pushed_or_alone() -> None:
    assert Pace(40, False, random.Random(1)).first() == 0
    assert Pace(1, True, random.Random(1)).first() == 0


def test_refusals_grow_the_pause_and_an_answer_ends_that() -> None:
    p = Pace(4, False, random.Random(1))
    p.draw.random = lambda: 1.0
    assert [p.overbooked() for _ in range(8)] == [1000, 2000, 4000, 8000, 16000, 20000, 20000, 20000]
    p.heard()
    assert p.overbooked() == 1000
