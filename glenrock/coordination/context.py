"""The objects that all parts of the coordination share. The agent builds them."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

from ..log import get_logger
from .background_tasks import BackgroundTasks
from .durable_state import DurableState
from .host import BalancerHost
from .lease_runner import LeaseRunner
from .leases.fence import Fence
from .membership import PeerLiveness
from .shared_work.override_log import OverrideLog
from .transport import DatagramTransport

logger = get_logger(__name__)

SLOW_WRITE_MS = 200.0  # a write that takes longer is logged


@dataclass(eq=False)
class CoordinationContext:
    """The shared objects of one balancer.

    Attributes:
        host: the balancer.
        name: of this balancer.
        holder: name of this incarnation, under which it holds leases.
        membership: the peers that are alive.
        overrides: the overrides known here.
        fence: rejects effects of past terms.
        state: the file of what must outlive a restart.
        transport: sends and receives datagrams.
        leases: the leases of this process.
        tasks: runs the coordination's tasks.
        merged_changes: by server, whether it is suspended now; changes that are not carried out yet.
        is_write_failing: whether the last write of the state failed.
    """

    host: BalancerHost
    name: str
    holder: str
    membership: PeerLiveness
    overrides: OverrideLog
    fence: Fence
    state: DurableState
    transport: DatagramTransport
    leases: LeaseRunner
    tasks: BackgroundTasks
    merged_changes: dict[str, bool] = field(default_factory=dict)
    is_write_failing: bool = False
    _write_lock: asyncio.Lock = field(default_factory=asyncio.Lock)

    async def write_state(self) -> bool:
        """Writes the state to its file, in a thread.

        Returns:
            False if the file cannot be written; then what has changed must not be acted on.
        """
        clock = self.host.clock
        async with self._write_lock:
            snapshot = self.state.snapshot(self.fence, self.overrides)
            started_ms = clock.now_ms()
            try:
                is_merged = await asyncio.to_thread(self.state.write, snapshot)
            except OSError as error:
                self._record_write_failure(error)
                return False
        if self.is_write_failing:
            self.is_write_failing = False
            logger.info("coordination state writable again", path=self.state.path)
        if is_merged:
            self.merged_changes.update(self.state.merge(snapshot, self.fence, self.overrides))
        duration_ms = clock.now_ms() - started_ms
        if duration_ms > SLOW_WRITE_MS:
            logger.warning("slow write of the coordination state", path=self.state.path, duration_ms=duration_ms)
        return True

    def _record_write_failure(self, error: OSError) -> None:
        if not self.is_write_failing:  # logged at the first failure, since the write is retried each half second
            logger.error("coordination state not writable", path=self.state.path, error=error)
        self.is_write_failing = True
        self.host.connections.metrics.add_system_error(error)
