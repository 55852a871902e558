"""Shares operators' overrides between both processes of an upgrade, and keeps them across restarts."""

from __future__ import annotations

import asyncio
import functools
import os
from collections.abc import Callable

from glenrock.routing import interface

from ..log import get_logger
from ..net.clock import Clock, us_from_ms
from ..net.routing_actor import RoutingActor
from ..net.server_connections import ServerRegistry
from ..operation_errors import OperationRejectedError
from . import override_file
from .override_file import FILE_NAME, MAX_SERVERS, FileSignature, OverrideFileError, SharedOverrides

POLL_INTERVAL_MS = 100.0
LOCK_ATTEMPTS = 10
LOCK_RETRY_INTERVAL_MS = 20.0
RESUMED_RETENTION_MS = 60_000.0  # a server resumed longer ago is not warmed up again

logger = get_logger(__name__)


class OverrideSync:
    """Applies the overrides of the shared file to this process, and writes this process's own to the file.

    Without a folder the overrides are kept in memory.

    Attributes:
        folder: the folder of the shared file; empty if there is none.
        overrides: the overrides in effect in this process.
    """

    def __init__(self, folder: str, clock: Clock, servers: ServerRegistry, routing: RoutingActor) -> None:
        self.folder = folder
        self.overrides = SharedOverrides()
        self._clock = clock
        self._servers = servers
        self._routing = routing
        self._applied_signature: FileSignature | None = None
        self._change_lock = asyncio.Lock()
        self._written_server_count = 0  # servers known when the file was last written

    def is_known(self, server_id: str) -> bool:
        """Returns whether the server was ever in the endpoint list of this process or an earlier one."""
        return self._servers.was_ever_listed(server_id) or server_id in self.overrides.known_servers

    def start(self) -> None:
        """Applies the file's overrides, or those of the previous file if it is invalid.

        Call it before the first endpoint list is read, so that suspended servers stay suspended and recently resumed
        servers are warmed up.
        """
        if not self._apply_file() and (previous := override_file.read_previous(self.folder)):
            logger.warning("using the previous override file", file=FILE_NAME)
            self._apply_differences(previous)

    async def watch(self) -> None:
        """Applies changes of the file as long as the process runs, and records newly listed servers in it."""
        while True:
            await self._clock.sleep(POLL_INTERVAL_MS)
            self._apply_file()
            if len(self._servers.rows) != self._written_server_count:
                await self._write_known_servers()

    async def _write_known_servers(self) -> None:
        try:
            await self._change(_keep_overrides)
        except OSError as error:
            _log_write_failure(error)

    def _apply_file(self) -> bool:
        """Applies the file's content if the file was replaced. Returns False if the content is invalid."""
        if not self.folder:
            return True
        signature = override_file.read_signature(self.folder)
        if signature == self._applied_signature:
            return True
        self._applied_signature = signature
        try:
            content = override_file.read(self.folder)
        except OverrideFileError as error:
            logger.warning("ignoring an invalid override file", file=FILE_NAME, error=error)
            return False
        if content is not None:
            self._apply_differences(content)
        return True

    def _apply_differences(self, new: SharedOverrides) -> None:
        """Replaces this process's overrides by those of the file, and applies the differences."""
        for server_id in new.suspended ^ self.overrides.suspended:
            self._apply_override(server_id, server_id in new.suspended, new.resumed_at_ms.get(server_id, 0.0))
        for server_id, at_ms in new.resumed_at_ms.items():
            if server_id not in new.suspended and at_ms > self.overrides.resumed_at_ms.get(server_id, 0.0):
                self._apply_override(server_id, False, at_ms)
        self.overrides = new

    async def _change(self, change: Callable[[SharedOverrides], None]) -> None:
        """Applies a change to the file and to the overrides of this process.

        The file is replaced in a thread: a slow disk must not block the event loop.

        Raises:
            OSError: the file cannot be locked or written; nothing has changed.
        """
        if not self.folder:
            change(self.overrides)
            return
        async with self._change_lock:
            listed_servers = list(self._servers.rows)
            oldest_ms = self._clock.now_ms() - RESUMED_RETENTION_MS
            file_change = await asyncio.to_thread(
                override_file.change_file, self.folder, change, self.overrides, listed_servers, oldest_ms
            )
            if file_change.before is not None:
                self._apply_differences(file_change.before)
            self._applied_signature = file_change.signature
            self.overrides = file_change.after
            self._written_server_count = len(listed_servers)

    async def set_override(self, server_id: str, is_suspended: bool) -> None:
        """Suspends or resumes a server. Returns once this balancer's routing decisions follow it.

        Raises:
            OperationRejectedError: the shared file cannot be written, or `MAX_SERVERS` servers are suspended.
        """
        change = (
            functools.partial(_suspend, server_id)
            if is_suspended
            else functools.partial(_resume, server_id, self._clock)
        )
        was_suspended = await self._change_with_retries(server_id, change)
        if is_suspended and server_id not in self.overrides.suspended:  # `_suspend` found the limit reached
            raise OperationRejectedError(f"not done: {MAX_SERVERS} servers are suspended already")
        has_changed = was_suspended != is_suspended
        if has_changed:
            _log_override(server_id, is_suspended)
        resumed_at_ms = self.overrides.resumed_at_ms.get(server_id, 0.0) if has_changed else 0.0
        self._apply_override(server_id, is_suspended, resumed_at_ms)
        await self._routing.wait_for_batch()

    async def _change_with_retries(self, server_id: str, change: Callable[[SharedOverrides], None]) -> bool:
        """Applies a change, and retries while the other process holds the lock.

        Returns:
            Whether the server was suspended before the last attempt.

        Raises:
            OperationRejectedError: no attempt succeeded.
        """
        for attempts_left in reversed(range(LOCK_ATTEMPTS)):
            was_suspended = server_id in self.overrides.suspended
            try:
                await self._change(change)
                break
            except OSError as error:
                if not attempts_left:
                    _log_write_failure(error)
                    path = os.path.join(self.folder, FILE_NAME)
                    raise OperationRejectedError(f"not done: {path} cannot be written: {error}") from error
            await self._clock.sleep(LOCK_RETRY_INTERVAL_MS)
        return was_suspended

    def _apply_override(self, server_id: str, is_suspended: bool, resumed_at_ms: float) -> None:
        """Passes an override on to the server's connections and to routing.

        Args:
            server_id: the server.
            is_suspended: whether it is suspended or resumed.
            resumed_at_ms: when it was resumed, in Unix ms; 0 means now.
        """
        self._servers.set_suspended(server_id, is_suspended)
        self._routing.post_priority_event(
            interface.OperatorOverride(server_id, is_suspended, us_from_ms(resumed_at_ms))
        )


def _suspend(server_id: str, shared: SharedOverrides) -> None:
    """Suspends a server, unless `MAX_SERVERS` are suspended."""
    if len(shared.suspended) < MAX_SERVERS:
        shared.suspended.add(server_id)
        shared.resumed_at_ms.pop(server_id, None)


def _resume(server_id: str, clock: Clock, shared: SharedOverrides) -> None:
    """Resumes a server if it is suspended."""
    if server_id in shared.suspended:
        shared.suspended.discard(server_id)
        shared.resumed_at_ms[server_id] = clock.now_ms()


def _keep_overrides(shared: SharedOverrides) -> None:
    """Changes no override; `override_file.change_file` still records the listed servers."""


def _log_override(server_id: str, is_suspended: bool) -> None:
    if is_suspended:
        logger.info("server suspended by an operator", server=server_id)
    else:
        logger.info("server resumed by an operator", server=server_id)


def _log_write_failure(error: OSError) -> None:
    logger.warning("override file not written", file=FILE_NAME, error=error)
