"""Invariants of requests, connections and servers. Pure.

A violation that an injected fault accounts for is excused: the fault affected one of the parties during the
request. A fault elsewhere excuses nothing.
"""

from __future__ import annotations

import itertools
from collections import defaultdict

from ..routing.interface import Idempotency
from .check_context import CheckContext, Disturbance
from .invariant import NEVER, Invariant, Violation
from .records import (
    CLIENTS,
    DISCOVERY,
    AttemptRecord,
    ConnectionEnd,
    ListedRecord,
    RequestRecord,
    balancer_party,
)
from .request_line import RESUME_TIMEOUT_S

SLACK_S = 0.05  # added to each time limit on sockets
LATE_ANSWER_S = 0.5  # an answer that is late by no more than this is no violation
LEFT_NOTICE_S = 0.1  # nothing is forwarded later than this after its client left
HALF_REQUEST_TIMEOUT_S = 3.0
ANSWER_WORDS = ("UP", "BUSY", "ERR")
SERVING = "SERVING"
ERROR_LOG_TEXTS = ("Traceback", "unexpected error", "an actor ended")


def _answer_limit_s(request: RequestRecord, context: CheckContext) -> float:
    """Returns when the answer is due. The time for which the balancer's process was stopped does not count."""
    wait_s = RESUME_TIMEOUT_S if request.resumes_at else request.deadline_ms / 1000
    limit_s = request.sent_s + wait_s + context.limits.answer_grace_s + LATE_ANSWER_S
    for stall in context.record.stalls:
        if stall.balancer == request.balancer and request.sent_s < stall.ended_s and stall.began_s < limit_s:
            limit_s += stall.ended_s - max(stall.began_s, request.sent_s)
    return limit_s


def _answer_disturbance(request: RequestRecord, limit_s: float) -> Disturbance:
    to_s = min(limit_s, request.answered_s)
    return Disturbance(request.sent_s, to_s, (CLIENTS, balancer_party(request.balancer)))


def check_final_answer(context: CheckContext) -> None:
    """Each request that a balancer has taken gets exactly one final answer in time."""
    for request in context.record.requests:
        limit_s = _answer_limit_s(request, context)
        if request.sent_s == NEVER or limit_s > context.record.ended_s:
            continue
        context.count_case(Invariant.FINAL_ANSWER)
        if request.left_s < limit_s and not request.answer:
            continue
        if request.answers > 1:
            text = f"{request.answers} final answers"
            context.report_request(Invariant.FINAL_ANSWER, request, request.sent_s, text)
            continue
        if text := _missing_answer(request, limit_s):
            disturbance = _answer_disturbance(request, limit_s)
            context.report_request(Invariant.FINAL_ANSWER, request, request.sent_s, text, disturbance)


def _missing_answer(request: RequestRecord, limit_s: float) -> str:
    """Returns what is wrong with the time of an answer, or an empty text."""
    if not request.answer:
        return f"no answer: connection {request.end.value}"
    if request.answered_s > limit_s:
        return f"answered {1000 * (request.answered_s - request.sent_s):.0f} ms after it was sent"
    if request.resumes_at and not request.is_up:
        return "a connection that was open before the run was not set up again"
    return ""


def check_protocol_answer(context: CheckContext) -> None:
    """Clients receive the protocol's answers and their session server's lines alone."""
    for request in context.record.requests:
        if request.unexpected:
            text = f"unexpected {request.unexpected}"
            context.report_request(Invariant.PROTOCOL_ANSWER, request, request.sent_s, text)
        if not request.answer:
            continue
        context.count_case(Invariant.PROTOCOL_ANSWER)
        if request.answer.split(" ")[0] not in ANSWER_WORDS:
            disturbance = _answer_disturbance(request, _answer_limit_s(request, context))
            text = f"{request.answer!r} is no answer of the protocol"
            context.report_request(Invariant.PROTOCOL_ANSWER, request, request.sent_s, text, disturbance)


def check_no_reject_after_execution(context: CheckContext) -> None:
    """BUSY invites a retry, so a request that is not idempotent gets it only if no attempt may have executed."""
    for request in context.record.requests:
        if request.idempotency is not Idempotency.UNSAFE or not request.answer.startswith("BUSY"):
            continue
        context.count_case(Invariant.NO_REJECT_AFTER_EXECUTION)
        if any(attempt.answer != "BUSY" for attempt in context.attempts_of(request.request_id)):
            disturbance = _answer_disturbance(request, _answer_limit_s(request, context))
            text = "rejected though an attempt may have executed"
            context.report_request(Invariant.NO_REJECT_AFTER_EXECUTION, request, request.sent_s, text, disturbance)


def check_connection_kept(context: CheckContext) -> None:
    """A connection that its server still serves ends with MOVE, or when its client ends it."""
    for request in context.record.requests:
        if not request.is_up or request.ended_s == NEVER:
            continue
        context.count_case(Invariant.CONNECTION_KEPT)
        if request.is_migrated or request.left_s < NEVER or request.end is ConnectionEnd.OPEN:
            continue
        served = [attempt for attempt in context.attempts_of(request.request_id) if attempt.up_s < NEVER]
        if any(attempt.ended_by_server or attempt.hung_s < request.ended_s for attempt in served):
            continue
        from_s = max(request.answered_s, request.ended_s - context.limits.cut_off_window_s)
        disturbance = Disturbance(from_s, request.ended_s, (CLIENTS, balancer_party(request.balancer), request.server))
        text = f"ended without MOVE: connection {request.end.value}"
        context.report_request(Invariant.CONNECTION_KEPT, request, request.ended_s, text, disturbance)


