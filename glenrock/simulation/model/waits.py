"""Response times of messages at a server: an M/M/c queue (Erlang C) behind a backlog of work."""

from __future__ import annotations

from functools import lru_cache
from math import exp

UTILIZATION_STEPS = 512  # intervals of the table of Erlang C over utilization
MAX_UTILIZATION = 0.995  # bound for the mean response time, which is infinite at 1


def erlang_c(cores: int, utilization: float) -> float:
    """Returns the probability that all cores are busy (M/M/c)."""
    if utilization >= 1:
        return 1.0
    offered = cores * utilization
    blocked = 1.0  # Erlang B, computed by its recursion
    for core in range(1, cores + 1):
        blocked = offered * blocked / (core + offered * blocked)
    return blocked / (1 - utilization * (1 - blocked))


@lru_cache(maxsize=64)
def erlang_c_table(cores: int) -> tuple[float, ...]:
    """Returns `erlang_c` at `UTILIZATION_STEPS + 1` utilizations from 0 to 1."""
    return tuple(erlang_c(cores, step / UTILIZATION_STEPS) for step in range(UTILIZATION_STEPS + 1))


def fraction_in_time(
    cores: int, utilization: float, message_us: float, objective_us: float, burstiness: float, backlog_us: float
) -> float:
    """Returns the fraction of messages answered within their objective.

    M/M/c in its steady state behind a backlog: P(W > t) = C exp(-(1 - u) c t / m), with C from `erlang_c`, c cores,
    utilization u, and m the work of a message times `burstiness`. The model leaves out that messages of one
    connection wait for each other.
    """
    slack_us = objective_us - backlog_us - message_us
    if slack_us <= 0 or utilization >= 1:
        return 0.0
    wait_probability = erlang_c_table(cores)[int(utilization * UTILIZATION_STEPS)]
    return 1 - wait_probability * exp(-(1 - utilization) * cores * slack_us / (message_us * burstiness))


def mean_message_us(cores: int, utilization: float, message_us: float, burstiness: float, backlog_us: float) -> float:
    """Returns the mean response time of a message in microseconds, by the formula of `fraction_in_time`."""
    utilization = min(utilization, MAX_UTILIZATION)
    wait_probability = erlang_c_table(cores)[int(utilization * UTILIZATION_STEPS)]
    return message_us + backlog_us + wait_probability * message_us * burstiness / (cores * (1 - utilization))
