"""Where the descriptors of a process go: every limit that keeps them from running out, with its arithmetic.

    limit = program + operators + health checks + connections without a request + relays, two each

Nothing here grows with the endpoint list: the connections for health checks are a bounded pool, and a relay's
descriptors are taken when its client comes.
"""

from __future__ import annotations

PROGRAM = 24  # standard streams, the loop's own, listening sockets, discovery, gossip, a file that is read again
PER_RELAY = 2
MIN_UNROUTED = 16  # connections without a request that there is always room for
UNROUTED_DIVISOR = 4  # and at most this part of the limit
MIN_HEALTH_CHECKS = 8
HEALTH_CHECK_DIVISOR = 8  # the pool of connections for health checks is this part of the limit


class DescriptorBudget:
    """The descriptors of one process.

    Attributes:
        limit: open at a time, at most.
        operators: set aside for operators' calls.
        elsewhere: held by another process under the same limit, as last counted.
        servers: in the endpoint list; fewer than the pool holds need no more than one connection each.
    """

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.operators = 0
        self.elsewhere = 0
        self.servers = 0

    @property
    def health_checks(self) -> int:
        """Connections for health checks that may be open at a time."""
        return min(self.servers, _health_check_pool(self.limit))

    def free(self, relays: int) -> int:
        """What so many relays leave to others."""
        set_aside = PROGRAM + self.operators + self.elsewhere + self.health_checks
        return self.limit - set_aside - PER_RELAY * relays

    def has_room(self, relays: int) -> bool:
        """Whether one more relay fits in, beside the connections that have no request yet."""
        return self.free(relays) >= PER_RELAY + MIN_UNROUTED

    def unrouted(self, relays: int) -> int:
        """Connections without a request that may be open beside so many relays."""
        return max(MIN_UNROUTED, min(self.free(relays), self.limit // UNROUTED_DIVISOR))

    def shortfall(self) -> str:
        """Why not a single client could be served, whatever the list says; empty where one can."""
        return self.shortfall_at(self.limit)

    def shortfall_at(self, limit: int) -> str:
        """The same for another limit."""
        needed = PROGRAM + self.operators + _health_check_pool(limit) + MIN_UNROUTED + PER_RELAY
        return "" if limit >= needed else f"{limit} leave no room for one client, {needed} are needed"


def _health_check_pool(limit: int) -> int:
    return max(MIN_HEALTH_CHECKS, limit // HEALTH_CHECK_DIVISOR)
