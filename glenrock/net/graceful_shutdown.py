"""Sending clients away: at SIGTERM, and when operators say so."""

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

QUIET_MS = 450.0  # told to go, new connections still come this long; one moved now would come back here
KILL_MS = 700.0  # SIGKILL comes this long after the longest deadline, or later
END_MARGIN_MS = 500.0  # all is done so long before it
MAX_DEADLINE_MS = 3000.0  # a deadline longer than this counts as this
STEP_MS = 50.0
MOVED_BEFORE_MS = 200.0  # all clients are told to move so long before the end
ANSWERED_AFTER_MS = 250.0  # past the end, for those who rest here and have not been told yet
HAND_OVER_STEP_MS = 10.0  # between two looks for relays that can be handed over
MAX_OFFERED = 16  # relays that may wait for their turn, their pumps stopped
MOVES_MS = 700.0  # kept for moving what could not be handed over
ALONE_MS = 400.0  # a lone balancer starts to move its clients so long before it has to be done
LATE_MS = 1000.0  # sent away by hand: whoever comes later than this is rejected, the front has long heard
AWAY_MS = 3000.0  # and all have been told to move by then; 4 s are allowed, and a line under way takes its time
ROUND_UP = 0.49  # of a part of a connection

logger = get_logger(__name__)


class Successor(Protocol):
    """The process that came after this one."""

    @property
    def is_connected(self) -> bool:
        """False once it is gone."""
        ...

    @property
    def handed_over_count(self) -> int:
        """Relays that it took."""
        ...

    def connect(self) -> bool:
        """Whether there is one."""
        ...

    async def hand_over(self, connection: ClientConnection) -> bool:
        """Offers a relay. True once it is the successor's."""
        ...


