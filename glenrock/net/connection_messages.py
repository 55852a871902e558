"""Messages to the actor of a client connection."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from enum import Enum

from glenrock.routing.interface import AttemptOutcome

from .attempt_outcomes import AttemptResult
from .connection_attempt import ConnectionAttempt
from .metrics import FinalAnswerReason


class RelayEvent(Enum):
    """An event that a relay pump or a timer posts.

    Attributes:
        CLIENT_FIN: the client has closed its side.
        CLIENT_RST: the client has reset the connection.
        SERVER_FIN: the server has closed its side.
        SERVER_RST: the server has reset the connection.
        EARLY_BYTES: the client has sent bytes before it had its answer.
        MIGRATION_POSSIBLE: the migration has started, and the client has received only whole lines.
        TIMER_EXPIRED: routing made no decision in time, or the migration of an established relay takes too long.
    """

    CLIENT_FIN = "client fin"
    CLIENT_RST = "client rst"
    SERVER_FIN = "server fin"
    SERVER_RST = "server rst"
    EARLY_BYTES = "early bytes"
    MIGRATION_POSSIBLE = "migration possible"
    TIMER_EXPIRED = "timer expired"


CLIENT_ENDS = (RelayEvent.CLIENT_FIN, RelayEvent.CLIENT_RST, RelayEvent.EARLY_BYTES)
SERVER_ENDS = (RelayEvent.SERVER_FIN, RelayEvent.SERVER_RST)


@dataclass(frozen=True)
class AttemptCompleted:
    """An attempt has a result: it has established the connection, or has failed to."""

    attempt: ConnectionAttempt
    result: AttemptResult


@dataclass(frozen=True)
class FinalAnswer:
    """Routing has rejected or failed the request. `line` is the answer to the client."""

    line: bytes
    reason: FinalAnswerReason


@dataclass(frozen=True)
class MigrateClient:
    """Ask the client to open a new connection. `outcome`: how routing counts the end of this one."""

    outcome: AttemptOutcome


@dataclass(frozen=True)
class DrainConnection:
    """This balancer drains or stops: answer a client that waits, or migrate one whose connection is established."""

    retry_after_ms: float


@dataclass(frozen=True)
class HandOverRelay:
    """Hand the relay over to the successor process. `offer` returns whether the successor has accepted it."""

    offer: Callable[[], Awaitable[bool]]


ConnectionMessage = AttemptCompleted | FinalAnswer | MigrateClient | DrainConnection | HandOverRelay | RelayEvent
