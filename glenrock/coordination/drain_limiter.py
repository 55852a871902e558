"""Limits how many balancers drain at a time on operators' calls. A drain permit is a lease that a balancer holds.

A balancer that loses its drain permit stays drained, since its front end has been told so, and goes on requesting the
permit. Until it has it again, more balancers may drain than there are permits.

A permit is not released when the process ends, so that it covers a restart: the next incarnation releases it once it
serves clients. If none does, the permit expires.
"""

from __future__ import annotations

import asyncio

from ..log import get_logger
from ..operation_errors import OperationRejectedError
from .context import CoordinationContext
from .durable_state import StoredPermit
from .leases.candidate import LeaseAcquired, LeaseLost, LossReason
from .leases.store import Lease, StoreUnavailableError
from .membership import stable_hash

logger = get_logger(__name__)

SECOND_US = 1_000_000
STORE_RETRY_INTERVAL_S = 0.5
SERVING_POLL_INTERVAL_S = 0.1
ACQUIRE_TIMEOUT_S = 0.8  # for the store; on a fast disk, operators then get an answer within 1 s
WORK_RECORDS_PER_LEASE = 4  # how often a drain is recorded as work in a lease duration


def permit_job(index: int) -> str:
    """Returns the name of a drain permit's job in the store."""
    return f"turnstile/{index}"


