"""The endpoint list that all discovery agents of a run send: names, addresses, statuses and versions."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any

from .loopback import Address, format_address

FIRST_VERSION = 1


class EndpointStatus(StrEnum):
    """The status of a server in the list."""

    SERVING = "SERVING"
    DRAINING = "DRAINING"
    DELETED = "DELETED"


@dataclass
class ListedServer:
    """A row of the list.

    Attributes:
        address: where balancers connect. `paths`: other addresses, by balancer, that lead to it.
        kind: of its machine.
        since_ms: Unix time of its start; 0 for long ago.
        version: of its last change.
    """

    name: str
    address: Address
    zone: str
    group: int = 0
    kind: str = "m2"
    status: EndpointStatus = EndpointStatus.SERVING
    since_ms: float = 0.0
    version: int = FIRST_VERSION
    paths: Mapping[int, Address] = field(default_factory=dict)

    def row(self, balancer: int) -> dict[str, Any]:
        """Returns the row in discovery's form, as that balancer gets it."""
        return {
            "name": self.name,
            "address": format_address(self.paths.get(balancer, self.address)),
            "zone": self.zone,
            "type": self.kind,
            "group": self.group,
            "status": self.status.value,
            "weight": 1.0,
            "since_ms": self.since_ms,
        }


class EndpointDirectory:
    """All servers with their versions.

    Attributes:
        version: of the last change.
        servers: by name.
    """

    def __init__(self, servers: Iterable[ListedServer] = ()) -> None:
        self.version = FIRST_VERSION
        self.servers = {server.name: server for server in servers}
        self._changed = asyncio.Event()
        self._whole: tuple[int, bytes] = (0, b"")

    def add(self, server: ListedServer) -> None:
        """Lists a server from now on."""
        self.servers[server.name] = server
        self.set_status([server.name], server.status)

    def set_status(self, names: Iterable[str], status: EndpointStatus, since_ms: float | None = None) -> None:
        """Changes the status of some servers, as one version."""
        self.version += 1
        for name in names:
            server = self.servers[name]
            server.status, server.version = status, self.version
            if since_ms is not None:
                server.since_ms = since_ms
        self._changed.set()
        self._changed = asyncio.Event()

    async def wait_for_change(self, timeout_s: float) -> None:
        """Waits until something changes, or time is up."""
        try:
            await asyncio.wait_for(self._changed.wait(), timeout_s)
        except TimeoutError:
            return

    def changed_since(self, version: int | None) -> list[ListedServer]:
        """Returns the servers that have changed since a version; all of them for None."""
        return [server for server in self.servers.values() if version is None or server.version > version]

    def answer(self, balancer: int, since: int | None) -> dict[str, Any]:
        """Returns the whole list, or the changes since a version."""
        rows = [
            server.row(balancer)
            for server in self.changed_since(since)
            if since is not None or server.status is not EndpointStatus.DELETED
        ]
        return {"index": self.version, "snapshot": since is None, "endpoints": rows}

    def answer_bytes(self, balancer: int, since: int | None) -> bytes:
        """Returns the body of an answer. A whole list that is equal for all balancers is kept for the next call."""
        if since is not None or any(server.paths for server in self.servers.values()):
            return json.dumps(self.answer(balancer, since)).encode()
        if self._whole[0] != self.version:
            self._whole = (self.version, json.dumps(self.answer(balancer, None)).encode())
        return self._whole[1]
