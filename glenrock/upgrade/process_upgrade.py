"""One process's part in upgrades: what it shares with its predecessor and its successor."""

from __future__ import annotations

import asyncio
import os
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

from glenrock.routing import interface
from glenrock.routing.interface import EndpointListKind

from ..log import get_logger
from ..net.clock import Clock, ms_from_us, us_from_ms
from ..net.connection_table import ConnectionTable
from ..net.endpoint_rows import EndpointRow
from ..net.endpoint_watcher import NO_VERSION, EndpointWatcher
from ..net.routing_actor import RoutingActor
from ..net.server_connections import ServerRegistry
from ..net.start_times import KnownStart, StartTimes
from .inherited_listener import open_inherited
from .process_registry import ProcessRegistry
from .relay_receiver import RelayReceiver
from .relay_sender import RelaySender
from .state_message import ReportedList, ServerSend, ServerSends, ToldServer
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
        self._state_sender = StateSender(folder, balancer, self._reported_list)
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

    async def use_predecessor_list(self, configured: dict[str, Any]) -> bool:
        """Uses the predecessor's endpoint list. Returns False if the configured list is to be used.

        Args:
            configured: the configured list, in discovery's form.
        """
        is_told = self._folder and self.has_predecessor
        reported = await self._state_receiver.receive_snapshot() if is_told else None
        if reported is None:
            return False
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
        await asyncio.get_running_loop().create_future()

    def _use_change(self, change: ReportedList | ServerSends) -> None:
        if isinstance(change, ReportedList):
            self._use_list_change(change)
            return
        clock = self._parts.clock
        sends = tuple(
            interface.SentLoad(us_from_ms(clock.from_machine_ms(sent.at_ms)), sent.load) for sent in change.sends
        )
        self._parts.routing.post_required(interface.SlowStartSends(change.name, sends))

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

    def _reported_list(self) -> ReportedList:
        servers = self._parts.servers
        kind = EndpointListKind.FULL if servers.has_list else EndpointListKind.CACHED
        return self._build_list(kind, servers.rows.values())

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
