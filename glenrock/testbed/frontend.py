"""The front: deals clients out over the balancers that answer PING, and finds a dead one late."""

from __future__ import annotations

import asyncio
import random

from .history import EventKind, History
from .loopback import Address

PING_S = 1.0  # a balancer that has not answered within this did not answer


class Frontend:
    def __init__(self, addresses: list[Address], notice_s: float, look_s: float, history: History, seed: int) -> None:
        self.addresses, self.notice_s, self.look_s, self.history = addresses, notice_s, look_s, history
        self.draw = random.Random(seed)
        self.known: set[int] = set()
        self.heard: dict[int, float] = {}
        self.tasks: list[asyncio.Task[None]] = []

    def open(self) -> None:
        loop = asyncio.get_running_loop()
        self.tasks = [loop.create_task(self.watch(n)) for n in range(len(self.addresses))]

    def close(self) -> None:
        for task in self.tasks:
            task.cancel()

    def pick(self) -> int | None:
        """The number of a balancer that the front takes to be alive."""
        return self.draw.choice(sorted(self.known)) if self.known else None

    async def watch(self, number: int) -> None:
        loop = asyncio.get_running_loop()
        while True:
            answer = await self.ping(number)
            if answer == b"ERR":
                self.history.note("front", EventKind.BALANCER_DRAINS, balancer=number)
            if answer == b"PONG":
                self.heard[number] = loop.time()
                if number not in self.known:
                    self.known.add(number)
                    self.history.note("front", EventKind.BALANCER_ADDED, balancer=number)
            elif number in self.known and (answer == b"ERR" or loop.time() - self.heard[number] > self.notice_s):
                self.known.discard(number)
                self.history.note("front", EventKind.BALANCER_REMOVED, balancer=number)
            await asyncio.sleep(self.look_s)

    async def ping(self, number: int) -> bytes:
        try:
            async with asyncio.timeout(PING_S):
                reader, writer = await asyncio.open_connection(*self.addresses[number])
                try:
                    writer.write(b"PING\r\n")
                    return (await reader.readline()).strip()
                finally:
                    writer.close()
        except (OSError, TimeoutError):
            return b""
