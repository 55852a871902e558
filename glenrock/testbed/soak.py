"""Soak runs: a plan drawn from a seed is played on real processes, judged, and shrunk where it fails."""

from __future__ import annotations

import asyncio
import random
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path

import uvloop

from .balancer_process import ROOT
from .call_faults import CallFaults, NoCompilerError, build
from .clients import Client
from .fault_player import FaultPlayer
from .fault_schedule import PlannedFault, SoakPlan, draw
from .invariant import InvariantLimits, Violation
from .invariants import check
from .testbed import FleetShape, Testbed

ANSWER_GRACE_S = 0.05  # of the rules on sockets
END_VISIBLE_S = 0.15  # one loop runs all stand-ins, so each may see an end this much later
CUT_OFF_WINDOW_S = 1.0  # an end is passed on within this
END_S = 12.0  # for the last clients after the shutdown
MAX_RUN_S = 90.0
LOG_LINES_SHOWN = 6
RESTING_SHARE, RETURN_S = 0.25, 0.05
CROSSING_SHARE, IDLE_S, CROSSING_S = 0.1, 10.0, 0.02  # requests sent just as the balancer ends a resting connection
HURRIED_SHARE, SHORTEST_MS, HURRIED_MS = 0.1, 5.0, 100.0  # requests with very little time left


@dataclass
class SoakResult:
    """What came of a run. `partial`: why it was not played to its end; empty where it was."""

    plan: SoakPlan
    violations: list[Violation] = field(default_factory=list)
    log_lines: dict[int, list[str]] = field(default_factory=dict)
    answers: Counter[str] = field(default_factory=Counter)
    partial: str = ""

    @property
    def is_clean(self) -> bool:
        """Whether it was played whole and no rule was broken."""
        return not self.violations and not self.partial

    def text(self) -> str:
        """A line for a clean run; the first breaches, the plan and the log for another."""
        shape = self.plan.shape
        head = (
            f"seed {self.plan.seed}: {shape.balancers} balancers, {shape.servers} servers, "
            f"{shape.descriptors} descriptors, d {shape.deadline_ms:.0f} ms, {shape.idempotency}, "
            f"{len(self.plan.faults)} faults; "
            + ", ".join(f"{count} {answer}" for answer, count in sorted(self.answers.items()))
        )
        if self.is_clean:
            return f"{head}; clean"
        lines = [f"{head}; {len(self.violations)} violations {self.partial}".rstrip()]
        lines += [
            f"  {one.invariant} at balancer {one.balancer}, {one.request_id}: {one.text}: {' | '.join(one.details)}"
            for one in self.violations[:8]
        ]
        lines += [f"  fault: {fault.text()}" for fault in self.plan.faults]
        for number, log_lines in self.log_lines.items():
            lines += [f"  log of {number}: {line}" for line in log_lines[-LOG_LINES_SHOWN:]]
        return "\n".join(lines)


def limits_of(shape: FleetShape) -> InvariantLimits:
    """Returns the limits that a run of that shape is checked against."""
    return InvariantLimits(
        drain_grace_s=shape.drain_grace_ms / 1000,
        answer_grace_s=ANSWER_GRACE_S,
        idempotency_window_s=shape.window_ms / 1000,
        end_visible_s=END_VISIBLE_S,
        cut_off_window_s=CUT_OFF_WINDOW_S,
    )


