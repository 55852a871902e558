"""At most k balancers drained by hand at a time: a ticket is a lease of its own, held by the one that drains.

Who can't prove its ticket drains no more, and takes clients again. A ticket outlives its process, so that a restart is
covered; the next incarnation gives it back once it serves, and time does where there is none.
"""

from __future__ import annotations

import asyncio
import contextlib

from ..log import say
from ..operation_errors import OperationRejectedError
from .context import CoordinationContext
from .durable_state import StoredPermit
from .leases.candidate import LeaseAcquired, LeaseLost
from .leases.store import Lease, StoreUnavailableError
from .membership import stable_hash

RETRY_S = 0.5
SERVES_POLL_S = 0.1
ANSWER_TIMEOUT_S = 0.8  # for all that a call asks of the store: operators are owed an answer within 1 s
WORK_ROUNDS_PER_LEASE = 4


def ticket_job(number: int) -> str:
    """The job of a ticket, a word of the store."""
    return f"turnstile/{number}"


class DrainLimiter:
    """This balancer's ticket. `permit`: its job; empty while there is none."""

    def __init__(self, context: CoordinationContext, tickets: int) -> None:
        self.permit = ""
        self._context = context
        self._leases = context.leases
        start = stable_hash(context.name) % tickets  # so that all who ask at once do not ask for the same
        self._jobs = [ticket_job((start + number) % tickets) for number in range(tickets)]
        self._answers: dict[str, asyncio.Future[bool]] = {}
        self._one_call = asyncio.Lock()
        context.leases.event_listeners.append(self._on_lease_event)
        context.leases.answer_listeners.append(self._on_answer)

    def start(self) -> None:
        """Gives back tickets of earlier incarnations, and keeps this one's alive."""
        self._context.tasks.run(self._give_back_old_tickets())
        self._context.tasks.run(self._record_work())

    async def acquire_permit(self) -> None:
        """Acquires a drain permit, unless one is held.

        Raises:
            OperationRejectedError: all permits are held by others, or the store does not answer in time.
        """
        async with self._one_call:
            if self.permit:
                return
            loop = asyncio.get_running_loop()
            until_s = loop.time() + ANSWER_TIMEOUT_S
            try:
                leases = await asyncio.wait_for(self._leases.store.leases(self._jobs), ANSWER_TIMEOUT_S)
            except (StoreUnavailableError, TimeoutError) as error:
                self._leases.record_store_error(error)
                raise OperationRejectedError(
                    f"not done: the store of tickets does not answer: {error or 'no answer in time'}"
                ) from error
            for job in self._jobs:
                lease = leases.get(job)
                if not (lease and lease.holder) and await self._acquire(job, until_s - loop.time()):
                    return
            raise OperationRejectedError(self._rejection_reason(leases))

    def _rejection_reason(self, leases: dict[str, Lease]) -> str:
        names = {lease.holder.partition("/")[0] for lease in leases.values() if lease.holder}
        holders = ", ".join(sorted(names)) or "just taken by others"
        return f"not done: {len(self._jobs)} may be drained at a time, and are: {holders}"

    def drain_permit_is_valid(self) -> bool:
        """Whether the ticket is held now; where it is not, the drain ends."""
        if self.permit and self._leases.current_term(self.permit) is None:
            self._lose("its term is over")
        return bool(self.permit)

    def release_permit(self) -> None:
        """Releases the permit, if one is held."""
        job, self.permit = self.permit, ""
        if job:
            self._context.state.permits.pop(job, None)
            self._context.tasks.run(self._write_state())
            self._leases.step_down(job)

    async def _write_state(self) -> None:
        await self._context.write_state()

    async def _acquire(self, job: str, within_s: float) -> bool:
        answer = self._answers[job] = asyncio.get_running_loop().create_future()
        self._leases.request_lease(job)
        try:
            acquired = await asyncio.wait_for(answer, max(0.0, within_s))
        except TimeoutError:
            acquired = False
        self._answers.pop(job, None)
        term = self._leases.current_term(job)
        if not acquired or term is None:
            self._leases.step_down(job)
            return False
        self._context.state.permits[job] = StoredPermit(self._context.holder, term)
        self.permit = job
        if await self._context.write_state() and self.drain_permit_is_valid():
            return True
        self.release_permit()
        return False

    def _on_answer(self, job: str) -> None:
        answer = self._answers.get(job)
        if answer and not answer.done():
            answer.set_result(self._leases.current_term(job) is not None)

    def _on_lease_event(self, job: str, event: LeaseAcquired | LeaseLost) -> None:
        if isinstance(event, LeaseLost) and job == self.permit:
            self._lose(event.reason)

    def _lose(self, reason: str) -> None:
        """Without the ticket another may be drained now."""
        say("ticket", f"{self.permit} is lost ({reason}): clients are taken again")
        self._leases.manager.requested_jobs.discard(self.permit)
        self.permit = ""
        with contextlib.suppress(OperationRejectedError):  # a stopping process ends no drain
            self._context.host.shutdown.end_manual_drain()

    async def _record_work(self) -> None:
        """A drain that goes on is work that is being done."""
        while True:
            if self.permit:
                self._leases.record_work(self.permit)
            await asyncio.sleep(self._leases.timing.lease_us / 1e6 / WORK_ROUNDS_PER_LEASE)

    async def _give_back_old_tickets(self) -> None:
        """Tickets of earlier incarnations, once clients are taken again."""
        tickets = self._context.state.permits
        old = dict(tickets)
        if not old:
            return
        while not self._serves():  # noqa: ASYNC110 - the host tells it by a flag
            await asyncio.sleep(SERVES_POLL_S)
        for job, ticket in old.items():
            await self._free(job, ticket)
            if tickets.get(job) == ticket:
                del tickets[job]
            say("ticket", f"{job}, term {ticket.term} of an earlier life is given back")
        await self._context.write_state()

    def _serves(self) -> bool:
        operators = self._context.host.operators
        return bool(operators and operators.operations.is_serving)

    async def _free(self, job: str, ticket: StoredPermit) -> None:
        while True:
            try:
                await self._leases.store.release_for(job, ticket.holder, ticket.term)
            except StoreUnavailableError as error:
                self._leases.record_store_error(error)
                await asyncio.sleep(RETRY_S)
            else:
                return
