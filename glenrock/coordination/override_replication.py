"""Overrides for all: an operator's word at one balancer reaches every one, in one order, and is never lost."""

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

WATCH_TIMEOUT_S = 10.0
STORE_RETRY_S = 0.5
PROPOSE_INTERVAL_S = 0.5
REPOST_INTERVAL_S = 2.0
CONFIRM_TIMEOUT_MS = 700.0  # an operator waits so long for the word to be numbered: answers are due within 1 s
CONFIRM_POLL_MS = 10.0


class OverrideReplication:
    """What operators say here, and what the store has."""

    def __init__(self, context: CoordinationContext) -> None:
        self.applier = OverrideApplier(context)
        self.holder = OverrideHolder(context, self.applier)
        self.receiver = OverrideReceiver(context, self.applier)
        self._context = context
        self._leases = context.leases
        self._proposed = 0  # by this incarnation
        self._posted_s: dict[str, float] = {}  # proposals, and when last, on the loop's clock
        self._proposals_due = asyncio.Event()

    def start(self) -> None:
        """Begins to follow the store and to act."""
        self.applier.start()
        self.holder.start()
        self._context.tasks.run(self._follow_store())
        self._context.tasks.run(self._post_proposals())

    async def set_override(self, server: str, out: bool) -> None:
        """Out, or back, for all.

        Raises:
            OperationRejectedError: the override cannot be stored.
            OperationPendingError: the override is in effect and stored here, and not in the log yet.
        """
        overrides = self._context.overrides
        clock = self._context.host.clock
        self._proposed += 1
        pending_id = f"{self._context.holder}#{self._proposed}"
        overrides.add_pending(pending_id, server, out)
        if not await self._context.write_state():
            overrides.pending.pop(pending_id, None)
            raise OperationRejectedError("not done: what must not be forgotten cannot be written")
        await self.applier.carry_out(server, out)
        self._proposals_due.set()
        until_ms = clock.now() + CONFIRM_TIMEOUT_MS
        while pending_id in overrides.pending and clock.now() < until_ms:
            await clock.sleep(CONFIRM_POLL_MS)
        if pending_id not in overrides.pending:
            return
        reason = self._leases.store_error or "no owner has numbered it yet"
        raise OperationPendingError(
            f"done here and kept; the other balancers hear of it once the store answers: {reason}"
        )

    async def _follow_store(self) -> None:
        """Records as the store has them, and what the holder is asked for, as they change."""
        while True:
            try:
                await read_records(self._leases.store, self.applier)
                if self.holder.is_holder():
                    self.holder.work_due.set()
                await self._leases.store.wait_for_change(WATCH_TIMEOUT_S)
            except StoreUnavailableError as error:
                self._leases.record_store_error(error)
                await asyncio.sleep(STORE_RETRY_S)

    async def _post_proposals(self) -> None:
        """What operators said here goes to the store, however long that takes."""
        while True:
            self._proposals_due.clear()
            try:
                await self._post_pending()
            except StoreUnavailableError as error:
                self._leases.record_store_error(error)
            pending = self._context.overrides.pending
            self._posted_s = {id_: at for id_, at in self._posted_s.items() if id_ in pending}
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._proposals_due.wait(), PROPOSE_INTERVAL_S)

    async def _post_pending(self) -> None:
        """Raises StoreUnavailableError.

        A store that goes back in time forgets a proposal too. One that is not numbered is posted again; one that was is
        dropped by the holder, by its incarnation's count.
        """
        loop = asyncio.get_running_loop()
        for pending_id, pending in list(self._context.overrides.pending.items()):
            if loop.time() - self._posted_s.get(pending_id, -REPOST_INTERVAL_S) < REPOST_INTERVAL_S:
                continue
            await self._leases.store.propose(OVERRIDES_JOB, pending_id, pending.encode())
            self._posted_s[pending_id] = loop.time()
            self.holder.work_due.set()  # a store does not tell us of our own change
