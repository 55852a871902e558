"""The drain permit of a balancer: its loss in a drain and in a shutdown."""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path

import pytest

from glenrock.coordination.drain_limiter import DrainLimiter
from glenrock.coordination.leases.candidate import LeaseAcquired, LeaseLost, LossReason
from glenrock.coordination.leases.lease_manager import JobEvent
from glenrock.coordination.leases.sqlite_store import boottime_us
from glenrock.net.drain_state import DrainState
from glenrock.net.graceful_shutdown import GracefulShutdown
from glenrock.routing import interface

from .rig import TIMING, DeferredTasks, FakeHost, build_context

JOB = "turnstile/0"
TERM = 1


class FakeShutdown(GracefulShutdown):
    """A shutdown that ends a manual drain in its state alone."""

    def __init__(self, state: DrainState) -> None:
        self._state = state

    def end_manual_drain(self) -> None:
        """Ends the drain."""
        self._state.end_manual()


class DrainingRig:
    """A limiter whose balancer drains with a permit.

    Attributes:
        modes: the drain modes that routing was told.
        drain: the drain state of the balancer.
        limiter: the limiter.
    """

    def __init__(self, folder: Path) -> None:
        host = FakeHost()
        self.modes: list[interface.DrainMode] = []
        self.drain = host.drain = DrainState(host.clock, self.modes.append)
        host.shutdown = FakeShutdown(self.drain)
        self.tasks = DeferredTasks()
        self._context = build_context(host, folder, tasks=self.tasks)
        self.limiter = DrainLimiter(self._context, 1)
        self.limiter.permit_job = JOB
        self._context.leases.manager.request_lease(JOB, boottime_us())
        self.drain.begin_manual(host.clock.now_ms())

    def publish(self, event: LeaseAcquired | LeaseLost) -> None:
        """Delivers an event of the permit's lease."""
        self._context.leases.publish([JobEvent(JOB, event)])

    def close(self) -> None:
        """Closes the coroutines that were not run."""
        for coroutine in self.tasks.coroutines:
            coroutine.close()

    def is_requested(self) -> bool:
        """Returns whether the permit's lease is requested at the next tick."""
        return bool(self._context.leases.manager.tick(boottime_us() + TIMING.lease_us).requests)


@pytest.fixture
def rig(tmp_path: Path) -> Iterator[DrainingRig]:
    """Returns a rig whose balancer drains."""
    rig = DrainingRig(tmp_path)
    yield rig
    rig.close()


@pytest.mark.parametrize("reason", [LossReason.EXPIRED, LossReason.REVOKED, LossReason.SUPERSEDED])
def test_drain_goes_on_when_its_permit_is_lost(rig: DrainingRig, reason: LossReason) -> None:
    """Guards against a drained balancer that takes clients again because the lease of its permit has ended."""
    rig.publish(LeaseLost(TERM, reason))
    assert rig.drain.is_manually_draining
    assert rig.modes == [interface.DrainMode(True)]
    assert rig.limiter.permit_job is None
    assert rig.is_requested()


def test_lost_permit_is_held_again_until_the_drain_ends(rig: DrainingRig) -> None:
    rig.publish(LeaseLost(TERM, LossReason.EXPIRED))
    rig.publish(LeaseAcquired(TERM + 1, boottime_us() + TIMING.lease_us))
    assert (rig.limiter.permit_job, rig.limiter.lost_job) == (JOB, None)
    rig.drain.end_manual()
    rig.limiter.release_permit()
    assert rig.limiter.permit_job is None
    assert not rig.is_requested()


def test_lost_permit_is_no_longer_requested_once_the_drain_has_ended(rig: DrainingRig) -> None:
    rig.publish(LeaseLost(TERM, LossReason.EXPIRED))
    rig.drain.end_manual()
    rig.limiter.release_permit()
    assert not rig.is_requested()
    rig.publish(LeaseAcquired(TERM + 1, boottime_us() + TIMING.lease_us))  # the answer to an earlier request
    assert rig.limiter.permit_job is None


def test_permit_lost_while_stopping_is_no_longer_requested_and_leaves_the_drain(rig: DrainingRig) -> None:
    rig.drain.begin_stopping()
    rig.publish(LeaseLost(TERM, LossReason.EXPIRED))
    assert rig.limiter.permit_job is None
    assert rig.drain.is_manually_draining
    assert not rig.is_requested()


def test_drain_that_was_taken_over_in_an_upgrade_requests_a_permit(tmp_path: Path) -> None:
    host = FakeHost()
    host.drain = DrainState(host.clock, lambda _: None)
    host.drain.begin_manual(host.clock.now_ms())
    tasks = DeferredTasks()
    context = build_context(host, tmp_path, tasks=tasks)
    limiter = DrainLimiter(context, 1)
    limiter.start()
    assert context.leases.manager.tick(boottime_us() + TIMING.lease_us).requests
    context.leases.publish([JobEvent(JOB, LeaseAcquired(TERM, boottime_us() + TIMING.lease_us))])
    assert limiter.permit_job == JOB
    for coroutine in tasks.coroutines:
        coroutine.close()
