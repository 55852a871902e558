"""The composition root: all parts of a balancer, built and wired. No part imports this module."""

from __future__ import annotations

import asyncio
import os
import random
import resource
from collections.abc import Callable, Coroutine
from dataclasses import replace
from typing import TYPE_CHECKING

from glenrock.routing import interface

from .config import TAKEN_AT_START, Config, ConfigError
from .log import get_logger
from .net.acceptor import Acceptor
from .net.clock import Clock
from .net.connection_table import ConnectionTable
from .net.descriptor_budget import DescriptorBudget, DescriptorBudgetError
from .net.endpoint_watcher import EndpointWatcher
from .net.graceful_shutdown import GracefulShutdown
from .net.listening_socket import listen
from .net.metrics import ConnectionMetrics
from .net.peers import Peers
from .net.poll_backoff import PollBackoff
from .net.routing_actor import RoutingActor
from .net.server_connections import ServerRegistry
from .net.start_times import StartTimes

if TYPE_CHECKING:
    from .coordination.agent import CoordinationAgent
    from .upgrade.relay_sender import RelaySender

FIRST_LIST_MS = 300.0  # the whole list is awaited this long before clients are; then the known one must do
POLL_SEED_MASK = 1  # keeps the random numbers of polls apart from those of the routing

logger = get_logger(__name__)


def raise_descriptor_limit(descriptors: int) -> None:
    """Raises this process's limit on open descriptors to that number, or as far as the hard limit lets it."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    wanted = descriptors if hard == resource.RLIM_INFINITY else min(descriptors, hard)
    if soft < wanted:
        resource.setrlimit(resource.RLIMIT_NOFILE, (wanted, hard))


def effective_descriptor_limit(descriptors: int) -> int:
    """The limit that binds: the configured one, or the process's own where that is lower."""
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return descriptors if soft == resource.RLIM_INFINITY else min(descriptors, soft)


class Operators:
    """The parts that serve operators. Imported only where they are wanted: memory is short."""

    def __init__(self, program: Program) -> None:
        from .admin.listener import RESERVED_DESCRIPTORS, Listener
        from .admin.operations import Operations
        from .upgrade.override_sync import OverrideSync

        self.override_sync = OverrideSync(program.config.folder, program.clock, program.servers, program.routing)
        self.operations = Operations(
            program.routing, program.servers, program.connections, program.shutdown, self.override_sync
        )
        self.listener = Listener(self.operations, program.clock)
        program.budget.operators = RESERVED_DESCRIPTORS

    def start(self, program: Program) -> None:
        """Before the first list: what operators took out of rotation must be known when it comes."""
        self.override_sync.start()
        if program.config.admin:
            self.listener.listen(program.config.admin)
            program.run(self.listener.accept())
        if self.override_sync.folder:
            program.run(self.override_sync.watch())


class Upgrade:
    """The parts that share a listening socket with a process before or after this one, and what it leaves to it."""

    def __init__(self, program: Program, descriptor: int) -> None:
        from .upgrade.inherited_listener import open_inherited

        self.listener = open_inherited(descriptor)
        self._program = program
        self._folder = program.config.folder
        if self._folder:
            from .upgrade.process_registry import ProcessRegistry
            from .upgrade.relay_receiver import RelayReceiver

            self._relay_receiver = RelayReceiver(self._folder, program.connections)
            self._processes = ProcessRegistry(self._folder, os.getpid())

    def arrive(self) -> None:
        """Makes this process known to the other one, and counts what that one holds."""
        if not self._folder:
            return
        try:
            self._processes.register()
        except OSError as error:
            logger.warning("process mark not written: the descriptor limit may be exceeded", error=error)
        connections = self._program.connections
        connections.count_other_descriptors = self._processes.count_other_descriptors
        connections.budget.other_process = self._processes.count_other_descriptors()

    def take_relays(self) -> None:
        """From now on relays of the process before can be taken over."""
        if self._folder:
            self._relay_receiver.listen()

    def successor(self) -> RelaySender | None:
        """Whoever may take this process's relays over; None without a shared folder."""
        if not self._folder:
            return None
        from .upgrade.relay_sender import RelaySender

        program = self._program
        return RelaySender(self._folder, program.clock, self._relay_receiver.socket_inode, program.routing.load_of)

    def leave(self) -> None:
        """This process holds no descriptors from now on."""
        if self._folder:
            self._processes.unregister()


def _coordination_of(program: Program) -> CoordinationAgent:
    """What balancers do together, from the operator's file. Imported only where that is named."""
    try:
        from .coordination.agent import CoordinationAgent

        agent = CoordinationAgent(program, program.config.fleet)
    except ModuleNotFoundError as error:
        raise ConfigError(f"fleet: {error.name} is not installed: pip install 'glenrock[fleet]'") from error
    if program.operators:
        program.operators.operations.coordination = agent
    return agent


