"""The division of a process's file descriptors among purposes, so that they never run out.

    limit = program + operators + other process + health checks + idle connections + 2 * relays

No term grows with the endpoint list: connections for health checks come from a bounded pool. The two descriptors of a
relay are counted from the time of its client's request.
"""

from __future__ import annotations

PROGRAM_DESCRIPTORS = 24  # standard streams, event loop, listening sockets, discovery, gossip, configuration file
DESCRIPTORS_PER_RELAY = 2
MIN_IDLE_CONNECTIONS = 16
IDLE_CONNECTIONS_DIVISOR = 4  # idle connections may use at most the limit divided by this
MIN_HEALTH_CHECK_CONNECTIONS = 8
HEALTH_CHECK_CONNECTIONS_DIVISOR = 8  # health checks may use the limit divided by this


class DescriptorBudgetError(ValueError):
    """The descriptor limit is too low to serve a single client."""


class DescriptorBudget:
    """The descriptor budget of one process.

    Attributes:
        limit: the number of descriptors that may be open.
        operator_descriptors: the number of descriptors reserved for operators' calls.
        other_process_descriptors: the last known number of descriptors that another process holds under the same limit.
        server_count: the number of known servers. Each needs at most one connection for health checks.
    """

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.operator_descriptors = 0
        self.other_process_descriptors = 0
        self.server_count = 0

    @property
    def max_health_check_connections(self) -> int:
        """The number of connections for health checks that may be open."""
        return min(self.server_count, _health_check_pool_size(self.limit))

    def free_descriptors(self, relays: int) -> int:
        """Returns the number of descriptors that are neither reserved nor used by the given number of relays."""
        reserved = (
            PROGRAM_DESCRIPTORS
            + self.operator_descriptors
            + self.other_process_descriptors
            + self.max_health_check_connections
        )
        return self.limit - reserved - DESCRIPTORS_PER_RELAY * relays

    def allows_relay(self, relays: int) -> bool:
        """Returns whether one more relay is allowed beside the given number of relays."""
        return self.free_descriptors(relays) >= DESCRIPTORS_PER_RELAY + MIN_IDLE_CONNECTIONS

    def max_idle_connections(self, relays: int) -> int:
        """Returns how many connections without a request may be open beside the given number of relays."""
        return max(MIN_IDLE_CONNECTIONS, min(self.free_descriptors(relays), self.limit // IDLE_CONNECTIONS_DIVISOR))

    def check_limit(self, limit: int) -> None:
        """Checks that a limit is enough to serve a client, however long the endpoint list is.

        Raises:
            DescriptorBudgetError: the limit is too low.
        """
        needed = (
            PROGRAM_DESCRIPTORS
            + self.operator_descriptors
            + _health_check_pool_size(limit)
            + MIN_IDLE_CONNECTIONS
            + DESCRIPTORS_PER_RELAY
        )
        if limit < needed:
            raise DescriptorBudgetError(f"at least {needed} are needed to serve one client, got {limit}")


def _health_check_pool_size(limit: int) -> int:
    return max(MIN_HEALTH_CHECK_CONNECTIONS, limit // HEALTH_CHECK_CONNECTIONS_DIVISOR)
