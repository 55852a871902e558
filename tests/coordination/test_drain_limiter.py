"""The drain permit of a balancer that is stopping."""

from __future__ import annotations

from pathlib import Path

from glenrock.coordination.drain_limiter import DrainLimiter
from glenrock.coordination.leases.candidate import LeaseLost, LossReason
from glenrock.coordination.leases.lease_manager import JobEvent
from glenrock.coordination.leases.sqlite_store import boottime_us
from glenrock.net.graceful_shutdown import GracefulShutdown
from glenrock.operation_errors import OperationRejectedError

from .rig import TIMING, FakeHost, build_context

JOB = "turnstile/0"


class StoppingShutdown(GracefulShutdown):
    """The shutdown of a process that is stopping.

    Attributes:
        call_count: number of calls of `end_manual_drain`.
    """

    def __init__(self) -> None:
        self.call_count = 0

    def end_manual_drain(self) -> None:
        """Rejects the call."""
        self.call_count += 1
        raise OperationRejectedError("not done: the process is stopping")


def test_permit_lost_while_stopping_is_no_longer_requested_and_raises_no_error(tmp_path: Path) -> None:
    shutdown = StoppingShutdown()
    host = FakeHost()
    host.shutdown = shutdown
    context = build_context(host, tmp_path)
    limiter = DrainLimiter(context, 1)
    limiter.permit_job = JOB
    manager = context.leases.manager
    manager.request_lease(JOB, boottime_us())
    context.leases.publish([JobEvent(JOB, LeaseLost(1, LossReason.EXPIRED))])
    assert limiter.permit_job is None
    assert shutdown.call_count == 1
    assert not manager.tick(boottime_us() + TIMING.lease_us).requests
