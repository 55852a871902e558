"""The table of all clients' connections."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Callable, Coroutine

from glenrock.routing import interface

from ..log import get_logger
from . import descriptor_budget, protocol
from .client_connection import ClientConnection
from .clock import Clock
from .connection_messages import MigrateClient
from .descriptor_budget import DescriptorBudget
from .metrics import ConnectionMetrics, ConnectionOutcome
from .routing_actor import RoutingActor
from .server_connections import ServerRegistry

SILENT_MS = 4500.0  # a client line unanswered this long: its server is out of reach (7 s is the rule)
SWEEP_MS = 250.0
DELAY_NOTICE_MS = 1000.0  # word of slow messages at a server, at most this often
SLOW_SHARE = 3  # a message is slow past this part of the shortest objective
RETRY_AFTER_MS = 1000.0  # whoever is rejected beside the decisions comes again after this, where clients may wait so
LONGEST_WAIT = 10.0  # a client that wants to wait this many times its class's deadline sent no sound number

logger = get_logger(__name__)


class ConnectionTable:
    """Keeps the table, and watches for silent servers.

    Attributes:
        by_id: connections by request, shared with the routing actor.
        budget: of descriptors.
        elsewhere: counts the descriptors of another process under the same limit.
        known: what an OPEN may name.
        retry_after_ms: whoever is rejected beside the decisions comes again after this; 0: nobody may be told when.
    """

    def __init__(
        self,
        routing: RoutingActor,
        servers: ServerRegistry,
        clock: Clock,
        budget: DescriptorBudget,
        measures_delay: bool,
        metrics: ConnectionMetrics,
    ) -> None:
        self.routing = routing
        self.servers = servers
        self.clock = clock
        self.metrics = metrics
        self.budget = budget
        self.by_id: dict[str, ClientConnection] = {}
        self.elsewhere: Callable[[], int] = _none_elsewhere
        routing.connection_of = self.by_id.get
        settings = routing.balancer.settings
        self.known = protocol.KnownNames(
            {one.name: LONGEST_WAIT * one.deadline_us / 1000 for one in settings.classes},
            frozenset(tenant.name for tenant in settings.tenants),
        )
        self.retry_after_ms = 0.0
        if settings.may_send_retry_after:
            self.retry_after_ms = min(RETRY_AFTER_MS, settings.max_retry_after_us / 1000)
        objectives = [one.message_objective_us for one in settings.classes if one.message_objective_us]
        self._slow_ms = min(objectives) / (SLOW_SHARE * 1000) if objectives and measures_delay else 0.0
        self._noticed_ms: dict[str, float] = {}  # servers whose messages were slow, and when that was told
        self._adopted: set[asyncio.Task[None]] = set()  # the loop itself keeps no hold on a task

    def knows(self, request_id: str) -> bool:
        """Whether a connection of that id is open."""
        return request_id in self.by_id

    def count_open(self) -> int:
        """Connections taken that have not had their last word."""
        return sum(not connection.ended for connection in self.by_id.values())

    def descriptors_by_purpose(self) -> dict[str, int]:
        """Descriptors in use for clients and health checks, and those set aside for the rest."""
        return {
            "program": descriptor_budget.PROGRAM,
            "operators": self.budget.operators,
            "other_process": self.budget.elsewhere,
            "health_checks": self.servers.count_health_connections(),
            "relays": descriptor_budget.PER_RELAY * len(self.by_id),
        }

    def record_answered(self, outcome: ConnectionOutcome, class_name: str) -> None:
        """A connection with a sound first line has had its answer from the acceptor."""
        self.metrics.add(outcome, class_name)

    def full(self) -> bool:
        """Whether there is no room for another."""
        return not self.budget.has_room(len(self.by_id))

    def room(self) -> int:
        """Connections that may be open without a request."""
        return self.budget.unrouted(len(self.by_id))

    async def serve(self, sock: socket.socket, opened: protocol.OpenLine) -> None:
        """Routes a connection, until its end."""
        connection = self.by_id[opened.id] = ClientConnection(self, sock, opened)
        await self._host(connection, connection.run())

    def adopt(self, connection: ClientConnection) -> None:
        """One whose relay has been taken over."""
        self.by_id[connection.opened.id] = connection
        task = asyncio.get_running_loop().create_task(self._host(connection, connection.carry_on()))
        self._adopted.add(task)
        task.add_done_callback(self._adopted.discard)

    async def _host(self, connection: ClientConnection, work: Coroutine[None, None, None]) -> None:
        try:
            with contextlib.suppress(OSError):
                await work
        except Exception:  # the edge of the connection's actor
            logger.exception("unexpected error in a connection", request_id=connection.opened.id)
        finally:
            connection.forget()
            connection.count("faulted")  # an exception ended it
            del self.by_id[connection.opened.id]

    def record_delay(self, connection: ClientConnection, delay_ms: float) -> None:
        """A message's time at a server: told while it is slow, and once when it no longer is."""
        if not self._slow_ms:
            return
        server, now_ms = connection.server, self.clock.now()
        noticed_ms = self._noticed_ms.get(server)
        if delay_ms > self._slow_ms:
            if noticed_ms is not None and now_ms - noticed_ms < DELAY_NOTICE_MS:
                return
            self._noticed_ms[server] = now_ms
        elif self._noticed_ms.pop(server, None) is None:
            return
        feedback = interface.ConnectionFeedback(connection.opened.id, server, message_us=delay_ms * 1000)
        self.routing.post(feedback)

    async def sweep(self) -> None:
        """Looks for silent servers for as long as the program runs."""
        while True:
            await self.clock.sleep(SWEEP_MS)
            self.budget.elsewhere = self.elsewhere()
            oldest_ms = self.clock.now() - SILENT_MS
            for connection in self.by_id.values():
                asked_at = connection.asked_at
                if asked_at is not None and asked_at < oldest_ms and not connection.migrating:
                    logger.warning(
                        "server does not answer: client migrated",
                        server=connection.server,
                        request_id=connection.opened.id,
                    )
                    connection.mailbox.put(MigrateClient(interface.AttemptOutcome.BROKEN))
            self.servers.tidy()


def _none_elsewhere() -> int:
    """No other process holds descriptors under the same limit."""
    return 0
