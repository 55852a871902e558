"""Drain permits."""

from __future__ import annotations

from types import SimpleNamespace

from glenrock.coordination.drain_limiter import DrainLimiter
from glenrock.coordination.leases.candidate import LeaseLost, LossReason
from glenrock.operation_errors import OperationRejectedError


def test_permit_lost_while_stopping_releases_it_without_an_error() -> None:
    calls = []

    def end_manual_drain() -> None:
        calls.append("end_manual_drain")
        raise OperationRejectedError("not done: the process is stopping")

    manager = SimpleNamespace(requested_jobs={"turnstile/0"})
    leases = SimpleNamespace(event_listeners=[], answer_listeners=[], manager=manager)
    host = SimpleNamespace(shutdown=SimpleNamespace(end_manual_drain=end_manual_drain))
    limiter = DrainLimiter(SimpleNamespace(name="a", leases=leases, host=host), 1)
    limiter.permit = "turnstile/0"
    leases.event_listeners[0]("turnstile/0", LeaseLost(1, LossReason.EXPIRED))
    assert (limiter.permit, manager.requested_jobs, calls) == ("", set(), ["end_manual_drain"])
