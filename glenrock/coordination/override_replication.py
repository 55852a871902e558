"""Replicates operators' overrides: each takes effect at all balancers, in one order, and outlives restarts."""

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
PROPOSE_INTERVAL_S = 0.5
REPOST_INTERVAL_S = 2.0
CONFIRM_TIMEOUT_MS = 700.0  # for the commit; with a fast disk operators get an answer within 1 s
CONFIRM_POLL_MS = 10.0


class OverrideReplication:
    """The overrides submitted at this balancer, and those in the store.

    Attributes:
        applier: puts overrides into effect.
        holder: the work of the lease holder.
        receiver: the receiver of the lease holder's datagrams.
    """

    def __init__(self, context: CoordinationContext) -> None:
        self.applier = OverrideApplier(context)
        self.holder = OverrideHolder(context, self.applier)
        self.receiver = OverrideReceiver(context, self.applier)
        self._context = context
        self._leases = context.leases
        self._submitted_count = 0  # by this incarnation
        self._posted_s: dict[str, float] = {}  # by pending override, when it was last proposed to the store
        self._has_proposals = asyncio.Event()

    def start(self) -> None:
        """Starts the tasks."""
        self.applier.start()
        self.holder.start()
        self._context.tasks.run(self._follow_store())
        self._context.tasks.run(self._post_proposals())

    async def set_override(self, server_id: str, is_suspended: bool) -> None:
        """Takes a server out of rotation at all balancers, or back.

        Raises:
            OperationRejectedError: the override cannot be stored.
            OperationPendingError: the override is stored here, and not in the log yet. It is in effect here unless
                `override not applied` was logged.
        """
        overrides = self._context.overrides
        self._submitted_count += 1
        pending_id = PendingId(self._context.holder, self._submitted_count).encode()
        overrides.add_pending(pending_id, server_id, is_suspended)
        if not await self._context.state.write():
            overrides.pending.pop(pending_id, None)
            raise OperationRejectedError(f"not done: the state file {self._context.state.path} cannot be written")
        await self.applier.apply(server_id, is_suspended)
        self._has_proposals.set()
        if not await self._wait_for_commit(pending_id):
            reason = self._leases.store_error or "not committed by a lease holder yet"
            raise OperationPendingError(
                f"accepted and stored here; the other balancers get it once it is in the lease store: {reason}"
            )

    async def _wait_for_commit(self, pending_id: str) -> bool:
        """Returns whether the override is committed within CONFIRM_TIMEOUT_MS."""
        pending = self._context.overrides.pending
        clock = self._context.host.clock
        deadline_ms = clock.now_ms() + CONFIRM_TIMEOUT_MS
        while pending_id in pending and clock.now_ms() < deadline_ms:
            await clock.sleep(CONFIRM_POLL_MS)
        return pending_id not in pending

    async def _follow_store(self) -> None:
        """Reads the store's records, and wakes the holder for proposals, whenever the store changes."""
        while True:
            try:
                await read_records(self._leases.store, self.applier)
                if self.holder.is_holder():
                    self.holder.has_work.set()
                await self._leases.store.wait_for_change(WATCH_TIMEOUT_S)
            except StoreUnavailableError as error:
                self._leases.record_store_error(error)
                await asyncio.sleep(STORE_RETRY_S)

    async def _post_proposals(self) -> None:
        """Proposes pending overrides to the store, and retries until they are committed."""
        while True:
            self._has_proposals.clear()
            try:
                await self._post_pending()
            except StoreUnavailableError as error:
                self._leases.record_store_error(error)
            pending = self._context.overrides.pending
            self._posted_s = {id_: posted_s for id_, posted_s in self._posted_s.items() if id_ in pending}
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._has_proposals.wait(), PROPOSE_INTERVAL_S)

    async def _post_pending(self) -> None:
        """Proposes each pending override that was not proposed lately. Raises StoreUnavailableError.

        A store that is restored from an earlier state has lost proposals, so they are posted again. The holder drops a
        proposal that is committed already.
        """
        loop = asyncio.get_running_loop()
        for pending_id, pending in list(self._context.overrides.pending.items()):
            if loop.time() - self._posted_s.get(pending_id, -REPOST_INTERVAL_S) < REPOST_INTERVAL_S:
                continue
            await self._leases.store.propose(OVERRIDES_JOB, pending_id, pending.encode())
            self._posted_s[pending_id] = loop.time()
            self.holder.has_work.set()  # the store does not report this process's own change
