"""The pool of connections for health checks."""

from __future__ import annotations

from glenrock.net.health_check_pool import HealthCheckPool


class PooledConnection:
    """Counts how often the pool closes it."""

    def __init__(self) -> None:
        self.disconnects = 0

    def disconnect(self) -> None:
        self.disconnects += 1


def test_pool_closes_the_least_recently_used_idle_connection_and_none_in_use() -> None:
    pool, connections = HealthCheckPool(lambda: 2), [PooledConnection() for _ in range(4)]
    assert pool.acquire(connections[0]) and pool.acquire(connections[1]) and not pool.acquire(connections[2])
    pool.release(connections[1])
    pool.release(connections[0])
    assert pool.acquire(connections[2])
    assert [connection.disconnects for connection in connections] == [1, 0, 0, 0]
    assert pool.acquire(connections[1]) and not pool.acquire(connections[3]) and len(pool) == 2
    pool.release(connections[2])
    pool.remove(connections[2])
    assert pool.acquire(connections[3])
    assert [connection.disconnects for connection in connections] == [1, 0, 0, 0]
