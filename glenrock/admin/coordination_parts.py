"""What the operators' calls need of the coordination of balancers. The coordination imports this, never the reverse."""

from __future__ import annotations

from typing import Protocol


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
