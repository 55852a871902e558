"""The interface of a balancer to its coordination. The module does not import the program that implements it."""

from __future__ import annotations

from typing import Protocol

from ..admin.operations import Operations
from ..config import Config
from ..net.acceptor import Acceptor
from ..net.clock import Clock
from ..net.connection_table import ConnectionTable
from ..net.drain_state import DrainState
from ..net.endpoint_watcher import EndpointWatcher
from ..net.graceful_shutdown import GracefulShutdown
from ..net.peers import Peers
from ..net.routing_actor import RoutingActor
from ..net.server_connections import ServerRegistry
from ..upgrade.override_sync import OverrideSync


class OperatorParts(Protocol):
    """The parts of a balancer that exist only if it listens for operators' calls.

    Attributes:
        override_sync: the overrides that the two processes of an upgrade share.
        operations: carries out operators' calls.
    """

    override_sync: OverrideSync
    operations: Operations


class BalancerHost(Protocol):
    """The parts of a balancer that the coordination uses.

    `config` may be replaced until the first endpoint list is read.
    """

    config: Config
    clock: Clock
    routing: RoutingActor
    servers: ServerRegistry
    endpoints: EndpointWatcher
    connections: ConnectionTable
    acceptor: Acceptor
    shutdown: GracefulShutdown
    drain: DrainState
    peers: Peers | None

    @property
    def operators(self) -> OperatorParts | None:
        """The parts for operators' calls; None if the balancer does not listen for them."""
        ...
