"""Plays the faults of a soak's plan on its testbed."""

from __future__ import annotations

import asyncio
import contextlib
import random
import signal
import time
from collections import Counter
from collections.abc import Awaitable, Callable, Iterator

from .call_faults import CallFaults
from .discovery_agent import DiscoveryAgent
from .endpoint_directory import EndpointStatus
from .fault_schedule import ALL_BALANCERS, FaultKind, PlannedFault, SoakPlan
from .invariant import Invariant
from .loopback import reset_connection
from .records import FaultRecord, HalfRequestRecord, balancer_party
from .session_servers import ScriptedServer, ServerMode
from .testbed import Testbed

KILL_AFTER_MS = 700.0  # after the longest deadline
MIN_LONGEST_DEADLINE_MS = 3000.0  # a shorter longest deadline does not bring SIGKILL forward
STALL_MS = 150
NOTICE_S = 0.3  # for which new connections still go to a balancer that terminates
RELOAD_GAP_S = 0.15
SERVER_IDLE_S = 0.5
PIECE_GAP_S = 0.05
MAX_NEW_SERVERS = 40
DELETE_DELAY_S = 7.0  # of a draining server, after its grace
FLOOD_STAYS_S = 1.0
LEAVES_AFTER_S = (0.0, 0.001, 0.01, 0.1)
KILL_VISIBLE_S = 0.3  # around a SIGKILL, in which its effects are seen
MODES = {
    FaultKind.SERVER_HANG: ServerMode.HANGS,
    FaultKind.SERVER_ERRORS: ServerMode.ERRORS,
    FaultKind.SERVER_BUSY: ServerMode.BUSY,
    FaultKind.SERVER_RESETS: ServerMode.RESETS,
}
HALF_LINE = b"OPEN 00ff 00"


def kill_record(balancer: int, at_s: float) -> FaultRecord:
    """Returns the record of a SIGKILL. It accounts for lost answers and connections, and for nothing else."""
    excuses = frozenset(
        {
            Invariant.FINAL_ANSWER,
            Invariant.PROTOCOL_ANSWER,
            Invariant.NO_REJECT_AFTER_EXECUTION,
            Invariant.CONNECTION_KEPT,
        }
    )
    parties = frozenset({balancer_party(balancer)})
    return FaultRecord("kill", parties, at_s - KILL_VISIBLE_S, at_s + KILL_VISIBLE_S, excuses)


