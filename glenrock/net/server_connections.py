"""The registry of servers by name, with an actor for each server that is in use."""

from __future__ import annotations

from collections.abc import Iterator

from glenrock.routing import interface
from glenrock.routing.interface import EndpointListKind, EndpointState

from ..log import get_logger
from .clock import Clock, us_from_ms
from .descriptor_budget import DescriptorBudget
from .endpoint_rows import EndpointRow
from .health_check_pool import HealthCheckPool
from .metrics import ConnectionMetrics
from .server_actor import PostEvent, ServerActor, ServerCommand
from .start_times import StartTimes

MAX_SERVERS = 8192  # bounds the memory for rows
RETIRE_CHECK_INTERVAL_MS = 10_000.0  # an actor is retired after one to two intervals without work

logger = get_logger(__name__)


class ServerRegistry:
    """All servers by name. A server is identified by its name, since its address may change and it may restart.

    An actor is created when a server is first used, and is retired when it has no work. So the memory for actors
    depends on the traffic and not on the length of the endpoint list.

    Attributes:
        rows: rows of the endpoint list by server name; the rows of servers that are gone stay until `MAX_SERVERS` is
            reached.
        actors: actors by server name.
        has_list: whether discovery has reported a whole endpoint list. Then a name that was never listed belongs to no
            server.
        suspended: names of suspended servers, listed or not.
        post: takes events for routing, also while its mailbox is full. Coordination may replace it, so actors call
            `_post`, which reads it each time.
        connect_timeout_ms: the timeout for establishing a connection to a server.
    """

    def __init__(
        self,
        clock: Clock,
        connect_timeout_ms: float,
        post: PostEvent,
        metrics: ConnectionMetrics,
        budget: DescriptorBudget,
        start_times: StartTimes,
    ) -> None:
        self.rows: dict[str, EndpointRow] = {}
        self.actors: dict[str, ServerActor] = {}
        self.has_list = False
        self.suspended: set[str] = set()
        self.post = post
        self.connect_timeout_ms = connect_timeout_ms
        self._clock = clock
        self._metrics = metrics
        self._budget = budget
        self._start_times = start_times
        self._pool = HealthCheckPool(lambda: budget.max_health_check_connections)
        # An actor that has no work at two consecutive checks is retired.
        self._retirable_at_last_check: set[str] = set()
        self._last_retire_check_ms = clock.now_ms()

    def set_suspended(self, name: str, is_suspended: bool) -> None:
        """Suspends or resumes a server. A suspension also applies to attempts that are already queued."""
        if is_suspended:
            self.suspended.add(name)
        else:
            self.suspended.discard(name)
        if actor := self.actors.get(name):
            actor.is_suspended = is_suspended

    def listed_names(self) -> list[str]:
        """Returns the names of the servers that discovery lists."""
        return [row.name for row in self.listed_rows()]

    def listed_rows(self) -> Iterator[EndpointRow]:
        """Returns the rows of the servers that discovery lists."""
        return (row for row in self.rows.values() if row.state is not EndpointState.GONE)

    def was_ever_listed(self, name: str) -> bool:
        """Returns whether the server is listed, or was listed and still has its row."""
        return name in self.rows

    def count_health_check_connections(self) -> int:
        """Returns the number of connections for health checks that are open or about to be."""
        return len(self._pool)

    def get(self, name: str) -> ServerActor | None:
        """Returns the actor of a server, and creates it if necessary. Returns None for an unknown server."""
        if actor := self.actors.get(name):
            return actor
        row = self.rows.get(name)
        if row is None:
            return None
        actor = ServerActor(row, self._clock, self.connect_timeout_ms, self._post, self._metrics, self._pool)
        actor.is_suspended = name in self.suspended
        self.actors[name] = actor
        return actor

    def _post(self, event: interface.Event) -> None:
        self.post(event)

    def update(self, kind: EndpointListKind, rows: list[EndpointRow]) -> None:
        """Stores an endpoint list or changes to it, and passes them to routing."""
        if kind is not EndpointListKind.CHANGES:
            self._mark_others_gone({row.name for row in rows})
        for row in rows:
            self._replace_row(row)
        self._budget.server_count = len(self.rows)
        self.has_list = self.has_list or kind is EndpointListKind.FULL
        accepted = [row for row in rows if row.name in self.rows]
        started_ms = self._start_times.start_times_ms(accepted)
        endpoints = tuple(_to_endpoint(row, at_ms) for row, at_ms in zip(accepted, started_ms, strict=True))
        self.post(interface.EndpointList(kind, endpoints))

    def _mark_others_gone(self, listed: set[str]) -> None:
        for name, row in self.rows.items():
            if name not in listed:
                row.state = EndpointState.GONE

    def _replace_row(self, row: EndpointRow) -> None:
        if row.name not in self.rows and len(self.rows) >= MAX_SERVERS:
            self._remove_gone_rows()
            if len(self.rows) >= MAX_SERVERS:
                logger.error("endpoint row ignored: too many servers", server=row.name, max_servers=MAX_SERVERS)
                return
        self.rows[row.name] = row
        if actor := self.actors.get(row.name):
            actor.update(row)

    def _remove_gone_rows(self) -> None:
        gone = [
            row.name for row in self.rows.values() if row.state is EndpointState.GONE and not self._has_tasks(row.name)
        ]
        for name in gone:
            del self.rows[name]
            self._start_times.forget(name)
            self._retire(name)

    def _has_tasks(self, name: str) -> bool:
        actor = self.actors.get(name)
        return actor is not None and bool(actor.tasks)

    def send_health_check(self, name: str) -> None:
        """Sends a health check. Routing receives a result even if the check cannot be sent."""
        actor = self.get(name)
        if actor is None or not actor.mailbox.try_put(ServerCommand.HEALTH_CHECK):
            self.post(interface.HealthCheckResult(name, interface.AttemptOutcome.UNSENT))

    def close_idle_connections(self) -> None:
        """Closes idle connections for health checks, and retires actors without work."""
        for actor in self.actors.values():
            actor.close_idle_connection()
        if self._clock.now_ms() - self._last_retire_check_ms < RETIRE_CHECK_INTERVAL_MS:
            return
        self._last_retire_check_ms = self._clock.now_ms()
        retirable_names = {name for name, actor in self.actors.items() if actor.may_retire}
        for name in retirable_names & self._retirable_at_last_check:
            self._retire(name)
        self._retirable_at_last_check = retirable_names

    def _retire(self, name: str) -> None:
        if actor := self.actors.pop(name, None):
            actor.stop()


def _to_endpoint(row: EndpointRow, started_ms: float) -> interface.Endpoint:
    return interface.Endpoint(row.name, row.state, row.zone, row.group, row.weight, us_from_ms(started_ms))
