"""The tier before the balancers: spreads clients over those that answer PING, and removes a silent one late."""

from __future__ import annotations

import asyncio
import random

from .client_io import ping
from .history import History
from .history_events import BalancerAdded, BalancerRemoved, DrainObserved
from .loopback import Address
from .request_line import DRAINING_LINE, READY_LINE

PARTY = "front"


class Frontend:
    """Sends PING to each balancer, and picks a ready one for each client.

    Attributes:
        ready: numbers of the balancers that clients are sent to.
    """

    def __init__(
        self, addresses: list[Address], notice_s: float, interval_s: float, history: History, seed: int
    ) -> None:
        """Takes the balancers' addresses, the time until a silent one is removed, and the time between two PINGs."""
        self.ready: set[int] = set()
        self._addresses = addresses
        self._notice_s, self._interval_s = notice_s, interval_s
        self._history = history
        self._rng = random.Random(seed)  # noqa: S311 - draws need be repeatable, not secret
        self._answered_s: dict[int, float] = {}
        self._tasks: list[asyncio.Task[None]] = []

    def open(self) -> None:
        """Sends PING to all balancers from now on."""
        loop = asyncio.get_running_loop()
        self._tasks = [loop.create_task(self._watch(number)) for number in range(len(self._addresses))]

    def close(self) -> None:
        """Sends no more."""
        for task in self._tasks:
            task.cancel()

    def pick(self) -> int | None:
        """Returns the number of a ready balancer; None where there is none."""
        return self._rng.choice(sorted(self.ready)) if self.ready else None

    async def _watch(self, number: int) -> None:
        loop = asyncio.get_running_loop()
        while True:
            answer = await ping(self._addresses[number])
            if answer == DRAINING_LINE:
                self._history.note(PARTY, DrainObserved(number))
            if answer == READY_LINE:
                self._answered_s[number] = loop.time()
                if number not in self.ready:
                    self.ready.add(number)
                    self._history.note(PARTY, BalancerAdded(number))
            elif number in self.ready and (
                answer == DRAINING_LINE or loop.time() - self._answered_s[number] > self._notice_s
            ):
                self.ready.discard(number)
                self._history.note(PARTY, BalancerRemoved(number))
            await asyncio.sleep(self._interval_s)
