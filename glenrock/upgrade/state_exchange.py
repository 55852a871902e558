"""Exchanges state with the other process of an upgrade: what either was told by discovery and by operators."""

from __future__ import annotations

import asyncio
import contextlib
import functools
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

from glenrock.routing import interface
from glenrock.routing.interface import EndpointListKind

from ..log import get_logger
from ..net.clock import Clock, ms_from_us, us_from_ms
from ..net.drain_state import DrainState
from ..net.endpoint_rows import EndpointRow
from ..net.endpoint_watcher import NO_VERSION, EndpointWatcher
from ..net.graceful_shutdown import GracefulShutdown
from ..net.routing_actor import RoutingActor
from ..net.server_connections import ServerRegistry
from ..net.start_times import KnownStart, StartTimes
from ..operation_errors import OperationRejectedError
from .list_selection import is_change_news, unusable_reason
from .state_message import (
    ManualDrain,
    ReportedList,
    ServerSend,
    ServerSends,
    StateChange,
    StateSnapshot,
    ToldServer,
)
from .state_receiver import StateReceiver
from .state_sender import StateSender

logger = get_logger(__name__)


@dataclass(frozen=True)
class StateOwners:
    """The parts of this process that own what is exchanged."""

    routing: RoutingActor
    servers: ServerRegistry
    endpoints: EndpointWatcher
    start_times: StartTimes
    drain: DrainState
    shutdown: GracefulShutdown
    clock: Clock


