from __future__ import annotations

from glenrock.admin.prometheus_text import MetricsSnapshot
from glenrock.operation_errors import OperationError, OperationRejectedError

KNOWN_SERVER = "s/1 é"


class RecordingOperations:
    """Records the calls of `routes.Operations`; each fails with `error` if there is a reason."""

    def __init__(self, reason: str | None = None, error: type[OperationError] = OperationRejectedError) -> None:
        self.calls: list[object] = []
        self._reason = reason
        self._error = error

    def unready_reason(self) -> str | None:
        return self._reason

    def metrics(self) -> MetricsSnapshot:
        return MetricsSnapshot({"fulfilled": {"look": 3}}, 4, 1, 2, 0)

    def is_known_server(self, server_id: str) -> bool:
        return server_id == KNOWN_SERVER

    async def suspend(self, server_id: str) -> None:
        self._record(("suspend", server_id))

    async def resume(self, server_id: str) -> None:
        self._record(("resume", server_id))

    async def drain(self) -> None:
        self._record("drain")

    async def activate(self) -> None:
        self._record("activate")

    def coordination_view(self) -> str | None:
        return None

    def _record(self, call: object) -> None:
        self.calls.append(call)
        if self._reason:
            raise self._error(self._reason)
