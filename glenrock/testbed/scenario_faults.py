"""Plays the faults of a scenario on its testbed. The target of each is drawn by the run's seed."""

from __future__ import annotations

import asyncio
import contextlib
import os
import random
import sqlite3
from collections.abc import Awaitable, Callable, Coroutine
from typing import TYPE_CHECKING, Any

from .balancer_process import BalancerProcess
from .endpoint_directory import EndpointStatus
from .history import US_PER_S, FaultInterval
from .network_faults import affects
from .records import CLIENTS, DISCOVERY, STORE, balancer_party
from .scenario import (
    AnyFault,
    CrashServer,
    DiscoveryFault,
    DiscoveryFaultMode,
    DrainBalancer,
    DrainServer,
    KillBalancer,
    LimitBalancerCpu,
    OverrideServer,
    PathFault,
    PauseBalancer,
    RandomFaultKind,
    RandomFaults,
    StoreFault,
    StoreFaultMode,
    TerminateBalancer,
    drawn_number,
    fault_word,
)
from .scenario_testbed import ScenarioTestbed
from .waiting import wait_until

if TYPE_CHECKING:
    from .consul_server import ConsulServer
    from .operator_calls import Operator

PROCESS_SETTLE_US = 1 * US_PER_S  # effects of a fault of a process show this long after its end
PATH_SETTLE_US = 4 * US_PER_S  # of a path: the kernel retransmits after up to some seconds
KILL_TIMEOUT_S = 5.0
SUSPENDED_DIVISOR = 4  # random overrides suspend a fourth of the servers at most
LATE_LEASES = 1.5  # delay of late gossip, in leases

TimedFault = PauseBalancer | LimitBalancerCpu | DiscoveryFault | PathFault | StoreFault


