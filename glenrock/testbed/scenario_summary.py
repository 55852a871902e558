"""The summary of a scenario's run: the simulation's keys, and `excused`, `seen`, `list`, `processes`, `together`."""

from __future__ import annotations

import os
from typing import Any

from ..lab.measure import rounded, told
from . import coordination_invariants, history_invariants
from .history import S
from .history_invariants import Verdict
from .scenario import drawn_number
from .scenario_testbed import ScenarioTestbed

FORMAT = 1
MAX_VIOLATIONS = 20
PER_CLIENT_COUNTS = ("tries", "attempts", "refused", "failed", "broken", "moved", "probes", "peer_bytes")


def summary(
    bed: ScenarioTestbed, verdict: Verdict, cpu_s: dict[int, float], wall_s: float, rig_cpu_s: float
) -> dict[str, Any]:
    """Returns the content of `summary.json`. `cpu_s`: of each balancer; `rig_cpu_s`: of this process."""
    measure, counts = bed.measure, bed.measure.counts
    counts["attempts"] = sum(server.attempts for server in bed.servers)
    counts["probes"] = sum(1 for _ in bed.history.each("probed"))
    counts["list_calls"], counts["list_refused"] = bed.discovery.calls, bed.discovery.refused
    counts["datagrams"], counts["datagrams_lost"] = bed.datagram_relays.carried, bed.datagram_relays.lost
    clients = max(1, counts["clients"])
    found: dict[str, Any] = {
        "format": FORMAT,
        "experiment": bed.scenario.name,
        "seed": bed.seed,
        "policy": "processes",
        "failure": "",
        "worth": measure.worth(),
        "rules": {
            name: sum(violation.rule == name for violation in verdict.breaches) for name in history_invariants.CHECKS
        },
        "excused": dict(verdict.excused),
        "seen": dict(verdict.seen),
        "breaches": _violations(bed, verdict),
        "recovery_s": measure.recovery(_faults(bed)),
        "counts": dict(counts),
        "per_client": {key: rounded(counts[key] / clients) for key in PER_CLIENT_COUNTS},
        "crossing_part": 0.0,
        "fairness": measure.fairness(),
        "setup": {
            kind.name: told(histogram) for kind, histogram in zip(bed.scenario.classes, measure.waits, strict=True)
        },
        "messages": told(measure.messages),
        "refusals": told(measure.refusals),
        "fleet": {
            "balancers": bed.balancer_count,
            "instances": len(bed.servers),
            "capacity_cores": rounded(bed.plan.capacity / S),
            "clients_per_s": rounded(bed.plan.per_s),
        },
        "list": _discovery(bed),
        "processes": {
            balancer.name: {"lives": balancer.lives, "cpu_s": rounded(cpu_s.get(balancer.number, 0.0))}
            for balancer in bed.balancers
        },
    }
    if bed.store:
        lease_us = round(drawn_number(bed.scenario.together.lease_ms) * 1000)
        found["together"] = coordination_invariants.figures(bed.history, lease_us)
    found["clock"] = {
        "wall_s": round(wall_s, 3),
        "cpu_s": round(rig_cpu_s, 3),
        "cores": os.cpu_count() or 1,
        "events": len(bed.history.events),
    }
    return found


def _violations(bed: ScenarioTestbed, verdict: Verdict) -> list[dict[str, Any]]:
    return [
        {
            "rule": violation.rule,
            "at_s": rounded((violation.at - bed.engine.day) / S),
            "text": violation.text,
            "request": violation.id,
            "balancer": violation.balancer,
            "instance": violation.instance,
            "led": list(violation.led),
        }
        for violation in verdict.breaches[:MAX_VIOLATIONS]
    ]


def _faults(bed: ScenarioTestbed) -> list[dict[str, Any]]:
    day_us = bed.engine.day
    return [
        {
            "kind": interval.kind,
            "from_s": rounded((interval.begin - day_us) / S),
            "to_s": rounded(min(bed.length_s, (interval.end - day_us) / S)),
        }
        for interval in bed.history.spells
        if interval.begin - day_us < bed.length_s * S
    ]


def _discovery(bed: ScenarioTestbed) -> dict[str, Any]:
    """Cost of the start at the discovery service; times are seconds from the start of the first process."""
    heard_s = sorted(round(at_s - bed.started_s, 3) for at_s in bed.discovery.heard.values())
    percentiles = {
        f"p{percent}_s": heard_s[max(0, percent * len(heard_s) // 100 - 1)] if heard_s else None
        for percent in (50, 95, 100)
    }
    return {
        "heard": len(heard_s),
        **percentiles,
        "calls": bed.discovery.calls,
        "refused": bed.discovery.refused,
        "longest_line": bed.discovery.longest,
    }
