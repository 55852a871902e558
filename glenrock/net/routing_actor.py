"""The routing actor, which is the only caller of `Balancer.handle`.

Events that arrive between two calls are handled as one batch. Actions are passed to callbacks, so that the actor
depends neither on the clients' protocol nor on the source of the endpoint list.
"""

from __future__ import annotations

import asyncio
import functools
import heapq
from collections.abc import Callable
from typing import Protocol

from glenrock.routing import Balancer, interface
from glenrock.routing.event_batch import ROUND_US

from ..log import get_logger
from .clock import Clock, ms_from_us, us_from_ms
from .mailbox import Mailbox

MAX_QUEUED_EVENTS = 65536  # while the mailbox is full, new requests are rejected
TIMER_MARGIN_MS = 0.5  # added to each wake-up, since a wake-up before the due time would find no timer due

logger = get_logger(__name__)


class RoutedConnection(Protocol):
    """The operations of a client's connection that actions need."""

    def start_attempt(self, server: str, timeout_ms: float) -> None:
        """Sends the request to a server. The whole attempt may take `timeout_ms`."""
        ...

    def cancel_attempt(self, attempt: int) -> None:
        """Cancels the attempt with this number."""
        ...

    def reject(self, retry_after_ms: float) -> None:
        """Rejects the request. The client may retry after `retry_after_ms`."""
        ...

    def fail(self) -> None:
        """Fails the request."""
        ...

    def migrate(self) -> None:
        """Asks the client to connect elsewhere."""
        ...


