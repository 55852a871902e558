"""A stand-in for the operations behind operators' calls."""

from __future__ import annotations

from glenrock.admin import routes
from glenrock.admin.prometheus_text import MetricsSnapshot
from glenrock.net.metrics import ConnectionOutcome
from glenrock.operation_errors import OperationError, OperationRejectedError

KNOWN_SERVER = "s/1 é"


class RecordingOperations(routes.Operations):
    """Records the calls of operations that change something; each of them fails if there is a reason.

    Attributes:
        calls: the operations called, as `name` or `name server_id`.
    """

    def __init__(self, reason: str | None = None, error: type[OperationError] = OperationRejectedError) -> None:
        """Prepares the answers.

        Args:
            reason: why operations fail, and why the balancer is not ready; None if all succeed.
            error: raised by operations that fail.
        """
        self.calls: list[str] = []
        self._reason = reason
        self._error = error

    def unready_reason(self) -> str | None:
        """Returns the reason."""
        return self._reason

    def metrics(self) -> MetricsSnapshot:
        """Returns metrics with five open requests."""
        outcomes = {ConnectionOutcome.FULFILLED: {"look": 3}}
        return MetricsSnapshot(outcomes, attempts_written=4, open_requests=5, registry_entries=2, out_of_rotation=0)

    def is_known_server(self, server_id: str) -> bool:
        """Returns whether the server is `KNOWN_SERVER`."""
        return server_id == KNOWN_SERVER

    async def suspend(self, server_id: str) -> None:
        """Records the call."""
        self._record(f"suspend {server_id}")

    async def resume(self, server_id: str) -> None:
        """Records the call."""
        self._record(f"resume {server_id}")

    async def drain(self) -> None:
        """Records the call."""
        self._record("drain")

    async def activate(self) -> None:
        """Records the call."""
        self._record("activate")

    def coordination_view(self) -> str | None:
        """Returns None: coordination is not configured."""
        return None

    def _record(self, call: str) -> None:
        self.calls.append(call)
        if self._reason:
            raise self._error(self._reason)
