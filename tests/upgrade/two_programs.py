"""The old and the new program of an upgrade in one event loop, so that a test can compare what both know."""

from __future__ import annotations

import asyncio
import contextlib
import os
from collections.abc import AsyncIterator, Callable
from dataclasses import replace
from typing import Any

import pytest

from glenrock.config import parse_config
from glenrock.net.clock import Clock
from glenrock.program import Program
from glenrock.routing.state import Server
from glenrock.upgrade.process_registry import ProcessRegistry

from .conftest import UpgradeRig, address_of

WAIT_TIMEOUT_S = 5.0
POLL_S = 0.01
DRAIN_GRACE_US = 800_000  # so that an agent's watch takes 0.4 s
OTHER_DESCRIPTORS = 20


async def wait_until(is_reached: Callable[[], bool]) -> None:
    """Waits until a condition holds. Raises TimeoutError if it does not within `WAIT_TIMEOUT_S`."""
    async with asyncio.timeout(WAIT_TIMEOUT_S):
        while not is_reached():  # noqa: ASYNC110 - the condition may be that of a part without an event
            await asyncio.sleep(POLL_S)


class TwoPrograms:
    """Starts programs that share the rig's listening socket, folder and discovery.

    Attributes:
        rig: the servers, discovery and the listening socket.
        programs: the programs, in the order of their start.
    """

    def __init__(self, rig: UpgradeRig, monkeypatch: pytest.MonkeyPatch) -> None:
        self.rig = rig
        self.programs: list[Program] = []
        self._running: list[asyncio.Task[None]] = []
        self._stop_events: list[asyncio.Event] = []
        # Both programs have the process id of the test, so the registry cannot tell them apart.
        monkeypatch.setattr(
            ProcessRegistry, "count_other_descriptors", lambda _: OTHER_DESCRIPTORS * (len(self.programs) - 1)
        )

    async def start(self, **settings: Any) -> Program:
        """Starts a program, with settings that differ from those of the rig, and waits until it accepts clients."""
        obligations = {"coldUs": 9_000_000, "drainGraceUs": DRAIN_GRACE_US}
        raw = {
            "name": "n0",
            "listen": f"127.0.0.1:{self.rig.client_port}",
            "seed": "7",
            "settings": {**self.rig.settings, "obligations": obligations, **settings},
            "known": self.rig.cached_list,
            "discovery": address_of(self.rig.discovery),
        }
        config = replace(
            parse_config(raw),
            accept_fd=os.dup(self.rig.listening_socket.fileno()),
            shared_folder=str(self.rig.folder),
        )
        program = Program(config, Clock())
        self.programs.append(program)
        await program.start()
        stop = asyncio.Event()
        self._stop_events.append(stop)
        self._running.append(asyncio.create_task(program.run_until(stop)))
        return program

    def stop(self, program: Program) -> None:
        """Stops a program, as SIGTERM does."""
        self._stop_events[self.programs.index(program)].set()

    async def wait_for_server(self, program: Program, name: str, is_reached: Callable[[Server], bool]) -> Server:
        """Waits until routing has the server and a condition holds for it, and returns it."""
        servers = program.routing.balancer.servers
        await wait_until(lambda: name in servers and is_reached(servers[name]))
        return servers[name]

    async def close(self) -> None:
        """Stops the programs."""
        for task in self._running:
            task.cancel()
        await asyncio.gather(*self._running, return_exceptions=True)
        for program in self.programs:
            program.acceptor.close()


@contextlib.asynccontextmanager
async def two_programs(rig: UpgradeRig, monkeypatch: pytest.MonkeyPatch) -> AsyncIterator[TwoPrograms]:
    """Yields a starter of programs, and stops them in the end."""
    programs = TwoPrograms(rig, monkeypatch)
    try:
        yield programs
    finally:
        await programs.close()