class GracefulShutdown:
    """Drains this balancer of its clients."""

    def __init__(self, table: ConnectionTable, acceptor: Acceptor, clock: Clock) -> None:
        self._table = table
        self._acceptor = acceptor
        self._clock = clock
        self._drain: asyncio.Task[None] | None = None  # by an operator
        self._stopping = False

    def unready_reason(self) -> str | None:
        """Why the balancer accepts no clients; None while it accepts them."""
        if self._stopping:
            return "not ready: the process is stopping"
        return "not ready: clients are sent away" if self._drain else None

    # -- by an operator --------------------------------------------------------------------------------

    def start_manual_drain(self, drain_permit_is_valid: Callable[[], bool] | None = None) -> None:
        """Starts to migrate all clients, until `end_manual_drain`.

        Args:
            drain_permit_is_valid: called before each step of this drain; it ends the drain once the permit is lost.

        Raises:
            OperationRejectedError: the process is stopping.
        """
        self._reject_while_stopping()
        if not self._drain:
            logger.info("drain started", clients=len(self._table.by_id))
            self._acceptor.away = True
            self._acceptor.drain_permit_check = drain_permit_is_valid
            self._table.routing.order(interface.DrainMode(True))
            self._drain = asyncio.get_running_loop().create_task(self._send_away())

    def end_manual_drain(self) -> None:
        """Accepts clients again.

        Raises:
            OperationRejectedError: the process is stopping.
        """
        self._reject_while_stopping()
        if self._drain:
            logger.info("drain ended: clients are accepted again")
            self._end_drain()

    def _reject_while_stopping(self) -> None:
        if self._stopping:
            raise OperationRejectedError("not done: the process is stopping")

    def _end_drain(self) -> None:
        if self._drain:
            self._drain.cancel()
            self._table.routing.order(interface.DrainMode(False))
        self._drain = None
        self._acceptor.away = False
        self._acceptor.refuses = False

    async def _send_away(self) -> None:
        """Until the drain ends: whoever is here is moved, evenly over the time, and whoever comes up later at once."""
        began_ms = self._clock.now()
        until_ms = began_ms + AWAY_MS
        await self._clock.sleep(QUIET_MS)
        while True:
            if not self._acceptor.drain_permit_is_valid():
                return
            now_ms = self._clock.now()
            self._acceptor.refuses = now_ms >= began_ms + LATE_MS
            self._move_some(until_ms - now_ms)
            if now_ms >= until_ms:
                self._answer_waiting()
            await self._clock.sleep(STEP_MS)

    def _move_some(self, left_ms: float) -> None:
        """The part of a step, where all are to be told within that time."""
        still = [one for one in self._table.by_id.values() if one.up.is_set() and not one.migrating]
        steps = max(1.0, left_ms / STEP_MS)
        for connection in still[: max(1, round(len(still) / steps + ROUND_UP))]:
            connection.mailbox.put(MigrateClient(interface.AttemptOutcome.CANCELLED))

    def _answer_waiting(self) -> None:
        for connection in list(self._table.by_id.values()):
            if not connection.up.is_set() and not connection.ended:
                connection.mailbox.deliver(AnswerNow(self._table.retry_after_ms))

    # -- SIGTERM ---------------------------------------------------------------------------------------

    async def stop(self, inherited: bool, successor: Successor | None) -> None:
        """Ends this process's service, and holds nothing when SIGKILL comes.

        Relays go to a successor where there is one; the other clients are moved over the time there is. An inherited
        listening socket is the successor's at once. Else new connections come here a while longer.
        """
        self._stopping = True
        self._end_drain()
        routing = self._table.routing
        routing.order(interface.DrainMode(True))
        until_ms = self._end_ms()
        if inherited:
            self._acceptor.close()
        else:
            await self._clock.sleep(QUIET_MS)
        if successor and successor.connect():
            # It speaks for this balancer now. Two that did would be heard in turn.
            routing.silence()
            await self._hand_over(successor, until_ms - MOVES_MS)
        elif routing.balancer.settings.balancers == 1:
            # Nobody else takes whom it moves. Moved over the time there is, they would wait outside for it.
            await self._clock.sleep(max(0.0, until_ms - ALONE_MS - self._clock.now()))
        await self._move_all(until_ms, inherited)
        self._acceptor.leave_none()
        for connection in list(self._table.by_id.values()):
            connection.mailbox.deliver(AnswerNow(self._table.retry_after_ms))
        # With the process goes whoever rests here and has not been told yet, and a request of that instant.
        end_ms = until_ms + ANSWERED_AFTER_MS
        while self._clock.now() < end_ms and (self._table.by_id or self._acceptor.tasks or not inherited):
            await self._clock.sleep(STEP_MS)

    def _end_ms(self) -> float:
        classes = self._table.routing.balancer.settings.classes
        longest_ms = min(MAX_DEADLINE_MS, max(one.deadline_us for one in classes) / 1000)
        return self._clock.now() + longest_ms + KILL_MS - END_MARGIN_MS

    async def _move_all(self, until_ms: float, inherited: bool) -> None:
        """Moves clients while this process listens.

        One that ended its moves when the last client was gone would hold whoever came later until its end, and cut them
        off (3 of 41 connections of a run).
        """
        while (now_ms := self._clock.now()) < until_ms and (
            self._table.by_id or self._acceptor.unheard or not inherited
        ):
            self._move_some(until_ms - MOVED_BEFORE_MS - now_ms)
            await self._clock.sleep(STEP_MS)

    async def _hand_over(self, successor: Successor, until_ms: float) -> None:
        """Relays as they stand, and those that come up meanwhile."""
        while successor.is_connected and self._clock.now() < until_ms and (self._table.by_id or self._acceptor.unheard):
            ready = [one for one in self._table.by_id.values() if not one.offered and one.still()]
            for connection in ready[:MAX_OFFERED]:
                give = functools.partial(successor.hand_over, connection)
                connection.offered = connection.mailbox.put(HandOverRelay(give))
            await self._clock.sleep(HAND_OVER_STEP_MS)
        logger.info("relays handed over", relays=successor.handed_over_count, connections_left=len(self._table.by_id))
