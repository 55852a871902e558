"""Formats parts of a summary that the commands of the simulation and of the testbed both print."""

from __future__ import annotations

from typing import Any

from ..simulation.report_labels import FAULT_LABELS, VIOLATION_LABELS


def format_worth(worth: dict[str, Any]) -> str:
    """Formats the worth of a run and of its worst parts in one line."""
    return (
        f"worth (share of the priority-weighted connection time served in time): whole run {worth['whole']:.3f}, "
        f"worst 10 s {worth['worst_window']:.3f}, worst class {worth['worst_class']:.3f}, "
        f"worst tenant {worth['worst_tenant']:.3f}; goal (weighted mean of these, less costs) {worth['goal']:.3f}"
    )


def format_recovery(fault: dict[str, Any]) -> str:
    """Formats a fault, the lowest worth in a second after it, and the time until the worth had recovered."""
    label = FAULT_LABELS.get(fault["kind"], fault["kind"])
    lowest = "not measured" if fault["lowest"] is None else f"{fault['lowest']:.2f}"
    recovery = "not recovered" if fault["recovery_s"] is None else f"recovered after {fault['recovery_s']} s"
    return f"{label} at {fault['from_s']:.1f} s: lowest worth {lowest}, {recovery}"


def violation_label(invariant: str) -> str:
    """Returns what a violation of an invariant is, by the invariant's key in the summary."""
    return VIOLATION_LABELS.get(invariant, invariant)


def format_violations(counts: dict[str, int], file_name: str) -> str:
    """Formats the violated invariants in one line that refers to a file of the results; empty if there are none.

    Args:
        counts: number of violations, by invariant.
        file_name: the file that describes the violations.
    """
    violated = [f"{violation_label(invariant)} ({count})" for invariant, count in counts.items() if count]
    return f"invariants violated: {', '.join(violated)}; see {file_name}" if violated else ""
