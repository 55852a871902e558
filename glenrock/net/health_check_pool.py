"""The bounded pool of connections for health checks, shared by all servers."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol


class PooledConnection(Protocol):
    """A connection that the pool may close while no health check is in flight on it."""

    def disconnect(self) -> None:
        """Closes the connection."""
        ...


class HealthCheckPool:
    """Bounds the number of open connections for health checks.

    Args:
        limit: returns the number of connections that may be open.
    """

    def __init__(self, limit: Callable[[], int]) -> None:
        self._limit = limit
        self._in_use_by_connection: dict[PooledConnection, bool] = {}  # least recently used first

    def __len__(self) -> int:
        """Returns the number of connections that are open or about to be."""
        return len(self._in_use_by_connection)

    def acquire(self, connection: PooledConnection) -> bool:
        """Reserves a place in the pool for a connection that is about to carry a health check.

        If the pool is full, the least recently used connection without a health check in flight is closed.

        Returns:
            False if the pool is full and a health check is in flight on each of its connections.
        """
        self._in_use_by_connection.pop(connection, None)
        while len(self._in_use_by_connection) >= max(1, self._limit()):
            idle = next((pooled for pooled, in_use in self._in_use_by_connection.items() if not in_use), None)
            if idle is None:
                return False
            self.remove(idle)
            idle.disconnect()
        self._in_use_by_connection[connection] = True
        return True

    def release(self, connection: PooledConnection) -> None:
        """Records that the health check has ended and that the connection, if still in the pool, stays open."""
        if connection in self._in_use_by_connection:
            self._in_use_by_connection[connection] = False

    def remove(self, connection: PooledConnection) -> None:
        """Records that the connection is closed."""
        self._in_use_by_connection.pop(connection, None)
