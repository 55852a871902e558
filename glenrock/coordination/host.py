"""What the coordination needs of the program that builds it. Nothing here imports the program."""

from __future__ import annotations

from typing import Protocol

from ..admin.operations import Operations
from ..config import Config
from ..net.clock import Clock
from ..net.command_server import CommandServer
from ..net.decider import Decider
from ..net.entrance import Entrance
from ..net.instance import Instances
from ..net.leaving import Leaving
from ..net.name_table import NameTable
from ..net.peers import Peers
from ..upgrade.agreement import Agreement


class OperatorParts(Protocol):
    """Where operators call: servers out of rotation, shared by both processes of an upgrade, and all other calls."""

    agreement: Agreement
    operations: Operations


class BalancerHost(Protocol):
    """The parts of a balancer. `config` may be replaced before the first endpoint list is read."""

    config: Config
    clock: Clock
    decider: Decider
    instances: Instances
    table: NameTable
    server: CommandServer
    entrance: Entrance
    leaving: Leaving
    peers: Peers | None

    @property
    def operators(self) -> OperatorParts | None:
        """None where nothing listens for operators."""
        ...
