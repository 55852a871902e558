"""Migrates all clients away from this balancer, at SIGTERM or when an operator drains it."""

from __future__ import annotations

import asyncio
import functools
from typing import Protocol

from glenrock.routing import interface

from ..log import get_logger
from .acceptor import Acceptor
from .client_connection import ClientConnection
from .clock import Clock
from .connection_messages import DrainConnection, HandOverRelay, MigrateClient
from .connection_table import ConnectionTable
from .drain_state import DrainState

DRAIN_STEP_MS = 50.0  # between two steps of a drain
FRONT_END_NOTICE_MS = 450.0  # until the front end sends no new clients here; before, it may send migrated ones back
MANUAL_DRAIN_MS = 3000.0  # from the start of a manual drain until all clients have been asked to migrate
SIGKILL_AFTER_DEADLINE_MS = 700.0  # SIGKILL follows SIGTERM after the longest deadline of a class plus this
SHUTDOWN_MARGIN_MS = 500.0  # from the end of the migration to SIGKILL
MAX_DEADLINE_MS = 3000.0  # longer deadlines of a class do not extend the shutdown
MIGRATION_MARGIN_MS = 200.0  # from the last planned migration of a client to the end of the migration
FINAL_ANSWERS_TIMEOUT_MS = 250.0  # after the end of the migration, to answer idle connections and waiting requests
HAND_OVER_STEP_MS = 10.0
MAX_OFFERED_RELAYS = 16  # per step; the pumps of a relay are stopped while it is offered
HAND_OVER_MARGIN_MS = 700.0  # from the end of the handover to the end of the migration, for the remaining clients
SINGLE_BALANCER_MIGRATION_MS = 400.0  # to migrate all clients, if no other balancer can serve them
STEP_ROUNDING = 0.49  # added before round(), so that a number of clients is rounded up if its fraction is above 0.01

logger = get_logger(__name__)


class Successor(Protocol):
    """The process that replaces this one in an upgrade."""

    @property
    def is_connected(self) -> bool:
        """Whether the successor still accepts relays."""
        ...

    @property
    def handed_over_count(self) -> int:
        """The number of relays that the successor has accepted, or whose offers it has not answered in time."""
        ...

    def connect(self) -> bool:
        """Connects to the successor. Returns False if there is none."""
        ...

    async def hand_over(self, connection: ClientConnection) -> bool:
        """Offers a relay. Returns whether the successor owns it now."""
        ...