class SoakRun:
    """One run of a plan."""

    def __init__(self, plan: SoakPlan, source: Path) -> None:
        self._plan = plan
        self._rng = random.Random(plan.seed + 2)  # noqa: S311 - draws need be repeatable, not secret
        self._bed = Testbed(plan.shape, source=source)
        self._result = SoakResult(plan)
        self._traffic: set[asyncio.Task[None]] = set()

    async def play(self) -> SoakResult:
        """Plays and judges it."""
        async with self._bed as bed:
            call_faults = self._call_faults()
            await bed.start_balancers()
            player = FaultPlayer(bed, self._plan, call_faults)
            await self._play_faults(player)
            for faults in call_faults:
                faults.close()
            self._judge()
        return self._result

    def _call_faults(self) -> list[CallFaults]:
        try:
            build()
        except NoCompilerError:
            return []
        return [self._bed.call_faults(number, self._plan.seed) for number in range(self._plan.shape.balancers)]

    async def _play_faults(self, player: FaultPlayer) -> None:
        names = list(self._bed.servers)
        for number in range(self._plan.shape.balancers):
            for _ in range(self._plan.standing):
                self._bed.client(number, resumes_at=self._rng.choice(names), stays_s=60.0)
        faults = [asyncio.create_task(player.play(fault)) for fault in self._plan.faults]
        await self._send_requests(player)
        await self._shut_down(player)
        for task in faults:
            task.cancel()
        for task in self._traffic:
            task.cancel()
        outcomes = await asyncio.gather(*faults, *self._traffic, return_exceptions=True)
        failed = [one for one in outcomes if isinstance(one, Exception)]
        if failed:
            self._result.partial = f"partial: {failed[0]!r}"

    async def _send_requests(self, player: FaultPlayer) -> None:
        until_s = time.monotonic() + self._plan.seconds
        while time.monotonic() < until_s:
            if player.taken:
                number = self._rng.choice(sorted(player.taken))
                task = asyncio.create_task(self._follow(number, player))
                self._traffic.add(task)
                task.add_done_callback(self._traffic.discard)
            await asyncio.sleep(self._rng.expovariate(self._plan.requests_per_s))

    async def _follow(self, number: int, player: FaultPlayer) -> None:
        """A client that comes again when it is moved or cut off, until it has had enough."""
        rests_s = self._draw_rest()
        deadline_ms = self._plan.shape.deadline_ms
        if self._rng.random() < HURRIED_SHARE:
            deadline_ms = self._rng.uniform(SHORTEST_MS, HURRIED_MS)
        stays_until_s = time.monotonic() + self._rng.uniform(0.2, 12.0)
        returns = False
        while True:
            left_s = max(0.1, stays_until_s - time.monotonic())
            client = self._bed.client(number, stays_s=left_s, rest_s=rests_s, is_retry=returns, deadline_ms=deadline_ms)
            await self._until_ended(client)
            request = client.request
            if (
                not (request.is_up and (request.is_migrated or request.left_s > 1e9))
                or time.monotonic() > stays_until_s
            ):
                return
            await asyncio.sleep(RETURN_S)
            if not player.taken:
                return
            number, rests_s, returns = self._rng.choice(sorted(player.taken)), None, True

    def _draw_rest(self) -> float | None:
        draw = self._rng.random()
        if draw < CROSSING_SHARE:
            return IDLE_S + self._rng.uniform(-CROSSING_S, CROSSING_S)
        return self._rng.uniform(0.1, 6.0) if draw < RESTING_SHARE else None

    async def _until_ended(self, client: Client) -> None:
        await client.ended.wait()

    async def _shut_down(self, player: FaultPlayer) -> None:
        """All at once, while clients go on using their connections."""
        numbers = range(self._plan.shape.balancers)
        await asyncio.gather(*(player.terminate(number, restart=False) for number in numbers))
        await self._bed.until(lambda: not any(one.is_running for one in self._bed.processes), END_S)

    def _judge(self) -> None:
        record, result = self._bed.record, self._result
        for process in self._bed.processes:
            record.log_lines[process.number] = process.log_lines()
        result.violations = check(record, limits_of(self._plan.shape)).violations
        result.answers = Counter(request.answer.split(" ")[0] or "none" for request in record.requests)
        struck = {violation.balancer for violation in result.violations}
        result.log_lines = {number: lines for number, lines in record.log_lines.items() if number in struck}


def run(plan: SoakPlan, source: Path = ROOT) -> SoakResult:
    """Plays one plan on a loop of its own."""

    async def play() -> SoakResult:
        soak = SoakRun(plan, source)
        try:
            return await asyncio.wait_for(soak.play(), MAX_RUN_S)
        except (TimeoutError, OSError) as error:
            return SoakResult(plan, partial=f"partial: {error!r}")

    return uvloop.run(play())


def run_seed(seed: int, seconds: float = 10.0, source: Path = ROOT) -> SoakResult:
    """Draws the plan of a seed and plays it."""
    return run(draw(seed, seconds), source)


def shrink(result: SoakResult, source: Path, tell: Callable[[str], None]) -> SoakResult:
    """Leaves out each fault in turn, and keeps it out where the run still fails by the same rule."""
    rules = {violation.invariant for violation in result.violations}
    smallest = result
    for fault in result.plan.faults:
        plan = smallest.plan.without(fault)
        again = run(plan, source)
        still = bool(rules & {violation.invariant for violation in again.violations})
        tell(f"without {_name(fault)}: {'still fails' if still else 'clean'}")
        if still:
            smallest = again
    return smallest


def _name(fault: PlannedFault) -> str:
    return fault.text().strip()
