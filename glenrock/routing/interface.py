"""The public interface of the routing decisions: the settings, the events and the actions.

All times are whole microseconds on the caller's clock. A load is work per second, in microseconds of a
standard core's time, as in the load hint of a request. This module contains data types only.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum
from typing import NamedTuple


class Idempotency(StrEnum):
    """Whether a request may execute twice."""

    SAFE = "safe"
    """The request may execute any number of times."""
    KEYED = "keyed"
    """The request carries an idempotency key, by which the servers in its scope drop duplicates."""
    UNSAFE = "unsafe"
    """The request must not execute twice."""

    __hash__ = str.__hash__


class IdempotencyScope(StrEnum):
    """Which servers drop duplicates of a keyed request, relative to the server of its first attempt."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"

    __hash__ = str.__hash__


class EndpointState(StrEnum):
    """The state of a server in service discovery."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"

    __hash__ = str.__hash__


class EndpointListKind(StrEnum):
    """What an `EndpointList` event carries."""

    CHANGES = "changes"
    """The rows that changed; all other servers keep their state."""
    FULL = "full"
    """All servers."""
    CACHED = "remembered"
    """The list of an earlier run, which is used until service discovery answers."""
    FAILED = "failed"
    """No rows: the call to service discovery failed."""

    __hash__ = str.__hash__


class AttemptOutcome(StrEnum):
    """How an attempt, its connection, or a health check ended."""

    SERVED = "served"
    """The connection ended normally, or the server answered the health check."""
    ERROR = "error"
    """The server reported an error."""
    FULL = "full"
    """The server was full and did not accept the attempt."""
    TIMEOUT = "timeout"
    """The server did not answer in time."""
    NO_CONNECTION = "no_connection"
    """The server did not receive the whole request: the connection failed, or only a part was written."""
    BROKEN = "broken"
    """The connection broke."""
    CANCELLED = "cancelled"
    """The client or this balancer cancelled the attempt or closed the connection."""
    UNSENT = "unsent"
    """The attempt was not sent: the server drains or is gone, or this machine lacked resources."""

    __hash__ = str.__hash__


ATTEMPT_OUTCOMES = tuple(AttemptOutcome)
NOT_EXECUTED_OUTCOMES = frozenset((AttemptOutcome.FULL, AttemptOutcome.NO_CONNECTION, AttemptOutcome.UNSENT))
"""The outcomes that prove that the request did not execute."""

# The fields of a load report that affect decisions; all others are ignored.
LOAD_RATIO = "load_ratio"
UTILIZATION = "utilization"

MAX_SETTING = 1e12  # exclusive upper bound of costs, weights, quotas and multiples


class SettingsError(ValueError):
    """A setting has an invalid value; the message names the field."""


def _require(condition: bool, name: str, requirement: str) -> None:
    if not condition:
        raise SettingsError(f"{name}: {requirement}")


def _require_member(value: str, kind: type[StrEnum], name: str) -> None:
    allowed = tuple(kind)
    _require(value in allowed, name, f"must be one of {', '.join(allowed)}")


def _require_non_negative(value: float, name: str) -> None:
    _require(0 <= value < MAX_SETTING, name, f"must be at least 0 and below {MAX_SETTING:g}")


@dataclass(frozen=True, slots=True)
class RequestClass:
    """The properties that all requests of a class share.

    Attributes:
        latency_objective_us: target for the time to establish a connection.
        deadline_us: longest time from the arrival of a request to its final answer.
        message_objective_us: target for the duration of a message on an open connection; 0 if there is none.
        priority_weight: weight of the class relative to the other classes.
        idempotency_window_us: how long the servers in the scope drop duplicates of a keyed request.
    """

    name: str
    latency_objective_us: int
    deadline_us: int
    message_objective_us: int = 0
    priority_weight: float = 1.0
    idempotency: Idempotency = Idempotency.SAFE
    idempotency_scope: IdempotencyScope = IdempotencyScope.ALL
    idempotency_window_us: int = 0

    def validate(self) -> None:
        """Checks each field. Raises SettingsError, which names the first invalid field."""
        _require(bool(self.name), "classes.name", "must not be empty")
        _require_member(self.idempotency, Idempotency, "classes.idempotency")
        _require_member(self.idempotency_scope, IdempotencyScope, "classes.idempotency_scope")
        _require(
            0 < self.latency_objective_us <= self.deadline_us,
            "classes.latency_objective_us",
            "must be above 0 and within the deadline",
        )
        _require(self.idempotency_window_us >= 0, "classes.idempotency_window_us", "must not be negative")
        _require(self.message_objective_us >= 0, "classes.message_objective_us", "must not be negative")
        _require_non_negative(self.priority_weight, "classes.priority_weight")


@dataclass(frozen=True, slots=True)
class Tenant:
    """A tenant of the servers.

    Attributes:
        connections: quota of connections over all balancers; 0 for no limit. Routing does not enforce the
            quota; it only uses it to bound the load that a valid gossip summary can state.
    """

    name: str
    connections: float = 0.0


@dataclass(frozen=True, slots=True)
class Settings:
    """The settings of a balancer, fixed for its lifetime. Invalid values raise SettingsError.

    Attributes:
        index: index of this balancer, from 0.
        balancers: number of balancers.
        tick_us: interval at which the caller fires due timers.
        may_hedge: a second attempt may be in flight beside the first. Routing does not use it.
        may_send_retry_after: a rejection states a delay of at most `max_retry_after_us`.
        connect_timeout_us: longest time to establish a connection to a server.
        must_poll_endpoints: the balancer has to call service discovery to get the endpoint list, first within
            `poll_within_us`.
        answer_grace_us: tolerated delay of an answer after its deadline. Routing does not use it.
        drain_grace_us: time from the notice of a drain until the server closes. Routing does not use it.
        slow_start_initial_fraction: fraction of its capacity that a server has when it starts; it has its
            whole capacity after `slow_start_us`.
        slow_start_multiple: a server that is warming up fails if it receives more than this multiple of its
            capacity within `slow_start_window_us`.
        is_weighted_by_work: priority weights apply to work, not to requests. Routing does not use it.
        over_quota_weight: weight of a tenant's connections beyond its quota, 0 to 1. Routing does not use it.
        load_report_fields: names of the fields that health checks return.
        has_message_delay_reports: servers report the connections whose messages are slow.
        cross_zone_cost: cost of one connection to another zone, as a fraction of the value of one served
            client.
        health_check_cost: cost of one health check, in the same unit.
        gossip_cost: cost of one gossip summary of the maximum size to one balancer, in the same unit.
        migration_cost: cost of one migration, in the same unit. Routing does not use it.
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
    may_send_retry_after: bool = True
    max_retry_after_us: int = 1_000_000
    connect_timeout_us: int = 250_000
    must_poll_endpoints: bool = False
    poll_within_us: int = 10_000_000
    answer_grace_us: int = 0
    drain_grace_us: int = 1_000_000
    slow_start_initial_fraction: float = 0.1
    slow_start_us: int = 30_000_000
    slow_start_multiple: float = 2.0
    slow_start_window_us: int = 1_000_000
    is_weighted_by_work: bool = False
    over_quota_weight: float = 1.0
    load_report_fields: tuple[str, ...] = ()
    has_message_delay_reports: bool = False
    cross_zone_cost: float = 0.0
    health_check_cost: float = 0.0
    gossip_cost: float = 0.0
    migration_cost: float = 0.0

    def __post_init__(self) -> None:
        """Checks each field. Raises SettingsError."""
        self._validate_members()
        for name in ("tick_us", "connect_timeout_us", "poll_within_us", "slow_start_window_us"):
            _require(getattr(self, name) > 0, name, "must be above 0")
        for name in ("max_retry_after_us", "answer_grace_us", "drain_grace_us", "slow_start_us"):
            _require(getattr(self, name) >= 0, name, "must not be negative")
        for name in ("cross_zone_cost", "health_check_cost", "gossip_cost", "migration_cost"):
            _require_non_negative(getattr(self, name), name)
        fraction = self.slow_start_initial_fraction
        _require(0 < fraction <= 1, "slow_start_initial_fraction", "must be above 0 and at most 1")
        multiple = self.slow_start_multiple
        _require(
            0 < multiple < MAX_SETTING, "slow_start_multiple", f"must be above 0 and below {MAX_SETTING:g}"
        )
        _require(0 <= self.over_quota_weight <= 1, "over_quota_weight", "must be between 0 and 1")

    def _validate_members(self) -> None:
        _require(len(self.classes) > 0, "classes", "must contain at least one class")
        for request_class in self.classes:
            request_class.validate()
        names = {request_class.name for request_class in self.classes}
        _require(len(names) == len(self.classes), "classes.name", "must be unique")
        for tenant in self.tenants:
            _require_non_negative(tenant.connections, "tenants.connections")
        _require(self.balancers >= 1, "balancers", "must be at least 1")
        _require(self.index >= 0, "index", "must not be negative")
        _require(self.max_attempts >= 1, "max_attempts", "must be at least 1")


