"""The table of all commands."""

from __future__ import annotations

import asyncio
import socket
import traceback
from collections.abc import Callable, Coroutine

from glenrock.routing import interface

from ..log import say
from . import lines
from .clock import Clock
from .command import Command, Move
from .counts import Counts
from .decider import Decider
from .entrance import FEW
from .instance import Instances

SILENT_MS = 4500.0  # a client line unanswered this long: its instance is out of reach (7 s is the rule)
SWEEP_MS = 250.0
NOTE_MS = 1000.0  # word of slow messages at an instance, at most this often
RESERVE = 24  # descriptors kept for everything but clients, besides one probe connection an instance
AGAIN_MS = 1000.0  # whoever is refused beside the decisions comes again after this, where clients may wait so long
WAITS = 10.0  # a client that wants to wait this many times its class's deadline sent no sound number


class CommandServer:
    """Keeps the table of commands, and watches for silent instances."""

    def __init__(self, decider: Decider, instances: Instances, clock: Clock, sockets: int,
                 measures_delay: bool, counts: Counts) -> None:
        self.decider, self.instances, self.clock = decider, instances, clock
        self.sockets = sockets
        self.commands: dict[str, Command] = {}
        self.adopted: set[asyncio.Task] = set()  # the loop itself keeps no hold on a task
        self.counts = counts
        self.kept = RESERVE  # descriptors
        self.elsewhere: Callable[[], int] = lambda: 0  # held by another process under the same limit
        self.others = 0  # as of the last sweep
        decider.commands = self.commands
        settings = decider.balancer.settings
        self.known = lines.Known({c.name: WAITS * c.deadline_us / 1000 for c in settings.classes},
                                 frozenset(t.name for t in settings.tenants))
        aims = [c.message_objective_us for c in settings.classes if c.message_objective_us]
        self.again_ms = min(AGAIN_MS, settings.max_retry_after_us / 1000) if settings.sends_retry_after else 0.0
        self.slow_ms = min(aims) / 3000 if aims and measures_delay else 0.0
        self.noted: dict[str, float] = {}  # instances whose messages were slow, and when that was told

    def knows(self, id_: str) -> bool:
        return id_ in self.commands

    def free(self) -> int:
        """Descriptors that neither commands nor the program's other parts need: a relay takes two."""
        return self.sockets - self.kept - self.others - len(self.instances.all) - 2 * len(self.commands)

    def open(self) -> int:
        """Commands taken that have not had their last word."""
        return sum(not c.ended for c in self.commands.values())

    def turned_away(self, outcome: str, class_: str) -> None:
        """A connection with a sound first line has had its answer from the entrance."""
        self.counts.add(outcome, class_)

    def full(self) -> bool:
        return self.free() < 2 + FEW

    def room(self) -> int:
        """Connections that may be open without a command."""
        return max(FEW, min(self.free(), self.sockets // 4))

    async def serve(self, sock: socket.socket, opened: lines.Open) -> None:
        command = self.commands[opened.id] = Command(self, sock, opened)
        await self.host(command, command.run())

    def adopt(self, command: Command) -> None:
        """One whose relay has been taken over."""
        self.commands[command.opened.id] = command
        task = asyncio.get_running_loop().create_task(self.host(command, command.carry_on()))
        self.adopted.add(task)
        task.add_done_callback(self.adopted.discard)

    async def host(self, command: Command, work: Coroutine[None, None, None]) -> None:
        try:
            await work
        except OSError:
            pass
        except Exception:
            say("connection", traceback.format_exc(limit=-3))
        finally:
            command.gone()
            command.count("faulted")  # an exception ended it
            del self.commands[command.opened.id]

    def took(self, command: Command, ms: float) -> None:
        """A message's time at an instance: told while it is slow, and once when it no longer is."""
        if not self.slow_ms:
            return
        slow, told = ms > self.slow_ms, self.noted.get(command.name)
        if slow and (told is None or self.clock.now() - told >= NOTE_MS):
            self.noted[command.name] = self.clock.now()
        elif slow or self.noted.pop(command.name, None) is None:
            return
        self.decider.post(interface.ConnectionFeedback(command.opened.id, command.name, message_us=ms * 1000))

    async def sweep(self) -> None:
        while True:
            await self.clock.sleep(SWEEP_MS)
            self.others = self.elsewhere()
            oldest = self.clock.now() - SILENT_MS
            for command in self.commands.values():
                if command.asked_at is not None and command.asked_at < oldest and not command.moving:
                    say("silent", f"{command.name} answers {command.opened.id} no more: client moved")
                    command.mailbox.put(Move("broken"))
            self.instances.tidy()
