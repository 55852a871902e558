"""The tables and plots of docs/notes/lab.md, from the sweeps in a folder; `--play` plays them first.

python benchmarks/findings.py --play out/findings
"""

from __future__ import annotations

import json
import subprocess
import sys
from pathlib import Path

from glenrock.simulation import plots
from glenrock.simulation.policies import POLICIES
from glenrock.simulation.report import curves

ROOT = Path(__file__).resolve().parent.parent
DAYS = (
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
SHOWN = ("glenrock", "random", "two_choices", "prequal")


def play(into: Path) -> None:
    for name in (*DAYS, *SCALES):
        which = POLICIES if name in DAYS else SHOWN
        given = [x for p in which for x in ("--policy", p)]
        subprocess.run(
            [
                sys.executable,
                "-c",
                "from glenrock.cli import main; main()",
                "lab",
                "sweep",
                f"experiments/{name}.toml",
                "--seeds",
                "12" if name in DAYS else "2",
                "--resume",
                "--out",
                str(into / name),
                *given,
            ],
            check=True,
            cwd=ROOT,
        )


def main() -> None:
    into = Path(sys.argv[-1])
    if "--play" in sys.argv:
        play(into)
    found = {
        name: json.loads((into / name / "sweep.json").read_text())["rows"]
        for name in (*DAYS, *SCALES)
        if (into / name / "sweep.json").exists()
    }
    policies = list(POLICIES)
    bars: dict[str, list[tuple[float, float, float]]] = {p: [] for p in policies}
    print("| day | " + " | ".join(policies) + " |\n| --- |" + " --- |" * len(policies))
    for name in DAYS:
        rows = {r["policy"]: r for r in found[name]}
        best = max(rows[p]["values"]["worth.goal"][0] for p in policies)
        cells = []
        for p in policies:
            goal, broken = rows[p]["values"]["worth.goal"], rows[p]["values"]["rules_broken"][0]
            bars[p].append(tuple(goal))
            text = f"{goal[0]:.3f}" + (f" ({broken:.1f})" if broken else "")
            cells.append(f"**{text}**" if goal[0] > best - 0.0005 else text)
        print(f"| {name} | " + " | ".join(cells) + " |")
    image = plots.bars("Goal on each day, 12 seeds, 95% intervals", "goal", DAYS, {p: bars[p] for p in SHOWN})
    (ROOT / "docs" / "img" / "lab-days.png").write_bytes(image)
    for name, axis in SCALES.items():
        if name not in found:
            continue
        print()
        for measure in (
            "worth.goal",
            "worth.worst_window",
            "per_client.attempts",
            "clock.cpu_us_per_event",
            "clock.balancer_bytes",
            "rules_broken",
        ):
            lines = curves(found[name], axis, measure)
            for policy, points in lines.items():
                if policy in SHOWN:
                    print(name, measure, policy, " ".join(f"{x}:{m:.4g}" for x, m, *_ in points))
        goal = curves(found[name], axis, "worth.goal")
        cost = {"glenrock": curves(found[name], axis, "clock.cpu_us_per_event")["glenrock"]}
        (ROOT / "docs" / "img" / f"lab-{name}.png").write_bytes(plots.against(axis, "goal", goal))
        (ROOT / "docs" / "img" / f"lab-{name}-cpu.png").write_bytes(plots.against(axis, "CPU us an event", cost))


if __name__ == "__main__":
    main()
