"""The routing actor: the only caller of Balancer.handle.

Whatever comes in between two turns is one batch. Actions leave through the ports below, so another protocol or another
source of endpoints joins without touching this file.
"""

from __future__ import annotations

import asyncio
import heapq
from collections.abc import Callable
from typing import Protocol

from glenrock.routing import Balancer, interface
from glenrock.routing.event_batch import ROUND_US

from ..log import get_logger
from .clock import Clock, micros, millis
from .mailbox import Mailbox

MAX_EVENTS = 65536  # that wait; past that new requests are rejected, and nothing grows
ALARM_DELAY_MS = 0.5  # late rather than early: a turn too early would find nothing due

logger = get_logger(__name__)


class RoutedConnection(Protocol):
    """What actions need of a client's connection, whatever protocol it came by."""

    def start_attempt(self, server: str, timeout_ms: float) -> None:
        """Sends the request to that server."""
        ...

    def cancel_attempt(self, attempt: int) -> None:
        """Nobody waits for that attempt any more."""
        ...

    def reject(self, retry_after_ms: float) -> None:
        """Final answer: the client may come again after that time."""
        ...

    def fail(self) -> None:
        """Final answer: it could not be served."""
        ...

    def migrate(self) -> None:
        """Asks the client to connect elsewhere."""
        ...


class RoutingActor:
    """Owns the balancer's decisions, its timers and its events.

    Attributes:
        connection_of: finds the connection of a request; the table of connections gives it.
        probe: asks a server. `tell`: sends gossip. `watch`: subscribes to the endpoint list.
    """

    def __init__(self, settings: interface.Settings, seed: int, clock: Clock) -> None:
        self.balancer = Balancer(settings, seed)
        self.mailbox: Mailbox[interface.Event] = Mailbox(MAX_EVENTS)
        self.connection_of: Callable[[str], RoutedConnection | None] = _no_connection
        self.probe: Callable[[str], None] = _ignore_server
        self.tell: Callable[[bytes], None] = _ignore_data
        self.watch: Callable[[], None] = _ignore
        self._clock = clock
        self._timers: list[tuple[int, int]] = []  # when, and its reference
        self._last_us = 0
        self._orders: list[interface.Event] = []  # first in the next turn, however full the mailbox is
        self._turned: list[asyncio.Future[None]] = []  # who waits for it

    def post(self, event: interface.Event) -> bool:
        """Takes an event; False where there are too many."""
        return self.mailbox.put(event)

    def load_of(self, request_id: str) -> int:
        """The load of a connection as last known; 0 where it is not."""
        return self.balancer.load_of(request_id)

    def may_reject(self, request_id: str) -> bool:
        """Whether a client may be told to come again."""
        return self.balancer.may_reject(request_id)

    def order(self, event: interface.Event) -> None:
        """Takes an operator's event, first in the next turn."""
        self._orders.append(event)
        self.mailbox.wake()

    def silence(self) -> None:
        """Sends no more gossip: another process speaks for this balancer."""
        self.tell = _ignore_data

    async def settled(self) -> None:
        """Until what was ordered has been decided on."""
        done: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._turned.append(done)
        self.mailbox.wake()
        await done

    async def run(self) -> None:
        """Takes turns for as long as the program runs."""
        while True:
            batch = await self._next_batch()
            orders, self._orders = self._orders, []
            turned, self._turned = self._turned, []
            self.turn(orders + batch)
            for done in turned:
                if not done.done():
                    done.set_result(None)

    async def _next_batch(self) -> list[interface.Event]:
        alarm = None
        if self._timers:
            at_ms = millis(self._timers[0][0]) + ALARM_DELAY_MS
            alarm = self._clock.call_at(at_ms, self.mailbox.wake)
        batch = [] if self._orders or self._turned else await self.mailbox.take()
        if alarm:
            alarm.cancel()
        return batch

    def turn(self, batch: list[interface.Event]) -> None:
        """Hands over a batch with the timers that are due, and carries out the actions."""
        now_us = self._last_us = max(self._last_us, micros(self._clock.now()))
        while self._timers and self._timers[0][0] <= now_us:
            batch.append(interface.TimerFired(heapq.heappop(self._timers)[1]))
        try:
            actions = self.balancer.handle(now_us, batch)
        except Exception:  # the edge of the actor: connections are answered by their own deadline
            logger.exception("unexpected error in routing", events=len(batch))
            actions = self.balancer.batch.actions
            if not self._timers:  # its round must go on
                self.balancer.schedule_round(now_us + ROUND_US)
        self._log_turn()
        for action in actions:
            self.act(action)

    def _log_turn(self) -> None:
        for ignored in self.balancer.batch.ignored_summaries:
            logger.warning("gossip summary ignored", peer=ignored.peer, reason=ignored.reason)
        for zone, is_cut in self.balancer.domains.changes:
            if is_cut:
                logger.warning("zone believed partitioned: no new connections to it", zone=zone)
            else:
                logger.info("zone no longer believed partitioned: recovery ramp begins", zone=zone)

    def act(self, action: interface.Action) -> None:
        """Carries out an action."""
        match action:
            case interface.SetTimer(at_us, ref):
                heapq.heappush(self._timers, (at_us, ref))
            case interface.SendHealthCheck(server):
                self.probe(server)
            case interface.SendGossip(data):
                self.tell(data)
            case interface.WatchEndpoints():
                self.watch()
            case _:
                if connection := self.connection_of(action.id):
                    _act_on(connection, action)


ConnectionAction = (
    interface.StartAttempt | interface.CancelAttempt | interface.Reject | interface.Fail | interface.Migrate
)


def _act_on(connection: RoutedConnection, action: ConnectionAction) -> None:
    match action:
        case interface.StartAttempt(_, server, timeout_us):
            connection.start_attempt(server, millis(timeout_us))
        case interface.CancelAttempt(_, attempt):
            connection.cancel_attempt(attempt)
        case interface.Reject(_, retry_after_us):
            connection.reject(millis(retry_after_us))
        case interface.Fail():
            connection.fail()
        case interface.Migrate():
            connection.migrate()


def _no_connection(request_id: str) -> RoutedConnection | None:
    """No table is connected."""
    return None


def _ignore() -> None:
    """A port that nothing is connected to."""


def _ignore_server(server: str) -> None:
    """A port that nothing is connected to."""


def _ignore_data(data: bytes) -> None:
    """A port that nothing is connected to."""
