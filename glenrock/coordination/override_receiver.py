"""The receiver's part of override replication: checks the holder's datagrams against the fence, and answers them."""

from __future__ import annotations

from typing import NamedTuple

from ..log import get_logger
from . import datagrams
from .context import CoordinationContext
from .leases.fence import FenceVerdict
from .override_applier import OverrideApplier
from .shared_work.override_log import OverrideEntry
from .shared_work.revision import NO_REVISION, Revision

logger = get_logger(__name__)

MAX_KNOWN_OVERRIDES = 64  # sent to the holder at once, if the digests still differ after a sync
MAX_REJECTIONS = 50  # shown in the operators' view
NO_SERVER = "-"  # server name in the rejection of a heartbeat; the datagram's server name must not be empty


class Rejection(NamedTuple):
    """An update or heartbeat that the fence rejected.

    Attributes:
        at_ms: when it was rejected, in Unix milliseconds.
        peer: index of the sender.
        job: the job.
        term: the sender's term.
        highest_term: the highest term seen by this balancer.
        reason: why it was rejected, for operators.
    """

    at_ms: int
    peer: int
    job: str
    term: int
    highest_term: int
    reason: str


class _Digests(NamedTuple):
    """The digests of the holder's override log and of this balancer's override log."""

    holder: int
    own: int


class OverrideReceiver:
    """Receives the lease holder's datagrams.

    Attributes:
        rejections: the last updates and heartbeats that were rejected, oldest first.
    """

    def __init__(self, context: CoordinationContext, applier: OverrideApplier) -> None:
        self.rejections: list[Rejection] = []
        self._context = context
        self._applier = applier
        self._verdict_count = 0
        self._synced_digests: _Digests | None = None  # at the time of the last sync request
        context.transport.register(datagrams.HolderHeartbeat, self._on_heartbeat)
        context.transport.register(datagrams.OverrideUpdate, self._on_update)

    def _on_heartbeat(self, peer: int, message: datagrams.HolderHeartbeat) -> None:
        fence = self._context.fence
        before = fence.positions.get(message.job)
        verdict = fence.check_heartbeat(message.job, message.term)
        if not verdict.is_accepted:
            self._record_rejection(peer, message.job, message.term, verdict)
            self._acknowledge(peer, message.job, message.term, verdict)
            return
        if fence.positions.get(message.job) != before:
            self._applier.mark_dirty()
        if message.digest != self._context.overrides.digest:
            self._request_sync(peer, message)

    def _request_sync(self, peer: int, message: datagrams.HolderHeartbeat) -> None:
        """Requests the overrides after the highest known revision.

        If the digests are unchanged since the last request, the sync that it asked for was not enough. In that case,
        all overrides are requested, and this balancer's own are sent to the holder, which may lack some of them.
        """
        overrides = self._context.overrides
        digests = _Digests(message.digest, overrides.digest)
        wants_all = self._synced_digests == digests
        self._applier.reply(
            peer, datagrams.SyncRequest(message.job, message.term, overrides.highest_revision, wants_all)
        )
        if wants_all:
            for server_id, entry in overrides.entries_after(NO_REVISION)[-MAX_KNOWN_OVERRIDES:]:
                known = datagrams.KnownOverride(message.job, entry.revision, entry.is_suspended, server_id)
                self._applier.reply(peer, known)
        self._synced_digests = digests

    def _on_update(self, peer: int, message: datagrams.OverrideUpdate) -> None:
        verdict = self._context.fence.check_effect(message.job, message.term, message.sequence)
        if verdict.is_accepted:
            self._applier.merge_entry(message.server_id, OverrideEntry(message.is_suspended, message.revision))
            self._applier.mark_dirty()
        else:
            self._record_rejection(peer, message.job, message.term, verdict)
        self._acknowledge(
            peer, message.job, message.term, verdict, message.sequence, message.revision, message.server_id
        )

    def _acknowledge(
        self,
        peer: int,
        job: str,
        term: int,
        verdict: FenceVerdict,
        sequence: int = 0,
        revision: Revision = NO_REVISION,
        server_id: str = NO_SERVER,
    ) -> None:
        """Replies with the verdict on an update or a heartbeat.

        The last three arguments describe an update; for a heartbeat they keep their defaults.
        """
        self._verdict_count += 1
        acknowledgement = datagrams.Acknowledgement(
            job=job,
            is_accepted=verdict.is_accepted,
            highest_term=verdict.highest_term,
            term=term,
            sequence=sequence,
            revision=revision,
            verdict_sequence=self._verdict_count,
            server_id=server_id,
        )
        self._applier.reply(peer, acknowledgement)

    def _record_rejection(self, peer: int, job: str, term: int, verdict: FenceVerdict) -> None:
        at_ms = round(self._context.host.clock.now_ms())
        self.rejections.append(Rejection(at_ms, peer, job, term, verdict.highest_term, verdict.reason))
        del self.rejections[:-MAX_REJECTIONS]
        logger.warning("datagram of a lease holder rejected", peer=peer, job=job, term=term, reason=verdict.reason)
