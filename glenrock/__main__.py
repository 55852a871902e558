"""Wiring and signals."""

from __future__ import annotations

import asyncio
import os
import resource
import signal
import sys
from collections.abc import Coroutine

import uvloop

from wheatrouter import interface as io

from .config import Config, ConfigError, read
from .log import say
from .net.clock import Clock
from .net.command import CommandServer
from .net.decider import Decider
from .net.instance import Instances
from .net.name_table import NameTable
from .net.peers import Peers

FIRST_LIST_MS = 300.0  # the whole list is awaited this long before clients are; then the known one must do


def raise_limit(sockets: int) -> None:
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    want = sockets if hard == resource.RLIM_INFINITY else min(sockets, hard)
    if soft < want:
        resource.setrlimit(resource.RLIMIT_NOFILE, (want, hard))


async def serve(config: Config, clock: Clock) -> None:
    loop = asyncio.get_running_loop()
    stop = asyncio.Event()
    loop.add_signal_handler(signal.SIGTERM, stop.set)
    loop.add_signal_handler(signal.SIGINT, stop.set)

    decider = Decider(config.settings, config.seed, clock)
    instances = Instances(clock, config.settings.dial_timeout_us / 1000, decider.post)
    table = NameTable(config.discovery, clock, instances.update,
                      lambda: decider.post(io.ServerList("failed")))
    server = CommandServer(decider, instances, clock, config.sockets, config.measures_delay)
    decider.probe = instances.probe
    if config.peer_listen:
        decider.tell = Peers(config.peer_listen, config.peers, config.peers_all, decider.post).tell

    tasks: set[asyncio.Task] = set()

    def start(work: Coroutine[None, None, None]) -> None:
        task = loop.create_task(work)
        tasks.add(task)  # the loop itself keeps no hold on a task

    table.remember(config.known)
    start(decider.run())
    start(table.run())
    # Nothing is accepted, and so no PING answered, before there is a list to serve with.
    async with clock.limit(FIRST_LIST_MS):
        await table.first.wait()
    start(server.accept(server.listen(config.listen)))
    start(server.sweep())
    say("ready", f"{config.name} serves on {config.listen[0]}:{config.listen[1]}")
    stopped = loop.create_task(stop.wait())
    await asyncio.wait([stopped, *tasks], return_when=asyncio.FIRST_COMPLETED)
    for task in tasks:
        if task.done():
            raise RuntimeError("an actor ended") from task.exception()
    say("stopping", f"{len(server.commands)} clients to hand back")
    await server.hand_back()
    say("stopped", f"{len(server.commands)} clients left")


def main() -> int:
    try:
        config = read(os.environ)
    except ConfigError as bad:
        print(f"glenrock: {bad}", file=sys.stderr)
        return 2
    raise_limit(config.sockets)
    try:
        uvloop.run(serve(config, Clock()))
    except OSError as bad:
        print(f"glenrock: {bad}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