class Program:
    """A balancer. Tests start it too, with a clock of their own.

    Raises:
        ConfigError: on building it, what the configuration names cannot be used.
    """

    def __init__(self, config: Config, clock: Clock) -> None:
        settings = config.settings
        self.config = config
        self.clock = clock
        self.routing = RoutingActor(settings, config.seed, clock)
        metrics = ConnectionMetrics(one.name for one in settings.classes)
        self.budget = DescriptorBudget(effective_descriptor_limit(config.sockets))
        start_times = StartTimes(clock, settings.slow_start_us / 1000)
        self.servers = ServerRegistry(
            clock, settings.connect_timeout_us / 1000, self.routing.post, metrics, self.budget, start_times
        )
        self.endpoints = EndpointWatcher(
            config.discovery,
            clock,
            self.servers.update,
            self._report_poll_failure,
            _poll_backoff_of(config),
            start_times.record_answer,
        )
        self.connections = ConnectionTable(
            self.routing, self.servers, clock, self.budget, config.measures_delay, metrics
        )
        self.acceptor = Acceptor(self.connections, clock)
        self.shutdown = GracefulShutdown(self.connections, self.acceptor, clock)
        self.operators = Operators(self) if config.admin else None
        self.routing.send_health_check = self.servers.send_health_check
        self.peers = self._peers_of(config)
        self._check_budget()
        self.coordination = _coordination_of(self) if config.fleet else None
        self._config_at_start = config
        self._tasks: set[asyncio.Task[None]] = set()
        self._upgrade = Upgrade(self, config.accept_fd) if config.accept_fd is not None else None

    def _check_budget(self) -> None:
        """Raises ConfigError where not a single client could be served."""
        try:
            self.budget.check_limit(self.budget.limit)
        except DescriptorBudgetError as error:
            raise ConfigError(f"limits.sockets: {error}") from error

    def _report_poll_failure(self) -> None:
        self.routing.post(interface.EndpointList(interface.EndpointListKind.FAILED))

    def _peers_of(self, config: Config) -> Peers | None:
        if not config.peer_listen:
            return None
        shared_listener = config.accept_fd is not None
        peers = Peers(
            config.peer_listen,
            config.peers,
            config.peers_all,
            self.routing.post,
            config.settings.balancers,
            shared_listener,
        )
        self.routing.send_gossip = peers.send_gossip
        return peers

    def run(self, work: Coroutine[None, None, None]) -> None:
        """Runs an actor for as long as the process runs. The loop itself keeps no reference to a task."""
        self._tasks.add(asyncio.get_running_loop().create_task(work))

    async def start(self) -> None:
        """Starts all parts, and accepts clients once there is a list to serve with.

        Raises:
            OSError: an address cannot be bound.
        """
        if self._upgrade:
            self._upgrade.arrive()
        if self.operators:
            self.operators.start(self)
        if self.coordination:
            self.coordination.start()
        self.endpoints.use_cached_list(self.config.known)
        self.run(self.routing.run())
        self.run(self.endpoints.run())
        # Nothing is accepted, and so no PING answered, before there is a list to serve with.
        async with self.clock.limit(FIRST_LIST_MS):
            await self.endpoints.has_answered.wait()
        self._accept_clients()
        host, port = self.config.listen
        logger.info("ready", balancer=self.config.name, address=f"{host}:{port}")

    def _accept_clients(self) -> None:
        inherited = self._upgrade.listener if self._upgrade else None
        self.acceptor.open(inherited or listen(self.config.listen))
        self.run(self.connections.sweep())
        if self._upgrade:
            self._upgrade.take_relays()
        if self.operators:
            self.operators.operations.is_serving = True

    def reload(self, read_again: Callable[[Config], Config]) -> None:
        """Takes over what can change while clients are connected. A faulty file leaves all as it is.

        Args:
            read_again: reads the configuration, given the one that this process started with.
        """
        try:
            new = read_again(self._config_at_start)
        except ConfigError as error:
            logger.warning("configuration not reloaded: the previous one stays", error=str(error))
            return
        try:
            self.budget.check_limit(new.sockets)
        except DescriptorBudgetError as error:
            logger.warning("configuration not reloaded: descriptor limit too low", error=str(error))
            return
        waiting = [key for key in TAKEN_AT_START if getattr(new, key) != getattr(self.config, key)]
        if waiting:
            logger.warning("configuration changes that need a restart", keys=",".join(waiting))
        self.endpoints.change_address(new.discovery)
        if self.peers:
            self.peers.change_addresses(new.peers, new.peers_all)
        raise_descriptor_limit(new.sockets)
        self.budget.limit = effective_descriptor_limit(new.sockets)
        self.config = replace(
            self.config, discovery=new.discovery, peers=new.peers, peers_all=new.peers_all, sockets=new.sockets
        )
        host, port = new.discovery
        logger.info("configuration reloaded", discovery=f"{host}:{port}")

    async def run_until(self, stop: asyncio.Event) -> None:
        """Serves until that event, then hands all clients back.

        Raises:
            RuntimeError: an actor ended, which none may while clients are served.
        """
        stopped = asyncio.get_running_loop().create_task(stop.wait())
        await asyncio.wait([stopped, *self._tasks], return_when=asyncio.FIRST_COMPLETED)
        for task in self._tasks:
            if task.done():
                raise RuntimeError("an actor ended") from task.exception()
        logger.info("stopping", clients=len(self.connections.by_id))
        successor = self._upgrade.successor() if self._upgrade else None
        if self.coordination:
            self.run(self.coordination.stop())
        await self.shutdown.stop(self._upgrade is not None, successor)
        if self._upgrade:
            self._upgrade.leave()
        if self.connections.by_id:
            logger.warning("stopped with clients still connected", clients=len(self.connections.by_id))
        else:
            logger.info("stopped")


def _poll_backoff_of(config: Config) -> PollBackoff:
    settings = config.settings
    numbers = random.Random(config.seed ^ POLL_SEED_MASK)  # noqa: S311 - spread of polls, no secret
    return PollBackoff(settings.balancers, settings.must_poll_endpoints, numbers, settings.drain_grace_us / 1000)
