"""The simulation at three sizes: events per second, requests per core-hour, memory and the policy's fraction of CPU.

Each run has its own process, because a process reports only the peak of its memory since it started.
"""

from __future__ import annotations

import json
import resource
import subprocess
import sys
from pathlib import Path

SIZES = ((10, 100), (100, 1000), (200, 5000))  # balancers and servers
ROOT = Path(__file__).resolve().parent.parent


def simulate(balancers: int, servers: int, policy: str, seconds: float) -> None:
    """Simulates one size in this process, and prints its summary and peak memory as JSON."""
    from glenrock.simulation import spec
    from glenrock.simulation.fleet_simulation import FleetSimulation

    experiment = spec.load(
        ROOT / "experiments" / "crash-quarter.toml",
        {
            "fleet.balancers": balancers,
            "fleet.instances": servers,
            "length_s": seconds,
            "drain_s": 2.0,
            "faults[0].at_s": seconds / 3,
            "faults[0].down_s": seconds / 3,
        },
    )
    summary = FleetSimulation(experiment, 1, policy).run()
    peak_bytes = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss * 1024
    keys = ("events", "events_per_s", "clock", "counts", "worth")
    print(json.dumps({"summary": {key: summary[key] for key in keys}, "peak_bytes": peak_bytes}))


def main() -> None:
    """Simulates each size with each policy in a child process, and prints a table; with arguments, is that child."""
    if len(sys.argv) > 1:
        simulate(int(sys.argv[1]), int(sys.argv[2]), sys.argv[3], float(sys.argv[4]))
        return
    print(
        "balancers x servers    policy        clients    events  events/s  M requests/core-h  decision CPU fraction"
        "  CPU us/event  peak MB   CPU s"
    )
    for balancers, servers in SIZES:
        for policy in ("random", "glenrock"):
            seconds = 30.0 if servers <= 1000 else 4.0
            output = subprocess.run(
                [sys.executable, __file__, str(balancers), str(servers), policy, str(seconds)],
                check=True,
                capture_output=True,
                text=True,
                cwd=ROOT,
            ).stdout
            result = json.loads(output)
            summary, clock = result["summary"], result["summary"]["clock"]
            print(
                f"{balancers:9} x {servers:<10} {policy:10} {summary['counts']['clients']:10,} {summary['events']:9,}"
                f" {summary['events_per_s']:9,} {clock['requests_per_core_hour'] / 1e6:18.1f}"
                f" {clock['handle_part']:22.2f} {clock['cpu_us_per_event']:13.1f}"
                f" {result['peak_bytes'] / 1e6:8.0f} {clock['cpu_s']:7.1f}",
                flush=True,
            )


if __name__ == "__main__":
    main()
