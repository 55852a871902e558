"""Observes coordination from outside: terms in the store itself, and effects in the datagrams of receivers."""

from __future__ import annotations

import asyncio

from ..coordination import datagrams
from .coordination_store import CoordinationStore
from .history import History
from .history_events import EffectAcknowledged, HeartbeatRejected, TermBegan
from .records import STORE, balancer_party

LEASE_POLL_S = 0.05
FIRST_COORDINATION_BYTE = b"\xf1"  # datagrams of coordination begin with this byte or a higher one


class CoordinationObserver:
    """Notes each term that begins and each acknowledgement that a balancer sends."""

    def __init__(self, store: CoordinationStore, history: History) -> None:
        self._store, self._history = store, history
        self._terms: dict[str, int] = {}
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Polls the store from now on."""
        self._task = asyncio.get_running_loop().create_task(self._watch_leases())

    def close(self) -> None:
        """Stops the polling."""
        if self._task:
            self._task.cancel()

    async def _watch_leases(self) -> None:
        while True:
            for job, lease in self._store.leases().items():
                if lease.term != self._terms.get(job):
                    self._terms[job] = lease.term
                    self._history.note(STORE, TermBegan(job, lease.term, lease.holder))
            await asyncio.sleep(LEASE_POLL_S)

    def observe_datagram(self, sender: int, receiver: int, data: bytes) -> None:
        """Notes an acknowledgement among the datagrams that a balancer sends, delivered or not."""
        message = datagrams.decode(data) if data[:1] >= FIRST_COORDINATION_BYTE else None
        if not isinstance(message, datagrams.Acknowledgement):
            return
        party = balancer_party(sender)
        if not message.sequence:
            self._history.note(party, HeartbeatRejected(message.job, message.term, message.highest_term))
            return
        effect = EffectAcknowledged(
            message.job,
            message.term,
            message.sequence,
            message.is_accepted,
            message.highest_term,
            message.verdict_sequence,
        )
        self._history.note(party, effect)
