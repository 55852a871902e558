"""Sending clients away: at SIGTERM, and when operators say so."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Protocol

from glenrock.routing import interface

from ..log import say
from .clock import Clock
from .command import Command, Dismiss, HandOver, Move
from .command_server import CommandServer
from .entrance import Entrance

QUIET_MS = 450.0  # told to go, new connections still come this long; one moved now would come back here
KILL_MS = 700.0  # SIGKILL comes this long after the longest deadline, or later
LONGEST_MS = 3000.0  # and a deadline longer than this counts as this
STEP_MS = 50.0
HAND_MS = 10.0  # between two looks for relays that can be handed over
AT_ONCE = 16  # relays that may wait for their turn, their pumps stopped
MOVES_MS = 700.0  # kept for moving what could not be
ALONE_MS = 400.0  # a lone balancer starts to move its clients so long before it has to be done
LATE_MS = 1000.0  # sent away by hand: whoever comes later than this is refused, the front has long heard
AWAY_MS = 3000.0  # and all have been told to move by then; 4 s are allowed, and a line under way takes its time


class Successor(Protocol):
    """The process that came after this one, as `glenrock.upgrade.handover.Giver` knows it."""

    sock: object | None
    given: int

    def open(self) -> bool: ...
    async def give(self, command: Command) -> bool: ...


class Leaving:
    def __init__(self, server: CommandServer, entrance: Entrance, clock: Clock) -> None:
        self.server, self.entrance, self.clock = server, entrance, clock
        self.away: asyncio.Task | None = None  # a drain by hand
        self.stopping = False

    def why(self) -> str:
        """Why no clients are taken; empty where they are."""
        if self.stopping:
            return "not ready: the process is stopping"
        return "not ready: clients are sent away" if self.away else ""

    def by_hand(self, proof: Callable[[], bool] | None = None) -> str:
        """`proof`: asked before anything is done in the name of this drain; it ends the drain where it is lost."""
        if self.stopping:
            return "not done: the process is stopping"
        if not self.away:
            say("drain", f"{len(self.server.commands)} clients are sent away")
            self.entrance.away, self.entrance.proof = True, proof
            self.server.decider.order(interface.DrainMode(True))
            self.away = asyncio.get_running_loop().create_task(self.send_away())
        return ""

    def back(self) -> str:
        if self.stopping:
            return "not done: the process is stopping"
        if self.away:
            say("drain", "ended: clients are taken again")
            self.end_drain()
        return ""

    def end_drain(self) -> None:
        if self.away:
            self.away.cancel()
            self.server.decider.order(interface.DrainMode(False))
        self.away, self.entrance.away, self.entrance.refuses = None, False, False

    async def send_away(self) -> None:
        """Until the drain ends: whoever is here is moved, evenly over the time, and whoever comes up later at once."""
        began = self.clock.now()
        until = began + AWAY_MS
        await self.clock.sleep(QUIET_MS)
        while True:
            if not self.entrance.proven():
                return
            now = self.clock.now()
            self.entrance.refuses = now >= began + LATE_MS
            self.move_some(until - now)
            if now >= until:
                self.refuse_waiting()
            await self.clock.sleep(STEP_MS)

    def move_some(self, left_ms: float) -> None:
        """The part of a step, where all are to be told within that time."""
        still = [c for c in self.server.commands.values() if c.up.is_set() and not c.moving]
        turns = max(1.0, left_ms / STEP_MS)
        for command in still[:max(1, round(len(still) / turns + 0.49))]:
            command.mailbox.put(Move("cancelled"))

    def refuse_waiting(self) -> None:
        for command in list(self.server.commands.values()):
            if not command.up.is_set() and not command.ended:
                command.mailbox.deliver(Dismiss(self.server.again_ms))

    async def stop(self, inherited: bool, successor: Successor | None) -> None:
        """SIGTERM: hands the relays to a successor where there is one, moves the other clients over the time there is,
        and holds nothing when SIGKILL comes.

        An inherited listening socket is the successor's at once. Else new connections come here a while longer.
        """
        self.stopping = True
        self.end_drain()
        decider, commands = self.server.decider, self.server.commands
        decider.order(interface.DrainMode(True))
        began = self.clock.now()
        longest = min(LONGEST_MS, max(c.deadline_us for c in decider.balancer.settings.classes) / 1000)
        until = began + longest + KILL_MS - 500
        if inherited:
            self.entrance.close()
        else:
            await self.clock.sleep(QUIET_MS)
        if successor and successor.open():
            # It speaks for this balancer now. Two that did would be heard in turn.
            decider.tell = lambda data: None
            await self.hand_over(successor, until - MOVES_MS)
        elif decider.balancer.settings.balancers == 1:
            # Danger: nobody else takes whom it moves. Moved over the time there is, they wait outside for it.
            await self.clock.sleep(max(0.0, until - ALONE_MS - self.clock.now()))
        # Danger: while this process listens, clients come. One that ended its moves when the last client was gone held
        # whoever came later until its end, and cut them off (found on the stage: 3 of 41 connections of a run).
        while (now := self.clock.now()) < until and (commands or self.entrance.unheard or not inherited):
            self.move_some(until - 200 - now)
            await self.clock.sleep(STEP_MS)
        self.entrance.leave_none()
        for command in list(commands.values()):
            command.mailbox.deliver(Dismiss(self.server.again_ms))
        # Danger: with the process goes whoever rests here and has not been told yet, and a request of that instant.
        while self.clock.now() < until + 250 and (commands or self.entrance.tasks or not inherited):
            await self.clock.sleep(STEP_MS)

    async def hand_over(self, successor: Successor, until: float) -> None:
        """Relays as they stand, and those that come up meanwhile."""
        while successor.sock and (self.server.commands or self.entrance.unheard) and self.clock.now() < until:
            ready = [c for c in self.server.commands.values() if not c.offered and c.still()]
            for command in ready[:AT_ONCE]:
                command.offered = command.mailbox.put(HandOver(successor.give))
            await self.clock.sleep(HAND_MS)
        say("upgrade", f"{successor.given} relays handed over, {len(self.server.commands)} commands left")
