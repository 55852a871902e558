"""A limit on concurrent connection set-ups, in force only while many set-ups fail or are slow.

All servers call one session store for a set-up; it is part of the platform, not the lease store. After a mass
return a slow store times out everywhere, failed set-ups are retried at once, and the store works for attempts
that were given up. A bound on the number in flight keeps a store of any rate busy and its queue short
(Little's law); a bound on the rate would follow the low rate of the overload.
"""

from __future__ import annotations

from .event_batch import NEVER_US, ROUND_US, SECOND_US, EventBatch
from .interface import AttemptOutcome

UNLIMITED = float("inf")
MIN_LIMIT = 1.0
SLOW_FRACTION = 0.5  # of the shortest latency objective; a slower set-up waited in a queue
CUT_FACTOR = 0.7  # of the limit, at most once per `MIN_CUT_INTERVAL_US`
RISE_FACTOR = 1.25  # of the limit, in a round that reached it
RISE_STEP = 0.5  # added to the same
MIN_CUT_INTERVAL_US = SECOND_US  # set-ups in flight at a cut have nearly all ended by then
MIN_AFFECTED_SERVERS = 3  # fewer slow servers are not the store's fault
EARLY_CUT_FAILURES = 6  # in a round; beyond them the limit is cut before the round ends
LIFT_AFTER_ROUNDS = 20  # rounds below the limit until it is lifted
RATE_DECAY = 0.98  # of the best rate, per round


class ConcurrencyLimit:
    """The limit on set-ups in flight.

    Attributes:
        limit: largest number in flight; `UNLIMITED` while it is not in force.
        in_flight: number in flight.
    """

    def __init__(self, batch: EventBatch, objective_us: int) -> None:
        self._batch = batch
        self._objective_us = objective_us
        self.limit = UNLIMITED
        self.in_flight = 0
        self._peak = 0  # largest number in flight in this round
        self._slow_or_failed = self._fast = self._established = 0  # in this round
        self._servers_affected: set[str] = set()
        self._cut_at_us = NEVER_US
        self._rounds_below_limit = 0
        self._best_rate = 0.0  # established per second

    @property
    def is_limited(self) -> bool:
        """Whether a limit is in force."""
        return self.limit < UNLIMITED

    def may_start(self) -> bool:
        """Returns whether another set-up may start."""
        return self.in_flight < self.limit

    def record_sent(self) -> None:
        """Records that a set-up started."""
        self.in_flight += 1
        self._peak = max(self._peak, self.in_flight)

    def record_cancelled(self) -> None:
        """Records that a set-up in flight was cancelled."""
        self.in_flight -= 1

    def record_established(self, server_id: str, latency_us: int) -> None:
        """Records a set-up that succeeded."""
        self.in_flight -= 1
        self._established += 1
        if latency_us > SLOW_FRACTION * self._objective_us:
            self._record_slow_or_failed(server_id)
        else:
            self._fast += 1

    def record_failed(self, server_id: str, outcome: AttemptOutcome) -> None:
        """Records a set-up that failed. Full and unreachable servers do not show the store's state."""
        self.in_flight -= 1
        if outcome in (AttemptOutcome.ERROR, AttemptOutcome.TIMEOUT):
            self._record_slow_or_failed(server_id)

    def _record_slow_or_failed(self, server_id: str) -> None:
        self._slow_or_failed += 1
        self._servers_affected.add(server_id)
        is_storm = self._slow_or_failed > EARLY_CUT_FAILURES + 2 * self._fast
        if len(self._servers_affected) >= MIN_AFFECTED_SERVERS and is_storm:
            self._cut()

    def _cut(self) -> None:
        if self._batch.now_us - self._cut_at_us < MIN_CUT_INTERVAL_US:
            return
        limit = self.limit
        if not self.is_limited:
            # Little's law: at the best rate seen, so many in flight end within the wanted time.
            limit = max(self._best_rate, 1.0) * SLOW_FRACTION * self._objective_us / SECOND_US
        self.limit = max(MIN_LIMIT, CUT_FACTOR * limit)
        self._cut_at_us = self._batch.now_us
        self._rounds_below_limit = 0

    def finish_round(self) -> None:
        """Ends a round: cuts, raises or lifts the limit, and starts new counts."""
        self._best_rate = max(RATE_DECAY * self._best_rate, self._established * SECOND_US / ROUND_US)
        if self._many_are_slow():
            self._cut()
        elif self.is_limited and self._peak >= self.limit - 1:
            if self._fast > self._slow_or_failed:
                self.limit = self.limit * RISE_FACTOR + RISE_STEP
            self._rounds_below_limit = 0
        elif self.is_limited:
            self._rounds_below_limit += 1
            if self._rounds_below_limit >= LIFT_AFTER_ROUNDS:
                self.limit = UNLIMITED
        self._slow_or_failed = self._fast = self._established = 0
        self._peak = self.in_flight
        self._servers_affected.clear()

    def _many_are_slow(self) -> bool:
        """Returns whether enough of this round's set-ups were slow or failed to cut the limit.

        Under a limit few servers are reached in a round, so a majority is enough there: a rise while nothing
        is established would keep the store's queue long.
        """
        if self._slow_or_failed <= self._fast / 3:
            return False
        are_several_servers = len(self._servers_affected) >= MIN_AFFECTED_SERVERS
        return are_several_servers or (self.is_limited and self._slow_or_failed > self._fast)
