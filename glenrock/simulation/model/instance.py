"""An instance: attempts through a queue and cores, open connections as a flow of work, slow start, overload.

Attempts are jobs, first come first served, each on one core. Open connections ask for work evenly, at a rate that
changes with their load; work that is not done is a backlog, and messages wait behind it. While open connections use
a fraction u of the cores, an attempt proceeds at (1 - u) of a core's speed, at least 0.15 of it, and takes that from
the connections. The model leaves out the cost of a large table of connections, and pauses of the process.

Times are microseconds, and work is microseconds on a standard core.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Generic, TypeVar

from ..engine import SECOND_US, Engine
from . import waits

AttemptT = TypeVar("AttemptT")  # an attempt to set up a connection, as the caller knows it; a key here

MIN_SETUP_SPEED = 0.15  # of a core, for an attempt beside open connections
MIN_CROWDED_SPEED = 0.2  # of a core, with many attempts at once
BUDGET_SLACK_LOADS = 5.0  # usual loads added to the slow-start budget, since arrivals vary
SHED_TO_FRACTION = 0.8  # of its capacity, to which an instance that sheds closes connections
MIN_CAPACITY = 1e-9  # divides in place of 0
KEPT_REPORTS = 8


class SetupAnswer(StrEnum):
    """An instance's answer to an attempt; all but `ESTABLISHED` are values of `AttemptOutcome` too."""

    ESTABLISHED = "up"
    FULL = "full"
    NO_CONNECTION = "no_connection"
    BROKEN = "broken"
    ERROR = "error"

    __hash__ = str.__hash__


@dataclass(slots=True, eq=False)
class Connection(Generic[AttemptT]):
    """An open connection.

    Attributes:
        host: index of its balancer.
        kind: index of its class.
        value: priority weight of a second in which it is served in time.
        load: work a second that it asks for.
        since: the instance's integral of its class when counting began.
        earned: seconds served in time that are not credited yet.
        opened: when it was opened.
        muted: whether its link is cut, so that nothing of it arrives.
    """

    attempt: AttemptT
    host: int
    kind: int
    group: int
    value: float
    load: float = 0.0
    since: float = 0.0
    earned: float = 0.0
    opened: int = 0
    muted: bool = False


@dataclass(slots=True)
class Shape:
    """The properties of one instance, as drawn for the run; its fields are keys of `[[kinds]]`.

    Attributes:
        warm_us: duration of the slow start.
        queue: attempts that may wait.
        connections: connections that it bears.
    """

    kind: str
    zone: int
    cores: int
    speed: float
    cold_part: float
    warm_us: float
    crowd_at: float
    crowd_loss: float
    queue: int
    connections: int
    buffer_s: float
    sheds: str


@dataclass(slots=True)
class Figures:
    """The figures that all instances of a run share.

    Attributes:
        message_us: work of a message.
        bursty: factor of waits over those of evenly spread messages.
        aims: message objective of each class.
        shortest_us: the shortest of them.
        group_load: load of each group with a connection at the instance.
        usual_load: usual load of a connection.
        report_us: interval of load reports.
        cold_multiple: slow-start budget, as a multiple of the load that fills the instance over its slow start.
        cold_window_us: window of the slow-start budget.
    """

    message_us: float
    bursty: float
    aims: tuple[float, ...]
    shortest_us: float
    group_load: float
    usual_load: float
    report_us: int
    cold_multiple: float
    cold_window_us: int


@dataclass(slots=True)
class Ledger:
    """Counts of work and attempts. asked + restored = done + backlog + lost, at any time.

    Attributes:
        jobs: attempts accepted.
        jobs_done: attempts set up for a caller that still waited.
        jobs_lost: attempts pending when the process ended.
        jobs_left: attempts abandoned by their caller.
    """

    asked: float = 0.0
    done: float = 0.0
    lost: float = 0.0
    jobs: int = 0
    jobs_done: int = 0
    jobs_lost: int = 0
    jobs_left: int = 0


