"""Observes coordination from outside: terms in the store itself, and effects in the datagrams of receivers."""

from __future__ import annotations

import asyncio

from ..coordination import datagrams
from .coordination_store import CoordinationStore
from .history import EventKind, History

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
                    self._history.note("store", EventKind.TERM_BEGAN, job=job, term=lease.term, holder=lease.holder)
            await asyncio.sleep(LEASE_POLL_S)

    def observe_datagram(self, sender: int, receiver: int, data: bytes) -> None:
        """Notes an acknowledgement among the datagrams that a balancer sends, delivered or not."""
        message = datagrams.decode(data) if data[:1] >= FIRST_COORDINATION_BYTE else None
        if not isinstance(message, datagrams.Acknowledgement):
            return
        party = f"balancer:{sender}"
        if not message.sequence:
            self._history.note(
                party, EventKind.MARK_REJECTED, job=message.job, term=message.term, seen=message.highest_term
            )
            return
        self._history.note(
            party,
            EventKind.EFFECT_ACKNOWLEDGED,
            job=message.job,
            term=message.term,
            number=message.sequence,
            ok=message.is_accepted,
            seen=message.highest_term,
            order=message.verdict_sequence,
        )
