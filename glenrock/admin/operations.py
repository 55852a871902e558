"""What operators may ask for, answered by the parts that know. This object keeps nothing of its own."""

from __future__ import annotations

from typing import Protocol

from ..net.connection_table import ConnectionTable
from ..net.graceful_shutdown import GracefulShutdown
from ..net.routing_actor import RoutingActor
from ..net.server_connections import ServerRegistry
from ..upgrade.agreement import Agreement
from .figures import Figures


class ServerOverrides(Protocol):
    """Servers out of rotation at all balancers."""

    async def set_override(self, server: str, out: bool) -> str:
        """Out, or back. Returns why not; empty where it is done."""
        ...


class DrainTickets(Protocol):
    """How many balancers may be drained at a time."""

    async def take(self) -> str:
        """Takes a ticket. Returns why there is none; empty where it is held."""
        ...

    def proven(self) -> bool:
        """Whether the ticket is held now."""
        ...

    def give_back(self) -> None:
        """Gives the ticket back."""
        ...


class Coordination(Protocol):
    """What balancers do together; each part is None where the operator's file says no."""

    @property
    def overrides(self) -> ServerOverrides | None:
        """Servers out of rotation at all balancers."""
        ...

    @property
    def drain_limiter(self) -> DrainTickets | None:
        """How many may be drained at a time."""
        ...

    def view(self) -> str:
        """All of it, as JSON."""
        ...


class Operations:
    def __init__(self, routing: RoutingActor, servers: ServerRegistry, connections: ConnectionTable,
                 shutdown: GracefulShutdown, agreement: Agreement) -> None:
        self.routing, self.servers, self.connections = routing, servers, connections
        self.shutdown, self.agreement = shutdown, agreement
        self.serves = False  # clients are taken
        self.coordination: Coordination | None = None  # where the operator's file says so

    def ready(self) -> str:
        return self.shutdown.why() if self.serves else "not ready: clients are not taken yet"

    def figures(self) -> Figures:
        counts, balancer, names = self.connections.metrics, self.routing.balancer, self.servers.listed()
        return Figures(counts.outcomes, counts.relayed, self.connections.count_open(), len(names),
                       balancer.count_avoided(names))

    def listed(self, name: str) -> bool:
        return self.agreement.knows(name)

    async def suspend(self, name: str) -> str:
        return await self.by_hand(name, True)

    async def resume(self, name: str) -> str:
        return await self.by_hand(name, False)

    async def by_hand(self, name: str, out: bool) -> str:
        if self.coordination and self.coordination.overrides:
            return await self.coordination.overrides.set_override(name, out)
        return await self.agreement.call(name, out)

    async def drain(self) -> str:
        tickets = self.coordination.drain_limiter if self.coordination else None
        if tickets and (why := await tickets.take()):
            return why
        return self.shutdown.by_hand(tickets.proven if tickets else None)

    async def activate(self) -> str:
        why = self.shutdown.back()
        tickets = self.coordination.drain_limiter if self.coordination else None
        if tickets and not why:
            tickets.give_back()
        return why

    def together(self) -> str:
        return self.coordination.view() if self.coordination else ""
