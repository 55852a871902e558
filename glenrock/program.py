"""The composition root: builds and connects all parts of a balancer. No part imports this module."""

from __future__ import annotations

import asyncio
import random
import resource
from collections.abc import Callable, Coroutine
from dataclasses import replace
from typing import TYPE_CHECKING

from glenrock.routing import interface

from .config import RESTART_KEYS, Config, ConfigError
from .log import get_logger
from .net.acceptor import Acceptor
from .net.clock import Clock
from .net.connection_table import ConnectionTable
from .net.descriptor_budget import DescriptorBudget, DescriptorBudgetError
from .net.drain_state import DrainState
from .net.endpoint_rows import EndpointRow
from .net.endpoint_watcher import EndpointWatcher
from .net.graceful_shutdown import GracefulShutdown
from .net.listening_socket import listen
from .net.metrics import ConnectionMetrics
from .net.peers import Peers
from .net.poll_backoff import PollBackoff
from .net.request_history import RequestHistory
from .net.routing_actor import RoutingActor
from .net.server_connections import ServerRegistry
from .net.start_times import StartTimes

if TYPE_CHECKING:
    from .coordination.agent import CoordinationAgent
    from .upgrade.process_upgrade import ProcessUpgrade
    from .upgrade.state_exchange import StateExchange

FIRST_LIST_TIMEOUT_MS = 300.0
SUCCESSOR_LIST_TIMEOUT_MS = 3000.0  # the predecessor serves clients meanwhile, and a new process is due within 6 s
POLL_SEED_MASK = 1  # gives polls a seed other than routing's, so that their random numbers are independent

logger = get_logger(__name__)


def raise_descriptor_limit(descriptors: int) -> None:
    """Raises this process's soft limit on open descriptors to `descriptors`, at most to the hard limit."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    wanted = descriptors if hard == resource.RLIM_INFINITY else min(descriptors, hard)
    if soft < wanted:
        resource.setrlimit(resource.RLIMIT_NOFILE, (wanted, hard))


def effective_descriptor_limit(descriptors: int) -> int:
    """Returns the configured limit on open descriptors, or the process's soft limit if that is lower."""
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return descriptors if soft == resource.RLIM_INFINITY else min(descriptors, soft)


class OperatorInterface:
    """The parts that answer operators' calls. Their modules are imported on demand, to save memory.

    Attributes:
        override_sync: applies the overrides, and shares them with the other process of an upgrade.
        operations: carries out operators' calls.
        listener: accepts operators' HTTP connections.
    """

    def __init__(self, program: Program) -> None:
        from .admin.listener import RESERVED_DESCRIPTORS, Listener
        from .admin.operations import Operations
        from .upgrade.override_sync import OverrideSync

        self.override_sync = OverrideSync(program.config.shared_folder, program.clock, program.servers, program.routing)
        self.operations = Operations(
            program.routing,
            program.servers,
            program.connections,
            program.shutdown,
            program.drain,
            self.override_sync,
        )
        self.listener = Listener(self.operations, program.clock)
        program.budget.operator_descriptors = RESERVED_DESCRIPTORS

    def start(self, program: Program) -> None:
        """Reads the stored overrides and starts listening.

        Call it before the first endpoint list is read, so that no suspended server receives a connection.

        Raises:
            OSError: the address cannot be bound.
        """
        self.override_sync.start()
        if program.config.admin:
            self.listener.listen(program.config.admin)
            program.start_task(self.listener.accept())
        if self.override_sync.folder:
            program.start_task(self.override_sync.watch())


def _create_coordination_agent(program: Program) -> CoordinationAgent:
    """Returns the agent that coordinates this balancer with others. Its modules are imported only if it is configured.

    Raises:
        ConfigError: its configuration is invalid, or a package that it needs is missing.
    """
    try:
        from .coordination.agent import CoordinationAgent

        agent = CoordinationAgent(program, program.config.fleet)
    except ModuleNotFoundError as error:
        raise ConfigError(f"fleet: {error.name} is not installed: pip install 'glenrock[fleet]'") from error
    if program.operators:
        program.operators.operations.coordination = agent
    return agent


def _create_upgrade(program: Program, descriptor: int) -> ProcessUpgrade:
    """Returns this process's part in upgrades. Its modules are imported only if a listening socket is inherited.

    Raises:
        ConfigError: the descriptor is not a listening TCP socket.
    """
    from .upgrade.process_upgrade import ProcessUpgrade
    from .upgrade.state_exchange import StateExchange, StateOwners

    folder = program.config.shared_folder
    owners = StateOwners(
        routing=program.routing,
        servers=program.servers,
        endpoints=program.endpoints,
        start_times=program.start_times,
        drain=program.drain,
        shutdown=program.shutdown,
        clock=program.clock,
    )
    state = StateExchange(folder, program.config.name, owners)
    return ProcessUpgrade(folder, descriptor, program.connections, program.routing, program.clock, state)


