"""The lease holder's side of overrides: numbers what operators propose, stores it, and tells all peers."""

from __future__ import annotations

import asyncio
import contextlib

from ..log import say
from . import datagrams
from .context import CoordinationContext
from .leases.candidate import LeaseAcquired, LeaseLost
from .leases.sqlite_store import boottime_us
from .leases.store import StoreUnavailableError
from .override_applier import OverrideApplier
from .override_records import OVERRIDES_JOB, read_records
from .shared_work.override_log import (
    OverrideEntry,
    PendingOverride,
    decode_pending,
    decode_pending_id,
    incarnation_key,
)
from .shared_work.retransmissions import Retransmissions
from .shared_work.revision import NO_REVISION, Revision

HEARTBEAT_INTERVAL_S = 1.0
HOLDER_INTERVAL_S, FOLLOWER_INTERVAL_S = 0.08, 0.5  # between two rounds


class OverrideHolder:
    """Acts only while the job's lease is proven, asked right before each effect leaves.

    Attributes:
        work_due: there may be proposals, or records to read.
    """

    def __init__(self, context: CoordinationContext, applier: OverrideApplier) -> None:
        self.work_due = asyncio.Event()
        self._context = context
        self._applier = applier
        self._leases = context.leases
        self._retransmissions = Retransmissions()
        self._ready = False  # the lease is held, and all records are read
        self._number = 0  # of records, in this term
        self._datagrams_sent = 0
        self._must_repair = False  # somebody knows overrides that the store has forgotten
        context.leases.event_listeners.append(self._on_lease_event)
        context.transport.register(datagrams.SyncRequest, self._on_sync_request)
        context.transport.register(datagrams.Acknowledgement, self._on_acknowledgement)
        context.transport.register(datagrams.KnownOverride, self._on_known_override)

    def start(self) -> None:
        """Begins to work whenever the lease is held."""
        self._context.tasks.run(self._run())

    def is_holder(self) -> bool:
        """Whether the lease is held now."""
        return self._leases.current_term(OVERRIDES_JOB) is not None

    def _on_lease_event(self, job: str, event: LeaseAcquired | LeaseLost) -> None:
        if job == OVERRIDES_JOB:
            self._ready = False
            self._number = 0
            self._retransmissions.clear()
            if isinstance(event, LeaseAcquired):
                self.work_due.set()

    async def _run(self) -> None:
        last_heartbeat = 0.0
        loop = asyncio.get_running_loop()
        while True:
            term = self._leases.current_term(OVERRIDES_JOB)
            if term is not None:
                self._leases.record_work(OVERRIDES_JOB)
                await self._work_if_due(term)
                if self._ready:
                    if loop.time() - last_heartbeat >= HEARTBEAT_INTERVAL_S:
                        last_heartbeat = loop.time()
                        self._send_heartbeats()
                    self._retransmit()
            else:
                self.work_due.clear()  # what a new holder finds to do it asks the store for
            interval_s = HOLDER_INTERVAL_S if term is not None else FOLLOWER_INTERVAL_S
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.work_due.wait(), interval_s)

    async def _work_if_due(self, term: int) -> None:
        if not self.work_due.is_set():
            return
        self.work_due.clear()
        try:
            await self._number_proposals(term)
        except StoreUnavailableError as error:
            self._leases.record_store_error(error)

    # -- numbering -------------------------------------------------------------------------------------

    async def _number_proposals(self, term: int) -> None:
        """The record first, in the name of the term; only then is anybody told."""
        if not await self._prepare(term):
            return
        for proposal_id, value in (await self._leases.store.proposals(OVERRIDES_JOB)).items():
            proposal = decode_pending(value)
            if self._leases.current_term(OVERRIDES_JOB) != term:
                return
            if proposal is None:
                say("fleet", f"a wish that cannot be read is left aside: {value!r:.100}")
            elif not await self._number_proposal(term, proposal_id, proposal):
                return
        self._retransmit()

    async def _prepare(self, term: int) -> bool:
        """Reads all records, once a term and after a store has forgotten some. False where the lease was lost."""
        if self._ready and not self._must_repair:
            return True
        await read_records(self._leases.store, self._applier)
        self._fence_own_term(term)
        self._must_repair = False
        if not await self._repair_store(term):
            return False
        self._ready = True
        self._send_heartbeats()
        return True

    async def _number_proposal(self, term: int, proposal_id: str, proposal: PendingOverride) -> bool:
        """False where the store refused the record."""
        self._number += 1
        entry = OverrideEntry(proposal.is_suspended, Revision(term, self._number))
        incarnation, count = decode_pending_id(proposal_id)
        posted_again = count <= self._context.overrides.committed_up_to.get(incarnation, 0)  # though it had counted
        records = {} if posted_again else {proposal.server: entry.encode(), incarnation_key(incarnation): str(count)}
        if not await self._leases.store.put(OVERRIDES_JOB, term, self._number, records, proposal_id):
            say("fleet", f"the store refused a record of term {term}")
            self._leases.watch_now()
            return False
        if not posted_again:
            self._applier.take(proposal.server, entry)
            self._applier.record_committed(incarnation, count)
            self._applier.unsettled.set()
            self._tell_all(proposal.server, entry)
        return True

    async def _repair_store(self, term: int) -> bool:
        """A store that went back in time is told again what was said, under this term. False where the lease was lost.

        Without it, who has heard the overrides and who has not would each be right for ever.
        """
        stored = await self._leases.store.records(OVERRIDES_JOB)
        for server, entry in self._context.overrides.entries_after(NO_REVISION):
            record = stored.get(server)
            if record is not None and Revision(record.term, record.sequence) >= entry.revision:
                continue
            self._number += 1
            renewed = OverrideEntry(entry.is_suspended, Revision(term, self._number))
            if self._leases.current_term(OVERRIDES_JOB) != term:
                return False
            values = {server: renewed.encode()}
            if not await self._leases.store.put(OVERRIDES_JOB, term, self._number, values):
                return False
            say("fleet", f"{server}: the store had forgotten that it is {'out' if entry.is_suspended else 'back'}")
            self._applier.take(server, renewed)
            self._tell_all(server, renewed)
        self._applier.unsettled.set()
        return True

    def _fence_own_term(self, term: int) -> None:
        """A holder is a receiver too: it takes nothing of a lower term any more."""
        self._context.fence.check_heartbeat(OVERRIDES_JOB, term)
        self._applier.mark_dirty()
        self._applier.unsettled.set()

    # -- telling ---------------------------------------------------------------------------------------

    def _tell_all(self, server: str, entry: OverrideEntry) -> None:
        for peer in self._context.membership.heard_us:
            self._retransmissions.add(peer, server, entry.revision, boottime_us())

    def _send_heartbeats(self) -> None:
        for peer in self._context.membership.heard_us:
            term = self._leases.current_term(OVERRIDES_JOB)
            if term is not None:
                digest = self._context.overrides.digest
                self._context.transport.send(peer, datagrams.LeaderHeartbeat(OVERRIDES_JOB, term, digest))

    def _retransmit(self) -> None:
        for peer, server in self._retransmissions.start_due_sends(boottime_us()):
            entry = self._context.overrides.entries.get(server)
            term = self._leases.current_term(OVERRIDES_JOB)
            if entry is None or term is None:
                return
            self._datagrams_sent += 1
            update = datagrams.OverrideUpdate(
                OVERRIDES_JOB, term, self._datagrams_sent, entry.revision, entry.is_suspended, server
            )
            self._context.transport.send(peer, update)

    def _on_sync_request(self, peer: int, message: datagrams.SyncRequest) -> None:
        if not self.is_holder() or not self._ready:
            return
        revision = NO_REVISION if message.wants_all else message.up_to
        for server, entry in self._context.overrides.entries_after(revision):
            self._retransmissions.add(peer, server, entry.revision, boottime_us())
        self.work_due.set()

    def _on_acknowledgement(self, peer: int, message: datagrams.Acknowledgement) -> None:
        if message.is_accepted:
            self._retransmissions.acknowledge(peer, message.server, message.revision)
        elif message.highest_term > (self._leases.current_term(OVERRIDES_JOB) or message.highest_term):
            self._leases.handle_rejection(OVERRIDES_JOB, message.highest_term)

    def _on_known_override(self, peer: int, message: datagrams.KnownOverride) -> None:
        """An override of a higher revision than the store's own is one that the store has forgotten."""
        entry = self._context.overrides.entries.get(message.server)
        known = entry.revision if entry else NO_REVISION
        if self.is_holder() and self._ready and message.revision > known:
            self._applier.take(message.server, OverrideEntry(message.is_suspended, message.revision))
            self._must_repair = True
            self.work_due.set()
