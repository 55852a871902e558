"""What operators may ask for, answered by the parts that know. This object keeps nothing of its own."""

from __future__ import annotations

from ..net.connection_table import ConnectionTable
from ..net.graceful_shutdown import GracefulShutdown
from ..net.routing_actor import RoutingActor
from ..net.server_connections import ServerRegistry
from ..upgrade.override_sync import OverrideSync
from .coordination_parts import Coordination, DrainPermits
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

    def unready_reason(self) -> str | None:
        """Why the balancer accepts no clients; None while it accepts them."""
        return self._shutdown.unready_reason() if self.serves else "not ready: clients are not taken yet"

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

    async def suspend(self, name: str) -> None:
        """Takes a server out of rotation. Raises OperationError."""
        await self._set_override(name, True)

    async def resume(self, name: str) -> None:
        """Takes a server back into rotation. Raises OperationError."""
        await self._set_override(name, False)

    async def _set_override(self, name: str, out: bool) -> None:
        if self.coordination and self.coordination.overrides:
            await self.coordination.overrides.set_override(name, out)
        else:
            await self._override_sync.set_override(name, out)

    async def drain(self) -> None:
        """Starts to drain this balancer. Raises OperationRejectedError."""
        permits = self._drain_permits()
        if permits:
            await permits.acquire_permit()
        self._shutdown.start_manual_drain(permits.drain_permit_is_valid if permits else None)

    async def activate(self) -> None:
        """Ends the drain. Raises OperationRejectedError."""
        self._shutdown.end_manual_drain()
        if permits := self._drain_permits():
            permits.release_permit()

    def _drain_permits(self) -> DrainPermits | None:
        return self.coordination.drain_limiter if self.coordination else None

    def coordination_view(self) -> str:
        """What balancers do together, as JSON; empty where that is off."""
        return self.coordination.view() if self.coordination else ""
