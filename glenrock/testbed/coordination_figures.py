"""Figures on coordination for the summary of a scenario's run. Pure."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass
from typing import Any

from .history import US_PER_S, EventKind, FaultInterval, History

COUNTED_FAULTS = ("kill", "pause", "way", "stop", "store_fault")
HOLDER_FAULTS = ("kill", "pause", "stop")  # that may end a holder's term
OVERRIDE_JOB = "bans"
HTTP_OK, HTTP_ACCEPTED, HTTP_UNAVAILABLE = 200, 202, 503


@dataclass(frozen=True, slots=True)
class _Term:
    began_us: int
    holder: str  # party


def coordination_figures(history: History, lease_us: int) -> dict[str, Any]:
    """Returns terms, effects, operators' calls, and the times until the next term after the holder was struck."""
    terms = [
        _Term(event.at_us, _holder_party(event.data["holder"]))
        for event in history.each(EventKind.TERM_BEGAN)
        if event.data["job"] == OVERRIDE_JOB
    ]
    effects = [event.data for event in history.each(EventKind.EFFECT_ACKNOWLEDGED)]
    rejected_marks = sum(1 for _ in history.each(EventKind.MARK_REJECTED))
    override_statuses = [event.data["status"] for event in history.each(EventKind.OVERRIDE_ANSWERED)]
    drain_statuses = [event.data["status"] for event in history.each(EventKind.DRAIN_ANSWERED)]
    return {
        "terms": len(terms),
        "taken": sum(effect["ok"] for effect in effects),
        "late": sum(not effect["ok"] and effect["term"] < effect["seen"] for effect in effects) + rejected_marks,
        "struck": sum(fault.kind in COUNTED_FAULTS for fault in history.faults),
        "until_next_term_s": _times_until_next_term(history.faults, terms, lease_us),
        "told": override_statuses.count(HTTP_OK),
        "told_later": override_statuses.count(HTTP_ACCEPTED),
        "not_heard": sum(status not in (HTTP_OK, HTTP_ACCEPTED) for status in override_statuses),
        "drained": drain_statuses.count(HTTP_OK),
        "drains_refused": drain_statuses.count(HTTP_UNAVAILABLE),
    }


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
