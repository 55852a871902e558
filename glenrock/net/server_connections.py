"""All servers by name, and an actor for each that has something to do."""

from __future__ import annotations

from collections.abc import Iterator

from glenrock.routing import interface

from ..log import get_logger
from .clock import Clock, micros
from .descriptor_budget import DescriptorBudget
from .endpoint_rows import STATES, EndpointRow
from .health_connections import HealthConnections
from .metrics import ConnectionMetrics
from .server_actor import Post, ServerActor, ServerJob
from .start_times import StartTimes

MAX_SERVERS = 8192  # rows kept; a row is some hundred bytes, and a list past that is not this deployment's
RETIRE_AFTER_MS = 10_000.0  # an actor without work is ended between one and two of these later

logger = get_logger(__name__)


class ServerRegistry:
    """All servers by name. A name is an identity: its address may change, its process may restart.

    Actors are made at first use and retired when idle, so that what this process holds goes by its traffic and not by
    the length of the list.

    Attributes:
        rows: of the endpoint list by name; those that are gone too, while there is room.
        actors: by name, of the servers that have work or had some lately.
        has_list: discovery has told a list, so that a name that is not in it is no server's.
        out: out of rotation by operators, listed or not.
        post: takes events for the routing actor.
    """

    def __init__(
        self,
        clock: Clock,
        dial_ms: float,
        post: Post,
        metrics: ConnectionMetrics,
        budget: DescriptorBudget,
        start_times: StartTimes,
    ) -> None:
        self.rows: dict[str, EndpointRow] = {}
        self.actors: dict[str, ServerActor] = {}
        self.has_list = False
        self.out: set[str] = set()
        self.post = post
        self.dial_ms = dial_ms
        self._clock = clock
        self._metrics = metrics
        self._budget = budget
        self._start_times = start_times
        self._pool = HealthConnections(lambda: budget.health_checks)
        self._idle: set[str] = set()  # actors that were idle when last looked at
        self._looked_ms = clock.now()

    def hold(self, name: str, out: bool) -> None:
        """Nothing that is queued or being connected starts there any more, or all may again."""
        if out:
            self.out.add(name)
        else:
            self.out.discard(name)
        if actor := self.actors.get(name):
            actor.held = out

    def listed(self) -> list[str]:
        """Names of the servers that discovery lists."""
        return [row.name for row in self.listed_rows()]

    def listed_rows(self) -> Iterator[EndpointRow]:
        """Rows of the servers that discovery lists."""
        return (row for row in self.rows.values() if row.status != "DELETED")

    def knows(self, name: str) -> bool:
        """Whether the server is listed, or was."""
        return name in self.rows

    def count_health_connections(self) -> int:
        """Connections for health checks that are open."""
        return len(self._pool)

    def get(self, name: str) -> ServerActor | None:
        """The actor of that server, made where there is none yet; None where no such server is known."""
        if actor := self.actors.get(name):
            return actor
        row = self.rows.get(name)
        if row is None:
            return None
        actor = ServerActor(row, self._clock, self.dial_ms, self._post, self._metrics, self._pool)
        actor.held = name in self.out
        self.actors[name] = actor
        return actor

    def _post(self, event: interface.Event) -> bool:
        return self.post(event)

    def update(self, kind: interface.EndpointListKind, rows: list[EndpointRow]) -> None:
        """Takes a list or changes of it, and hands them to the routing actor."""
        if kind != interface.EndpointListKind.CHANGES:
            self._mark_others_deleted({row.name for row in rows})
        for row in rows:
            self._update_one(row)
        self._budget.servers = len(self.rows)
        self.has_list = self.has_list or kind == interface.EndpointListKind.FULL
        kept = [row for row in rows if row.name in self.rows]
        started_ms = self._start_times.take(kept)
        endpoints = tuple(_endpoint_of(row, at_ms) for row, at_ms in zip(kept, started_ms, strict=True))
        self.post(interface.EndpointList(kind, endpoints))

    def _mark_others_deleted(self, named: set[str]) -> None:
        for name, row in self.rows.items():
            if name not in named:
                row.status = "DELETED"

    def _update_one(self, row: EndpointRow) -> None:
        if row.name not in self.rows and len(self.rows) >= MAX_SERVERS:
            self._forget_deleted()
            if len(self.rows) >= MAX_SERVERS:
                logger.error("endpoint row ignored: too many servers", server=row.name, max_servers=MAX_SERVERS)
                return
        self.rows[row.name] = row
        if actor := self.actors.get(row.name):
            actor.update(row)

    def _forget_deleted(self) -> None:
        deleted = [row.name for row in self.rows.values() if row.status == "DELETED" and not self._is_at_work(row.name)]
        for name in deleted:
            del self.rows[name]
            self._start_times.forget(name)
            self._retire(name)

    def _is_at_work(self, name: str) -> bool:
        actor = self.actors.get(name)
        return actor is not None and bool(actor.tasks)

    def probe(self, name: str) -> None:
        """Sends a health check; one that cannot be sent is told."""
        actor = self.get(name)
        if actor is None or not actor.mailbox.put(ServerJob.HEALTH_CHECK):
            self.post(interface.HealthCheckResult(name, interface.AttemptOutcome.UNSENT))

    def tidy(self) -> None:
        """Closes health checks' connections that have been idle, and retires actors without work."""
        for actor in self.actors.values():
            actor.tidy()
        if self._clock.now() - self._looked_ms < RETIRE_AFTER_MS:
            return
        self._looked_ms = self._clock.now()
        idle = {name for name, actor in self.actors.items() if actor.is_idle}
        for name in idle & self._idle:
            self._retire(name)
        self._idle = idle

    def _retire(self, name: str) -> None:
        if actor := self.actors.pop(name, None):
            actor.stop()


def _endpoint_of(row: EndpointRow, started_ms: float) -> interface.Endpoint:
    return interface.Endpoint(row.name, STATES[row.status], row.zone, row.group, row.weight, micros(started_ms))
