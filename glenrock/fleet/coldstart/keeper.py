"""The record on disk: read once at a start, written beside the loop while the balancer serves."""

from __future__ import annotations

import asyncio
import contextlib
import os
from pathlib import Path
from typing import TYPE_CHECKING, Any

from ...log import say
from ..ownership.sqlite_store import BOOT
from .record import LARGEST, Record, Trust, decode, encode, used

if TYPE_CHECKING:
    from ...__main__ import Program

LOOK_MS = 500.0  # a change of the list is written this soon
EACH_MS = 10_000.0  # and what was learned, so often


class Keeper:
    def __init__(self, program: Program, folder: Path, name: str, trust: Trust) -> None:
        self.program, self.clock, self.trust = program, program.clock, trust
        self.path = folder / f"glenrock-{name}.start"
        self.boot = BOOT.read_text().strip()
        self.written: tuple[int, float] | None = None  # the list's version, and when
        self.says = "nothing was kept"

    def discovery(self) -> str:
        host, port = self.program.table.address
        return f"{host}:{port}"

    def read(self, known: dict[str, Any]) -> dict[str, Any]:
        """The list to start with, in discovery's form; what was learned goes to the decisions. A file that cannot be
        used is put aside, and the start goes on as without one."""
        try:
            with open(self.path, "rb") as file:
                found = decode(file.read(LARGEST + 1))
        except FileNotFoundError:
            return known
        except (OSError, ValueError) as bad:
            self.says = f"{self.path} is put aside: {bad}"
            with contextlib.suppress(OSError):
                os.replace(self.path, f"{self.path}.spoilt")
        else:
            u = used(found, known, self.clock.now(), self.boot, self.discovery(), self.trust)
            balancer = self.program.decider.balancer
            balancer.connection_loads.restore(u.means, [c.name for c in balancer.settings.classes])
            known, self.says = u.table, u.why
        say("start", self.says)
        return known

    def record(self) -> Record | None:
        """What is known now; None before discovery was heard: what stands on disk is better."""
        p = self.program
        if p.table.newest < 0 or not p.table.first.is_set():
            return None
        rows = [x.entry for x in p.instances.all.values() if x.entry.status != "DELETED"]
        table = {"index": p.table.newest, "snapshot": True, "endpoints": [
            {"name": e.name, "address": f"{e.address[0]}:{e.address[1]}", "zone": e.zone, "group": e.group,
             "status": e.status, "weight": e.weight, "since_ms": e.since_ms} for e in rows]}
        means = p.decider.balancer.connection_loads.snapshot()
        return Record(self.clock.now(), self.boot, self.discovery(), table, means)

    def write(self, data: bytes) -> None:
        """From a thread: a disk may take seconds. Replaced as a whole, and on the disk before that: a start reads the
        old one or the new one, also after a power cut. OSError where it cannot be written."""
        beside = f"{self.path}.{os.getpid()}"
        with open(beside, "wb") as file:
            file.write(data)
            file.flush()
            os.fsync(file.fileno())
        os.replace(beside, self.path)

    async def keep(self) -> None:
        while True:
            await self.clock.sleep(LOOK_MS)
            await self.step()

    async def step(self) -> None:
        """Writes where the list has changed, or long enough ago."""
        now = self.clock.now()
        if self.written and self.written[0] == self.program.table.newest and now - self.written[1] < EACH_MS:
            return
        if (r := self.record()) is None:
            return
        try:
            await asyncio.to_thread(self.write, encode(r))
            self.written = r.table["index"], now
        except (OSError, ValueError) as bad:
            say("start", f"{self.path} cannot be written: {bad}")
