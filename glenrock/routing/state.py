"""Records of servers, requests and peers; this module makes no decisions.

Times are microseconds on the caller's clock. Loads are work per second, as defined in `interface`, unless
stated as fractions of a server's capacity.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from hashlib import blake2b
from typing import NamedTuple

from .event_batch import NEVER_US
from .interface import NOT_EXECUTED_OUTCOMES, AttemptOutcome, Request, RequestClass


class TimedLoad(NamedTuple):
    """A load, with the time at which it was sent or observed."""

    at_us: int
    load: float


class DelaySample(NamedTuple):
    """The duration of a message at a server, with this balancer's load there at that time."""

    at_us: int
    delay_s: float
    own_load: float


def stable_hash(server_id: str) -> int:
    """Returns a 64-bit hash of the id, which is the same at every balancer and in every run."""
    return int.from_bytes(blake2b(server_id.encode(), digest_size=8).digest(), "big")


@dataclass(slots=True, eq=False)
class Server:
    """A server, as listed by service discovery and as observed by this balancer.

    Attributes:
        hash: stable hash of the server id.
        is_ready: listed as ready, and not suspended by an operator.
        is_listed_ready: listed as ready, neither draining nor gone.
        started_us: start time of its process; 0 if it is unknown or long ago.
        weight: probability of being drawn, relative to other servers.
        reported_load: last reported load as a fraction of its capacity; below 0 if it is not known.
        unreported_load: total load sent to the server that no report can include yet.
        recent_sends: loads that were sent to the server recently, one for each attempt.
        own_load_history: load of this balancer's connections there, recorded each round.
        own_load_at_report: load of this balancer's connections at the time that the last report describes.
        delay_samples: at most two recent durations of messages, oldest first.
        ejected_until_us: end of its ejection.
        consecutive_failures: failed connections since the last success.
        health_check_sent_at_us: start of the health check in flight; below 0 if there is none.
        last_checked_at_us: start of the last health check.
        order: position in the order in which servers were first listed, from 0.
        last_heard_at_us: when the server last established a connection, or reported a load or a delay.
        delayed_at_us: when slow messages were last reported.
        objective_missed_at_us: when messages that missed their objective were last reported.
        migrated_at_us: when clients were last migrated off the server because of its load.
        migrate_by_us: deadline for its clients to migrate, if it is not ready; 0 otherwise.
        connections: this balancer's connections at the server, by request id.
        slow_start_sends: load sent to the server during its slow start.
        capacity: recent estimate of the load that would fill the server; 0 if it is not known.
        usual_capacity: the same estimate over a longer time.
        capacity_ratio: fraction of its usual capacity that the server still has, at most 1.
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
        """The total load of this balancer's connections at the server."""
        return sum(request.load for request in self.connections.values())

    def clear_failures(self) -> None:
        """Resets the count of consecutive failures, and ends the ejection that they caused."""
        self.consecutive_failures = 0
        self.ejected_until_us = 0

    def reset_for_restart(self, at_us: int) -> None:
        """Discards what was observed of the server's previous process, and records the new start time."""
        self.started_us = at_us
        self.clear_failures()
        self.reported_load = -1.0
        self.slow_start_sends.clear()


@dataclass(slots=True, eq=False)
class Attempt:
    """An attempt to establish a request's connection at a server.

    Attributes:
        outcome: how the attempt or its connection ended; None before.
    """

    server: Server
    sent_at_us: int
    outcome: AttemptOutcome | None = None


@dataclass(slots=True, eq=False)
class RoutedRequest:
    """A request, from its arrival to the end of its connection.

    Attributes:
        event: the request as it arrived.
        key: identity of the client; the request id if the request states none.
        load: load of the connection: as reported, as stated in the load hint, or the expected load.
        attempts: attempts so far, in order.
        server: server at which the connection is established; None before.
        is_answered: the client has its final answer, or the connection is established.
        is_slow_start_only: admitted only for servers that are warming up.
        pending_checks: ids of the servers whose health checks the request waits for.
        candidates: servers drawn for the request; those of a group are in the group's order.
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
        """The first attempt that may have executed the request, in flight or ended; None if there is none."""
        for attempt in self.attempts:
            if attempt.outcome not in NOT_EXECUTED_OUTCOMES:
                return attempt
        return None

    @property
    def attempt_is_in_flight(self) -> bool:
        """Whether any attempt has no outcome yet."""
        return any(attempt.outcome is None for attempt in self.attempts)

    def tried_servers(self) -> set[str]:
        """Returns the ids of the servers to which the request has been sent."""
        return {attempt.server.server_id for attempt in self.attempts}


class WaitingLoad(NamedTuple):
    """The total load of a bucket of the waiting queue."""

    bucket: int
    load: float


@dataclass(slots=True)
class Peer:
    """The last gossip summary of another balancer.

    Attributes:
        stamp: time of the summary by the sender's clock, as a counter that wraps around.
        received_at_us: when the summary arrived.
        active_load: total load of the sender's client sessions.
        clients: number of the sender's clients; 0 if it drains or has just started.
        waiting: load of the sender's waiting queue, by bucket.
    """

    stamp: int
    received_at_us: int
    active_load: float
    clients: int
    waiting: list[WaitingLoad]
