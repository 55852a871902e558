"""The parts of a balancer that the coordination uses. Nothing here imports the program that builds them."""

from __future__ import annotations

from typing import Protocol

from ..admin.operations import Operations
from ..config import Config
from ..net.acceptor import Acceptor
from ..net.clock import Clock
from ..net.connection_table import ConnectionTable
from ..net.endpoint_watcher import EndpointWatcher
from ..net.graceful_shutdown import GracefulShutdown
from ..net.peers import Peers
from ..net.routing_actor import RoutingActor
from ..net.server_connections import ServerRegistry
from ..upgrade.override_sync import OverrideSync


class OperatorParts(Protocol):
    """The operators' calls, and the overrides that both processes of an upgrade share."""

    override_sync: OverrideSync
    operations: Operations


class BalancerHost(Protocol):
    """The parts of a balancer. `config` may be replaced until the first endpoint list is read."""

    config: Config
    clock: Clock
    routing: RoutingActor
    servers: ServerRegistry
    endpoints: EndpointWatcher
    connections: ConnectionTable
    acceptor: Acceptor
    shutdown: GracefulShutdown
    peers: Peers | None

    @property
    def operators(self) -> OperatorParts | None:
        """The operators' calls; None if the balancer does not listen for them."""
        ...
