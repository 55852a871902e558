"""Timeouts and delays of one balancer's calls to service discovery: first call, and the calls after a failure.

Without an agent on each machine, discovery is one service for all balancers and handles one call at a time. The start
of each watch is such a call; a watch that is continued costs nothing. Calls are queued, and a call that has been
queued for too long is rejected but still takes as much of discovery's time as an answered call. If all balancers called
at the same time or retried within a second, the queue would stay full of calls that no balancer waits for any longer,
and no balancer would get the list. So after such a call the delays grow with the number of balancers, until discovery
can handle the calls of all of them.

A discovery that is down looks different: it ends each call at once, and the call takes none of its time. By the
protocol a change counts as told 6 s after discovery had it and could be reached. So after a call that was not queued,
the next one follows within `MAX_CALL_INTERVAL_MS`, however many balancers there are and however long the outage lasts.

This module uses no clock and does no I/O. Times are in milliseconds.
"""

from __future__ import annotations

import random
from dataclasses import dataclass
from enum import Enum, auto

CALL_SPACING_MS = 250.0  # average time between calls of different balancers
# Average time between first calls without a cached list. Short, since no client is served until the call is answered.
FIRST_CALL_SPACING_MS = 10.0
# A fleet of at most this size makes first calls without delay: without a cached list, after a reload, in an upgrade.
IMMEDIATE_FIRST_CALLS = 8
MAX_PROMPT_CALL_DELAY_MS = 2000.0  # a change counts as told 4 s after a reload; the answer may be queued for 2 s
# With a cached list: a change counts as told after 6 s, and the grace of a draining server runs from then on. The first
# call may use half of it, within this bound; the rest is for the answer.
TOLD_AFTER_MS = 6000.0
MAX_FIRST_CALL_GRACE_MS = 1250.0
# From one call to the next while discovery is not overloaded: a change counts as told after 6 s, with the answer.
MAX_CALL_INTERVAL_MS = 5000.0
MIN_REPEATED_JITTER = 0.75  # of the delay after further failures
MIN_OVERLOAD_WAIT_MS = 1000.0  # a call that failed sooner was not queued for too long
# Each rejection of a queued call shows that the calls of all balancers do not fit yet, so the delay grows until they
# do. Its bound grows with their number: with a fixed bound, 200 balancers with calls of 100 ms kept the queue full of
# calls that no balancer waited for, and only a fifth of the balancers got answers.
MIN_OVERLOAD_DELAY_MS = 1000.0
MAX_OVERLOAD_SPACING_MS = 1000.0  # discovery may need a second for a call
OVERLOAD_DELAY_MULTIPLIER = 3.0  # for each further rejection in a row
MAX_OVERLOAD_DELAY_EXPONENT = 10
BASE_RETRY_DELAY_MS = 50.0  # the first retry comes after one to two times this delay
MAX_RETRY_DOUBLINGS = 6
MAX_RETRY_DELAY_MS = 1000.0  # discovery must be reached again within 4 s of a change of its address

# By the protocol a change that a silent watch misses counts as reported at the latest 6 s after the watch fell silent,
# or 2 s after the end of its wait if that is later. The grace of a draining server runs from then on, so the list must
# have been read again before the grace ends.
WATCH_TIMEOUT_MS = 10_000.0
MIN_WATCH_JITTER = 0.5  # of the watch timeout, in a fleet
# Of a watch that continues no other: its response shows soon whether discovery can be reached. The next call continues
# it, which costs discovery nothing.
NEW_WATCH_TIMEOUT_MS = 250.0
MISSED_CHANGE_GRACE_MS = 2000.0
# An overloaded discovery queues a call for up to 2 s. The response to a caller that gives up earlier is lost, and the
# call still takes discovery's time from other balancers.
MAX_RESPONSE_GRACE_MS = 2500.0
# A change that an agent on this machine has received counts as reported at once, whether or not a watch is open, and a
# call to the agent costs nothing. So its watch is short: half of the drain grace, within these bounds.
MIN_AGENT_WATCH_MS = 400.0
MAX_AGENT_WATCH_MS = 3000.0
AGENT_RESPONSE_GRACE_MS = 400.0


