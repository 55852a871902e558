"""Which servers operators took out of rotation: the same in both processes of an upgrade, and kept over it."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from glenrock.routing import interface

from ..log import say
from ..net.clock import Clock, micros
from ..net.routing_actor import RoutingActor
from ..net.server_connections import ServerRegistry
from ..operation_errors import OperationRejectedError
from . import override_file
from .override_file import FILE_NAME, MAX_NAMES, FileSignature, OverrideFileError, SharedOverrides

POLL_MS = 100.0  # the other process's changes are seen this late, beside a grace of 2.5 s
LOCK_ATTEMPTS = 10
LOCK_RETRY_MS = 20.0
BACK_KEPT_MS = 60_000.0  # a server taken back longer ago than this is not warmed up again


class OverrideSync:
    """Keeps the overrides of this process equal to those in the shared file.

    Without a folder all is kept in this process alone.
    """

    def __init__(self, folder: str, clock: Clock, servers: ServerRegistry, routing: RoutingActor) -> None:
        self.folder = folder
        self.held = SharedOverrides()
        self._clock = clock
        self._servers = servers
        self._routing = routing
        self._signature: FileSignature | None = None
        self._changing = asyncio.Lock()
        self._written_servers = 0  # servers known when the file was last written

    def knows(self, name: str) -> bool:
        """Whether the server was ever listed, here or in a process before."""
        return self._servers.knows(name) or name in self.held.seen

    def start(self) -> None:
        """Before the first list is taken: what was out stays out, and what came back lately is warmed up."""
        if not self._follow_file() and (found := override_file.read_previous(self.folder)):
            say("upgrade", f"{FILE_NAME}: the one before it is used")
            self._adopt(found)

    async def watch(self) -> None:
        """For as long as the process runs; without a folder there is nothing to watch."""
        while True:
            await self._clock.sleep(POLL_MS)
            self._follow_file()
            if len(self._servers.rows) != self._written_servers:
                await self._write_listed()

    async def _write_listed(self) -> None:
        try:
            await self._change(_nothing)
        except OSError as error:
            say("upgrade", f"{FILE_NAME} cannot be written: {error}")

    def _follow_file(self) -> bool:
        """Adopts what the other process has written. False where it cannot be used."""
        if not self.folder:
            return True
        signature = override_file.signature(self.folder)
        if signature == self._signature:
            return True
        self._signature = signature
        try:
            found = override_file.read(self.folder)
        except OverrideFileError as error:
            say("upgrade", f"{FILE_NAME} is left aside, and what is held here goes on: {error}")
            return False
        if found is not None:
            self._adopt(found)
        return True

    def _adopt(self, found: SharedOverrides) -> None:
        for name in found.out ^ self.held.out:
            self._apply(name, name in found.out, found.back.get(name, 0.0))
        for name, at_ms in found.back.items():
            if name not in found.out and at_ms > self.held.back.get(name, 0.0):
                self._apply(name, False, at_ms)
        self.held = found

    async def _change(self, change: Callable[[SharedOverrides], None]) -> None:
        """Changes the file and what is held here.

        From a thread: replaced in the loop, on a disk that others were syncing, it held up all clients for up to 2 s.

        Raises:
            OSError: the file cannot be written; nothing has changed then.
        """
        if not self.folder:
            change(self.held)
            return
        async with self._changing:
            listed = list(self._servers.rows)
            oldest_ms = self._clock.now() - BACK_KEPT_MS
            done = await asyncio.to_thread(override_file.exchange, self.folder, change, self.held, listed, oldest_ms)
            if done.found is not None:
                self._adopt(done.found)
            self._signature = done.signature
            self.held = done.written
            self._written_servers = len(listed)

    async def set_override(self, name: str, out: bool) -> None:
        """Takes a server out of rotation, or back. Returns once every decision of this balancer follows it.

        Raises:
            OperationRejectedError: the shared file cannot be written, or holds as many servers as it may.
        """

        def change(shared: SharedOverrides) -> None:
            if out and len(shared.out) < MAX_NAMES:
                shared.out.add(name)
                shared.back.pop(name, None)
            elif not out and name in shared.out:
                shared.out.discard(name)
                shared.back[name] = self._clock.now()

        for attempts_left in reversed(range(LOCK_ATTEMPTS)):
            was_out = name in self.held.out
            try:
                await self._change(change)
                break
            except OSError as error:
                if not attempts_left:
                    say("upgrade", f"{FILE_NAME} cannot be written: {error}")
                    raise OperationRejectedError(
                        f"not done: what a successor must know cannot be written: {error}"
                    ) from error
            await self._clock.sleep(LOCK_RETRY_MS)
        if out and name not in self.held.out:
            raise OperationRejectedError(f"not done: {MAX_NAMES} are out")
        if was_out != out:
            say("by hand", f"{name} {'is out of rotation' if out else 'may serve again'}")
        self._apply(name, out, self.held.back.get(name, 0.0) if was_out != out else 0.0)
        await self._routing.settled()

    def _apply(self, name: str, out: bool, at_ms: float) -> None:
        self._servers.hold(name, out)
        self._routing.order(interface.OperatorOverride(name, out, micros(at_ms)))


def _nothing(shared: SharedOverrides) -> None:
    """Changes nothing: the servers listed now are written all the same."""