class RoutingActor:
    """Feeds events and timers to routing, and carries out the actions that routing returns.

    Attributes:
        balancer: makes the routing decisions.
        mailbox: events that wait for the next batch.
        find_connection: returns the connection of a request, or None; set by the table of connections.
        send_health_check: sends a health check to a server.
        send_gossip: sends a gossip summary to the peers.
        watch_endpoints: subscribes to the endpoint list; left unset by the program, whose endpoint watcher polls on its
            own.
    """

    def __init__(self, settings: interface.Settings, seed: int, clock: Clock) -> None:
        self.balancer = Balancer(settings, seed)
        self.mailbox: Mailbox[interface.Event] = Mailbox(MAX_QUEUED_EVENTS)
        self.find_connection: Callable[[str], RoutedConnection | None] = _find_no_connection
        self.send_health_check: Callable[[str], None] = _ignore_health_check
        self.send_gossip: Callable[[bytes], None] = _ignore_gossip
        self.watch_endpoints: Callable[[], None] = _ignore_watch_request
        self._clock = clock
        self._timers: list[tuple[int, int]] = []  # heap of (due time in microseconds, timer id)
        self._last_batch_us = 0
        self._priority_events: list[interface.Event] = []  # start the next batch; accepted even if the mailbox is full
        self._after_batch: list[Callable[[], object]] = []

    def post(self, event: interface.Event) -> bool:
        """Adds an event to the next batch. Returns False if the mailbox is full.

        For events that may be lost: requests, which are then rejected, and observations that are repeated.
        """
        return self.mailbox.try_put(event)

    def post_required(self, event: interface.Event) -> None:
        """Adds an event to the next batch, even if the mailbox is full.

        For events without which routing would keep a request, a connection, a health check or a list that has ended.
        Their senders bound their number: a few for each connection, one for each server and for each call of discovery.
        """
        self.mailbox.put_unbounded(event)

    def load_of(self, request_id: str) -> int:
        """Returns the last known load of a request's connection; 0 for an unknown request."""
        return self.balancer.load_of(request_id)

    def may_reject(self, request_id: str) -> bool:
        """Returns whether a request may be rejected, because the client can safely retry it."""
        return self.balancer.may_reject(request_id)

    def post_priority_event(self, event: interface.Event) -> None:
        """Puts an operator's event at the start of the next batch, even if the mailbox is full."""
        self._priority_events.append(event)
        self.mailbox.wake()

    def stop_gossip(self) -> None:
        """Stops sending gossip, because another process now sends it for this balancer."""
        self.send_gossip = _ignore_gossip

    async def wait_for_batch(self) -> None:
        """Waits until the events posted before this call have been handled."""
        done: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self.call_after_batch(functools.partial(_complete, done))
        await done

    def call_after_batch(self, callback: Callable[[], object]) -> None:
        """Calls a function once the events posted before have been handled, and their actions carried out."""
        self._after_batch.append(callback)
        self.mailbox.wake()

    async def run(self) -> None:
        """Handles batches for as long as the program runs."""
        while True:
            batch = await self._next_batch()
            priority_events, self._priority_events = self._priority_events, []
            callbacks, self._after_batch = self._after_batch, []
            self.handle_batch(priority_events + batch)
            for callback in callbacks:
                callback()

    async def _next_batch(self) -> list[interface.Event]:
        wake_up = None
        if self._timers:
            at_ms = ms_from_us(self._timers[0][0]) + TIMER_MARGIN_MS
            wake_up = self._clock.call_at(at_ms, self.mailbox.wake)
        # A wake-up has no effect before `get_all` starts to wait. So if there are priority events or callbacks already,
        # the next batch must not wait for a message. A wake-up that comes later ends the wait in `get_all`.
        must_not_wait = self._priority_events or self._after_batch
        batch = [] if must_not_wait and not self.mailbox.messages else await self.mailbox.get_all()
        if wake_up:
            wake_up.cancel()
        return batch

    def handle_batch(self, batch: list[interface.Event]) -> None:
        """Passes a batch of events and the due timers to routing, and carries out the resulting actions."""
        now_us = self._last_batch_us = max(self._last_batch_us, us_from_ms(self._clock.now_ms()))
        while self._timers and self._timers[0][0] <= now_us:
            batch.append(interface.TimerFired(heapq.heappop(self._timers)[1]))
        try:
            actions = self.balancer.handle(now_us, batch)
        except Exception:  # the actor must not end: connections are answered at their own deadlines
            logger.exception("unexpected error in routing", events=len(batch))
            actions = self.balancer.batch.actions
            if not self._timers:  # without a timer, routing would have no further round
                self.balancer.schedule_round(now_us + ROUND_US)
        self._log_changes()
        for action in actions:
            self.execute_action(action)

    def _log_changes(self) -> None:
        for ignored in self.balancer.batch.ignored_summaries:
            logger.warning("gossip summary ignored", peer=ignored.peer_index, reason=ignored.reason)
        for zone, is_partitioned in self.balancer.domains.changes:
            if is_partitioned:
                logger.warning("zone believed partitioned: no new connections to it", zone=zone)
            else:
                logger.info("zone no longer believed partitioned: recovery ramp begins", zone=zone)

    def execute_action(self, action: interface.Action) -> None:
        """Carries out an action."""
        match action:
            case interface.SetTimer(at_us, timer_id):
                heapq.heappush(self._timers, (at_us, timer_id))
            case interface.SendHealthCheck(server):
                self.send_health_check(server)
            case interface.SendGossip(data):
                self.send_gossip(data)
            case interface.WatchEndpoints():
                self.watch_endpoints()
            case _:
                if connection := self.find_connection(action.request_id):
                    _execute_on_connection(connection, action)


ConnectionAction = (
    interface.StartAttempt | interface.CancelAttempt | interface.Reject | interface.Fail | interface.Migrate
)


def _execute_on_connection(connection: RoutedConnection, action: ConnectionAction) -> None:
    match action:
        case interface.StartAttempt(_, server, timeout_us):
            connection.start_attempt(server, ms_from_us(timeout_us))
        case interface.CancelAttempt(_, attempt):
            connection.cancel_attempt(attempt)
        case interface.Reject(_, retry_after_us):
            connection.reject(ms_from_us(retry_after_us))
        case interface.Fail():
            connection.fail()
        case interface.Migrate():
            connection.migrate()


def _complete(done: asyncio.Future[None]) -> None:
    if not done.done():
        done.set_result(None)


def _find_no_connection(request_id: str) -> RoutedConnection | None:
    """Returns None, because no connection table has been set."""
    return None


def _ignore_watch_request() -> None:
    """Does nothing, because no callback has been set."""


def _ignore_health_check(server: str) -> None:
    """Does nothing, because no callback has been set."""


def _ignore_gossip(data: bytes) -> None:
    """Does nothing, because no callback has been set."""
