"""Tables and plots of docs/notes/lab.md, from the sweeps in a folder; `--play` runs the sweeps first.

python benchmarks/findings.py --play out/findings
"""

from __future__ import annotations

import json
import subprocess
import sys
from pathlib import Path
from typing import Any

from glenrock.simulation import plots
from glenrock.simulation.policies import POLICIES
from glenrock.simulation.report import curves

ROOT = Path(__file__).resolve().parent.parent
IMAGE_FOLDER = ROOT / "docs" / "img"
EXPERIMENTS = (
    "site-day",
    "site-busy",
    "crash-quarter",
    "zone-cut",
    "rolling-restart",
    "mass-reconnect",
    "flash-crowd",
    "slow-tenth",
    "discovery-silent",
    "deploy-wave",
    "tenant-flood",
    "overlap",
)
SCALE_AXES = {"scale-balancers": "fleet.balancers", "scale-instances": "fleet.instances"}
PLOTTED_POLICIES = ("glenrock", "random", "two_choices", "prequal")
EXPERIMENT_SEEDS, SCALE_SEEDS = "12", "2"
TIE_TOLERANCE = 0.0005  # goals that differ less from the best are printed in bold too
SCALE_MEASURES = (
    "worth.goal",
    "worth.worst_window",
    "per_client.attempts",
    "clock.cpu_us_per_event",
    "clock.balancer_bytes",
    "rules_broken",
)

Row = dict[str, Any]
Estimate = tuple[float, float, float]
"""A mean and the bounds of its 95% confidence interval."""


def run_sweeps(folder: Path) -> None:
    """Runs every sweep and writes it to the folder; a sweep that is already there is resumed."""
    for name in (*EXPERIMENTS, *SCALE_AXES):
        policies = POLICIES if name in EXPERIMENTS else PLOTTED_POLICIES
        command = [sys.executable, "-c", "from glenrock.cli import main; main()", "lab", "sweep"]
        command += [f"experiments/{name}.toml", "--resume", "--out", str(folder / name)]
        command += ["--seeds", EXPERIMENT_SEEDS if name in EXPERIMENTS else SCALE_SEEDS]
        for policy in policies:
            command += ["--policy", policy]
        subprocess.run(command, check=True, cwd=ROOT)


def read_sweeps(folder: Path) -> dict[str, list[Row]]:
    """Returns the rows of each sweep in the folder, by name."""
    paths = {name: folder / name / "sweep.json" for name in (*EXPERIMENTS, *SCALE_AXES)}
    return {name: json.loads(path.read_text())["rows"] for name, path in paths.items() if path.exists()}


def print_goals(sweeps: dict[str, list[Row]]) -> dict[str, list[Estimate]]:
    """Prints a table of goals by experiment and policy, and returns the goals of each policy by experiment."""
    policies = list(POLICIES)
    goals: dict[str, list[Estimate]] = {policy: [] for policy in policies}
    print("| experiment | " + " | ".join(policies) + " |\n| --- |" + " --- |" * len(policies))
    for name in EXPERIMENTS:
        rows = {row["policy"]: row for row in sweeps[name]}
        best = max(rows[policy]["values"]["worth.goal"][0] for policy in policies)
        for policy in policies:
            goals[policy].append(tuple(rows[policy]["values"]["worth.goal"]))
        print(f"| {name} | " + " | ".join(_goal_text(rows[policy], best) for policy in policies) + " |")
    return goals


def _goal_text(row: Row, best: float) -> str:
    goal, violations = row["values"]["worth.goal"][0], row["values"]["rules_broken"][0]
    text = f"{goal:.3f}" + (f" ({violations:.1f})" if violations else "")
    return f"**{text}**" if goal > best - TIE_TOLERANCE else text


def report_scale(name: str, axis: str, rows: list[Row]) -> None:
    """Prints the measures of a sweep over the fleet's size, and plots its goal and its CPU time per event."""
    print()
    for measure in SCALE_MEASURES:
        for policy, points in curves(rows, axis, measure).items():
            if policy in PLOTTED_POLICIES:
                print(name, measure, policy, " ".join(f"{x}:{mean:.4g}" for x, mean, *_ in points))
    goal_curves = curves(rows, axis, "worth.goal")
    cpu_curves = {"glenrock": curves(rows, axis, "clock.cpu_us_per_event")["glenrock"]}
    (IMAGE_FOLDER / f"lab-{name}.png").write_bytes(plots.axis_curves(axis, "goal", goal_curves))
    (IMAGE_FOLDER / f"lab-{name}-cpu.png").write_bytes(plots.axis_curves(axis, "CPU us per event", cpu_curves))


def main() -> None:
    """Reports the sweeps in the folder that the last argument names."""
    folder = Path(sys.argv[-1])
    if "--play" in sys.argv:
        run_sweeps(folder)
    sweeps = read_sweeps(folder)
    goals = print_goals(sweeps)
    plotted = {policy: goals[policy] for policy in PLOTTED_POLICIES}
    image = plots.grouped_bars("Goal by experiment, 12 seeds, 95% confidence intervals", "goal", EXPERIMENTS, plotted)
    (IMAGE_FOLDER / "lab-days.png").write_bytes(image)
    for name, axis in SCALE_AXES.items():
        if name in sweeps:
            report_scale(name, axis, sweeps[name])


if __name__ == "__main__":
    main()
