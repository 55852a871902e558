"""How hard one balancer leans on service discovery: when its first call comes, and when the next after a rejected one.

Where the endpoint list must be polled, discovery is one service for the whole tier, and it takes calls one at a time.
Each new watch is such a call; one that goes on costs nothing. Calls stand in line, and one that stood there too long is
rejected, though its turn still comes and is lost work. So a tier that starts together, or that asks again within a
second, keeps the line full of calls that nobody waits for any more, and no balancer hears anything all day. What helps
is time in proportion to the tier: the calls of all balancers together must fit in.

Nothing here reads a clock or a socket. Times are milliseconds.
"""

from __future__ import annotations

import random
from dataclasses import dataclass

CALL_SHARE_MS = 250.0  # of the tier's time, for the call of one balancer
MAX_FIRST_CALL_MS = 10_000.0  # a first call that must be spread: the list that is known is used till then
# Without any list nobody can serve: spread by this for each balancer past so many.
FIRST_CALL_STEP_MS, FIRST_CALLS_AT_ONCE = 10.0, 8
MIN_PAUSE_MS, MAX_PAUSE_MS = 1000.0, 20_000.0  # bounds of the longest pause, of a tier for which this is enough
# Each rejection says that the calls of all do not fit in yet: the pause grows until they do, where a call takes up to a
# second. Bounded by a time that did not grow with the tier, 200 balancers at 100 ms a call kept the line full of calls
# that nobody waited for, and a fifth of them was heard all day.
MAX_PAUSE_SHARE_MS, PAUSE_GROWTH = 1000.0, 3.0
MAX_GROWTHS = 10
FIRST_RETRY_MS, MAX_RETRY_DOUBLINGS = 50.0, 6

# What a watch that has fallen silent misses counts as told 6 s after that, or 2 s after the wait is over if that is
# later. From then on the grace of a drain runs, so the list must have been heard again before it is over.
WATCH_MS = 10_000.0  # a watch waits this long for news
# An answer may take this much longer: a call stands in line for up to 2 s where discovery is overbooked. Whoever gives
# up earlier is never heard, and its turn is lost for the others too.
ANSWER_GRACE_MS = 2500.0
TOLD_MS = 2000.0  # after the wait, what a silent watch misses counts; the rest of the grace is a part of the drains'
# An agent on the balancer's own machine answers at once and at no cost, and what it has counts as told, whether or not
# a watch is open. So it is looked at again within half the time that drains leave, whatever has become of the watch.
MIN_AGENT_WATCH_MS, MAX_AGENT_WATCH_MS = 400.0, 3000.0
AGENT_GRACE_MS = 400.0
MAX_RETRY_MS = 1000.0  # between two calls while they fail; it must be found again within 4 s of a move


@dataclass
class PollBackoff:
    """Times of one balancer's calls.

    Attributes:
        balancers: in the tier.
        must_poll: discovery is one service for all; else it is an agent on this machine.
        draw: for jitter.
        drain_grace_ms: a drained server gets nothing new after this.
        rejections: in a row.
    """

    balancers: int
    must_poll: bool
    draw: random.Random
    drain_grace_ms: float = 2 * MAX_AGENT_WATCH_MS
    rejections: int = 0

    @property
    def watch_ms(self) -> float:
        """How long a watch waits for news."""
        if self.must_poll:
            return WATCH_MS
        return min(MAX_AGENT_WATCH_MS, max(MIN_AGENT_WATCH_MS, self.drain_grace_ms / 2))

    @property
    def grace_ms(self) -> float:
        """How much longer an answer may take."""
        return min(ANSWER_GRACE_MS, TOLD_MS + self.drain_grace_ms / 4) if self.must_poll else AGENT_GRACE_MS

    def retry(self, failures: int) -> float:
        """The pause after a call that was not answered, the `failures`th in a row."""
        longest = MAX_RETRY_MS if self.must_poll else self.watch_ms / 2
        doubled: float = FIRST_RETRY_MS * 2 ** min(failures, MAX_RETRY_DOUBLINGS)
        return min(longest, doubled) * (0.5 + self.draw.random() / 2)

    def first(self, known: bool = True) -> float:
        """The time until the first call. `known`: an old list serves till then."""
        if not self.must_poll or self.balancers < 2:
            return 0.0
        if not known:
            return self.draw.random() * FIRST_CALL_STEP_MS * max(0, self.balancers - FIRST_CALLS_AT_ONCE)
        return self.draw.random() * min(MAX_FIRST_CALL_MS, CALL_SHARE_MS * self.balancers)

    def heard(self) -> None:
        """A call was answered."""
        self.rejections = 0

    def overbooked(self) -> float:
        """A call was rejected. Returns the time until the next one, drawn so that the tier's calls part."""
        self.rejections += 1
        growth = PAUSE_GROWTH ** min(self.rejections - 1, MAX_GROWTHS)
        longest = CALL_SHARE_MS * self.balancers * growth
        bound = max(MAX_PAUSE_MS, MAX_PAUSE_SHARE_MS * self.balancers)
        return max(MIN_PAUSE_MS, min(bound, longest)) * (0.25 + 0.75 * self.draw.random())
