"""Names of the invariants, the limits that a run is checked against, and the result of a check. Pure."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from enum import StrEnum

NEVER = float("inf")


class Invariant(StrEnum):
    """A rule that every run must keep. The values are the words of `summary.json` and of a soak's lines."""

    __hash__ = str.__hash__

    FINAL_ANSWER = "answered"
    """Each request gets exactly one final answer in time."""
    PROTOCOL_ANSWER = "valid_answer"
    """Clients receive nothing but the protocol's answers and their session server's lines."""
    SINGLE_ATTEMPT = "repeated"
    """A request never has two attempts in flight."""
    SINGLE_EXECUTION = "executed_again"
    """A request that is not idempotent executes once; an idempotent one repeats within its window only."""
    NO_REJECT_AFTER_EXECUTION = "rejected_after_execution"
    """BUSY is sent only if no attempt may have executed."""
    CLIENT_PRESENT = "forwarded"
    """Nothing is forwarded for a client that has left."""
    DRAIN_GRACE = "drained"
    """Nothing new goes to a draining server after its grace period."""
    SLOW_START_BUDGET = "cold"
    """No server is overloaded while it warms up."""
    CONNECTION_KEPT = "cut_off"
    """A connection that its server still serves ends with MOVE, or when its client ends it."""
    HALF_REQUEST_CLOSED = "half_request"
    """A connection that stops within a request line is closed."""
    NO_CRASH = "crash"
    """No balancer logs an unforeseen error."""
    TERM_ORDER = "terms"
    """A receiver accepts no effect of a lower term than it has accepted, nor one effect twice."""
    DRAIN_PERMITS = "tickets"
    """No more balancers drain at a time than there are permits."""
    OVERRIDE_APPLIED = "banned"
    """Nothing new goes to a server from a second after an operator's suspension was acknowledged."""
    AGREEMENT = "agreed"
    """At the end all balancers have the same overrides."""


@dataclass(frozen=True, slots=True)
class InvariantLimits:
    """What a run is checked against.

    Attributes:
        drain_grace_s: for which new requests may go to a draining server.
        answer_grace_s: added to each deadline.
        idempotency_window_s: within which an idempotent request may execute again.
        end_visible_s: for which a closed connection may still look open to a stand-in.
        cut_off_window_s: before a connection's end in which a fault may be its cause.
        drain_permits: balancers that may drain at a time; 0: not checked.
    """

    drain_grace_s: float
    answer_grace_s: float = 0.0
    idempotency_window_s: float = 0.0
    end_visible_s: float = 0.1
    cut_off_window_s: float = NEVER
    drain_permits: int = 0


@dataclass(frozen=True, slots=True)
class Violation:
    """An invariant that was not kept.

    Attributes:
        invariant: the rule.
        at_s: on the clock of the records.
        text: what was seen.
        request_id, server: empty where there is none.
        balancer: number; -1 where there is none.
        details: lines of the records that show it.
    """

    invariant: Invariant
    at_s: float
    text: str
    request_id: str = ""
    balancer: int = -1
    server: str = ""
    details: tuple[str, ...] = ()


@dataclass(slots=True)
class CheckResult:
    """What a check found.

    Attributes:
        violations: by time.
        excused: by invariant, the violations that an injected fault accounts for.
        cases: by invariant, how often it could have been violated.
    """

    violations: list[Violation] = field(default_factory=list)
    excused: Counter[Invariant] = field(default_factory=Counter)
    cases: Counter[Invariant] = field(default_factory=Counter)