class StateExchange:
    """Takes over the state of the predecessor, and tells the successors that of this process.

    Args:
        folder: the folder that both processes of an upgrade share.
        balancer: the configured name of this balancer.
        owners: the parts of this process.
    """

    def __init__(self, folder: str, balancer: str, owners: StateOwners) -> None:
        self._owners = owners
        self._receiver = StateReceiver(folder, balancer, owners.clock)
        self._sender = StateSender(
            folder, balancer, self._read_state, functools.partial(self._use_drain, is_replacing=False)
        )
        self._snapshot: StateSnapshot | None = None
        self._drain_changed = asyncio.Event()
        owners.drain.on_manual_change = self._publish_drain

    # -- the predecessor -------------------------------------------------------------------------------

    async def receive(self) -> None:
        """Receives what the predecessor was told, and continues its manual drain."""
        self._snapshot = await self._receiver.receive_snapshot()
        if self._snapshot:
            self._use_drain(self._snapshot.manual_drain, is_replacing=True)

    def use_predecessor_list(self, configured: dict[str, Any]) -> bool:
        """Uses the endpoint list that was received. Returns False if the configured list is to be used.

        Args:
            configured: the configured list, in discovery's form.
        """
        if self._snapshot is None:
            return False
        reported, self._snapshot = self._snapshot.reported, None
        endpoints = self._owners.endpoints
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
        await self._receiver.follow(self._use_change)
        self._owners.drain.is_replacing = False
        await asyncio.get_running_loop().create_future()

    async def tell_predecessor(self) -> None:
        """Tells the predecessor each change of this process's manual drain, for as long as the program runs."""
        while True:
            await self._drain_changed.wait()
            self._drain_changed.clear()
            await self._receiver.send_drain(self._manual_drain())

    def _use_change(self, change: StateChange) -> None:
        match change:
            case ReportedList():
                self._use_list_change(change)
            case ServerSends():
                self._use_sends(change)
            case ManualDrain():
                self._use_drain(change, is_replacing=True)

    def _use_drain(self, drain: ManualDrain, *, is_replacing: bool) -> None:
        """Begins or ends this process's manual drain as the other process of an upgrade did.

        Args:
            drain: the drain of the other process.
            is_replacing: whether the other process is the predecessor.
        """
        with contextlib.suppress(OperationRejectedError):  # raised if this process is stopping: it goes on saying no
            if drain.started_ms is None:
                self._owners.shutdown.end_manual_drain()
            else:
                started_ms = self._owners.clock.from_machine_ms(drain.started_ms)
                self._owners.shutdown.continue_manual_drain(started_ms, is_replacing=is_replacing)

    def _use_sends(self, spent: ServerSends) -> None:
        clock = self._owners.clock
        sends = tuple(
            interface.SentLoad(us_from_ms(clock.from_machine_ms(sent.at_ms)), sent.load) for sent in spent.sends
        )
        self._owners.routing.post_required(interface.SlowStartSends(spent.name, sends))

    def _use_list_change(self, change: ReportedList) -> None:
        """Uses a change of the predecessor's list, unless this process has been told as much."""
        endpoints = self._owners.endpoints
        has_answered = endpoints.has_answered.is_set()
        if is_change_news(change, endpoints.newest_version, str(endpoints.address), has_answered):
            logger.info("change of the predecessor's endpoint list used", servers=len(change.servers))
            self._use_list(change)

    def _use_list(self, reported: ReportedList) -> None:
        self._take_over_starts(reported)
        endpoints = self._owners.endpoints
        is_same_discovery = reported.discovery == str(endpoints.address)
        rows = [server.row for server in reported.servers]
        endpoints.use_predecessor_list(reported.version if is_same_discovery else None, reported.kind, rows)

    def _take_over_starts(self, reported: ReportedList) -> None:
        clock = self._owners.clock
        starts = {
            server.row.name: KnownStart(server.row.since_ms, clock.from_machine_ms(server.started_ms))
            for server in reported.servers
            if server.started_ms is not None
        }
        answered_ms = None if reported.answered_ms is None else clock.from_machine_ms(reported.answered_ms)
        self._owners.start_times.take_over(starts, answered_ms)

    # -- the successors --------------------------------------------------------------------------------

    def listen(self) -> None:
        """Starts to tell successors what this process has been told."""
        self._sender.listen()

    def publish_change(self, kind: EndpointListKind, rows: list[EndpointRow]) -> None:
        """Tells the successors a list or a change that discovery has reported."""
        if self._sender.has_successors and kind in (EndpointListKind.FULL, EndpointListKind.CHANGES):
            self._sender.publish(self._build_list(kind, rows))

    def publish_slow_start_sends(self) -> None:
        """Tells the successors what this process has spent of slow-start budgets, as it stops to spend."""
        clock = self._owners.clock
        for event in self._owners.routing.balancer.slow_start_sends():
            sends = tuple(ServerSend(clock.to_machine_ms(ms_from_us(sent.at_us)), sent.load) for sent in event.sends)
            self._sender.publish(ServerSends(event.server_id, sends))

    def _publish_drain(self) -> None:
        self._sender.publish(self._manual_drain())
        self._drain_changed.set()

    def _manual_drain(self) -> ManualDrain:
        started_ms = self._owners.drain.manual_started_ms
        return ManualDrain(None if started_ms is None else self._owners.clock.to_machine_ms(started_ms))

    def _read_state(self) -> StateSnapshot:
        servers = self._owners.servers
        kind = EndpointListKind.FULL if servers.has_list else EndpointListKind.CACHED
        return StateSnapshot(self._manual_drain(), self._build_list(kind, servers.rows.values()))

    def _build_list(self, kind: EndpointListKind, rows: Iterable[EndpointRow]) -> ReportedList:
        """Returns rows of the endpoint list of this process, with times of the machine's clock."""
        owners = self._owners
        last_response_ms = owners.start_times.last_response_ms
        return ReportedList(
            kind=kind,
            version=owners.endpoints.newest_version if owners.endpoints.newest_version > NO_VERSION else None,
            discovery=str(owners.endpoints.address),
            answered_ms=None if last_response_ms is None else owners.clock.to_machine_ms(last_response_ms),
            servers=tuple(self._told_server(row) for row in rows),
        )

    def _told_server(self, row: EndpointRow) -> ToldServer:
        start = self._owners.start_times.known_start(row.name)
        return ToldServer(row, None if start is None else self._owners.clock.to_machine_ms(start.started_ms))
