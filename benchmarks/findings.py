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
IMAGES = ROOT / "docs" / "img"
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
SCALES = {"scale-balancers": "fleet.balancers", "scale-instances": "fleet.instances"}
PLOTTED_POLICIES = ("glenrock", "random", "two_choices", "prequal")
EXPERIMENT_SEEDS, SCALE_SEEDS = "12", "2"
TIE = 0.0005  # goals that are closer to the best are printed bold too
SCALE_MEASURES = (
    "worth.goal",
    "worth.worst_window",
    "per_client.attempts",
    "clock.cpu_us_per_event",
    "clock.balancer_bytes",
    "rules_broken",
)

Row = dict[str, Any]
Interval = tuple[float, float, float]


def run_sweeps(folder: Path) -> None:
    """Runs every sweep into a folder; a sweep that is there is resumed."""
    for name in (*EXPERIMENTS, *SCALES):
        policies = POLICIES if name in EXPERIMENTS else PLOTTED_POLICIES
        command = [sys.executable, "-c", "from glenrock.cli import main; main()", "lab", "sweep"]
        command += [f"experiments/{name}.toml", "--resume", "--out", str(folder / name)]
        command += ["--seeds", EXPERIMENT_SEEDS if name in EXPERIMENTS else SCALE_SEEDS]
        for policy in policies:
            command += ["--policy", policy]
        subprocess.run(command, check=True, cwd=ROOT)


def read_sweeps(folder: Path) -> dict[str, list[Row]]:
    """Returns the rows of each sweep that is in the folder."""
    paths = {name: folder / name / "sweep.json" for name in (*EXPERIMENTS, *SCALES)}
    return {name: json.loads(path.read_text())["rows"] for name, path in paths.items() if path.exists()}


def print_goals(sweeps: dict[str, list[Row]]) -> dict[str, list[Interval]]:
    """Prints the table of goals, and returns the goals of each policy by experiment."""
    policies = list(POLICIES)
    goals: dict[str, list[Interval]] = {policy: [] for policy in policies}
    print("| day | " + " | ".join(policies) + " |\n| --- |" + " --- |" * len(policies))
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
    return f"**{text}**" if goal > best - TIE else text


def show_scale(name: str, axis: str, rows: list[Row]) -> None:
    """Prints the measures of a scale's sweep, and writes its two plots."""
    print()
    for measure in SCALE_MEASURES:
        for policy, points in curves(rows, axis, measure).items():
            if policy in PLOTTED_POLICIES:
                print(name, measure, policy, " ".join(f"{x}:{mean:.4g}" for x, mean, *_ in points))
    goal = curves(rows, axis, "worth.goal")
    cost = {"glenrock": curves(rows, axis, "clock.cpu_us_per_event")["glenrock"]}
    (IMAGES / f"lab-{name}.png").write_bytes(plots.axis_curves(axis, "goal", goal))
    (IMAGES / f"lab-{name}-cpu.png").write_bytes(plots.axis_curves(axis, "CPU us an event", cost))


def main() -> None:
    """Shows the findings of the folder that the last argument names."""
    folder = Path(sys.argv[-1])
    if "--play" in sys.argv:
        run_sweeps(folder)
    sweeps = read_sweeps(folder)
    goals = print_goals(sweeps)
    plotted = {policy: goals[policy] for policy in PLOTTED_POLICIES}
    image = plots.grouped_bars("Goal on each day, 12 seeds, 95% intervals", "goal", EXPERIMENTS, plotted)
    (IMAGES / "lab-days.png").write_bytes(image)
    for name, axis in SCALES.items():
        if name in sweeps:
            show_scale(name, axis, sweeps[name])


if __name__ == "__main__":
    main()
