"""The parameters of the modelled servers, and their counters of work."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class ServerShape:
    """The parameters of one server, drawn for the run from its kind (`[[kinds]]` of an experiment).

    Attributes:
        kind: name of its kind.
        zone: index of its zone.
        speed: speed of a core, as a multiple of a standard core.
        initial_fraction: fraction of its capacity at the begin of slow start.
        slow_start_us: duration of slow start.
        contention_threshold: attempts per core, running or queued, above which cores slow down.
        contention_loss: fraction of a core's speed lost for each attempt per core above the threshold.
        max_waiting_attempts: maximum number of queued attempts.
        max_connections: maximum number of connections, pending ones included.
        max_backlog_s: maximum backlog, in seconds of work of all cores.
        shedding: connections that it closes when the backlog exceeds the maximum: none, the newest or the heaviest.
    """

    kind: str
    zone: int
    cores: int
    speed: float
    initial_fraction: float
    slow_start_us: float
    contention_threshold: float
    contention_loss: float
    max_waiting_attempts: int
    max_connections: int
    max_backlog_s: float
    shedding: str


@dataclass(slots=True)
class ServerParameters:
    """The parameters that all servers of a run share.

    Attributes:
        message_work_us: work of a message.
        burstiness: factor by which waits are longer than with Poisson arrivals of messages.
        message_objectives_us: response-time objective of messages, by class.
        shortest_objective_us: the shortest of these objectives.
        group_load: additional load of each affinity group that has a connection at the server.
        base_load: load of a connection of a class with relative load 1.
        load_report_interval_us: interval between load reports.
        slow_start_multiple: slow-start budget, as a multiple of the load that fills the server over its slow start.
        slow_start_window_us: length of the window that the slow-start budget applies to.
    """

    message_work_us: float
    burstiness: float
    message_objectives_us: tuple[float, ...]
    shortest_objective_us: float
    group_load: float
    base_load: float
    load_report_interval_us: int
    slow_start_multiple: float
    slow_start_window_us: int


@dataclass(slots=True)
class WorkCounts:
    """Counters of work and attempts. At any time, demanded = done + backlog + lost.

    Attributes:
        demanded: work demanded by connections and health checks.
        done: work done.
        lost: work dropped above the maximum backlog, or lost when the process ended.
        attempts: attempts accepted.
        attempts_set_up: attempts set up before their balancer abandoned them.
        attempts_lost: attempts not set up when the process ended.
        attempts_abandoned: attempts that their balancer abandoned before they were set up.
    """

    demanded: float = 0.0
    done: float = 0.0
    lost: float = 0.0
    attempts: int = 0
    attempts_set_up: int = 0
    attempts_lost: int = 0
    attempts_abandoned: int = 0
