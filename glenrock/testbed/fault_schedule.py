"""What a soak plays: fleet, settings, traffic and overlapping faults, all drawn from one seed. Pure."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, replace
from enum import Enum

from ..routing.interface import Idempotency
from .call_faults import Call
from .testbed import FleetShape

MAX_FAULTS, MIN_FAULTS = 14, 6
FIRST_FAULT_S = 1.0  # from the beginning of the traffic
LASTING_PROBABILITY, LASTING_S = 0.15, 60.0  # for a fault that lasts through the shutdown
LAST_FAULT_S = 2.0  # before the end of the traffic, after which no fault begins
REQUESTS_PER_BALANCER_S = 8.0
MAX_RESUMED = 5  # connections at each balancer that were open before the run
SERVER_FRACTIONS = (0.05, 0.2, 0.5)  # of the servers, for a fault that affects some of them


class FaultKind(Enum):
    """Kinds of faults. The values are shown to people; each text names `target` and `value` if they have a meaning."""

    TERMINATE = "terminate"
    """Balancer `target`: SIGTERM, SIGKILL as soon as the platform may send it, start."""
    KILL = "kill"
    """Balancer `target`: SIGKILL, start `value` seconds later."""
    PAUSE = "pause"
    """Balancer `target`: SIGSTOP for `value` seconds."""
    RELOAD = "reload"
    """Balancer `target`: `value` new configurations in a row, each with another address of discovery."""
    SERVER_CRASH = "server crash"
    """Fraction `value` of the servers: the process ends, and starts again."""
    SERVER_HANG = "server hang"
    """Fraction `value` of the servers: no answers."""
    SERVER_ERRORS = "server errors"
    """Fraction `value` of the servers: ERR to each request."""
    SERVER_BUSY = "server busy"
    """Fraction `value` of the servers: BUSY to each request."""
    SERVER_RESETS = "server resets"
    """Fraction `value` of the servers: a reset for each request."""
    SERVER_IDLE_CLOSE = "server idle close"
    """Fraction `value` of the servers: idle connections are closed."""
    SERVER_PIECES = "server pieces"
    """Fraction `value` of the servers: lines are sent in two pieces."""
    SERVER_ENDS = "server ends"
    """Fraction `value` of the servers: established connections are ended in order."""
    DRAIN = "drain"
    """Fraction `value` of the servers: listed as draining, later deleted; as many new ones start."""
    DISCOVERY_SILENT = "discovery silent"
    """All agents: calls are not answered."""
    DISCOVERY_REFUSES = "discovery refuses"
    """All agents: 503."""
    DISCOVERY_SLOW = "discovery slow"
    """All agents: an answer takes `value` seconds."""
    DISCOVERY_CUTS = "discovery cuts"
    """All agents: the next `value` answers break off."""
    IDLE_CROWD = "idle crowd"
    """Balancer `target`: `value` connections that send nothing."""
    HALF_REQUESTS = "half requests"
    """Balancer `target`: `value` clients that stop within a request line and stay."""
    FLOOD = "flood"
    """Balancer `target`: `value` requests at once."""
    LEAVING = "leaving"
    """Balancer `target`: `value` clients that leave before their answer."""
    CALLS_FAIL = "calls fail"
    """Balancer `target`: system calls of one kind fail at the rate `value`."""
    STALL = "stall"
    """Balancer `target`: system calls stall at the rate `value`."""
    CLOCK_STEP = "clock step"
    """Balancer `target`, or all: the wall clock is stepped by `value` seconds."""


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
    """One fault.

    Attributes:
        at_s: from the beginning of the traffic.
        lasts_s: until it ends.
        target, value: see the kind.
        call: that fails, for CALLS_FAIL.
    """

    at_s: float
    kind: FaultKind
    target: int
    lasts_s: float
    value: float
    call: Call | None = None

    def text(self) -> str:
        """Returns the fault in one line."""
        call = f" {self.call.name.lower()}" if self.call is not None else ""
        return f"{self.at_s:5.2f} s {self.kind.value}{call} at {self.target}, {self.lasts_s:.2f} s, {self.value:g}"


@dataclass(frozen=True)
class SoakPlan:
    """One run.

    Attributes:
        seconds: of traffic.
        requests_per_s: over all balancers.
        resumed: connections at each balancer that were open before the run.
        faults: by their beginning.
    """

    seed: int
    shape: FleetShape
    seconds: float
    requests_per_s: float
    resumed: int
    faults: tuple[PlannedFault, ...]

    def without(self, fault: PlannedFault) -> SoakPlan:
        """Returns the plan without a fault."""
        return replace(self, faults=tuple(found for found in self.faults if found is not fault))


def draw(seed: int, seconds: float = 10.0) -> SoakPlan:
    """Draws the plan of a seed."""
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
    if shape.idempotency is not Idempotency.SAFE:
        # Without hanging servers, hardly a retry follows an attempt that may have executed.
        at_s = rng.uniform(FIRST_FAULT_S, seconds / 2)
        faults.append(PlannedFault(at_s, FaultKind.SERVER_HANG, 0, seconds / 2, max(SERVER_FRACTIONS)))
    faults.sort(key=lambda fault: fault.at_s)
    requests_per_s = REQUESTS_PER_BALANCER_S * balancers
    return SoakPlan(seed, shape, seconds, requests_per_s, rng.randint(0, MAX_RESUMED), tuple(faults))


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
"""What `value` is drawn from; for all other kinds a fraction of the servers, unused by kinds without a value."""


def _draw_fault(rng: random.Random, balancers: int, seconds: float) -> PlannedFault:
    kind = rng.choice(tuple(FaultKind))
    at_s = rng.uniform(FIRST_FAULT_S, seconds - LAST_FAULT_S)
    target = rng.randrange(balancers)
    lasts_s = LASTING_S if rng.random() < LASTING_PROBABILITY else rng.uniform(0.3, 5.0)
    value = _VALUES[kind](rng) if kind in _VALUES else rng.choice(SERVER_FRACTIONS)
    call = rng.choice(CALL_KINDS) if kind is FaultKind.CALLS_FAIL else None
    if kind is FaultKind.CLOCK_STEP:
        target = rng.choice((target, ALL_BALANCERS))
    return PlannedFault(at_s, kind, target, lasts_s, value, call)
