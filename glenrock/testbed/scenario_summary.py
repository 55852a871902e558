"""The summary of a scenario's run: the simulation's keys, and `excused`, `seen`, `list`, `processes`, `together`."""

from __future__ import annotations

import os
from collections import Counter
from typing import Any

from .coordination_figures import coordination_figures, late_effects
from .history import US_PER_S
from .history_events import EffectAcknowledged, HealthCheckReceived
from .invariant import CheckResult, Invariant
from .invariants import INVARIANTS
from .scenario import drawn_number
from .scenario_testbed import ScenarioTestbed
from .simulation_model import FaultPeriod, rounded, summarize_histogram

FORMAT = 1
MAX_VIOLATIONS = 20
PER_CLIENT_COUNTS = ("tries", "attempts", "refused", "failed", "broken", "moved", "probes", "peer_bytes")


def summary(
    bed: ScenarioTestbed, check: CheckResult, cpu_s: dict[int, float], wall_s: float, rig_cpu_s: float
) -> dict[str, Any]:
    """Returns the content of `summary.json`. `cpu_s`: of each balancer; `rig_cpu_s`: of this process."""
    clients = max(1, bed.measure.counts["clients"])
    counts = _counts(bed)
    found: dict[str, Any] = {
        "format": FORMAT,
        "experiment": bed.scenario.name,
        "seed": bed.seed,
        "policy": "processes",
        "failure": "",
        "worth": bed.measure.worth(),
        "rules": _rules(check),
        "excused": _by_word(check.excused),
        "seen": _cases(bed, check),
        "breaches": _violations(bed, check),
        "recovery_s": [recovery.as_summary() for recovery in bed.measure.recoveries(_faults(bed))],
        "counts": counts,
        "per_client": {key: rounded(counts[key] / clients) for key in PER_CLIENT_COUNTS},
        **_service(bed),
        "list": _discovery(bed),
        "processes": {
            balancer.party: {"lives": balancer.incarnation, "cpu_s": rounded(cpu_s.get(balancer.number, 0.0))}
            for balancer in bed.balancers
        },
    }
    if bed.store:
        lease_us = round(drawn_number(bed.scenario.together.lease_ms) * 1000)
        found["together"] = coordination_figures(bed.history, lease_us)
    found["clock"] = {
        "wall_s": round(wall_s, 3),
        "cpu_s": round(rig_cpu_s, 3),
        "cores": os.cpu_count() or 1,
        "events": len(bed.history.events),
    }
    return found


def _counts(bed: ScenarioTestbed) -> dict[str, int]:
    """Returns the counts of the measures, with those that the stand-ins have."""
    counts = bed.measure.counts
    counts["attempts"] = sum(server.attempts for server in bed.servers)
    counts["probes"] = sum(1 for _ in bed.history.each(HealthCheckReceived))
    counts["list_calls"], counts["list_refused"] = bed.call_queue.calls, _rejected_calls(bed)
    counts["datagrams"], counts["datagrams_lost"] = bed.datagram_relays.delivered, bed.datagram_relays.lost
    return dict(counts)


def _service(bed: ScenarioTestbed) -> dict[str, Any]:
    """Returns how clients were served, and the size of the fleet, in the simulation's form."""
    measure, workload = bed.measure, bed.workload
    return {
        "crossing_part": 0.0,
        "fairness": measure.fairness(),
        "setup": {
            kind.name: summarize_histogram(histogram)
            for kind, histogram in zip(bed.scenario.classes, measure.setup_waits, strict=True)
        },
        "messages": summarize_histogram(measure.messages),
        "refusals": summarize_histogram(measure.rejections),
        "fleet": {
            "balancers": bed.balancer_count,
            "instances": len(bed.servers),
            "capacity_cores": rounded(workload.capacity / US_PER_S),
            "clients_per_s": rounded(workload.clients_per_s),
        },
    }


def _rules(check: CheckResult) -> dict[str, int]:
    found = Counter(violation.invariant for violation in check.violations)
    return {invariant.value: found[invariant] for invariant in INVARIANTS}


def _by_word(counts: Counter[Invariant]) -> dict[str, int]:
    return {invariant.value: count for invariant, count in counts.items()}


def _cases(bed: ScenarioTestbed, check: CheckResult) -> dict[str, int]:
    """Cases by invariant, and under `late` the effects of an old term that were rejected."""
    found = _by_word(check.cases)
    if any(not event.data.is_accepted for event in bed.history.each(EffectAcknowledged)):
        found["late"] = late_effects(bed.history)
    return found


def _violations(bed: ScenarioTestbed, check: CheckResult) -> list[dict[str, Any]]:
    return [
        {
            "rule": violation.invariant.value,
            "at_s": rounded(violation.at_s - bed.engine.measured_from_us / US_PER_S),
            "text": violation.text,
            "request": violation.request_id,
            "balancer": violation.balancer,
            "instance": violation.server,
            "led": list(violation.details),
        }
        for violation in check.violations[:MAX_VIOLATIONS]
    ]


def _faults(bed: ScenarioTestbed) -> list[FaultPeriod]:
    measured_from_us = bed.engine.measured_from_us
    return [
        FaultPeriod(
            fault.kind,
            rounded((fault.begin_us - measured_from_us) / US_PER_S),
            rounded(min(bed.length_s, (fault.end_us - measured_from_us) / US_PER_S)),
        )
        for fault in bed.history.faults
        if fault.begin_us - measured_from_us < bed.length_s * US_PER_S
    ]


def _rejected_calls(bed: ScenarioTestbed) -> int:
    return sum(agent.rejected_calls for agent in bed.agents)


def _discovery(bed: ScenarioTestbed) -> dict[str, Any]:
    """Cost of the start at the discovery service; times are seconds from the start of the first process."""
    first_answers_s = [agent.first_answer_s for agent in bed.agents if agent.first_answer_s is not None]
    heard_s = sorted(round(at_s - bed.started_s, 3) for at_s in first_answers_s)
    shares = {
        f"p{percent}_s": heard_s[max(0, percent * len(heard_s) // 100 - 1)] if heard_s else None
        for percent in (50, 95, 100)
    }
    return {
        "heard": len(heard_s),
        **shares,
        "calls": bed.call_queue.calls,
        "refused": _rejected_calls(bed),
        "longest_line": bed.call_queue.longest,
    }
