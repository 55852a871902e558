"""The coordination store of a scenario, its configuration file at each balancer, and the leases that it holds."""

from __future__ import annotations

import contextlib
import json
import sqlite3
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from ..coordination.leases.consul_store import decode_lock_value, unescape_key
from .consul_server import ConsulServer
from .loopback import Address, LoopbackNetwork
from .records import STORE, balancer_party
from .scenario import CoordinationOptions, StoreKind


@dataclass(frozen=True, slots=True)
class StoredLease:
    """A lease as the store holds it. `holder` is `nN/incarnation`, N the number of a balancer."""

    term: int
    holder: str


class CoordinationStore:
    """A SQLite file, or a stand-in for Consul.

    Attributes:
        path: of the SQLite file.
        consul: the stand-in; None for SQLite.
    """

    def __init__(
        self,
        options: CoordinationOptions,
        folder: Path,
        network: LoopbackNetwork,
        balancers: int,
        path_address: Callable[[str, str, Address], Address],
    ) -> None:
        self.path = folder / "store.db"
        self.consul: ConsulServer | None = None
        self._options, self._folder = options, folder
        self._addresses: list[Address] = []
        if options.store is StoreKind.CONSUL:
            self.consul = ConsulServer(network.next(), 0.0, options.late)
            self._addresses = [
                path_address(balancer_party(number), STORE, self.consul.address) for number in range(balancers)
            ]

    async def open(self) -> None:
        """Serves the store where it is a service."""
        if self.consul:
            await self.consul.open()

    async def close(self) -> None:
        """Ends the service, whatever fault it is under."""
        if self.consul:
            self.consul.is_paused = self.consul.loses_answers = False
            await self.consul.close()

    def write_fleet_file(self, number: int) -> Path:
        """Writes the coordination part of a balancer's configuration, and returns its path."""
        options = self._options
        store: dict[str, Any] = {"kind": options.store, "lock_delay_ms": options.lock_delay_ms}
        if self.consul:
            host, port = self._addresses[number]
            store |= {"addresses": [f"{host}:{port}"], "shortest_ms": options.lease_ms}
        else:
            store["path"] = str(self.path)
        tables = {
            "store": store,
            "lease": {"lease_ms": options.lease_ms, "drift": options.drift, "ask_ms": options.ask_ms},
            "jobs": {"bans": options.bans, "turnstile": options.turnstile, "probe_shards": options.probe_shards},
            "start": {"keep": options.keep, "spaced": options.spaced, "sound_ms": options.sound_ms},
        }
        folder = self._folder / f"balancer-{number}"
        folder.mkdir(parents=True, exist_ok=True)
        lines = [f"folder = {json.dumps(str(folder))}"]
        for name, values in tables.items():
            lines += [f"[{name}]", *(f"{key} = {json.dumps(value)}" for key, value in values.items())]
        path = folder / "fleet.toml"
        path.write_text("\n".join(lines) + "\n", encoding="utf-8")
        return path

    def leases(self) -> dict[str, StoredLease]:
        """Returns the leases in the store by job; none while a SQLite file cannot be read."""
        if self.consul:
            return self._consul_leases(self.consul)
        with (
            contextlib.suppress(sqlite3.Error),
            contextlib.closing(sqlite3.connect(f"file:{self.path}?mode=ro", uri=True, timeout=0)) as db,
        ):
            rows = db.execute("SELECT job, term, holder FROM lease")
            return {job: StoredLease(term, holder) for job, term, holder in rows}
        return {}

    def _consul_leases(self, consul: ConsulServer) -> dict[str, StoredLease]:
        found = {}
        for key, entry in consul.state.entries.items():
            if "/jobs/" in key and entry.value:
                value = decode_lock_value(entry.encode(key))
                found[unescape_key(key.rpartition("/")[2])] = StoredLease(value.term, value.holder)
        return found
