"""Converts the start times of servers, which discovery reports as Unix times, to times of this process's clock.

`since_ms` is the time that the clock of the server's machine showed at the start. That clock and the wall clock of this
machine may be stepped by seconds or by an hour, before this process starts or while it runs. An error in either
direction does harm: a server that has just started is overloaded unless it counts as warming up, and a server that
counts as warming up for an hour gets no load. So no age depends on a single reading of this machine's clock. Each age
is computed once, when `since_ms` is first reported, and does not change if a clock is stepped later:

1. For every server, `now - since_ms` is computed by the process's clock and by the wall clock. The age is the lesser of
   both (`_min_age_ms`).
2. In a later list, the age is at most the time since discovery's last response plus `REPORT_DELAY_MS`
   (`_age_in_later_list_ms`).
3. In the first list, a clock that shows an earlier time than the newest `since_ms` must be behind. It is read as if it
   showed that time (`_ages_in_first_list_ms`).
4. In the first list, a server that started less than one slow start period before the newest one may have just
   started. Its age is the time between both starts, so that it counts as warming up. This rule is not applied if it
   concerns more than half of all servers, because the others would get all of the load.

For example, a server is first reported in a later list, with a start 20 s ago by the process's clock. The wall clock
has been stepped back by 5 s, so rule 1 gives 15 s. Discovery's last response was 1 s ago, so by rule 2 the age is at
most 1 s + 3 s. The age is 4 s.

The new process of an upgrade takes over the start times that the old one has found, and the time of discovery's last
response to it, on the clock that both share. So what the old process knew of a start does not depend on a step of the
wall clock between the starts of both.
"""

from __future__ import annotations

import time
from collections.abc import Callable, Mapping, Sequence
from typing import NamedTuple

from .clock import Clock
from .endpoint_rows import EndpointRow

REPORT_DELAY_MS = 3000.0  # the longest time from a server's start until discovery reports it
LONG_AGO_MS = 0.0  # the start time of a server whose start is unknown, so that it does not count as warming up


def wall_now_ms() -> float:
    """Returns the time of the wall clock in Unix milliseconds."""
    return time.time() * 1000


class KnownStart(NamedTuple):
    """A start as discovery reports it, and its time on this process's clock."""

    since_ms: float
    started_ms: float


class StartTimes:
    """Start times of all listed servers.

    Args:
        clock: the process's clock.
        slow_start_ms: how long a server counts as warming up.
        wall_ms: returns the time of the wall clock, which may be stepped.
    """

    def __init__(self, clock: Clock, slow_start_ms: float, wall_ms: Callable[[], float] = wall_now_ms) -> None:
        self._clock = clock
        self._slow_start_ms = slow_start_ms
        self._wall_ms = wall_ms
        self._known_starts: dict[str, KnownStart] = {}
        self._last_response_ms: float | None = None

    @property
    def last_response_ms(self) -> float | None:
        """When discovery responded last, on the process's clock; None if it has not."""
        return self._last_response_ms

    def known_start(self, name: str) -> KnownStart | None:
        """Returns the start of a server; None if discovery has reported none."""
        return self._known_starts.get(name)

    def take_over(self, starts: Mapping[str, KnownStart], last_response_ms: float | None) -> None:
        """Uses what another process of this balancer knows, with times converted to this process's clock."""
        self._known_starts.update(starts)
        if last_response_ms is not None:
            self._last_response_ms = max(last_response_ms, self._last_response_ms or last_response_ms)

    def record_answer(self) -> None:
        """Records that discovery has responded, so that starts that are first reported later are recent."""
        self._last_response_ms = self._clock.now_ms()

    def forget(self, name: str) -> None:
        """Removes a server that is no longer listed."""
        self._known_starts.pop(name, None)

    def start_times_ms(self, rows: Sequence[EndpointRow]) -> list[float]:
        """Returns the start time of each server on this process's clock; `LONG_AGO_MS` for an unknown start."""
        now_ms = self._clock.now_ms()
        newly_reported = [row for row in rows if row.since_ms and not self._is_known(row)]
        if self._last_response_ms is None:
            ages_ms = self._ages_in_first_list_ms(rows, newly_reported)
        else:
            ages_ms = [self._age_in_later_list_ms(row) for row in newly_reported]
        for row, age_ms in zip(newly_reported, ages_ms, strict=True):
            self._known_starts[row.name] = KnownStart(row.since_ms, now_ms - age_ms)
        return [self._known_starts[row.name].started_ms if row.since_ms else LONG_AGO_MS for row in rows]

    def _is_known(self, row: EndpointRow) -> bool:
        known = self._known_starts.get(row.name)
        return known is not None and known.since_ms == row.since_ms

    def _min_age_ms(self, since_ms: float, min_now_ms: float = 0.0) -> float:
        """Returns the lesser of the ages by this process's clock and by the wall clock.

        A clock that shows an earlier time than `min_now_ms` is read as if it showed that time.
        """
        readings_ms = (self._clock.now_ms(), self._wall_ms())
        return min(max(0.0, max(reading_ms, min_now_ms) - since_ms) for reading_ms in readings_ms)

    def _age_in_later_list_ms(self, row: EndpointRow) -> float:
        assert self._last_response_ms is not None, "discovery has responded"
        max_age_ms = self._clock.now_ms() - self._last_response_ms + REPORT_DELAY_MS
        return min(self._min_age_ms(row.since_ms), max_age_ms)

    def _ages_in_first_list_ms(self, rows: Sequence[EndpointRow], newly_reported: Sequence[EndpointRow]) -> list[float]:
        newest_ms = max((row.since_ms for row in newly_reported), default=0.0)
        started_with_newest = sum(newest_ms - row.since_ms < self._slow_start_ms for row in newly_reported)
        may_have_just_started = 2 * started_with_newest <= len(rows)
        ages_ms = []
        for row in newly_reported:
            before_newest_ms = newest_ms - row.since_ms
            if may_have_just_started and before_newest_ms < self._slow_start_ms:
                ages_ms.append(before_newest_ms)
            else:
                ages_ms.append(self._min_age_ms(row.since_ms, newest_ms))
        return ages_ms
