"""The milestones of this balancer's start: ready, first endpoint list, first connection, and its calls' results."""

from __future__ import annotations

from enum import StrEnum
from typing import Any

from ...net.metrics import ConnectionOutcome
from ...net.poll_backoff import PollBackoff
from ..host import BalancerHost


class ListSource(StrEnum):
    """Where the endpoint list of a start is from; the values are in the operators' view.

    CACHED: the cache of an earlier incarnation.
    CONFIGURED: the configuration.
    NONE: there is no list until discovery answers.
    """

    CACHED = "kept"
    CONFIGURED = "given"
    NONE = "none"


CHECK_INTERVAL_MS = 20.0
FIRST_SERVICE_MS = 5000.0  # connections in this time after `ready` count as the start's
MAX_WATCH_MS = 600_000.0
COUNTED_OUTCOMES: dict[str, ConnectionOutcome] = {
    "up": ConnectionOutcome.FULFILLED,
    "refused": ConnectionOutcome.THROTTLED,
    "failed": ConnectionOutcome.FAULTED,
}


class CountingPollBackoff:
    """Counts the results of calls for the endpoint list, and delegates everything to another `PollBackoff`."""

    def __init__(self, backoff: PollBackoff) -> None:
        self.answered = self.refused = self.failed = 0
        self._backoff = backoff

    def __getattr__(self, name: str) -> Any:
        """Delegates all other attributes."""
        return getattr(self._backoff, name)

    def record_answer(self) -> None:
        """Records that a call was answered."""
        self.answered += 1
        self._backoff.record_answer()

    def overload_delay_ms(self) -> float:
        """Records that a call was rejected. Returns the pause before the next one, in milliseconds."""
        self.refused += 1
        return self._backoff.overload_delay_ms()

    def retry_delay_ms(self, failures: int) -> float:
        """Records that a call failed. Returns the pause before the next one, in milliseconds."""
        self.failed += 1
        return self._backoff.retry_delay_ms(failures)


class StartMilestones:
    """Records the milestones. Times are Unix milliseconds, 0 until a milestone is reached."""

    def __init__(self, host: BalancerHost) -> None:
        self._host = host
        self._clock = host.clock
        self._started_ms = self._clock.now()
        self._delay_ms = self._ready_ms = self._list_ms = self._served_ms = 0.0
        self._list_source = ListSource.NONE
        self._first_service: dict[str, int] = {}
        self._calls: CountingPollBackoff | None = None

    def start(self, list_source: ListSource) -> None:
        """Starts the recording, before the first call for the endpoint list."""
        self._list_source = list_source
        self._delay_ms = self._clock.now() - self._started_ms
        self._calls = CountingPollBackoff(self._host.endpoints.backoff)
        self._host.endpoints.backoff = self._calls  # type: ignore[assignment] # it delegates what it does not define

    def _connection_counts(self) -> dict[str, int]:
        """Returns the connections since the process started, by result."""
        counts = self._host.connections.metrics
        outcomes = {name: sum(counts.outcomes[key].values()) for name, key in COUNTED_OUTCOMES.items()}
        return {"attempts": counts.relayed, **outcomes}

    async def watch(self) -> None:
        """Polls until all milestones are reached, so that the serving parts need no hooks."""
        while self._clock.now() < self._started_ms + MAX_WATCH_MS:
            now_ms = self._clock.now()
            if not self._ready_ms and self._host.acceptor.listener is not None:
                self._ready_ms = now_ms
            if not self._list_ms and self._host.endpoints.has_answered.is_set():
                self._list_ms = now_ms
            if not self._served_ms and self._connection_counts()["up"] > 0:
                self._served_ms = now_ms
            if self._ready_ms and not self._first_service and now_ms >= self._ready_ms + FIRST_SERVICE_MS:
                self._first_service = self._connection_counts()
            if self._first_service and self._list_ms and self._served_ms:
                return
            await self._clock.sleep(CHECK_INTERVAL_MS)

    def view(self) -> dict[str, Any]:
        """Returns the milestones with the keys of the operators' view."""
        calls = self._calls
        counted = {}
        if calls:
            counted = {"answered": calls.answered, "refused": calls.refused, "failed": calls.failed}
        return {
            "begun_ms": round(self._started_ms),
            "waited_ms": round(self._delay_ms),
            "ready_ms": round(self._ready_ms),
            "heard_ms": round(self._list_ms),
            "served_ms": round(self._served_ms),
            "list": self._list_source,
            "calls": counted,
            "first": dict(self._first_service) or self._connection_counts(),
        }
