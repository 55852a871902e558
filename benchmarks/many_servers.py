"""Resource usage of a balancer with thousands of servers, compared with 200 servers under the same traffic.

    python benchmarks/many_servers.py [--before CHECKOUT] [--seconds 30] [--descriptors 1024]

Each row of the table is one balancer process in its own testbed; all rows run concurrently. `--before` measures
another checkout of the program in the same run. The operators' bounds are printed in parentheses; they depend on the
usage of the row with the fewest servers and on the number of servers.
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

SIZES = (200, 800, 3200)  # servers
CONNECTIONS_PER_SECOND = 30
RESUMED_CONNECTIONS = 30
CONNECTION_DURATION_S = 2.0
RELEASE_WAVES = 3
RELEASE_WAVE_DIVISOR = 10  # a wave drains this part of the servers
STEP_S = 0.25


@dataclass
class ResourceUsage:
    """The resource usage of one balancer process: a row of the table.

    Attributes:
        descriptors: highest number that were open at once.
        connections: connections that all servers accepted.
        list_bytes: bytes that discovery sent after the first full endpoint list.
        served_fraction: fraction of the new clients that got a connection.
        resumed: connections that were resumed at their server.
    """

    servers: int
    cpu_s: float
    peak_mb: float
    descriptors: int
    connections: int
    list_bytes: int
    served_fraction: float
    resumed: int


async def measure(servers: int, seconds: float, descriptors: int, checkout: Path) -> ResourceUsage:
    """Returns the resource usage of a balancer with this number of servers."""
    shape = FleetShape(servers=servers, descriptors=descriptors)
    async with Testbed(shape, source=checkout) as testbed:
        await testbed.start_balancers()
        process, agent = testbed.processes[0], testbed.agents[0]
        server_ids = list(testbed.servers)
        initial_bytes = agent.bytes_sent
        resumed = [
            testbed.start_client(0, resumes_at=server_ids[n * 97 % servers], stays_s=seconds)
            for n in range(RESUMED_CONNECTIONS)
        ]
        await testbed.wait_until(lambda: all(client.up.is_set() for client in resumed), 5.0)
        max_descriptors, clients = 0, []
        steps = int(seconds / STEP_S)
        for step in range(steps):
            for _ in range(
                int(CONNECTIONS_PER_SECOND * (step + 1) * STEP_S) - int(CONNECTIONS_PER_SECOND * step * STEP_S)
            ):
                clients.append(testbed.start_client(0, stays_s=CONNECTION_DURATION_S))
            if step and step % (steps // (RELEASE_WAVES + 1)) == 0:
                _release_wave(testbed, server_ids, step // (steps // (RELEASE_WAVES + 1)))
            max_descriptors = max(max_descriptors, process.usage().descriptors)
            await asyncio.sleep(STEP_S)
        usage = process.usage()
        return ResourceUsage(
            servers,
            usage.cpu_s,
            usage.peak_mb,
            max_descriptors,
            sum(server.accepted_connections for server in testbed.servers.values()),
            agent.bytes_sent - initial_bytes,
            _served_fraction(clients),
            sum(client.up.is_set() for client in resumed),
        )


def _release_wave(testbed: Testbed, server_ids: list[str], wave: int) -> None:
    """Drains the servers of a wave, and removes those that the previous wave drained."""
    wave_size = len(server_ids) // RELEASE_WAVE_DIVISOR
    drained = [
        server_id for server_id, row in testbed.directory.servers.items() if row.status == EndpointStatus.DRAINING
    ]
    if drained:
        testbed.directory.set_status(drained, EndpointStatus.DELETED)
    testbed.directory.set_status(server_ids[wave * wave_size : (wave + 1) * wave_size], EndpointStatus.DRAINING)


def _served_fraction(clients: list[Client]) -> float:
    return sum(client.up.is_set() for client in clients) / max(1, len(clients))


def _start_measurement(servers: int, seconds: float, descriptors: int, checkout: Path) -> subprocess.Popen[bytes]:
    command = [sys.executable, __file__, "--one", str(servers), "--seconds", str(seconds)]
    command += ["--descriptors", str(descriptors), "--before", str(checkout)]
    return subprocess.Popen(command, stdout=subprocess.PIPE)


def _print_rows(title: str, rows: list[ResourceUsage]) -> None:
    smallest = rows[0]
    print(title)
    print(
        "servers  CPU s (bound)    peak MB (bound)  descriptors (bound)  accepted (bound)  list KB (bound)  served"
        "  resumed"
    )
    for row in rows:
        thousands = row.servers / 1000
        print(
            f"{row.servers:7} {row.cpu_s:6.2f} ({1.4 * smallest.cpu_s + 0.02 + 0.12 * thousands:5.2f})"
            f" {row.peak_mb:9.1f} ({1.5 * smallest.peak_mb + 8 + 4 * thousands:5.1f})"
            f" {row.descriptors:9} ({2 * smallest.descriptors + 40:4})"
            f" {row.connections:14} ({2.5 * smallest.connections + 40:5.0f})"
            f" {row.list_bytes / 1024:11.0f} ({2 * smallest.list_bytes / 1024 + 64 + 500 * thousands:5.0f})"
            f" {row.served_fraction:8.3f} {row.resumed:7}"
        )


def main() -> None:
    """Measures all rows in concurrent child processes, and prints them; with `--one`, is one of those children."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--before", type=Path)
    parser.add_argument("--seconds", type=float, default=30.0)
    parser.add_argument("--descriptors", type=int, default=1024)
    parser.add_argument("--one", type=int, help=argparse.SUPPRESS)
    options = parser.parse_args()
    if options.one:
        row = uvloop.run(measure(options.one, options.seconds, options.descriptors, options.before or ROOT))
        print(json.dumps(asdict(row)))
        return
    checkouts = {"this checkout": ROOT} | ({"before": options.before} if options.before else {})
    processes = {
        title: [_start_measurement(size, options.seconds, options.descriptors, checkout) for size in SIZES]
        for title, checkout in checkouts.items()
    }
    for title, children in processes.items():
        _print_rows(title, [ResourceUsage(**json.loads(child.communicate()[0])) for child in children])


if __name__ == "__main__":
    main()
