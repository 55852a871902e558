"""The public interface of the routing decisions: settings, events in, actions out.

All times are whole microseconds on the caller's clock. Load is work a second, in microseconds on a standard
core, as the request's load hint gives it. Nothing here decides anything.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Literal, get_args

Idempotency = Literal["safe", "keyed", "unsafe"]
"""Whether a request may run twice: always, where the server knows its key, or never."""

IdempotencyScope = Literal["all", "zone", "cell"]
"""Which servers drop the repeat of a keyed request, seen from the first one."""

EndpointState = Literal["ready", "draining", "gone"]
ListKind = Literal["changes", "full", "remembered", "failed"]
AttemptOutcome = Literal[
    "served", "error", "full", "timeout", "no_connection", "broken", "cancelled", "unsent"
]

ATTEMPT_OUTCOMES: tuple[AttemptOutcome, ...] = get_args(AttemptOutcome)
OUTCOMES_WITHOUT_EFFECT: frozenset[str] = frozenset(("full", "no_connection", "unsent"))
"""Outcomes that prove that the request did not run."""

LOAD_RATIO = "load_ratio"
UTILIZATION = "utilization"
"""Load report fields that the decisions read; others may be present and are ignored."""

LARGEST_SETTING = 1e12


class SettingsError(ValueError):
    """A setting that cannot be; the message names the field."""


def _require(condition: bool, name: str, requirement: str) -> None:
    if not condition:
        raise SettingsError(f"{name}: {requirement}")


def _require_one_of(value: str, allowed: tuple[str, ...], name: str) -> None:
    _require(value in allowed, name, f"must be one of {', '.join(allowed)}")


def _require_amount(value: float, name: str) -> None:
    _require(0 <= value < LARGEST_SETTING, name, "must be a number, 0 or more")


@dataclass(frozen=True, slots=True)
class RequestClass:
    """What all requests of a class have in common.

    Attributes:
        latency_objective_us: a connection is wanted to be set up within this time.
        deadline_us: a request of the class waits for its final answer at most this long.
        message_objective_us: wanted time of a message on an open connection; 0 where none is known.
        priority_weight: worth of the class beside the others.
        idempotency_window_us: for how long servers in the scope drop the repeat of a keyed request.
    """

    name: str
    latency_objective_us: int
    deadline_us: int
    message_objective_us: int = 0
    priority_weight: float = 1.0
    idempotency: Idempotency = "safe"
    idempotency_scope: IdempotencyScope = "all"
    idempotency_window_us: int = 0

    def validate(self) -> None:
        """Raises SettingsError, which names the field."""
        _require(bool(self.name), "classes.name", "must not be empty")
        _require_one_of(self.idempotency, get_args(Idempotency), "classes.idempotency")
        _require_one_of(self.idempotency_scope, get_args(IdempotencyScope), "classes.idempotency_scope")
        _require(
            0 < self.latency_objective_us <= self.deadline_us,
            "classes.latency_objective_us",
            "must be above 0 and within the deadline",
        )
        _require(self.idempotency_window_us >= 0, "classes.idempotency_window_us", "must not be negative")
        _require(self.message_objective_us >= 0, "classes.message_objective_us", "must not be negative")
        _require_amount(self.priority_weight, "classes.priority_weight")


@dataclass(frozen=True, slots=True)
class Tenant:
    """Who shares the servers. `connections` is its share over all balancers; 0 where no limit is told."""

    name: str
    connections: float = 0.0


@dataclass(frozen=True, slots=True)
class Settings:
    """What a balancer is told when it starts. Impossible values raise SettingsError, which names the field.

    Attributes:
        index: this balancer's number among `balancers`.
        tick_us: how often the caller looks for what is due.
        may_hedge: a second attempt may be out beside the first. Never used here.
        must_poll_endpoints: the endpoint list comes only when asked for, within `poll_within_us`.
        slow_start_initial_share: part of its capacity that a server has when it starts; all of it after
            `slow_start_us`.
        slow_start_multiple: a server that is warming up fails when it gets more than this multiple of its
            capacity within `slow_start_window_us`.
        weight_by_work: priority weights count by work, not by request.
        load_report_fields: names of the figures that health checks return.
        reports_message_delay: word comes of connections whose messages are slow.
        cross_zone_cost: and the other costs are parts of the result that one such act takes away.
    """

    classes: tuple[RequestClass, ...]
    tenants: tuple[Tenant, ...] = ()
    zone: str = ""
    index: int = 0
    balancers: int = 1
    tick_us: int = 1000
    max_attempts: int = 3
    may_hedge: bool = False
    may_cancel: bool = False
    may_health_check: bool = False
    may_gossip: bool = False
    sends_retry_after: bool = True
    max_retry_after_us: int = 1_000_000
    connect_timeout_us: int = 250_000
    must_poll_endpoints: bool = False
    poll_within_us: int = 10_000_000
    answer_grace_us: int = 0
    drain_grace_us: int = 1_000_000
    slow_start_initial_share: float = 0.1
    slow_start_us: int = 30_000_000
    slow_start_multiple: float = 2.0
    slow_start_window_us: int = 1_000_000
    weight_by_work: bool = False
    over_quota_weight: float = 1.0
    load_report_fields: tuple[str, ...] = ()
    reports_message_delay: bool = False
    cross_zone_cost: float = 0.0
    health_check_cost: float = 0.0
    gossip_cost: float = 0.0
    migration_cost: float = 0.0

    def __post_init__(self) -> None:
        """Checks each field."""
        self._validate_members()
        for name in ("tick_us", "connect_timeout_us", "poll_within_us", "slow_start_window_us"):
            _require(getattr(self, name) > 0, name, "must be above 0")
        for name in ("max_retry_after_us", "answer_grace_us", "drain_grace_us", "slow_start_us"):
            _require(getattr(self, name) >= 0, name, "must not be negative")
        for name in ("cross_zone_cost", "health_check_cost", "gossip_cost", "migration_cost"):
            _require_amount(getattr(self, name), name)
        share = self.slow_start_initial_share
        _require(0 < share <= 1, "slow_start_initial_share", "must be above 0 and at most 1")
        _require(0 < self.slow_start_multiple < LARGEST_SETTING, "slow_start_multiple", "must be above 0")
        _require(0 <= self.over_quota_weight <= 1, "over_quota_weight", "must lie between 0 and 1")

    def _validate_members(self) -> None:
        _require(len(self.classes) > 0, "classes", "at least one class is needed")
        for request_class in self.classes:
            request_class.validate()
        names = {request_class.name for request_class in self.classes}
        _require(len(names) == len(self.classes), "classes.name", "must be unique")
        for tenant in self.tenants:
            _require_amount(tenant.connections, "tenants.connections")
        _require(self.balancers >= 1, "balancers", "must be 1 or more")
        _require(self.index >= 0, "index", "must not be negative")
        _require(self.max_attempts >= 1, "max_attempts", "must be 1 or more")


# -- events ------------------------------------------------------------------------------------------


@dataclass(slots=True)
class Endpoint:
    """A server as service discovery lists it. `size` is relative; `started_us` is 0 for long ago."""

    server: str
    state: EndpointState = "ready"
    zone: str = ""
    cell: int = 0
    size: float = 1.0
    started_us: int = 0


@dataclass(slots=True)
class EndpointList:
    """News of the servers: all of them, changes, what a start remembers, or that a call failed."""

    kind: ListKind
    entries: tuple[Endpoint, ...] = ()


@dataclass(slots=True)
class Request:
    """A client asks for a connection.

    Attributes:
        service: name of its class.
        key: the client; None where it names none.
        group: connections of a group are best on the same servers.
        load: hint of its usual load; 0 where none is given.
        returning: it comes back after a break or a migration.
        midflow: packets of a connection that is open already.
    """

    id: str
    service: str
    deadline_us: int
    key: int | None = None
    group: int | None = None
    tenant: str = ""
    load: int = 0
    returning: bool = False
    midflow: bool = False


@dataclass(slots=True)
class OpenConnection:
    """A connection that stood at a server before this balancer started."""

    request: Request
    server: str


@dataclass(slots=True)
class ConnectionEstablished:
    """An attempt is up: the client has its first answer."""

    id: str
    attempt: int
    server: str
    latency_us: int = 0


@dataclass(slots=True)
class ConnectionFeedback:
    """What a server tells of an open connection: its load now, or how long a message takes there now."""

    id: str
    server: str
    load: float | None = None
    message_us: float | None = None


@dataclass(slots=True)
class AttemptEnded:
    """An attempt, or the connection that it became, is over. `done`: the client needs no answer any more."""

    id: str
    attempt: int
    server: str
    outcome: AttemptOutcome
    done: bool
    latency_us: int = 0
    report: dict[str, float] = field(default_factory=dict)


@dataclass(slots=True)
class ClientDisconnected:
    """The client closed or cancelled."""

    id: str


@dataclass(slots=True)
class TimerFired:
    """A timer that `SetTimer` asked for is due."""

    ref: int


@dataclass(slots=True)
class HealthCheckResult:
    """What came of a health check."""

    server: str
    outcome: AttemptOutcome
    latency_us: int = 0
    report: dict[str, float] = field(default_factory=dict)


@dataclass(slots=True)
class OperatorOverride:
    """Operators take a server out of rotation, or let it serve again. It stands whatever a list says.

    `at_us`: it was called back then; 0 for now.
    """

    server: str
    out: bool
    at_us: int = 0


@dataclass(slots=True)
class DrainMode:
    """This balancer's clients are sent away, to the others of the tier; or no longer."""

    on: bool


