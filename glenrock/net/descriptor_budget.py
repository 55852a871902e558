"""How the descriptors of a process are divided among purposes, so that none runs out.

    limit = program + operators + other process + health checks + idle connections + 2 * relays

No term grows with the endpoint list: connections for health checks are a bounded pool, and a relay's descriptors are
used from its client's request on.
"""

from __future__ import annotations

PROGRAM_DESCRIPTORS = 24  # standard streams, the loop, listening sockets, discovery, gossip, the configuration file
DESCRIPTORS_PER_RELAY = 2
MIN_IDLE_CONNECTIONS = 16
IDLE_CONNECTIONS_DIVISOR = 4  # of the limit
MIN_HEALTH_CHECK_CONNECTIONS = 8
HEALTH_CHECK_CONNECTIONS_DIVISOR = 8  # of the limit


class DescriptorBudgetError(ValueError):
    """The limit is too low to serve a single client."""


class DescriptorBudget:
    """The descriptors of one process.

    Attributes:
        limit: the number of descriptors that may be open.
        operators: reserved for operators' calls.
        other_process: held by another process under the same limit, as last counted.
        servers: in the endpoint list; with fewer servers than connections in the pool, one connection each is enough.
    """

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.operators = 0
        self.other_process = 0
        self.servers = 0

    @property
    def max_health_check_connections(self) -> int:
        """The number of connections for health checks that may be open."""
        return min(self.servers, _health_check_pool_size(self.limit))

    def free(self, relays: int) -> int:
        """Returns the descriptors that are neither reserved nor used by so many relays."""
        reserved = PROGRAM_DESCRIPTORS + self.operators + self.other_process + self.max_health_check_connections
        return self.limit - reserved - DESCRIPTORS_PER_RELAY * relays

    def allows_relay(self, relays: int) -> bool:
        """Returns whether one more relay is allowed beside so many."""
        return self.free(relays) >= DESCRIPTORS_PER_RELAY + MIN_IDLE_CONNECTIONS

    def max_idle_connections(self, relays: int) -> int:
        """Returns how many connections without a request may be open beside so many relays."""
        return max(MIN_IDLE_CONNECTIONS, min(self.free(relays), self.limit // IDLE_CONNECTIONS_DIVISOR))

    def check_limit(self, limit: int) -> None:
        """Checks that a limit is enough to serve a client, whatever the endpoint list has.

        Raises:
            DescriptorBudgetError: the limit is too low.
        """
        needed = (
            PROGRAM_DESCRIPTORS
            + self.operators
            + _health_check_pool_size(limit)
            + MIN_IDLE_CONNECTIONS
            + DESCRIPTORS_PER_RELAY
        )
        if limit < needed:
            raise DescriptorBudgetError(f"at least {needed} are needed to serve one client, got {limit}")


def _health_check_pool_size(limit: int) -> int:
    return max(MIN_HEALTH_CHECK_CONNECTIONS, limit // HEALTH_CHECK_CONNECTIONS_DIVISOR)
