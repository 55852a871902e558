"""The table of all client connections of this process."""

from __future__ import annotations

import asyncio
import contextlib
import functools
import socket
from collections.abc import Callable, Coroutine

from glenrock.routing import interface

from ..log import get_logger
from . import descriptor_budget, protocol
from .client_connection import ClientConnection
from .clock import Clock
from .connection_messages import MigrateClient
from .descriptor_budget import DescriptorBudget
from .established_relay import EstablishedRelay
from .metrics import ConnectionMetrics, ConnectionOutcome
from .relay_pumps import create_shared_read_limit
from .request_history import RETENTION_MS, RequestHistory
from .routing_actor import RoutingActor
from .server_connections import ServerRegistry

UNANSWERED_TIMEOUT_MS = 4500.0  # until a client is migrated whose line has no answer; the protocol allows 7 s
SWEEP_INTERVAL_MS = 250.0
DELAY_REPORT_INTERVAL_MS = 1000.0  # between two reports of slow messages from one server
SLOW_MESSAGE_DIVISOR = 3  # a message is slow past the shortest message objective divided by this
DEFAULT_RETRY_AFTER_MS = 1000.0
# The longest wait that a request may ask for, as a multiple of its class's deadline. A longer one is an error of the
# client.
MAX_WAIT_DEADLINE_MULTIPLE = 10.0

logger = get_logger(__name__)


