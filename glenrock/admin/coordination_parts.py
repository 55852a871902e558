"""The parts of coordination that operators' calls use.

Coordination implements these protocols; admin never imports it.
"""

from __future__ import annotations

from typing import Protocol


class ServerOverrides(Protocol):
    """Suspends and resumes servers at all balancers."""

    async def set_override(self, server_id: str, is_suspended: bool) -> None:
        """Suspends or resumes a server.

        Raises:
            OperationRejectedError: the override is not stored.
            OperationPendingError: the override is in effect here, and the other balancers do not know of it yet.
        """
        ...


class DrainPermits(Protocol):
    """Bounds how many balancers drain at a time."""

    async def acquire_permit(self) -> None:
        """Acquires a drain permit, unless this balancer holds one.

        Raises:
            OperationRejectedError: no permit is free, or the store does not answer.
        """
        ...

    def release_permit(self) -> None:
        """Releases the permit, if this balancer holds one."""
        ...


class Coordination(Protocol):
    """The parts of coordination; a part is None if its job is not configured."""

    @property
    def overrides(self) -> ServerOverrides | None:
        """Overrides of all balancers."""
        ...

    @property
    def drain_limiter(self) -> DrainPermits | None:
        """The bound on balancers that drain at a time."""
        ...

    def view(self) -> str:
        """Returns the state of coordination as JSON."""
        ...
