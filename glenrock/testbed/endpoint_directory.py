"""The endpoint list that all stand-ins of discovery tell: names, addresses, states and versions."""

from __future__ import annotations

import asyncio
import json
from dataclasses import dataclass
from typing import Any

from .loopback import Address

SERVING, DRAINING, DELETED = "SERVING", "DRAINING", "DELETED"


@dataclass
class ListedServer:
    """A row of the list. `since_ms`: Unix time of its start, 0 for long ago. `version`: of its last change."""

    name: str
    address: Address
    zone: str
    group: int
    status: str = SERVING
    since_ms: float = 0.0
    version: int = 1

    def row(self) -> dict[str, Any]:
        """The row in discovery's form."""
        host, port = self.address
        return {
            "name": self.name,
            "address": f"{host}:{port}",
            "zone": self.zone,
            "type": "m2",
            "group": self.group,
            "status": self.status,
            "weight": 1.0,
            "since_ms": self.since_ms,
        }


class EndpointDirectory:
    """All servers with their versions."""

    def __init__(self) -> None:
        self.version = 1
        self.servers: dict[str, ListedServer] = {}
        self._changed = asyncio.Event()
        self._whole: tuple[int, bytes] = (0, b"")

    def add(self, server: ListedServer) -> None:
        """Lists a server from now on."""
        self.servers[server.name] = server
        self.set_status([server.name], server.status)

    def set_status(self, names: list[str], status: str, since_ms: float | None = None) -> None:
        """Changes the state of some servers, as one version."""
        self.version += 1
        for name in names:
            server = self.servers[name]
            server.status, server.version = status, self.version
            if since_ms is not None:
                server.since_ms = since_ms
        self._changed.set()
        self._changed = asyncio.Event()

    async def wait_for_change(self, timeout_s: float) -> None:
        """Until something changes, or time is up."""
        try:
            await asyncio.wait_for(self._changed.wait(), timeout_s)
        except TimeoutError:
            return

    def answer_bytes(self, since: int | None) -> bytes:
        """The body of an answer: the whole list, or what has changed since a version."""
        if since is not None:
            return self._body(since)
        if self._whole[0] != self.version:
            self._whole = (self.version, self._body(None))
        return self._whole[1]

    def _body(self, since: int | None) -> bytes:
        if since is None:
            rows = [server.row() for server in self.servers.values() if server.status != DELETED]
        else:
            rows = [server.row() for server in self.servers.values() if server.version > since]
        return json.dumps({"index": self.version, "snapshot": since is None, "endpoints": rows}).encode()
