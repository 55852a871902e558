"""Carries out operators' calls on the parts of a balancer. Their state stays in those parts."""

from __future__ import annotations

from ..net.connection_table import ConnectionTable
from ..net.drain_state import DrainState
from ..net.graceful_shutdown import GracefulShutdown
from ..net.routing_actor import RoutingActor
from ..net.server_connections import ServerRegistry
from ..upgrade.override_sync import OverrideSync
from .coordination_parts import Coordination, DrainPermits
from .prometheus_text import MetricsSnapshot


class Operations:
    """Implements `routes.Operations`.

    Attributes:
        is_serving: whether the client address is open. The first endpoint list may still be missing then.
        coordination: the coordination with other balancers; None if it is not configured.
    """

    def __init__(
        self,
        routing: RoutingActor,
        servers: ServerRegistry,
        connections: ConnectionTable,
        shutdown: GracefulShutdown,
        drain_state: DrainState,
        override_sync: OverrideSync,
    ) -> None:
        self.is_serving = False
        self.coordination: Coordination | None = None
        self._routing = routing
        self._servers = servers
        self._connections = connections
        self._shutdown = shutdown
        self._drain_state = drain_state
        self._override_sync = override_sync

    def unready_reason(self) -> str | None:
        """Returns why front ends should send no new clients to this balancer; None if they may."""
        return self._drain_state.unready_reason() if self.is_serving else "not ready: starting"

    def metrics(self) -> MetricsSnapshot:
        """Returns the metrics at this moment."""
        metrics = self._connections.metrics
        listed_servers = self._servers.listed_names()
        return MetricsSnapshot(
            outcomes=metrics.outcomes,
            attempts_written=metrics.attempts_written,
            open_requests=self._connections.count_open(),
            registry_entries=len(listed_servers),
            out_of_rotation=self._routing.balancer.count_unavailable(listed_servers),
            final_answers=metrics.final_answers,
            system_errors=metrics.system_errors,
            descriptors=self._connections.descriptors_by_purpose(),
            descriptor_limit=self._connections.budget.limit,
        )

    def is_known_server(self, server_id: str) -> bool:
        """Returns whether the server is in the endpoint list, or ever was."""
        return self._override_sync.is_known(server_id)

    async def suspend(self, server_id: str) -> None:
        """Takes a server out of rotation.

        Raises:
            OperationRejectedError: the override cannot be stored.
            OperationPendingError: the override has not reached the other balancers yet.
        """
        await self._set_override(server_id, True)

    async def resume(self, server_id: str) -> None:
        """Takes a server back into rotation.

        Raises:
            OperationRejectedError: the override cannot be stored.
            OperationPendingError: the override has not reached the other balancers yet.
        """
        await self._set_override(server_id, False)

    async def _set_override(self, server_id: str, is_suspended: bool) -> None:
        if self.coordination and self.coordination.overrides:
            await self.coordination.overrides.set_override(server_id, is_suspended)
        else:
            await self._override_sync.set_override(server_id, is_suspended)

    async def drain(self) -> None:
        """Starts to migrate all clients of this balancer.

        Raises:
            OperationRejectedError: no drain permit is free, or the process is stopping.
        """
        permits = self._drain_permits()
        if permits and not self._drain_state.is_manually_draining:
            await permits.acquire_permit()
        self._shutdown.start_manual_drain()

    async def activate(self) -> None:
        """Ends the drain, and releases the drain permit.

        Raises:
            OperationRejectedError: the process is stopping.
        """
        self._shutdown.end_manual_drain()
        if permits := self._drain_permits():
            permits.release_permit()

    def _drain_permits(self) -> DrainPermits | None:
        return self.coordination.drain_limiter if self.coordination else None

    def coordination_view(self) -> str | None:
        """Returns the state of coordination as JSON; None if it is not configured."""
        return self.coordination.view() if self.coordination else None
