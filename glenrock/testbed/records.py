"""What the stand-ins of a run saw, as typed records. Times are seconds on one clock for a run."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum

from ..routing.interface import Idempotency
from .invariant import NEVER, Invariant

CLIENTS, DISCOVERY, STORE = "clients", "list", "store"  # parties of which a run has one
ALL_INVARIANTS = frozenset(Invariant)


def balancer_party(number: int) -> str:
    """Returns the name of a balancer among the parties of a run."""
    return f"balancer:{number}"


class ConnectionEnd(Enum):
    """How a connection ended, as its client saw it."""

    OPEN = "open"
    FINISHED = "finished"
    RESET = "reset"
    LEFT = "left"


@dataclass(eq=False)
class AttemptRecord:
    """A request line that reached a session server.

    Attributes:
        request_id: of the line.
        server: name of the session server.
        is_resumed: the line asked for a connection that was open before the run.
        first_byte_s: the first byte arrived. `last_byte_s`: the last one did.
        balancer: number of the process that sent it; -1 where the server does not know.
        up_s: UP was sent; NEVER where it was not.
        ended_s: the connection ended; NEVER while it is open. `ended_by_server`: by the session server.
        answer: the first word that the server wrote; empty where it wrote none.
        hung_s: the server hung from then on while the connection was open.
    """

    request_id: str
    server: str
    is_resumed: bool
    first_byte_s: float
    last_byte_s: float
    balancer: int = -1
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
        resumes_at: the server that its connection was open at before the run; empty for a new one.
        idempotency: of its class.
        sent_s: its last byte was written; NEVER where that was not seen.
        answer: the first line that came; empty where none did.
        answered_s: the time of the answer. `answers`: how many came.
        server: that the answer names; empty where it names none.
        unexpected: received, and neither an answer of the protocol nor a line of the session server.
        is_migrated: MOVE came.
        left_s: the client closed the connection; NEVER where it did not.
        gave_up_s: the client stopped waiting after its deadline.
        end: how the balancer ended it. `ended_s`: when.
        last_line_s: the last line came back from the session server.
    """

    request_id: str
    balancer: int
    deadline_ms: float
    resumes_at: str = ""
    idempotency: Idempotency = Idempotency.SAFE
    sent_s: float = NEVER
    answer: str = ""
    answered_s: float = NEVER
    answers: int = 0
    server: str = ""
    unexpected: str = ""
    is_migrated: bool = False
    left_s: float = NEVER
    gave_up_s: float = NEVER
    end: ConnectionEnd = ConnectionEnd.OPEN
    ended_s: float = NEVER
    last_line_s: float = NEVER

    @property
    def is_up(self) -> bool:
        """Whether the session server's answer came."""
        return self.answer.startswith("UP")


@dataclass(frozen=True)
class FaultRecord:
    """An injected fault.

    Attributes:
        kind: its word.
        parties: affected by it.
        began_s, ended_s: the time in which it may show, effects after its end included.
        excuses: invariants whose violation it accounts for.
    """

    kind: str
    parties: frozenset[str]
    began_s: float
    ended_s: float = NEVER
    excuses: frozenset[Invariant] = ALL_INVARIANTS


@dataclass(frozen=True)
class StallRecord:
    """A balancer's process was stopped within a system call."""

    balancer: int
    began_s: float
    ended_s: float


@dataclass(frozen=True)
class ListedRecord:
    """A balancer was sent the status of a server."""

    balancer: int
    server: str
    status: str
    at_s: float


@dataclass(eq=False)
class HalfRequestRecord:
    """A client that stopped within a request line and stayed. `ended_s`: it was answered or closed."""

    balancer: int
    sent_s: float
    ended_s: float = NEVER


@dataclass(frozen=True)
class OverloadRecord:
    """A server went down of overload while it was warming up, at the attempt of this request."""

    server: str
    at_s: float
    request_id: str
    balancer: int


@dataclass(frozen=True)
class EffectRecord:
    """A receiver's acknowledgement of an effect.

    Attributes:
        receiver: party. `incarnation`: its starts before the acknowledgement.
        job, term, number: of the effect. `seen_term`: the highest that the receiver had seen.
        order: of the receiver's decisions within its incarnation; acknowledgements may arrive in another.
    """

    receiver: str
    incarnation: int
    job: str
    term: int
    number: int
    is_accepted: bool
    seen_term: int
    order: int
    at_s: float


@dataclass(frozen=True)
class DrainObservation:
    """The front end was rejected by a balancer that drains."""

    balancer: int
    at_s: float


@dataclass(frozen=True)
class OverrideRecord:
    """An operator's call for a server: as it was made, and as it was answered (`status` is set)."""

    server: str
    is_suspended: bool
    at_s: float
    status: int | None = None


@dataclass
class RunRecord:
    """All records of a run, each list in the order of time.

    Attributes:
        server_starts: how many.
        disagreements: at the end, balancers whose overrides differ from the others', as text.
        ended_s: the end of the run; an answer that is due later is not checked.
        log_lines: by balancer.
    """

    attempts: list[AttemptRecord] = field(default_factory=list)
    requests: list[RequestRecord] = field(default_factory=list)
    faults: list[FaultRecord] = field(default_factory=list)
    stalls: list[StallRecord] = field(default_factory=list)
    listed: list[ListedRecord] = field(default_factory=list)
    half_requests: list[HalfRequestRecord] = field(default_factory=list)
    overloads: list[OverloadRecord] = field(default_factory=list)
    effects: list[EffectRecord] = field(default_factory=list)
    drains: list[DrainObservation] = field(default_factory=list)
    overrides: list[OverrideRecord] = field(default_factory=list)
    server_starts: int = 0
    disagreements: tuple[str, ...] = ()
    ended_s: float = NEVER
    log_lines: dict[int, list[str]] = field(default_factory=lambda: defaultdict(list))

    def is_disturbed(self, invariant: Invariant, from_s: float, to_s: float, parties: Iterable[str]) -> bool:
        """Whether a fault that excuses the invariant affected one of the parties in that time."""
        concerned = frozenset(parties)
        return any(
            invariant in fault.excuses
            and fault.began_s <= to_s
            and from_s <= fault.ended_s
            and not concerned.isdisjoint(fault.parties)
            for fault in self.faults
        )
