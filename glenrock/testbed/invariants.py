"""The table of invariants, and the check of a run's records against it. Pure.

The records are what clients, session servers, discovery, the store and the front end saw, never a balancer's statement
on itself.
"""

from __future__ import annotations

from collections.abc import Callable

from . import coordination_invariants, request_invariants
from .check_context import CheckContext
from .invariant import CheckResult, Invariant, InvariantLimits
from .records import RunRecord

INVARIANTS: dict[Invariant, Callable[[CheckContext], None]] = {
    Invariant.FINAL_ANSWER: request_invariants.check_final_answer,
    Invariant.SINGLE_ATTEMPT: request_invariants.check_single_attempt,
    Invariant.DRAIN_GRACE: request_invariants.check_drain_grace,
    Invariant.SLOW_START_BUDGET: request_invariants.check_slow_start_budget,
    Invariant.CONNECTION_KEPT: request_invariants.check_connection_kept,
    Invariant.PROTOCOL_ANSWER: request_invariants.check_protocol_answer,
    Invariant.SINGLE_EXECUTION: request_invariants.check_single_execution,
    Invariant.NO_REJECT_AFTER_EXECUTION: request_invariants.check_no_reject_after_execution,
    Invariant.CLIENT_PRESENT: request_invariants.check_client_present,
    Invariant.HALF_REQUEST_CLOSED: request_invariants.check_half_request_closed,
    Invariant.NO_CRASH: request_invariants.check_no_crash,
    Invariant.TERM_ORDER: coordination_invariants.check_term_order,
    Invariant.DRAIN_PERMITS: coordination_invariants.check_drain_permits,
    Invariant.OVERRIDE_APPLIED: coordination_invariants.check_override_applied,
    Invariant.AGREEMENT: coordination_invariants.check_agreement,
}


def check(record: RunRecord, limits: InvariantLimits) -> CheckResult:
    """Checks every invariant, and returns the violations in order of time."""
    context = CheckContext(record, limits)
    for rule in INVARIANTS.values():
        rule(context)
    context.result.violations.sort(key=lambda violation: violation.at_s)
    return context.result
