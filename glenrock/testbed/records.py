"""What the stand-ins saw, as typed records. Times are seconds of the machine's monotonic clock."""

from __future__ import annotations

import time
from dataclasses import dataclass, field
from enum import Enum

NEVER = float("inf")


class ConnectionEnd(Enum):
    """How a connection ended, as one side saw it."""

    OPEN = "open"
    FINISHED = "finished"
    RESET = "reset"
    LEFT = "left"


@dataclass(eq=False)
class AttemptRecord:
    """A first line that reached a session server.

    Attributes:
        request_id: of the line.
        server: name of the session server.
        balancer: number of the balancer process, where the id tells it.
        standing: the line asked for a connection that stood before.
        first_byte_s: the first byte arrived. `whole_s`: the last one did.
        up_s: UP was sent; NEVER where it was not.
        ended_s: the connection ended; NEVER while it is open. `ended_by_server`: by the stand-in itself.
        answer: the first word that the server wrote; empty where it wrote none.
        hung_s: the server hung from then on while the connection was open.
    """

    request_id: str
    server: str
    standing: bool
    first_byte_s: float
    whole_s: float
    up_s: float = NEVER
    ended_s: float = NEVER
    ended_by_server: bool = False
    answer: str = ""
    hung_s: float = NEVER


@dataclass(eq=False)
class RequestRecord:
    """A request as its client saw it.

    Attributes:
        request_id: new with every connection.
        balancer: number of the process that it was sent to.
        deadline_ms: how long the client waits.
        standing_at: the server that its connection stood at before; empty for a new one.
        sent_s: its last byte was written.
        answer: the first line that came; empty where none did.
        answered_s: when that was.
        unexpected: what came before UP and was neither of the protocol's answers, or a second answer.
        moved: MOVE came.
        left_s: the client closed by itself; NEVER where it did not.
        end: how the balancer ended it. `ended_s`: when.
        last_line_s: the last line came back from the session server.
    """

    request_id: str
    balancer: int
    deadline_ms: float
    standing_at: str = ""
    effect: str = "safe"
    sent_s: float = NEVER
    answer: str = ""
    answered_s: float = NEVER
    unexpected: str = ""
    moved: bool = False
    left_s: float = NEVER
    end: ConnectionEnd = ConnectionEnd.OPEN
    ended_s: float = NEVER
    last_line_s: float = NEVER

    @property
    def is_up(self) -> bool:
        """Whether the session server's answer came."""
        return self.answer.startswith("UP")


@dataclass(frozen=True)
class FaultRecord:
    """A fault that was on: what, whom it struck, from when to when."""

    kind: str
    parties: tuple[str, ...]
    began_s: float
    ended_s: float = NEVER


@dataclass(frozen=True)
class ListedRecord:
    """A balancer was told of a server's state."""

    balancer: int
    server: str
    status: str
    at_s: float


@dataclass(eq=False)
class HalfRequestRecord:
    """A client that stopped within a request and stayed. `ended_s`: it was answered or closed."""

    balancer: int
    sent_s: float
    ended_s: float = NEVER


@dataclass
class RunRecord:
    """All records of a run."""

    began_s: float = field(default_factory=time.monotonic)
    attempts: list[AttemptRecord] = field(default_factory=list)
    requests: list[RequestRecord] = field(default_factory=list)
    faults: list[FaultRecord] = field(default_factory=list)
    listed: list[ListedRecord] = field(default_factory=list)
    half_requests: list[HalfRequestRecord] = field(default_factory=list)
    stopped_s: dict[int, list[float]] = field(default_factory=dict)  # balancer: SIGTERMs
    killed_s: dict[int, list[float]] = field(default_factory=dict)  # balancer: SIGKILLs

    def attempts_of(self, request_id: str) -> list[AttemptRecord]:
        """The attempts of a request, in the order in which they arrived."""
        return [attempt for attempt in self.attempts if attempt.request_id == request_id]
