"""What operators may ask for, answered by the parts that know. This object keeps nothing of its own."""

from __future__ import annotations

from ..net.connection_table import ConnectionTable
from ..net.graceful_shutdown import GracefulShutdown
from ..net.routing_actor import RoutingActor
from ..net.server_connections import ServerRegistry
from ..upgrade.override_sync import OverrideSync
from .coordination_parts import Coordination, DrainTickets
from .prometheus_text import MetricsSnapshot


class Operations:
    """The calls of `routes.Operations`, on a balancer's parts.

    Attributes:
        serves: clients are taken.
        coordination: None where the operator's file does not ask for it.
    """

    def __init__(
        self,
        routing: RoutingActor,
        servers: ServerRegistry,
        connections: ConnectionTable,
        shutdown: GracefulShutdown,
        override_sync: OverrideSync,
    ) -> None:
        self.serves = False
        self.coordination: Coordination | None = None
        self._routing = routing
        self._servers = servers
        self._connections = connections
        self._shutdown = shutdown
        self._override_sync = override_sync

    def ready(self) -> str:
        """Why no clients are taken; empty where they are."""
        return self._shutdown.why() if self.serves else "not ready: clients are not taken yet"

    def metrics(self) -> MetricsSnapshot:
        """The metrics now."""
        counts = self._connections.metrics
        names = self._servers.listed()
        return MetricsSnapshot(
            outcomes=counts.outcomes,
            relayed=counts.relayed,
            open_requests=self._connections.count_open(),
            registry_entries=len(names),
            out_of_rotation=self._routing.balancer.count_avoided(names),
            rejected=counts.rejected,
            system_errors=counts.system_errors,
            descriptors=self._connections.descriptors_by_purpose(),
            descriptor_limit=self._connections.budget.limit,
        )

    def listed(self, name: str) -> bool:
        """Whether the server is in the endpoint list, or ever was."""
        return self._override_sync.knows(name)

    async def suspend(self, name: str) -> str:
        """Takes a server out of rotation. Returns why not; empty where it is done."""
        return await self._set_override(name, True)

    async def resume(self, name: str) -> str:
        """Takes a server back into rotation. Returns why not; empty where it is done."""
        return await self._set_override(name, False)

    async def _set_override(self, name: str, out: bool) -> str:
        if self.coordination and self.coordination.overrides:
            return await self.coordination.overrides.set_override(name, out)
        return await self._override_sync.set_override(name, out)

    async def drain(self) -> str:
        """Sends this balancer's clients away. Returns why not; empty where it is begun."""
        tickets = self._drain_tickets()
        if tickets and (reason := await tickets.take()):
            return reason
        return self._shutdown.by_hand(tickets.proven if tickets else None)

    async def activate(self) -> str:
        """Takes clients again. Returns why not; empty where it is done."""
        reason = self._shutdown.back()
        tickets = self._drain_tickets()
        if tickets and not reason:
            tickets.give_back()
        return reason

    def _drain_tickets(self) -> DrainTickets | None:
        return self.coordination.drain_limiter if self.coordination else None

    def coordination_view(self) -> str:
        """What balancers do together, as JSON; empty where that is off."""
        return self.coordination.view() if self.coordination else ""