def check_single_attempt(context: CheckContext) -> None:
    """A request never has two attempts in flight."""
    for attempts in context.attempts.values():
        context.count_case(Invariant.SINGLE_ATTEMPT)
        for before, after in itertools.pairwise(attempts):
            if before.ended_s <= after.first_byte_s + context.limits.end_visible_s:
                continue
            balancer = context.balancer_of(before)
            to_s = before.ended_s if before.ended_s < NEVER else after.first_byte_s
            disturbance = Disturbance(before.first_byte_s, to_s, (balancer_party(balancer), before.server))
            text = f"an attempt at {before.server} was still in flight"
            _report_attempt(context, Invariant.SINGLE_ATTEMPT, after, text, disturbance)


def check_single_execution(context: CheckContext) -> None:
    """A request that is not idempotent executes once; an idempotent one executes again within its window only."""
    window_s = context.limits.idempotency_window_s + SLACK_S
    for request_id, attempts in context.attempts.items():
        request = context.requests.get(request_id)
        if request is None or request.resumes_at or request.idempotency is Idempotency.SAFE:
            continue
        context.count_case(Invariant.SINGLE_EXECUTION)
        executed = [attempt for attempt in attempts if attempt.answer != "BUSY"]
        if len(executed) < 2:
            continue
        span_s = executed[-1].last_byte_s - executed[0].last_byte_s
        if request.idempotency is Idempotency.UNSAFE or span_s > window_s:
            text = f"executed again after {span_s:.3f} s"
            context.report_request(Invariant.SINGLE_EXECUTION, request, executed[-1].last_byte_s, text)


def check_client_present(context: CheckContext) -> None:
    """Nothing is forwarded for a client that has left."""
    allowance_s = LEFT_NOTICE_S + context.limits.end_visible_s
    for request_id, attempts in context.attempts.items():
        request = context.requests.get(request_id)
        if request is None:
            continue
        left_s = min(request.left_s, request.gave_up_s)
        for attempt in attempts:
            context.count_case(Invariant.CLIENT_PRESENT)
            if attempt.first_byte_s > left_s + allowance_s:
                parties = (CLIENTS, balancer_party(request.balancer), attempt.server)
                disturbance = Disturbance(left_s, attempt.first_byte_s, parties)
                text = f"forwarded {attempt.first_byte_s - left_s:.3f} s after its client had left"
                context.report_request(Invariant.CLIENT_PRESENT, request, attempt.first_byte_s, text, disturbance)


def check_drain_grace(context: CheckContext) -> None:
    """Nothing new goes to a draining server after its grace period, counted from when the balancer was notified."""
    listed: dict[tuple[int, str], list[ListedRecord]] = defaultdict(list)
    for row in context.record.listed:
        listed[row.balancer, row.server].append(row)
    for attempt in context.record.attempts:
        balancer = context.balancer_of(attempt)
        since_s = _draining_since_s(listed.get((balancer, attempt.server), []), attempt.first_byte_s)
        if since_s == NEVER:
            continue
        context.count_case(Invariant.DRAIN_GRACE)
        if attempt.first_byte_s > since_s + context.limits.drain_grace_s + SLACK_S:
            disturbance = Disturbance(since_s, attempt.first_byte_s, (balancer_party(balancer), DISCOVERY))
            text = f"sent {attempt.first_byte_s - since_s:.3f} s after the notice that {attempt.server} drains"
            _report_attempt(context, Invariant.DRAIN_GRACE, attempt, text, disturbance)


def _draining_since_s(rows: list[ListedRecord], at_s: float) -> float:
    """Returns since when a server was not serving at a time, as its balancer was notified; NEVER where it was."""
    since_s = NEVER
    for row in rows:
        if row.at_s > at_s:
            break
        since_s = NEVER if row.status == SERVING else min(since_s, row.at_s)
    return since_s


def check_slow_start_budget(context: CheckContext) -> None:
    """No server is overloaded while it warms up."""
    context.result.cases[Invariant.SLOW_START_BUDGET] += context.record.server_starts
    for overload in context.record.overloads:
        violation = Violation(
            Invariant.SLOW_START_BUDGET,
            overload.at_s,
            "overloaded while warming up",
            overload.request_id,
            overload.balancer,
            overload.server,
        )
        context.report(violation)


def check_half_request_closed(context: CheckContext) -> None:
    """A connection that stops within a request line is closed."""
    for half in context.record.half_requests:
        context.count_case(Invariant.HALF_REQUEST_CLOSED)
        if half.ended_s > half.sent_s + HALF_REQUEST_TIMEOUT_S + LATE_ANSWER_S:
            text = f"half a request was left open for {half.ended_s - half.sent_s:.3f} s"
            violation = Violation(Invariant.HALF_REQUEST_CLOSED, half.sent_s, text, balancer=half.balancer)
            context.report(violation)


def check_no_crash(context: CheckContext) -> None:
    """No balancer logs an unforeseen error. Reports the first line of each balancer."""
    for balancer, lines in context.record.log_lines.items():
        context.count_case(Invariant.NO_CRASH)
        found = next((line for line in lines if any(text in line for text in ERROR_LOG_TEXTS)), None)
        if found is not None:
            context.report(Violation(Invariant.NO_CRASH, context.record.ended_s, f"log: {found}", balancer=balancer))


def _report_attempt(
    context: CheckContext, invariant: Invariant, attempt: AttemptRecord, text: str, disturbance: Disturbance
) -> None:
    request = context.requests.get(attempt.request_id)
    if request is not None:
        context.report_request(invariant, request, attempt.first_byte_s, text, disturbance)
        return
    balancer = context.balancer_of(attempt)
    violation = Violation(invariant, attempt.first_byte_s, text, attempt.request_id, balancer, attempt.server)
    context.report(violation, disturbance)
