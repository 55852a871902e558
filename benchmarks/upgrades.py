"""Upgrades with a long endpoint list, the end of a drain, and clients lost in a planned restart, of two texts in turn.

    python benchmarks/upgrades.py [--source CHECKOUT ...] [--rounds 5] [--servers 3200]

Without `--source` the text of this checkout is measured. Prints a line of JSON for each measurement and text: the
median and the longest time in milliseconds, or counts of clients.
"""

from __future__ import annotations

import argparse
import asyncio
import copy
import json
import socket
import time
from collections import Counter
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import uvloop

from glenrock.testbed.balancer_process import ROOT, BalancerProcess
from glenrock.testbed.loopback import Address, format_address
from glenrock.testbed.testbed import FleetShape, Testbed

POLL_S = 0.002
READY_TIMEOUT_S = 15.0
STOP_TIMEOUT_S = 5.0
ANSWER_TIMEOUT_S = 5.0
UPGRADES = 5  # in a row, for each round
DRAINED_S = 1.5  # from a drain to its end
CLIENTS = 40  # that are connected when the process is stopped
CLIENT_INTERVAL_S = 0.02  # between new ones, which the front end sends until `FRONT_END_S` after SIGTERM
FRONT_END_S = 0.3
LINE_INTERVAL_S = 0.1


async def call(address: Address, method: str, path: str) -> bool:
    """Makes an operator's call. Returns whether the answer is yes."""
    try:
        reader, writer = await asyncio.open_connection(*address)
    except OSError:
        return False
    writer.write(f"{method} /v1/{path} HTTP/1.1\r\nHost: a\r\n\r\n".encode())
    head = await reader.readline()
    writer.close()
    return b" 200 " in head


async def ping(address: Address) -> bytes:
    """Returns the answer to a ping on a new connection."""
    reader, writer = await asyncio.open_connection(*address)
    writer.write(b"PING\r\n")
    answer = await reader.readline()
    writer.close()
    return answer


async def milliseconds_until(is_reached: Callable[[], Awaitable[bool]]) -> float:
    """Returns how long it takes until a condition holds, in milliseconds."""
    began_s = time.monotonic()
    async with asyncio.timeout(READY_TIMEOUT_S):
        while not await is_reached():  # noqa: ASYNC110 - the state is in another process
            await asyncio.sleep(POLL_S)
    return (time.monotonic() - began_s) * 1000


class Upgrades:
    """A balancer beside its stand-ins, which is upgraded, drained and restarted."""

    def __init__(self, bed: Testbed, source: Path) -> None:
        self._bed = bed
        self._source = source
        self._process = bed.processes[0]
        self._started = [self._process]
        self._listener = socket.create_server(self._process.address, backlog=512)
        self._listener.set_inheritable(True)

    def _admin(self, process: BalancerProcess) -> Address:
        host, port = process.config["admin"].rsplit(":", 1)
        return host, int(port)

    def _next_process(self) -> BalancerProcess:
        """Returns a process that shares the listening socket and the folder with the present one."""
        config = copy.deepcopy(self._process.config)
        config["admin"] = format_address(self._bed.network.next())
        folder = self._process.folder.parent / f"upgrade-{len(self._started)}"
        process = BalancerProcess(0, folder, config, self._source)
        self._share(process)
        self._started.append(process)
        return process

    def _share(self, process: BalancerProcess) -> None:
        process.environment["LB_ACCEPT_FD"] = str(self._listener.fileno())
        process.environment["TMPDIR"] = str(self._started[0].folder / "tmp")
        process.pass_fds = (self._listener.fileno(),)

    async def start(self) -> None:
        """Starts the first process."""
        self._share(self._process)
        self._process.start()
        await self._wait_until_ready(self._process)

    async def _wait_until_ready(self, process: BalancerProcess) -> float:
        return await milliseconds_until(lambda: call(self._admin(process), "GET", "readyz"))

    async def upgrade(self) -> float:
        """Replaces the process. Returns the milliseconds from the start of the new one to its yes."""
        old, new = self._process, self._next_process()
        new.start()
        duration_ms = await self._wait_until_ready(new)
        old.terminate()
        assert await old.wait_ended(STOP_TIMEOUT_S), old.log_lines()
        self._process = new
        return duration_ms

    async def drain_and_activate(self) -> float:
        """Returns the milliseconds from the end of a drain to the first yes."""
        admin = self._admin(self._process)
        assert await call(admin, "POST", "balancer/drain")
        await asyncio.sleep(DRAINED_S)
        assert await ping(self._process.address) == b"ERR\r\n"
        began_s = time.monotonic()
        assert await call(admin, "POST", "balancer/activate")
        call_ms = (time.monotonic() - began_s) * 1000

        async def says_yes() -> bool:
            return await ping(self._process.address) == b"PONG\r\n"

        return call_ms + await milliseconds_until(says_yes)

    def close(self) -> None:
        """Ends all processes."""
        for process in self._started:
            process.end()
        self._listener.close()


