"""Where a group's connections were last seen: each server that holds any of them pays for the group anew."""

from __future__ import annotations

from .state import Server

MAX_GROUPS = 20_000


class GroupAffinity:
    """The last server of each group; the group that was seen longest ago is forgotten first."""

    def __init__(self) -> None:
        self._servers: dict[int, Server] = {}

    def remember(self, group: int | None, server: Server) -> None:
        """A connection of that group stands there; nothing to remember for one without a group."""
        if group is None:
            return
        self._servers.pop(group, None)
        self._servers[group] = server
        if len(self._servers) > MAX_GROUPS:
            del self._servers[next(iter(self._servers))]

    def server_of(self, group: int | None) -> Server | None:
        """Where that group was last seen to stand."""
        return None if group is None else self._servers.get(group)
