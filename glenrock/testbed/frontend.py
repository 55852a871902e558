"""The tier before the balancers: spreads clients over those that answer PING, and notices a dead one late."""

from __future__ import annotations

import asyncio
import random

from .history import History
from .history_events import BalancerAdded, BalancerRemoved, DrainObserved
from .loopback import Address

PING_TIMEOUT_S = 1.0
READY_ANSWER, DRAINING_ANSWER = b"PONG", b"ERR"
PARTY = "front"


class Frontend:
    """Looks at each balancer, and picks one for each client.

    Attributes:
        ready: numbers of the balancers that clients are sent to.
    """

    def __init__(
        self, addresses: list[Address], notice_s: float, interval_s: float, history: History, seed: int
    ) -> None:
        """Takes the balancers' addresses, the time until a silent one is removed, and the time between two looks."""
        self.ready: set[int] = set()
        self._addresses = addresses
        self._notice_s, self._interval_s = notice_s, interval_s
        self._history = history
        self._rng = random.Random(seed)  # noqa: S311 - draws need be repeatable, not secret
        self._answered_s: dict[int, float] = {}
        self._tasks: list[asyncio.Task[None]] = []

    def open(self) -> None:
        """Looks at all balancers from now on."""
        loop = asyncio.get_running_loop()
        self._tasks = [loop.create_task(self._watch(number)) for number in range(len(self._addresses))]

    def close(self) -> None:
        """Stops looking."""
        for task in self._tasks:
            task.cancel()

    def pick(self) -> int | None:
        """Returns the number of a ready balancer; None where there is none."""
        return self._rng.choice(sorted(self.ready)) if self.ready else None

    async def _watch(self, number: int) -> None:
        loop = asyncio.get_running_loop()
        while True:
            answer = await self._ping(number)
            if answer == DRAINING_ANSWER:
                self._history.note(PARTY, DrainObserved(number))
            if answer == READY_ANSWER:
                self._answered_s[number] = loop.time()
                if number not in self.ready:
                    self.ready.add(number)
                    self._history.note(PARTY, BalancerAdded(number))
            elif number in self.ready and (
                answer == DRAINING_ANSWER or loop.time() - self._answered_s[number] > self._notice_s
            ):
                self.ready.discard(number)
                self._history.note(PARTY, BalancerRemoved(number))
            await asyncio.sleep(self._interval_s)

    async def _ping(self, number: int) -> bytes:
        """Returns the answer without its end of line; empty where none comes."""
        try:
            async with asyncio.timeout(PING_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(*self._addresses[number])
                try:
                    writer.write(b"PING\r\n")
                    return (await reader.readline()).strip()
                finally:
                    writer.close()
        except (OSError, TimeoutError):
            return b""
