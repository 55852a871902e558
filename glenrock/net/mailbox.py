"""The bounded mailbox of an actor, which reads all messages at once or one by one."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import Generic, TypeVar

Message = TypeVar("Message")


class Mailbox(Generic[Message]):
    """Messages for one actor, oldest first.

    Attributes:
        limit: the number of messages at which `try_put` adds no more.
        messages: the messages that the actor has not read.
    """

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.messages: deque[Message] = deque()
        self._waiter: asyncio.Future[None] | None = None

    def try_put(self, message: Message) -> bool:
        """Adds a message. Returns False if the mailbox is full."""
        if len(self.messages) >= self.limit:
            return False
        self.put_unbounded(message)
        return True

    def put_unbounded(self, message: Message) -> None:
        """Adds a message even to a full mailbox. For messages that must not be lost, and of which there are few."""
        self.messages.append(message)
        self.wake()

    def wake(self) -> None:
        """Wakes the actor, whether or not there is a message."""
        if self._waiter and not self._waiter.done():
            self._waiter.set_result(None)

    async def _wait(self) -> None:
        """Waits for a message or a call of `wake`."""
        if not self.messages:
            self._waiter = asyncio.get_running_loop().create_future()
            await self._waiter

    async def get_all(self) -> list[Message]:
        """Returns all messages, once there is a message or `wake` was called."""
        await self._wait()
        messages = list(self.messages)
        self.messages.clear()
        return messages

    async def get(self) -> Message:
        """Returns the oldest message.

        For an actor that reads its mailbox in several functions: with `get_all`, the messages that one function leaves
        unhandled would be lost for the next one.
        """
        while not self.messages:
            await self._wait()
        return self.messages.popleft()
