"""Replicates operators' overrides: each takes effect at all balancers, in the same order, and survives restarts."""

from __future__ import annotations

import asyncio
import contextlib

from ..operation_errors import OperationPendingError, OperationRejectedError
from .context import CoordinationContext
from .leases.store import StoreUnavailableError
from .override_applier import OverrideApplier
from .override_holder import OverrideHolder
from .override_receiver import OverrideReceiver
from .override_records import OVERRIDES_JOB, read_records
from .shared_work.override_log import PendingId

WATCH_TIMEOUT_S = 10.0
STORE_RETRY_S = 0.5
PROPOSAL_CHECK_INTERVAL_S = 0.5
PROPOSAL_RETRY_INTERVAL_S = 2.0
COMMIT_TIMEOUT_MS = 700.0  # so that operators get an answer within 1 s if the disk is fast
COMMIT_POLL_INTERVAL_MS = 10.0


class OverrideReplication:
    """Proposes the overrides submitted at this balancer to the store, and follows the overrides in the store.

    Attributes:
        applier: stores overrides and puts them into effect.
        holder: commits and sends overrides while this balancer holds the lease.
        receiver: receives the lease holder's datagrams.
    """

    def __init__(self, context: CoordinationContext) -> None:
        self.applier = OverrideApplier(context)
        self.holder = OverrideHolder(context, self.applier)
        self.receiver = OverrideReceiver(context, self.applier)
        self._context = context
        self._leases = context.leases
        self._submitted_count = 0  # overrides submitted by this incarnation
        self._last_proposed_s: dict[str, float] = {}  # by pending override, on the event loop's clock
        self._has_new_pending = asyncio.Event()

    def start(self) -> None:
        """Starts the tasks of the applier and the holder, and those that follow the store and propose overrides."""
        self.applier.start()
        self.holder.start()
        self._context.tasks.run(self._follow_store())
        self._context.tasks.run(self._run_proposals())

    async def set_override(self, server_id: str, is_suspended: bool) -> None:
        """Suspends a server at all balancers, or resumes it.

        Raises:
            OperationRejectedError: the override could not be written to this balancer's state file.
            OperationPendingError: the override is stored at this balancer but not committed yet. It is in effect at
                this balancer unless `override not applied` was logged.
        """
        overrides = self._context.overrides
        self._submitted_count += 1
        pending_id = PendingId(self._context.holder, self._submitted_count).encode()
        overrides.add_pending(pending_id, server_id, is_suspended)
        if not await self._context.state.write():
            overrides.pending.pop(pending_id, None)
            raise OperationRejectedError(f"not done: the state file {self._context.state.path} cannot be written")
        await self.applier.apply(server_id, is_suspended)
        self._has_new_pending.set()
        if not await self._wait_for_commit(pending_id):
            reason = self._leases.store_error or "not committed by a lease holder yet"
            raise OperationPendingError(
                f"accepted and stored at this balancer; the others get it once it is in the lease store: {reason}"
            )

    async def _wait_for_commit(self, pending_id: str) -> bool:
        """Waits until the override is committed. Returns False if it is not within COMMIT_TIMEOUT_MS."""
        pending = self._context.overrides.pending
        clock = self._context.host.clock
        deadline_ms = clock.now_ms() + COMMIT_TIMEOUT_MS
        while pending_id in pending and clock.now_ms() < deadline_ms:
            await clock.sleep(COMMIT_POLL_INTERVAL_MS)
        return pending_id not in pending

    async def _follow_store(self) -> None:
        """Reads the store's records whenever the store changes, and has the holder check for new proposals."""
        while True:
            try:
                await read_records(self._leases.store, self.applier)
                if self.holder.is_holder():
                    self.holder.has_work.set()
                await self._leases.store.wait_for_change(WATCH_TIMEOUT_S)
            except StoreUnavailableError as error:
                self._leases.record_store_error(error)
                await asyncio.sleep(STORE_RETRY_S)

    async def _run_proposals(self) -> None:
        """Proposes pending overrides to the store, and repeats each proposal until the override is committed."""
        while True:
            self._has_new_pending.clear()
            try:
                await self._propose_pending()
            except StoreUnavailableError as error:
                self._leases.record_store_error(error)
            pending = self._context.overrides.pending
            self._last_proposed_s = {id_: at_s for id_, at_s in self._last_proposed_s.items() if id_ in pending}
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._has_new_pending.wait(), PROPOSAL_CHECK_INTERVAL_S)

    async def _propose_pending(self) -> None:
        """Proposes each pending override that was not proposed within PROPOSAL_RETRY_INTERVAL_S.

        A store that was restored from a backup may have lost proposals, so they are repeated. The holder deletes a
        proposal that is already committed.

        Raises:
            StoreUnavailableError: the store did not answer.
        """
        loop = asyncio.get_running_loop()
        for pending_id, pending in list(self._context.overrides.pending.items()):
            last_s = self._last_proposed_s.get(pending_id, -PROPOSAL_RETRY_INTERVAL_S)
            if loop.time() - last_s < PROPOSAL_RETRY_INTERVAL_S:
                continue
            await self._leases.store.propose(OVERRIDES_JOB, pending_id, pending.encode())
            self._last_proposed_s[pending_id] = loop.time()
            self.holder.has_work.set()  # the store does not notify a process of its own changes
