"""Writes the durable state while the balancer serves, and merges what the other process of an upgrade has written."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence
from pathlib import Path

from ..log import get_logger
from ..net.clock import Clock
from ..net.metrics import ConnectionMetrics
from .durable_state import DurableState, DurableStateError, StoredPermit
from .leases.fence import Fence
from .shared_work.override_log import OverrideChange, OverrideLog

logger = get_logger(__name__)

SLOW_WRITE_MS = 200.0  # a write that takes longer is logged

ChangeListener = Callable[[Sequence[OverrideChange]], None]
"""Called with the changes that the overrides written by the other process of an upgrade make at this balancer."""


class StateWriter:
    """Reads and writes the durable state of one balancer: the fence, the override log and the drain permits.

    Attributes:
        change_listeners: called after each write that merged the file of the other process.
    """

    def __init__(
        self, file: DurableState, fence: Fence, overrides: OverrideLog, clock: Clock, metrics: ConnectionMetrics
    ) -> None:
        self._file = file
        self.change_listeners: list[ChangeListener] = []
        self._fence = fence
        self._overrides = overrides
        self._clock = clock
        self._metrics = metrics
        self._is_failing = False  # the last write failed
        self._write_lock = asyncio.Lock()

    @property
    def path(self) -> Path:
        """The path of the file."""
        return self._file.path

    @property
    def permits(self) -> dict[str, StoredPermit]:
        """By job, the drain permits that this or an earlier incarnation may hold. `DrainLimiter` modifies them."""
        return self._file.permits

    def read(self) -> None:
        """Merges the file of the previous incarnation. A file that cannot be used is logged."""
        try:
            if self._file.read(self._fence, self._overrides):
                overrides, terms = len(self._overrides.entries), len(self._fence.positions)
                logger.info("coordination state restored", overrides=overrides, terms=terms)
        except DurableStateError as error:
            logger.warning("coordination state file not usable", path=self._file.path, error=error)

    async def write(self) -> bool:
        """Writes the state to its file, in a thread.

        Returns:
            False if the file cannot be written; the caller must then not act on what has changed.
        """
        async with self._write_lock:
            snapshot = self._file.snapshot(self._fence, self._overrides)
            started_ms = self._clock.now_ms()
            try:
                is_merged = await asyncio.to_thread(self._file.write, snapshot)
            except OSError as error:
                self._record_failure(error)
                return False
        if self._is_failing:
            self._is_failing = False
            logger.info("coordination state writable again", path=self._file.path)
        if is_merged:
            changes = self._file.load_snapshot(snapshot, self._fence, self._overrides)
            for listener in self.change_listeners:
                listener(changes)
        duration_ms = self._clock.now_ms() - started_ms
        if duration_ms > SLOW_WRITE_MS:
            logger.warning("slow write of the coordination state", path=self._file.path, duration_ms=duration_ms)
        return True

    def _record_failure(self, error: OSError) -> None:
        if not self._is_failing:  # only the first failure in a row is logged, since callers retry each half second
            logger.error("coordination state not writable", path=self._file.path, error=error)
        self._is_failing = True
        self._metrics.add_system_error(error)