class ScenarioFaultPlayer:
    """The faults of one run.

    Attributes:
        operator: of the run; None where the scenario has no store.
    """

    def __init__(self, bed: ScenarioTestbed, rng: random.Random) -> None:
        self.operator: Operator | None = None
        self._bed, self._rng = bed, rng
        self._tasks: list[asyncio.Task[None]] = []
        self._active: list[FaultInterval] = []
        self._suspended: dict[int, None] = {}  # by random overrides, longest first
        self._cores = os.sched_getaffinity(0)
        self._handlers: dict[type[AnyFault], Callable[[Any, int], Awaitable[None]]] = {
            KillBalancer: self._kill,
            TerminateBalancer: self._terminate,
            PauseBalancer: self._pause,
            LimitBalancerCpu: self._limit_cpu,
            CrashServer: self._crash_server,
            DrainServer: self._drain_server,
            DiscoveryFault: self._disturb_discovery,
            PathFault: self._disturb_path,
            StoreFault: self._disturb_store,
            OverrideServer: self._override_server,
            DrainBalancer: self._drain_balancer,
            RandomFaults: self._play_random_faults,
        }

    def begin(self) -> None:
        """Starts the faults' clock. Targets are drawn now, in the file's order, so that a seed repeats them."""
        for fault in self._bed.scenario.faults:
            self._start(self._play(fault, self._target(fault)))

    def close(self) -> None:
        """Stops all faults where they are."""
        for task in self._tasks:
            task.cancel()

    def _start(self, work: Coroutine[Any, Any, None]) -> None:
        self._tasks.append(asyncio.get_running_loop().create_task(work))

    def _target(self, fault: AnyFault) -> int:
        """Returns the number of the balancer or the server that a fault affects; -1 where it names neither."""
        for kind, count in (("balancer", self._bed.balancer_count), ("instance", len(self._bed.servers))):
            given: int | None = getattr(fault, kind, None)
            if given is not None:
                return given if given >= 0 else self._rng.randrange(count)
        return -1

    async def _play(self, fault: AnyFault, target: int) -> None:
        await asyncio.sleep(max(0.0, drawn_number(fault.at_s) - self._bed.clients.elapsed_s()))
        await self._handlers[type(fault)](fault, target)

    # -- intervals -------------------------------------------------------------------------------------

    def note_begin(self, fault: AnyFault, *parties: str, settle_us: int = PROCESS_SETTLE_US) -> FaultInterval:
        """Notes that a fault is on, and the parties that it affects."""
        interval = self._bed.history.begin_fault(fault_word(fault), parties, settle_us)
        self._active.append(interval)
        return interval

    def _note_end(self, interval: FaultInterval) -> None:
        self._bed.history.end_fault(interval)
        self._active.remove(interval)

    async def _hold(
        self,
        fault: TimedFault,
        begin: Callable[[], object],
        end: Callable[[], object],
        *parties: str,
        settle_us: int = PROCESS_SETTLE_US,
    ) -> None:
        """Puts a fault on for its time."""
        interval = self.note_begin(fault, *parties, settle_us=settle_us)
        begin()
        await asyncio.sleep(drawn_number(fault.for_s))
        end()
        self._note_end(interval)

    # -- balancers -------------------------------------------------------------------------------------

    async def _kill(self, fault: KillBalancer, target: int) -> None:
        process = self._bed.balancers[target]
        interval = self.note_begin(fault, process.party)
        process.kill()
        await process.wait_ended(KILL_TIMEOUT_S)
        await self._restart_balancer(target, drawn_number(fault.down_s), interval)

    async def _terminate(self, fault: TerminateBalancer, target: int) -> None:
        """Terminates a balancer. Its shutdown excuses nothing: the interval begins with the end of the process."""
        process = self._bed.balancers[target]
        process.terminate()
        if not await process.wait_ended(drawn_number(fault.patience_s)):
            process.kill()
            await process.wait_ended(KILL_TIMEOUT_S)
        await self._restart_balancer(target, drawn_number(fault.down_s), self.note_begin(fault, process.party))

    async def _restart_balancer(self, target: int, down_s: float, interval: FaultInterval) -> None:
        """Starts a balancer again, and ends its interval once the front end sends clients to it."""
        if not down_s:
            return
        frontend = self._bed.frontend
        await asyncio.sleep(down_s)
        frontend.ready.discard(target)
        self._bed.balancers[target].start()
        await wait_until(lambda: target in frontend.ready)
        self._note_end(interval)

    async def _pause(self, fault: PauseBalancer, target: int) -> None:
        process = self._bed.balancers[target]
        await self._hold(fault, process.pause, process.resume, process.party)

    async def _limit_cpu(self, fault: LimitBalancerCpu, target: int) -> None:
        process = self._bed.balancers[target]
        await self._hold(
            fault,
            lambda: process.limit_cpu(fault.nice, max(self._cores)),
            lambda: process.restore_cpu(self._cores),
            process.party,
        )

    # -- session servers and discovery -----------------------------------------------------------------

    async def _crash_server(self, fault: CrashServer, target: int) -> None:
        bed, server = self._bed, self._bed.servers[target]
        interval = self.note_begin(fault, server.party)
        server.crash()
        notice_s = drawn_number(bed.scenario.discovery.notice_s)
        await self._delete_later(target, notice_s, drawn_number(fault.down_s))
        if fault.down_s:
            bed.restart_server(target)
            await asyncio.sleep(drawn_number(bed.scenario.discovery.add_s))
            bed.list_server(target, EndpointStatus.SERVING)
            self._note_end(interval)

    async def _delete_later(self, target: int, notice_s: float, down_s: float) -> None:
        """Deletes a server from the list once discovery notices, unless it is back before; returns when it is back."""
        await asyncio.sleep(min(notice_s, down_s) if down_s else notice_s)
        if not down_s or notice_s <= down_s:
            self._bed.list_server(target, EndpointStatus.DELETED)
        if down_s:
            await asyncio.sleep(max(0.0, down_s - notice_s))

    async def _drain_server(self, fault: DrainServer, target: int) -> None:
        bed, server = self._bed, self._bed.servers[target]
        bed.list_server(target, EndpointStatus.DRAINING)
        await asyncio.sleep(drawn_number(fault.drain_s))
        interval = self.note_begin(fault, server.party)
        server.crash()
        bed.list_server(target, EndpointStatus.DELETED)
        if fault.down_s:
            await asyncio.sleep(drawn_number(fault.down_s))
            bed.restart_server(target)
            bed.list_server(target, EndpointStatus.SERVING)
            self._note_end(interval)

    async def _disturb_discovery(self, fault: DiscoveryFault, target: int) -> None:
        bed = self._bed

        def set_mode(mode: DiscoveryFaultMode | None) -> None:
            is_slow = mode is DiscoveryFaultMode.SLOW
            bed.call_queue.slow_call_s = drawn_number(fault.call_ms) / 1000 if is_slow else 0.0
            for agent in bed.agents:
                agent.set_silent(mode is DiscoveryFaultMode.SILENT)
                agent.rejects = mode is DiscoveryFaultMode.REJECTS

        await self._hold(fault, lambda: set_mode(fault.how), lambda: set_mode(None), DISCOVERY)

    # -- paths -----------------------------------------------------------------------------------------

    async def _disturb_path(self, fault: PathFault, target: int) -> None:
        bed = self._bed
        balancers = {process.party for process in bed.balancers}
        parties = [CLIENTS, DISCOVERY, STORE, *balancers, *(server.party for server in bed.servers)]
        affected = {
            party
            for party in parties
            for other in parties
            if affects(fault, party, other) or affects(fault, other, party)
        }
        if affected <= balancers:
            affected = set()  # no invariant depends on gossip, so its loss excuses nothing
        await self._hold(
            fault,
            lambda: bed.paths.begin(fault),
            lambda: bed.paths.end(fault),
            *affected,
            settle_us=PATH_SETTLE_US,
        )

    # -- coordination ----------------------------------------------------------------------------------

    async def _disturb_store(self, fault: StoreFault, target: int) -> None:
        store = self._bed.store
        assert store is not None, "the scenario has a store"
        if store.consul is None:
            with contextlib.closing(sqlite3.connect(store.path, isolation_level=None)) as db:
                await self._hold(fault, lambda: db.execute("BEGIN IMMEDIATE"), lambda: db.execute("ROLLBACK"), STORE)
            return
        consul = store.consul
        if fault.how in (StoreFaultMode.ROLLBACK, StoreFaultMode.STALE_READS):
            consul.take_snapshot()
        await self._hold(
            fault,
            lambda: _begin_store_fault(consul, fault),
            lambda: _end_store_fault(consul, fault),
            STORE,
        )

    async def _override_server(self, fault: OverrideServer, target: int) -> None:
        server = fault.instance if fault.instance >= 0 else self._rng.randrange(len(self._bed.servers))
        assert self.operator is not None, "the scenario has a store"
        await self.operator.override_server(target, server, fault.out)

    async def _drain_balancer(self, fault: DrainBalancer, target: int) -> None:
        assert self.operator is not None, "the scenario has a store"
        await self.operator.drain_balancer(target, drawn_number(fault.for_s))

    # -- random faults ---------------------------------------------------------------------------------

    async def _play_random_faults(self, fault: RandomFaults, target: int) -> None:
        """Draws faults one after the other. A balancer that is down or paused is not drawn."""
        loop = asyncio.get_running_loop()
        end_s = loop.time() + drawn_number(fault.for_s)
        while loop.time() < end_s:
            free = [process.number for process in self._bed.balancers if self._is_free(process)]
            kind = self._rng.choice(fault.kinds)
            if len(free) > 1:
                chosen, other = self._rng.sample(free, 2)
                self._start(self._random_fault(kind, chosen, other))
            await asyncio.sleep(drawn_number(fault.each_ms) / 1000 * self._rng.uniform(0.5, 1.5))

    def _is_free(self, process: BalancerProcess) -> bool:
        is_affected = any(
            process.party in interval.parties and interval.kind in ("pause", "kill") for interval in self._active
        )
        return process.is_running and not process.is_paused and not is_affected

    def _random_fault(self, kind: RandomFaultKind, chosen: int, other: int) -> Coroutine[Any, Any, None]:
        """Draws the rest of a fault, and returns it, ready to be played."""
        rng, lease_s = self._rng, drawn_number(self._bed.scenario.together.lease_ms) / 1000
        match kind:
            case RandomFaultKind.OVERRIDE:
                return self._random_override(chosen)
            case RandomFaultKind.DRAIN:
                return self._drain_balancer(DrainBalancer(at_s=0.0, for_s=lease_s), chosen)
            case RandomFaultKind.PAUSE:
                leases = rng.uniform(0.95, 1.05) if rng.random() < 0.5 else rng.uniform(0.02, 2.0)
                return self._pause(PauseBalancer(at_s=0.0, balancer=chosen, for_s=lease_s * leases), chosen)
            case RandomFaultKind.KILL:
                down_s = rng.uniform(0.05, 1.0)
                return self._kill(KillBalancer(at_s=0.0, balancer=chosen, down_s=down_s), chosen)
            case _:
                far_end = STORE if kind is RandomFaultKind.STORE_CUT else balancer_party(other)
                return self._disturb_path(self._random_path_fault(kind, balancer_party(chosen), far_end), -1)

    def _random_path_fault(self, kind: RandomFaultKind, near_end: str, far_end: str) -> PathFault:
        lease_s = drawn_number(self._bed.scenario.together.lease_ms) / 1000
        is_late = kind is RandomFaultKind.GOSSIP_LATE
        ends = (near_end, far_end)
        source = ends[self._rng.random() < 0.5]
        fault = PathFault(
            at_s=0.0,
            source=source,
            target=ends[source == near_end],
            for_s=lease_s * self._rng.uniform(0.2, 2.0),
            cut=not is_late,
            delay_ms=lease_s * LATE_LEASES * 1000 if is_late else 0.0,
        )
        return fault

    async def _random_override(self, balancer: int) -> None:
        """Suspends a drawn server, or resumes the one that was suspended first."""
        assert self.operator is not None, "the scenario has a store"
        count = len(self._bed.servers)
        server = self._rng.randrange(count)
        if server not in self._suspended and len(self._suspended) < max(1, count // SUSPENDED_DIVISOR):
            self._suspended[server] = None
            await self.operator.override_server(balancer, server, True)
        elif self._suspended:
            server = next(iter(self._suspended))
            del self._suspended[server]
            await self.operator.override_server(balancer, server, False)


def _begin_store_fault(consul: ConsulServer, fault: StoreFault) -> None:
    consul.is_paused = fault.how in (StoreFaultMode.PAUSED, StoreFaultMode.RESTART)
    consul.rejects = fault.how is StoreFaultMode.REJECTS
    consul.loses_answers = fault.how is StoreFaultMode.LOSES_ANSWERS
    consul.has_stale_reads = fault.how is StoreFaultMode.STALE_READS
    consul.slow_s = drawn_number(fault.call_ms) / 1000 if fault.how is StoreFaultMode.SLOW else 0.0


def _end_store_fault(consul: ConsulServer, fault: StoreFault) -> None:
    consul.is_paused = consul.rejects = consul.loses_answers = consul.has_stale_reads = False
    consul.slow_s = 0.0
    if fault.how in (StoreFaultMode.RESTART, StoreFaultMode.ROLLBACK):
        consul.restart(to_snapshot=fault.how is StoreFaultMode.ROLLBACK)
