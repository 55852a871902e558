"""Plays a scenario: starts its testbed, plays its faults, measures each second and checks the invariants."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Callable
from pathlib import Path
from typing import TYPE_CHECKING, Any

from .history import US_PER_S
from .history_events import LineLogged
from .history_records import check_history, records_of
from .invariant import CheckResult, InvariantLimits
from .loopback import LoopbackNetwork
from .scenario import Scenario
from .scenario_faults import ScenarioFaultPlayer
from .scenario_summary import summary
from .scenario_testbed import ScenarioTestbed

if TYPE_CHECKING:
    from .coordination_observer import CoordinationObserver
    from .operator_calls import Operator

AGREEMENT_TIMEOUT_S = 10.0  # after the last fault, all balancers agree on overrides
FINAL_ANSWERS_S = 2.0  # after the measured part, for answers that are still due
MAX_MESSAGE_US = 3e9  # of the histogram of message times

LiveView = Callable[[ScenarioTestbed], None]


class ScenarioRun:
    """One run of a scenario, bounded in time."""

    def __init__(self, bed: ScenarioTestbed, live_view: LiveView | None = None) -> None:
        self._bed, self._live_view = bed, live_view
        self._observer: CoordinationObserver | None = None
        self._operator: Operator | None = None
        self._disagreements: list[str] = []
        self._cpu_s: dict[int, float] = {}

    async def play(self) -> dict[str, Any]:
        """Plays the run and returns its summary. No process and no socket of it is left, whatever happens.

        Raises:
            BalancersNotReadyError: a balancer does not answer PING in time.
        """
        bed = self._bed
        bed.build()
        self._faults = ScenarioFaultPlayer(bed, random.Random(bed.seed))  # noqa: S311 - draws are repeatable
        wall_s, cpu_s = time.monotonic(), time.process_time()
        try:
            await self._start()
            await self._measure()
            await asyncio.sleep(FINAL_ANSWERS_S)
            self._cpu_s = {balancer.number: balancer.cpu_s() for balancer in bed.balancers}
            if self._operator:
                self._disagreements = await self._operator.disagreements(AGREEMENT_TIMEOUT_S)
        finally:
            await self._close()
        return summary(bed, self._check(), self._cpu_s, time.monotonic() - wall_s, time.process_time() - cpu_s)

    async def _start(self) -> None:
        bed = self._bed
        await bed.open_stand_ins()
        if bed.store:
            from .coordination_observer import CoordinationObserver  # loads aiohttp
            from .operator_calls import Operator

            self._operator = self._faults.operator = Operator(bed)
            self._observer = CoordinationObserver(bed.store, bed.history)
            bed.datagram_relays.observer = self._observer.observe_datagram
            self._observer.start()
        await bed.start_balancers()

    async def _measure(self) -> None:
        bed = self._bed
        for server in bed.servers:
            server.begin_measuring()
        bed.engine.measured_from_us = bed.history.measured_from_us = bed.engine.now
        bed.is_measuring = True
        bed.clients.begin()
        self._faults.begin()
        for second in range(int(bed.length_s) + 1):
            await asyncio.sleep(max(0.0, second - bed.clients.elapsed_s()))
            self._measure_second(second)
        await asyncio.sleep(max(0.0, bed.length_s - bed.clients.elapsed_s()))
        for server in bed.servers:
            server.end_measuring()
        bed.measure.record_tenant_demand(bed.workload.clients, round(bed.length_s * US_PER_S))
        bed.is_measuring = False

    def _measure_second(self, second: int) -> None:
        bed, measure = self._bed, self._bed.measure
        load = sum(self._measure_server(server_number, second) for server_number in range(len(bed.servers)))
        for balancer in bed.balancers:
            for line in balancer.new_log_lines():
                bed.history.note(balancer.party, LineLogged(line))
        if second < measure.seconds:
            measure.record_sample(
                second,
                load=load / bed.workload.capacity,
                standing=float(bed.clients.connected()),
                cap=float("nan"),
                line=float(bed.clients.waiting()),
                refused=float(measure.counts["refused"]),
                attempts=float(sum(server.attempts for server in bed.servers)),
                broken=float(measure.counts["broken"]),
                up=float(sum(server.model.is_up for server in bed.servers)),
                balancers=float(sum(balancer.is_running and not balancer.is_paused for balancer in bed.balancers)),
            )
        if self._live_view:
            self._live_view(bed)

    def _measure_server(self, number: int, second: int) -> float:
        """Returns the server's load, in microseconds of work a second."""
        bed, measure, server = self._bed, self._bed.measure, self._bed.servers[number]
        server.advance_second()
        if not server.model.is_up:
            if second < measure.seconds:
                measure.relative_loads[number, second] = -1
            return 0.0
        capacity = server.model.capacity(bed.engine.now)
        if second < measure.seconds:
            measure.relative_loads[number, second] = server.model.demand / capacity if capacity > 0 else 0.0
        if server.model.open_connections:
            message_us = int(min(MAX_MESSAGE_US, max(1, server.model.mean_message_us)))
            measure.messages.record_value(message_us, len(server.model.open_connections))
        return server.model.demand

    async def _close(self) -> None:
        self._faults.close()
        self._bed.close()
        if self._observer:
            self._observer.close()
        if self._operator:
            await self._operator.close()
        if self._bed.store:
            await self._bed.store.close()

    def _check(self) -> CheckResult:
        scenario, history = self._bed.scenario, self._bed.history
        limits = InvariantLimits(
            drain_grace_s=float(scenario.rules.drain_grace_ms) / 1000,
            answer_grace_s=float(scenario.rules.answer_grace_ms) / 1000,
            drain_permits=scenario.together.turnstile,
        )
        record = records_of(history)
        record.ended_s = history.events[-1].at_us / US_PER_S
        record.disagreements = tuple(self._disagreements)
        return check_history(history, limits, record)


def play(
    scenario: Scenario,
    seed: int,
    folder: Path,
    live_view: LiveView | None = None,
    network: LoopbackNetwork | None = None,
) -> tuple[ScenarioTestbed, dict[str, Any]]:
    """Plays a scenario on an event loop of its own, and returns its testbed and summary.

    Raises:
        BalancersNotReadyError: a balancer does not answer PING in time.
    """
    bed = ScenarioTestbed(scenario, seed, folder, network or LoopbackNetwork())
    return bed, asyncio.run(ScenarioRun(bed, live_view).play())
