"""The bounded pool of connections for health checks, of all servers together."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol


class PooledConnection(Protocol):
    """A connection that the pool may close while no health check is in flight on it."""

    def disconnect(self) -> None:
        """Closes the connection."""
        ...


class HealthCheckPool:
    """Bounds the open connections for health checks.

    Args:
        limit: returns the number of connections that may be open.
    """

    def __init__(self, limit: Callable[[], int]) -> None:
        self._limit = limit
        self._in_use_by_connection: dict[PooledConnection, bool] = {}  # the least recently used first

    def __len__(self) -> int:
        """Returns the number of connections that are open, or about to be."""
        return len(self._in_use_by_connection)

    def acquire(self, connection: PooledConnection) -> bool:
        """Reserves a place for a health check, and closes the least recently used connection if the pool is full.

        Returns:
            False if a health check is in flight on each connection of the pool.
        """
        self._in_use_by_connection.pop(connection, None)
        while len(self._in_use_by_connection) >= max(1, self._limit()):
            unused = next((pooled for pooled, is_busy in self._in_use_by_connection.items() if not is_busy), None)
            if unused is None:
                return False
            self.remove(unused)
            unused.disconnect()
        self._in_use_by_connection[connection] = True
        return True

    def release(self, connection: PooledConnection) -> None:
        """Records that the health check has ended, and the connection stays open."""
        if connection in self._in_use_by_connection:
            self._in_use_by_connection[connection] = False

    def remove(self, connection: PooledConnection) -> None:
        """Records that the connection is closed."""
        self._in_use_by_connection.pop(connection, None)
