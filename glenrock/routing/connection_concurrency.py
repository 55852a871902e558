"""A limit on concurrent connection set-ups, in force only while many set-ups fail or are slow.

Every server calls the same session store to set up a connection. (The session store is part of the platform;
it is not the lease store.) When many clients reconnect at once, a slow store times out at all servers, failed
set-ups are retried at once, and the store spends its time on attempts that were already abandoned. Limiting
the number of set-ups in flight keeps the store busy and its queue short, whatever its rate (Little's law). A
limit on the rate would instead adapt to the low rate of the overloaded store; it kept the servers nearly
without new connections for ten seconds.
"""

from __future__ import annotations

from .event_batch import NEVER_US, ROUND_US, SECOND_US, EventBatch
from .interface import AttemptOutcome

UNLIMITED = float("inf")
MIN_LIMIT = 1.0
SLOW_FRACTION = 0.5  # of the shortest latency objective; a longer set-up waited in the store's queue
CUT_FACTOR = 0.7  # of the limit, at most once per `MIN_CUT_INTERVAL_US`
RISE_FACTOR = 1.25  # of the limit, after a round in which it was reached
RISE_STEP = 0.5  # added to the limit in the same rounds
MIN_CUT_INTERVAL_US = SECOND_US  # nearly all set-ups in flight at a cut have ended after this time
MIN_AFFECTED_SERVERS = 3  # if fewer servers are slow, the servers and not the store are the cause
EARLY_CUT_FAILURES = 6  # in a round; with more, the limit is cut before the round ends
LIFT_AFTER_ROUNDS = 20  # rounds below the limit after which it is lifted
RATE_DECAY = 0.98  # of the best rate, per round


class ConcurrencyLimit:
    """The limit on the number of set-ups in flight.

    Attributes:
        limit: maximum number of set-ups in flight; `UNLIMITED` while no limit is in force.
        in_flight: number of set-ups in flight.
    """

    def __init__(self, batch: EventBatch, objective_us: int) -> None:
        self._batch = batch
        self._objective_us = objective_us
        self.limit = UNLIMITED
        self.in_flight = 0
        self._peak = 0  # maximum number in flight during this round
        self._slow_or_failed = self._fast = self._established = 0  # counts of this round
        self._servers_affected: set[str] = set()  # servers with slow or failed set-ups in this round
        self._cut_at_us = NEVER_US
        self._rounds_below_limit = 0
        self._best_rate = 0.0  # set-ups established per second, in the best of the recent rounds

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
        """Records a set-up that failed. Full and unreachable servers say nothing about the store."""
        self.in_flight -= 1
        if outcome in (AttemptOutcome.ERROR, AttemptOutcome.TIMEOUT):
            self._record_slow_or_failed(server_id)

    def _record_slow_or_failed(self, server_id: str) -> None:
        self._slow_or_failed += 1
        self._servers_affected.add(server_id)
        are_many = self._slow_or_failed > EARLY_CUT_FAILURES + 2 * self._fast
        if len(self._servers_affected) >= MIN_AFFECTED_SERVERS and are_many:
            self._cut()

    def _cut(self) -> None:
        if self._batch.now_us - self._cut_at_us < MIN_CUT_INTERVAL_US:
            return
        limit = self.limit
        if not self.is_limited:
            # Little's law: at the best observed rate, a set-up takes the target latency with this limit.
            limit = max(self._best_rate, 1.0) * SLOW_FRACTION * self._objective_us / SECOND_US
        self.limit = max(MIN_LIMIT, CUT_FACTOR * limit)
        self._cut_at_us = self._batch.now_us
        self._rounds_below_limit = 0

    def finish_round(self) -> None:
        """Cuts, raises or lifts the limit at the end of a round, and resets the round's counts."""
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

        While a limit is in force, a round may reach only a few servers. Then it is enough that most set-ups
        were slow or failed: raising the limit while hardly any succeed would keep the store's queue long.
        """
        if self._slow_or_failed <= self._fast / 3:
            return False
        are_several_servers = len(self._servers_affected) >= MIN_AFFECTED_SERVERS
        return are_several_servers or (self.is_limited and self._slow_or_failed > self._fast)
