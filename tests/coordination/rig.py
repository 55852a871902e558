"""Builds the shared objects of the coordination for tests, on a fake balancer."""

from __future__ import annotations

from collections.abc import Coroutine, Sequence
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from glenrock.admin.operations import Operations
from glenrock.config import Config
from glenrock.coordination.background_tasks import BackgroundTasks
from glenrock.coordination.context import CoordinationContext
from glenrock.coordination.durable_state import DurableState
from glenrock.coordination.host import OperatorParts
from glenrock.coordination.lease_runner import LeaseRunner
from glenrock.coordination.leases.candidate import LeaseTiming
from glenrock.coordination.leases.fence import Fence
from glenrock.coordination.leases.lease_manager import LeaseManager
from glenrock.coordination.leases.sqlite_store import AsyncSqliteStore, boottime_us
from glenrock.coordination.leases.store import LeaseStore
from glenrock.coordination.membership import PeerLiveness
from glenrock.coordination.shared_work.override_log import OverrideLog
from glenrock.coordination.state_writer import StateWriter
from glenrock.coordination.transport import DatagramTransport
from glenrock.net.acceptor import Acceptor
from glenrock.net.clock import Clock, ManualClock
from glenrock.net.connection_table import ConnectionTable
from glenrock.net.drain_state import DrainState
from glenrock.net.endpoint_watcher import EndpointWatcher
from glenrock.net.graceful_shutdown import GracefulShutdown
from glenrock.net.metrics import ConnectionMetrics
from glenrock.net.peers import Peers
from glenrock.net.routing_actor import RoutingActor
from glenrock.net.server_connections import ServerRegistry
from glenrock.upgrade.override_sync import OverrideSync

BALANCER_COUNT = 3
STAGGER_US = 200_000  # between the requests of two members for a free lease
TIMING = LeaseTiming()


@dataclass
class FakeHost:
    """A fake balancer that has the parts that a test sets. Reading any other part raises AttributeError."""

    clock: Clock = field(default_factory=ManualClock)
    config: Config = field(init=False)
    routing: RoutingActor = field(init=False)
    servers: ServerRegistry = field(init=False)
    endpoints: EndpointWatcher = field(init=False)
    connections: ConnectionTable = field(init=False)
    acceptor: Acceptor = field(init=False)
    shutdown: GracefulShutdown = field(init=False)
    drain: DrainState = field(init=False)
    peers: Peers | None = None
    operators: OperatorParts | None = None


@dataclass
class FakeOperators:
    """Fake parts for operators' calls, as far as a test sets them."""

    override_sync: OverrideSync
    operations: Operations = field(init=False)


class DeferredTasks(BackgroundTasks):
    """Collects coroutines instead of starting tasks, for the test to run or close.

    Attributes:
        coroutines: the coroutines, in the order of the calls of `run`.
    """

    def __init__(self) -> None:
        super().__init__()
        self.coroutines: list[Coroutine[Any, Any, object]] = []

    def run(self, coroutine: Coroutine[Any, Any, object]) -> None:
        """Adds a coroutine without starting it."""
        self.coroutines.append(coroutine)


def build_context(
    host: FakeHost,
    folder: Path,
    overrides: OverrideLog | None = None,
    store: LeaseStore | None = None,
    tasks: BackgroundTasks | None = None,
    jobs: Sequence[str] = (),
    started_us: int | None = None,
) -> CoordinationContext:
    """Returns the shared objects of the balancer `n1`, which has index 1.

    Args:
        host: the fake balancer.
        folder: folder for the state file, and for the lease store if `store` is None.
        overrides: the override log; None for an empty one.
        store: the lease store; None for an SQLite file.
        tasks: starts the tasks; None for tasks that run in the event loop.
        jobs: the jobs that all members share.
        started_us: when the process started, which is when each peer counts as last heard; None for now.
    """
    holder = "n1/5-6"
    overrides = overrides if overrides is not None else OverrideLog()
    tasks = tasks if tasks is not None else BackgroundTasks()
    store = store if store is not None else AsyncSqliteStore(folder / "store", holder)
    membership = PeerLiveness(1, range(BALANCER_COUNT), started_us if started_us is not None else boottime_us())
    fence = Fence(is_restored=True)
    transport = DatagramTransport(membership, host.peers)
    manager = LeaseManager(membership, TIMING, jobs, STAGGER_US)
    return CoordinationContext(
        host=host,
        name="n1",
        holder=holder,
        membership=membership,
        overrides=overrides,
        fence=fence,
        state=StateWriter(DurableState(folder, "n1"), fence, overrides, host.clock, ConnectionMetrics([])),
        transport=transport,
        leases=LeaseRunner(store, manager, TIMING, fence, transport, tasks),
        tasks=tasks,
    )
