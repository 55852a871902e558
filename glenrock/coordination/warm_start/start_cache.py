"""The start record on disk: read once at a start, written beside the loop while the balancer serves."""

from __future__ import annotations

import asyncio
import contextlib
import os
from pathlib import Path
from typing import NamedTuple

from ...log import say
from ..host import BalancerHost
from ..leases.sqlite_store import current_boot
from .start_record import (
    MAX_BYTES,
    EndpointTable,
    RecordTrust,
    StartKnowledge,
    StartRecord,
    decode,
    encode,
    usable_knowledge,
)

CHECK_INTERVAL_MS = 500.0  # a change of the list is written this soon
WRITE_INTERVAL_MS = 10_000.0  # and what was learned, so often
DELETED = "DELETED"


class _Written(NamedTuple):
    version: int
    at_ms: float


class StartCache:
    """One balancer's record. `status`: what came of reading it, for operators."""

    def __init__(self, host: BalancerHost, folder: Path, name: str, trust: RecordTrust) -> None:
        self.path = folder / f"glenrock-{name}.start"
        self.status = "nothing was kept"
        self._host = host
        self._clock = host.clock
        self._trust = trust
        self._boot = current_boot()
        self._written: _Written | None = None

    def read(self, known: EndpointTable) -> EndpointTable:
        """The list to start with; what was learned of clients goes to the routing decisions.

        A file that cannot be used is put aside, and the start goes on as without one.
        """
        try:
            with open(self.path, "rb") as file:
                record = decode(file.read(MAX_BYTES + 1))
        except FileNotFoundError:
            return known
        except (OSError, ValueError) as error:
            self.status = f"{self.path} is put aside: {error}"
            with contextlib.suppress(OSError):
                os.replace(self.path, f"{self.path}.spoilt")
        else:
            knowledge = self._usable(record, known)
            balancer = self._host.routing.balancer
            balancer.connection_loads.restore(knowledge.means, [c.name for c in balancer.settings.classes])
            known, self.status = knowledge.table, knowledge.why
        say("start", self.status)
        return known

    def _usable(self, record: StartRecord, known: EndpointTable) -> StartKnowledge:
        return usable_knowledge(record, known, self._clock.now(), self._boot, self._discovery(), self._trust)

    def _discovery(self) -> str:
        host, port = self._host.endpoints.address
        return f"{host}:{port}"

    def current_record(self) -> StartRecord | None:
        """What is known now; None before discovery was heard: what stands on disk is better."""
        table = self._host.endpoints
        if table.newest_version < 0 or not table.has_answered.is_set():
            return None
        entries = list(self._host.servers.listed_rows())
        rows = [
            {
                "name": entry.name,
                "address": f"{entry.address[0]}:{entry.address[1]}",
                "zone": entry.zone,
                "group": entry.group,
                "status": entry.status,
                "weight": entry.weight,
                "since_ms": entry.since_ms,
            }
            for entry in entries
        ]
        endpoints = {"index": table.newest_version, "snapshot": True, "endpoints": rows}
        means = self._host.routing.balancer.connection_loads.snapshot()
        return StartRecord(self._clock.now(), self._boot, self._discovery(), endpoints, means)

    def write(self, data: bytes) -> None:
        """Replaces the file as a whole, on the disk before that. From a thread: a disk may take seconds.

        A start reads the old one or the new one, also after a power cut.

        Raises:
            OSError: it cannot be written.
        """
        beside = f"{self.path}.{os.getpid()}"
        with open(beside, "wb") as file:
            file.write(data)
            file.flush()
            os.fsync(file.fileno())
        os.replace(beside, self.path)

    async def run(self) -> None:
        """Keeps the file for as long as the balancer serves."""
        while True:
            await self._clock.sleep(CHECK_INTERVAL_MS)
            await self.write_if_due()

    async def write_if_due(self) -> None:
        """Writes where the list has changed, or long enough ago."""
        now_ms = self._clock.now()
        written = self._written
        if (
            written
            and written.version == self._host.endpoints.newest_version
            and now_ms - written.at_ms < WRITE_INTERVAL_MS
        ):
            return
        record = self.current_record()
        if record is None:
            return
        try:
            await asyncio.to_thread(self.write, encode(record))
            self._written = _Written(record.table["index"], now_ms)
        except (OSError, ValueError) as error:
            say("start", f"{self.path} cannot be written: {error}")