@dataclass(slots=True, eq=False)
class Instance(Generic[AttemptT]):
    """A server, over all of its incarnations.

    Attributes:
        answer: called with the answer to an attempt.
        earn: called with time, class and priority weight of what was served.
        cell: failure domain within the zone.
        started: when the process started; 0: before the run.
        fallen: whether it was overloaded while cold; it does not start again.
        incarnation: number of ends of its process; a callback of an earlier incarnation has no effect.
        slow: fraction of its speed that a fault leaves.
        last: time up to which the flow of work is computed.
        demand: work a second that open connections ask for.
        piled: backlog of work.
        busy: work a second that attempts take.
        running: attempts on a core.
        queue: attempts that wait for a core, with their work.
        held: open connections by attempt.
        opening: attempts without an open connection, and whether they are set up.
        groups: number of open connections by group.
        values: priority weight a second of the open connections, by class.
        integrals: seconds served in time, by class.
        reports: load reports and their times.
        sent: attempts sent while cold: time, load, and whether the balancer knew of the start.
        sent_load: load of those within the budget's window.
        message_us: mean time of a message now.
    """

    name: str
    number: int
    shape: Shape
    figures: Figures
    answer: Callable[[AttemptT, SetupAnswer], None]
    engine: Engine
    earn: Callable[[int, int, float], None]
    cell: int = 0
    started: int = 0
    up: bool = True
    fallen: bool = False
    draining: bool = False
    incarnation: int = 0
    slow: float = 1.0
    last: int = 0
    demand: float = 0.0
    piled: float = 0.0
    busy: float = 0.0
    running: int = 0
    queue: deque[tuple[AttemptT, float]] = field(default_factory=deque)
    held: dict[AttemptT, Connection[AttemptT]] = field(default_factory=dict)
    opening: dict[AttemptT, bool] = field(default_factory=dict)
    groups: dict[int, int] = field(default_factory=dict)
    values: list[float] = field(default_factory=list)
    integrals: list[float] = field(default_factory=list)
    reports: deque[tuple[int, dict[str, float]]] = field(default_factory=lambda: deque(maxlen=KEPT_REPORTS))
    ledger: Ledger = field(default_factory=Ledger)
    sent: deque[tuple[int, float, bool]] = field(default_factory=deque)
    sent_load: float = 0.0
    message_us: float = 0.0

    def __post_init__(self) -> None:
        self.values = [0.0] * len(self.figures.aims)
        self.integrals = [0.0] * len(self.figures.aims)
        self.message_us = self.figures.message_us

    # -- capacity ------------------------------------------------------------------------------------

    def warmth(self, now: int) -> float:
        """Returns the fraction of its capacity that the slow start allows."""
        if not self.started or now - self.started >= self.shape.warm_us:
            return 1.0
        cold = self.shape.cold_part
        return cold + (1 - cold) * (now - self.started) / self.shape.warm_us

    def core(self, now: int) -> float:
        """Returns the work a second of one core."""
        shape = self.shape
        excess = (self.running + len(self.queue)) / shape.cores - shape.crowd_at
        efficiency = max(MIN_CROWDED_SPEED, 1 - shape.crowd_loss * excess) if excess > 0 else 1.0
        return SECOND_US * shape.speed * self.slow * self.warmth(now) * efficiency

    def capacity(self, now: int) -> float:
        """Returns the work a second of all cores."""
        return self.core(now) * self.shape.cores

    # -- time ----------------------------------------------------------------------------------------

    def advance(self, now: int) -> None:
        """Computes the flow of work up to now; since the last call only the slow start has changed anything."""
        span_us = now - self.last
        if span_us <= 0:
            return
        if self.up:
            self._report_load(now)
            self._flow(now, span_us / SECOND_US)
        self.last = now

    def _flow(self, now: int, seconds: float) -> None:
        capacity = self.capacity(now)
        available = max(0.0, capacity - self.busy)
        asked = self.demand * seconds
        backlog = max(0.0, self.piled + asked - available * seconds)
        self.ledger.asked += asked
        self.ledger.done += self.piled + asked - backlog
        if capacity > 0:
            utilization = self.demand / max(MIN_CAPACITY, available) if self.demand else 0.0
            mean_backlog_us = (self.piled + backlog) / 2 / capacity * SECOND_US
            self._serve_messages(seconds, utilization, mean_backlog_us)
        else:
            self.message_us = float("inf")
        self.piled = backlog

    def _serve_messages(self, seconds: float, utilization: float, backlog_us: float) -> None:
        figures, cores = self.figures, self.shape.cores
        work_us, bursty = figures.message_us, figures.bursty
        if utilization > 0 or backlog_us > 0:
            self.message_us = waits.mean_us(cores, utilization, work_us, bursty, backlog_us)
        else:
            self.message_us = work_us
        for kind, value in enumerate(self.values):
            if value:
                objective_us = figures.aims[kind]
                fraction = waits.in_time(cores, utilization, work_us, objective_us, bursty, backlog_us)
                self.integrals[kind] += fraction * seconds
                self.earn(self.last, kind, value * fraction * seconds)

    def _report_load(self, now: int) -> None:
        """Makes a load report, at most one in each interval; the intervals of instances are out of step."""
        interval_us = self.figures.report_us
        if (now - self.number) // interval_us == (self.last - self.number) // interval_us and self.reports:
            return
        capacity = max(MIN_CAPACITY, self.capacity(now))
        self.reports.append(
            (
                now,
                {
                    "load_ratio": self.demand / capacity,
                    "utilization": min(1.0, (self.demand + self.busy) / capacity),
                    "backlog": float(len(self.queue)),
                    "backlog_s": self.piled / capacity,
                    "inflight": float(len(self.held)),
                },
            )
        )

    def reported(self, then: int) -> dict[str, float]:
        """Returns the load report as of a time. Reports survive a restart, so one may describe the old process."""
        return next((report for at_us, report in reversed(self.reports) if at_us <= then), {})

    def tick(self, now: int) -> list[Connection[AttemptT]]:
        """Bounds the backlog, once a second. Returns the connections that it sheds for it."""
        self.advance(now)
        capacity = self.capacity(now)
        max_backlog = capacity * self.shape.buffer_s
        if not self.up or self.piled <= max_backlog:
            return []
        self.ledger.lost += self.piled - max_backlog
        self.piled = max_backlog
        return self._connections_to_shed(capacity)

    def _connections_to_shed(self, capacity: float) -> list[Connection[AttemptT]]:
        if self.shape.sheds == "none":
            return []
        connections = list(self.held.values())
        if self.shape.sheds == "newest":
            connections.reverse()
        else:
            connections.sort(key=lambda connection: -connection.load)
        to_shed, demand = [], self.demand
        for connection in connections:
            if demand <= SHED_TO_FRACTION * capacity:
                break
            demand -= connection.load
            to_shed.append(connection)
        return to_shed

    # -- attempts ------------------------------------------------------------------------------------

    def arrive(self, now: int, attempt: AttemptT, work: float, load: float, is_informed: bool) -> None:
        """Receives an attempt.

        Args:
            now: the time.
            attempt: the attempt.
            work: work of its set-up.
            load: load of its connection.
            is_informed: whether its balancer knows of this incarnation's start.
        """
        if not self.up:
            self.answer(attempt, SetupAnswer.NO_CONNECTION)
            return
        self.advance(now)
        if self._exceeds_slow_start_budget(now, load, is_informed):
            self.answer(attempt, SetupAnswer.BROKEN)
        elif self.draining or len(self.queue) >= self.shape.queue:
            self.answer(attempt, SetupAnswer.FULL)
        elif len(self.held) + len(self.opening) >= self.shape.connections:
            self.answer(attempt, SetupAnswer.NO_CONNECTION)
        else:
            self.ledger.jobs += 1
            self.opening[attempt] = False
            if self.running < self.shape.cores and self.slow > 0:
                self._start(now, attempt, work)
            else:
                self.queue.append((attempt, work))

    def _start(self, now: int, attempt: AttemptT, work: float) -> None:
        core = self.core(now)
        capacity = core * self.shape.cores
        rate = core * max(MIN_SETUP_SPEED, 1 - min(1.0, self.demand / capacity))
        self.running += 1
        self.busy += rate
        due_us = now + max(1, round(work / rate * SECOND_US))
        self.engine.at(due_us, self._finish_setup, attempt, rate, self.incarnation)

    def _finish_setup(self, attempt: AttemptT, rate: float, incarnation: int) -> None:
        if incarnation != self.incarnation:
            return
        now = self.engine.now
        self.advance(now)
        self.running -= 1
        self.busy = self.busy - rate if self.running else 0.0
        if attempt in self.opening:
            self.opening[attempt] = True
            self.ledger.jobs_done += 1
            self.answer(attempt, SetupAnswer.ESTABLISHED)
        self._start_waiting(now)

    def _start_waiting(self, now: int) -> None:
        while self.queue and self.running < self.shape.cores and self.slow > 0:
            attempt, work = self.queue.popleft()
            if attempt in self.opening:  # not abandoned
                self._start(now, attempt, work)

    def abandon(self, now: int, attempt: AttemptT) -> None:
        """Forgets an attempt that its caller has given up."""
        if self.opening.pop(attempt, True) is False:
            self.ledger.jobs_left += 1

    # -- open connections ----------------------------------------------------------------------------

    def open(self, now: int, connection: Connection[AttemptT], load: float) -> bool:
        """Opens a connection. Returns False if the instance has restarted since, and does not know its attempt."""
        if not self.up or connection.attempt not in self.opening:
            return False
        self.advance(now)
        del self.opening[connection.attempt]
        self.held[connection.attempt] = connection
        self.values[connection.kind] += connection.value
        connection.since = self.integrals[connection.kind]
        count = self.groups.get(connection.group, 0)
        self.groups[connection.group] = count + 1
        self.demand += load + (0.0 if count else self.figures.group_load)
        connection.load = load
        return True

    def load(self, now: int, connection: Connection[AttemptT], load: float) -> None:
        """Changes the load of a connection."""
        if connection.attempt in self.held and not connection.muted:
            self.advance(now)
            self.demand += load - connection.load
            connection.load = load

    def mute(self, now: int, connection: Connection[AttemptT], muted: bool, load: float) -> None:
        """Cuts or restores the link of a connection; while it is cut, nothing is asked and nothing is served."""
        if connection.muted == muted or connection.attempt not in self.held:
            return
        self.advance(now)
        if muted:
            connection.earned += self.integrals[connection.kind] - connection.since
            self.values[connection.kind] -= connection.value
            self.demand -= connection.load
            connection.load = 0.0
        else:
            connection.since = self.integrals[connection.kind]
            self.values[connection.kind] += connection.value
            self.demand += load
            connection.load = load
        connection.muted = muted

    def close(self, now: int, connection: Connection[AttemptT]) -> None:
        """Closes a connection; its `earned` is complete then."""
        if connection.attempt not in self.held:
            return
        self.advance(now)
        del self.held[connection.attempt]
        if not connection.muted:
            connection.earned += self.integrals[connection.kind] - connection.since
            self.values[connection.kind] -= connection.value
        count = self.groups[connection.group] - 1
        if count:
            self.groups[connection.group] = count
        else:
            del self.groups[connection.group]
        self.demand -= connection.load + (0.0 if count else self.figures.group_load)
        if not self.held:  # rounding errors do not add up
            self.demand, self.values = 0.0, [0.0] * len(self.values)

    # -- the process ---------------------------------------------------------------------------------

    def stop(self, now: int) -> tuple[list[Connection[AttemptT]], list[AttemptT]]:
        """Ends the process. Returns the connections and the pending attempts that it held."""
        self.advance(now)
        connections, pending = list(self.held.values()), list(self.opening)
        for connection in connections:
            self.close(now, connection)
        self.ledger.lost += self.piled
        self.ledger.jobs_lost += sum(not is_set_up for is_set_up in self.opening.values())
        self.up, self.incarnation = False, self.incarnation + 1
        self.queue.clear()
        self.opening.clear()
        self.piled = self.busy = 0.0
        self.running = 0
        return connections, pending

    def begin(self, now: int) -> None:
        """Starts a new process in slow start. Load reports of the old one stay until it has made its own."""
        self.advance(now)
        self.up, self.draining, self.started = True, False, now
        self.slow = 1.0
        self.sent.clear()
        self.sent_load = 0.0

    def set_slow(self, now: int, fraction: float) -> None:
        """Sets the fraction of its speed that a fault leaves."""
        self.advance(now)
        self.slow = fraction
        self._start_waiting(now)

    def work(self, now: int, work: float, waits: bool = True) -> float:
        """Does the work of a health check. Returns its time in microseconds, behind the backlog if it waits."""
        self.advance(now)
        capacity = self.capacity(now)
        if capacity <= 0:
            return float("inf")
        wait_us = self.piled / capacity * SECOND_US if waits else 0.0
        self.piled += work
        self.ledger.asked += work
        return wait_us + work / self.core(now) * SECOND_US

    def _exceeds_slow_start_budget(self, now: int, load: float, is_informed: bool) -> bool:
        """Counts load sent to a cold instance. Returns whether it overloads the instance.

        The budget is a multiple of the load that fills the instance evenly over its slow start, in any window of the
        stated length, with some slack. It covers the load of all balancers.
        """
        figures, shape = self.figures, self.shape
        if self.warmth(now) >= 1:
            return False
        self.sent.append((now, load, is_informed))
        self.sent_load += load
        while self.sent[0][0] <= now - figures.cold_window_us:
            self.sent_load -= self.sent.popleft()[1]
        rate = SECOND_US * shape.speed * shape.cores * self.warmth(now) / (shape.warm_us / SECOND_US)
        budget = figures.cold_multiple * rate * figures.cold_window_us / SECOND_US
        self.fallen = self.sent_load > budget + BUDGET_SLACK_LOADS * figures.usual_load
        return self.fallen
