"""Records of servers, requests and peers, without decisions.

Times are microseconds on the caller's clock, loads as in the interface.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from hashlib import blake2b
from typing import NamedTuple

from .event_batch import NEVER_US
from .interface import NOT_EXECUTED_OUTCOMES, AttemptOutcome, Request, RequestClass


class TimedLoad(NamedTuple):
    """A load, and the time at which it was sent or observed."""

    at_us: int
    load: float


class DelaySample(NamedTuple):
    """The duration of a message at a server, and this balancer's load there at that time."""

    at_us: int
    delay_s: float
    own_load: float


def stable_hash(server_id: str) -> int:
    """Returns a 64-bit hash of the id, the same at every balancer and in every run."""
    return int.from_bytes(blake2b(server_id.encode(), digest_size=8).digest(), "big")


@dataclass(slots=True, eq=False)
class Server:
    """A server, as listed and as observed from this balancer. Its loads are fractions of its capacity.

    Attributes:
        is_ready: listed as ready, and not suspended by an operator.
        is_listed_ready: listed as ready, so neither draining nor gone.
        reported_load: last reported load; below 0 if it is not known.
        unreported_load: load sent there that no report can show yet, in total; `recent_sends` has its parts.
        own_load_history: this balancer's load there, round by round.
        own_load_at_report: the same, at the time that the last report describes.
        health_check_sent_at_us: start of the health check in flight; below 0 if there is none.
        last_checked_at_us: start of the last health check.
        order: position in the order in which servers were first listed, from 0.
        first_listed_at_us: when the server was first listed.
        last_heard_at_us: when its last set-up, load or report arrived.
        delayed_at_us: when slow messages were last reported.
        objective_missed_at_us: when messages were last reported that missed their objective.
        migrate_by_us: deadline for its clients to migrate, if it drains or is gone; 0 otherwise.
        connections: connections of this balancer there, by request id.
        slow_start_sends: load sent there during its slow start.
        capacity: load that would fill it, as of late; 0 if it is not known.
        usual_capacity: the same, over a longer time.
        capacity_ratio: the fraction of its usual capacity that it still has, at most 1.
    """

    server_id: str
    zone: str
    cell: int
    hash: int
    is_ready: bool = False
    is_listed_ready: bool = False
    started_us: int = 0
    weight: float = 1.0
    reported_load: float = -1.0
    reported_at_us: int = NEVER_US
    unreported_load: float = 0.0
    recent_sends: list[TimedLoad] = field(default_factory=list)
    own_load_history: list[TimedLoad] = field(default_factory=list)
    own_load_at_report: float = 0.0
    delay_samples: list[DelaySample] = field(default_factory=list)
    weight_cut_at_us: int = NEVER_US
    ejected_until_us: int = 0
    consecutive_failures: int = 0
    health_check_sent_at_us: int = -1
    last_checked_at_us: int = NEVER_US
    order: int = 0
    first_listed_at_us: int = NEVER_US
    last_heard_at_us: int = NEVER_US
    delayed_at_us: int = NEVER_US
    objective_missed_at_us: int = NEVER_US
    migrated_at_us: int = NEVER_US
    migrate_by_us: int = 0
    connections: dict[str, RoutedRequest] = field(default_factory=dict)
    slow_start_sends: list[TimedLoad] = field(default_factory=list)
    capacity: float = 0.0
    usual_capacity: float = 0.0
    capacity_ratio: float = 1.0

    @property
    def own_load(self) -> float:
        """Total load of this balancer's connections there."""
        return sum(request.load for request in self.connections.values())

    def clear_failures(self) -> None:
        """Forgets failures in a row, and ends the ejection that they caused."""
        self.consecutive_failures = 0
        self.ejected_until_us = 0

    def reset_for_restart(self, at_us: int) -> None:
        """Discards what was observed of the server's previous process."""
        self.started_us = at_us
        self.clear_failures()
        self.reported_load = -1.0
        self.slow_start_sends.clear()


@dataclass(slots=True, eq=False)
class Attempt:
    """One try to set a request up at a server. `outcome` is None while the attempt is in flight."""

    server: Server
    sent_at_us: int
    outcome: AttemptOutcome | None = None


@dataclass(slots=True, eq=False)
class RoutedRequest:
    """A request, from its arrival to the end of its connection.

    Attributes:
        event: the request as it arrived.
        key: identity of the client; the request's id if the client named none.
        load: load of the connection, as hinted, reported or expected.
        server: where the connection is established; None before.
        is_answered: the request has its final answer or its connection.
        is_slow_start_only: admitted for servers that are warming up only.
        pending_checks: ids of the servers whose health checks the request awaits.
        candidates: servers drawn for the request; those of a group in the group's order.
    """

    event: Request
    request_class: RequestClass
    key: int | str
    load: float
    arrived_us: int
    attempts: list[Attempt] = field(default_factory=list)
    server: Server | None = None
    is_answered: bool = False
    is_slow_start_only: bool = False
    pending_checks: set[str] = field(default_factory=set)
    candidates: list[Server] = field(default_factory=list)

    @property
    def first_possibly_executed(self) -> Attempt | None:
        """The first attempt without proof that it did not execute; one in flight counts. None without one."""
        for attempt in self.attempts:
            if attempt.outcome not in NOT_EXECUTED_OUTCOMES:
                return attempt
        return None

    @property
    def attempt_is_in_flight(self) -> bool:
        """Whether an attempt has no outcome yet."""
        return any(attempt.outcome is None for attempt in self.attempts)

    def tried_servers(self) -> set[str]:
        """Returns the ids of the servers that had an attempt."""
        return {attempt.server.server_id for attempt in self.attempts}


class WaitingLoad(NamedTuple):
    """Load of a bucket of the waiting queue."""

    bucket: int
    load: float


@dataclass(slots=True)
class Peer:
    """The last gossip summary of another balancer."""

    stamp: int
    received_at_us: int
    active_load: float
    clients: int
    waiting: list[WaitingLoad]