# -- events ------------------------------------------------------------------------------------------


@dataclass(slots=True)
class Endpoint:
    """A row of the endpoint list: a server as listed by service discovery.

    Attributes:
        cell: group of servers within which idempotency keys may be valid, as `IdempotencyScope.CELL` states.
        size: capacity relative to the other servers.
        started_us: start time of the server's process; 0 if it is unknown or long ago.
    """

    server_id: str
    state: EndpointState = EndpointState.READY
    zone: str = ""
    cell: int = 0
    size: float = 1.0
    started_us: int = 0


@dataclass(slots=True)
class EndpointList:
    """An answer of service discovery, the cached list of an earlier run, or the notice of a failed call."""

    kind: EndpointListKind
    entries: tuple[Endpoint, ...] = ()


@dataclass(slots=True)
class Request:
    """A client's request to open a connection.

    Attributes:
        class_name: name of the request class.
        key: identity of the client; None if the request states none.
        group: affinity group, whose connections share servers where possible; None for no group.
        load: load hint, the usual load of the connection; 0 if there is none.
        is_returning: the client reconnects after its connection broke or was migrated.
        is_midstream: the connection is already open and carries messages; only in the simulator.
    """

    request_id: str
    class_name: str
    deadline_us: int
    key: int | None = None
    group: int | None = None
    tenant: str = ""
    load: int = 0
    is_returning: bool = False
    is_midstream: bool = False


