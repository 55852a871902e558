"""The start cache: a file with the start record, read at the start and written while the balancer serves."""

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
    RecordValidity,
    StartData,
    StartRecord,
    decode,
    encode,
    encode_table,
    select_start_data,
    table_version,
)

logger = get_logger(__name__)

CHECK_INTERVAL_MS = 500.0  # between two checks for a changed endpoint list
WRITE_INTERVAL_MS = 10_000.0  # between two writes while the list is unchanged


class _LastWrite(NamedTuple):
    """The version of the endpoint list that was written last, and the time of that write."""

    version: int
    at_ms: float


class StartCache:
    """The start cache of one balancer.

    Attributes:
        path: the path of the file.
        status: a text for operators: which data of the cache were used at the start, or why none were.
    """

    def __init__(self, host: BalancerHost, folder: Path, name: str, validity: RecordValidity) -> None:
        self.path = folder / f"glenrock-{name}.start"
        self.status = "no cache file"
        self._host = host
        self._clock = host.clock
        self._validity = validity
        self._boot = current_boot_id()
        self._last_write: _LastWrite | None = None

    def read(self, configured: EndpointTable) -> EndpointTable:
        """Reads the cache, and restores the learned loads in the routing actor. An unusable file is logged and renamed.

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
        start_data = self._select_start_data(record, configured)
        balancer = self._host.routing.balancer
        classes = [request_class.name for request_class in balancer.settings.classes]
        balancer.connection_loads.restore(start_data.means, classes)
        self.status = start_data.summary
        logger.info("endpoint list and loads of the last run", result=self.status)
        return start_data.table

    def _select_start_data(self, record: StartRecord, configured: EndpointTable) -> StartData:
        return select_start_data(
            record, configured, self._clock.now_ms(), self._boot, self._discovery(), self._validity
        )

    def _discovery(self) -> str:
        return str(self._host.endpoints.address)

    def build_record(self) -> StartRecord | None:
        """Returns the record to write; None until discovery has answered.

        Before that, the list in use may be older than the one in the file.
        """
        watcher = self._host.endpoints
        if watcher.newest_version < 0 or not watcher.has_answered.is_set():
            return None
        table = encode_table(watcher.newest_version, self._host.servers.listed_rows())
        means = self._host.routing.balancer.connection_loads.snapshot()
        return StartRecord(self._clock.now_ms(), self._boot, self._discovery(), table, means)

    def write(self, data: bytes) -> None:
        """Writes and syncs a temporary file, then renames it to replace the cache file.

        A start reads either the old or the new content whole, also after a power failure. Must be called in a thread,
        since a slow disk may block for seconds.

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
        """Writes the file if the list has changed or the last write was WRITE_INTERVAL_MS ago.

        Nothing is written until discovery has answered. A failure is logged.
        """
        now_ms = self._clock.now_ms()
        last = self._last_write
        is_same_list = last is not None and last.version == self._host.endpoints.newest_version
        if last and is_same_list and now_ms - last.at_ms < WRITE_INTERVAL_MS:
            return
        record = self.build_record()
        if record is None:
            return
        try:
            await asyncio.to_thread(self.write, encode(record))
            self._last_write = _LastWrite(table_version(record.table), now_ms)
        except (OSError, ValueError) as error:
            logger.warning("start cache not written", path=self.path, error=error)
