"""What may happen in a scenario's run: one type for each kind of event, with its fields. Pure.

`history_text` maps them to the words of `history.txt`, `history_records` to the records that invariants are checked on.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from .endpoint_directory import EndpointStatus


@dataclass(frozen=True, slots=True)
class EventData:
    """The fields of an event."""


@dataclass(frozen=True, slots=True)
class RequestEvent(EventData):
    """An event of one request at one balancer."""

    request_id: str
    balancer: int


# -- clients -----------------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class RequestSent(RequestEvent):
    """A client wrote its request. `resumes_at`: the server it was connected to before the run; else empty."""

    deadline_ms: float
    resumes_at: str = ""


@dataclass(frozen=True, slots=True)
class RequestAnswered(RequestEvent):
    """A client received an answer, or a further line after it. `server`: that an UP answer names."""

    answer: str
    server: str | None = None


@dataclass(frozen=True, slots=True)
class ClosedUnanswered(RequestEvent):
    """The connection of a request ended before its answer."""


@dataclass(frozen=True, slots=True)
class RequestGivenUp(RequestEvent):
    """A client stopped waiting for its answer, after its deadline."""


@dataclass(frozen=True, slots=True)
class ClientLeft(RequestEvent):
    """A client closed its connection before its answer."""


class EndCause(StrEnum):
    """How an established connection ended, as its client saw it. The values are words of `history.txt`."""

    CLOSED_BY_CLIENT = "own"
    MIGRATED = "moved"
    FINISHED = "eof"
    RESET = "reset"


@dataclass(frozen=True, slots=True)
class ConnectionEnded(RequestEvent):
    """An established connection ended at its client."""

    cause: EndCause


# -- session servers -----------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class AttemptReceived(RequestEvent):
    """A request line reached a server. `is_resumed`: for a connection that was open before the run."""

    is_resumed: bool


@dataclass(frozen=True, slots=True)
class AttemptUp(RequestEvent):
    """A server sent UP."""


class EndedBy(StrEnum):
    """The side that ended an attempt's connection. The values are words of `history.txt`."""

    SERVER = "self"
    PEER = "peer"


@dataclass(frozen=True, slots=True)
class AttemptEnded(RequestEvent):
    """The connection of an attempt ended at its server."""

    ended_by: EndedBy


@dataclass(frozen=True, slots=True)
class ServerOverloaded(RequestEvent):
    """A server that was warming up became overloaded by this request, and crashes."""


@dataclass(frozen=True, slots=True)
class UnknownLineReceived(EventData):
    """A server received a line that is not of the protocol."""

    line: str


@dataclass(frozen=True, slots=True)
class HealthCheckReceived(EventData):
    """A server received a health check."""


@dataclass(frozen=True, slots=True)
class ServerStarted(EventData):
    """The process of a server started. `is_warming`: not for the first time, so that it warms up."""

    is_warming: bool


@dataclass(frozen=True, slots=True)
class ServerCrashed(EventData):
    """The process of a server ended."""


# -- balancers -----------------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class BalancerStarted(EventData):
    """A balancer's process started."""

    incarnation: int
    process_id: int


@dataclass(frozen=True, slots=True)
class SignalSent(EventData):
    """A balancer's process was sent a signal; the subclass tells which."""

    incarnation: int


@dataclass(frozen=True, slots=True)
class BalancerKilled(SignalSent):
    """SIGKILL."""


@dataclass(frozen=True, slots=True)
class BalancerTerminated(SignalSent):
    """SIGTERM."""


@dataclass(frozen=True, slots=True)
class BalancerPaused(SignalSent):
    """SIGSTOP."""


@dataclass(frozen=True, slots=True)
class BalancerResumed(SignalSent):
    """SIGCONT."""


@dataclass(frozen=True, slots=True)
class CpuLimited(EventData):
    """A balancer has a lower priority, and one core that it shares with a busy process."""

    nice: int
    core: int


@dataclass(frozen=True, slots=True)
class CpuRestored(EventData):
    """A balancer has the usual priority and cores again."""


@dataclass(frozen=True, slots=True)
class LineLogged(EventData):
    """A balancer logged a line. Noted once a second, so its time is up to a second later."""

    text: str


# -- discovery and the front end ---------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class DiscoveryCalled(EventData):
    """A balancer called discovery."""

    balancer: int


@dataclass(frozen=True, slots=True)
class ListChanged(EventData):
    """The status of a server in the endpoint list changed."""

    server_number: int
    status: EndpointStatus
    version: int


@dataclass(frozen=True, slots=True)
class ServerListed(EventData):
    """A balancer was sent the status of a server. `server`: its name as a party."""

    balancer: int
    server: str
    status: EndpointStatus


@dataclass(frozen=True, slots=True)
class DrainObserved(EventData):
    """The front end's PING was answered as a draining balancer does."""

    balancer: int


@dataclass(frozen=True, slots=True)
class BalancerAdded(EventData):
    """The front end sends clients to a balancer from now on."""

    balancer: int


@dataclass(frozen=True, slots=True)
class BalancerRemoved(EventData):
    """The front end sends no clients to a balancer from now on."""

    balancer: int


# -- coordination --------------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class TermBegan(EventData):
    """The store has a new term of a job. `holder`: `nN/incarnation`, N the number of a balancer."""

    job: str
    term: int
    holder: str


@dataclass(frozen=True, slots=True)
class EffectAcknowledged(EventData):
    """A balancer acknowledged an effect.

    Attributes:
        job, term, number: of the effect.
        highest_term: that the balancer had seen.
        order: of the balancer's decisions within its incarnation.
    """

    job: str
    term: int
    number: int
    is_accepted: bool
    highest_term: int
    order: int


@dataclass(frozen=True, slots=True)
class HeartbeatRejected(EventData):
    """A balancer rejected the heartbeat of a holder whose term is over."""

    job: str
    term: int
    highest_term: int


@dataclass(frozen=True, slots=True)
class OverrideRequested(EventData):
    """An operator suspends a server at one balancer, or resumes it. `server`: its name as a party."""

    balancer: int
    server: str
    is_suspended: bool


@dataclass(frozen=True, slots=True)
class OverrideAnswered(EventData):
    """The answer to an override. `status`: of HTTP; 0 where none came."""

    balancer: int
    server: str
    is_suspended: bool
    status: int
    text: str


@dataclass(frozen=True, slots=True)
class DrainAnswered(EventData):
    """The answer to an operator who drains a balancer. `status`: of HTTP; 0 where none came."""

    balancer: int
    status: int
    text: str


@dataclass(frozen=True, slots=True)
class ActivateAnswered(EventData):
    """The answer to an operator who ends a balancer's drain. `status`: of HTTP; 0 where none came."""

    balancer: int
    status: int
    text: str


# -- faults --------------------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class FaultBegan(EventData):
    """A fault became active. `kind`: its word in scenario files."""

    kind: str
    parties: frozenset[str]


@dataclass(frozen=True, slots=True)
class FaultEnded(EventData):
    """A fault ended."""

    kind: str
    parties: frozenset[str]