class CallFailure(Enum):
    """How a call to discovery failed.

    REJECTED: discovery rejected the call, with status 503 or 429.
    CLOSED: discovery closed the connection before its response.
    TIMED_OUT: no response came in time.
    UNREACHABLE: there was no connection, or it broke.
    UNUSABLE: discovery answered, with an error or a list that must not be used.
    """

    REJECTED = auto()
    CLOSED = auto()
    TIMED_OUT = auto()
    UNREACHABLE = auto()
    UNUSABLE = auto()


@dataclass(frozen=True, slots=True)
class FailedCall:
    """A call to discovery that failed.

    Attributes:
        failure: how it failed.
        waited_ms: the time from the call to its failure.
        continues_watch: whether it continued a watch, so that discovery did not queue it.
        has_list: whether the balancer has a list.
    """

    failure: CallFailure
    waited_ms: float
    continues_watch: bool = False
    has_list: bool = True


@dataclass
class PollBackoff:
    """Timeouts and delays of one balancer's calls to discovery.

    Attributes:
        balancers: the number of balancers.
        must_poll: whether discovery is one service for all balancers, and not an agent on this machine.
        rng: the source of jitter.
        drain_grace_ms: the time from the report that a server drains until the server closes.
        failures: the number of failed calls since the last answer.
        overloads: the number of those that showed an overload.
        unusable: the number of unusable responses in a row, which show that discovery can be reached.
    """

    balancers: int
    must_poll: bool
    rng: random.Random
    drain_grace_ms: float = 2 * MAX_AGENT_WATCH_MS
    failures: int = 0
    overloads: int = 0
    unusable: int = 0

    @property
    def watch_timeout_ms(self) -> float:
        """The longest time for which discovery may delay the response to a watch."""
        if self.must_poll:
            return WATCH_TIMEOUT_MS
        return min(MAX_AGENT_WATCH_MS, max(MIN_AGENT_WATCH_MS, self.drain_grace_ms / 2))

    @property
    def new_watch_timeout_ms(self) -> float:
        """How long discovery may delay the response to a watch that continues no other."""
        return NEW_WATCH_TIMEOUT_MS if self.must_poll else self.watch_timeout_ms

    def draw_watch_timeout_ms(self) -> float:
        """Returns how long discovery may delay the response to the next watch that continues another one.

        The watches of all balancers are answered, and so begin, at the same time. If they fall silent at the same time
        too, the balancers must not all call again in the same moment.
        """
        if not self.must_poll or self.balancers < 2:
            return self.watch_timeout_ms
        return self.watch_timeout_ms * self._jitter(MIN_WATCH_JITTER)

    @property
    def response_grace_ms(self) -> float:
        """How long a response is awaited beyond the watch timeout."""
        if self.must_poll:
            return min(MAX_RESPONSE_GRACE_MS, MISSED_CHANGE_GRACE_MS + self.drain_grace_ms / 4)
        return AGENT_RESPONSE_GRACE_MS

    @property
    def whole_response_ms(self) -> float:
        """How long a response may take from its first bytes to its last.

        A change that it does not contain yet is in the response to the next call, which must come in time too.
        """
        return MAX_CALL_INTERVAL_MS if self.must_poll else self.watch_timeout_ms

    def first_call_delay_ms(self, has_list: bool = True) -> float:
        """Returns the delay until the first call. `has_list` is whether a cached list can be used until then."""
        if not self.must_poll or self.balancers < 2:
            return 0.0
        if not has_list:
            return FIRST_CALL_SPACING_MS * self._excess_balancers * self._jitter(0.0)
        max_delay_ms = TOLD_AFTER_MS + min(MAX_FIRST_CALL_GRACE_MS, self.drain_grace_ms / 2)
        return min(max_delay_ms, CALL_SPACING_MS * self.balancers) * self._jitter(0.0)

    def prompt_call_delay_ms(self) -> float:
        """Returns the delay until a first call at another address or by another process of this balancer.

        All balancers may be reloaded or upgraded at once.
        """
        if not self.must_poll:
            return 0.0
        return min(MAX_PROMPT_CALL_DELAY_MS, CALL_SPACING_MS * self._excess_balancers) * self._jitter(0.0)

    @property
    def _excess_balancers(self) -> int:
        """The number of balancers beyond those that may call at the same time."""
        return max(0, self.balancers - IMMEDIATE_FIRST_CALLS)

    def record_answer(self) -> None:
        """Records that a call was answered."""
        self.forget_failures()

    def forget_failures(self) -> None:
        """Forgets the failed calls, which say nothing about a discovery at another address."""
        self.failures = self.overloads = self.unusable = 0

    def delay_after_failure_ms(self, call: FailedCall) -> float:
        """Records that a call failed. Returns the delay until the next call, with jitter."""
        self.failures += 1
        self.unusable = self.unusable + 1 if call.failure is CallFailure.UNUSABLE else 0
        if self._shows_overload(call):
            self.overloads += 1
            return self._overload_delay_ms(call)
        if not self.must_poll:
            return self._retry_delay_ms(self.failures, self.watch_timeout_ms / 2)
        if self.unusable:
            return self._retry_delay_ms(self.unusable, MAX_RETRY_DELAY_MS)
        return self._outage_delay_ms(call)

    def _shows_overload(self, call: FailedCall) -> bool:
        """Returns whether discovery queued a call and did not answer it in time.

        If discovery is down, a call fails at once or is never answered. Without a list, a timeout counts as an
        overload: with retries within a second, 200 balancers kept the queue full of calls that no balancer waited for.
        """
        if not self.must_poll:
            return False  # a call of an agent costs nothing
        if call.failure in (CallFailure.REJECTED, CallFailure.CLOSED):
            return not call.continues_watch and call.waited_ms >= MIN_OVERLOAD_WAIT_MS
        return call.failure is CallFailure.TIMED_OUT and not call.has_list

    def _overload_delay_ms(self, call: FailedCall) -> float:
        growth = OVERLOAD_DELAY_MULTIPLIER ** min(self.overloads - 1, MAX_OVERLOAD_DELAY_EXPONENT)
        spread_ms = CALL_SPACING_MS * self.balancers * growth
        max_delay_ms = max(MAX_CALL_INTERVAL_MS - call.waited_ms, MAX_OVERLOAD_SPACING_MS * self.balancers)
        return max(MIN_OVERLOAD_DELAY_MS, min(max_delay_ms, spread_ms)) * self._jitter(0.5)

    def _outage_delay_ms(self, call: FailedCall) -> float:
        """Returns the delay after a call that discovery did not queue.

        All balancers call again after the same outage, so the calls are spread. Discovery may have been reachable since
        the failed call began; a watch that was rejected or closed was open until then.
        """
        is_noticed_at_once = call.continues_watch and call.failure is not CallFailure.TIMED_OUT
        unnoticed_ms = 0.0 if is_noticed_at_once else call.waited_ms
        max_delay_ms = max(2 * BASE_RETRY_DELAY_MS, MAX_CALL_INTERVAL_MS - unnoticed_ms)
        # The first failure ends the watches of all balancers at once. After it, equal delays keep their calls apart.
        min_jitter = 0.0 if self.failures == 1 else MIN_REPEATED_JITTER
        spread_ms = min(max_delay_ms, CALL_SPACING_MS * self.balancers) * self._jitter(min_jitter)
        return max(spread_ms, self._retry_delay_ms(self.failures, min(max_delay_ms, MAX_RETRY_DELAY_MS)))

    def _retry_delay_ms(self, failures: int, max_delay_ms: float) -> float:
        doubled_ms: float = BASE_RETRY_DELAY_MS * 2 ** min(failures, MAX_RETRY_DOUBLINGS)
        return min(max_delay_ms, doubled_ms) * self._jitter(0.5)

    def _jitter(self, minimum: float) -> float:
        """Returns a random factor from `minimum` to 1."""
        return minimum + (1 - minimum) * self.rng.random()