class FaultPlayer:
    """The faults of one run.

    Attributes:
        ready: balancers that new connections go to.
        impaired: balancers whose own machine fails or delays their system calls, or whose process is stopped.
    """

    def __init__(self, bed: Testbed, plan: SoakPlan, call_faults: list[CallFaults]) -> None:
        self.ready = set(range(plan.shape.balancers))
        self.impaired: Counter[int] = Counter()
        self._bed = bed
        self._plan = plan
        self._call_faults = call_faults
        self._rng = random.Random(plan.seed + 1)  # noqa: S311 - draws need be repeatable, not secret
        self._restarting: set[int] = set()
        self._new_servers = 0
        self._drained: set[str] = set()
        handlers: dict[FaultKind, Callable[[PlannedFault], Awaitable[None]]] = {
            FaultKind.TERMINATE: lambda fault: self.terminate(fault.target),
            FaultKind.KILL: self._kill,
            FaultKind.PAUSE: self._pause,
            FaultKind.RELOAD: self._reload,
            FaultKind.SERVER_CRASH: self._crash_servers,
            FaultKind.SERVER_IDLE_CLOSE: self._close_idle,
            FaultKind.SERVER_PIECES: self._write_in_pieces,
            FaultKind.SERVER_ENDS: self._end_connections,
            FaultKind.DRAIN: self._drain,
            FaultKind.DISCOVERY_SILENT: self._silence_discovery,
            FaultKind.DISCOVERY_REFUSES: self._refuse_discovery,
            FaultKind.DISCOVERY_SLOW: self._slow_discovery,
            FaultKind.DISCOVERY_CUTS: self._cut_discovery,
            FaultKind.IDLE_CROWD: self._crowd,
            FaultKind.HALF_REQUESTS: self._half_requests,
            FaultKind.FLOOD: self._flood,
            FaultKind.LEAVING: self._leaving,
            FaultKind.CALLS_FAIL: self._fail_calls,
            FaultKind.STALL: self._stall,
            FaultKind.CLOCK_STEP: self._step_clock,
        }
        self._handlers = handlers | dict.fromkeys(MODES, self._change_mode)

    async def play(self, fault: PlannedFault) -> None:
        """Plays one fault from its beginning to its end."""
        await asyncio.sleep(fault.at_s)
        began_s = time.monotonic()
        await self._handlers[fault.kind](fault)
        parties = frozenset({balancer_party(fault.target)})
        excused = frozenset[Invariant]()
        self._bed.record.faults.append(FaultRecord(fault.kind.value, parties, began_s, time.monotonic(), excused))

    def reachable_agent(self, number: int) -> DiscoveryAgent | None:
        """Returns the discovery that a balancer can reach now; None while it is down or the balancer is impaired."""
        agent = next(agent for agent in reversed(self._bed.agents) if agent.balancer == number)
        is_reachable = not (agent.is_silent or agent.rejects or self.impaired[number])
        return agent if is_reachable and self._bed.processes[number].is_running else None

    @contextlib.contextmanager
    def _impairing(self, number: int) -> Iterator[None]:
        self.impaired[number] += 1
        try:
            yield
        finally:
            self.impaired[number] -= 1

    # -- balancers -------------------------------------------------------------------------------------

    async def terminate(self, number: int, restart: bool = True) -> None:
        """Sends SIGTERM, and SIGKILL at the earliest time that the protocol allows."""
        if number in self._restarting:
            return
        self._restarting.add(number)
        process = self._bed.processes[number]
        process.terminate()
        terminated_s = time.monotonic()
        await asyncio.sleep(NOTICE_S)
        self.ready.discard(number)
        longest_ms = max(MIN_LONGEST_DEADLINE_MS, self._plan.shape.deadline_ms)
        kill_s = terminated_s + (longest_ms + KILL_AFTER_MS) / 1000
        await self._bed.wait_until(lambda: not process.is_running, kill_s - time.monotonic())
        await self._restart(number, 0.0, restart)

    async def _kill(self, fault: PlannedFault) -> None:
        if fault.target in self._restarting:
            return
        self._restarting.add(fault.target)
        self._bed.record.faults.append(kill_record(fault.target, time.monotonic()))
        await self._restart(fault.target, fault.value, True)

    async def _restart(self, number: int, pause_s: float, restart: bool) -> None:
        process = self._bed.processes[number]
        process.end()
        self.ready.discard(number)
        if not restart:
            return
        await asyncio.sleep(pause_s)
        process.start()
        await self._bed.wait_until_ready(process)
        self._restarting.discard(number)
        self.ready.add(number)

    async def _pause(self, fault: PlannedFault) -> None:
        process = self._bed.processes[fault.target]
        process.pause()
        with self._impairing(fault.target):
            await asyncio.sleep(fault.value)
        process.resume()

    async def _reload(self, fault: PlannedFault) -> None:
        """Reloads the configuration, each time with another address of discovery."""
        if fault.target in self._restarting:
            return
        bed, number = self._bed, fault.target
        for _ in range(int(fault.value)):
            agent = bed.new_agent(number)
            agent.open()
            bed.agents.append(agent)
            process = bed.processes[number]
            host, port = agent.address
            process.config["discovery"] = f"{host}:{port}"
            process.write_config()
            process.send_signal(signal.SIGHUP)
            await asyncio.sleep(RELOAD_GAP_S)

    # -- session servers and discovery -----------------------------------------------------------------

    def _draw_servers(self, fraction: float) -> list[ScriptedServer]:
        listed = [server for name, server in self._bed.servers.items() if name not in self._drained and server.is_up]
        return self._rng.sample(listed, min(len(listed), max(1, int(fraction * len(listed) / 2))))

    async def _change_mode(self, fault: PlannedFault) -> None:
        chosen = self._draw_servers(fault.value)
        for server in chosen:
            server.set_mode(MODES[fault.kind])
        await asyncio.sleep(fault.lasts_s)
        for server in chosen:
            server.set_mode(ServerMode.SERVES)

    async def _close_idle(self, fault: PlannedFault) -> None:
        for server in self._draw_servers(fault.value):
            server.idle_timeout_s = SERVER_IDLE_S

    async def _write_in_pieces(self, fault: PlannedFault) -> None:
        for server in self._draw_servers(fault.value):
            server.piece_gap_s = PIECE_GAP_S

    async def _end_connections(self, fault: PlannedFault) -> None:
        for server in self._draw_servers(fault.value):
            server.end_connections()

    async def _crash_servers(self, fault: PlannedFault) -> None:
        chosen = self._draw_servers(fault.value)
        for server in chosen:
            server.crash()
        await asyncio.sleep(fault.lasts_s)
        for server in chosen:
            if server.name not in self._drained:
                server.start()
        names = [server.name for server in chosen if server.name not in self._drained]
        if names:
            self._bed.directory.set_status(names, EndpointStatus.SERVING, since_ms=time.time() * 1000)

    async def _drain(self, fault: PlannedFault) -> None:
        bed = self._bed
        chosen = self._draw_servers(fault.value)
        names = [server.name for server in chosen]
        self._drained.update(names)
        bed.directory.set_status(names, EndpointStatus.DRAINING)
        for _ in chosen[:MAX_NEW_SERVERS]:
            self._new_servers += 1
            bed.add_server(f"t-{self._new_servers:08x}", since_ms=time.time() * 1000)
        await asyncio.sleep(self._plan.shape.drain_grace_ms / 1000 + DELETE_DELAY_S)
        bed.directory.set_status(names, EndpointStatus.DELETED)

    async def _silence_discovery(self, fault: PlannedFault) -> None:
        for agent in self._bed.agents:
            agent.set_silent(True)
        await asyncio.sleep(fault.lasts_s)
        for agent in self._bed.agents:
            agent.set_silent(False)

    async def _refuse_discovery(self, fault: PlannedFault) -> None:
        for agent in self._bed.agents:
            agent.rejects = True
        await asyncio.sleep(fault.lasts_s)
        for agent in self._bed.agents:
            agent.rejects = False

    async def _slow_discovery(self, fault: PlannedFault) -> None:
        for agent in self._bed.agents:
            agent.slow_s = fault.value
        await asyncio.sleep(fault.lasts_s)
        for agent in self._bed.agents:
            agent.slow_s = 0.0

    async def _cut_discovery(self, fault: PlannedFault) -> None:
        for agent in self._bed.agents:
            agent.cuts = int(fault.value)

    # -- clients ---------------------------------------------------------------------------------------

    async def _connect_many(self, fault: PlannedFault) -> list[tuple[asyncio.StreamReader, asyncio.StreamWriter]]:
        address = self._bed.processes[fault.target].address
        found = []
        for _ in range(int(fault.value)):
            with contextlib.suppress(OSError):
                found.append(await asyncio.open_connection(*address))
        return found

    async def _crowd(self, fault: PlannedFault) -> None:
        connections = await self._connect_many(fault)
        await asyncio.sleep(fault.lasts_s)
        for _, writer in connections:
            reset_connection(writer)

    async def _half_requests(self, fault: PlannedFault) -> None:
        async def stay(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            record = HalfRequestRecord(fault.target, time.monotonic())
            with contextlib.suppress(OSError):
                writer.write(HALF_LINE)
                await writer.drain()
                await reader.read()
            record.ended_s = time.monotonic()
            self._bed.record.half_requests.append(record)
            writer.close()

        await asyncio.gather(*(stay(reader, writer) for reader, writer in await self._connect_many(fault)))

    async def _flood(self, fault: PlannedFault) -> None:
        if fault.target in self.ready:
            for _ in range(int(fault.value)):
                self._bed.start_client(fault.target, stays_s=FLOOD_STAYS_S)

    async def _leaving(self, fault: PlannedFault) -> None:
        if fault.target in self.ready:
            for _ in range(int(fault.value)):
                self._bed.start_client(fault.target, leaves_after_s=self._rng.choice(LEAVES_AFTER_S))

    # -- the machine -----------------------------------------------------------------------------------

    async def _fail_calls(self, fault: PlannedFault) -> None:
        if self._call_faults and fault.call is not None:
            self._call_faults[fault.target].fail(fault.call, fault.value)
            with self._impairing(fault.target):
                await asyncio.sleep(fault.lasts_s)
            self._call_faults[fault.target].fail(fault.call, 0.0)

    async def _stall(self, fault: PlannedFault) -> None:
        if self._call_faults:
            self._call_faults[fault.target].stall(fault.value, STALL_MS)
            with self._impairing(fault.target):
                await asyncio.sleep(fault.lasts_s)
            self._call_faults[fault.target].stall(0.0, 0)

    async def _step_clock(self, fault: PlannedFault) -> None:
        for number, faults in enumerate(self._call_faults):
            if fault.target in (number, ALL_BALANCERS):
                faults.step_clock(int(fault.value))
