"""Soak runs: a plan drawn from a seed is played on real processes, checked, and shrunk where it fails."""

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
from .call_faults import Call, CallFaults, NoCompilerError, build
from .fault_player import STALL_MS, FaultPlayer
from .fault_schedule import SoakPlan, draw
from .invariant import NEVER, InvariantLimits, Violation
from .invariants import check
from .notification_deadlines import NotificationDeadlines
from .records import StallRecord
from .testbed import FleetShape, Testbed

ANSWER_GRACE_S = 0.05  # added to each deadline on sockets
END_VISIBLE_S = 0.15  # one loop runs all stand-ins, so each may see an end this much later
CUT_OFF_WINDOW_S = 1.0  # an end is passed on within this
SHUTDOWN_S = 12.0  # for the processes to end
MAX_RUN_S = 90.0
LOG_LINES_SHOWN = 6
RESTING_PROBABILITY = 0.25  # of clients that rest before their request
RETRY_DELAY_S = 0.05
CROSSING_PROBABILITY = 0.1  # of requests sent close to when the balancer closes an idle connection
IDLE_TIMEOUT_S, CROSSING_S = 10.0, 0.02
SHORT_DEADLINE_PROBABILITY, SHORT_DEADLINE_MS = 0.1, (5.0, 100.0)
STAY_S, REST_S = (0.2, 12.0), (0.1, 6.0)
RESUMED_STAY_S = 60.0
MAX_SHOWN_VIOLATIONS = 8


@dataclass
class SoakResult:
    """The result of a run.

    Attributes:
        log_lines: of the balancers at which an invariant was violated.
        answers: by their first word.
        partial: why the run was not played to its end; empty where it was.
    """

    plan: SoakPlan
    violations: list[Violation] = field(default_factory=list)
    log_lines: dict[int, list[str]] = field(default_factory=dict)
    answers: Counter[str] = field(default_factory=Counter)
    partial: str = ""

    @property
    def is_clean(self) -> bool:
        """Whether it was played to its end without a violation."""
        return not self.violations and not self.partial

    def text(self) -> str:
        """Returns one line for a clean run; else also the first violations, the faults and the log."""
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
        lines += [_violation_text(violation) for violation in self.violations[:MAX_SHOWN_VIOLATIONS]]
        lines += [f"  fault: {fault.text()}" for fault in self.plan.faults]
        for number, log_lines in self.log_lines.items():
            lines += [f"  log of {number}: {line}" for line in log_lines[-LOG_LINES_SHOWN:]]
        return "\n".join(lines)


