"""Reports: one self-contained HTML file from the results of a run, a sweep or a comparison."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import jinja2
import numpy as np
import numpy.typing as npt

from ..toml_file import InputFileError
from . import plots, record
from .stats import bootstrap_interval, sign_test

Numbers = npt.NDArray[np.float64]

COMPARISON_FORMAT = 1
RATES = ("attempts", "refused", "broken")  # counts of which a report shows the changes
MEASURES = {
    "worth.goal": "goal: the mix of worth, less prices",
    "worth.whole": "worth served over worth asked",
    "worth.worst_window": "worth in the worst 10 s",
    "worth.worst_class": "worth of the worst class",
    "worth.worst_tenant": "worth of the worst tenant",
    "fairness": "fairness over tenants (Jain)",
    "per_client.attempts": "attempts a client",
    "per_client.refused": "refusals a client",
    "per_client.failed": "failures a client",
    "per_client.broken": "breaks a client",
    "per_client.moved": "moves a client",
    "per_client.probes": "probes a client",
    "per_client.peer_bytes": "peer bytes a client",
    "crossing_part": "part of the time that crosses zones",
    "rules_broken": "breaches of rules",
    "clock.cpu_us_per_event": "CPU of the decisions an event (us)",
    "clock.balancer_bytes": "memory of a balancer's decisions (bytes)",
}


Summary = dict[str, Any]
"""A summary as `record.read_summary` returns it."""


def value(summary: Summary, measure: str) -> float | None:
    """Returns a measure of a run; None if the run has none, as one that failed."""
    if measure == "rules_broken":
        return float(sum(summary["rules"].values()))
    found: Any = summary
    for step in measure.split("."):
        found = found.get(step) if isinstance(found, dict) else None
    return float(found) if isinstance(found, int | float) else None


def page(name: str, **values: Any) -> str:
    """Renders a template of this package."""
    loader = jinja2.FileSystemLoader(Path(__file__).parent / "templates")
    environment = jinja2.Environment(loader=loader, autoescape=True, undefined=jinja2.StrictUndefined)
    environment.filters["n"] = _format_number
    return environment.get_template(name).render(**values)


def _format_number(number: float | None) -> str:
    if number is None:
        return "-"
    return f"{number:.4g}" if isinstance(number, float) else f"{number:,}"


def of_run(folder: Path) -> str:
    """Returns the report of the results of a run. Raises InputFileError if the folder holds none."""
    summary = record.read_summary(folder)
    header, table = record.read_table(folder / "series.csv")
    _, loads = record.read_table(folder / "heat.csv")
    try:
        histograms = json.loads((folder / "histograms.json").read_text(encoding="utf-8"))
    except (OSError, ValueError) as error:
        raise InputFileError(f"{folder / 'histograms.json'}: {error}") from None
    columns = dict(zip(header, table.T, strict=True))
    images = [*_time_series(columns, loads[:, 1:].T, summary["recovery_s"]), plots.waits(histograms)]
    return page("run.html", s=summary, images=[plots.address(image) for image in images])


def _time_series(columns: dict[str, Numbers], loads: Numbers, faults: list[dict[str, Any]]) -> list[bytes]:
    seconds = columns["second"]

    def line(label: str, name: str) -> plots.Series:
        return label, seconds, columns[name]

    def changes(name: str) -> plots.Series:
        return name, seconds, np.diff(columns[name], prepend=0.0)

    by_class: list[plots.Series] = [
        (name.removeprefix("asked "), seconds, _fraction(columns["served" + name.removeprefix("asked")], asked))
        for name, asked in columns.items()
        if name.startswith("asked ")
    ]
    served: list[plots.Series] = [("all", seconds, _fraction(columns["served"], columns["asked"]))]
    served += by_class if len(by_class) > 1 else []
    load = [line("load", "load"), line("cap (mean)", "cap")]
    load_title = "Load, and the cap where the policy has one, over the fleet's capacity"
    return [
        plots.over_time("Worth served over worth asked", served, faults, "part"),
        plots.over_time(load_title, load, faults, "part"),
        plots.heat(loads, faults),
        plots.over_time("Clients that stand", [line("standing", "standing")], faults, "clients"),
        plots.over_time("Clients in the lines of the balancers", [line("line", "line")], faults, "clients"),
        plots.over_time("A second", [changes(name) for name in RATES], faults, "count"),
    ]


def _fraction(parts: Numbers, wholes: Numbers) -> Numbers:
    return np.divide(parts, wholes, out=np.ones_like(parts), where=wholes > 0)


def policies_of(summaries: list[Summary]) -> list[str]:
    """Returns the policies of summaries, in the order of their first ones."""
    return list(dict.fromkeys(summary["policy"] for summary in summaries))


def table_of(summaries: list[Summary], measures: list[str]) -> list[dict[str, Any]]:
    """Returns mean and interval of each measure over the seeds, for each point and policy."""
    groups: dict[tuple[str, str], list[Summary]] = {}
    for summary in summaries:
        groups.setdefault((_point_of(summary), summary["policy"]), []).append(summary)
    return [
        {
            "where": json.loads(point),
            "policy": policy,
            "runs": len(runs),
            "failed": sum(bool(summary["failure"]) for summary in runs),
            "values": {measure: _estimate(runs, measure) for measure in measures},
        }
        for (point, policy), runs in groups.items()
    ]


def _point_of(summary: Summary) -> str:
    return json.dumps(summary.get("where", {}), sort_keys=True)


def _estimate(runs: list[Summary], measure: str) -> list[float] | None:
    values = [found for summary in runs if (found := value(summary, measure)) is not None]
    return [round(number, 6) for number in bootstrap_interval(values)] if values else None


def curves(rows: list[dict[str, Any]], axis: str, measure: str) -> dict[str, plots.Curve]:
    """Returns a measure along one axis for each policy, as the mean over the points of the other axes."""
    found: dict[str, dict[Any, list[list[float]]]] = {}
    for row in rows:
        if row["values"][measure] is not None and axis in row["where"]:
            found.setdefault(row["policy"], {}).setdefault(row["where"][axis], []).append(row["values"][measure])
    return {
        policy: [(x, *_mean_estimate(estimates)) for x, estimates in sorted(by_value.items(), key=_axis_order)]
        for policy, by_value in found.items()
    }


def _axis_order(item: tuple[Any, Any]) -> tuple[bool, float]:
    """Sorts numbers by value, before other values, which stay in their order."""
    is_number = isinstance(item[0], int | float)
    return not is_number, item[0] if is_number else 0


def _mean_estimate(estimates: list[list[float]]) -> plots.Estimate:
    mean, low, high = (sum(estimate[part] for estimate in estimates) / len(estimates) for part in range(3))
    return mean, low, high


def of_sweep(sweep: dict[str, Any]) -> str:
    """Returns the report of a sweep."""
    rows, axes = sweep["rows"], sweep["axes"]
    images = []
    for axis in axes:
        for measure, label in MEASURES.items():
            lines = curves(rows, axis, measure)
            if lines:
                images.append((f"{label} against {axis}", plots.address(plots.against(axis, label, lines))))
    if not axes:
        for measure, label in MEASURES.items():
            policies = [row["policy"] for row in rows if row["values"][measure]]
            estimates = [row["values"][measure] for row in rows if row["values"][measure]]
            if policies:
                image = plots.bars(label, label, policies, {sweep["experiment"]: estimates})
                images.append((label, plots.address(image)))
    return page("sweep.html", s=sweep, images=images, measures=MEASURES)


def compared(first: list[Summary], second: list[Summary], names: tuple[str, str]) -> dict[str, Any]:
    """Compares two sets of runs, paired by point and seed. Raises InputFileError if there is no pair."""
    by_first = {(_point_of(summary), summary["seed"]): summary for summary in first}
    by_second = {(_point_of(summary), summary["seed"]): summary for summary in second}
    keys = [key for key in by_first if key in by_second]
    if not keys:
        raise InputFileError(f"{names[0]} and {names[1]}: no seed is in both")
    rows = []
    for measure, label in MEASURES.items():
        pairs = [
            (a, b)
            for key in keys
            if (a := value(by_first[key], measure)) is not None and (b := value(by_second[key], measure)) is not None
        ]
        if pairs:
            rows.append({"measure": measure, "label": label, **_comparison(pairs)})
    seeds = [
        {
            "where": json.loads(point),
            "seed": seed,
            "a": value(by_first[point, seed], "worth.goal"),
            "b": value(by_second[point, seed], "worth.goal"),
        }
        for point, seed in keys
    ]
    return {"format": COMPARISON_FORMAT, "a": names[0], "b": names[1], "rows": rows, "seeds": seeds}


def _comparison(pairs: list[tuple[float, float]]) -> dict[str, Any]:
    differences = [b - a for a, b in pairs]
    mean, low, high = bootstrap_interval(differences)
    return {
        "pairs": len(pairs),
        "a": sum(a for a, _ in pairs) / len(pairs),
        "b": sum(b for _, b in pairs) / len(pairs),
        "difference": mean,
        "low": low,
        "high": high,
        "p": sign_test(differences),
        "wins": sum(difference > 0 for difference in differences),
        "losses": sum(difference < 0 for difference in differences),
    }
