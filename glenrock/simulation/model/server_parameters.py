"""The properties of the modelled servers, and their counts of work."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class ServerShape:
    """The properties of one server, as drawn for the run; its fields are keys of `[[kinds]]`.

    Attributes:
        slow_start_us: duration of the slow start.
        max_waiting_attempts: attempts that may wait.
        max_connections: connections that it bears.
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
    """The figures that all servers of a run share.

    Attributes:
        message_work_us: work of a message.
        burstiness: factor of waits over those of evenly spread messages.
        message_objectives_us: message objective of each class.
        shortest_objective_us: the shortest of them.
        group_load: load of each group with a connection at the server.
        base_load: usual load of a connection.
        load_report_interval_us: interval of load reports.
        slow_start_multiple: slow-start budget, as a multiple of the load that fills the server over its slow start.
        slow_start_window_us: window of the slow-start budget.
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
    """Counts of work and attempts. demanded = done + backlog + lost, at any time.

    Attributes:
        attempts: attempts accepted.
        attempts_set_up: attempts set up for a caller that still waited.
        attempts_lost: attempts pending when the process ended.
        attempts_abandoned: attempts abandoned by their caller.
    """

    demanded: float = 0.0
    done: float = 0.0
    lost: float = 0.0
    attempts: int = 0
    attempts_set_up: int = 0
    attempts_lost: int = 0
    attempts_abandoned: int = 0
