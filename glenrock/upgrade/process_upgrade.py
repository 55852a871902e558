"""One process's part in upgrades: what it shares with its predecessor and its successor."""

from __future__ import annotations

import asyncio
import contextlib
import os
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

from glenrock.routing import interface
from glenrock.routing.interface import EndpointListKind

from ..log import get_logger
from ..net.clock import Clock, ms_from_us, us_from_ms
from ..net.connection_table import ConnectionTable
from ..net.drain_state import DrainState
from ..net.endpoint_rows import EndpointRow
from ..net.endpoint_watcher import NO_VERSION, EndpointWatcher
from ..net.graceful_shutdown import GracefulShutdown
from ..net.routing_actor import RoutingActor
from ..net.server_connections import ServerRegistry
from ..net.start_times import KnownStart, StartTimes
from ..operation_errors import OperationRejectedError
from .inherited_listener import open_inherited
from .process_registry import ProcessRegistry
from .relay_receiver import RelayReceiver
from .relay_sender import RelaySender
from .state_message import (
    ManualDrain,
    ReportedList,
    ServerSend,
    ServerSends,
    StateChange,
    StateSnapshot,
    ToldServer,
)
from .state_receiver import StateReceiver, is_change_news, unusable_reason
from .state_sender import StateSender

logger = get_logger(__name__)


@dataclass(frozen=True)
class BalancerParts:
    """The parts of this process that an upgrade concerns."""

    connections: ConnectionTable
    routing: RoutingActor
    servers: ServerRegistry
    endpoints: EndpointWatcher
    start_times: StartTimes
    drain: DrainState
    shutdown: GracefulShutdown
    clock: Clock