class DrainLimiter:
    """The drain permit of this balancer.

    Attributes:
        permit_job: the job of the permit that is held; None if there is none.
        lost_job: the job of a permit that was lost in a drain, and is requested again; None if there is none.
    """

    def __init__(self, context: CoordinationContext, max_permits: int) -> None:
        self.permit_job: str | None = None
        self.lost_job: str | None = None
        self._context = context
        self._leases = context.leases
        self._stored_permits = context.state.permits
        # Balancers start at different permits, so that simultaneous calls at several of them do not compete for one.
        first_index = stable_hash(context.name) % max_permits
        self._jobs = [permit_job((first_index + offset) % max_permits) for offset in range(max_permits)]
        self._pending_answers: dict[str, asyncio.Future[bool]] = {}
        self._call_lock = asyncio.Lock()
        context.leases.event_listeners.append(self._on_lease_event)
        context.leases.answer_listeners.append(self._on_answer)

    def start(self) -> None:
        """Starts the tasks that release permits of earlier incarnations and keep this one's permit.

        A drain that was taken over in an upgrade requests a permit: that of the predecessor ends with its lease.
        """
        if self._context.host.drain.is_manually_draining:
            self.lost_job = self._jobs[0]
            self._leases.request_lease(self.lost_job)
        self._context.tasks.run(self._release_old_permits())
        self._context.tasks.run(self._record_work())

    # -- operators' calls ------------------------------------------------------------------------------

    async def acquire_permit(self) -> None:
        """Acquires a drain permit, unless one is held.

        Raises:
            OperationRejectedError: others hold all permits, the store does not answer in time, or the permit cannot be
                stored on disk.
        """
        async with self._call_lock:
            if self.permit_job:
                return
            loop = asyncio.get_running_loop()
            deadline_s = loop.time() + ACQUIRE_TIMEOUT_S
            leases = await self._read_leases()
            for job in self._jobs:
                lease = leases.get(job)
                is_free = not (lease and lease.holder)
                if is_free and await self._acquire(job, deadline_s - loop.time()):
                    return
            raise OperationRejectedError(self._rejection_reason(leases))

    def release_permit(self) -> None:
        """Releases the permit if one is held, and stops requesting one that was lost."""
        job = self.permit_job or self.lost_job
        self.permit_job = self.lost_job = None
        if job:
            self._stored_permits.pop(job, None)
            self._context.tasks.run(self._context.state.write())
            self._leases.step_down(job)

    async def _read_leases(self) -> dict[str, Lease]:
        """Returns the leases of all permits. Raises OperationRejectedError if the store does not answer in time."""
        try:
            return await asyncio.wait_for(self._leases.store.leases(self._jobs), ACQUIRE_TIMEOUT_S)
        except (StoreUnavailableError, TimeoutError) as error:
            self._leases.record_store_error(error)
            raise OperationRejectedError(
                f"not done: the lease store does not answer: {error or 'no answer in time'}"
            ) from error

    def _rejection_reason(self, leases: dict[str, Lease]) -> str:
        names = {lease.holder.partition("/")[0] for lease in leases.values() if lease.holder}
        if not names:
            return "not done: no drain permit was acquired"
        return (
            f"not done: at most {len(self._jobs)} may drain at a time; permits are held by {', '.join(sorted(names))}"
        )

    async def _acquire(self, job: str, timeout_s: float) -> bool:
        """Acquires a permit and records it on disk. Returns whether the permit is held."""
        answer = self._pending_answers[job] = asyncio.get_running_loop().create_future()
        self._leases.request_lease(job)
        try:
            is_acquired = await asyncio.wait_for(answer, max(0.0, timeout_s))
        except TimeoutError:
            is_acquired = False
        self._pending_answers.pop(job, None)
        term = self._leases.current_term(job)
        if not is_acquired or term is None:
            self._leases.step_down(job)
            return False
        self._hold_permit(job, term)
        if await self._context.state.write() and self._leases.current_term(job) == term:
            return True
        self.release_permit()
        return False

    def _hold_permit(self, job: str, term: int) -> None:
        self._stored_permits[job] = StoredPermit(self._context.holder, term)
        self.permit_job = job
        self.lost_job = None

    # -- events of the lease ---------------------------------------------------------------------------

    def _on_answer(self, job: str) -> None:
        answer = self._pending_answers.get(job)
        if answer and not answer.done():
            answer.set_result(self._leases.current_term(job) is not None)

    def _on_lease_event(self, job: str, event: LeaseAcquired | LeaseLost) -> None:
        if isinstance(event, LeaseLost) and job == self.permit_job:
            self._lose_permit(job, event.reason)
        elif isinstance(event, LeaseAcquired) and job == self.lost_job:
            self._regain_permit(job, event.term)
        elif isinstance(event, LeaseAcquired) and job in self._jobs and job not in self._pending_answers:
            self._leases.step_down(job)  # granted after the drain had ended, or after the call was rejected

    def _lose_permit(self, job: str, reason: LossReason) -> None:
        """Requests the permit again if the drain goes on: only an operator ends a drain."""
        drain = self._context.host.drain
        goes_on = drain.is_manually_draining and not drain.is_stopping
        logger.warning("drain permit lost", job=job, reason=reason, requested_again=goes_on)
        self.permit_job = None
        if goes_on:
            self.lost_job = job
        else:
            self._leases.stop_requesting(job)

    def _regain_permit(self, job: str, term: int) -> None:
        logger.info("drain permit acquired again", job=job, term=term)
        self._hold_permit(job, term)
        self._context.tasks.run(self._context.state.write())

    # -- tasks -----------------------------------------------------------------------------------------

    async def _record_work(self) -> None:
        """Records a drain as work periodically, so that the lease manager does not release the permit."""
        while True:
            if self.permit_job:
                self._leases.record_work(self.permit_job)
            await asyncio.sleep(self._leases.timing.lease_us / SECOND_US / WORK_RECORDS_PER_LEASE)

    async def _release_old_permits(self) -> None:
        """Releases the permits of earlier incarnations once this one serves clients and is not drained."""
        old_permits = dict(self._stored_permits)
        if not old_permits:
            return
        while not self._is_serving():  # noqa: ASYNC110 - the host offers a flag, not an event
            await asyncio.sleep(SERVING_POLL_INTERVAL_S)
        for job, permit in old_permits.items():
            await self._release_for(job, permit)
            if self._stored_permits.get(job) == permit:
                del self._stored_permits[job]
            logger.info("drain permit of an earlier incarnation released", job=job, term=permit.term)
        await self._context.state.write()

    def _is_serving(self) -> bool:
        operators = self._context.host.operators
        is_drained = self._context.host.drain.is_manually_draining
        return bool(operators and operators.operations.is_serving and not is_drained)

    async def _release_for(self, job: str, permit: StoredPermit) -> None:
        """Releases a permit of an earlier incarnation; retries until the store answers."""
        while True:
            try:
                await self._leases.store.release_for(job, permit.holder, permit.term)
            except StoreUnavailableError as error:
                self._leases.record_store_error(error)
                await asyncio.sleep(STORE_RETRY_INTERVAL_S)
            else:
                return
