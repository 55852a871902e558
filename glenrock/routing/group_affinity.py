"""The server at which each affinity group last had a connection.

A server does the common work of a group once, however many connections of the group it holds, so a group
should use few servers.
"""

from __future__ import annotations

from .state import Server

MAX_GROUPS = 20_000  # limits the memory use


class GroupAffinity:
    """The last server of each group. Above `MAX_GROUPS`, the least recently seen group is removed."""

    def __init__(self) -> None:
        self._servers: dict[int, Server] = {}

    def record_connection(self, group: int | None, server: Server) -> None:
        """Records that a connection of the group is open at the server; does nothing without a group."""
        if group is None:
            return
        self._servers.pop(group, None)
        self._servers[group] = server
        if len(self._servers) > MAX_GROUPS:
            del self._servers[next(iter(self._servers))]

    def last_server(self, group: int | None) -> Server | None:
        """Returns the server at which the group last had a connection; None if it is not known."""
        return None if group is None else self._servers.get(group)
