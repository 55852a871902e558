"""HTML reports of a run, a sweep or a comparison, each one self-contained file, and the estimates that they show."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import jinja2
import numpy as np
import numpy.typing as npt

from ..toml_file import InputFileError
from . import plots, record, report_labels
from .report_labels import MEASURE_LABELS
from .stats import bootstrap_interval, sign_test

FloatArray = npt.NDArray[np.float64]

COMPARISON_FORMAT = 1
RATE_LABELS = {"attempts": "attempts at servers", "refused": "rejected requests", "broken": "broken connections"}
"""Labels of the columns of series.csv that count from the start of a run and are plotted as rates."""
Summary = dict[str, Any]
"""A summary as `record.read_summary` returns it."""


def measure_value(summary: Summary, measure: str) -> float | None:
    """Returns a measure of a run, by its path in the summary; None if the run lacks it, as a failed run does."""
    if measure == "rules_broken":
        return float(sum(summary["rules"].values()))
    found: Any = summary
    for key in measure.split("."):
        found = found.get(key) if isinstance(found, dict) else None
    return float(found) if isinstance(found, int | float) else None


def render_template(name: str, **values: Any) -> str:
    """Renders a template of `glenrock/simulation/templates`."""
    loader = jinja2.FileSystemLoader(Path(__file__).parent / "templates")
    environment = jinja2.Environment(loader=loader, autoescape=True, undefined=jinja2.StrictUndefined)
    environment.filters["number"] = _format_number
    environment.globals["labels"] = report_labels
    return environment.get_template(name).render(**values)


def _format_number(number: float | None) -> str:
    if number is None:
        return "-"
    return f"{number:.4g}" if isinstance(number, float) else f"{number:,}"


def render_run(folder: Path) -> str:
    """Returns the report of the run in a folder as HTML. Raises InputFileError if a file is missing or malformed."""
    summary = record.read_summary(folder)
    header, table = record.read_table(folder / "series.csv")
    _, loads = record.read_table(folder / "heat.csv")
    try:
        histograms = json.loads((folder / "histograms.json").read_text(encoding="utf-8"))
    except (OSError, ValueError) as error:
        raise InputFileError(f"{folder / 'histograms.json'}: {error}") from None
    columns = dict(zip(header, table.T, strict=True))
    images = [*_plot_time_series(columns, loads[:, 1:].T, summary["recovery_s"]), plots.percentiles(histograms)]
    return render_template("run.html", summary=summary, images=[plots.data_url(image) for image in images])


def _plot_time_series(columns: dict[str, FloatArray], loads: FloatArray, faults: list[dict[str, Any]]) -> list[bytes]:
    seconds = columns["second"]

    def series(label: str, column: str) -> plots.Series:
        return label, seconds, columns[column]

    def rate(label: str, column: str) -> plots.Series:
        return label, seconds, np.diff(columns[column], prepend=0.0)

    worth_by_class: list[plots.Series] = [
        (
            f"class {name.removeprefix('asked ')}",
            seconds,
            _fraction(columns["served" + name.removeprefix("asked")], demanded),
        )
        for name, demanded in columns.items()
        if name.startswith("asked ")
    ]
    worth: list[plots.Series] = [("all classes", seconds, _fraction(columns["served"], columns["asked"]))]
    worth += worth_by_class if len(worth_by_class) > 1 else []
    load = [series("load", "load"), series("load cap, mean over balancers", "cap")]
    rates = [rate(label, column) for column, label in RATE_LABELS.items()]
    return [
        plots.time_series(
            "Worth: share of the priority-weighted connection time served in time", worth, faults, "worth"
        ),
        plots.time_series("Load of the fleet and the policy's load cap", load, faults, "fraction of capacity"),
        plots.load_heatmap(loads, faults),
        plots.time_series("Connected clients", [series("connected", "standing")], faults, "clients"),
        plots.time_series("Clients waiting at the balancers", [series("waiting", "line")], faults, "clients"),
        plots.time_series("Attempts, rejections and broken connections per second", rates, faults, "per second"),
    ]


def _fraction(parts: FloatArray, wholes: FloatArray) -> FloatArray:
    return np.divide(parts, wholes, out=np.ones_like(parts), where=wholes > 0)


def policies_of(summaries: list[Summary]) -> list[str]:
    """Returns the distinct policies of summaries, in the order of their first summary."""
    return list(dict.fromkeys(summary["policy"] for summary in summaries))


def estimate_points(summaries: list[Summary], measures: list[str]) -> list[dict[str, Any]]:
    """Estimates each measure over the seeds of each point and policy. Returns the rows of `sweep.json`."""
    groups: dict[tuple[str, str], list[Summary]] = {}
    for summary in summaries:
        groups.setdefault((_point_key(summary), summary["policy"]), []).append(summary)
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


def _point_key(summary: Summary) -> str:
    """Returns the swept parameters of a run as a hashable key."""
    return json.dumps(summary.get("where", {}), sort_keys=True)


def _estimate(runs: list[Summary], measure: str) -> list[float] | None:
    """Returns the mean of a measure and the ends of its 95% interval; None if no run has the measure."""
    values = [number for summary in runs if (number := measure_value(summary, measure)) is not None]
    return [round(bound, 6) for bound in bootstrap_interval(values)] if values else None


def curves(rows: list[dict[str, Any]], axis: str, measure: str) -> dict[str, plots.Curve]:
    """Returns a measure along one axis of a sweep, by policy.

    Means and ends of intervals are averaged over the values of the other axes.
    """
    estimates_by_policy: dict[str, dict[Any, list[list[float]]]] = {}
    for row in rows:
        if row["values"][measure] is not None and axis in row["where"]:
            by_value = estimates_by_policy.setdefault(row["policy"], {})
            by_value.setdefault(row["where"][axis], []).append(row["values"][measure])
    return {
        policy: [(x, *_mean_estimate(estimates)) for x, estimates in sorted(by_value.items(), key=_axis_order)]
        for policy, by_value in estimates_by_policy.items()
    }


def _axis_order(item: tuple[Any, Any]) -> tuple[bool, float]:
    """Sort key of an axis: numbers by value, then other values in their given order."""
    is_number = isinstance(item[0], int | float)
    return not is_number, item[0] if is_number else 0


def _mean_estimate(estimates: list[list[float]]) -> plots.Estimate:
    mean, low, high = (sum(bounds) / len(bounds) for bounds in zip(*estimates, strict=True))
    return mean, low, high


def render_sweep(sweep: dict[str, Any]) -> str:
    """Returns the report of a sweep as HTML."""
    rows, axes = sweep["rows"], sweep["axes"]
    images = []
    for axis in axes:
        for measure, label in MEASURE_LABELS.items():
            curves_by_policy = curves(rows, axis, measure)
            if curves_by_policy:
                image = plots.axis_curves(axis, label, curves_by_policy)
                images.append((f"{label}, by {axis}", plots.data_url(image)))
    if not axes:
        for measure, label in MEASURE_LABELS.items():
            policies = [row["policy"] for row in rows if row["values"][measure]]
            estimates = [row["values"][measure] for row in rows if row["values"][measure]]
            if policies:
                image = plots.grouped_bars(label, label, policies, {sweep["experiment"]: estimates})
                images.append((label, plots.data_url(image)))
    return render_template("sweep.html", sweep=sweep, images=images, measures=MEASURE_LABELS)


def compare_runs(first: list[Summary], second: list[Summary], names: tuple[str, str]) -> dict[str, Any]:
    """Compares two sets of runs, paired by point and seed. Returns the content of `compare.json`.

    Raises:
        InputFileError: the sets share no run, which is identified by its point and seed.
    """
    first_by_key = {(_point_key(summary), summary["seed"]): summary for summary in first}
    second_by_key = {(_point_key(summary), summary["seed"]): summary for summary in second}
    common_keys = [key for key in first_by_key if key in second_by_key]
    if not common_keys:
        raise InputFileError(f"{names[0]} and {names[1]}: they have no runs with the same parameters and seed")
    rows = []
    for measure, label in MEASURE_LABELS.items():
        pairs = [
            (a, b)
            for key in common_keys
            if (a := measure_value(first_by_key[key], measure)) is not None
            and (b := measure_value(second_by_key[key], measure)) is not None
        ]
        if pairs:
            rows.append({"measure": measure, "label": label, **_comparison(pairs)})
    seeds = [
        {
            "where": json.loads(point),
            "seed": seed,
            "a": measure_value(first_by_key[point, seed], "worth.goal"),
            "b": measure_value(second_by_key[point, seed], "worth.goal"),
        }
        for point, seed in common_keys
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
