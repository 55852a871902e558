"""Figures on coordination for the summary of a scenario's run. Pure."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass
from http import HTTPStatus
from typing import Any

from .history import US_PER_S, FaultInterval, History
from .history_events import DrainAnswered, EffectAcknowledged, HeartbeatRejected, OverrideAnswered, TermBegan

COUNTED_FAULTS = ("kill", "pause", "way", "stop", "store_fault")
HOLDER_FAULTS = ("kill", "pause", "stop")  # that may end a holder's term
OVERRIDE_JOB = "bans"


@dataclass(frozen=True, slots=True)
class _Term:
    began_us: int
    holder: str  # party


def coordination_figures(history: History, lease_us: int) -> dict[str, Any]:
    """Returns terms, effects, operators' calls, and the times from a fault of a lease holder to the next term."""
    terms = [
        _Term(event.at_us, _holder_party(event.data.holder))
        for event in history.each(TermBegan)
        if event.data.job == OVERRIDE_JOB
    ]
    effects = [event.data for event in history.each(EffectAcknowledged)]
    rejected_heartbeats = sum(1 for _ in history.each(HeartbeatRejected))
    override_statuses = [event.data.status for event in history.each(OverrideAnswered)]
    drain_statuses = [event.data.status for event in history.each(DrainAnswered)]
    return {
        "terms": len(terms),
        "taken": sum(effect.is_accepted for effect in effects),
        "late": late_effects(history) + rejected_heartbeats,
        "struck": sum(fault.kind in COUNTED_FAULTS for fault in history.faults),
        "until_next_term_s": _times_until_next_term(history.faults, terms, lease_us),
        "told": override_statuses.count(HTTPStatus.OK),
        "told_later": override_statuses.count(HTTPStatus.ACCEPTED),
        "not_heard": sum(status not in (HTTPStatus.OK, HTTPStatus.ACCEPTED) for status in override_statuses),
        "drained": drain_statuses.count(HTTPStatus.OK),
        "drains_refused": drain_statuses.count(HTTPStatus.SERVICE_UNAVAILABLE),
    }


def late_effects(history: History) -> int:
    """Returns how many effects of an old term were rejected."""
    effects = (event.data for event in history.each(EffectAcknowledged))
    return sum(not effect.is_accepted and effect.term < effect.highest_term for effect in effects)


def _holder_party(holder: str) -> str:
    """Returns the party of a stored holder, `nN/incarnation`."""
    name, _, _ = holder.partition("/")
    return f"balancer:{name[1:]}"


def _times_until_next_term(faults: list[FaultInterval], terms: list[_Term], lease_us: int) -> dict[str, list[float]]:
    found: dict[str, list[float]] = defaultdict(list)
    for fault in faults:
        is_short_pause = fault.kind == "pause" and fault.end_us - fault.begin_us < lease_us
        if fault.kind not in HOLDER_FAULTS or is_short_pause:
            continue  # a holder that was paused for less than its lease holds it still
        before = [term for term in terms if term.began_us <= fault.begin_us]
        after = [term for term in terms if term.began_us > fault.begin_us]
        if before and after and before[-1].holder in fault.parties:
            found[fault.kind].append(round((after[0].began_us - fault.begin_us) / US_PER_S, 3))
    return dict(found)
