"""Builds the summary of a run, `summary.json`. docs/simulation.md describes its keys."""

from __future__ import annotations

import gc
import sys
from typing import Any

from .engine import SECOND_US
from .fleet_state import FleetState
from .measure import ratio, rounded, summarize_histogram

SUMMARY_FORMAT = 1
MIN_CPU_S = 1e-9  # smallest divisor of a rate, to avoid division by zero
COUNTS_PER_CLIENT = ("tries", "attempts", "refused", "failed", "broken", "moved", "probes", "peer_bytes")


def summarize(state: FleetState, wall_s: float, cpu_s: float) -> dict[str, Any]:
    """Returns the summary of a run that has ended.

    All entries except `clock` and `events_per_s` depend on the experiment, the seed and the policy alone.

    Args:
        state: the run.
        wall_s: wall-clock time of the run, in seconds.
        cpu_s: CPU time of the run, in seconds.
    """
    measure, counts = state.measure, state.measure.counts
    clients = max(1, counts["clients"])
    events = state.engine.events
    decision_cpu_s = sum(balancer.cpu_ns for balancer in state.balancers) / 1e9
    return {
        "format": SUMMARY_FORMAT,
        "experiment": state.experiment.name,
        "seed": state.seed,
        "policy": state.policy,
        "failure": state.failure,
        "worth": measure.worth() if not state.failure else None,
        "rules": dict(state.invariants.counts),
        "breaches": [violation.as_summary() for violation in state.invariants.violations],
        "recovery_s": [recovery.as_summary() for recovery in measure.recoveries(state.faults)],
        "counts": dict(counts),
        "events": events,
        "per_client": {name: rounded(counts[name] / clients) for name in COUNTS_PER_CLIENT},
        "crossing_part": rounded(ratio(measure.cross_zone_s, measure.connection_s) if measure.connection_s else 0.0),
        "fairness": measure.fairness(),
        "setup": {
            class_.name: summarize_histogram(histogram)
            for class_, histogram in zip(state.experiment.classes, measure.setup_waits, strict=True)
        },
        "messages": summarize_histogram(measure.messages),
        "refusals": summarize_histogram(measure.rejections),
        "fleet": {
            "balancers": len(state.balancers),
            "instances": len(state.servers),
            "capacity_cores": rounded(state.workload.capacity / SECOND_US),
            "clients_per_s": rounded(state.workload.clients_per_s),
        },
        "events_per_s": round(events / max(MIN_CPU_S, cpu_s - decision_cpu_s)),
        "clock": _timings(state, wall_s, cpu_s, decision_cpu_s),
    }


def _timings(state: FleetState, wall_s: float, cpu_s: float, decision_cpu_s: float) -> dict[str, Any]:
    counts = state.measure.counts
    handled = sum(balancer.handled_events for balancer in state.balancers)
    policy = state.balancers[0].policy
    return {
        "wall_s": round(wall_s, 3),
        "cpu_s": round(cpu_s, 3),
        "handle_s": round(decision_cpu_s, 3),
        "handle_part": round(decision_cpu_s / max(MIN_CPU_S, cpu_s), 4),
        "decided_events": handled,
        "cpu_us_per_event": round(decision_cpu_s * 1e6 / max(1, handled), 2),
        "cpu_us_per_client": round(decision_cpu_s * 1e6 / max(1, counts["clients"]), 2),
        "requests_per_core_hour": round(counts["tries"] / max(MIN_CPU_S, cpu_s - decision_cpu_s) * 3600),
        "balancer_bytes": deep_size(policy) if policy else 0,
    }


def deep_size(root: object) -> int:
    """Returns the size in bytes of an object and of all it refers to, except modules, classes and functions."""
    seen: set[int] = set()
    pending, total = [root], 0
    skipped = (type, type(sys), type(deep_size), type(gc.collect))
    while pending:
        item = pending.pop()
        if id(item) in seen or isinstance(item, skipped):
            continue
        seen.add(id(item))
        total += sys.getsizeof(item)
        pending.extend(gc.get_referents(item))
    return total
