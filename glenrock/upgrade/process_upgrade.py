"""One process's part in upgrades: what it shares with its predecessor and its successor."""

from __future__ import annotations

import os

from ..log import get_logger
from ..net.clock import Clock
from ..net.connection_table import ConnectionTable
from ..net.routing_actor import RoutingActor
from .inherited_listener import open_inherited
from .process_registry import ProcessRegistry
from .relay_receiver import RelayReceiver
from .relay_sender import RelaySender
from .state_exchange import StateExchange

logger = get_logger(__name__)


class ProcessUpgrade:
    """Shares the listening socket with this process's predecessor and successor, and hands over relays and state.

    Attributes:
        listener: the inherited listening socket.
        state: exchanges state with the other process; None without a shared folder.

    Args:
        folder: the folder that both processes of an upgrade share; empty if there is none.
        descriptor: the descriptor of the inherited listening socket.
        connections: the client connections of this process.
        routing: the routing actor of this process.
        clock: the process's clock.
        state: exchanges state with the other process.

    Raises:
        ConfigError: the descriptor is not a listening TCP socket.
    """

    def __init__(
        self,
        folder: str,
        descriptor: int,
        connections: ConnectionTable,
        routing: RoutingActor,
        clock: Clock,
        state: StateExchange,
    ) -> None:
        self.listener = open_inherited(descriptor)
        self.state = state if folder else None
        self._folder = folder
        self._connections = connections
        self._routing = routing
        self._clock = clock
        self._relay_receiver = RelayReceiver(folder, connections)
        self._processes = ProcessRegistry(folder, os.getpid())

    def register_process(self) -> None:
        """Registers this process, and reserves the descriptors that the other processes have open."""
        if not self._folder:
            return
        try:
            self._processes.register()
        except OSError as error:
            logger.warning("process not registered: the descriptor limit may be exceeded", error=error)
        connections = self._connections
        connections.count_other_descriptors = self._processes.count_other_descriptors
        connections.budget.other_process_descriptors = self._processes.count_other_descriptors()

    def unregister_process(self) -> None:
        """Removes this process's registration, so that other processes no longer count its descriptors."""
        if self._folder:
            self._processes.unregister()

    @property
    def has_predecessor(self) -> bool:
        """Whether another process of this balancer ran when this one registered."""
        return self._connections.budget.other_process_descriptors > 0

    async def receive_state(self) -> None:
        """Receives what the predecessor was told, if there is one."""
        if self.state and self.has_predecessor:
            await self.state.receive()

    def listen(self) -> None:
        """Starts to accept the relays that the predecessor hands over, and to tell successors this process's state."""
        if self.state:
            self._relay_receiver.listen()
            self.state.listen()

    def create_relay_sender(self) -> RelaySender | None:
        """Returns the part that hands this process's relays to its successor; None without a shared folder."""
        if not self._folder:
            return None
        return RelaySender(self._folder, self._clock, self._relay_receiver.socket_inode, self._routing.load_of)
