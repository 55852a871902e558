"""What the parts of the coordination share: one object, built by the agent and handed to each part."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

from ..log import say
from .background_tasks import BackgroundTasks
from .durable_state import DurableState
from .host import BalancerHost
from .lease_runner import LeaseRunner
from .leases.fence import Fence
from .membership import PeerLiveness
from .shared_work.override_log import OverrideLog
from .transport import DatagramTransport

SLOW_WRITE_MS = 200.0  # a write that takes longer is told


@dataclass(eq=False)
class CoordinationContext:
    """Parts that all work with.

    Attributes:
        name: of this balancer. `holder`: of this incarnation of it.
        unwritable: the state could not be written when that was last tried.
        merged_changes: servers that changed since another process of this name had written them down.
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
    unwritable: bool = False
    _writing: asyncio.Lock = field(default_factory=asyncio.Lock)

    async def write_state(self) -> bool:
        """Writes down what is known, before it is acted on. False where it cannot be written: then nothing may be done.

        Beside the loop: a disk may take seconds, and clients would wait for it.
        """
        clock = self.host.clock
        async with self._writing:
            snapshot = self.state.snapshot(self.fence, self.overrides)
            began_ms = clock.now()
            try:
                merged = await asyncio.to_thread(self.state.write, snapshot)
            except OSError as error:
                if not self.unwritable:  # told once: it is tried again each half second
                    say("fleet", f"{self.state.path} cannot be written, so nothing is taken: {error}")
                self.unwritable = True
                self.host.connections.metrics.add_system_error(error)
                return False
        if self.unwritable:
            self.unwritable = False
            say("fleet", f"{self.state.path} can be written again")
        if merged:
            self.merged_changes.update(self.state.merge(snapshot, self.fence, self.overrides))
        took_ms = clock.now() - began_ms
        if took_ms > SLOW_WRITE_MS:
            say("fleet", f"{self.state.path}: writing took {took_ms:.0f} ms")
        return True
