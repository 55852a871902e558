"""Migrates all clients of this balancer: at SIGTERM, and on an operator's call."""

from __future__ import annotations

import asyncio
import functools
from collections.abc import Callable
from typing import Protocol

from glenrock.routing import interface

from ..log import get_logger
from ..operation_errors import OperationRejectedError
from .acceptor import Acceptor
from .client_connection import ClientConnection
from .clock import Clock
from .connection_messages import AnswerNow, HandOverRelay, MigrateClient
from .connection_table import ConnectionTable

STEP_MS = 50.0  # between two steps of a drain
FRONT_END_NOTICE_MS = 450.0  # until the front end sends none here; a client that migrates earlier is sent back here
MANUAL_REJECT_AFTER_MS = 1000.0  # from the start of a manual drain to the first rejection
MANUAL_DRAIN_MS = 3000.0  # from the start of a manual drain until all clients are asked to migrate
SIGKILL_AFTER_DEADLINE_MS = 700.0  # from the longest deadline after SIGTERM to SIGKILL
SHUTDOWN_MARGIN_MS = 500.0  # from the end of the shutdown to SIGKILL
MAX_DEADLINE_MS = 3000.0  # a longer deadline of a class does not delay the end
MIGRATED_BEFORE_END_MS = 200.0  # from the last client's migration to the end
LAST_ANSWERS_MS = 250.0  # after the end, for idle connections
HAND_OVER_STEP_MS = 10.0
MAX_OFFERED_RELAYS = 16  # relays that wait for the successor with their pumps stopped
HAND_OVER_MARGIN_MS = 700.0  # from the end of handing over to the end, to migrate the remaining clients
LONE_BALANCER_MIGRATION_MS = 400.0  # to migrate all clients, if no other balancer can serve them
STEP_ROUNDING = 0.49  # added before round(): rounds up, but not a fraction below a hundredth

logger = get_logger(__name__)


class Successor(Protocol):
    """The process after this one in an upgrade."""

    @property
    def is_connected(self) -> bool:
        """Whether the successor still accepts relays."""
        ...

    @property
    def handed_over_count(self) -> int:
        """The number of relays that the successor has accepted, or has not answered in time."""
        ...

    def connect(self) -> bool:
        """Returns whether there is a successor."""
        ...

    async def hand_over(self, connection: ClientConnection) -> bool:
        """Offers a relay. Returns whether it belongs to the successor now."""
        ...


