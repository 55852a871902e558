"""What this balancer's own start came to: when it was ready, heard the list and served, and what its calls came to."""

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
FIRST_SERVICE_MS = 5000.0  # what is done in this time of service belongs to the start
WATCH_LIMIT_MS = 600_000.0  # a start that is not over by then is looked at no more
COUNTED_OUTCOMES: dict[str, ConnectionOutcome] = {
    "up": ConnectionOutcome.FULFILLED,
    "refused": ConnectionOutcome.THROTTLED,
    "failed": ConnectionOutcome.FAULTED,
}


class CountingPollBackoff:
    """A poll backoff that counts what calls for the list came to, and is otherwise the one it was given."""

    def __init__(self, backoff: PollBackoff) -> None:
        self.answered = self.refused = self.failed = 0
        self._backoff = backoff

    def __getattr__(self, name: str) -> Any:
        """All else is the other's."""
        return getattr(self._backoff, name)

    def record_answer(self) -> None:
        """A call was answered."""
        self.answered += 1
        self._backoff.record_answer()

    def overload_delay_ms(self) -> float:
        """A call was refused. Returns the pause before the next one."""
        self.refused += 1
        return self._backoff.overload_delay_ms()

    def retry_delay_ms(self, failures: int) -> float:
        """A call failed. Returns the pause before the next one."""
        self.failed += 1
        return self._backoff.retry_delay_ms(failures)


class StartMilestones:
    """Times are Unix milliseconds of the balancer's own clock, 0 while something has not come."""

    def __init__(self, host: BalancerHost) -> None:
        self._host = host
        self._clock = host.clock
        self._begun_ms = self._clock.now()
        self._waited_ms = self._ready_ms = self._heard_ms = self._served_ms = 0.0
        self._list_source = ListSource.NONE
        self._first_service: dict[str, int] = {}
        self._calls: CountingPollBackoff | None = None

    def start(self, list_source: ListSource) -> None:
        """Before the first call. `list_source`: what the start goes by: kept, given or none."""
        self._list_source = list_source
        self._waited_ms = self._clock.now() - self._begun_ms
        self._calls = CountingPollBackoff(self._host.endpoints.backoff)
        self._host.endpoints.backoff = self._calls  # type: ignore[assignment] # it is one in all that is called

    def _done(self) -> dict[str, int]:
        """Since the process began."""
        counts = self._host.connections.metrics
        outcomes = {name: sum(counts.outcomes[key].values()) for name, key in COUNTED_OUTCOMES.items()}
        return {"attempts": counts.relayed, **outcomes}

    async def watch(self) -> None:
        """Until the start is over. Looked at, not told: nothing that serves knows of it."""
        while self._clock.now() < self._begun_ms + WATCH_LIMIT_MS:
            now_ms = self._clock.now()
            if not self._ready_ms and self._host.acceptor.listener is not None:
                self._ready_ms = now_ms
            if not self._heard_ms and self._host.endpoints.has_answered.is_set():
                self._heard_ms = now_ms
            if not self._served_ms and self._done()["up"] > 0:
                self._served_ms = now_ms
            if self._ready_ms and not self._first_service and now_ms >= self._ready_ms + FIRST_SERVICE_MS:
                self._first_service = self._done()
            if self._first_service and self._heard_ms and self._served_ms:
                return
            await self._clock.sleep(CHECK_INTERVAL_MS)

    def view(self) -> dict[str, Any]:
        """For operators; its keys are theirs."""
        calls = self._calls
        counted = {}
        if calls:
            counted = {"answered": calls.answered, "refused": calls.refused, "failed": calls.failed}
        return {
            "begun_ms": round(self._begun_ms),
            "waited_ms": round(self._waited_ms),
            "ready_ms": round(self._ready_ms),
            "heard_ms": round(self._heard_ms),
            "served_ms": round(self._served_ms),
            "list": self._list_source,
            "calls": counted,
            "first": dict(self._first_service) or self._done(),
        }
