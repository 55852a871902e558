"""Which instances are out by hand: the same in both processes of an upgrade, and kept over it."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from glenrock.routing import interface

from ..log import say
from ..net.clock import Clock, micros
from ..net.routing_actor import RoutingActor
from ..net.server_connections import ServerRegistry
from . import state

POLL_MS = 100.0  # the other process's calls are seen this late, beside a grace of 2.5 s
TRIES, AGAIN_MS = 10, 20.0  # for the lock
KEPT_MS = 60_000.0  # a return older than this makes nothing cold


class Agreement:
    """Without a folder all is kept in this process alone."""

    def __init__(self, folder: str, clock: Clock, servers: ServerRegistry, routing: RoutingActor) -> None:
        self.folder, self.clock, self.servers, self.routing = folder, clock, servers, routing
        self.shared = state.Shared()
        self.signature: state.Signature | None = None
        self.changing = asyncio.Lock()
        self.had = 0  # instances known when the file was last written

    def knows(self, name: str) -> bool:
        """Whether it was ever listed, here or in a process before."""
        return name in self.servers.all or name in self.shared.seen

    def start(self) -> None:
        """Before the first list is taken: what was out stays out, and who came back lately is cold."""
        self.follow()

    async def watch(self) -> None:
        """For as long as the process runs; without a folder there is nothing to watch."""
        while True:
            await self.clock.sleep(POLL_MS)
            self.follow()
            if len(self.servers.all) != self.had:
                try:
                    await self.change(lambda shared: None)
                except OSError as bad:
                    say("upgrade", f"{state.NAME} cannot be written: {bad}")

    def follow(self) -> None:
        """Takes over what the other process has written."""
        if not self.folder or (now := state.signature(self.folder)) == self.signature:
            return
        self.signature = now
        told = self.told()
        if told is not None:
            self.take(told)

    def take(self, told: state.Shared) -> None:
        for name in told.out ^ self.shared.out:
            self.apply(name, name in told.out, told.back.get(name, 0.0))
        for name, at in told.back.items():
            if name not in told.out and at > self.shared.back.get(name, 0.0):
                self.apply(name, False, at)
        self.shared = told

    def told(self) -> state.Shared | None:
        try:
            return state.read(self.folder)
        except ValueError as bad:
            say("upgrade", f"{state.NAME} is left aside, and what is held here goes on: {bad}")
            return None

    async def change(self, how: Callable[[state.Shared], None]) -> None:
        """Changes the file and what is held here. OSError where it cannot be written; then nothing has changed.

        Danger: replaced in the loop, on a disk that others were syncing, it held up all clients for up to 2 s (found
        on the stage)."""
        if not self.folder:
            how(self.shared)
            return
        async with self.changing:
            had, oldest = len(self.servers.all), self.clock.now() - KEPT_MS
            told, new, signature = await asyncio.to_thread(
                state.exchange, self.folder, how, self.shared, list(self.servers.all), oldest)
            if told is not None:
                self.take(told)
            self.signature, self.shared, self.had = signature, new, had

    async def call(self, name: str, out: bool) -> str:
        """Out, or back. Returns why not; empty once nothing that is decided or queued here goes against it."""
        def how(shared: state.Shared) -> None:
            if out and len(shared.out) < state.MOST:
                shared.out.add(name)
                shared.back.pop(name, None)
            elif not out and name in shared.out:
                shared.out.discard(name)
                shared.back[name] = self.clock.now()

        for left in reversed(range(TRIES)):
            before = name in self.shared.out
            try:
                await self.change(how)
                break
            except OSError as bad:
                if not left:
                    say("upgrade", f"{state.NAME} cannot be written: {bad}")
                    return f"not done: what a successor must know cannot be written: {bad}"
            await self.clock.sleep(AGAIN_MS)
        if out and name not in self.shared.out:
            return f"not done: {state.MOST} are out"
        if before != out:
            say("by hand", f"{name} {'is out of rotation' if out else 'may serve again'}")
        self.apply(name, out, self.shared.back.get(name, 0.0) if before != out else 0.0)
        await self.routing.settled()
        return ""

    def apply(self, name: str, out: bool, at_ms: float) -> None:
        self.servers.hold(name, out)
        self.routing.order(interface.OperatorOverride(name, out, micros(at_ms)))
