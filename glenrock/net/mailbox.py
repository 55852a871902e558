"""The mailbox of an actor: bounded, emptied whole."""

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
        self.mail.append(item)
        self.wake()
        return True

    def wake(self) -> None:
        if self.waiter and not self.waiter.done():
            self.waiter.set_result(None)

    async def take(self) -> list[Any]:
        """All there is, as soon as there is something (or `wake` was called)."""
        if not self.mail:
            self.waiter = asyncio.get_running_loop().create_future()
            await self.waiter
        out = list(self.mail)
        self.mail.clear()
        return out
