"""What clients, balancers and instances pass between them: a client, its tries and their attempts."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Protocol

from glenrock.routing import interface

from .instance import Connection, Instance
from .plan import Row


class BalancerProcess(Protocol):
    """What the owner of a try sees of the balancer's process that serves it."""

    index: int
    zone: int
    life: int
    last: dict[str, interface.Endpoint]

    def post(self, event: interface.Event) -> None:
        """Queues an event for the decisions."""

    def started(self, a: Attempt) -> None:
        """Records that the connection of an attempt is open."""

    def ended(self, a: Attempt, verdict: str) -> None:
        """Records the end of an attempt."""

    def leave(self, f: Flow) -> None:
        """Records that the client of a try has disconnected."""


@dataclass(slots=True, eq=False)
class Client:
    row: Row
    tries: int = 0  # all of them: names each one
    failures: int = 0  # in a row, since it last stood
    since: int = -1  # it has waited to be set up since then
    flow: Flow | None = None  # the try that is out, or the one that stands
    connection: Connection[Attempt] | None = None
    again: bool = False  # it has stood before
    done: bool = False
    change: int = 0  # of its changes of load, the next


@dataclass(slots=True, eq=False)
class Attempt:
    flow: Flow
    number: int
    instance: Instance[Attempt]
    sent: int
    out: bool = True  # the decisions have not been told of its end
    up: bool = False
    connection: Connection[Attempt] | None = None


@dataclass(slots=True, eq=False)
class Flow:
    """One try of a client at one balancer, from its first line to the end of its connection."""

    id: str
    client: Client
    host: BalancerProcess
    arrived: int
    deadline: int
    attempts: list[Attempt] = field(default_factory=list)
    answered: bool = False
    standing: Attempt | None = None
    over: bool = False
    mine: bool = False  # ended by the decisions themselves
    end: str = ""  # how the try was concluded: up, refused, failed, overdue, left or killed; once
    over_told: int = 0  # turns taken when its end was posted: it is told in the next one
