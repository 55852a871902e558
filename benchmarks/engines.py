"""The engine of the simulation beside SimPy: the same chains of timed calls, events a second of CPU."""

from __future__ import annotations

import random
import statistics
import time
from collections.abc import Callable, Generator
from typing import Any, Protocol

import simpy

from glenrock.simulation.engine import HeapEngine

CHAINS = 2000
EVENTS = 400_000
ROUNDS = 5


class Engine(Protocol):
    """What a chain of timed calls needs of an engine; times are in microseconds."""

    @property
    def now(self) -> int:
        """The simulated time."""
        ...

    def at(self, time_us: int, call: Callable[..., None], *arguments: Any) -> None:
        """Calls a function at that time."""
        ...

    def run(self, until_us: int) -> None:
        """Runs all calls up to that time."""
        ...


class SimpyEngine:
    """The same interface over SimPy's environment: a time-out with a callback for each call."""

    def __init__(self, start_us: int = 0) -> None:
        self.env = simpy.Environment(initial_time=start_us)
        self.events = 0

    @property
    def now(self) -> int:
        """The simulated time."""
        return int(self.env.now)

    def at(self, time_us: int, call: Callable[..., None], *arguments: Any) -> None:
        """Calls a function at that time."""

        def fire(_: simpy.events.Event) -> None:
            self.events += 1
            call(*arguments)

        callbacks = simpy.Timeout(self.env, max(0, time_us - self.env.now)).callbacks
        assert callbacks is not None, "the time-out has not fired yet"
        callbacks.append(fire)

    def run(self, until_us: int) -> None:
        """Runs all calls up to that time."""
        self.env.run(until=until_us + 1)


def processes() -> float:
    """Returns the events a second of SimPy with a generator for each chain, its usual form."""
    draw = random.Random(1)
    env = simpy.Environment()
    left = EVENTS

    def chain() -> Generator[simpy.events.Event, Any, None]:
        nonlocal left
        while left > 0:
            left -= 1
            yield env.timeout(draw.randrange(1, 1000))

    for _ in range(CHAINS):
        env.process(chain())
    started_s = time.process_time()
    env.run()
    return EVENTS / (time.process_time() - started_s)


def calls(engine: Engine) -> float:
    """Returns the events a second of an engine with a timed call for each step of a chain."""
    draw = random.Random(1)
    left = EVENTS

    def step() -> None:
        nonlocal left
        left -= 1
        if left > 0:
            engine.at(engine.now + draw.randrange(1, 1000), step)

    for _ in range(CHAINS):
        engine.at(draw.randrange(1, 1000), step)
    started_s = time.process_time()
    engine.run(10**9)
    return EVENTS / (time.process_time() - started_s)


def main() -> None:
    """Prints the median rate of each engine; they run in turn, so that a change of the machine's speed affects all."""
    rates: dict[str, list[float]] = {"heapq": [], "SimPy, the same interface": [], "SimPy, processes": []}
    for _ in range(ROUNDS):
        rates["heapq"].append(calls(HeapEngine()))
        rates["SimPy, the same interface"].append(calls(SimpyEngine()))
        rates["SimPy, processes"].append(processes())
    medians = {name: statistics.median(values) for name, values in rates.items()}
    for name, rate in medians.items():
        print(f"{name:28} {rate:12,.0f} events/s   {rate / medians['heapq']:.2f} of heapq")


if __name__ == "__main__":
    main()
