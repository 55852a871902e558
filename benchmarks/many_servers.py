"""Resources of a balancer with thousands of servers, beside the same traffic with 200 servers.

    python benchmarks/many_servers.py [--before CHECKOUT] [--seconds 30] [--descriptors 1024]

Each row is one process of the program in its own testbed; all rows run side by side. `--before` measures another
checkout of the program in the same run.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import subprocess
import sys
from dataclasses import asdict, dataclass
from pathlib import Path

import uvloop

from glenrock.testbed.balancer_process import ROOT
from glenrock.testbed.clients import Client
from glenrock.testbed.endpoint_directory import EndpointStatus
from glenrock.testbed.testbed import FleetShape, Testbed

SIZES = (200, 800, 3200)
CONNECTIONS_PER_SECOND = 30
RESUMED_CONNECTIONS = 30
STAYS_S = 2.0
WAVES = 3  # of a release
WAVE_DIVISOR = 10  # of the servers, for a wave
STEP_S = 0.25


@dataclass
class Resources:
    """A row. `descriptors`: the most that were open. `list_bytes`: sent by discovery after the first whole list."""

    servers: int
    cpu_s: float
    peak_mb: float
    descriptors: int
    connections: int
    list_bytes: int
    served_fraction: float
    resumed: int


async def measure(servers: int, seconds: float, descriptors: int, source: Path) -> Resources:
    """Returns the resources of a balancer with so many servers."""
    shape = FleetShape(servers=servers, descriptors=descriptors)
    async with Testbed(shape, source=source) as bed:
        await bed.start_balancers()
        process, agent = bed.processes[0], bed.agents[0]
        names = list(bed.servers)
        first_bytes = agent.bytes_sent
        resumed = [
            bed.start_client(0, resumes_at=names[n * 97 % servers], stays_s=seconds) for n in range(RESUMED_CONNECTIONS)
        ]
        await bed.wait_until(lambda: all(client.up.is_set() for client in resumed), 5.0)
        most, clients = 0, []
        steps = int(seconds / STEP_S)
        for step in range(steps):
            for _ in range(
                int(CONNECTIONS_PER_SECOND * (step + 1) * STEP_S) - int(CONNECTIONS_PER_SECOND * step * STEP_S)
            ):
                clients.append(bed.start_client(0, stays_s=STAYS_S))
            if step and step % (steps // (WAVES + 1)) == 0:
                _release_wave(bed, names, step // (steps // (WAVES + 1)))
            most = max(most, process.usage().descriptors)
            await asyncio.sleep(STEP_S)
        usage = process.usage()
        return Resources(
            servers,
            usage.cpu_s,
            usage.peak_mb,
            most,
            sum(server.accepted_connections for server in bed.servers.values()),
            agent.bytes_sent - first_bytes,
            _served_fraction(clients),
            sum(client.up.is_set() for client in resumed),
        )


def _release_wave(bed: Testbed, names: list[str], wave: int) -> None:
    """Drains a tenth of the servers, and removes those that the wave before has drained."""
    tenth = len(names) // WAVE_DIVISOR
    gone = [name for name, row in bed.directory.servers.items() if row.status == EndpointStatus.DRAINING]
    if gone:
        bed.directory.set_status(gone, EndpointStatus.DELETED)
    bed.directory.set_status(names[wave * tenth : (wave + 1) * tenth], EndpointStatus.DRAINING)


def _served_fraction(clients: list[Client]) -> float:
    return sum(client.up.is_set() for client in clients) / max(1, len(clients))


def _start_row(servers: int, seconds: float, descriptors: int, source: Path) -> subprocess.Popen[bytes]:
    command = [sys.executable, __file__, "--one", str(servers), "--seconds", str(seconds)]
    command += ["--descriptors", str(descriptors), "--before", str(source)]
    return subprocess.Popen(command, stdout=subprocess.PIPE)


def _print_rows(title: str, rows: list[Resources]) -> None:
    smallest = rows[0]
    print(title)
    print(
        "servers  CPU s (bound)    peak MB (bound)  descriptors (bound)  made (bound)  list KB (bound)  served  stood"
    )
    for row in rows:
        thousands = row.servers / 1000
        print(
            f"{row.servers:7} {row.cpu_s:6.2f} ({1.4 * smallest.cpu_s + 0.02 + 0.12 * thousands:5.2f})"
            f" {row.peak_mb:9.1f} ({1.5 * smallest.peak_mb + 8 + 4 * thousands:5.1f})"
            f" {row.descriptors:9} ({2 * smallest.descriptors + 40:4})"
            f" {row.connections:12} ({2.5 * smallest.connections + 40:5.0f})"
            f" {row.list_bytes / 1024:9.0f} ({2 * smallest.list_bytes / 1024 + 64 + 500 * thousands:5.0f})"
            f" {row.served_fraction:8.3f} {row.resumed:6}"
        )


def main() -> None:
    """Measures all rows side by side, or one row for the parent process."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--before", type=Path)
    parser.add_argument("--seconds", type=float, default=30.0)
    parser.add_argument("--descriptors", type=int, default=1024)
    parser.add_argument("--one", type=int, help=argparse.SUPPRESS)
    given = parser.parse_args()
    if given.one:
        row = uvloop.run(measure(given.one, given.seconds, given.descriptors, given.before or ROOT))
        print(json.dumps(asdict(row)))
        return
    sources = {"this checkout": ROOT} | ({"before": given.before} if given.before else {})
    running = {
        title: [_start_row(size, given.seconds, given.descriptors, source) for size in SIZES]
        for title, source in sources.items()
    }
    for title, children in running.items():
        _print_rows(title, [Resources(**json.loads(child.communicate()[0])) for child in children])


if __name__ == "__main__":
    main()
