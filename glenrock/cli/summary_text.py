"""Texts of a run's summary that the simulation and the testbed share."""

from __future__ import annotations

from typing import Any


def format_recovery(fault: dict[str, Any]) -> str:
    """Formats the lowest result after a fault, and the time until the result was back."""
    lowest = "-" if fault["lowest"] is None else f"{fault['lowest']:.2f}"
    recovery = "not back" if fault["recovery_s"] is None else f"back after {fault['recovery_s']} s"
    return f"lowest {lowest}, {recovery}"


def format_violations(checks: dict[str, int], file_name: str) -> str:
    """Formats the violations by invariant in one line, which refers to a file of the results; empty if there are none.

    Args:
        checks: counts of violations by invariant.
        file_name: where the violations are described.
    """
    counts = [f"{name} {count} times" for name, count in checks.items() if count]
    return f"rules broken: {', '.join(counts)}; see {file_name}" if counts else ""
