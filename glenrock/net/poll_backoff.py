"""When one balancer calls service discovery: its first call, retries, and the delay after a rejected call.

Where the endpoint list must be polled, discovery is one service for all balancers and handles one call at a time. Each
new watch is such a call. Calls queue, and a call that has queued too long is rejected but still costs discovery its
time. Balancers that start together or retry within a second would keep the queue full of calls that no balancer waits
for. So delays grow with the number of balancers, until the calls of all of them fit.

No clock and no I/O. Times are milliseconds.
"""

from __future__ import annotations

import random
from dataclasses import dataclass

CALL_SPACING_MS = 250.0  # of discovery's time for the call of each balancer
MAX_FIRST_CALL_DELAY_MS = 10_000.0  # with a cached list
FIRST_CALL_SPACING_MS = 10.0  # without a list, for each balancer after the first ones
IMMEDIATE_FIRST_CALLS = 8
MIN_OVERLOAD_DELAY_MS = 1000.0
MAX_OVERLOAD_DELAY_MS = 20_000.0  # up to 20 balancers; MAX_OVERLOAD_SPACING_MS for each balancer beyond
MAX_OVERLOAD_SPACING_MS = 1000.0  # discovery may need a second for a call
OVERLOAD_DELAY_MULTIPLIER = 3.0
MAX_OVERLOAD_DELAY_EXPONENT = 10
BASE_RETRY_DELAY_MS = 50.0  # shortest delay after the first failure; doubled already for the longest, 100 ms
MAX_RETRY_DOUBLINGS = 6
MAX_RETRY_DELAY_MS = 1000.0  # discovery must be found again within 4 s of a change of address

# By the protocol a change counts as reported at most 2 s after the end of the watch in which it happened, answered or
# not. The grace of a draining server runs from then on.
WATCH_TIMEOUT_MS = 10_000.0
MISSED_CHANGE_GRACE_MS = 2000.0
MAX_RESPONSE_GRACE_MS = 2500.0  # an overloaded discovery queues a call for up to 2 s
# A change that an agent on this machine knows counts as reported at once, so its watch is short.
MIN_AGENT_WATCH_MS = 400.0
MAX_AGENT_WATCH_MS = 3000.0
AGENT_RESPONSE_GRACE_MS = 400.0


@dataclass
class PollBackoff:
    """Times of one balancer's calls.

    Attributes:
        balancers: the number of balancers.
        must_poll: whether discovery is one service for all balancers, and not an agent on this machine.
        rng: for jitter.
        drain_grace_ms: the time from the notice of a drain until the server closes.
        rejections: rejected calls in a row.
    """

    balancers: int
    must_poll: bool
    rng: random.Random
    drain_grace_ms: float = 2 * MAX_AGENT_WATCH_MS
    rejections: int = 0

    @property
    def watch_timeout_ms(self) -> float:
        """How long discovery may delay the answer to a watch."""
        if self.must_poll:
            return WATCH_TIMEOUT_MS
        return min(MAX_AGENT_WATCH_MS, max(MIN_AGENT_WATCH_MS, self.drain_grace_ms / 2))

    @property
    def response_grace_ms(self) -> float:
        """How much later an answer is still awaited."""
        if self.must_poll:
            return min(MAX_RESPONSE_GRACE_MS, MISSED_CHANGE_GRACE_MS + self.drain_grace_ms / 4)
        return AGENT_RESPONSE_GRACE_MS

    def retry_delay_ms(self, failures: int) -> float:
        """Returns the delay after a call without an answer, the `failures`th in a row."""
        longest_ms = MAX_RETRY_DELAY_MS if self.must_poll else self.watch_timeout_ms / 2
        doubled_ms: float = BASE_RETRY_DELAY_MS * 2 ** min(failures, MAX_RETRY_DOUBLINGS)
        return min(longest_ms, doubled_ms) * (0.5 + self.rng.random() / 2)

    def first_call_delay_ms(self, has_list: bool = True) -> float:
        """Returns the delay until the first call. `has_list`: a cached list serves until then."""
        if not self.must_poll or self.balancers < 2:
            return 0.0
        if not has_list:
            later_balancers = max(0, self.balancers - IMMEDIATE_FIRST_CALLS)
            return self.rng.random() * FIRST_CALL_SPACING_MS * later_balancers
        return self.rng.random() * min(MAX_FIRST_CALL_DELAY_MS, CALL_SPACING_MS * self.balancers)

    def record_answer(self) -> None:
        """Records that a call was answered."""
        self.rejections = 0

    def overload_delay_ms(self) -> float:
        """Records that a call was rejected. Returns the delay until the next call, with jitter."""
        self.rejections += 1
        growth = OVERLOAD_DELAY_MULTIPLIER ** min(self.rejections - 1, MAX_OVERLOAD_DELAY_EXPONENT)
        spread_ms = CALL_SPACING_MS * self.balancers * growth
        longest_ms = max(MAX_OVERLOAD_DELAY_MS, MAX_OVERLOAD_SPACING_MS * self.balancers)
        jitter = 0.25 + 0.75 * self.rng.random()
        return max(MIN_OVERLOAD_DELAY_MS, min(longest_ms, spread_ms)) * jitter