class GracefulShutdown:
    """Drains this balancer of its clients."""

    def __init__(self, table: ConnectionTable, acceptor: Acceptor, clock: Clock) -> None:
        self._table = table
        self._acceptor = acceptor
        self._clock = clock
        self._manual_drain: asyncio.Task[None] | None = None
        self._is_stopping = False

    def unready_reason(self) -> str | None:
        """Returns why front ends should send no new clients here; None if they may.

        Clients that come nevertheless are still served for a while.
        """
        if self._is_stopping:
            return "not ready: stopping"
        return "not ready: draining" if self._manual_drain else None

    # -- on an operator's call -------------------------------------------------------------------------

    def start_manual_drain(self, drain_permit_is_valid: Callable[[], bool] | None = None) -> None:
        """Starts to migrate all clients, until `end_manual_drain`.

        Args:
            drain_permit_is_valid: called before each step of this drain; it ends the drain once the permit is lost.

        Raises:
            OperationRejectedError: the process is stopping.
        """
        self._reject_while_stopping()
        if not self._manual_drain:
            logger.info("drain started", clients=len(self._table.by_id))
            self._acceptor.is_manually_draining = True
            self._acceptor.drain_permit_check = drain_permit_is_valid
            self._table.routing.post_priority_event(interface.DrainMode(True))
            self._manual_drain = asyncio.get_running_loop().create_task(self._drain())

    def end_manual_drain(self) -> None:
        """Accepts clients again.

        Raises:
            OperationRejectedError: the process is stopping.
        """
        self._reject_while_stopping()
        if self._manual_drain:
            logger.info("drain ended: clients are accepted again")
            self._cancel_manual_drain()

    def _reject_while_stopping(self) -> None:
        if self._is_stopping:
            raise OperationRejectedError("not done: the process is stopping")

    def _cancel_manual_drain(self) -> None:
        if self._manual_drain:
            self._manual_drain.cancel()
            self._table.routing.post_priority_event(interface.DrainMode(False))
        self._manual_drain = None
        self._acceptor.is_manually_draining = False
        self._acceptor.rejects_requests = False

    async def _drain(self) -> None:
        """Migrates clients evenly over the drain, and those that connect later at once, until it is cancelled."""
        started_ms = self._clock.now_ms()
        end_ms = started_ms + MANUAL_DRAIN_MS
        await self._clock.sleep(FRONT_END_NOTICE_MS)
        while True:
            if not self._acceptor.check_drain_permit():
                return
            now_ms = self._clock.now_ms()
            self._acceptor.rejects_requests = now_ms >= started_ms + MANUAL_REJECT_AFTER_MS
            self._migrate_step(end_ms - now_ms)
            if now_ms >= end_ms:
                self._answer_waiting_clients()
            await self._clock.sleep(STEP_MS)

    def _migrate_step(self, left_ms: float) -> None:
        """Migrates this step's part of the clients, so that all migrate within `left_ms`."""
        connections = [
            connection
            for connection in self._table.by_id.values()
            if connection.established.is_set() and not connection.migration
        ]
        steps = max(1.0, left_ms / STEP_MS)
        for connection in connections[: max(1, round(len(connections) / steps + STEP_ROUNDING))]:
            connection.mailbox.try_put(MigrateClient(interface.AttemptOutcome.CANCELLED))

    def _answer_waiting_clients(self) -> None:
        for connection in list(self._table.by_id.values()):
            if not connection.established.is_set() and not connection.has_ended:
                connection.mailbox.put_unbounded(AnswerNow(self._table.retry_after_ms))

    # -- at SIGTERM ------------------------------------------------------------------------------------

    async def stop(self, has_inherited_listener: bool, successor: Successor | None) -> None:
        """Ends the service of this process before SIGKILL.

        Times after SIGTERM, where D is the longest deadline of a class, at most 3 s:

            0            routing learns of the drain; with an inherited listening socket this process stops accepting,
                         and relays are handed over to a successor
            0.45 s       without an inherited listening socket: migration begins, spread evenly until D
            D - 0.5 s    with a successor: handing over ends, and the remaining clients migrate until D
            D - 0.2 s    without a successor, if no other balancer can serve the clients: they migrate until D
            D + 0.2 s    the end: idle connections and waiting requests get their answers
            D + 0.45 s   the process exits at the latest; earlier if it accepts no connections and has none
            D + 0.7 s    SIGKILL
        """
        self._is_stopping = True
        self._cancel_manual_drain()
        routing = self._table.routing
        routing.post_priority_event(interface.DrainMode(True))
        end_ms = self._end_ms()
        if has_inherited_listener:
            self._acceptor.close()
        else:
            await self._clock.sleep(FRONT_END_NOTICE_MS)
        if successor and successor.connect():
            # The successor has the same number among the balancers, so only one of both may send gossip.
            routing.stop_gossip()
            await self._hand_over(successor, end_ms - HAND_OVER_MARGIN_MS)
        elif routing.balancer.settings.balancers == 1:
            # No other balancer can serve the clients, so they stay here as long as possible.
            await self._clock.sleep(max(0.0, end_ms - LONE_BALANCER_MIGRATION_MS - self._clock.now_ms()))
        await self._migrate_all(end_ms, has_inherited_listener)
        await self._answer_last_clients(end_ms + LAST_ANSWERS_MS, has_inherited_listener)

    async def _answer_last_clients(self, last_answer_ms: float, has_inherited_listener: bool) -> None:
        """Answers idle connections and requests that have just arrived, before the process ends."""
        self._acceptor.close_idle()
        for connection in list(self._table.by_id.values()):
            connection.mailbox.put_unbounded(AnswerNow(self._table.retry_after_ms))
        while self._clock.now_ms() < last_answer_ms and (
            self._table.by_id or self._acceptor.tasks or not has_inherited_listener
        ):
            await self._clock.sleep(STEP_MS)

    def _end_ms(self) -> float:
        classes = self._table.routing.balancer.settings.classes
        longest_deadline_us = max(request_class.deadline_us for request_class in classes)
        longest_ms = min(MAX_DEADLINE_MS, longest_deadline_us / 1000)
        return self._clock.now_ms() + longest_ms + SIGKILL_AFTER_DEADLINE_MS - SHUTDOWN_MARGIN_MS

    def _has_clients(self) -> bool:
        """Returns whether a client is connected that may have sent a request."""
        return bool(self._table.by_id or self._acceptor.idle.unanswered)

    async def _migrate_all(self, end_ms: float, has_inherited_listener: bool) -> None:
        """Migrates clients until the end, since clients can connect as long as the listening socket is open."""
        while (now_ms := self._clock.now_ms()) < end_ms and (self._has_clients() or not has_inherited_listener):
            self._migrate_step(end_ms - MIGRATED_BEFORE_END_MS - now_ms)
            await self._clock.sleep(STEP_MS)

    async def _hand_over(self, successor: Successor, end_ms: float) -> None:
        """Hands relays over until the end, also those that are established in the meantime."""
        while successor.is_connected and self._clock.now_ms() < end_ms and self._has_clients():
            ready = [
                connection
                for connection in self._table.by_id.values()
                if not connection.is_offered and connection.may_hand_over()
            ]
            for connection in ready[:MAX_OFFERED_RELAYS]:
                offer = functools.partial(successor.hand_over, connection)
                connection.is_offered = connection.mailbox.try_put(HandOverRelay(offer))
            await self._clock.sleep(HAND_OVER_STEP_MS)
        logger.info("relays handed over", relays=successor.handed_over_count, connections_left=len(self._table.by_id))
