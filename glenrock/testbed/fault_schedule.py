"""What a soak plays: fleet, settings, traffic and overlapping faults, all drawn from one seed. Pure."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, replace
from enum import Enum

from .call_faults import Call
from .records import Idempotency
from .testbed import FleetShape

MAX_FAULTS, MIN_FAULTS = 14, 6
SETTLE_S = 1.0  # before the first fault
TO_THE_END, TO_THE_END_S = 0.15, 60.0  # so many faults last through the shutdown
QUIET_END_S = 2.0  # before the final shutdown no fault begins


class FaultKind(Enum):
    """Kinds of faults; the comment tells what `target` and `value` mean."""

    TERMINATE = "terminate"  # balancer: SIGTERM, SIGKILL at the earliest, start
    KILL = "kill"  # balancer: SIGKILL, start `value` seconds later
    PAUSE = "pause"  # balancer: SIGSTOP for `value` seconds, 0.15 at most
    RELOAD = "reload"  # balancer: `value` new configurations in a row, discovery elsewhere each time
    SERVER_CRASH = "server crash"  # share `value` of the servers: dies, comes back cold
    SERVER_HANG = "server hang"
    SERVER_ERRORS = "server errors"
    SERVER_BUSY = "server busy"
    SERVER_RESETS = "server resets"
    SERVER_IDLE_CLOSE = "server idle close"
    SERVER_PIECES = "server pieces"  # its lines come in two pieces
    SERVER_ENDS = "server ends"  # it says BYE to those that stand there, and ends their connections
    DRAIN = "drain"  # share `value` of the servers: draining, later deleted and stopped; as many new ones
    DISCOVERY_SILENT = "discovery silent"  # at all balancers
    DISCOVERY_REFUSES = "discovery refuses"
    DISCOVERY_SLOW = "discovery slow"  # an answer takes `value` seconds
    DISCOVERY_CUTS = "discovery cuts"  # the next `value` answers break off
    IDLE_CROWD = "idle crowd"  # balancer: `value` connections that say nothing
    HALF_REQUESTS = "half requests"  # balancer: `value` clients that stop within a request and stay
    FLOOD = "flood"  # balancer: `value` requests at once
    LEAVING = "leaving"  # balancer: `value` clients that leave before their answer
    CALLS_FAIL = "calls fail"  # balancer: calls of one kind fail at the rate `value`
    STALL = "stall"  # balancer: stalls of 0.15 s at the rate `value`
    CLOCK_STEP = "clock step"  # balancer, or all with -1: by `value` seconds


CALL_KINDS = (
    Call.ACCEPT,
    Call.SOCKET,
    Call.CONNECT,
    Call.RECEIVE,
    Call.SEND,
    Call.DATAGRAM,
    Call.WAIT,
    Call.SHORT_READ,
    Call.SHORT_WRITE,
)
ALL_BALANCERS = -1


@dataclass(frozen=True)
class PlannedFault:
    """One fault. `at_s` from the beginning of the traffic; `lasts_s` until it is lifted."""

    at_s: float
    kind: FaultKind
    target: int
    lasts_s: float
    value: float
    call: Call | None = None

    def text(self) -> str:
        """For people."""
        call = f" {self.call.name.lower()}" if self.call is not None else ""
        return f"{self.at_s:5.2f} s {self.kind.value}{call} at {self.target}, {self.lasts_s:.2f} s, {self.value:g}"


@dataclass(frozen=True)
class SoakPlan:
    """One run."""

    seed: int
    shape: FleetShape
    seconds: float
    requests_per_s: float
    standing: int  # at each balancer
    faults: tuple[PlannedFault, ...]

    def without(self, fault: PlannedFault) -> SoakPlan:
        """The same without that fault."""
        return replace(self, faults=tuple(one for one in self.faults if one is not fault))


def draw(seed: int, seconds: float = 10.0) -> SoakPlan:
    """The plan of a seed."""
    rng = random.Random(seed)  # noqa: S311 - draws need be repeatable, not secret
    balancers = rng.choice((1, 2, 3, 3, 4, 5, 6, 8, 12))
    deadline_ms = rng.choice((300.0, 600.0, 1200.0, 1800.0, 3000.0))
    shape = FleetShape(
        balancers=balancers,
        servers=rng.choice((10, 20, 60, 200, 800, 3200)),
        descriptors=rng.choice((256, 512, 1024)),
        deadline_ms=deadline_ms,
        idempotency=rng.choice((Idempotency.SAFE, Idempotency.SAFE, Idempotency.KEYED, Idempotency.UNSAFE)),
        window_ms=deadline_ms * rng.choice((0.25, 0.5, 1.0)),
        drain_grace_ms=rng.choice((2500.0, 4000.0, 6000.0)),
        max_attempts=rng.choice((1, 2, 4, 5)),
        health_checks=rng.random() < 0.8,
        must_poll=rng.random() < 0.3,
        groups=rng.choice((0, 0, 5, 40)),
    )
    faults = [_draw_fault(rng, balancers, seconds) for _ in range(rng.randint(MIN_FAULTS, MAX_FAULTS))]
    if shape.idempotency is not Idempotency.SAFE:  # only an attempt that may have run tells whether a repeat is right
        at_s = rng.uniform(SETTLE_S, seconds / 2)
        faults.append(PlannedFault(at_s, FaultKind.SERVER_HANG, 0, seconds / 2, max(_SHARES)))
    faults.sort(key=lambda fault: fault.at_s)
    return SoakPlan(seed, shape, seconds, 8.0 * balancers, rng.randint(0, 5), tuple(faults))


_SHARES = (0.05, 0.2, 0.5)
_VALUES: dict[FaultKind, Callable[[random.Random], float]] = {
    FaultKind.KILL: lambda rng: rng.uniform(0.1, 1.5),
    FaultKind.PAUSE: lambda rng: rng.uniform(0.02, 0.15),
    FaultKind.RELOAD: lambda rng: rng.randint(1, 3),
    FaultKind.DISCOVERY_SLOW: lambda rng: rng.uniform(0.05, 0.3),
    FaultKind.DISCOVERY_CUTS: lambda rng: rng.randint(1, 4),
    FaultKind.IDLE_CROWD: lambda rng: rng.randint(20, 150),
    FaultKind.HALF_REQUESTS: lambda rng: rng.randint(3, 20),
    FaultKind.LEAVING: lambda rng: rng.randint(3, 20),
    FaultKind.FLOOD: lambda rng: rng.randint(20, 80),
    FaultKind.CALLS_FAIL: lambda rng: rng.choice((0.02, 0.1, 0.3)),
    FaultKind.STALL: lambda rng: rng.choice((0.002, 0.01)),
    FaultKind.CLOCK_STEP: lambda rng: rng.choice((-3600, -5, 5, 3600)),
}
"""What `value` is drawn from; for all other kinds it is a share of the servers."""


def _draw_fault(rng: random.Random, balancers: int, seconds: float) -> PlannedFault:
    kind = rng.choice(tuple(FaultKind))
    at_s = rng.uniform(SETTLE_S, seconds - QUIET_END_S)
    target = rng.randrange(balancers)
    lasts_s = TO_THE_END_S if rng.random() < TO_THE_END else rng.uniform(0.3, 5.0)
    value = _VALUES[kind](rng) if kind in _VALUES else rng.choice(_SHARES)
    call = rng.choice(CALL_KINDS) if kind is FaultKind.CALLS_FAIL else None
    if kind is FaultKind.CLOCK_STEP:
        target = rng.choice((target, ALL_BALANCERS))
    return PlannedFault(at_s, kind, target, lasts_s, value, call)
