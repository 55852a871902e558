"""Limits of the pool of connections for health checks."""

from __future__ import annotations

from glenrock.net.health_check_pool import HealthCheckPool


class FakeConnection:
    """A connection that counts how often the pool closes it."""

    def __init__(self) -> None:
        self.disconnects = 0

    def disconnect(self) -> None:
        """Counts a close."""
        self.disconnects += 1


def test_pool_closes_the_least_recently_used_connection_and_none_in_use() -> None:
    pool = HealthCheckPool(lambda: 2)
    first, second, third, fourth = connections = [FakeConnection() for _ in range(4)]
    assert pool.acquire(first)
    assert pool.acquire(second)
    assert not pool.acquire(third)
    pool.release(second)
    pool.release(first)
    assert pool.acquire(third)
    assert [connection.disconnects for connection in connections] == [1, 0, 0, 0]
    assert pool.acquire(second)
    assert not pool.acquire(fourth)
    assert len(pool) == 2
    pool.release(third)
    pool.remove(third)
    assert pool.acquire(fourth)
    assert [connection.disconnects for connection in connections] == [1, 0, 0, 0]
