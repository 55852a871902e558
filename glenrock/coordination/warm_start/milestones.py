"""The milestones of this balancer's start: ready, first endpoint list, first connection, and its calls' results."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import Any

from ...net.metrics import ConnectionOutcome
from ...net.poll_backoff import PollBackoff
from ..host import BalancerHost


class ListSource(StrEnum):
    """Where the endpoint list of a start is from.

    CACHED: the cache of an earlier incarnation.
    CONFIGURED: the configuration.
    NONE: there is no list until discovery answers.
    """

    CACHED = "cached"
    CONFIGURED = "configured"
    NONE = "none"


POLL_INTERVAL_MS = 20.0
FIRST_CONNECTIONS_WINDOW_MS = 5000.0  # connections in this time after `ready` count as the start's
MAX_WATCH_MS = 600_000.0


@dataclass(frozen=True, slots=True)
class ConnectionCounts:
    """Connections of this process: attempts sent to servers, and answers to clients by outcome."""

    attempts: int
    established: int
    rejected: int
    failed: int


@dataclass(frozen=True, slots=True)
class CallCounts:
    """Calls for the endpoint list, by result."""

    answered: int
    rejected: int
    failed: int


@dataclass(frozen=True, slots=True)
class StartProgress:
    """The milestones of a start. Times are Unix milliseconds, 0 until a milestone is reached.

    Attributes:
        process_started_ms: when the process started.
        delay_ms: the delay by the start backoff.
        ready_ms: when the balancer accepted clients.
        list_ms: when discovery first answered.
        served_ms: when the first connection was established.
        list_source: where the endpoint list of the start is from.
        calls: for the endpoint list; None before the start.
        connections: in the first time after `ready_ms`, or so far.
    """

    process_started_ms: float
    delay_ms: float
    ready_ms: float
    list_ms: float
    served_ms: float
    list_source: ListSource
    calls: CallCounts | None
    connections: ConnectionCounts


class CountingPollBackoff:
    """Counts the results of calls for the endpoint list, and delegates everything to another `PollBackoff`."""

    def __init__(self, backoff: PollBackoff) -> None:
        self.answered = self.rejected = self.failed = 0
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
        self.rejected += 1
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
        self._started_ms = self._clock.now_ms()
        self._delay_ms = self._ready_ms = self._list_ms = self._served_ms = 0.0
        self._list_source = ListSource.NONE
        self._first_connections: ConnectionCounts | None = None
        self._calls: CountingPollBackoff | None = None

    def start(self, list_source: ListSource) -> None:
        """Starts the recording, before the first call for the endpoint list."""
        self._list_source = list_source
        self._delay_ms = self._clock.now_ms() - self._started_ms
        self._calls = CountingPollBackoff(self._host.endpoints.backoff)
        self._host.endpoints.backoff = self._calls  # type: ignore[assignment] # it delegates what it does not define

    def _connection_counts(self) -> ConnectionCounts:
        """Returns the connections since the process started."""
        metrics = self._host.connections.metrics
        totals = {outcome: sum(counts.values()) for outcome, counts in metrics.outcomes.items()}
        return ConnectionCounts(
            attempts=metrics.attempts_written,
            established=totals[ConnectionOutcome.FULFILLED],
            rejected=totals[ConnectionOutcome.THROTTLED],
            failed=totals[ConnectionOutcome.FAULTED],
        )

    async def watch(self) -> None:
        """Polls until all milestones are reached, so that the serving parts need no hooks."""
        while self._clock.now_ms() < self._started_ms + MAX_WATCH_MS:
            now_ms = self._clock.now_ms()
            if not self._ready_ms and self._host.acceptor.listener is not None:
                self._ready_ms = now_ms
            if not self._list_ms and self._host.endpoints.has_answered.is_set():
                self._list_ms = now_ms
            if not self._served_ms and self._connection_counts().established > 0:
                self._served_ms = now_ms
            if (
                self._ready_ms
                and not self._first_connections
                and now_ms >= self._ready_ms + FIRST_CONNECTIONS_WINDOW_MS
            ):
                self._first_connections = self._connection_counts()
            if self._first_connections and self._list_ms and self._served_ms:
                return
            await self._clock.sleep(POLL_INTERVAL_MS)

    def progress(self) -> StartProgress:
        """Returns the milestones reached so far."""
        calls = self._calls
        return StartProgress(
            process_started_ms=self._started_ms,
            delay_ms=self._delay_ms,
            ready_ms=self._ready_ms,
            list_ms=self._list_ms,
            served_ms=self._served_ms,
            list_source=self._list_source,
            calls=CallCounts(calls.answered, calls.rejected, calls.failed) if calls else None,
            connections=self._first_connections or self._connection_counts(),
        )