@dataclass(slots=True)
class GossipReceived:
    """A summary of another balancer."""

    peer: int
    data: bytes


Event = (
    EndpointList
    | Request
    | OpenConnection
    | ConnectionEstablished
    | ConnectionFeedback
    | AttemptEnded
    | ClientDisconnected
    | TimerFired
    | HealthCheckResult
    | GossipReceived
    | OperatorOverride
    | DrainMode
)


# -- actions -----------------------------------------------------------------------------------------


@dataclass(slots=True)
class StartAttempt:
    """Send the request to that server; give it up after `timeout_us`."""

    id: str
    server: str
    timeout_us: int


@dataclass(slots=True)
class CancelAttempt:
    """Nobody waits for that attempt any more."""

    id: str
    attempt: int


@dataclass(slots=True)
class Reject:
    """Final answer: the client may come again after `retry_after_us`; 0 where no time is told."""

    id: str
    retry_after_us: int = 0


@dataclass(slots=True)
class Fail:
    """Final answer: the request could not be served, or its connection broke."""

    id: str


@dataclass(slots=True)
class Migrate:
    """Ask the client of an open connection to connect again."""

    id: str


@dataclass(slots=True)
class SetTimer:
    """Deliver `TimerFired` with this reference at that time."""

    at_us: int
    ref: int


@dataclass(slots=True)
class SendHealthCheck:
    """Ask a server for its load and whether it is there."""

    server: str


@dataclass(slots=True)
class SendGossip:
    """Send this to every peer; at most 256 bytes."""

    data: bytes


@dataclass(slots=True)
class WatchEndpoints:
    """Subscribe to changes of the endpoint list."""


Action = (
    StartAttempt
    | CancelAttempt
    | Reject
    | Fail
    | Migrate
    | SetTimer
    | SendHealthCheck
    | SendGossip
    | WatchEndpoints
)
