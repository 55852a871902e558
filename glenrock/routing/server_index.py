"""Indices over the servers, kept up to date where servers change: no round looks at each of thousands.

What a round has to do goes by this balancer's traffic and by what is in trouble: servers where its
connections stand, those that failed lately, those that are warming up. The rest are one list that changes
with the endpoint list alone.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Mapping

from .state import Server


class ServerIndex:
    """Servers by what matters in a round. All lists are in the order in which servers were first listed."""

    def __init__(self, servers: Mapping[str, Server]) -> None:
        self._servers = servers
        self._ready: list[Server] | None = None
        self._occupied: dict[str, Server] = {}
        self._suspects: dict[str, Server] = {}
        self._starting: dict[str, Server] = {}

    # -- what changed --------------------------------------------------------------------------------

    def invalidate_ready(self) -> None:
        """A server may get something new from now on, or no longer."""
        self._ready = None

    def add_occupied(self, server: Server) -> None:
        """A connection of this balancer stands there."""
        self._occupied[server.id] = server

    def add_suspect(self, server: Server) -> None:
        """A failure is held against the server."""
        self._suspects[server.id] = server

    def add_starting(self, server: Server) -> None:
        """The server's process is new."""
        self._starting[server.id] = server

    # -- what is -------------------------------------------------------------------------------------

    @property
    def ready(self) -> list[Server]:
        """Servers that may get something new: the same list until that changes, and not to be changed."""
        if self._ready is None:
            self._ready = [server for server in self._servers.values() if server.ready]
        return self._ready

    def with_connections(self) -> list[Server]:
        """Servers where connections of this balancer stand."""
        for server_id in [id_ for id_, server in self._occupied.items() if not server.connections]:
            del self._occupied[server_id]
        return sorted(self._occupied.values(), key=_order)

    def ready_without_suspects(self, now_us: int) -> list[Server]:
        """Ready servers without a failure held against them; `ready` itself where there is none."""
        for server_id, server in list(self._suspects.items()):
            if not server.consecutive_failures and now_us >= server.ejected_until_us:
                del self._suspects[server_id]
        return _without(self.ready, self._suspects)

    def split_by_warmth(
        self, servers: list[Server], is_warm: Callable[[Server], bool]
    ) -> tuple[list[Server], list[Server]]:
        """Of these, those that are warm (the same list where all are) and those that are warming up."""
        for server_id, server in list(self._starting.items()):
            if is_warm(server):
                del self._starting[server_id]
        warming = [server for server in servers if server.id in self._starting] if self._starting else []
        return _without(servers, self._starting), warming


def _without(servers: list[Server], left_out: Collection[str]) -> list[Server]:
    return [server for server in servers if server.id not in left_out] if left_out else servers


def _order(server: Server) -> int:
    return server.order
