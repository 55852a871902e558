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

from wheatrouter import Balancer
from wheatrouter import interface as io

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
    def __init__(self, settings: io.Settings, seed: int, clock: Clock) -> None:
        self.balancer = Balancer(settings, seed)
        self.clock = clock
        self.mailbox = Mailbox(MAIL)
        self.timers: list[tuple[int, int]] = []
        self.commands: dict[str, Command] = {}
        self.probe: Callable[[str], None] = lambda name: None
        self.tell: Callable[[bytes], None] = lambda data: None
        self.watch: Callable[[], None] = lambda: None
        self.last = 0
        self.orders: list[io.Event] = []  # by hand: first in the next turn, however full the mailbox is
        self.turned: list[asyncio.Future] = []  # who waits for it

    def post(self, event: io.Event) -> bool:
        return self.mailbox.put(event)

    def load_of(self, id_: str) -> int:
        """The load of a command as last known; 0 where the module does not have it."""
        flow = self.balancer.flows.get(id_)
        return int(flow.load) if flow else 0

    def may_refuse(self, id_: str) -> bool:
        """Whether its client may be told to come again; true for what the module does not have yet."""
        flow = self.balancer.flows.get(id_)
        return flow is None or self.balancer.may_refuse(flow)

    def order(self, event: io.Event) -> None:
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

    def turn(self, batch: list[io.Event]) -> None:
        now = self.last = max(self.last, micros(self.clock.now()))
        while self.timers and self.timers[0][0] <= now:
            batch.append(io.TimerFired(heapq.heappop(self.timers)[1]))
        try:
            actions = self.balancer.handle(now, batch)
        except Exception:  # the commands concerned are answered by their own deadline
            say("module", f"failed on {len(batch)} events: " + traceback.format_exc(limit=-3))
            actions = self.balancer.out
            if not self.timers:  # its round must go on
                self.balancer.timer(now + 500_000, "")
        for text in self.balancer.odd:
            say("summary", text)
        for zone, cut in self.balancer.domains.news:
            say("link", f"zone {zone} is believed cut off; its instances are left until one answers" if cut
                else f"zone {zone} answers again, or nobody says otherwise; taken back step by step")
        for action in actions:
            self.act(action)

    def act(self, a: io.Action) -> None:
        if isinstance(a, io.SetTimer):
            heapq.heappush(self.timers, (a.at_us, a.ref))
        elif isinstance(a, io.Probe):
            self.probe(a.server)
        elif isinstance(a, io.Tell):
            self.tell(a.data)
        elif isinstance(a, io.Watch):
            self.watch()
        elif command := self.commands.get(a.id):
            if isinstance(a, io.Send):
                command.execute(a.server, millis(a.timeout_us))
            elif isinstance(a, io.Cancel):
                command.withdraw(a.attempt)
            elif isinstance(a, io.Refuse):
                command.nack(millis(a.retry_after_us))
            elif isinstance(a, io.Fail):
                command.fail()
            else:
                command.move()
