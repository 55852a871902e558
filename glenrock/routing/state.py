"""Records of servers, requests and peers. They decide nothing; each has one owner, named where it is made.

Times are microseconds on the caller's clock, loads as in the interface.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from hashlib import blake2b
from typing import NamedTuple

from .event_batch import NEVER_US
from .interface import NOT_EXECUTED_OUTCOMES, AttemptOutcome, Request, RequestClass


class TimedLoad(NamedTuple):
    """A load, and when it was sent or seen."""

    at_us: int
    load: float


class DelaySample(NamedTuple):
    """How long a message took at a server, and what stood there of this balancer's load then."""

    at_us: int
    delay_s: float
    own_load: float


def stable_hash(server_id: str) -> int:
    """A number of the server's own, the same at every balancer and in every run."""
    return int.from_bytes(blake2b(server_id.encode(), digest_size=8).digest(), "big")


@dataclass(slots=True, eq=False)
class Server:
    """A server, as listed and as seen from this balancer. Loads of it are parts of its capacity.

    Attributes:
        ready: listed as such, and not taken out by an operator.
        reported_load: as last learned; below 0 where it is not known.
        unreported_load: load sent there that no report can show yet; `recent_sends` has its parts.
        own_load_history: what stood there of this balancer's load, round by round.
        own_load_at_report: the same at the time of which the last report tells.
        health_check_sent_us: a health check is out since then; below 0 where none is.
        last_checked_us: the last health check was sent.
        order: of the listing, counted from 0. `added_us`: when it was first listed.
        last_heard_us: it said anything: a set-up, a load, a report.
        delayed_at_us: word came that messages there take long.
        objective_missed_us: and that they missed their objective.
        migrate_by_us: it drains or is gone, and its clients should be elsewhere by then; 0 otherwise.
        connections: connections of this balancer that stand there, by request.
        slow_start_sends: what was sent there while it warmed up.
        capacity: load that would fill it, as lately seen; 0 where it is not known. `usual_capacity` as seen
            over a longer time, and `capacity_ratio` the part of the usual that it still has, at most 1.
    """

    id: str
    zone: str
    cell: int
    hash: int
    ready: bool = False
    listed: bool = False
    started_us: int = 0
    weight: float = 1.0
    reported_load: float = -1.0
    reported_at_us: int = NEVER_US
    unreported_load: float = 0.0
    recent_sends: list[TimedLoad] = field(default_factory=list)
    own_load_history: list[TimedLoad] = field(default_factory=list)
    own_load_at_report: float = 0.0
    delay_samples: list[DelaySample] = field(default_factory=list)
    weight_cut_us: int = NEVER_US
    ejected_until_us: int = 0
    consecutive_failures: int = 0
    health_check_sent_us: int = -1
    last_checked_us: int = NEVER_US
    order: int = 0
    added_us: int = NEVER_US
    last_heard_us: int = NEVER_US
    delayed_at_us: int = NEVER_US
    objective_missed_us: int = NEVER_US
    migrated_at_us: int = NEVER_US
    migrate_by_us: int = 0
    connections: dict[str, RoutedRequest] = field(default_factory=dict)
    slow_start_sends: list[TimedLoad] = field(default_factory=list)
    capacity: float = 0.0
    usual_capacity: float = 0.0
    capacity_ratio: float = 1.0

    @property
    def own_load(self) -> float:
        """Load of this balancer's connections there."""
        return sum(request.load for request in self.connections.values())

    def reset_for_restart(self, at_us: int) -> None:
        """A new process, or one that counts as new: what was known of the old one is void."""
        self.started_us = at_us
        self.ejected_until_us = 0
        self.consecutive_failures = 0
        self.reported_load = -1.0
        self.slow_start_sends.clear()


@dataclass(slots=True, eq=False)
class Attempt:
    """One try to set a request up at a server. `outcome` is None while it is in flight."""

    server: Server
    sent_at_us: int
    outcome: AttemptOutcome | None = None


@dataclass(slots=True, eq=False)
class RoutedRequest:
    """A request, from its arrival to the end of its connection.

    Attributes:
        event: the request as it came.
        server: where it stands, once it is up.
        answered: it has its final answer, or its connection.
        slow_start_only: admitted for servers that are warming up, and for no others.
        pending_checks: servers whose health checks it waits for.
        candidates: servers drawn for it, best first where it has a group.
    """

    event: Request
    request_class: RequestClass
    key: int | str
    load: float
    arrived_us: int
    attempts: list[Attempt] = field(default_factory=list)
    server: Server | None = None
    answered: bool = False
    slow_start_only: bool = False
    pending_checks: set[str] = field(default_factory=set)
    candidates: list[Server] = field(default_factory=list)

    @property
    def first_executed(self) -> Attempt | None:
        """The first attempt that may have run; one that is still out may."""
        for attempt in self.attempts:
            if attempt.outcome not in NOT_EXECUTED_OUTCOMES:
                return attempt
        return None

    @property
    def attempt_is_in_flight(self) -> bool:
        """Whether an attempt has no outcome yet."""
        return any(attempt.outcome is None for attempt in self.attempts)

    def tried_servers(self) -> set[str]:
        """Ids of the servers that had an attempt."""
        return {attempt.server.id for attempt in self.attempts}


class WaitingLoad(NamedTuple):
    """Load that waits in a bucket of the waiting line."""

    bucket: int
    load: float


@dataclass(slots=True)
class Peer:
    """What another balancer's last summary told."""

    stamp: int
    heard_us: int
    active_load: float
    clients: int
    waiting: list[WaitingLoad]
