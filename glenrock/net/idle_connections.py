"""Connections without a request, in the order in which they are closed when descriptors run short. No I/O."""

from __future__ import annotations

import asyncio

from ..log import get_logger
from .clock import TimeLimit

ConnectionTask = asyncio.Task[None]

logger = get_logger(__name__)


class IdleConnections:
    """The tasks of connections that have sent no request yet, oldest first.

    A connection is in one of four states, which the containers show:

    - silent: in `unanswered`;
    - pinged: in `answered`;
    - shed, its final answer comes next: moved to `_shed`;
    - closing, it has had its final answer: in `answered` and `_ending`, and still in `_shed` if it was shed.

    Attributes:
        unanswered: connections that have had no answer.
        answered: connections that have had an answer to a ping, or their final answer.
    """

    def __init__(self) -> None:
        self.unanswered: dict[ConnectionTask, None] = {}
        self.answered: dict[ConnectionTask, None] = {}
        self._ending: dict[ConnectionTask, None] = {}  # those of `answered` that have had their final answer
        self._shed: set[ConnectionTask] = set()  # get their final answer next, unless a request has already arrived
        self._read_limits: dict[ConnectionTask, TimeLimit] = {}

    def __len__(self) -> int:
        """Returns the number of connections, without those that are shed and await their final answer."""
        return len(self.unanswered) + len(self.answered)

    def add(self, task: ConnectionTask) -> None:
        """Adds a connection that was accepted."""
        self.unanswered[task] = None

    def remove(self, task: ConnectionTask) -> None:
        """Removes a connection that has sent its request."""
        self.unanswered.pop(task, None)
        self.answered.pop(task, None)

    def forget(self, task: ConnectionTask) -> None:
        """Removes a connection that has ended."""
        self.remove(task)
        self._ending.pop(task, None)
        self._shed.discard(task)

    def mark_answered(self, task: ConnectionTask) -> None:
        """Records that the connection has had an answer."""
        self.unanswered.pop(task, None)
        self.answered[task] = None

    def mark_ending(self, task: ConnectionTask) -> None:
        """Records that the connection has had its final answer."""
        self.mark_answered(task)
        self._ending[task] = None

    def is_shed(self, task: ConnectionTask) -> bool:
        """Returns whether the connection is to be closed to free its descriptor."""
        return task in self._shed

    def start_reading(self, task: ConnectionTask, limit: TimeLimit) -> None:
        """Records that the connection waits for a line within that limit."""
        self._read_limits[task] = limit

    def stop_reading(self, task: ConnectionTask) -> None:
        """Records that the connection no longer waits for a line."""
        del self._read_limits[task]

    def stop_all_reading(self) -> None:
        """Ends the wait of all connections for a line."""
        for limit in list(self._read_limits.values()):
            limit.expire()

    def shed_oldest(self) -> bool:
        """Frees a descriptor.

        The oldest connection that has had its final answer is closed. If there is none, the oldest idle connection no
        longer waits for a line: it is rejected, unless its request has already arrived.

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
        if limit := self._read_limits.get(task):
            limit.expire()
