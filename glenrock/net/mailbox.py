"""The mailbox of an actor: bounded; emptied whole, or read one by one."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import Generic, TypeVar

Message = TypeVar("Message")


class Mailbox(Generic[Message]):
    """Messages for one actor, oldest first. `limit`: how many may wait."""

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.mail: deque[Message] = deque()
        self._waiter: asyncio.Future[None] | None = None

    def put(self, message: Message) -> bool:
        """False if it is full: the sender must do without."""
        if len(self.mail) >= self.limit:
            return False
        self.deliver(message)
        return True

    def deliver(self, message: Message) -> None:
        """However full it is: for what comes a few times in an actor's life, and must not be lost."""
        self.mail.append(message)
        self.wake()

    def wake(self) -> None:
        """Whoever waits goes on, whether or not there is something."""
        if self._waiter and not self._waiter.done():
            self._waiter.set_result(None)

    async def _wait(self) -> None:
        """Until there is something (or `wake` was called)."""
        if not self.mail:
            self._waiter = asyncio.get_running_loop().create_future()
            await self._waiter

    async def take(self) -> list[Message]:
        """All there is, as soon as there is something (or `wake` was called)."""
        await self._wait()
        messages = list(self.mail)
        self.mail.clear()
        return messages

    async def next(self) -> Message:
        """The oldest.

        For an actor whose states read on where the one before stopped: one that took all and acted on a part would
        lose what came in the same turn.
        """
        while not self.mail:
            await self._wait()
        return self.mail.popleft()
