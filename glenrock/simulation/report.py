"""Reports for people: one self-contained HTML file from what a run, a sweep or a comparison left on disk."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import jinja2
import numpy as np

from ..toml_file import InputFileError
from . import plots, record
from .stats import interval, sign_test

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


def value(summary: dict[str, Any], measure: str) -> float | None:
    """One measure of a run; None where it has none, as a run that failed."""
    if measure == "rules_broken":
        return float(sum(summary["rules"].values()))
    here: Any = summary
    for step in measure.split("."):
        here = here.get(step) if isinstance(here, dict) else None
    return float(here) if isinstance(here, int | float) else None


def page(name: str, **given: Any) -> str:
    loader = jinja2.FileSystemLoader(Path(__file__).parent / "templates")
    env = jinja2.Environment(loader=loader, autoescape=True, undefined=jinja2.StrictUndefined)
    env.filters["n"] = lambda x: "-" if x is None else f"{x:.4g}" if isinstance(x, float) else f"{x:,}"
    return env.get_template(name).render(**given)


def of_run(folder: Path) -> str:
    summary = record.read_summary(folder)
    header, table = record.read_table(folder / "series.csv")
    _, loads = record.read_table(folder / "heat.csv")
    try:
        kept = json.loads((folder / "histograms.json").read_text(encoding="utf-8"))
    except (OSError, ValueError) as bad:
        raise InputFileError(f"{folder / 'histograms.json'}: {bad}") from None
    x = table[:, 0]
    column = dict(zip(header, table.T, strict=True))
    shares = [
        (name.removeprefix("asked "), x, part(column["served" + name[5:]], column[name]))
        for name in header
        if name.startswith("asked ")
    ]
    faults = summary["recovery_s"]

    def changes(name: str) -> np.ndarray:
        return np.diff(column[name], prepend=0.0)

    images = [
        plots.over_time(
            "Worth served over worth asked",
            [("all", x, part(column["served"], column["asked"])), *(shares if len(shares) > 1 else [])],
            faults,
            "part",
        ),
        plots.over_time(
            "Load, and the cap where the policy has one, over the fleet's capacity",
            [("load", x, column["load"]), ("cap (mean)", x, column["cap"])],
            faults,
            "part",
        ),
        plots.heat(loads[:, 1:].T, faults),
        plots.over_time("Clients that stand", [("standing", x, column["standing"])], faults, "clients"),
        plots.over_time("Clients in the lines of the balancers", [("line", x, column["line"])], faults, "clients"),
        plots.over_time("A second", [(n, x, changes(n)) for n in ("attempts", "refused", "broken")], faults, "count"),
        plots.waits(kept),
    ]
    return page("run.html", s=summary, images=[plots.address(i) for i in images])


def part(a: np.ndarray, b: np.ndarray) -> np.ndarray:
    return np.divide(a, b, out=np.ones_like(a), where=b > 0)


def policies_of(found: list[dict[str, Any]]) -> list[str]:
    return list(dict.fromkeys(s["policy"] for s in found))


def table_of(found: list[dict[str, Any]], measures: list[str]) -> list[dict[str, Any]]:
    """For each point and policy, mean and interval of each measure over the seeds."""
    rows: dict[tuple[str, str], list[dict[str, Any]]] = {}
    for s in found:
        rows.setdefault((json.dumps(s["where"], sort_keys=True), s["policy"]), []).append(s)
    out = []
    for (where, policy), runs in rows.items():
        values = {}
        for m in measures:
            seen = [v for s in runs if (v := value(s, m)) is not None]
            values[m] = [round(v, 6) for v in interval(seen)] if seen else None
        out.append(
            {
                "where": json.loads(where),
                "policy": policy,
                "runs": len(runs),
                "failed": sum(bool(s["failure"]) for s in runs),
                "values": values,
            }
        )
    return out


def curves(rows: list[dict[str, Any]], axis: str, measure: str) -> dict[str, list[tuple[Any, float, float, float]]]:
    """The measure along one axis, meaned over the points of the others."""
    out: dict[str, dict[Any, list[list[float]]]] = {}
    for r in rows:
        if r["values"][measure] is not None and axis in r["where"]:
            out.setdefault(r["policy"], {}).setdefault(r["where"][axis], []).append(r["values"][measure])
    return {
        policy: [
            (x, *(sum(v[n] for v in vs) / len(vs) for n in range(3)))
            for x, vs in sorted(
                at.items(),
                key=lambda i: (not isinstance(i[0], int | float), i[0] if isinstance(i[0], int | float) else 0),
            )
        ]
        for policy, at in out.items()
    }


def of_sweep(sweep: dict[str, Any]) -> str:
    rows, axes = sweep["rows"], sweep["axes"]
    images = []
    for axis in axes:
        for measure, label in MEASURES.items():
            lines = curves(rows, axis, measure)
            if lines:
                images.append((f"{label} against {axis}", plots.address(plots.against(axis, label, lines))))
    if not axes:
        images = [
            (label, plots.address(plots.bars(label, label, policies, {sweep["experiment"]: bars})))
            for measure, label in MEASURES.items()
            if (policies := [r["policy"] for r in rows if r["values"][measure]])
            and (bars := [r["values"][measure] for r in rows if r["values"][measure]])
        ]
    return page("sweep.html", s=sweep, images=images, measures=MEASURES)


def compared(a: list[dict[str, Any]], b: list[dict[str, Any]], names: tuple[str, str]) -> dict[str, Any]:
    """Pairs by point and seed. Raises InputFileError where no pair is left."""

    def by(found: list[dict[str, Any]]) -> dict[tuple[str, int], dict[str, Any]]:
        return {(json.dumps(s.get("where", {}), sort_keys=True), s["seed"]): s for s in found}

    left, right = by(a), by(b)
    both = [key for key in left if key in right]
    if not both:
        raise InputFileError(f"{names[0]} and {names[1]}: no seed is in both")
    rows = []
    for measure, label in MEASURES.items():
        pairs = [
            (x, y)
            for key in both
            if (x := value(left[key], measure)) is not None and (y := value(right[key], measure)) is not None
        ]
        if pairs:
            d = [y - x for x, y in pairs]
            mean, low, high = interval(d)
            rows.append(
                {
                    "measure": measure,
                    "label": label,
                    "pairs": len(d),
                    "a": sum(x for x, _ in pairs) / len(d),
                    "b": sum(y for _, y in pairs) / len(d),
                    "difference": mean,
                    "low": low,
                    "high": high,
                    "p": sign_test(d),
                    "wins": sum(x > 0 for x in d),
                    "losses": sum(x < 0 for x in d),
                }
            )
    seeds = [
        {
            "where": json.loads(w),
            "seed": seed,
            "a": value(left[w, seed], "worth.goal"),
            "b": value(right[w, seed], "worth.goal"),
        }
        for w, seed in both
    ]
    return {"format": 1, "a": names[0], "b": names[1], "rows": rows, "seeds": seeds}
