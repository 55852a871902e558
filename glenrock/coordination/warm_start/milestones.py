"""The milestones of this balancer's start, and the results of its first connections and of its discovery calls."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import Any

from ...net.metrics import ConnectionOutcome
from ...net.poll_backoff import CallFailure, FailedCall, PollBackoff
from ..host import BalancerHost


class ListSource(StrEnum):
    """The source of the endpoint list that a balancer starts with.

    CACHED: the start cache of an earlier incarnation.
    CONFIGURED: the configuration.
    NONE: there is no list until discovery answers.
    """

    CACHED = "cached"
    CONFIGURED = "configured"
    NONE = "none"


POLL_INTERVAL_MS = 20.0
FIRST_CONNECTIONS_WINDOW_MS = 5000.0  # connections within this time of the ready milestone are reported
MAX_WATCH_MS = 600_000.0


@dataclass(frozen=True, slots=True)
class ConnectionCounts:
    """Connections of this process.

    Attributes:
        attempts: attempts sent to servers.
        established: clients connected to a server.
        rejected: clients rejected.
        failed: clients whose request failed.
    """

    attempts: int
    established: int
    rejected: int
    failed: int


@dataclass(frozen=True, slots=True)
class CallCounts:
    """Calls to discovery for the endpoint list, by result."""

    answered: int
    rejected: int
    failed: int


@dataclass(frozen=True, slots=True)
class StartProgress:
    """The milestones of a start. Times are Unix milliseconds, 0 until a milestone is reached.

    Attributes:
        process_started_ms: when the process started.
        delay_ms: the delay of the start by the start backoff, in milliseconds.
        ready_ms: when the balancer began to accept clients.
        list_ms: when discovery first answered.
        served_ms: when the first connection was established.
        list_source: the source of the endpoint list that the balancer started with.
        calls: calls for the endpoint list; None before the start.
        connections: connections until FIRST_CONNECTIONS_WINDOW_MS after `ready_ms`, or until now if that is earlier.
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
    """Counts the results of calls for the endpoint list. All delays are those of the `PollBackoff` that it wraps."""

    def __init__(self, backoff: PollBackoff) -> None:
        self.answered = self.rejected = self.failed = 0
        self._backoff = backoff

    def __getattr__(self, name: str) -> Any:
        """Returns an attribute of the wrapped backoff."""
        return getattr(self._backoff, name)

    def record_answer(self) -> None:
        """Records that a call was answered."""
        self.answered += 1
        self._backoff.record_answer()

    def delay_after_failure_ms(self, call: FailedCall) -> float:
        """Records a failed call. Returns the delay until the next one, in milliseconds."""
        if call.failure is CallFailure.REJECTED or (call.failure is CallFailure.TIMED_OUT and not call.has_list):
            self.rejected += 1
        else:
            self.failed += 1
        return self._backoff.delay_after_failure_ms(call)


class StartMilestones:
    """Records the milestones of the start. Times are Unix milliseconds, 0 until a milestone is reached."""

    def __init__(self, host: BalancerHost) -> None:
        self._host = host
        self._clock = host.clock
        self._started_ms = self._clock.now_ms()
        self._delay_ms = self._ready_ms = self._list_ms = self._served_ms = 0.0
        self._list_source = ListSource.NONE
        self._first_connections: ConnectionCounts | None = None
        self._calls: CountingPollBackoff | None = None

    def start(self, list_source: ListSource) -> None:
        """Starts recording. Must be called before the first call for the endpoint list."""
        self._list_source = list_source
        self._delay_ms = self._clock.now_ms() - self._started_ms
        self._calls = CountingPollBackoff(self._host.endpoints.backoff)
        self._host.endpoints.backoff = self._calls  # type: ignore[assignment] # __getattr__ provides the other members

    def _connection_counts(self) -> ConnectionCounts:
        """Returns the counts since the process started."""
        metrics = self._host.connections.metrics
        totals = {outcome: sum(counts.values()) for outcome, counts in metrics.outcomes.items()}
        return ConnectionCounts(
            attempts=metrics.attempts_written,
            established=totals[ConnectionOutcome.FULFILLED],
            rejected=totals[ConnectionOutcome.THROTTLED],
            failed=totals[ConnectionOutcome.FAULTED],
        )

    async def watch(self) -> None:
        """Polls until all milestones are reached, at most for MAX_WATCH_MS.

        Polling keeps the modules that serve clients free of callbacks for milestones.
        """
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
