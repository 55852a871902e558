"""What the operators' calls need of the coordination of balancers. The coordination imports this, never the reverse."""

from __future__ import annotations

from typing import Protocol


class ServerOverrides(Protocol):
    """Servers out of rotation at all balancers."""

    async def set_override(self, server: str, out: bool) -> None:
        """Takes a server out of rotation, or back.

        Raises:
            OperationRejectedError: the override is not stored.
            OperationPendingError: the other balancers do not know of the override yet.
        """
        ...


class DrainPermits(Protocol):
    """Bounds how many balancers drain at a time."""

    async def acquire_permit(self) -> None:
        """Acquires a drain permit, unless one is held.

        Raises:
            OperationRejectedError: no permit is free, or the store does not answer.
        """
        ...

    def drain_permit_is_valid(self) -> bool:
        """Whether the permit is held now."""
        ...

    def release_permit(self) -> None:
        """Releases the permit, if one is held."""
        ...


class Coordination(Protocol):
    """What balancers do together; each part is None where the operator's file says no."""

    @property
    def overrides(self) -> ServerOverrides | None:
        """Servers out of rotation at all balancers."""
        ...

    @property
    def drain_limiter(self) -> DrainPermits | None:
        """How many may be drained at a time."""
        ...

    def view(self) -> str:
        """All of it, as JSON."""
        ...