class GracefulShutdown:
    """Migrates all clients away from this balancer."""

    def __init__(self, table: ConnectionTable, acceptor: Acceptor, clock: Clock, state: DrainState) -> None:
        self._table = table
        self._acceptor = acceptor
        self._clock = clock
        self._state = state
        self._manual_drain: asyncio.Task[None] | None = None

    # -- manual drain ----------------------------------------------------------------------------------

    def start_manual_drain(self) -> None:
        """Starts to migrate all clients, until `end_manual_drain`.

        Raises:
            OperationRejectedError: the process is stopping.
        """
        self.continue_manual_drain(self._clock.now_ms())

    def continue_manual_drain(self, started_ms: float, *, is_replacing: bool = False) -> None:
        """Continues a manual drain that another process of this balancer has begun, unless one is in progress here.

        Args:
            started_ms: when the drain began, on the process's clock.
            is_replacing: whether that process is the predecessor in an upgrade.

        Raises:
            OperationRejectedError: the process is stopping.
        """
        if self._state.begin_manual(started_ms, is_replacing=is_replacing):
            logger.info("drain started", clients=len(self._table.by_id))
            self._manual_drain = asyncio.get_running_loop().create_task(self._drain(started_ms))

    def end_manual_drain(self) -> None:
        """Ends the manual drain: clients are accepted again.

        Raises:
            OperationRejectedError: the process is stopping.
        """
        if self._state.end_manual():
            logger.info("drain ended: clients are accepted again")
        if self._manual_drain:
            self._manual_drain.cancel()
            self._manual_drain = None

    async def _drain(self, started_ms: float) -> None:
        """Migrates clients evenly over `MANUAL_DRAIN_MS`, and later ones at once, until the drain ends.

        The steps go on in a shutdown, whose own migration may take longer.
        """
        end_ms = started_ms + MANUAL_DRAIN_MS
        await self._clock.sleep(max(0.0, started_ms + FRONT_END_NOTICE_MS - self._clock.now_ms()))
        while True:
            now_ms = self._clock.now_ms()
            self._migrate_step(end_ms - now_ms)
            if now_ms >= end_ms:
                self._answer_waiting_clients()
            await self._clock.sleep(DRAIN_STEP_MS)

    def _migrate_step(self, remaining_ms: float) -> None:
        """Migrates this step's share of the clients, at a rate by which all have migrated after `remaining_ms`."""
        connections = [
            connection
            for connection in self._table.by_id.values()
            if connection.established.is_set() and not connection.migration
        ]
        steps = max(1.0, remaining_ms / DRAIN_STEP_MS)
        for connection in connections[: max(1, round(len(connections) / steps + STEP_ROUNDING))]:
            connection.mailbox.try_put(MigrateClient(interface.AttemptOutcome.CANCELLED))

    def _answer_waiting_clients(self) -> None:
        for connection in list(self._table.by_id.values()):
            if not connection.established.is_set() and not connection.has_ended:
                connection.mailbox.put_unbounded(DrainConnection(self._table.retry_after_ms))

    # -- at SIGTERM ------------------------------------------------------------------------------------

    async def stop(self, has_inherited_listener: bool, successor: Successor | None) -> None:
        """Migrates or hands over all clients, and answers the last requests, before SIGKILL.

        Times after SIGTERM, where D is the longest deadline of a class, at most 3 s, and S is 0 with an inherited
        listening socket and 0.45 s without one:

            0            routing learns of the drain; with an inherited listening socket this process stops accepting
            S            with a successor: the handover begins; without one, if other balancers can serve the clients:
                         migration begins, spread evenly until D
            D - 0.5 s    with a successor: the handover ends, and the remaining clients migrate until D
            D - 0.2 s    without a successor, if no other balancer can serve the clients: they migrate until D
            D + 0.2 s    the migration ends: idle connections and waiting requests get their answers
            D + 0.45 s   the process exits at the latest; earlier if it accepts no connections and has none
            D + 0.7 s    SIGKILL

        A manual drain stays in force, so its answers to clients and its migration go on.
        """
        self._state.begin_stopping()
        routing = self._table.routing
        end_ms = self._end_ms()
        if has_inherited_listener:
            self._acceptor.close()
        else:
            await self._clock.sleep(FRONT_END_NOTICE_MS)
        if successor and successor.connect():
            # The successor has the same balancer number, so only one of the two processes may send gossip: peers would
            # take the summaries of both, in turn, for those of one balancer.
            routing.stop_gossip()
            await self._hand_over(successor, end_ms - HAND_OVER_MARGIN_MS)
        elif routing.balancer.settings.balancers == 1:
            # No other balancer can serve the clients, so they migrate as late as possible: after an earlier migration
            # they would wait until this balancer runs again.
            await self._clock.sleep(max(0.0, end_ms - SINGLE_BALANCER_MIGRATION_MS - self._clock.now_ms()))
        await self._migrate_all(end_ms, has_inherited_listener)
        await self._answer_last_clients(end_ms + FINAL_ANSWERS_TIMEOUT_MS, has_inherited_listener)

    async def _answer_last_clients(self, last_answer_ms: float, has_inherited_listener: bool) -> None:
        """Answers idle connections and requests that have just arrived, before the process ends."""
        self._acceptor.close_idle()
        for connection in list(self._table.by_id.values()):
            connection.mailbox.put_unbounded(DrainConnection(self._table.retry_after_ms))
        while self._clock.now_ms() < last_answer_ms and (
            self._table.by_id or self._acceptor.tasks or not has_inherited_listener
        ):
            await self._clock.sleep(DRAIN_STEP_MS)

    def _end_ms(self) -> float:
        classes = self._table.routing.balancer.settings.classes
        longest_deadline_us = max(request_class.deadline_us for request_class in classes)
        longest_ms = min(MAX_DEADLINE_MS, longest_deadline_us / 1000)
        return self._clock.now_ms() + longest_ms + SIGKILL_AFTER_DEADLINE_MS - SHUTDOWN_MARGIN_MS

    def _has_clients(self) -> bool:
        """Returns whether there is a connection with a request, or one whose request may still be arriving."""
        return bool(self._table.by_id or self._acceptor.idle.unanswered)

    async def _migrate_all(self, end_ms: float, has_inherited_listener: bool) -> None:
        """Migrates clients until `end_ms`. Ends earlier only if no new clients can connect and none are left.

        While the listening socket is open, clients connect. When the migration ended with the last client, later ones
        stayed until the process exited, and were cut off: 3 of 41 connections of a run.
        """
        while (now_ms := self._clock.now_ms()) < end_ms and (self._has_clients() or not has_inherited_listener):
            self._migrate_step(end_ms - MIGRATION_MARGIN_MS - now_ms)
            await self._clock.sleep(DRAIN_STEP_MS)

    async def _hand_over(self, successor: Successor, end_ms: float) -> None:
        """Hands relays over until `end_ms`, also those that are established in the meantime."""
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
