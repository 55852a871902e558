"""Notes changes of the endpoint list as notified once a balancer must know them, whether or not it called discovery.

By the protocol a change counts as told at the latest 6 s after discovery had it and could be reached. Without this, a
balancer that does not call would never be notified of a drain, and could not break the rule on drains.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from typing import NamedTuple

from .discovery_agent import DiscoveryAgent
from .endpoint_directory import EndpointDirectory
from .records import ListedRecord, RunRecord

MAX_NOTIFICATION_S = 6.0  # after discovery had the change and could be reached
POLL_S = 0.1


class SeenVersion(NamedTuple):
    """A version of the list, and when discovery had it."""

    version: int
    at_s: float


class NotificationDeadline:
    """The version of the list that one balancer must know. Pure.

    Attributes:
        version: the newest version that the balancer must know; 0 while there is none.
    """

    def __init__(self) -> None:
        self.version = 0
        self._agent: object | None = None
        self._reachable_since_s = 0.0
        self._pending: list[SeenVersion] = []

    def update(self, now_s: float, version: int, agent: object | None) -> None:
        """Advances the time.

        Args:
            now_s: the time.
            version: the version of the list that discovery has.
            agent: the discovery that the balancer can reach; None if there is none.
        """
        newest = self._pending[-1].version if self._pending else self.version
        if version > newest:
            self._pending.append(SeenVersion(version, now_s))
        if agent is None or agent is not self._agent:
            self._reachable_since_s = now_s
        self._agent = agent
        while self._pending and max(self._reachable_since_s, self._pending[0].at_s) + MAX_NOTIFICATION_S <= now_s:
            self.version = self._pending.pop(0).version


class NotificationDeadlines:
    """The deadlines of all balancers of a run.

    Args:
        directory: the list that discovery has.
        record: where changes are noted as notified.
        reachable_agent: returns the discovery that a balancer can reach now; None if there is none.
        balancers: the number of balancers.
    """

    def __init__(
        self,
        directory: EndpointDirectory,
        record: RunRecord,
        reachable_agent: Callable[[int], DiscoveryAgent | None],
        balancers: int,
    ) -> None:
        self._directory = directory
        self._record = record
        self._reachable_agent = reachable_agent
        self._deadlines = [NotificationDeadline() for _ in range(balancers)]

    async def run(self) -> None:
        """Notes changes until it is cancelled."""
        while True:
            for number, deadline in enumerate(self._deadlines):
                self._update(number, deadline)
            await asyncio.sleep(POLL_S)

    def _update(self, number: int, deadline: NotificationDeadline) -> None:
        noted, now_s = deadline.version, time.monotonic()
        deadline.update(now_s, self._directory.version, self._reachable_agent(number))
        if deadline.version == noted:
            return
        for server in self._directory.changed_since(noted):
            if server.version <= deadline.version:
                self._record.listed.append(ListedRecord(number, server.name, server.status, now_s))
