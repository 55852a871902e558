"""Messages to the actor of a client's connection."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from enum import Enum

from glenrock.routing.interface import AttemptOutcome

from .attempt_outcomes import AttemptResult
from .connection_attempt import ConnectionAttempt
from .metrics import FinalAnswerReason


class RelayEvent(Enum):
    """What a relay pump or a timer has met.

    Attributes:
        CLIENT_FIN: the client has closed its side.
        CLIENT_RST: the client has reset the connection.
        SERVER_FIN: the server has closed its side.
        SERVER_RST: the server has reset the connection.
        EARLY_BYTES: the client has sent bytes before its answer.
        MIGRATION_POSSIBLE: the client can be migrated now.
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
    """An attempt has its result: it has ended, or its connection is established."""

    attempt: ConnectionAttempt
    result: AttemptResult


@dataclass(frozen=True)
class FinalAnswer:
    """Routing has rejected or failed the request: `line` is the client's last line."""

    line: bytes
    reason: FinalAnswerReason


@dataclass(frozen=True)
class MigrateClient:
    """Ask the client to connect elsewhere. `outcome`: how routing counts the end of its connection."""

    outcome: AttemptOutcome


@dataclass(frozen=True)
class DrainConnection:
    """Answer a waiting client now, since this balancer drains or stops."""

    retry_after_ms: float


@dataclass(frozen=True)
class HandOverRelay:
    """Offer the relay to the successor. `offer` returns whether the successor has accepted."""

    offer: Callable[[], Awaitable[bool]]


ConnectionMessage = AttemptCompleted | FinalAnswer | MigrateClient | DrainConnection | HandOverRelay | RelayEvent
