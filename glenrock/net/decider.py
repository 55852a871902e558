"""The decision module's actor: the only caller of Balancer.handle.

Whatever comes in between two turns is one batch. Actions leave through the four ports below, so another
protocol or another source of the name table joins without touching this file.
"""

from __future__ import annotations

import asyncio
import heapq
import traceback
from collections.abc import Callable
from typing import Protocol

from glenrock.routing import Balancer, interface
from glenrock.routing.turn import ROUND_US

from ..log import say
from .clock import Clock, micros, millis
from .mailbox import Mailbox

MAIL = 65536  # events; past that new commands are refused, and nothing grows


class Command(Protocol):
    """What the module's actions need of a command, whatever protocol it came by."""

    def execute(self, instance: str, timeout_ms: float) -> None: ...
    def withdraw(self, attempt: int) -> None: ...
    def nack(self, retry_after_ms: float) -> None: ...
    def fail(self) -> None: ...
    def move(self) -> None: ...


class Decider:
    def __init__(self, settings: interface.Settings, seed: int, clock: Clock) -> None:
        self.balancer = Balancer(settings, seed)
        self.clock = clock
        self.mailbox = Mailbox(MAIL)
        self.timers: list[tuple[int, int]] = []
        self.commands: dict[str, Command] = {}
        self.probe: Callable[[str], None] = lambda name: None
        self.tell: Callable[[bytes], None] = lambda data: None
        self.watch: Callable[[], None] = lambda: None
        self.last = 0
        self.orders: list[interface.Event] = []  # by hand: first in the next turn, however full the mailbox is
        self.turned: list[asyncio.Future] = []  # who waits for it

    def post(self, event: interface.Event) -> bool:
        return self.mailbox.put(event)

    def load_of(self, id_: str) -> int:
        """The load of a command as last known; 0 where the module does not have it."""
        return self.balancer.load_of(id_)

    def may_refuse(self, id_: str) -> bool:
        """Whether its client may be told to come again; true for what the module does not have yet."""
        return self.balancer.may_reject(id_)

    def order(self, event: interface.Event) -> None:
        self.orders.append(event)
        self.mailbox.wake()

    async def settled(self) -> None:
        """Until what was ordered has been decided on."""
        done = asyncio.get_running_loop().create_future()
        self.turned.append(done)
        self.mailbox.wake()
        await done

    async def run(self) -> None:
        while True:
            alarm = None
            if self.timers:
                # Half a millisecond late rather than early: a turn too early would find nothing due.
                alarm = self.clock.call_at(millis(self.timers[0][0]) + 0.5, self.mailbox.wake)
            batch = [] if self.orders or self.turned else await self.mailbox.take()
            if alarm:
                alarm.cancel()
            orders, self.orders, turned, self.turned = self.orders, [], self.turned, []
            self.turn(orders + batch)
            for done in turned:
                if not done.done():
                    done.set_result(None)

    def turn(self, batch: list[interface.Event]) -> None:
        now = self.last = max(self.last, micros(self.clock.now()))
        while self.timers and self.timers[0][0] <= now:
            batch.append(interface.TimerFired(heapq.heappop(self.timers)[1]))
        try:
            actions = self.balancer.handle(now, batch)
        except Exception:  # the commands concerned are answered by their own deadline
            say("module", f"failed on {len(batch)} events: " + traceback.format_exc(limit=-3))
            actions = self.balancer.turn.actions
            if not self.timers:  # its round must go on
                self.balancer.schedule_round(now + ROUND_US)
        for text in self.balancer.turn.warnings:
            say("summary", text)
        for zone, cut in self.balancer.domains.changes:
            say("link", f"zone {zone} is believed cut off; its instances are left until one answers" if cut
                else f"zone {zone} answers again, or nobody says otherwise; taken back step by step")
        for action in actions:
            self.act(action)

    def act(self, a: interface.Action) -> None:
        if isinstance(a, interface.SetTimer):
            heapq.heappush(self.timers, (a.at_us, a.ref))
        elif isinstance(a, interface.SendHealthCheck):
            self.probe(a.server)
        elif isinstance(a, interface.SendGossip):
            self.tell(a.data)
        elif isinstance(a, interface.WatchEndpoints):
            self.watch()
        elif command := self.commands.get(a.id):
            if isinstance(a, interface.StartAttempt):
                command.execute(a.server, millis(a.timeout_us))
            elif isinstance(a, interface.CancelAttempt):
                command.withdraw(a.attempt)
            elif isinstance(a, interface.Reject):
                command.nack(millis(a.retry_after_us))
            elif isinstance(a, interface.Fail):
                command.fail()
            else:
                command.move()