async def end_of_client(address: Address, number: int) -> str:
    """Returns how a client's connection ended: `moved`, `rejected`, or how it was lost."""
    try:
        reader, writer = await asyncio.open_connection(*address)
        writer.write(b"OPEN c%d %x c=lookup,d=1800\r\n" % (number, number))
        async with asyncio.timeout(ANSWER_TIMEOUT_S):
            answer = await reader.readline()
        while answer.startswith((b"UP", b"line")):
            writer.write(b"line\r\n")
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                answer = await reader.readline()
            await asyncio.sleep(LINE_INTERVAL_S)
        writer.close()
    except (OSError, TimeoutError) as error:
        return type(error).__name__
    return {b"MOVE\r\n": "moved", b"": "cut off"}.get(answer, "rejected" if answer.startswith(b"BUSY") else "failed")


async def restart(source: Path) -> Counter[str]:
    """Returns how clients' connections end as a balancer without a drain is restarted."""
    async with Testbed(FleetShape(balancers=2, servers=4), source=source) as bed:
        await bed.start_balancers()
        process = bed.processes[0]
        clients = [asyncio.create_task(end_of_client(process.address, number)) for number in range(CLIENTS)]
        await asyncio.sleep(1.0)
        process.terminate()
        for number in range(round(FRONT_END_S / CLIENT_INTERVAL_S)):
            clients.append(asyncio.create_task(end_of_client(process.address, CLIENTS + number)))
            await asyncio.sleep(CLIENT_INTERVAL_S)
        assert await process.wait_ended(STOP_TIMEOUT_S)
        return Counter(await asyncio.gather(*clients))


async def measure_list(source: Path, servers: int) -> dict[str, list[float]]:
    """Returns the durations of upgrades, and of the end of a drain."""
    async with Testbed(FleetShape(servers=servers), source=source) as bed:
        upgrades = Upgrades(bed, source)
        try:
            await upgrades.start()
            await asyncio.sleep(1.0)
            durations_ms = [await upgrades.upgrade() for _ in range(UPGRADES)]
            return {"upgrade_ms": durations_ms, "activate_ms": [await upgrades.drain_and_activate()]}
        finally:
            upgrades.close()


def summary(durations_ms: list[float]) -> dict[str, float]:
    """Returns the median and the longest duration."""
    ordered = sorted(durations_ms)
    return {"p50": round(ordered[len(ordered) // 2], 1), "longest": round(ordered[-1], 1), "count": len(ordered)}


async def measure(sources: list[Path], rounds: int, servers: int) -> None:
    """Measures all texts in turn, and prints the results."""
    durations_ms: dict[Path, dict[str, list[float]]] = {source: {} for source in sources}
    ends: dict[Path, Counter[str]] = {source: Counter() for source in sources}
    for _ in range(rounds):
        for source in sources:
            for name, values in (await measure_list(source, servers)).items():
                durations_ms[source].setdefault(name, []).extend(values)
            ends[source] += await restart(source)
    for source in sources:
        figures: dict[str, Any] = {name: summary(values) for name, values in durations_ms[source].items()}
        print(json.dumps({"source": source.name, "servers": servers, **figures, "restart": dict(ends[source])}))


def main() -> None:
    """Measures the texts that the command line names, this one by default."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--source", type=Path, action="append")
    parser.add_argument("--rounds", type=int, default=5)
    parser.add_argument("--servers", type=int, default=3200)
    options = parser.parse_args()
    uvloop.run(measure(options.source or [ROOT], options.rounds, options.servers))


if __name__ == "__main__":
    main()
