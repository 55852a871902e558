"""Where the connections of each affinity group were last seen.

Each server that holds connections of a group bears the group's common work once more.
"""

from __future__ import annotations

from .state import Server

MAX_GROUPS = 20_000


class GroupAffinity:
    """The last server of each group. The least recently seen groups are forgotten first."""

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
        """Returns the server where the group was last seen; None if it is not known."""
        return None if group is None else self._servers.get(group)
