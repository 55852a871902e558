"""The objects that clients, balancers and servers share: clients, their requests, and the attempts of these."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum
from typing import Protocol

from glenrock.routing import interface

from .server import Connection, ServerModel
from .workload import PlannedClient


class RequestOutcome(StrEnum):
    """The outcome of a request; each request gets one at most."""

    ESTABLISHED = "up"
    REJECTED = "refused"
    FAILED = "failed"
    OVERDUE = "overdue"
    """The balancer gave no final answer in time, which violates an invariant."""
    DISCONNECTED = "left"
    """The client disconnected before its answer."""
    KILLED = "killed"
    """The balancer's process ended before its answer."""

    __hash__ = str.__hash__


class RequestOwner(Protocol):
    """The balancer's process, as seen by the parts of a simulation that handle its requests."""

    index: int
    zone: int
    incarnation: int
    is_up: bool
    endpoints: dict[str, interface.Endpoint]

    def post(self, event: interface.Event) -> None:
        """Queues an event for the policy."""

    def report_established(self, attempt: Attempt) -> None:
        """Tells the policy that the connection of an attempt is open."""

    def report_attempt_ended(self, attempt: Attempt, outcome: interface.AttemptOutcome) -> None:
        """Tells the policy that an attempt is over."""

    def receive_disconnect(self, request: ClientRequest) -> None:
        """Ends a request whose client has disconnected."""


@dataclass(slots=True, eq=False)
class Client:
    """A client of the workload, across all of its requests.

    Attributes:
        planned: the client's part of the workload.
        request_count: requests made so far; the number of a request is part of its identifier.
        failures: requests that failed since the last established connection.
        waiting_since_us: since when the client has been without a connection; -1 otherwise.
        request: the current request, which is pending or established.
        connection: the client's open connection.
        has_connected: whether it has had a connection before, which makes its next request a reconnect.
        is_done: whether the client sends no more requests.
        next_change_index: index of the next change of load in `planned.load_changes`.
    """

    planned: PlannedClient
    request_count: int = 0
    failures: int = 0
    waiting_since_us: int = -1
    request: ClientRequest | None = None
    connection: Connection[Attempt] | None = None
    has_connected: bool = False
    is_done: bool = False
    next_change_index: int = 0


@dataclass(slots=True, eq=False)
class Attempt:
    """A balancer's attempt to set up a connection at a server.

    Attributes:
        number: number of the attempt within its request, from 0.
        is_active: true until the policy is told that the attempt, or the connection it set up, has ended.
        is_established: whether the connection was set up; it stays true after the connection has ended.
    """

    request: ClientRequest
    number: int
    server: ServerModel[Attempt]
    sent_us: int
    is_active: bool = True
    is_established: bool = False
    connection: Connection[Attempt] | None = None


@dataclass(slots=True, eq=False)
class ClientRequest:
    """A client's request at one balancer, from its arrival to the end of its connection.

    Attributes:
        established_attempt: the attempt whose connection was set up.
        is_answered: whether it has had its final answer.
        is_over: whether it has ended for the balancer.
        was_ended_by_policy: whether the policy itself ended it with a rejection or a failure.
        outcome: None until the outcome is known.
        closed_in_batch: number of the policy's batches when the request ended; the next batch contains the end.
    """

    id: str
    client: Client
    balancer: RequestOwner
    arrived_us: int
    deadline_us: int
    attempts: list[Attempt] = field(default_factory=list)
    is_answered: bool = False
    established_attempt: Attempt | None = None
    is_over: bool = False
    was_ended_by_policy: bool = False
    outcome: RequestOutcome | None = None
    closed_in_batch: int = 0

    def open_attempt(self) -> Attempt | None:
        """Returns the attempt whose connection is open now, if there is one."""
        return self.established_attempt if self.established_attempt and self.established_attempt.is_active else None
