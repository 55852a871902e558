"""The lease holder's part of override replication: commits proposals to the store, and sends overrides to all peers."""

from __future__ import annotations

import asyncio
import contextlib

from ..log import get_logger
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

logger = get_logger(__name__)

HEARTBEAT_INTERVAL_S = 1.0  # a third of `LIVENESS_TIMEOUT_US`
HOLDER_POLL_INTERVAL_S = 0.08  # as `FIRST_BACKOFF_US`, after which a retransmission is due
FOLLOWER_POLL_INTERVAL_S = 0.5
MAX_LOGGED_CHARACTERS = 100


class OverrideHolder:
    """Commits and sends overrides while this balancer holds the lease of the overrides' job.

    Before each write to the store and each datagram, `current_term` is checked again, since the lease may expire at any
    time.

    Attributes:
        has_work: set when there may be proposals to commit or overrides to send.
    """

    def __init__(self, context: CoordinationContext, applier: OverrideApplier) -> None:
        self.has_work = asyncio.Event()
        self._context = context
        self._applier = applier
        self._leases = context.leases
        self._retransmissions = Retransmissions()
        self._is_ready = False  # the store has been read and repaired in this term
        self._record_sequence = 0  # last sequence number of a record in this term
        self._datagram_sequence = 0  # last sequence number of an update sent by this incarnation
        self._last_heartbeat_s = 0.0
        self._must_repair_store = False  # a peer knows an override that the store has lost
        context.leases.event_listeners.append(self._on_lease_event)
        context.transport.register(datagrams.SyncRequest, self._on_sync_request)
        context.transport.register(datagrams.Acknowledgement, self._on_acknowledgement)
        context.transport.register(datagrams.KnownOverride, self._on_known_override)

    def start(self) -> None:
        """Starts the task that commits and sends overrides while the lease is held."""
        self._context.tasks.run(self._run())

    def is_holder(self) -> bool:
        """Returns whether the lease is held now."""
        return self._leases.current_term(OVERRIDES_JOB) is not None

    def _on_lease_event(self, job: str, event: LeaseAcquired | LeaseLost) -> None:
        if job == OVERRIDES_JOB:
            self._is_ready = False
            self._record_sequence = 0
            self._retransmissions.clear()
            if isinstance(event, LeaseAcquired):
                self.has_work.set()

    async def _run(self) -> None:
        while True:
            term = self._leases.current_term(OVERRIDES_JOB)
            if term is None:
                self.has_work.clear()  # at the start of its term, a new holder reads the store anyway
                interval_s = FOLLOWER_POLL_INTERVAL_S
            else:
                await self._work(term)
                interval_s = HOLDER_POLL_INTERVAL_S
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.has_work.wait(), interval_s)

    async def _work(self, term: int) -> None:
        """Commits proposals, and sends the heartbeats and updates that are due."""
        self._leases.record_work(OVERRIDES_JOB)
        await self._commit_if_due(term)
        if not self._is_ready:
            return
        now_s = asyncio.get_running_loop().time()
        if now_s - self._last_heartbeat_s >= HEARTBEAT_INTERVAL_S:
            self._last_heartbeat_s = now_s
            self._send_heartbeats()
        self._send_due_updates()

    async def _commit_if_due(self, term: int) -> None:
        if not self.has_work.is_set():
            return
        self.has_work.clear()
        try:
            await self._commit_proposals(term)
        except StoreUnavailableError as error:
            self._leases.record_store_error(error)

    # -- commits ---------------------------------------------------------------------------------------

    async def _commit_proposals(self, term: int) -> None:
        """Commits all proposals. Each record is written to the store before the override is sent to any peer.

        Raises:
            StoreUnavailableError: the store did not answer.
        """
        if not await self._ensure_ready(term):
            return
        for proposal_id, value in (await self._leases.store.proposals(OVERRIDES_JOB)).items():
            proposal = decode_pending(value)
            if self._leases.current_term(OVERRIDES_JOB) != term:
                return
            if proposal is None:
                logger.warning("malformed proposal ignored", value=value[:MAX_LOGGED_CHARACTERS])
            elif not await self._commit(term, proposal_id, proposal):
                return
        self._send_due_updates()

    async def _ensure_ready(self, term: int) -> bool:
        """Reads all records and repairs the store, once in each term and whenever the store has lost an override.

        Returns:
            False if the lease is lost.

        Raises:
            StoreUnavailableError: the store did not answer.
        """
        if self._is_ready and not self._must_repair_store:
            return True
        await read_records(self._leases.store, self._applier)
        self._fence_own_term(term)
        self._must_repair_store = False
        if not await self._repair_store(term):
            return False
        self._is_ready = True
        self._send_heartbeats()
        return True

    async def _commit(self, term: int, proposal_id: str, proposal: PendingOverride) -> bool:
        """Commits a proposal, or deletes it if it is already committed.

        Returns:
            False if the lease is lost.

        Raises:
            StoreUnavailableError: the store did not answer.
        """
        self._record_sequence += 1
        entry = OverrideEntry(proposal.is_suspended, Revision(term, self._record_sequence))
        incarnation, sequence = decode_pending_id(proposal_id)
        is_committed = sequence <= self._context.overrides.committed_up_to.get(incarnation, 0)
        # Without records, `put` only deletes the proposal.
        records = (
            {} if is_committed else {proposal.server_id: entry.encode(), incarnation_key(incarnation): str(sequence)}
        )
        if not await self._leases.store.put(OVERRIDES_JOB, term, self._record_sequence, records, proposal_id):
            logger.warning("record rejected by the lease store", job=OVERRIDES_JOB, term=term)
            self._leases.poll_now()
            return False
        if not is_committed:
            self._applier.merge_entry(proposal.server_id, entry)
            self._applier.record_committed(incarnation, sequence)
            self._applier.has_changes.set()
            self._send_to_all(proposal.server_id, entry)
        return True

    async def _repair_store(self, term: int) -> bool:
        """Commits again, with a new revision, each override that this balancer knows and the store has lost.

        Otherwise the balancers that know such an override and those that do not would never converge.

        Returns:
            False if the lease is lost.

        Raises:
            StoreUnavailableError: the store did not answer.
        """
        stored = await self._leases.store.records(OVERRIDES_JOB)
        for server_id, entry in self._context.overrides.entries_after(NO_REVISION):
            record = stored.get(server_id)
            if record is not None and Revision(record.term, record.sequence) >= entry.revision:
                continue
            self._record_sequence += 1
            recommitted = OverrideEntry(entry.is_suspended, Revision(term, self._record_sequence))
            if self._leases.current_term(OVERRIDES_JOB) != term:
                return False
            values = {server_id: recommitted.encode()}
            if not await self._leases.store.put(OVERRIDES_JOB, term, self._record_sequence, values):
                return False
            logger.warning(
                "override that the lease store had lost is committed again",
                server=server_id,
                suspended=entry.is_suspended,
            )
            self._applier.merge_entry(server_id, recommitted)
            self._send_to_all(server_id, recommitted)
        self._applier.has_changes.set()
        return True

    def _fence_own_term(self, term: int) -> None:
        """Raises this balancer's own fence to its term as holder, since a holder receives datagrams too.

        From then on, this balancer rejects datagrams of earlier holders.
        """
        self._context.fence.check_heartbeat(OVERRIDES_JOB, term)
        self._applier.mark_dirty()
        self._applier.has_changes.set()

    # -- datagrams -------------------------------------------------------------------------------------

    def _send_to_all(self, server_id: str, entry: OverrideEntry) -> None:
        for peer in self._context.membership.last_heard_us:
            self._retransmissions.add(peer, server_id, entry.revision, boottime_us())

    def _send_heartbeats(self) -> None:
        for peer in self._context.membership.last_heard_us:
            term = self._leases.current_term(OVERRIDES_JOB)
            if term is not None:
                digest = self._context.overrides.digest
                self._context.transport.send(peer, datagrams.HolderHeartbeat(OVERRIDES_JOB, term, digest))

    def _send_due_updates(self) -> None:
        for peer, server_id in self._retransmissions.start_due_sends(boottime_us()):
            entry = self._context.overrides.entries.get(server_id)
            term = self._leases.current_term(OVERRIDES_JOB)
            if entry is None or term is None:
                return
            self._datagram_sequence += 1
            update = datagrams.OverrideUpdate(
                OVERRIDES_JOB, term, self._datagram_sequence, entry.revision, entry.is_suspended, server_id
            )
            self._context.transport.send(peer, update)

    def _on_sync_request(self, peer: int, message: datagrams.SyncRequest) -> None:
        if not self.is_holder() or not self._is_ready:
            return
        revision = NO_REVISION if message.wants_all else message.up_to
        for server_id, entry in self._context.overrides.entries_after(revision):
            self._retransmissions.add(peer, server_id, entry.revision, boottime_us())
        self.has_work.set()

    def _on_acknowledgement(self, peer: int, message: datagrams.Acknowledgement) -> None:
        if message.is_accepted:
            self._retransmissions.acknowledge(peer, message.server_id, message.revision)
        elif message.highest_term > (self._leases.current_term(OVERRIDES_JOB) or message.highest_term):
            self._leases.handle_rejection(OVERRIDES_JOB, message.highest_term)

    def _on_known_override(self, peer: int, message: datagrams.KnownOverride) -> None:
        """Merges an override that a peer knows and this holder does not, since the store must have lost it."""
        entry = self._context.overrides.entries.get(message.server_id)
        revision = entry.revision if entry else NO_REVISION
        if self.is_holder() and self._is_ready and message.revision > revision:
            self._applier.merge_entry(message.server_id, OverrideEntry(message.is_suspended, message.revision))
            self._must_repair_store = True
            self.has_work.set()
