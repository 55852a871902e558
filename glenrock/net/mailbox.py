"""The mailbox of an actor: bounded; emptied whole, or read one by one."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import Any


class Mailbox:
    def __init__(self, limit: int) -> None:
        self.limit, self.mail, self.waiter = limit, deque(), None

    def put(self, item: Any) -> bool:
        """False if it is full: the sender must do without."""
        if len(self.mail) >= self.limit:
            return False
        self.deliver(item)
        return True

    def deliver(self, item: Any) -> None:
        """However full it is: for what comes a few times in an actor's life, and must not be lost."""
        self.mail.append(item)
        self.wake()

    def wake(self) -> None:
        if self.waiter and not self.waiter.done():
            self.waiter.set_result(None)

    async def some(self) -> None:
        """Until there is something (or `wake` was called)."""
        if not self.mail:
            self.waiter = asyncio.get_running_loop().create_future()
            await self.waiter

    async def take(self) -> list[Any]:
        """All there is, as soon as there is something (or `wake` was called)."""
        await self.some()
        out = list(self.mail)
        self.mail.clear()
        return out

    async def next(self) -> Any:
        """The oldest. For an actor whose states read on where the one before stopped: one that took all and acted on
        a part would lose what came in the same turn."""
        while not self.mail:
            await self.some()
        return self.mail.popleft()
