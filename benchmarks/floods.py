"""Ordinary clients of a balancer while one peer floods it, compared with a quiet balancer beside it.

    python benchmarks/floods.py [ATTACK ...] [--source CHECKOUT] [--seconds 6] [--memory-mb 192]

For each attack of `flood_attacks.py` two balancers run at the same time, each with session servers and ordinary clients
of its own, and one is attacked. A balancer above the memory limit is killed, as the platform does. Prints a line of
JSON for each attack; times are milliseconds.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import ctypes
import json
import signal
import socket
import subprocess
import sys
import time
from collections import Counter
from dataclasses import asdict, dataclass, field
from pathlib import Path
from typing import Any

import uvloop
from flood_attacks import ATTACKS, Target

from glenrock.testbed.balancer_process import ROOT
from glenrock.testbed.endpoint_directory import ListedServer
from glenrock.testbed.loopback import format_address
from glenrock.testbed.testbed import FleetShape, Testbed

SERVERS = 4
WARM_UP_S = 1.0
STANDING_CLIENTS = 10
LINE_INTERVAL_S = 0.1
REQUEST_INTERVAL_S = 0.05
ANSWER_TIMEOUT_S = 5.0
SAMPLE_S = 0.02
INHERITED_DESCRIPTOR = 7
PR_SET_PDEATHSIG = 1
LIBC = ctypes.CDLL(None)
SERVER_ATTACKS = ("relay-lines", "relay-unread", "server-loads")
DISCOVERY_ATTACKS = ("discovery-names", "discovery-rows", "discovery-head")


@dataclass
class Seen:
    """What the ordinary clients of one balancer saw: times in milliseconds, and answers by their first word."""

    answer_ms: list[float] = field(default_factory=list)
    line_ms: list[float] = field(default_factory=list)
    answers: Counter[str] = field(default_factory=Counter)
    lines_lost: int = 0


def quantiles(times_ms: list[float]) -> list[float]:
    """Returns the median, the 99th percentile and the longest time."""
    ordered = sorted(times_ms) or [0.0]
    positions = (len(ordered) // 2, len(ordered) * 99 // 100, len(ordered) - 1)
    return [round(ordered[position], 2) for position in positions]


def resident_mb(process_id: int) -> float:
    """Returns the resident memory of a process."""
    status = Path(f"/proc/{process_id}/status").read_text()
    return int(status.split("VmRSS:")[1].split()[0]) / 1024


class OrdinaryClients:
    """Clients that open connections and send lines at a steady rate."""

    def __init__(self, address: tuple[str, int]) -> None:
        self.seen = Seen()
        self._address = address
        self._number = 0
        self._tasks: set[asyncio.Task[None]] = set()

    def _start(self, lines: int) -> None:
        self._number += 1
        task = asyncio.create_task(self._run(f"OPEN ok-{self._number} {self._number:x} c=lookup,d=1800\r\n", lines))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def run(self) -> None:
        """Starts clients until it is cancelled."""
        for _ in range(STANDING_CLIENTS):
            self._start(lines=10**6)
        while True:
            await asyncio.sleep(REQUEST_INTERVAL_S)
            self._start(lines=2)

    async def _run(self, request: str, lines: int) -> None:
        began_s = time.monotonic()
        writer = None
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(*self._address)
                writer.write(request.encode())
                answer = await reader.readline()
            self.seen.answers[answer.decode().split(" ")[0].strip() or "closed"] += 1
            self.seen.answer_ms.append((time.monotonic() - began_s) * 1000)
            if answer.startswith(b"UP"):
                await self._exchange(reader, writer, lines)
        except TimeoutError:
            self.seen.answers["none"] += 1
            self.seen.answer_ms.append(ANSWER_TIMEOUT_S * 1000)
        except OSError as error:
            self.seen.answers[type(error).__name__] += 1
        finally:
            if writer:
                writer.close()

    async def _exchange(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, lines: int) -> None:
        for _ in range(lines):
            await asyncio.sleep(LINE_INTERVAL_S)
            began_s = time.monotonic()
            writer.write(b"line\r\n")
            try:
                async with asyncio.timeout(ANSWER_TIMEOUT_S):
                    echo = await reader.readline()
            except (OSError, TimeoutError):
                echo = b""
            if echo != b"line\r\n":
                self.seen.lines_lost += 1
                return
            self.seen.line_ms.append((time.monotonic() - began_s) * 1000)


class Stand:
    """A balancer with its stand-ins and ordinary clients.

    Attributes:
        clients: its ordinary clients.
        peak_mb: the largest resident memory that was seen.
        is_killed: whether it was above the memory limit.
    """

    def __init__(self, source: Path, attack: str | None, memory_mb: float) -> None:
        self.peak_mb = 0.0
        self.is_killed = False
        self._attack = attack
        self._memory_mb = memory_mb
        self.bed = Testbed(FleetShape(balancers=2, servers=SERVERS), source=source)

    async def start(self) -> None:
        """Starts the balancer, and what attacks it needs beside it."""
        await self.bed.__aenter__()
        process = self.bed.processes[0]
        self.clients = OrdinaryClients(process.address)
        self.listen = self.bed.network.next()
        if self._attack in DISCOVERY_ATTACKS:
            process.config["discovery"] = format_address(self.listen)
            self.attack()
        if self._attack in SERVER_ATTACKS:
            self.bed.directory.add(ListedServer("s-flood", self.listen, zone="a"))
        if self._attack == "upgrade":
            self._inherit_listener()
        process.start()
        await self.bed.wait_until_ready(process)

    def _inherit_listener(self) -> None:
        process = self.bed.processes[0]
        sock = socket.create_server(process.address, backlog=512)
        sock.set_inheritable(True)
        process.environment["LB_ACCEPT_FD"] = str(sock.fileno())
        process.pass_fds = (sock.fileno(),)
        self._listener = sock

    def attack(self) -> subprocess.Popen[bytes]:
        """Starts the attack in a process of its own."""
        network, process = self.bed.network, self.bed.processes[0]
        rows = [server.row(0) for server in self.bed.directory.servers.values()]
        target = Target(
            process.address, network.admin(0), network.peer(0), network.peer(1), self.listen, rows,
            str(process.folder / "tmp"),
        )  # fmt: skip
        self._attacker = subprocess.Popen(
            [sys.executable, "-B", str(Path(__file__).with_name("flood_attacks.py")), str(self._attack),
             json.dumps(asdict(target))],
            preexec_fn=lambda: LIBC.prctl(PR_SET_PDEATHSIG, signal.SIGKILL, 0, 0, 0),
        )  # fmt: skip
        return self._attacker

    async def watch_memory(self) -> None:
        """Samples the memory, and kills the balancer above the limit."""
        process = self.bed.processes[0]
        while process.is_running:
            with contextlib.suppress(OSError):
                self.peak_mb = max(self.peak_mb, resident_mb(process.process_id))
            if self.peak_mb > self._memory_mb:
                self.is_killed = process.kill()
                return
            await asyncio.sleep(SAMPLE_S)

    def figures(self) -> dict[str, Any]:
        """Returns what was seen."""
        seen = self.clients.seen
        runs = Counter(attempt.request_id for attempt in self.bed.record.attempts)
        return {
            "peak_mb": round(self.peak_mb, 1),
            "killed": self.is_killed,
            "cpu_s": round(self.bed.processes[0].cpu_s(), 2),
            "answer_ms": quantiles(seen.answer_ms),
            "line_ms": quantiles(seen.line_ms),
            "answers": dict(seen.answers),
            "lines_lost": seen.lines_lost,
            "ran_twice": sum(count > 1 for count in runs.values()),
        }

    async def close(self) -> None:
        """Ends all processes."""
        if self._attack:
            self._attacker.kill()
            self._attacker.wait()
        await self.bed.__aexit__()


async def play(attack: str, source: Path, seconds: float, memory_mb: float) -> dict[str, Any]:
    """Returns the figures of an attacked balancer and of the quiet one beside it."""
    flooded, quiet = Stand(source, attack, memory_mb), Stand(source, None, memory_mb)
    stands = (quiet, flooded)
    for stand in stands:
        await stand.start()
    tasks = [asyncio.create_task(stand.clients.run()) for stand in stands]
    tasks += [asyncio.create_task(stand.watch_memory()) for stand in stands]
    await asyncio.sleep(WARM_UP_S)
    if attack not in DISCOVERY_ATTACKS:
        flooded.attack()
    for stand in stands:
        stand.clients.seen.answer_ms.clear()
        stand.clients.seen.line_ms.clear()
    await asyncio.sleep(seconds)
    figures = {"attack": attack, "flooded": flooded.figures(), "quiet": quiet.figures()}
    for task in tasks:
        task.cancel()
    for stand in stands:
        await stand.close()
    return figures


def main() -> None:
    """Plays the attacks that the command line names, all by default."""
    parser = argparse.ArgumentParser()
    parser.add_argument("attacks", nargs="*", default=list(ATTACKS))
    parser.add_argument("--source", type=Path, default=ROOT)
    parser.add_argument("--seconds", type=float, default=6.0)
    parser.add_argument("--memory-mb", type=float, default=192.0)
    options = parser.parse_args()
    for attack in options.attacks:
        print(json.dumps(uvloop.run(play(attack, options.source, options.seconds, options.memory_mb))), flush=True)


if __name__ == "__main__":
    main()
