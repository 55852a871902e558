"""The start cache: the start record on disk, read at a start and written in a thread while the balancer serves."""

from __future__ import annotations

import asyncio
import contextlib
import os
from pathlib import Path
from typing import NamedTuple

from ...log import get_logger
from ..host import BalancerHost
from ..leases.sqlite_store import current_boot_id
from .start_record import (
    MAX_BYTES,
    EndpointTable,
    RecordTrust,
    StartKnowledge,
    StartRecord,
    decode,
    encode,
    encode_table,
    table_version,
    usable_knowledge,
)

logger = get_logger(__name__)

CHECK_INTERVAL_MS = 500.0  # between two checks whether the list has changed
WRITE_INTERVAL_MS = 10_000.0  # between two writes while the list does not change


class _LastWrite(NamedTuple):
    """The version of the list that was written last, and when."""

    version: int
    at_ms: float


class StartCache:
    """The cache of one balancer.

    Attributes:
        path: of the file.
        status: what the start used of the cache, for operators.
    """

    def __init__(self, host: BalancerHost, folder: Path, name: str, trust: RecordTrust) -> None:
        self.path = folder / f"glenrock-{name}.start"
        self.status = "no cache file"
        self._host = host
        self._clock = host.clock
        self._trust = trust
        self._boot = current_boot_id()
        self._last_write: _LastWrite | None = None

    def read(self, configured: EndpointTable) -> EndpointTable:
        """Reads the cache, and restores the learned loads into routing. A file that cannot be used is renamed.

        Returns:
            The endpoint list to start with: the cached one, or `configured`.
        """
        try:
            with open(self.path, "rb") as file:
                record = decode(file.read(MAX_BYTES + 1))
        except FileNotFoundError:
            return configured
        except (OSError, ValueError) as error:
            self.status = f"{self.path} is not usable and is renamed: {error}"
            logger.warning("start cache not usable", path=self.path, error=error)
            with contextlib.suppress(OSError):
                os.replace(self.path, f"{self.path}.spoilt")
            return configured
        knowledge = self._usable(record, configured)
        balancer = self._host.routing.balancer
        classes = [request_class.name for request_class in balancer.settings.classes]
        balancer.connection_loads.restore(knowledge.means, classes)
        self.status = knowledge.summary
        logger.info("endpoint list and loads of the last run", result=self.status)
        return knowledge.table

    def _usable(self, record: StartRecord, configured: EndpointTable) -> StartKnowledge:
        return usable_knowledge(record, configured, self._clock.now_ms(), self._boot, self._discovery(), self._trust)

    def _discovery(self) -> str:
        return str(self._host.endpoints.address)

    def current_record(self) -> StartRecord | None:
        """Returns the record to write; None until discovery has answered, since the file is newer until then."""
        watcher = self._host.endpoints
        if watcher.newest_version < 0 or not watcher.has_answered.is_set():
            return None
        table = encode_table(watcher.newest_version, self._host.servers.listed_rows())
        means = self._host.routing.balancer.connection_loads.snapshot()
        return StartRecord(self._clock.now_ms(), self._boot, self._discovery(), table, means)

    def write(self, data: bytes) -> None:
        """Replaces the file as a whole, after a sync. Call it in a thread, since a disk may take seconds.

        Raises:
            OSError: the file cannot be written.
        """
        temporary_path = f"{self.path}.{os.getpid()}"
        with open(temporary_path, "wb") as file:
            file.write(data)
            file.flush()
            os.fsync(file.fileno())
        os.replace(temporary_path, self.path)

    async def run(self) -> None:
        """Writes the file when it is due, until cancelled."""
        while True:
            await self._clock.sleep(CHECK_INTERVAL_MS)
            await self.write_if_due()

    async def write_if_due(self) -> None:
        """Writes the file if the list has changed, or WRITE_INTERVAL_MS after the last write."""
        now_ms = self._clock.now_ms()
        last = self._last_write
        is_same_list = last is not None and last.version == self._host.endpoints.newest_version
        if last and is_same_list and now_ms - last.at_ms < WRITE_INTERVAL_MS:
            return
        record = self.current_record()
        if record is None:
            return
        try:
            await asyncio.to_thread(self.write, encode(record))
            self._last_write = _LastWrite(table_version(record.table), now_ms)
        except (OSError, ValueError) as error:
            logger.warning("start cache not written", path=self.path, error=error)
