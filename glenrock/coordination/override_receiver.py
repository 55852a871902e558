"""A receiver's side of overrides: what it takes of whoever says that it holds the lease."""

from __future__ import annotations

from typing import NamedTuple

from ..log import say
from . import datagrams
from .context import CoordinationContext
from .leases.fence import FenceVerdict
from .override_applier import OverrideApplier
from .shared_work.override_log import OverrideEntry
from .shared_work.revision import NO_REVISION

MAX_KNOWN_TOLD = 64  # overrides told to a holder that lacks some, each second
MAX_REFUSALS = 50  # kept to be shown
NO_SERVER = "-"  # in the answer to a heartbeat


class Rejection(NamedTuple):
    """An effect or heartbeat that was rejected."""

    at_ms: int
    peer: int
    job: str
    term: int
    highest_term: int
    reason: str


class _Digests(NamedTuple):
    theirs: int
    ours: int


class OverrideReceiver:
    """Fences what comes. `rejections`: the last ones."""

    def __init__(self, context: CoordinationContext, applier: OverrideApplier) -> None:
        self.rejections: list[Rejection] = []
        self._context = context
        self._applier = applier
        self._judged = 0  # datagrams, by their order in this process
        self._asked_for_all: _Digests | None = None  # when all was asked for last
        context.transport.register(datagrams.LeaderHeartbeat, self._on_heartbeat)
        context.transport.register(datagrams.OverrideUpdate, self._on_update)

    def _on_heartbeat(self, peer: int, message: datagrams.LeaderHeartbeat) -> None:
        fence = self._context.fence
        before = fence.positions.get(message.job)
        verdict = fence.check_heartbeat(message.job, message.term)
        if not verdict.is_accepted:
            self._refuse(peer, message.job, message.term, verdict)
            answer = datagrams.Acknowledgement(
                message.job, False, verdict.highest_term, message.term, 0, NO_REVISION, self._next_order(), NO_SERVER
            )
            self._applier.reply(peer, answer)
            return
        if fence.positions.get(message.job) != before:
            self._applier.mark_dirty()
        if message.digest != self._context.overrides.digest:
            self._ask_for_missing(peer, message)

    def _ask_for_missing(self, peer: int, message: datagrams.LeaderHeartbeat) -> None:
        """Up to the last that is known first; where that did not help, an override in between was missed."""
        overrides = self._context.overrides
        digests = _Digests(message.digest, overrides.digest)
        asked_before = self._asked_for_all == digests
        request = datagrams.SyncRequest(message.job, message.term, overrides.last, asked_before)
        self._applier.reply(peer, request)
        if asked_before:
            for server, entry in overrides.entries_after(NO_REVISION)[-MAX_KNOWN_TOLD:]:
                known = datagrams.KnownOverride(message.job, entry.revision, entry.is_suspended, server)
                self._applier.reply(peer, known)
        self._asked_for_all = digests

    def _on_update(self, peer: int, message: datagrams.OverrideUpdate) -> None:
        verdict = self._context.fence.check_effect(message.job, message.term, message.sequence)
        if verdict.is_accepted:
            self._applier.take(message.server, OverrideEntry(message.is_suspended, message.revision))
            self._applier.mark_dirty()
        else:
            self._refuse(peer, message.job, message.term, verdict)
        answer = datagrams.Acknowledgement(
            message.job,
            verdict.is_accepted,
            verdict.highest_term,
            message.term,
            message.sequence,
            message.revision,
            self._next_order(),
            message.server,
        )
        self._applier.reply(peer, answer)

    def _refuse(self, peer: int, job: str, term: int, verdict: FenceVerdict) -> None:
        at_ms = round(self._context.host.clock.now())
        self.rejections.append(Rejection(at_ms, peer, job, term, verdict.highest_term, verdict.reason))
        del self.rejections[:-MAX_REFUSALS]
        say("refused", f"balancer {peer}, {job}, term {term}: {verdict.reason}")

    def _next_order(self) -> int:
        self._judged += 1
        return self._judged
