"""Indices over the servers, updated on each change, so that a round need not visit thousands of servers.

The work of a round depends on this balancer's traffic and on recent faults: the round visits the servers with
connections, those that failed recently, and those that are warming up.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Mapping

from .state import Server

LARGE_FLEET = 128  # servers; above this number a new connection for health checks costs a token


class ServerIndex:
    """The servers by the states that a round needs. All lists are in the order of first listing."""

    def __init__(self, servers: Mapping[str, Server]) -> None:
        self._servers = servers
        self._ready: list[Server] | None = None
        self._occupied: dict[str, Server] = {}
        self._suspects: dict[str, Server] = {}
        self._warming: dict[str, Server] = {}

    # -- changes ---------------------------------------------------------------------------------------

    def invalidate_ready(self) -> None:
        """Discards the cached list of ready servers, after a server has become ready or not ready."""
        self._ready = None

    def add_occupied(self, server: Server) -> None:
        """Adds a server at which this balancer has a connection."""
        self._occupied[server.server_id] = server

    def add_suspect(self, server: Server) -> None:
        """Adds a server that has just failed."""
        self._suspects[server.server_id] = server

    def add_warming(self, server: Server) -> None:
        """Adds a server whose process has just started."""
        self._warming[server.server_id] = server

    # -- queries ---------------------------------------------------------------------------------------

    @property
    def ready(self) -> list[Server]:
        """The ready servers. It is the same list object until its content changes; do not modify it."""
        if self._ready is None:
            self._ready = [server for server in self._servers.values() if server.is_ready]
        return self._ready

    @property
    def is_large(self) -> bool:
        """Whether so many servers are ready that each is checked rarely, and then on a new connection."""
        return len(self.ready) > LARGE_FLEET

    def with_connections(self) -> list[Server]:
        """Returns the servers at which this balancer has connections."""
        for server_id in [id_ for id_, server in self._occupied.items() if not server.connections]:
            del self._occupied[server_id]
        return sorted(self._occupied.values(), key=_listing_order)

    def ready_without_suspects(self, now_us: int) -> list[Server]:
        """Returns the ready servers without a recent failure; the list `ready` itself if none has failed."""
        for server_id, server in list(self._suspects.items()):
            if not server.consecutive_failures and now_us >= server.ejected_until_us:
                del self._suspects[server_id]
        return _without(self.ready, self._suspects)

    def split_by_warmth(
        self, servers: list[Server], is_warm: Callable[[Server], bool]
    ) -> tuple[list[Server], list[Server]]:
        """Splits servers into the warm ones and those that are warming up.

        If all servers are warm, the first result is the list `servers` itself.
        """
        for server_id, server in list(self._warming.items()):
            if is_warm(server):
                del self._warming[server_id]
        warming = [server for server in servers if server.server_id in self._warming] if self._warming else []
        return _without(servers, self._warming), warming


def _without(servers: list[Server], excluded: Collection[str]) -> list[Server]:
    return [server for server in servers if server.server_id not in excluded] if excluded else servers


def _listing_order(server: Server) -> int:
    return server.order