class ProcessUpgrade:
    """Shares the listening socket with this process's predecessor and successor, and hands over relays and state.

    Attributes:
        listener: the inherited listening socket.

    Args:
        folder: the folder that both processes of an upgrade share; empty if there is none.
        descriptor: the descriptor of the inherited listening socket.
        balancer: the configured name of this balancer.
        parts: the parts of this process.

    Raises:
        ConfigError: the descriptor is not a listening TCP socket.
    """

    def __init__(self, folder: str, descriptor: int, balancer: str, parts: BalancerParts) -> None:
        self.listener = open_inherited(descriptor)
        self._folder = folder
        self._parts = parts
        self._relay_receiver = RelayReceiver(folder, parts.connections)
        self._state_receiver = StateReceiver(folder, balancer, parts.clock)
        self._state_sender = StateSender(folder, balancer, self._read_state, self._use_drain)
        self._snapshot: StateSnapshot | None = None
        self._drain_changed = asyncio.Event()
        parts.drain.on_manual_change = self._publish_drain
        self._processes = ProcessRegistry(folder, os.getpid())

    def register_process(self) -> None:
        """Registers this process, and reserves the descriptors that the other processes have open."""
        if not self._folder:
            return
        try:
            self._processes.register()
        except OSError as error:
            logger.warning("process not registered: the descriptor limit may be exceeded", error=error)
        connections = self._parts.connections
        connections.count_other_descriptors = self._processes.count_other_descriptors
        connections.budget.other_process_descriptors = self._processes.count_other_descriptors()

    @property
    def has_predecessor(self) -> bool:
        """Whether another process of this balancer ran when this one registered."""
        return self._parts.connections.budget.other_process_descriptors > 0

    # -- the predecessor -------------------------------------------------------------------------------

    async def receive_state(self) -> None:
        """Receives what the predecessor was told, and continues its manual drain."""
        if not self._folder or not self.has_predecessor:
            return
        self._snapshot = await self._state_receiver.receive_snapshot()
        if self._snapshot:
            self._use_predecessor_drain(self._snapshot.manual_drain)

    def use_predecessor_list(self, configured: dict[str, Any]) -> bool:
        """Uses the endpoint list that was received. Returns False if the configured list is to be used.

        Args:
            configured: the configured list, in discovery's form.
        """
        if self._snapshot is None:
            return False
        reported, self._snapshot = self._snapshot.reported, None
        endpoints = self._parts.endpoints
        discovery = str(endpoints.address)
        version = configured.get("index")
        configured_version = version if isinstance(version, int) else NO_VERSION
        if reason := unusable_reason(reported, configured_version, discovery):
            logger.warning("predecessor's endpoint list not used", reason=reason)
            return False
        self._use_list(reported)
        return True

    async def follow_predecessor(self) -> None:
        """Uses what the predecessor is told from now on, until it ends. Then waits for ever."""
        await self._state_receiver.follow(self._use_change)
        self._parts.drain.is_replacing = False
        await asyncio.get_running_loop().create_future()

    async def tell_predecessor(self) -> None:
        """Tells the predecessor each change of this process's manual drain, for as long as the program runs."""
        while True:
            await self._drain_changed.wait()
            self._drain_changed.clear()
            await self._state_receiver.send_drain(self._manual_drain())

    def _use_change(self, change: StateChange) -> None:
        match change:
            case ReportedList():
                self._use_list_change(change)
            case ServerSends():
                self._use_sends(change)
            case ManualDrain():
                self._use_predecessor_drain(change)

    def _use_predecessor_drain(self, drain: ManualDrain) -> None:
        state = self._parts.drain
        if drain.started_ms is not None and not state.is_manually_draining:
            state.is_replacing = True
        self._use_drain(drain)

    def _use_drain(self, drain: ManualDrain) -> None:
        """Begins or ends this process's manual drain as the other process of an upgrade did."""
        with contextlib.suppress(OperationRejectedError):  # raised if this process is stopping: it goes on saying no
            if drain.started_ms is None:
                self._parts.shutdown.end_manual_drain()
            else:
                self._parts.shutdown.continue_manual_drain(self._parts.clock.from_machine_ms(drain.started_ms))

    def _use_sends(self, spent: ServerSends) -> None:
        clock = self._parts.clock
        sends = tuple(
            interface.SentLoad(us_from_ms(clock.from_machine_ms(sent.at_ms)), sent.load) for sent in spent.sends
        )
        self._parts.routing.post_required(interface.SlowStartSends(spent.name, sends))

    def _use_list_change(self, change: ReportedList) -> None:
        """Uses a change of the predecessor's list, unless this process has been told as much."""
        endpoints = self._parts.endpoints
        has_answered = endpoints.has_answered.is_set()
        if is_change_news(change, endpoints.newest_version, str(endpoints.address), has_answered):
            logger.info("change of the predecessor's endpoint list used", servers=len(change.servers))
            self._use_list(change)

    def _use_list(self, reported: ReportedList) -> None:
        self._take_over_starts(reported)
        endpoints = self._parts.endpoints
        is_same_discovery = reported.discovery == str(endpoints.address)
        rows = [server.row for server in reported.servers]
        endpoints.use_predecessor_list(reported.version if is_same_discovery else None, reported.kind, rows)

    def _take_over_starts(self, reported: ReportedList) -> None:
        clock = self._parts.clock
        starts = {
            server.row.name: KnownStart(server.row.since_ms, clock.from_machine_ms(server.started_ms))
            for server in reported.servers
            if server.started_ms is not None
        }
        answered_ms = None if reported.answered_ms is None else clock.from_machine_ms(reported.answered_ms)
        self._parts.start_times.take_over(starts, answered_ms)

    def receive_relays(self) -> None:
        """Starts to accept the relays that the predecessor hands over."""
        if self._folder:
            self._relay_receiver.listen()

    # -- the successor ---------------------------------------------------------------------------------

    def tell_successors(self) -> None:
        """Starts to tell successors the endpoint list."""
        if self._folder:
            self._state_sender.listen()

    def publish_change(self, kind: EndpointListKind, rows: list[EndpointRow]) -> None:
        """Tells the successors a list or a change that discovery has reported."""
        if kind in (EndpointListKind.FULL, EndpointListKind.CHANGES):
            self._state_sender.publish(self._build_list(kind, rows))

    def publish_slow_start_sends(self) -> None:
        """Tells the successors what this process has spent of slow-start budgets, as it stops to spend."""
        clock = self._parts.clock
        for event in self._parts.routing.balancer.slow_start_sends():
            sends = tuple(ServerSend(clock.to_machine_ms(ms_from_us(sent.at_us)), sent.load) for sent in event.sends)
            self._state_sender.publish(ServerSends(event.server_id, sends))

    def _publish_drain(self) -> None:
        self._state_sender.publish(self._manual_drain())
        self._drain_changed.set()

    def _manual_drain(self) -> ManualDrain:
        started_ms = self._parts.drain.manual_started_ms
        return ManualDrain(None if started_ms is None else self._parts.clock.to_machine_ms(started_ms))

    def _read_state(self) -> StateSnapshot:
        servers = self._parts.servers
        kind = EndpointListKind.FULL if servers.has_list else EndpointListKind.CACHED
        return StateSnapshot(self._manual_drain(), self._build_list(kind, servers.rows.values()))

    def _build_list(self, kind: EndpointListKind, rows: Iterable[EndpointRow]) -> ReportedList:
        """Returns rows of the endpoint list of this process, with times of the machine's clock."""
        parts = self._parts
        last_response_ms = parts.start_times.last_response_ms
        return ReportedList(
            kind=kind,
            version=parts.endpoints.newest_version if parts.endpoints.newest_version > NO_VERSION else None,
            discovery=str(parts.endpoints.address),
            answered_ms=None if last_response_ms is None else parts.clock.to_machine_ms(last_response_ms),
            servers=tuple(self._told_server(row) for row in rows),
        )

    def _told_server(self, row: EndpointRow) -> ToldServer:
        start = self._parts.start_times.known_start(row.name)
        return ToldServer(row, None if start is None else self._parts.clock.to_machine_ms(start.started_ms))

    def create_relay_sender(self) -> RelaySender | None:
        """Returns the part that hands this process's relays to its successor; None without a shared folder."""
        if not self._folder:
            return None
        parts = self._parts
        return RelaySender(self._folder, parts.clock, self._relay_receiver.socket_inode, parts.routing.load_of)

    def unregister_process(self) -> None:
        """Removes this process's registration, so that other processes no longer count its descriptors."""
        if self._folder:
            self._processes.unregister()