class ConnectionTable:
    """Holds all connections, and migrates clients whose server does not answer.

    Attributes:
        by_id: connections by request id, shared with the routing actor.
        budget: the descriptor budget.
        shared_read_limit: the limit that the reads of all relays share.
        count_other_descriptors: counts the descriptors of another process under the same limit.
        configured_names: the names that a request may use.
        retry_after_ms: the Retry-After of rejections that routing does not decide; 0 if the settings allow none.
    """

    def __init__(
        self,
        routing: RoutingActor,
        servers: ServerRegistry,
        clock: Clock,
        budget: DescriptorBudget,
        measures_delay: bool,
        metrics: ConnectionMetrics,
        history: RequestHistory | None = None,
    ) -> None:
        self.routing = routing
        self.servers = servers
        self.clock = clock
        self.metrics = metrics
        self.budget = budget
        self.by_id: dict[str, ClientConnection] = {}
        self._history = history
        self._claims_renewed_ms = clock.now_ms()
        self._retryable_classes = {
            request_class.name
            for request_class in routing.balancer.settings.classes
            if request_class.idempotency is interface.Idempotency.SAFE
        }
        self.shared_read_limit = create_shared_read_limit()
        self.count_other_descriptors: Callable[[], int] = _no_other_descriptors
        routing.find_connection = self.by_id.get
        settings = routing.balancer.settings
        self.configured_names = protocol.ConfiguredNames(
            {
                request_class.name: MAX_WAIT_DEADLINE_MULTIPLE * request_class.deadline_us / 1000
                for request_class in settings.classes
            },
            frozenset(tenant.name for tenant in settings.tenants),
        )
        self.retry_after_ms = 0.0
        if settings.may_send_retry_after:
            self.retry_after_ms = min(DEFAULT_RETRY_AFTER_MS, settings.max_retry_after_us / 1000)
        self._slow_message_ms = _slow_message_ms(settings) if measures_delay else 0.0
        self._delay_reported_ms: dict[str, float] = {}  # time of the last report, by server with slow messages
        self._taken_over: set[asyncio.Task[None]] = set()  # the event loop keeps only weak references to tasks

    def is_open(self, request_id: str) -> bool:
        """Returns whether a connection with that id is open."""
        return request_id in self.by_id

    def claim(self, request_line: protocol.RequestLine) -> bool:
        """Returns whether a request may begin: none of its id is in progress or may have run.

        That includes the other process of an upgrade. The id of a class that may run twice is free again once its
        request has ended, and a connection that is resumed has run before.
        """
        if self._history is None or request_line.resumes_at is not None:
            return True
        return self._history.claim(request_line.request_id)

    def _release(self, connection: ClientConnection) -> None:
        """Ends the claim of a request, whose id stays known if the request may have run and must not run twice."""
        request_line = connection.request_line
        if self._history is None or request_line.resumes_at is not None:
            return
        if connection.may_have_run and request_line.class_name not in self._retryable_classes:
            self._history.keep(request_line.request_id)
        else:
            self._history.forget(request_line.request_id)

    def count_open(self) -> int:
        """Returns the number of connections that have not ended and have not been sent their final answer."""
        return sum(not connection.has_ended for connection in self.by_id.values())

    def descriptors_by_purpose(self) -> dict[str, int]:
        """Returns the descriptors in use for relays and health checks, and those reserved for other purposes."""
        return {
            "program": descriptor_budget.PROGRAM_DESCRIPTORS,
            "operators": self.budget.operator_descriptors,
            "other_process": self.budget.other_process_descriptors,
            "health_checks": self.servers.count_health_check_connections(),
            "relays": descriptor_budget.DESCRIPTORS_PER_RELAY * len(self.by_id),
        }

    def record_outcome(self, outcome: ConnectionOutcome, class_name: str) -> None:
        """Counts the outcome of a connection that the acceptor has answered itself."""
        self.metrics.add(outcome, class_name)

    def is_full(self) -> bool:
        """Returns whether the descriptor limit allows no further connection."""
        return not self.budget.allows_relay(len(self.by_id))

    def max_idle_connections(self) -> int:
        """Returns how many connections that have sent no request may be open."""
        return self.budget.max_idle_connections(len(self.by_id))

    async def serve(self, sock: socket.socket, request_line: protocol.RequestLine) -> None:
        """Runs a connection until its end."""
        connection = self.by_id[request_line.request_id] = ClientConnection(self, sock, request_line)
        await self._run(connection, connection.run())

    def add_taken_over(self, connection: ClientConnection) -> None:
        """Adds a connection whose relay was taken over from the predecessor."""
        self.by_id[connection.request_line.request_id] = connection
        task = asyncio.get_running_loop().create_task(self._run(connection, connection.run_taken_over()))
        self._taken_over.add(task)
        task.add_done_callback(self._taken_over.discard)

    async def _run(self, connection: ClientConnection, work: Coroutine[None, None, None]) -> None:
        request_id = connection.request_line.request_id
        try:
            with contextlib.suppress(OSError):
                await work
        except Exception:  # a fault in one connection must not end the process
            logger.exception("unexpected error in a connection", request_id=request_id)
        finally:
            connection.reports.post_disconnected()
            connection.reports.count(ConnectionOutcome.FAULTED)  # no effect unless an exception ended the connection
            # Routing may have decided on the request before it learns of this end. Another request of the same id would
            # get those actions, and so run twice.
            self.routing.call_after_batch(functools.partial(self._remove, connection))

    def _remove(self, connection: ClientConnection) -> None:
        del self.by_id[connection.request_line.request_id]
        self._release(connection)

    def record_message_delay(self, connection: EstablishedRelay, delay_ms: float) -> None:
        """Reports a server's slow messages to routing, and the first message that is no longer slow."""
        if not self._slow_message_ms:
            return
        server = connection.server
        now_ms = self.clock.now_ms()
        reported_ms = self._delay_reported_ms.get(server)
        if delay_ms > self._slow_message_ms:
            if reported_ms is not None and now_ms - reported_ms < DELAY_REPORT_INTERVAL_MS:
                return
            self._delay_reported_ms[server] = now_ms
        elif self._delay_reported_ms.pop(server, None) is None:
            return
        request_id = connection.request_line.request_id
        self.routing.post(interface.ConnectionFeedback(request_id, server, message_us=delay_ms * 1000))

    async def sweep(self) -> None:
        """Does the periodic work of the table, for as long as the program runs.

        Migrates clients whose server does not answer, updates the descriptor count of the other process, and closes
        health check connections and server actors that are no longer used.
        """
        while True:
            await self.clock.sleep(SWEEP_INTERVAL_MS)
            self.budget.other_process_descriptors = self.count_other_descriptors()
            min_since_ms = self.clock.now_ms() - UNANSWERED_TIMEOUT_MS
            for connection in self.by_id.values():
                since_ms = connection.unanswered_since_ms
                if since_ms is not None and since_ms < min_since_ms and not connection.migration:
                    logger.warning(
                        "server does not answer: client migrated",
                        server=connection.server,
                        request_id=connection.request_line.request_id,
                    )
                    connection.mailbox.try_put(MigrateClient(interface.AttemptOutcome.BROKEN))
            self.servers.close_idle_connections()
            self._renew_claims()

    def _renew_claims(self) -> None:
        """Keeps the ids of long connections known to the other process of an upgrade."""
        now_ms = self.clock.now_ms()
        if self._history is None or now_ms - self._claims_renewed_ms < RETENTION_MS / 2:
            return
        self._claims_renewed_ms = now_ms
        for request_id in self.by_id:
            self._history.keep(request_id)


def _slow_message_ms(settings: interface.Settings) -> float:
    """Returns the delay in milliseconds past which a message is slow; 0 without a message objective."""
    objectives_us = [
        request_class.message_objective_us for request_class in settings.classes if request_class.message_objective_us
    ]
    return min(objectives_us) / (SLOW_MESSAGE_DIVISOR * 1000) if objectives_us else 0.0


def _no_other_descriptors() -> int:
    """The default of `count_other_descriptors`: no other process is under the same limit."""
    return 0
