"""Wiring and signals."""

from __future__ import annotations

import asyncio
import functools
import os
import random
import resource
import signal
import sys
from collections.abc import Callable, Coroutine
from dataclasses import replace
from typing import TYPE_CHECKING

import uvloop

from glenrock.routing import interface

from .config import AT_START, Config, ConfigError, read
from .log import say
from .net.acceptor import Acceptor
from .net.clock import Clock
from .net.connection_table import ConnectionTable
from .net.endpoint_watcher import EndpointWatcher
from .net.graceful_shutdown import GracefulShutdown
from .net.metrics import ConnectionMetrics
from .net.peers import Peers
from .net.poll_backoff import PollBackoff
from .net.routing_actor import RoutingActor
from .net.server_connections import ServerRegistry

if TYPE_CHECKING:
    from .coordination.agent import CoordinationAgent

FIRST_LIST_MS = 300.0  # the whole list is awaited this long before clients are; then the known one must do


def raise_limit(sockets: int) -> None:
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    want = sockets if hard == resource.RLIM_INFINITY else min(sockets, hard)
    if soft < want:
        resource.setrlimit(resource.RLIMIT_NOFILE, (want, hard))


class Operators:
    """The parts that serve operators. Imported only where they are wanted: memory is short."""

    def __init__(self, program: Program) -> None:
        from .admin.listener import DESCRIPTORS, Listener
        from .admin.operations import Operations
        from .upgrade.agreement import Agreement

        p = program
        self.agreement = Agreement(p.config.folder, p.clock, p.servers, p.routing)
        self.operations = Operations(p.routing, p.servers, p.connections, p.shutdown, self.agreement)
        self.listener = Listener(self.operations, p.clock)
        p.connections.reserved += DESCRIPTORS

    def start(self, program: Program) -> None:
        # Before the first list: what is out by hand must be known when it comes.
        self.agreement.start()
        self.listener.listen(program.config.admin)
        program.run(self.listener.accept())
        if self.agreement.folder:
            program.run(self.agreement.watch())


def coordination_of(program: Program) -> CoordinationAgent:
    """What balancers do together, from the operator's file. Imported only where that is named."""
    try:
        from .coordination.agent import CoordinationAgent

        agent = CoordinationAgent(program, program.config.fleet)
    except ModuleNotFoundError as bad:
        raise ConfigError(f"fleet: {bad.name} is not installed: pip install 'glenrock[fleet]'") from None
    if program.operators:
        program.operators.operations.coordination = agent
    return agent


