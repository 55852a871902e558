"""The bounded pool of connections for health checks, of all servers together."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol


class PooledConnection(Protocol):
    """A connection that the pool may close while no check is out on it."""

    def hang_up(self) -> None:
        """Closes it."""
        ...


class HealthConnections:
    """Who holds a place in the pool, the one used longest ago first."""

    def __init__(self, limit: Callable[[], int]) -> None:
        self._limit = limit
        self._busy_by_holder: dict[PooledConnection, bool] = {}

    def __len__(self) -> int:
        """Connections that are open, or about to be."""
        return len(self._busy_by_holder)

    def claim(self, holder: PooledConnection) -> bool:
        """Takes a place for a check; the idle connection used longest ago makes room.

        Returns:
            False where a check is out on each connection of the pool.
        """
        self._busy_by_holder.pop(holder, None)
        while len(self._busy_by_holder) >= max(1, self._limit()):
            idle = next((one for one, busy in self._busy_by_holder.items() if not busy), None)
            if idle is None:
                return False
            self.leave(idle)
            idle.hang_up()
        self._busy_by_holder[holder] = True
        return True

    def rest(self, holder: PooledConnection) -> None:
        """Its check is over, and its connection stays open."""
        if holder in self._busy_by_holder:
            self._busy_by_holder[holder] = False

    def leave(self, holder: PooledConnection) -> None:
        """Its connection is closed."""
        self._busy_by_holder.pop(holder, None)