def _violation_text(violation: Violation) -> str:
    place = f"  {violation.invariant} at balancer {violation.balancer}, {violation.request_id}"
    return f"{place}: {violation.text}: {' | '.join(violation.details)}"


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
        self._requests: set[asyncio.Task[None]] = set()

    async def play(self) -> SoakResult:
        """Plays the plan and checks the invariants."""
        async with self._bed as bed:
            call_faults = self._call_faults()
            await bed.start_balancers()
            player = FaultPlayer(bed, self._plan, call_faults)
            await self._play_faults(player)
            for number, faults in enumerate(call_faults):
                self._record_stalls(number, faults)
                faults.close()
            self._check()
        return self._result

    def _record_stalls(self, number: int, faults: CallFaults) -> None:
        for injected in faults.injected():
            if injected.call is Call.STALL:
                self._bed.record.stalls.append(StallRecord(number, injected.at_s, injected.at_s + STALL_MS / 1000))

    def _call_faults(self) -> list[CallFaults]:
        try:
            build()
        except NoCompilerError:
            return []
        return [self._bed.prepare_call_faults(number, self._plan.seed) for number in range(self._plan.shape.balancers)]

    async def _play_faults(self, player: FaultPlayer) -> None:
        names = list(self._bed.servers)
        for number in range(self._plan.shape.balancers):
            for _ in range(self._plan.resumed):
                self._bed.start_client(number, resumes_at=self._rng.choice(names), stays_s=RESUMED_STAY_S)
        deadlines = NotificationDeadlines(
            self._bed.directory, self._bed.record, player.reachable_agent, self._plan.shape.balancers
        )
        noting = asyncio.create_task(deadlines.run())
        faults = [asyncio.create_task(player.play(fault)) for fault in self._plan.faults]
        await self._send_requests(player)
        await self._shut_down(player)
        for task in (noting, *faults, *self._requests):
            task.cancel()
        outcomes = await asyncio.gather(noting, *faults, *self._requests, return_exceptions=True)
        failed = [outcome for outcome in outcomes if isinstance(outcome, Exception)]
        if failed:
            self._result.partial = f"partial: {failed[0]!r}"

    async def _send_requests(self, player: FaultPlayer) -> None:
        until_s = time.monotonic() + self._plan.seconds
        while time.monotonic() < until_s:
            if player.ready:
                number = self._rng.choice(sorted(player.ready))
                task = asyncio.create_task(self._play_client(number, player))
                self._requests.add(task)
                task.add_done_callback(self._requests.discard)
            await asyncio.sleep(self._rng.expovariate(self._plan.requests_per_s))

    async def _play_client(self, number: int, player: FaultPlayer) -> None:
        """Plays a client that connects again after a migration or a break, until its time is over."""
        rest_s = self._draw_rest_s()
        deadline_ms = self._plan.shape.deadline_ms
        if self._rng.random() < SHORT_DEADLINE_PROBABILITY:
            deadline_ms = self._rng.uniform(*SHORT_DEADLINE_MS)
        stays_until_s = time.monotonic() + self._rng.uniform(*STAY_S)
        is_retry = False
        while True:
            left_s = max(0.1, stays_until_s - time.monotonic())
            client = self._bed.start_client(
                number, stays_s=left_s, rest_s=rest_s, is_retry=is_retry, deadline_ms=deadline_ms
            )
            await client.ended.wait()
            request = client.request
            if (
                not (request.is_up and (request.is_migrated or request.left_s == NEVER))
                or time.monotonic() > stays_until_s
            ):
                return
            await asyncio.sleep(RETRY_DELAY_S)
            if not player.ready:
                return
            number, rest_s, is_retry = self._rng.choice(sorted(player.ready)), None, True

    def _draw_rest_s(self) -> float | None:
        draw = self._rng.random()
        if draw < CROSSING_PROBABILITY:
            return IDLE_TIMEOUT_S + self._rng.uniform(-CROSSING_S, CROSSING_S)
        return self._rng.uniform(*REST_S) if draw < RESTING_PROBABILITY else None

    async def _shut_down(self, player: FaultPlayer) -> None:
        """Terminates all balancers at once, while clients use their connections."""
        numbers = range(self._plan.shape.balancers)
        await asyncio.gather(*(player.terminate(number, restart=False) for number in numbers))
        await self._bed.wait_until(lambda: not any(process.is_running for process in self._bed.processes), SHUTDOWN_S)

    def _check(self) -> None:
        record, result = self._bed.record, self._result
        for process in self._bed.processes:
            record.log_lines[process.number] = process.log_lines()
        result.violations = check(record, limits_of(self._plan.shape)).violations
        result.answers = Counter(request.answer.split(" ")[0] or "none" for request in record.requests)
        violating = {violation.balancer for violation in result.violations}
        result.log_lines = {number: lines for number, lines in record.log_lines.items() if number in violating}


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


def shrink(result: SoakResult, source: Path, show: Callable[[str], None]) -> SoakResult:
    """Leaves out each fault in turn, and for good where the run still violates one of the invariants.

    Args:
        result: of the whole plan.
        source: the checkout of the program.
        show: is called with a line for each fault.
    """
    violated = {violation.invariant for violation in result.violations}
    smallest = result
    for fault in result.plan.faults:
        plan = smallest.plan.without(fault)
        shorter = run(plan, source)
        still = bool(violated & {violation.invariant for violation in shorter.violations})
        show(f"without {fault.text().strip()}: {'still fails' if still else 'clean'}")
        if still:
            smallest = shorter
    return smallest
