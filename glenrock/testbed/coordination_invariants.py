"""Invariants of coordination: terms, drain permits, operators' overrides, and agreement at the end. Pure."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass
from http import HTTPStatus

from .check_context import CheckContext, Disturbance
from .invariant import Invariant, Violation
from .records import STORE, AttemptRecord, EffectRecord, OverrideRecord, balancer_party
from .request_invariants import SLACK_S

OVERRIDE_PROPAGATION_S = 1.0  # an acknowledged suspension reaches every balancer that can be reached
DRAIN_SIGHTING_GAP_S = 0.6  # the front end sends PING more often than this


def check_term_order(context: CheckContext) -> None:
    """A receiver accepts no effect of a lower term than it has accepted, nor one effect twice, over its restarts.

    Acknowledgements to different lease holders take different paths, so they are put in the receiver's own order.
    """
    last: dict[tuple[str, str], tuple[int, int]] = {}
    for effect in sorted(context.record.effects, key=lambda effect: (effect.incarnation, effect.order)):
        if not effect.is_accepted:
            continue
        context.count_case(Invariant.TERM_ORDER)
        key, mark = (effect.receiver, effect.job), (effect.term, effect.number)
        highest = last.get(key, (0, 0))
        if mark <= highest:
            context.report(_term_violation(effect, highest))
        last[key] = max(mark, highest)


def _term_violation(effect: EffectRecord, highest: tuple[int, int]) -> Violation:
    text = (
        f"{effect.receiver} accepted {effect.job} term {effect.term} number {effect.number} "
        f"after term {highest[0]} number {highest[1]}"
    )
    return Violation(Invariant.TERM_ORDER, effect.at_s, text)


def check_drain_permits(context: CheckContext) -> None:
    """No drain begins while as many balancers drain as there are permits, as the front end sees them.

    A balancer that loses its permit stays drained, so one that a fault cut off from the store, or held up, in its drain
    counts as without a permit.
    """
    permits = context.limits.drain_permits
    if not permits:
        return
    spans = _drain_spans(context)
    context.result.cases[Invariant.DRAIN_PERMITS] += len(spans)
    # At one instant, beginnings come before ends, as a drain that was seen once begins and ends at the same instant.
    edges = [_DrainEdge(span.from_s, False, span.balancer) for span in spans]
    edges += [_DrainEdge(span.to_s, True, span.balancer) for span in spans]
    began_s: dict[int, float] = {}
    for edge in sorted(edges, key=lambda edge: (edge.at_s, edge.is_end)):
        if edge.is_end:
            began_s.pop(edge.balancer, None)
            continue
        _check_drain_begin(context, edge, began_s)
        began_s[edge.balancer] = edge.at_s


def _check_drain_begin(context: CheckContext, edge: _DrainEdge, began_s: dict[int, float]) -> None:
    """Checks that fewer balancers drain with a permit than there are permits.

    Args:
        context: the records and limits.
        edge: the beginning of a drain.
        began_s: the other drains in progress: when they began, by balancer.
    """
    permits = context.limits.drain_permits
    if len(began_s) < permits:
        return
    undisturbed = [
        balancer
        for balancer, at_s in began_s.items()
        if not context.is_disturbed(
            Invariant.DRAIN_PERMITS, Disturbance(at_s, edge.at_s, (balancer_party(balancer), STORE))
        )
    ]
    if len(undisturbed) < permits:
        context.result.excused[Invariant.DRAIN_PERMITS] += 1
        return
    text = f"balancers {sorted([*began_s, edge.balancer])} drain at a time, {permits} may"
    context.report(Violation(Invariant.DRAIN_PERMITS, edge.at_s, text))


@dataclass(slots=True)
class _DrainSpan:
    """A drain as the front end saw it: sightings without a gap."""

    balancer: int
    from_s: float
    to_s: float


@dataclass(frozen=True, slots=True)
class _DrainEdge:
    """The beginning or the end of a drain."""

    at_s: float
    is_end: bool
    balancer: int


def _drain_spans(context: CheckContext) -> list[_DrainSpan]:
    """Returns the drains, by balancer."""
    spans: dict[int, list[_DrainSpan]] = defaultdict(list)
    for sighting in context.record.drains:
        found = spans[sighting.balancer]
        if found and sighting.at_s - found[-1].to_s < DRAIN_SIGHTING_GAP_S:
            found[-1].to_s = sighting.at_s
        else:
            found.append(_DrainSpan(sighting.balancer, sighting.at_s, sighting.at_s))
    return [span for found in spans.values() for span in found]


def check_override_applied(context: CheckContext) -> None:
    """Nothing new goes to a server from OVERRIDE_PROPAGATION_S after an operator's suspension was acknowledged.

    A balancer that could not be reached in that time is excused: paused, down, or cut off from the store.
    """
    suspended_s: dict[str, float] = {}
    requested: dict[str, bool] = {}
    events: list[OverrideRecord | AttemptRecord] = [*context.record.overrides, *context.record.attempts]
    for event in sorted(events, key=_event_time_s):
        match event:
            case OverrideRecord(status=None):
                requested[event.server] = event.is_suspended
                if not event.is_suspended:
                    suspended_s.pop(event.server, None)
            case OverrideRecord(is_suspended=True):
                if event.status != HTTPStatus.OK:
                    # Not acknowledged: it may be applied later, and the check of agreement covers the end.
                    context.result.excused[Invariant.OVERRIDE_APPLIED] += 1
                elif requested.get(event.server, True):
                    suspended_s.setdefault(event.server, event.at_s)
            case AttemptRecord() if event.server in suspended_s:
                _check_suspended(context, event, suspended_s[event.server])


def _event_time_s(event: OverrideRecord | AttemptRecord) -> float:
    return event.at_s if isinstance(event, OverrideRecord) else event.first_byte_s


def _check_suspended(context: CheckContext, attempt: AttemptRecord, since_s: float) -> None:
    context.count_case(Invariant.OVERRIDE_APPLIED)
    past_s = attempt.first_byte_s - since_s
    if past_s <= OVERRIDE_PROPAGATION_S + SLACK_S:
        return
    balancer = context.balancer_of(attempt)
    violation = Violation(
        Invariant.OVERRIDE_APPLIED,
        attempt.first_byte_s,
        f"sent {1000 * past_s:.0f} ms after its suspension was acknowledged",
        attempt.request_id,
        balancer,
        attempt.server,
    )
    context.report(violation, Disturbance(since_s, attempt.first_byte_s, (balancer_party(balancer), STORE)))


def check_agreement(context: CheckContext) -> None:
    """At the end all balancers have the same overrides."""
    context.count_case(Invariant.AGREEMENT)
    for text in context.record.disagreements:
        context.report(Violation(Invariant.AGREEMENT, context.record.ended_s, f"at the end {text}"))
