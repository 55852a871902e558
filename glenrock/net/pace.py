"""How hard one balancer leans on discovery: when its first call comes, and when the next after one was turned away.

Where the list must be asked for, discovery is one service for the whole tier, and it takes calls one at a time. Each
new watch is such a call; one that goes on costs nothing. Calls stand in line, and one that stood there too long is
turned away, though its turn still comes and is lost work. So a tier that starts together, or that asks again
within a second, keeps the line full of calls that nobody waits for any more, and no balancer hears anything all
day. What helps is time in proportion to the tier: the calls of all balancers together must fit in. Nothing here
reads a clock or a socket. Times are milliseconds.
"""

from __future__ import annotations

import random
from dataclasses import dataclass

EACH_MS = 250.0  # of the tier's time, for the call of one balancer
FIRST_MS = 10_000.0  # a first call that must be spread comes within this: the list that is known is used till then
BARE_MS, BARE_FREE = 10.0, 8  # without any list nobody can serve: spread by this for each balancer past so many
LEAST_MS, MOST_MS = 1000.0, 20_000.0  # bounds of the longest pause, of a tier for which this is enough
# Each refusal says that the calls of all do not fit in yet: the pause grows until they do, where a call takes up to a
# second. Danger: bounded by a time that did not grow with the tier, 200 balancers at 100 ms a call kept the line full
# of calls that nobody waited for, and a fifth of them was heard all day.
LONGEST_EACH_MS, GROWS = 1000.0, 3.0


# What a watch that has fallen silent misses counts as told 6 s after that, or 2 s after the wait is over if that is
# later. From then on the grace of a drain runs, so the list must have been heard again before it is over.
WAIT_MS = 10_000.0  # a watch waits this long for news
# An answer may take this much longer: a call stands in line for up to 2 s where discovery is overbooked. Danger:
# whoever gives up earlier is never heard, and its turn is lost for the others too.
GRACE_MS = 2500.0
TOLD_MS = 2000.0  # after the wait, what a silent watch misses counts; the rest of the grace is a part of the drains'
# An agent on the balancer's own machine answers at once and at no cost, and what it has counts as told, whether or not
# a watch is open. So it is looked at again within half the time that drains leave, whatever has become of the watch.
OWN_LEAST_MS, OWN_MOST_MS = 400.0, 3000.0
OWN_GRACE_MS = 400.0
LONGEST_WAIT_MS = 1000.0  # between two calls while they fail; it must be found again within 4 s of a move


@dataclass
class Pace:
    balancers: int
    must_ask: bool
    draw: random.Random
    drain_grace_ms: float = 2 * OWN_MOST_MS
    refusals: int = 0  # in a row

    @property
    def wait(self) -> float:
        """How long a watch waits for news."""
        if self.must_ask:
            return WAIT_MS
        return min(OWN_MOST_MS, max(OWN_LEAST_MS, self.drain_grace_ms / 2))

    @property
    def grace(self) -> float:
        """How much longer an answer may take."""
        return min(GRACE_MS, TOLD_MS + self.drain_grace_ms / 4) if self.must_ask else OWN_GRACE_MS

    def retry(self, failures: int) -> float:
        """The pause after a call that was not answered, the `failures`th in a row."""
        longest = LONGEST_WAIT_MS if self.must_ask else self.wait / 2
        return min(longest, 50.0 * 2 ** min(failures, 6)) * (0.5 + self.draw.random() / 2)

    def first(self, known: bool = True) -> float:
        """The time until the first call. `known`: an old list serves till then."""
        if not self.must_ask or self.balancers < 2:
            return 0.0
        if not known:
            return self.draw.random() * BARE_MS * max(0, self.balancers - BARE_FREE)
        return self.draw.random() * min(FIRST_MS, EACH_MS * self.balancers)

    def heard(self) -> None:
        self.refusals = 0

    def overbooked(self) -> float:
        """A call was turned away. Returns the time until the next one, drawn so that the tier's calls part."""
        self.refusals += 1
        longest = EACH_MS * self.balancers * GROWS ** min(self.refusals - 1, 10)
        bound = max(MOST_MS, LONGEST_EACH_MS * self.balancers)
        return max(LEAST_MS, min(bound, longest)) * (0.25 + 0.75 * self.draw.random())
