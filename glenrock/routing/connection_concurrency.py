"""Set-ups out at a time, limited only while many fail or take long: at their store, which all servers call.

A mass return on a slow store fails everywhere, and each failure is retried at once. What waits in the store's
queue is given up there and asked for anew, so nothing comes up. A limit on the rate, set by what came up,
would starve the servers for ten seconds. A window of set-ups out keeps a store busy, whatever it can do, and
its queue short (Little's law).
"""

from __future__ import annotations

from .event_batch import NEVER_US, ROUND_US, SECOND_US, EventBatch
from .interface import AttemptOutcome

UNLIMITED = float("inf")
MIN_WINDOW = 1.0
SLOW_FRACTION = 0.5  # of the shortest objective: a set-up that took longer stood in a queue
CUT_FACTOR = 0.7  # of the window, at most once in `MIN_CUT_INTERVAL_US`
RISE_FACTOR, RISE_STEP = 1.25, 0.5  # of the window, in a round in which it bound
MIN_CUT_INTERVAL_US = SECOND_US  # what was out before a cut has ended by then, or nearly
MIN_AFFECTED_SERVERS = 3  # one or two that are slow are their own trouble
STORM_FAILURES = 6  # in a round, that are waited for no longer
IDLE_ROUNDS = 20  # in which the window did not bind: it is lifted
RATE_DECAY = 0.98  # of the best rate seen, a round: half of it in some 17 s


class ConcurrencyLimit:
    """The window of set-ups that may be out.

    Attributes:
        window: set-ups that may be out; `UNLIMITED` while it does not bind.
        pending: set-ups that are out.
    """

    def __init__(self, batch: EventBatch, objective_us: int) -> None:
        self._batch = batch
        self._objective_us = objective_us
        self.window = UNLIMITED
        self.pending = 0
        self._peak = 0  # most of them out in this round
        self._slow_or_failed = self._in_time = self._established = 0  # set-ups of this round
        self._servers_affected: set[str] = set()
        self._cut_at_us = NEVER_US
        self._idle_rounds = 0
        self._best_rate = 0.0  # set-ups a second that came up, the most lately

    @property
    def is_limited(self) -> bool:
        """Whether the window binds at all."""
        return self.window < UNLIMITED

    def may_start(self) -> bool:
        """Whether another set-up may go out."""
        return self.pending < self.window

    def record_sent(self) -> None:
        """A set-up went out."""
        self.pending += 1
        self._peak = max(self._peak, self.pending)

    def record_abandoned(self) -> None:
        """Nobody waits for a set-up any more."""
        self.pending -= 1

    def record_established(self, server: str, took_us: int) -> None:
        """A set-up stands, so long after it was sent."""
        self.pending -= 1
        self._established += 1
        if took_us > SLOW_FRACTION * self._objective_us:
            self._record_slow_or_failed(server)
        else:
            self._in_time += 1

    def record_ended(self, server: str, outcome: AttemptOutcome) -> None:
        """A set-up ended otherwise. Rejections and dead servers say nothing of the store."""
        self.pending -= 1
        if outcome in (AttemptOutcome.ERROR, AttemptOutcome.TIMEOUT):
            self._record_slow_or_failed(server)

    def _record_slow_or_failed(self, server: str) -> None:
        self._slow_or_failed += 1
        self._servers_affected.add(server)
        storm = self._slow_or_failed > STORM_FAILURES + 2 * self._in_time
        if len(self._servers_affected) >= MIN_AFFECTED_SERVERS and storm:
            self._cut()

    def _cut(self) -> None:
        if self._batch.now_us - self._cut_at_us < MIN_CUT_INTERVAL_US:
            return
        window = self.window
        if not self.is_limited:
            # With so many out a store that does the best rate seen answers within the wanted time.
            window = max(self._best_rate, 1.0) * SLOW_FRACTION * self._objective_us / SECOND_US
        self.window = max(MIN_WINDOW, CUT_FACTOR * window)
        self._cut_at_us = self._batch.now_us
        self._idle_rounds = 0

    def finish_round(self) -> None:
        """The window of the next round."""
        self._best_rate = max(RATE_DECAY * self._best_rate, self._established * SECOND_US / ROUND_US)
        if self._many_are_slow():
            self._cut()
        elif self.is_limited and self._peak >= self.window - 1:
            if self._in_time > self._slow_or_failed:
                self.window = self.window * RISE_FACTOR + RISE_STEP
            self._idle_rounds = 0
        elif self.is_limited:
            self._idle_rounds += 1
            if self._idle_rounds >= IDLE_ROUNDS:
                self.window = UNLIMITED
        self._slow_or_failed = self._in_time = self._established = 0
        self._peak = self.pending
        self._servers_affected.clear()

    def _many_are_slow(self) -> bool:
        """Whether enough of this round's set-ups were slow or failed.

        A small window reaches few servers in a round. Raised while nothing came up, it would keep the queue
        of a slow store as long as it is, for ever.
        """
        if self._slow_or_failed <= self._in_time / 3:
            return False
        several_servers = len(self._servers_affected) >= MIN_AFFECTED_SERVERS
        return several_servers or (self.is_limited and self._slow_or_failed > self._in_time)
