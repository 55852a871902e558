"""Start times of servers on this process's clock, from the Unix times that discovery reports.

The wall clock may be stepped by seconds or an hour, here or on all machines, before this process starts or while it
runs, and `since_ms` is what the clock of the server's machine showed. A server that has just started and counts as warm
is overloaded; a server that counts as warming up for an hour gets no load. So no age rests on a single reading of this
machine's clock. Each age is computed once, when `since_ms` is first reported, and a later step of a clock does not
change it:

1. By two clocks: `now - since_ms` by the process's clock and by the wall clock, and the lesser of both (`_min_age_ms`).
2. In a later list: at most the time since discovery's last answer plus `REPORT_DELAY_MS` (`_age_in_later_list_ms`).
3. In the first list: a clock that shows an earlier time than the newest `since_ms` is behind, so it counts as showing
   that time (`_ages_in_first_list_ms`).
4. In the first list, for servers that started within one slow start of the newest: the time between both starts, so
   that they count as warming up. Not if they are more than half of all servers: the others would get all load.

For example, a server is first reported in a later list, with a start 20 s ago by the process's clock. The wall clock
has been stepped back by 5 s, so rule 1 gives 15 s. Discovery's last answer was 1 s ago, so rule 2 gives at most
1 s + 3 s: the age is 4 s.
"""

from __future__ import annotations

import time
from collections.abc import Callable, Sequence
from typing import NamedTuple

from .clock import Clock
from .endpoint_rows import EndpointRow

REPORT_DELAY_MS = 3000.0  # from a server's start until discovery reports it
LONG_AGO_MS = 0.0


def wall_now_ms() -> float:
    """Returns the time of the wall clock in Unix milliseconds."""
    return time.time() * 1000


class _KnownStart(NamedTuple):
    """A reported start, and its time on this process's clock."""

    since_ms: float
    started_ms: float


class StartTimes:
    """Start times of all listed servers.

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
        self._last_response_ms: float | None = None

    def record_answer(self) -> None:
        """Records that discovery has answered, so that starts first reported from now on are recent."""
        self._last_response_ms = self._clock.now_ms()

    def forget(self, name: str) -> None:
        """Removes a server that is no longer listed."""
        self._known.pop(name, None)

    def start_times_ms(self, rows: Sequence[EndpointRow]) -> list[float]:
        """Returns the start of each server in milliseconds of this process's clock; 0 for a start long ago."""
        now_ms = self._clock.now_ms()
        fresh = [row for row in rows if row.since_ms and not self._is_known(row)]
        if self._last_response_ms is None:
            ages_ms = self._ages_in_first_list_ms(rows, fresh)
        else:
            ages_ms = [self._age_in_later_list_ms(row) for row in fresh]
        for row, age_ms in zip(fresh, ages_ms, strict=True):
            self._known[row.name] = _KnownStart(row.since_ms, now_ms - age_ms)
        return [self._known[row.name].started_ms if row.since_ms else LONG_AGO_MS for row in rows]

    def _is_known(self, row: EndpointRow) -> bool:
        known = self._known.get(row.name)
        return known is not None and known.since_ms == row.since_ms

    def _min_age_ms(self, since_ms: float, least_now_ms: float = 0.0) -> float:
        """Returns the lesser age by this process's clock and by the wall clock."""
        readings = (self._clock.now_ms(), self._wall_ms())
        return min(max(0.0, max(reading, least_now_ms) - since_ms) for reading in readings)

    def _age_in_later_list_ms(self, row: EndpointRow) -> float:
        assert self._last_response_ms is not None, "discovery has answered"
        max_age_ms = self._clock.now_ms() - self._last_response_ms + REPORT_DELAY_MS
        return min(self._min_age_ms(row.since_ms), max_age_ms)

    def _ages_in_first_list_ms(self, rows: Sequence[EndpointRow], fresh: Sequence[EndpointRow]) -> list[float]:
        newest_ms = max((row.since_ms for row in fresh), default=0.0)
        recently_started = sum(newest_ms - row.since_ms < self._slow_start_ms for row in fresh)
        may_have_just_started = 2 * recently_started <= len(rows)
        ages = []
        for row in fresh:
            behind_newest_ms = newest_ms - row.since_ms
            if may_have_just_started and behind_newest_ms < self._slow_start_ms:
                ages.append(behind_newest_ms)
            else:
                ages.append(self._min_age_ms(row.since_ms, newest_ms))
        return ages
