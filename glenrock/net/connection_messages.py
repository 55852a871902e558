"""Messages to the actor of a client's connection, and the ends that its pumps meet."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from enum import Enum

from glenrock.routing.interface import AttemptOutcome

from .attempt_outcomes import AttemptResult
from .connection_attempt import ConnectionAttempt
from .metrics import RejectReason


class RelayEnd(Enum):
    """What a pump met, or a timer. TOO_EARLY: the client sent bytes before its answer."""

    CLIENT_FIN = "client fin"
    CLIENT_RST = "client rst"
    SERVER_FIN = "instance fin"
    SERVER_RST = "instance rst"
    TOO_EARLY = "bytes before the answer"
    BETWEEN_LINES = "ready to move"
    OVERDUE = "overdue"


CLIENT_ENDS = (RelayEnd.CLIENT_FIN, RelayEnd.CLIENT_RST, RelayEnd.TOO_EARLY)
SERVER_ENDS = (RelayEnd.SERVER_FIN, RelayEnd.SERVER_RST)


@dataclass(frozen=True)
class AttemptAnswered:
    """An attempt has its result."""

    attempt: ConnectionAttempt
    result: AttemptResult


@dataclass(frozen=True)
class FinalAnswer:
    """The routing decisions have answered: this line is the client's last. `reason`: for the metrics."""

    line: bytes
    reason: RejectReason


@dataclass(frozen=True)
class MigrateClient:
    """Ask the client to connect elsewhere. `outcome`: how its connection counts as ended."""

    outcome: AttemptOutcome


@dataclass(frozen=True)
class AnswerNow:
    """It is to have its answer now: the process ends, or sends its clients away."""

    retry_after_ms: float


@dataclass(frozen=True)
class HandOverRelay:
    """Offer the relay to a successor. `give`: true once another process has taken it."""

    give: Callable[[], Awaitable[bool]]


ConnectionMessage = AttemptAnswered | FinalAnswer | MigrateClient | AnswerNow | HandOverRelay | RelayEnd
