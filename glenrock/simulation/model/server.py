"""A server: a queue of connection attempts, open connections as a fluid flow of work, slow start, overload.

Attempts are jobs, served first come first served, each on one core. Open connections demand work at a constant rate
between changes of their load. Work that the server has not done yet is its backlog, and messages wait behind it.
While open connections use a fraction u of the cores, an attempt runs at (1 - u) of a core's speed, and at no less
than `MIN_SETUP_SPEED`; the connections lose the capacity that attempts take. The model leaves out the cost of a large
connection table, and pauses of the process.

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
from .server_parameters import ServerParameters, ServerShape, WorkCounts

AttemptT = TypeVar("AttemptT")  # the caller's type of a connection attempt; the model only uses it as a key

MIN_SETUP_SPEED = 0.15  # fraction of a core's speed for an attempt that competes with open connections
MIN_CONTENDED_SPEED = 0.2  # fraction of a core's speed while many attempts are running or queued
BUDGET_SLACK_CONNECTIONS = 5.0  # added to the slow-start budget at the base load of each, since arrivals vary
SHED_TO_FRACTION = 0.8  # a server that sheds closes connections until demand is this fraction of its capacity
MIN_CAPACITY = 1e-9  # avoids a division by 0
MAX_KEPT_REPORTS = 8


class SetupAnswer(StrEnum):
    """A server's answer to an attempt. All values but `ESTABLISHED` are also values of `AttemptOutcome`."""

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
        balancer_index: index of the balancer that opened it.
        class_index: index of its request class.
        group: affinity group of its client.
        priority_weight: priority weight of each second in which it is served in time.
        load: work per second that it demands.
        served_s_at_credit: the server's `served_s_by_class` of its class when the uncredited period began.
        uncredited_s: seconds served in time that have not been credited yet.
        opened_us: when it was opened.
        is_unreachable: whether a partition cuts its link, so that no message of it arrives.
    """

    attempt: AttemptT
    balancer_index: int
    class_index: int
    group: int
    priority_weight: float
    load: float = 0.0
    served_s_at_credit: float = 0.0
    uncredited_s: float = 0.0
    opened_us: int = 0
    is_unreachable: bool = False


@dataclass(slots=True, eq=False)
class ServerModel(Generic[AttemptT]):
    """A server, across restarts of its process.

    Attributes:
        number: index of the server in the fleet.
        send_answer: called with each attempt and the answer to it.
        record_served: called with the time, the class index and the priority weight that was served.
        cell: failure domain within the zone.
        started_us: when the process started; 0 if it started before the run.
        was_overloaded_while_warming_up: whether load sent during slow start overloaded it; it is not restarted then.
        incarnation: number of times that its process has ended; callbacks of an earlier incarnation have no effect.
        speed_fraction: fraction of its normal speed; a fault lowers it.
        computed_until_us: time up to which the flow of work has been computed.
        demand: work per second that open connections demand.
        backlog: work that was demanded and has not been done.
        setup_work_rate: work per second that running attempts take.
        running_setups: number of attempts that are running on a core.
        queue: attempts that wait for a core, with the work of each.
        open_connections: open connections by attempt.
        pending_attempts: attempts whose connection is not open yet, and whether their set-up is done.
        connections_by_group: number of open connections by affinity group.
        weight_by_class: total priority weight per second of the open connections, by class.
        served_s_by_class: integral over time of the fraction of messages served in time, in seconds, by class.
        load_reports: the latest load reports, each with the time when it was made.
        slow_start_arrivals: attempts received during slow start: time, load, whether the balancer knew of the start.
        slow_start_load: total load of `slow_start_arrivals`, which are those within the budget's window.
        mean_message_us: current mean response time of a message.
    """

    name: str
    number: int
    shape: ServerShape
    parameters: ServerParameters
    send_answer: Callable[[AttemptT, SetupAnswer], None]
    engine: Engine
    record_served: Callable[[int, int, float], None]
    cell: int = 0
    started_us: int = 0
    is_up: bool = True
    was_overloaded_while_warming_up: bool = False
    is_draining: bool = False
    incarnation: int = 0
    speed_fraction: float = 1.0
    computed_until_us: int = 0
    demand: float = 0.0
    backlog: float = 0.0
    setup_work_rate: float = 0.0
    running_setups: int = 0
    queue: deque[tuple[AttemptT, float]] = field(default_factory=deque)
    open_connections: dict[AttemptT, Connection[AttemptT]] = field(default_factory=dict)
    pending_attempts: dict[AttemptT, bool] = field(default_factory=dict)
    connections_by_group: dict[int, int] = field(default_factory=dict)
    weight_by_class: list[float] = field(default_factory=list)
    served_s_by_class: list[float] = field(default_factory=list)
    load_reports: deque[tuple[int, dict[str, float]]] = field(default_factory=lambda: deque(maxlen=MAX_KEPT_REPORTS))
    work_counts: WorkCounts = field(default_factory=WorkCounts)
    slow_start_arrivals: deque[tuple[int, float, bool]] = field(default_factory=deque)
    slow_start_load: float = 0.0
    mean_message_us: float = 0.0

    def __post_init__(self) -> None:
        self.weight_by_class = [0.0] * len(self.parameters.message_objectives_us)
        self.served_s_by_class = [0.0] * len(self.parameters.message_objectives_us)
        self.mean_message_us = self.parameters.message_work_us

    # -- capacity ------------------------------------------------------------------------------------

    def slow_start_fraction(self, now: int) -> float:
        """Returns the fraction of full capacity that the server has at this point of its slow start."""
        if not self.started_us or now - self.started_us >= self.shape.slow_start_us:
            return 1.0
        initial = self.shape.initial_fraction
        return initial + (1 - initial) * (now - self.started_us) / self.shape.slow_start_us

    def core_rate(self, now: int) -> float:
        """Returns the work per second that one core does."""
        shape = self.shape
        excess = (self.running_setups + len(self.queue)) / shape.cores - shape.contention_threshold
        efficiency = max(MIN_CONTENDED_SPEED, 1 - shape.contention_loss * excess) if excess > 0 else 1.0
        return SECOND_US * shape.speed * self.speed_fraction * self.slow_start_fraction(now) * efficiency

    def capacity(self, now: int) -> float:
        """Returns the work per second that all cores do."""
        return self.core_rate(now) * self.shape.cores

    # -- flow of work --------------------------------------------------------------------------------

    def advance(self, now: int) -> None:
        """Computes the flow of work up to now. Since the last call, only slow start has changed any rate."""
        elapsed_us = now - self.computed_until_us
        if elapsed_us <= 0:
            return
        if self.is_up:
            self._update_load_report(now)
            self._process_work(now, elapsed_us / SECOND_US)
        self.computed_until_us = now

    def _process_work(self, now: int, seconds: float) -> None:
        capacity = self.capacity(now)
        available = max(0.0, capacity - self.setup_work_rate)
        demanded = self.demand * seconds
        backlog = max(0.0, self.backlog + demanded - available * seconds)
        self.work_counts.demanded += demanded
        self.work_counts.done += self.backlog + demanded - backlog
        if capacity > 0:
            utilization = self.demand / max(MIN_CAPACITY, available) if self.demand else 0.0
            mean_backlog_us = (self.backlog + backlog) / 2 / capacity * SECOND_US
            self._serve_messages(seconds, utilization, mean_backlog_us)
        else:
            self.mean_message_us = float("inf")
        self.backlog = backlog

    def _serve_messages(self, seconds: float, utilization: float, backlog_us: float) -> None:
        parameters, cores = self.parameters, self.shape.cores
        work_us, burstiness = parameters.message_work_us, parameters.burstiness
        if utilization > 0 or backlog_us > 0:
            self.mean_message_us = waits.mean_message_us(cores, utilization, work_us, burstiness, backlog_us)
        else:
            self.mean_message_us = work_us
        for class_index, weight in enumerate(self.weight_by_class):
            if weight:
                objective_us = parameters.message_objectives_us[class_index]
                fraction = waits.fraction_in_time(cores, utilization, work_us, objective_us, burstiness, backlog_us)
                self.served_s_by_class[class_index] += fraction * seconds
                self.record_served(self.computed_until_us, class_index, weight * fraction * seconds)

    def _update_load_report(self, now: int) -> None:
        """Makes a load report, at most one per interval; servers have different offsets of their intervals."""
        interval_us = self.parameters.load_report_interval_us
        if (now - self.number) // interval_us == (
            self.computed_until_us - self.number
        ) // interval_us and self.load_reports:
            return
        capacity = max(MIN_CAPACITY, self.capacity(now))
        self.load_reports.append(
            (
                now,
                {
                    "load_ratio": self.demand / capacity,
                    "utilization": min(1.0, (self.demand + self.setup_work_rate) / capacity),
                    "backlog": float(len(self.queue)),
                    "backlog_s": self.backlog / capacity,
                    "inflight": float(len(self.open_connections)),
                },
            )
        )

    def load_report_at(self, as_of_us: int) -> dict[str, float]:
        """Returns the last load report as of a time. It may describe the process before a restart."""
        return next((report for at_us, report in reversed(self.load_reports) if at_us <= as_of_us), {})

    def bound_backlog(self, now: int) -> list[Connection[AttemptT]]:
        """Drops the work above the maximum backlog. Returns the connections to shed if there was any.

        The caller calls it once per second.
        """
        self.advance(now)
        capacity = self.capacity(now)
        max_backlog = capacity * self.shape.max_backlog_s
        if not self.is_up or self.backlog <= max_backlog:
            return []
        self.work_counts.lost += self.backlog - max_backlog
        self.backlog = max_backlog
        return self._connections_to_shed(capacity)

    def _connections_to_shed(self, capacity: float) -> list[Connection[AttemptT]]:
        if self.shape.shedding == "none":
            return []
        connections = list(self.open_connections.values())
        if self.shape.shedding == "newest":
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

    def receive_attempt(self, now: int, attempt: AttemptT, work: float, load: float, is_informed: bool) -> None:
        """Receives an attempt.

        Args:
            now: the time.
            attempt: the attempt.
            work: work of its set-up.
            load: load that its connection is expected to have.
            is_informed: whether its balancer knows that this incarnation of the server has started.
        """
        if not self.is_up:
            self.send_answer(attempt, SetupAnswer.NO_CONNECTION)
            return
        self.advance(now)
        if self._exceeds_slow_start_budget(now, load, is_informed):
            self.send_answer(attempt, SetupAnswer.BROKEN)
        elif self.is_draining or len(self.queue) >= self.shape.max_waiting_attempts:
            self.send_answer(attempt, SetupAnswer.FULL)
        elif len(self.open_connections) + len(self.pending_attempts) >= self.shape.max_connections:
            self.send_answer(attempt, SetupAnswer.NO_CONNECTION)
        else:
            self.work_counts.attempts += 1
            self.pending_attempts[attempt] = False
            if self.running_setups < self.shape.cores and self.speed_fraction > 0:
                self._start_setup(now, attempt, work)
            else:
                self.queue.append((attempt, work))

    def _start_setup(self, now: int, attempt: AttemptT, work: float) -> None:
        core = self.core_rate(now)
        capacity = core * self.shape.cores
        rate = core * max(MIN_SETUP_SPEED, 1 - min(1.0, self.demand / capacity))
        self.running_setups += 1
        self.setup_work_rate += rate
        due_us = now + max(1, round(work / rate * SECOND_US))
        self.engine.at(due_us, self._finish_setup, attempt, rate, self.incarnation)

    def _finish_setup(self, attempt: AttemptT, rate: float, incarnation: int) -> None:
        if incarnation != self.incarnation:
            return
        now = self.engine.now
        self.advance(now)
        self.running_setups -= 1
        self.setup_work_rate = self.setup_work_rate - rate if self.running_setups else 0.0
        if attempt in self.pending_attempts:
            self.pending_attempts[attempt] = True
            self.work_counts.attempts_set_up += 1
            self.send_answer(attempt, SetupAnswer.ESTABLISHED)
        self._start_queued_setups(now)

    def _start_queued_setups(self, now: int) -> None:
        while self.queue and self.running_setups < self.shape.cores and self.speed_fraction > 0:
            attempt, work = self.queue.popleft()
            if attempt in self.pending_attempts:  # not abandoned
                self._start_setup(now, attempt, work)

    def abandon(self, now: int, attempt: AttemptT) -> None:
        """Drops an attempt that its balancer has abandoned."""
        if self.pending_attempts.pop(attempt, True) is False:
            self.work_counts.attempts_abandoned += 1

    # -- open connections ----------------------------------------------------------------------------

    def open(self, now: int, connection: Connection[AttemptT], load: float) -> bool:
        """Opens the connection of an attempt. Returns False if the server has lost the attempt in a restart."""
        if not self.is_up or connection.attempt not in self.pending_attempts:
            return False
        self.advance(now)
        del self.pending_attempts[connection.attempt]
        self.open_connections[connection.attempt] = connection
        self.weight_by_class[connection.class_index] += connection.priority_weight
        connection.served_s_at_credit = self.served_s_by_class[connection.class_index]
        count = self.connections_by_group.get(connection.group, 0)
        self.connections_by_group[connection.group] = count + 1
        self.demand += load + (0.0 if count else self.parameters.group_load)
        connection.load = load
        return True

    def change_load(self, now: int, connection: Connection[AttemptT], load: float) -> None:
        """Changes the load of a connection."""
        if connection.attempt in self.open_connections and not connection.is_unreachable:
            self.advance(now)
            self.demand += load - connection.load
            connection.load = load

    def set_unreachable(self, now: int, connection: Connection[AttemptT], is_unreachable: bool, load: float) -> None:
        """Cuts or restores the link of a connection, which demands no work and is not served while its link is cut."""
        if connection.is_unreachable == is_unreachable or connection.attempt not in self.open_connections:
            return
        self.advance(now)
        if is_unreachable:
            connection.uncredited_s += self.served_s_by_class[connection.class_index] - connection.served_s_at_credit
            self.weight_by_class[connection.class_index] -= connection.priority_weight
            self.demand -= connection.load
            connection.load = 0.0
        else:
            connection.served_s_at_credit = self.served_s_by_class[connection.class_index]
            self.weight_by_class[connection.class_index] += connection.priority_weight
            self.demand += load
            connection.load = load
        connection.is_unreachable = is_unreachable

    def close(self, now: int, connection: Connection[AttemptT]) -> None:
        """Closes a connection; its `uncredited_s` is complete then."""
        if connection.attempt not in self.open_connections:
            return
        self.advance(now)
        del self.open_connections[connection.attempt]
        if not connection.is_unreachable:
            connection.uncredited_s += self.served_s_by_class[connection.class_index] - connection.served_s_at_credit
            self.weight_by_class[connection.class_index] -= connection.priority_weight
        count = self.connections_by_group[connection.group] - 1
        if count:
            self.connections_by_group[connection.group] = count
        else:
            del self.connections_by_group[connection.group]
        self.demand -= connection.load + (0.0 if count else self.parameters.group_load)
        if not self.open_connections:  # keeps rounding errors from accumulating
            self.demand, self.weight_by_class = 0.0, [0.0] * len(self.weight_by_class)

    # -- the process ---------------------------------------------------------------------------------

    def stop(self, now: int) -> tuple[list[Connection[AttemptT]], list[AttemptT]]:
        """Ends the process. Returns its open connections and its pending attempts."""
        self.advance(now)
        connections, pending = list(self.open_connections.values()), list(self.pending_attempts)
        for connection in connections:
            self.close(now, connection)
        self.work_counts.lost += self.backlog
        self.work_counts.attempts_lost += sum(not is_set_up for is_set_up in self.pending_attempts.values())
        self.is_up, self.incarnation = False, self.incarnation + 1
        self.queue.clear()
        self.pending_attempts.clear()
        self.backlog = self.setup_work_rate = 0.0
        self.running_setups = 0
        return connections, pending

    def start(self, now: int) -> None:
        """Starts a new process, in slow start. Load reports of the old process stay until the new one makes its own."""
        self.advance(now)
        self.is_up, self.is_draining, self.started_us = True, False, now
        self.speed_fraction = 1.0
        self.slow_start_arrivals.clear()
        self.slow_start_load = 0.0

    def set_speed_fraction(self, now: int, fraction: float) -> None:
        """Sets the fraction of its normal speed at which the server runs."""
        self.advance(now)
        self.speed_fraction = fraction
        self._start_queued_setups(now)

    def do_health_check(self, now: int, work: float, waits_for_backlog: bool = True) -> float:
        """Adds the work of a health check. Returns its response time in microseconds, infinite without any capacity."""
        self.advance(now)
        capacity = self.capacity(now)
        if capacity <= 0:
            return float("inf")
        wait_us = self.backlog / capacity * SECOND_US if waits_for_backlog else 0.0
        self.backlog += work
        self.work_counts.demanded += work
        return wait_us + work / self.core_rate(now) * SECOND_US

    def _exceeds_slow_start_budget(self, now: int, load: float, is_informed: bool) -> bool:
        """Counts load sent during slow start. Returns whether it exceeds the budget and so overloads the server.

        A server that fills evenly over its slow start takes a certain load in each window. The budget for any window
        is a multiple of that load, with some slack, for all balancers together.
        """
        parameters, shape = self.parameters, self.shape
        if self.slow_start_fraction(now) >= 1:
            return False
        self.slow_start_arrivals.append((now, load, is_informed))
        self.slow_start_load += load
        while self.slow_start_arrivals[0][0] <= now - parameters.slow_start_window_us:
            self.slow_start_load -= self.slow_start_arrivals.popleft()[1]
        rate = SECOND_US * shape.speed * shape.cores * self.slow_start_fraction(now) / (shape.slow_start_us / SECOND_US)
        budget = parameters.slow_start_multiple * rate * parameters.slow_start_window_us / SECOND_US
        self.was_overloaded_while_warming_up = (
            self.slow_start_load > budget + BUDGET_SLACK_CONNECTIONS * parameters.base_load
        )
        return self.was_overloaded_while_warming_up
