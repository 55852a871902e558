"""Runs the lease manager of this process: submits its requests to the store, and publishes its events."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable

from ..log import get_logger
from . import datagrams
from .background_tasks import BackgroundTasks
from .leases.candidate import LeaseAcquired, LeaseLost, LeaseTiming, LossReason
from .leases.fence import Fence, FencePosition
from .leases.lease_manager import JobEvent, LeaseManager
from .leases.sqlite_store import boottime_us
from .leases.store import JobRequest, LeaseStore, StoreUnavailableError
from .transport import DatagramTransport

logger = get_logger(__name__)

SECOND_US = 1_000_000
TICK_LEASE_FRACTION = 0.0125  # interval between two ticks of the manager, as a fraction of the lease duration
MIN_TICK_S = 0.02
POLL_LEASE_FRACTION = 0.2  # interval between two reads of others' leases, as a fraction of the lease duration
POLLS_PER_FULL_POLL = 5  # one poll in five reads the leases of all jobs
STORE_RETRY_INTERVAL_S = 0.5
STOP_TIMEOUT_S = 0.3  # for each call to the store while the process stops

EventListener = Callable[[str, LeaseAcquired | LeaseLost], None]
"""Called with a job and an event of its lease."""

AnswerListener = Callable[[str], None]
"""Called with a job after a request for its lease was answered or timed out."""


class LeaseRunner:
    """Runs the lease manager of one process.

    Attributes:
        store: the lease store.
        manager: decides which requests are made, and when.
        timing: durations of a lease.
        event_listeners: called when a lease is acquired or lost.
        answer_listeners: called when a request is answered or times out.
        store_error: the error of the last failed call to the store, shown to operators; empty once a later lease
            request is answered, and "not asked yet" until a lease request is answered or a call fails. Errors of
            polls, and of releases while the process stops, are not recorded.
    """

    def __init__(
        self,
        store: LeaseStore,
        manager: LeaseManager,
        timing: LeaseTiming,
        fence: Fence,
        transport: DatagramTransport,
        tasks: BackgroundTasks,
    ) -> None:
        self.store = store
        self.manager = manager
        self.timing = timing
        self.event_listeners: list[EventListener] = []
        self.answer_listeners: list[AnswerListener] = []
        self.store_error = "not asked yet"
        self._fence = fence
        self._transport = transport
        self._tasks = tasks
        self._tick_now = asyncio.Event()
        self._poll_now = asyncio.Event()
        transport.register(datagrams.LeaseReleased, self._on_lease_released)

    def start(self) -> None:
        """Starts the tasks that request leases, poll the leases of others, and restore the fence."""
        for task in (self._run_requests, self._poll_leases, self._restore_fence):
            self._tasks.run(task())

    def current_term(self, job: str) -> int | None:
        """Returns the term under which this process may act now; None if the lease is not held.

        Callers check it immediately before each action.
        """
        return self.manager.current_term(job, boottime_us())

    def request_lease(self, job: str) -> None:
        """Requests a job's lease at once, until `step_down` or `stop_requesting`."""
        self.manager.request_lease(job, boottime_us())
        self._tick_now.set()

    def stop_requesting(self, job: str) -> None:
        """Ends the effect of `request_lease`. A lease that is held is not released."""
        self.manager.stop_requesting(job)

    def poll_now(self) -> None:
        """Reads the leases of others at once, for a caller that knows that one may have changed."""
        self._poll_now.set()

    def step_down(self, job: str) -> None:
        """Releases a job's lease."""
        actions = self.manager.step_down(job, boottime_us())
        self.publish(actions.events)
        if actions.requests:
            self._tasks.run(self._submit(actions.requests))

    def handle_rejection(self, job: str, highest_term: int) -> None:
        """Handles a rejection by a receiver that has seen `highest_term` of a job."""
        self.publish(self.manager.handle_rejection(job, boottime_us(), highest_term))

    def record_work(self, job: str) -> None:
        """Records that this holder is working on the job."""
        self.manager.record_work(job, boottime_us())

    def record_store_error(self, error: Exception) -> None:
        """Records and logs that the store did not answer. Clients do not depend on the store, so serving goes on."""
        self.store_error = str(error) or "no answer in time"
        logger.warning("lease store unavailable", error=self.store_error)

    def publish(self, events: list[JobEvent]) -> None:
        """Logs the events, calls the listeners, and tells the peers of each lease that was released."""
        for job, event in events:
            _log_event(job, event)
            for listener in self.event_listeners:
                listener(job, event)
            if isinstance(event, LeaseLost) and event.reason is LossReason.RELEASED:
                self._transport.broadcast(datagrams.LeaseReleased(job))

    async def step_down_from_all(self, except_job: str | None) -> None:
        """Releases all leases except that of `except_job`, and waits for the store's answers."""
        for job in [job for job in self.manager.candidates if job != except_job]:
            actions = self.manager.step_down(job, boottime_us())
            self.publish(actions.events)
            if not actions.requests:
                continue
            with contextlib.suppress(StoreUnavailableError, TimeoutError):
                await asyncio.wait_for(self.store.submit(actions.requests, self.timing.lease_us), STOP_TIMEOUT_S)
                self._transport.broadcast(datagrams.LeaseReleased(job))

    async def close(self) -> None:
        """Closes the store. Errors are ignored, since the process is stopping."""
        with contextlib.suppress(Exception):
            await asyncio.wait_for(self.store.close(), STOP_TIMEOUT_S)

    # -- tasks -----------------------------------------------------------------------------------------

    async def _run_requests(self) -> None:
        tick_s = max(MIN_TICK_S, self.timing.lease_us * TICK_LEASE_FRACTION / SECOND_US)
        while True:
            for job, position in self._fence.positions.items():
                self.manager.raise_term_floor(job, position.term)
            actions = self.manager.tick(boottime_us())
            self.publish(actions.events)
            if actions.requests:
                self._tasks.run(self._submit(actions.requests))
            self._tick_now.clear()
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._tick_now.wait(), tick_s)

    async def _submit(self, requests: list[JobRequest]) -> None:
        timeout_s = self.timing.request_timeout_us / SECOND_US
        try:
            answers = await asyncio.wait_for(self.store.submit(requests, self.timing.lease_us), timeout_s)
        except (StoreUnavailableError, TimeoutError) as error:
            self.record_store_error(error)
            self.manager.handle_timeouts(requests, boottime_us())
        else:
            self.store_error = ""
            actions = self.manager.handle_answers(requests, answers, boottime_us())
            self.publish(actions.events)
            if actions.requests:
                self._tasks.run(self._submit(actions.requests))
        for job, _ in requests:
            for listener in self.answer_listeners:
                listener(job)

    async def _poll_leases(self) -> None:
        """Reads the leases of others periodically, so that the manager requests a job without a holder."""
        timeout_s = self.timing.request_timeout_us / SECOND_US
        interval_s = self.timing.lease_us * POLL_LEASE_FRACTION / SECOND_US
        poll_count = 0
        while True:
            poll_count += 1
            is_full_poll = poll_count % POLLS_PER_FULL_POLL == 0
            jobs = self.manager.jobs_to_poll(boottime_us(), is_full_poll)
            if jobs:
                with contextlib.suppress(StoreUnavailableError, TimeoutError):
                    leases = await asyncio.wait_for(self.store.leases(jobs), timeout_s)
                    self.manager.record_leases(jobs, leases, boottime_us())
            self._poll_now.clear()
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._poll_now.wait(), interval_s)

    async def _restore_fence(self) -> None:
        """Restores the fence from the terms in the store, unless the durable state has restored it."""
        while not self._fence.is_restored:
            try:
                leases = await self.store.leases()
                self._fence.restore({job: FencePosition(lease.term, 0) for job, lease in leases.items()})
            except StoreUnavailableError as error:
                self.record_store_error(error)
                await asyncio.sleep(STORE_RETRY_INTERVAL_S)

    def _on_lease_released(self, peer: int, message: datagrams.LeaseReleased) -> None:
        self.poll_now()


def _log_event(job: str, event: LeaseAcquired | LeaseLost) -> None:
    if isinstance(event, LeaseAcquired):
        logger.info("lease acquired", job=job, term=event.term)
    elif event.reason is LossReason.RELEASED:
        logger.info("lease released", job=job, term=event.term)
    else:
        logger.warning("lease lost", job=job, term=event.term, reason=event.reason)
