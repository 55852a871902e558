"""The objects that all parts of the coordination share. `CoordinationAgent` builds them."""

from __future__ import annotations

from dataclasses import dataclass

from .background_tasks import BackgroundTasks
from .host import BalancerHost
from .lease_runner import LeaseRunner
from .leases.fence import Fence
from .membership import PeerLiveness
from .shared_work.override_log import OverrideLog
from .state_writer import StateWriter
from .transport import DatagramTransport


@dataclass(frozen=True, eq=False)
class CoordinationContext:
    """The shared objects of one balancer.

    Attributes:
        host: the parts of the balancer that the coordination uses.
        name: name of this balancer, the same across restarts.
        holder: name of this incarnation, under which it holds leases.
        membership: which balancers are alive.
        overrides: the overrides known at this balancer.
        fence: rejects effects of past terms.
        state: writes the state that must survive a restart.
        transport: sends and receives datagrams.
        leases: runs the leases of this process.
        tasks: runs the coordination's background tasks.
    """

    host: BalancerHost
    name: str
    holder: str
    membership: PeerLiveness
    overrides: OverrideLog
    fence: Fence
    state: StateWriter
    transport: DatagramTransport
    leases: LeaseRunner
    tasks: BackgroundTasks