@dataclass(slots=True)
class OpenConnection:
    """A connection that was open at a server before this balancer started."""

    request: Request
    server_id: str


@dataclass(slots=True)
class ConnectionEstablished:
    """An attempt succeeded: the client has received its first answer.

    Attributes:
        attempt_number: number of the attempt among those of its request, from 0.
        latency_us: time from the attempt to the answer.
    """

    request_id: str
    attempt_number: int
    server_id: str
    latency_us: int = 0


@dataclass(slots=True)
class ConnectionFeedback:
    """A server's report on an open connection: its current load, or the duration of a recent message.

    Attributes:
        load: current load of the connection; None if it is not reported.
        message_us: duration of a message; None if it is not reported.
    """

    request_id: str
    server_id: str
    load: float | None = None
    message_us: float | None = None


@dataclass(slots=True)
class AttemptEnded:
    """An attempt, or the connection that it established, ended.

    Attributes:
        attempt_number: number of the attempt among those of its request, from 0.
        is_final: the client needs no further answer.
        report: load report of the server, by field name; empty if there is none.
    """

    request_id: str
    attempt_number: int
    server_id: str
    outcome: AttemptOutcome
    is_final: bool
    latency_us: int = 0
    report: dict[str, float] = field(default_factory=dict)


@dataclass(slots=True)
class ClientDisconnected:
    """The client closed its connection or cancelled its request."""

    request_id: str


@dataclass(slots=True)
class TimerFired:
    """The timer that `SetTimer` requested with this id has expired."""

    timer_id: int


@dataclass(slots=True)
class HealthCheckResult:
    """The result of a health check.

    Attributes:
        report: load report of the server, by field name; empty if there is none.
    """

    server_id: str
    outcome: AttemptOutcome
    latency_us: int = 0
    report: dict[str, float] = field(default_factory=dict)


@dataclass(slots=True)
class OperatorOverride:
    """An operator suspends or resumes a server. The override takes precedence over the endpoint list.

    Attributes:
        at_us: time at which the server was resumed; 0 for now.
    """

    server_id: str
    is_suspended: bool
    at_us: int = 0


@dataclass(slots=True)
class DrainMode:
    """This balancer starts or stops draining. While it drains, its clients migrate to other balancers."""

    is_draining: bool


class SentLoad(NamedTuple):
    """Load that was sent to a server, in microseconds of work per second, and when it was sent."""

    at_us: int
    load: float


@dataclass(slots=True)
class SlowStartSends:
    """Another process of this balancer has sent load to a server that is warming up, from the same budget."""

    server_id: str
    sends: tuple[SentLoad, ...]


@dataclass(slots=True)
class GossipReceived:
    """A gossip summary from the balancer with index `peer_index`."""

    peer_index: int
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
    | SlowStartSends
)


# -- actions -----------------------------------------------------------------------------------------


@dataclass(slots=True)
class StartAttempt:
    """Send the request to the server, and cancel the attempt after `timeout_us`."""

    request_id: str
    server_id: str
    timeout_us: int


@dataclass(slots=True)
class CancelAttempt:
    """Cancel the attempt: its outcome is no longer needed. Attempts of a request are numbered from 0."""

    request_id: str
    attempt_number: int


@dataclass(slots=True)
class Reject:
    """Final answer: the client may retry after `retry_after_us`; 0 if no delay is stated."""

    request_id: str
    retry_after_us: int = 0


@dataclass(slots=True)
class Fail:
    """Final answer: the request could not be served, or its connection broke."""

    request_id: str


@dataclass(slots=True)
class Migrate:
    """Ask the client of an open connection to reconnect elsewhere."""

    request_id: str


@dataclass(slots=True)
class SetTimer:
    """Deliver `TimerFired` with `timer_id` at `at_us`."""

    at_us: int
    timer_id: int


@dataclass(slots=True)
class SendHealthCheck:
    """Check whether the server answers, and request its load report."""

    server_id: str


@dataclass(slots=True)
class SendGossip:
    """Send this gossip summary, of at most 256 bytes, to every other balancer."""

    data: bytes


@dataclass(slots=True)
class WatchEndpoints:
    """Request the endpoint list, and subscribe to its changes."""


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
