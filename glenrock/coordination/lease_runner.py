"""Leases of this process: makes the lease manager's requests to the store, and tells what was acquired and lost."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable

from ..log import say
from . import datagrams
from .background_tasks import BackgroundTasks
from .leases.candidate import STEPPED_DOWN, LeaseAcquired, LeaseLost, LeaseTiming
from .leases.fence import Fence
from .leases.lease_manager import JobEvent, JobRequest, LeaseManager
from .leases.sqlite_store import boottime_us
from .leases.store import LeaseStore, StoreUnavailableError
from .transport import DatagramTransport

SECOND_US = 1_000_000
TICK_SHARE, MIN_TICK_S = 0.0125, 0.02  # of a lease, between two looks at the clock; renewals come long before an end
WATCH_SHARE = 0.2  # of a lease, between two looks at who holds what
FULL_WATCH_EACH = 5  # of these looks one is at every job, not at those alone that are this one's to take
STORE_RETRY_S = 0.5  # after the store was not there
STOP_TIMEOUT_S = 0.3  # for each call to the store while the process ends

EventListener = Callable[[str, LeaseAcquired | LeaseLost], None]


class LeaseRunner:
    """Runs the leases of one process.

    Attributes:
        store_error: why the store could not be asked last; empty while it answers.
        event_listeners: hear what was acquired and lost. `answer_listeners`: hear of each job that was asked for.
        manager: decides on requests.
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
        self.answer_listeners: list[Callable[[str], None]] = []
        self.store_error = "not asked yet"
        self._fence = fence
        self._transport = transport
        self._tasks = tasks
        self._tick_now = asyncio.Event()
        self._watch_now = asyncio.Event()
        transport.register(datagrams.JobReleased, self._on_job_released)

    def start(self) -> None:
        """Begins to ask for leases."""
        for work in (self._run_requests, self._watch_leases, self._learn_terms):
            self._tasks.run(work())

    def current_term(self, job: str) -> int | None:
        """The term in which an effect may leave now, asked right before each; None where the lease is not held."""
        return self.manager.current_term(job, boottime_us())

    def want(self, job: str) -> None:
        """Asks for a job's lease at once."""
        self.manager.want(job, boottime_us())
        self._tick_now.set()

    def watch_soon(self) -> None:
        """Who holds what may have changed."""
        self._watch_now.set()

    def step_down(self, job: str) -> None:
        """Gives a lease back."""
        outcome = self.manager.step_down(job, boottime_us())
        self.publish(outcome.events)
        if outcome.requests:
            self._tasks.run(self._submit(outcome.requests))

    def refused(self, job: str, seen_term: int) -> None:
        """A receiver has seen a higher term."""
        self.publish(self.manager.refused(job, boottime_us(), seen_term))

    def record_work(self, job: str) -> None:
        """The work of a job went round once more."""
        self.manager.record_work(job, boottime_us())

    def record_store_error(self, error: object) -> None:
        """The store could not be asked: nothing that clients wait for waits for it."""
        self.store_error = str(error) or "no answer in time"
        say("fleet", f"the store: {self.store_error}; jobs rest, clients are served on")

    def publish(self, events: list[JobEvent]) -> None:
        """Tells of leases that were acquired or lost."""
        for job, event in events:
            reason = event.reason if isinstance(event, LeaseLost) else ""
            say("owner", f"{job}: term {event.term} {f'ends: {reason}' if reason else 'begins'}")
            for listener in self.event_listeners:
                listener(job, event)
            if reason == STEPPED_DOWN:
                self._transport.broadcast(datagrams.JobReleased(job))

    async def stop(self, keep: str) -> None:
        """Gives all leases back, but for one job's."""
        for job in [job for job in self.manager.candidates if job != keep]:
            outcome = self.manager.step_down(job, boottime_us())
            self.publish(outcome.events)
            if not outcome.requests:
                continue
            with contextlib.suppress(StoreUnavailableError, TimeoutError):
                await asyncio.wait_for(self.store.submit(outcome.requests, self.timing.lease_us), STOP_TIMEOUT_S)
                self._transport.broadcast(datagrams.JobReleased(job))

    async def close(self) -> None:
        """Closes the store."""
        with contextlib.suppress(Exception):
            await asyncio.wait_for(self.store.close(), STOP_TIMEOUT_S)

    # -- loops -----------------------------------------------------------------------------------------

    async def _run_requests(self) -> None:
        tick_s = max(MIN_TICK_S, self.timing.lease_us * TICK_SHARE / SECOND_US)
        while True:
            for job, mark in self._fence.positions.items():
                self.manager.require_above(job, mark.term)
            outcome = self.manager.tick(boottime_us())
            self.publish(outcome.events)
            if outcome.requests:
                self._tasks.run(self._submit(outcome.requests))
            self._tick_now.clear()
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._tick_now.wait(), tick_s)

    async def _submit(self, requests: list[JobRequest]) -> None:
        timeout_s = self.timing.request_timeout_us / SECOND_US
        try:
            granted = await asyncio.wait_for(self.store.submit(requests, self.timing.lease_us), timeout_s)
        except (StoreUnavailableError, TimeoutError) as error:
            self.record_store_error(error)
            self.manager.unanswered(requests, boottime_us())
        else:
            self.store_error = ""
            outcome = self.manager.answered(requests, granted, boottime_us())
            self.publish(outcome.events)
            if outcome.requests:
                self._tasks.run(self._submit(outcome.requests))
        for job, _ in requests:
            for listener in self.answer_listeners:
                listener(job)

    async def _watch_leases(self) -> None:
        """Who holds what, so that a job that comes free is taken."""
        timeout_s = self.timing.request_timeout_us / SECOND_US
        count = 0
        while True:
            count += 1
            jobs = self.manager.jobs_to_watch(boottime_us(), every=count % FULL_WATCH_EACH == 0)
            if jobs:
                with contextlib.suppress(StoreUnavailableError, TimeoutError):
                    leases = await asyncio.wait_for(self.store.leases(jobs), timeout_s)
                    self.manager.observed(jobs, leases, boottime_us())
            self._watch_now.clear()
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._watch_now.wait(), self.timing.lease_us * WATCH_SHARE / SECOND_US)

    async def _learn_terms(self) -> None:
        """A fence whose memory is lost takes nothing until the store has said which terms there were."""
        while not self._fence.is_restored:
            try:
                leases = await self.store.leases()
                self._fence.restore({job: (lease.term, 0) for job, lease in leases.items()})
            except StoreUnavailableError as error:
                self.record_store_error(error)
                await asyncio.sleep(STORE_RETRY_S)

    def _on_job_released(self, peer: int, message: datagrams.JobReleased) -> None:
        self.watch_soon()
