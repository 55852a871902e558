"""Applies overrides from the store and datagrams: writes them to the state file, applies them, then sends replies."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable, Mapping

from glenrock.routing import interface

from ..log import get_logger
from ..operation_errors import OperationRejectedError
from .context import CoordinationContext
from .datagrams import Message
from .shared_work.override_log import OverrideChange, OverrideEntry
from .transport import PeerMessage

logger = get_logger(__name__)

STATE_RETRY_S = 0.5


class OverrideApplier:
    """Applies the overrides of the log at this balancer.

    During an upgrade, `OverrideSync` passes overrides between the old and the new process.

    Attributes:
        has_changes: set when there are changes to store or to apply, or replies to send.
    """

    def __init__(self, context: CoordinationContext) -> None:
        self.has_changes = asyncio.Event()
        self._context = context
        self._applied: dict[str, bool] = {}  # by server, whether the last override that was applied suspends it
        self._unapplied: dict[str, bool] = {}  # by server, whether the override to be applied next suspends it
        self._is_dirty = False
        self._replies: list[PeerMessage] = []
        context.transport.batch_listeners.append(self.has_changes.set)
        context.state.change_listeners.append(self._add_changes)

    def start(self) -> None:
        """Applies the stored overrides, and starts the task that applies changes.

        A process that was killed after it stored an override and before it applied it left the server's earlier state
        in the file of operators' overrides. The server would keep that state if stored overrides were not applied here.
        """
        overrides = self._context.overrides
        if operators := self._context.host.operators:
            self._applied = dict.fromkeys(operators.override_sync.overrides.suspended, True)
        self._start_applying({server_id: overrides.is_suspended(server_id) for server_id in overrides.entries})
        self._context.tasks.run(self._run())

    def merge_entry(self, server_id: str, entry: OverrideEntry) -> None:
        """Merges an entry into the override log. It is applied after it has been stored."""
        overrides = self._context.overrides
        change = overrides.merge_entry(server_id, entry)
        if change is not None:
            self._add_changes([change])
        self._is_dirty |= overrides.entries.get(server_id) == entry

    def record_committed(self, incarnation: str, sequence: int) -> None:
        """Records that an incarnation's pending overrides are committed up to a sequence number."""
        overrides = self._context.overrides
        before = overrides.committed_up_to.get(incarnation, 0)
        self._add_changes(overrides.record_committed(incarnation, sequence))
        self._is_dirty |= overrides.committed_up_to[incarnation] != before

    def mark_dirty(self) -> None:
        """Marks the state as changed, so that it is stored before the next replies are sent."""
        self._is_dirty = True

    def reply(self, peer: int, message: Message) -> None:
        """Queues a reply that is sent after the state has been stored."""
        self._replies.append(PeerMessage(peer, message))

    async def apply(self, server_id: str, is_suspended: bool) -> None:
        """Applies an override at this balancer. A rejection is logged."""
        host = self._context.host
        self._applied[server_id] = is_suspended
        if host.operators:
            try:
                await host.operators.override_sync.set_override(server_id, is_suspended)
            except OperationRejectedError as error:
                logger.warning("override not applied", server=server_id, suspended=is_suspended, error=error.reason)
        else:
            host.servers.set_suspended(server_id, is_suspended)
            host.routing.post_priority_event(interface.OperatorOverride(server_id, is_suspended, 0))

    def _add_changes(self, changes: Iterable[OverrideChange]) -> None:
        self._unapplied.update((change.server_id, change.is_suspended) for change in changes)

    def _start_applying(self, changes: Mapping[str, bool]) -> None:
        async def apply_all() -> None:
            for server_id, is_suspended in changes.items():
                is_in_rotation = not self._applied.get(server_id, False)
                if is_suspended or not is_in_rotation:
                    await self.apply(server_id, is_suspended)

        self._context.tasks.run(apply_all())

    async def _run(self) -> None:
        while True:
            await self.has_changes.wait()
            self.has_changes.clear()
            replies, self._replies = self._replies, []
            is_dirty, self._is_dirty = self._is_dirty, False
            if is_dirty and not await self._context.state.write():
                self._is_dirty = True
                self._replies = replies + self._replies
                await asyncio.sleep(STATE_RETRY_S)
                self.has_changes.set()
                continue
            self._apply_changes()
            for peer, message in replies:
                self._context.transport.send(peer, message)

    def _apply_changes(self) -> None:
        changes, self._unapplied = self._unapplied, {}
        for server_id, is_suspended in changes.items():
            logger.info("override from another balancer", server=server_id, suspended=is_suspended)
        if changes:
            self._start_applying(changes)