def _create_poll_backoff(config: Config) -> PollBackoff:
    settings = config.settings
    rng = random.Random(config.seed ^ POLL_SEED_MASK)  # noqa: S311 - jitter, not a secret
    return PollBackoff(settings.balancers, settings.must_poll_endpoints, rng, settings.drain_grace_us / 1000)


def _open_history(config: Config) -> RequestHistory | None:
    """Returns the ids that must not run twice; None if they are only those of open connections of this process."""
    folder = config.shared_folder if config.accept_fd is not None else ""
    may_run_twice = all(class_.idempotency is interface.Idempotency.SAFE for class_ in config.settings.classes)
    if may_run_twice and not folder:
        return None
    try:
        return RequestHistory(folder)
    except OSError as error:
        logger.warning("request ids not shared with the other process of an upgrade", error=error)
        return RequestHistory()


class Program:
    """A balancer, with all of its parts.

    Args:
        config: the configuration at the start.
        clock: the only clock of the process; tests pass one that they advance themselves.

    Raises:
        ConfigError: the descriptor limit is too low for a single client, the inherited listening socket cannot be used,
            or the configuration of coordination is invalid.
        OSError: the address of the peers' socket cannot be bound.
    """

    def __init__(self, config: Config, clock: Clock) -> None:
        settings = config.settings
        self.config = config
        self.clock = clock
        self.routing = RoutingActor(settings, config.seed, clock)
        metrics = ConnectionMetrics(request_class.name for request_class in settings.classes)
        self.budget = DescriptorBudget(effective_descriptor_limit(config.descriptor_limit))
        self.start_times = StartTimes(clock, settings.slow_start_us / 1000)
        self.servers = ServerRegistry(
            clock,
            settings.connect_timeout_us / 1000,
            self.routing.post_required,
            metrics,
            self.budget,
            self.start_times,
        )
        self.endpoints = EndpointWatcher(
            config.discovery,
            clock,
            self._update_endpoints,
            self._report_poll_failure,
            _create_poll_backoff(config),
            self.start_times.record_answer,
        )
        self.connections = ConnectionTable(
            self.routing, self.servers, clock, self.budget, config.measures_delay, metrics, _open_history(config)
        )
        self.drain = DrainState(clock, self.routing.post_priority_event)
        self.acceptor = Acceptor(self.connections, clock, self.drain)
        self.shutdown = GracefulShutdown(self.connections, self.acceptor, clock, self.drain)
        self.operators = OperatorInterface(self) if config.admin else None
        self.routing.send_health_check = self.servers.send_health_check
        self.peers = self._create_peers(config)
        self._check_budget()
        self.coordination = _create_coordination_agent(self) if config.fleet else None
        self._initial_config = config
        self._tasks: set[asyncio.Task[None]] = set()
        self._upgrade = _create_upgrade(self, config.accept_fd) if config.accept_fd is not None else None

    @property
    def _shared_state(self) -> StateExchange | None:
        """Exchanges state with the other process of an upgrade; None if this process can have none."""
        return self._upgrade.state if self._upgrade else None

    def _check_budget(self) -> None:
        """Raises ConfigError if the descriptor limit is too low to serve a single client."""
        try:
            self.budget.check_limit(self.budget.limit)
        except DescriptorBudgetError as error:
            raise ConfigError(f"limits.sockets: {error}") from error

    def _update_endpoints(self, kind: interface.EndpointListKind, rows: list[EndpointRow]) -> None:
        self.servers.update(kind, rows)
        if self._shared_state:
            self._shared_state.publish_change(kind, rows)

    def _report_poll_failure(self) -> None:
        self.routing.post_required(interface.EndpointList(interface.EndpointListKind.FAILED))

    def _create_peers(self, config: Config) -> Peers | None:
        if not config.peer_listen:
            return None
        peers = Peers(
            config.peer_listen,
            config.peers,
            config.peer_broadcast,
            self.routing.post,
            config.settings.balancers,
            self.clock,
            reuses_address=config.accept_fd is not None,
        )
        self.routing.send_gossip = peers.send_gossip
        return peers

    def start_task(self, coroutine: Coroutine[None, None, None]) -> None:
        """Starts a task, and keeps a strong reference to it, since the event loop keeps only a weak one.

        `run_until` raises RuntimeError if the task ends while clients are served.
        """
        name = getattr(coroutine, "__qualname__", None)
        self._tasks.add(asyncio.get_running_loop().create_task(coroutine, name=name))

    async def start(self) -> None:
        """Starts all parts, and accepts clients after the first reported endpoint list or a timeout.

        Raises:
            OSError: an address cannot be bound.
        """
        if self._upgrade:
            self._upgrade.register_process()
        if self.operators:
            self.operators.start(self)
        if self._upgrade:
            await self._upgrade.receive_state()
        if self.coordination:
            self.coordination.start()
        has_reported_list = self._use_first_list()
        self.start_task(self.routing.run())
        is_successor = self._upgrade is not None and self._upgrade.has_predecessor
        self.start_task(self.endpoints.run(is_successor=is_successor))
        if not has_reported_list:
            await self._wait_for_list(is_successor)
        self._accept_clients()
        logger.info("ready", balancer=self.config.name, address=self.config.listen)

    def _use_first_list(self) -> bool:
        """Uses the predecessor's endpoint list in an upgrade, or else the configured one, until discovery responds.

        Returns:
            Whether discovery has reported the list, to this process or its predecessor.
        """
        configured = self.config.raw_cached_endpoints
        if self._shared_state is None or not self._shared_state.use_predecessor_list(configured):
            self.endpoints.use_cached_list(configured)
        return self.servers.has_list

    async def _wait_for_list(self, is_successor: bool) -> None:
        """Waits for the first endpoint list, within limits.

        The PONG that answers a client's PING says that this balancer can serve. What the predecessor was told also
        binds its successor, and the cached list may be older. An agent answers at once or is silent; a service for all
        balancers may need longer.
        """
        waits_longer = is_successor and self.config.settings.must_poll_endpoints
        async with self.clock.time_limit(SUCCESSOR_LIST_TIMEOUT_MS if waits_longer else FIRST_LIST_TIMEOUT_MS):
            await self.endpoints.has_answered.wait()

    def _accept_clients(self) -> None:
        inherited = self._upgrade.listener if self._upgrade else None
        self.acceptor.open(inherited or listen(self.config.listen))
        self.start_task(self.connections.sweep())
        if self._upgrade:
            self._upgrade.listen()
        if self._shared_state:
            self.start_task(self._shared_state.follow_predecessor())
            self.start_task(self._shared_state.tell_predecessor())
        if self.operators:
            self.operators.operations.is_serving = True

    def reload(self, reread_config: Callable[[Config], Config]) -> None:
        """Rereads the configuration, and applies the changes that need no restart; all or none of them.

        Args:
            reread_config: reads the configuration, given the configuration that this process started with.
        """
        try:
            new_config = reread_config(self._initial_config)
        except ConfigError as error:
            logger.warning("configuration not reloaded: the previous one stays", error=str(error))
            return
        try:
            self.budget.check_limit(new_config.descriptor_limit)
        except DescriptorBudgetError as error:
            logger.warning("configuration not reloaded: descriptor limit too low", error=str(error))
            return
        self._log_restart_keys(new_config)
        self._apply(new_config)
        logger.info("configuration reloaded", discovery=new_config.discovery)

    def _log_restart_keys(self, new_config: Config) -> None:
        changed_keys = [key for key in RESTART_KEYS if getattr(new_config, key) != getattr(self.config, key)]
        if changed_keys:
            logger.warning("configuration changes that need a restart", keys=",".join(changed_keys))

    def _apply(self, new_config: Config) -> None:
        self.endpoints.change_address(new_config.discovery)
        if self.peers:
            self.peers.change_addresses(new_config.peers, new_config.peer_broadcast)
        raise_descriptor_limit(new_config.descriptor_limit)
        self.budget.limit = effective_descriptor_limit(new_config.descriptor_limit)
        self.config = replace(
            self.config,
            discovery=new_config.discovery,
            peers=new_config.peers,
            peer_broadcast=new_config.peer_broadcast,
            descriptor_limit=new_config.descriptor_limit,
        )

    async def run_until(self, stop: asyncio.Event) -> None:
        """Serves until the event is set, then shuts down gracefully.

        Raises:
            RuntimeError: a task ended while clients were served.
        """
        await self._serve_until(stop)
        logger.info("stopping", clients=len(self.connections.by_id))
        if self._shared_state:
            self._shared_state.publish_slow_start_sends()
        relay_sender = self._upgrade.create_relay_sender() if self._upgrade else None
        if self.coordination:
            self.start_task(self.coordination.stop())
        await self.shutdown.stop(self._upgrade is not None, relay_sender)
        if self._upgrade:
            self._upgrade.unregister_process()
        if self.connections.by_id:
            logger.warning("stopped with clients still connected", clients=len(self.connections.by_id))
        else:
            logger.info("stopped")

    async def _serve_until(self, stop: asyncio.Event) -> None:
        stopped = asyncio.get_running_loop().create_task(stop.wait())
        await asyncio.wait([stopped, *self._tasks], return_when=asyncio.FIRST_COMPLETED)
        for task in self._tasks:
            if task.done():
                raise RuntimeError(f"an actor ended: {task.get_name()}") from task.exception()
