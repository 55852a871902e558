"""When servers started, on this process's clock, from the Unix times that discovery tells.

The wall clock may be stepped by seconds or an hour, here alone or on all machines, before this process began or while
it runs, and `since_ms` is of whatever the clock showed then. A server held for warm that has just started is pushed
over; one held for cold for an hour serves nobody. So no age rests on one reading of the clock:

- A time is taken when it is news, once; a step later changes nothing of it.
- While this process runs, a start that is news can be no older than the time since discovery answered last, and what
  discovery itself takes to tell. The anchored clock and the wall clock of now both bound it too.
- In the first list the newest start is the only other witness of the time. A clock that shows less is behind. Servers
  that started within one slow start of the newest may have started just now, whatever the clock says; they are held
  for cold, unless they are more than half of the fleet: then this balancer would serve nobody on a suspicion.
"""

from __future__ import annotations

import time
from collections.abc import Callable, Sequence
from typing import NamedTuple

from .clock import Clock
from .endpoint_rows import EndpointRow

NEWS_DELAY_MS = 3000.0  # what discovery usually takes to tell of a start; held for younger, a server is only colder
LONG_AGO = 0.0


def wall_now_ms() -> float:
    """The wall clock, Unix time in milliseconds."""
    return time.time() * 1000


class _KnownStart(NamedTuple):
    """What discovery told, and when that was on this process's clock."""

    since_ms: float
    started_ms: float


class StartTimes:
    """Starts of all servers that are listed.

    Args:
        clock: the process's clock.
        slow_start_ms: how long a server warms up.
        wall_ms: the wall clock, which may be stepped.
    """

    def __init__(self, clock: Clock, slow_start_ms: float, wall_ms: Callable[[], float] = wall_now_ms) -> None:
        self._clock = clock
        self._slow_start_ms = slow_start_ms
        self._wall_ms = wall_ms
        self._known: dict[str, _KnownStart] = {}
        self._answered_ms: float | None = None

    def record_answer(self) -> None:
        """Discovery has answered: what it tells from now on is news."""
        self._answered_ms = self._clock.now()

    def forget(self, name: str) -> None:
        """The server is listed no more."""
        self._known.pop(name, None)

    def take(self, rows: Sequence[EndpointRow]) -> list[float]:
        """When each of these servers started, in milliseconds of this process's clock; 0 for long ago."""
        now_ms = self._clock.now()
        fresh = [row for row in rows if row.since_ms and not self._is_known(row)]
        ages_ms = self._first_ages(rows, fresh) if self._answered_ms is None else [self._news_age(r) for r in fresh]
        for row, age_ms in zip(fresh, ages_ms, strict=True):
            self._known[row.name] = _KnownStart(row.since_ms, now_ms - age_ms)
        return [self._known[row.name].started_ms if row.since_ms else LONG_AGO for row in rows]

    def _is_known(self, row: EndpointRow) -> bool:
        known = self._known.get(row.name)
        return known is not None and known.since_ms == row.since_ms

    def _age(self, since_ms: float, least_now_ms: float = 0.0) -> float:
        """By the anchored clock and by the wall clock of now, the lesser age of both."""
        readings = (self._clock.now(), self._wall_ms())
        return min(max(0.0, max(reading, least_now_ms) - since_ms) for reading in readings)

    def _news_age(self, row: EndpointRow) -> float:
        assert self._answered_ms is not None, "there was an answer before"
        most_ms = self._clock.now() - self._answered_ms + NEWS_DELAY_MS
        return min(self._age(row.since_ms), most_ms)

    def _first_ages(self, rows: Sequence[EndpointRow], fresh: Sequence[EndpointRow]) -> list[float]:
        newest_ms = max((row.since_ms for row in fresh), default=0.0)
        last_wave = sum(newest_ms - row.since_ms < self._slow_start_ms for row in fresh)
        is_suspicious = 2 * last_wave <= len(rows)
        ages = []
        for row in fresh:
            behind_newest_ms = newest_ms - row.since_ms
            if is_suspicious and behind_newest_ms < self._slow_start_ms:
                ages.append(behind_newest_ms)
            else:
                ages.append(self._age(row.since_ms, newest_ms))
        return ages
