"""The known servers, from the endpoint list and the operators' overrides, and the rings to draw from."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import NamedTuple

from .event_batch import EventBatch
from .hash_ring import HashRing, RingChange, ring_points
from .interface import (
    Endpoint,
    EndpointList,
    EndpointListKind,
    EndpointState,
    OperatorOverride,
    Settings,
)
from .operator_overrides import OperatorOverrides
from .server_index import ServerIndex
from .state import RoutedRequest, Server, stable_hash

MIN_INITIAL_WEIGHT = 0.25  # of a server; 1 is the weight of a server of mean size
MAX_WEIGHT = 3.0
MAX_GONE_SERVERS = 1024  # that changes of the list have removed; their records stay until a whole list comes


class _PendingRingChange(NamedTuple):
    ring_change: RingChange[Server]
    is_in_zone: bool


class EndpointTable:
    """All known servers.

    Attributes:
        servers: by server id. Only this class adds and removes servers; other classes update the records.
        index: indices over the servers.
        ring: the ready servers.
        zone_ring: the ready servers in this balancer's zone; empty if connections to other zones are free.
    """

    def __init__(
        self, batch: EventBatch, settings: Settings, overrides: OperatorOverrides, migration_us: int
    ) -> None:
        self._batch = batch
        self._settings = settings
        self._overrides = overrides
        self._migration_us = migration_us
        self.servers: dict[str, Server] = {}
        self.ring: HashRing[Server] = HashRing()
        self.zone_ring: HashRing[Server] = HashRing()
        self.index = ServerIndex(self.servers)
        self._pending_changes: list[_PendingRingChange] = []
        self._added_count = 0
        self._gone_ids: dict[str, None] = {}  # of the servers that changes have removed, oldest first

    def apply(self, event: EndpointList, requests: Mapping[str, RoutedRequest]) -> None:
        """Applies an endpoint list or changes to it.

        A full list removes the servers that it lacks, unless they have connections, or `requests` in progress
        have attempts there.
        """
        if event.kind != EndpointListKind.CHANGES:
            self._mark_others_unlisted(event, requests)
        sizes = [entry.size for entry in event.entries]
        mean_size = sum(sizes) / len(sizes) if sizes else 1.0
        for entry in event.entries:
            server = self.servers.get(entry.server_id) or self._add(entry, mean_size)
            server.zone = entry.zone
            server.cell = entry.cell
            self._set_listed_ready(server, entry.state == EndpointState.READY)
            started_us = self._overrides.started_us(server.server_id, entry.started_us)
            if started_us > server.started_us:
                self._record_restart(server, started_us)
            self._record_gone(entry)
        self._apply_ring_changes()
        self._remove_oldest_gone(requests)

    def _record_gone(self, entry: Endpoint) -> None:
        self._gone_ids.pop(entry.server_id, None)
        if entry.state == EndpointState.GONE:
            self._gone_ids[entry.server_id] = None

    def _remove_oldest_gone(self, requests: Mapping[str, RoutedRequest]) -> None:
        """Removes servers that are gone, without connections and attempts, above `MAX_GONE_SERVERS`."""
        surplus = len(self._gone_ids) - MAX_GONE_SERVERS
        for server_id in list(self._gone_ids)[: max(0, surplus)]:
            server = self.servers.get(server_id)
            if server is None or not (server.connections or _has_attempts(server, requests)):
                self.servers.pop(server_id, None)
                del self._gone_ids[server_id]

    def apply_override(self, event: OperatorOverride) -> None:
        """Suspends or resumes a server."""
        changed = self._overrides.apply(event, self._batch.now_us)
        server = self.servers.get(event.server_id)
        if changed and server:
            self._record_restart(
                server, max(server.started_us, self._overrides.started_us(server.server_id, 0))
            )
            self._set_listed_ready(server, server.is_listed_ready)
            self._apply_ring_changes()

    def schedule_migration(self, server: Server) -> None:
        """Sets the deadline to migrate clients off a server that is not ready and has an open connection.

        A server that already drained when this balancer started has no deadline yet.
        """
        if not server.is_ready and not server.migrate_by_us:
            server.migrate_by_us = self._batch.now_us + self._migration_us

    def ready_servers(self) -> Sequence[Server]:
        """Returns the ready servers."""
        return self.index.ready

    def _record_restart(self, server: Server, at_us: int) -> None:
        server.reset_for_restart(at_us)
        self.index.add_warming(server)

    def _mark_others_unlisted(self, event: EndpointList, requests: Mapping[str, RoutedRequest]) -> None:
        listed_ids = {entry.server_id for entry in event.entries}
        for server in [server for server in self.servers.values() if server.server_id not in listed_ids]:
            self._set_listed_ready(server, False)
            if (
                event.kind == EndpointListKind.FULL
                and not server.connections
                and not _has_attempts(server, requests)
            ):
                del self.servers[server.server_id]

    def _add(self, entry: Endpoint, mean_size: float) -> Server:
        server = Server(entry.server_id, entry.zone, entry.cell, stable_hash(entry.server_id))
        if mean_size > 0:
            server.weight = min(MAX_WEIGHT, max(MIN_INITIAL_WEIGHT, entry.size / mean_size))
        server.order = self._added_count
        server.first_listed_at_us = self._batch.now_us
        self._added_count += 1
        self.servers[entry.server_id] = server
        return server

    def _set_listed_ready(self, server: Server, is_listed_ready: bool) -> None:
        server.is_listed_ready = is_listed_ready
        is_ready = is_listed_ready and self._overrides.allows(server.server_id)
        if server.is_ready == is_ready:
            return
        server.is_ready = is_ready
        self.index.invalidate_ready()
        # The clients of a server that is gone migrate too, since half-open connections to it may remain.
        server.migrate_by_us = 0 if is_ready else self._batch.now_us + self._migration_us
        is_in_zone = server.zone == self._settings.zone and self._settings.cross_zone_cost > 0
        change = RingChange(server, ring_points(server.hash), is_ready)
        self._pending_changes.append(_PendingRingChange(change, is_in_zone))

    def _apply_ring_changes(self) -> None:
        """Applies all pending changes to the rings at once: thousands of single ones would take seconds."""
        self.ring.change([change.ring_change for change in self._pending_changes])
        self.zone_ring.change([change.ring_change for change in self._pending_changes if change.is_in_zone])
        self._pending_changes.clear()


def _has_attempts(server: Server, requests: Mapping[str, RoutedRequest]) -> bool:
    return any(attempt.server is server for request in requests.values() for attempt in request.attempts)
