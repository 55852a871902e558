"""The simulation at three sizes: events a second, requests a core-hour, peak memory, the policy's fraction of CPU.

Each size in a process of its own, so that peaks do not add up.
"""

from __future__ import annotations

import json
import resource
import subprocess
import sys
from pathlib import Path

SIZES = ((10, 100), (100, 1000), (200, 5000))
ROOT = Path(__file__).resolve().parent.parent


def one(balancers: int, instances: int, policy: str, seconds: float) -> None:
    """Simulates one size, and prints its figures as JSON."""
    from glenrock.simulation import spec
    from glenrock.simulation.fleet_simulation import FleetSimulation

    e = spec.load(
        ROOT / "experiments" / "crash-quarter.toml",
        {
            "fleet.balancers": balancers,
            "fleet.instances": instances,
            "length_s": seconds,
            "drain_s": 2.0,
            "faults[0].at_s": seconds / 3,
            "faults[0].down_s": seconds / 3,
        },
    )
    s = FleetSimulation(e, 1, policy).run()
    peak = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss * 1024
    print(json.dumps({"s": {k: s[k] for k in ("events", "events_per_s", "clock", "counts", "worth")}, "peak": peak}))


def main() -> None:
    """Simulates each size with each policy in a process, and prints a line for each."""
    if len(sys.argv) > 1:
        one(int(sys.argv[1]), int(sys.argv[2]), sys.argv[3], float(sys.argv[4]))
        return
    print(
        "balancers x instances  policy        clients    events  events/s  M requests/core-h  decisions' part"
        "  us an event  peak MB  cpu s"
    )
    for balancers, instances in SIZES:
        for policy in ("random", "glenrock"):
            seconds = 30.0 if instances <= 1000 else 4.0
            out = subprocess.run(
                [sys.executable, __file__, str(balancers), str(instances), policy, str(seconds)],
                check=True,
                capture_output=True,
                text=True,
                cwd=ROOT,
            ).stdout
            found = json.loads(out)
            s, clock = found["s"], found["s"]["clock"]
            print(
                f"{balancers:9} x {instances:<10} {policy:10} {s['counts']['clients']:10,} {s['events']:9,}"
                f" {s['events_per_s']:9,} {clock['requests_per_core_hour'] / 1e6:18.1f}"
                f" {clock['handle_part']:16.2f} {clock['cpu_us_per_event']:12.1f}"
                f" {found['peak'] / 1e6:8.0f} {clock['cpu_s']:6.1f}",
                flush=True,
            )


if __name__ == "__main__":
    main()
