"""Connections that have sent no request, in the order in which they are closed to free descriptors. Performs no I/O."""

from __future__ import annotations

import asyncio
from types import TracebackType

from ..log import get_logger
from .clock import TimeLimit

ConnectionTask = asyncio.Task[None]

logger = get_logger(__name__)


class IdleConnections:
    """The tasks of connections that have sent no request yet, oldest first.

    The containers show the state of a connection:

    - no answer sent yet: in `unanswered`;
    - a ping was answered: in `answered`;
    - shed, its final answer comes next: only in `_shed`;
    - ending, its final answer was sent: in `answered` and `_ending`, and still in `_shed` if it was shed.

    Attributes:
        unanswered: connections to which no answer was sent.
        answered: connections to which the answer to a ping or the final answer was sent.
    """

    def __init__(self) -> None:
        self.unanswered: dict[ConnectionTask, None] = {}
        self.answered: dict[ConnectionTask, None] = {}
        self._ending: dict[ConnectionTask, None] = {}  # the part of `answered` whose final answer was sent
        self._shed: set[ConnectionTask] = set()  # rejected next, unless a request has already arrived
        self._wait_limits: dict[ConnectionTask, TimeLimit] = {}

    def __len__(self) -> int:
        """Returns the number of connections, without shed ones whose final answer was not sent yet."""
        return len(self.unanswered) + len(self.answered)

    def add(self, task: ConnectionTask) -> None:
        """Adds an accepted connection."""
        self.unanswered[task] = None

    def remove(self, task: ConnectionTask) -> None:
        """Removes a connection that has sent its request."""
        self.unanswered.pop(task, None)
        self.answered.pop(task, None)

    def remove_ended(self, task: ConnectionTask) -> None:
        """Removes a connection that has ended."""
        self.remove(task)
        self._ending.pop(task, None)
        self._shed.discard(task)

    def mark_answered(self, task: ConnectionTask) -> None:
        """Records that a ping of the connection was answered."""
        self.unanswered.pop(task, None)
        self.answered[task] = None

    def mark_ending(self, task: ConnectionTask) -> None:
        """Records that the final answer of the connection is being sent."""
        self.mark_answered(task)
        self._ending[task] = None

    def is_shed(self, task: ConnectionTask) -> bool:
        """Returns whether the connection was chosen to be closed to free its descriptor."""
        return task in self._shed

    def start_waiting(self, task: ConnectionTask, limit: TimeLimit) -> None:
        """Records that the connection waits for its client, with that time limit."""
        self._wait_limits[task] = limit

    def stop_waiting(self, task: ConnectionTask) -> None:
        """Records that the connection no longer waits."""
        del self._wait_limits[task]

    def stop_all_waiting(self) -> None:
        """Makes all connections stop waiting for their clients."""
        for limit in list(self._wait_limits.values()):
            limit.expire()

    def shed_oldest(self) -> bool:
        """Closes one connection to free its descriptor.

        The oldest connection whose final answer was sent is closed at once. If there is none, the oldest connection
        with an answered ping, or else the oldest without any answer, stops waiting for its client: it is rejected,
        unless its request has already arrived, and closed if it does not read.

        Returns:
            False if there is no connection to close.
        """
        if self._ending:
            task = next(iter(self._ending))
            del self._ending[task]
            self.answered.pop(task, None)
            task.cancel()
            return True
        for connections in (self.answered, self.unanswered):
            if connections:
                self._shed_first(connections)
                return True
        return False

    def _shed_first(self, connections: dict[ConnectionTask, None]) -> None:
        logger.warning(
            "idle connection closed to free a descriptor",
            unanswered_connections=len(self.unanswered),
            answered_connections=len(self.answered),
        )
        task = next(iter(connections))
        del connections[task]
        self._shed.add(task)
        if limit := self._wait_limits.get(task):
            limit.expire()


class IdleWait:
    """A context manager that limits one wait of an idle connection for its client, in time and by shedding."""

    def __init__(self, idle: IdleConnections, task: ConnectionTask, limit: TimeLimit) -> None:
        self._idle = idle
        self._task = task
        self._limit = limit

    async def __aenter__(self) -> TimeLimit:
        """Begins the wait, and returns its time limit."""
        await self._limit.__aenter__()
        self._idle.start_waiting(self._task, self._limit)
        return self._limit

    async def __aexit__(
        self, exc_type: type[BaseException] | None, exc: BaseException | None, traceback: TracebackType | None
    ) -> bool:
        """Ends the wait. An expired limit ends the block without an error."""
        self._idle.stop_waiting(self._task)
        return await self._limit.__aexit__(exc_type, exc, traceback)