class Program:
    """All parts, wired. Tests start it too, with a clock of their own."""

    def __init__(self, config: Config, clock: Clock) -> None:
        self.config, self.clock = config, clock
        self.begun = config  # what it started with
        self.routing = RoutingActor(config.settings, config.seed, clock)
        counts = ConnectionMetrics(c.name for c in config.settings.classes)
        self.servers = ServerRegistry(clock, config.settings.connect_timeout_us / 1000, self.routing.post, counts)
        pace = PollBackoff(config.settings.balancers, config.settings.must_poll_endpoints,
                           random.Random(config.seed ^ 1), config.settings.drain_grace_us / 1000)
        self.endpoints = EndpointWatcher(config.discovery, clock, self.servers.update,
                                lambda: self.routing.post(interface.EndpointList("failed")), pace)
        self.connections = ConnectionTable(self.routing, self.servers, clock, config.sockets,
                                    config.measures_delay, counts)
        self.acceptor = Acceptor(self.connections, clock)
        self.shutdown = GracefulShutdown(self.connections, self.acceptor, clock)
        self.operators = Operators(self) if config.admin else None
        self.peers = None
        self.routing.probe = self.servers.probe
        if config.peer_listen:
            self.peers = Peers(config.peer_listen, config.peers, config.peers_all, self.routing.post,
                               config.settings.balancers, config.accept_fd is not None)
            self.routing.tell = self.peers.tell
        self.coordination = coordination_of(self) if config.fleet else None
        self.tasks: set[asyncio.Task] = set()
        self.inherited = self.taker = self.neighbours = None
        if config.accept_fd is not None:
            from .upgrade.inherited import listener

            self.inherited = listener(config.accept_fd)
            if config.folder:
                from .upgrade.handover import Taker
                from .upgrade.neighbours import Neighbours

                self.taker = Taker(config.folder, self.connections)
                self.neighbours = Neighbours(config.folder, os.getpid())

    def run(self, work: Coroutine[None, None, None]) -> None:
        # The loop itself keeps no hold on a task.
        self.tasks.add(asyncio.get_running_loop().create_task(work))

    async def start(self) -> None:
        if self.neighbours:
            try:
                self.neighbours.arrive()
            except OSError as bad:
                say("upgrade", f"the other process does not know of this one: {bad}")
            self.connections.elsewhere = self.neighbours.descriptors
            self.connections.others = self.neighbours.descriptors()
        if self.operators:
            self.operators.start(self)
        if self.coordination:
            self.coordination.start()
        self.endpoints.remember(self.config.known)
        self.run(self.routing.run())
        self.run(self.endpoints.run())
        # Nothing is accepted, and so no PING answered, before there is a list to serve with.
        async with self.clock.limit(FIRST_LIST_MS):
            await self.endpoints.first.wait()
        self.acceptor.open(self.inherited or self.acceptor.listen(self.config.listen))
        self.run(self.connections.sweep())
        if self.taker:
            self.taker.listen()
        if self.operators:
            self.operators.operations.serves = True
        say("ready", f"{self.config.name} serves on {self.config.listen[0]}:{self.config.listen[1]}")

    def reload(self, again: Callable[[Config], Config]) -> None:
        """Takes over what can change while clients are connected. A faulty file leaves all as it is."""
        try:
            new = again(self.begun)
        except ConfigError as bad:
            say("config", f"{bad}; the old configuration stays")
            return
        waits = [key for key in AT_START if getattr(new, key) != getattr(self.config, key)]
        if waits:
            say("config", f"{', '.join(waits)}: changed, but taken over only at the next start")
        self.endpoints.move(new.discovery)
        if self.peers:
            self.peers.move(new.peers, new.peers_all)
        raise_limit(new.sockets)
        self.connections.sockets = new.sockets
        self.config = replace(self.config, discovery=new.discovery, peers=new.peers, peers_all=new.peers_all,
                              sockets=new.sockets)
        say("config", f"read again: discovery is at {new.discovery[0]}:{new.discovery[1]}")

    async def until(self, stop: asyncio.Event) -> None:
        stopped = asyncio.get_running_loop().create_task(stop.wait())
        await asyncio.wait([stopped, *self.tasks], return_when=asyncio.FIRST_COMPLETED)
        for task in self.tasks:
            if task.done():
                raise RuntimeError("an actor ended") from task.exception()
        say("stopping", f"{len(self.connections.by_id)} clients to hand back")
        successor = None
        if self.taker:
            from .upgrade.handover import Giver

            successor = Giver(self.config.folder, self.clock, self.taker.inode, self.routing.load_of)
        if self.coordination:
            self.run(self.coordination.stop())
        await self.shutdown.stop(self.inherited is not None, successor)
        if self.neighbours:
            self.neighbours.leave()
        say("stopped", f"{len(self.connections.by_id)} clients left")


async def serve(config: Config, clock: Clock, early: list[int]) -> None:
    loop, stop = asyncio.get_running_loop(), asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    program = Program(config, clock)
    again = functools.partial(program.reload, functools.partial(read, os.environ))
    loop.add_signal_handler(signal.SIGHUP, again)
    if early:  # the file may have changed after it was read
        again()
    if program.coordination:
        await program.coordination.wait_before_start(stop)
    await program.start()
    await program.until(stop)


def main() -> int:
    # Danger: without a handler SIGHUP ends the program, and its clients with it. So there is one from the
    # first moment on, and what comes before the loop runs is made up for.
    early: list[int] = []
    signal.signal(signal.SIGHUP, lambda number, _: early.append(number))
    try:
        config = read(os.environ)
    except ConfigError as bad:
        print(f"glenrock: {bad}", file=sys.stderr)
        return 2
    raise_limit(config.sockets)
    try:
        uvloop.run(serve(config, Clock(), early))
    except ConfigError as bad:
        print(f"glenrock: {bad}", file=sys.stderr)
        return 2
    except OSError as bad:
        print(f"glenrock: {bad}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
