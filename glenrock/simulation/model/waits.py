"""How long messages take at an instance: Erlang's formula for several cores, and what has piled up."""

from __future__ import annotations

from functools import lru_cache
from math import exp

STEPS = 512


def erlang_c(cores: int, busy: float) -> float:
    """The chance that all cores are busy, `busy` being the part of them in use (M/M/c), 0 to 1."""
    if busy >= 1:
        return 1.0
    offered = cores * busy
    blocked = 1.0  # Erlang B, by its recursion
    for n in range(1, cores + 1):
        blocked = offered * blocked / (n + offered * blocked)
    return blocked / (1 - busy * (1 - blocked))


@lru_cache(maxsize=64)
def chances(cores: int) -> tuple[float, ...]:
    return tuple(erlang_c(cores, n / STEPS) for n in range(STEPS + 1))


def in_time(cores: int, busy: float, message_us: float, aim_us: float, bursty: float, piled_us: float) -> float:
    """The part of messages answered within `aim_us`.

    M/M/c in its steady state behind work piled up for `piled_us`: P(W > t) = C exp(-(1 - busy) c t / m), with m
    stretched by `bursty`. Left out: that messages of one connection wait for each other.
    """
    left = aim_us - piled_us - message_us
    if left <= 0 or busy >= 1:
        return 0.0
    waits = chances(cores)[int(busy * STEPS)]
    return 1 - waits * exp(-(1 - busy) * cores * left / (message_us * bursty))


def mean_us(cores: int, busy: float, message_us: float, bursty: float, piled_us: float) -> float:
    """The mean time of a message, with the same formula; at most as if 0.995 of the cores were busy."""
    busy = min(busy, 0.995)
    return message_us + piled_us + chances(cores)[int(busy * STEPS)] * message_us * bursty / (cores * (1 - busy))
