"""Overrides as they come, from the store or by datagrams: written down, then carried out, then answered."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping

from glenrock.routing import interface

from ..log import say
from ..operation_errors import OperationRejectedError
from .context import CoordinationContext
from .datagrams import Message
from .shared_work.override_log import OverrideEntry
from .transport import Received

RETRY_S = 0.5  # after the state could not be written


class OverrideApplier:
    """The one place that changes what is out of rotation here.

    Attributes:
        unsettled: something came that is to be written down, carried out or answered.
    """

    def __init__(self, context: CoordinationContext) -> None:
        self.unsettled = asyncio.Event()
        self._context = context
        self._applied: dict[str, bool] = {}
        self._dirty = False
        self._replies: list[Received] = []
        context.transport.after_batch.append(self.unsettled.set)

    def start(self) -> None:
        """Carries out what was written down before a death, and goes on from there.

        A process that died between writing an override down and carrying it out left another state in the operators'
        file; a server that was called back then would stay out here for ever.
        """
        overrides = self._context.overrides
        if operators := self._context.host.operators:
            self._applied = dict.fromkeys(operators.override_sync.overrides.suspended, True)
        self._apply({server: overrides.is_suspended(server) for server in overrides.entries})
        self._context.tasks.run(self._settle())

    def take(self, server: str, entry: OverrideEntry) -> None:
        """Takes an entry in; it is carried out once it is written down."""
        overrides = self._context.overrides
        changed = overrides.merge_entry(server, entry)
        if changed is not None:
            self._context.merged_changes[server] = changed
        self._dirty |= overrides.entries.get(server) == entry

    def record_committed(self, incarnation: str, count: int) -> None:
        """The holder has answered an incarnation's proposals up to that one."""
        overrides = self._context.overrides
        before = overrides.committed_up_to.get(incarnation, 0)
        self._context.merged_changes.update(overrides.record_committed(incarnation, count))
        self._dirty |= overrides.committed_up_to[incarnation] != before

    def mark_dirty(self) -> None:
        """What is known has changed, and is to be written down."""
        self._dirty = True

    def reply(self, peer: int, message: Message) -> None:
        """Answers once what is known is written down."""
        self._replies.append(Received(peer, message))

    async def carry_out(self, server: str, out: bool) -> None:
        """Takes the server out of rotation here, or back."""
        host = self._context.host
        self._applied[server] = out
        if host.operators:
            try:
                await host.operators.override_sync.set_override(server, out)
            except OperationRejectedError as error:
                say("fleet", f"{server}: {error.reason}")
        else:
            host.servers.set_suspended(server, out)
            host.routing.post_first(interface.OperatorOverride(server, out, 0))

    def _apply(self, changes: Mapping[str, bool]) -> None:
        async def carry_all_out() -> None:
            for server, out in changes.items():
                if self._applied.get(server, False) != out or out:
                    await self.carry_out(server, out)

        self._context.tasks.run(carry_all_out())

    async def _settle(self) -> None:
        """What comes meanwhile waits for the next time."""
        while True:
            await self.unsettled.wait()
            self.unsettled.clear()
            replies, self._replies = self._replies, []
            dirty, self._dirty = self._dirty, False
            if dirty and not await self._context.write_state():
                self._dirty = True
                self._replies = replies + self._replies
                await asyncio.sleep(RETRY_S)
                self.unsettled.set()
                continue
            self._carry_out_changes()
            for peer, message in replies:
                self._context.transport.send(peer, message)

    def _carry_out_changes(self) -> None:
        changes = dict(self._context.merged_changes)
        self._context.merged_changes.clear()
        if changes:
            told = ", ".join(f"{server} {'out' if out else 'back'}" for server, out in changes.items())
            say("fleet", told)
            self._apply(changes)
