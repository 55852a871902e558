"""Events per CPU second of the simulation engine and of SimPy, for the same chains of scheduled calls."""

from __future__ import annotations

import random
import statistics
import time
from collections.abc import Callable, Generator
from typing import Any, Protocol

import simpy

from glenrock.simulation.engine import HeapEngine

CHAIN_COUNT = 2000
EVENT_COUNT = 400_000
ROUNDS = 5


class Engine(Protocol):
    """The part of an engine that a chain of scheduled calls uses; times are in microseconds."""

    @property
    def now(self) -> int:
        """The simulated time."""
        ...

    def at(self, time_us: int, call: Callable[..., None], *arguments: Any) -> None:
        """Schedules a function call; `arguments` are passed to the function."""
        ...

    def run(self, until_us: int) -> None:
        """Makes all calls that are due up to and at that time."""
        ...


class SimpyEngine:
    """The same interface on top of a SimPy environment: each call is the callback of a SimPy timeout."""

    def __init__(self, start_us: int = 0) -> None:
        self.environment = simpy.Environment(initial_time=start_us)
        self.events = 0

    @property
    def now(self) -> int:
        """The simulated time."""
        return int(self.environment.now)

    def at(self, time_us: int, call: Callable[..., None], *arguments: Any) -> None:
        """Schedules a function call; `arguments` are passed to the function."""

        def run_call(_: simpy.events.Event) -> None:
            self.events += 1
            call(*arguments)

        callbacks = simpy.Timeout(self.environment, max(0, time_us - self.environment.now)).callbacks
        assert callbacks is not None, "a SimPy timeout that was just created has already been processed"
        callbacks.append(run_call)

    def run(self, until_us: int) -> None:
        """Makes all calls that are due up to and at that time."""
        self.environment.run(until=until_us + 1)


def measure_simpy_processes() -> float:
    """Returns the events per CPU second of SimPy with one process (a generator) per chain, its usual form."""
    rng = random.Random(1)
    environment = simpy.Environment()
    remaining_events = EVENT_COUNT

    def chain() -> Generator[simpy.events.Event, Any, None]:
        nonlocal remaining_events
        while remaining_events > 0:
            remaining_events -= 1
            yield environment.timeout(rng.randrange(1, 1000))

    for _ in range(CHAIN_COUNT):
        environment.process(chain())
    start_cpu_s = time.process_time()
    environment.run()
    return EVENT_COUNT / (time.process_time() - start_cpu_s)


def measure_scheduled_calls(engine: Engine) -> float:
    """Returns the events per CPU second of an engine with one scheduled call per step of a chain."""
    rng = random.Random(1)
    remaining_events = EVENT_COUNT

    def step() -> None:
        nonlocal remaining_events
        remaining_events -= 1
        if remaining_events > 0:
            engine.at(engine.now + rng.randrange(1, 1000), step)

    for _ in range(CHAIN_COUNT):
        engine.at(rng.randrange(1, 1000), step)
    start_cpu_s = time.process_time()
    engine.run(10**9)
    return EVENT_COUNT / (time.process_time() - start_cpu_s)


def main() -> None:
    """Prints the median rate of each engine; they alternate, so that a change of CPU speed affects all of them."""
    rates: dict[str, list[float]] = {"heapq": [], "SimPy, scheduled calls": [], "SimPy, processes": []}
    for _ in range(ROUNDS):
        rates["heapq"].append(measure_scheduled_calls(HeapEngine()))
        rates["SimPy, scheduled calls"].append(measure_scheduled_calls(SimpyEngine()))
        rates["SimPy, processes"].append(measure_simpy_processes())
    medians = {name: statistics.median(values) for name, values in rates.items()}
    for name, rate in medians.items():
        print(f"{name:28} {rate:12,.0f} events per CPU s   {rate / medians['heapq']:.2f} times heapq")


if __name__ == "__main__":
    main()
