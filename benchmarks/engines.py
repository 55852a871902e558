"""The engine of the simulation beside SimPy: the same chains of timed calls, events a second of CPU."""

from __future__ import annotations

import random
import time

import simpy

from glenrock.simulation.engine import HeapEngine

CHAINS, EVENTS = 2000, 400_000


class SimpyEngine:
    """The same interface over SimPy's environment: a time-out with a callback for each call."""

    def __init__(self, start_us: int = 0) -> None:
        self.env = simpy.Environment(initial_time=start_us)
        self.events = 0

    @property
    def now(self) -> int:
        return self.env.now

    def at(self, time_us, call, *given) -> None:
        def fire(_) -> None:
            self.events += 1
            call(*given)

        simpy.Timeout(self.env, max(0, time_us - self.env.now)).callbacks.append(fire)

    def run(self, until_us: int) -> None:
        self.env.run(until=until_us + 1)


def processes() -> float:
    """SimPy as it is meant to be written: a generator for each chain."""
    draw, env, left = random.Random(1), simpy.Environment(), [EVENTS]

    def chain():
        while left[0] > 0:
            left[0] -= 1
            yield env.timeout(draw.randrange(1, 1000))

    for _ in range(CHAINS):
        env.process(chain())
    begun = time.process_time()
    env.run()
    return EVENTS / (time.process_time() - begun)


def calls(engine) -> float:
    draw, left = random.Random(1), [EVENTS]

    def step() -> None:
        left[0] -= 1
        if left[0] > 0:
            engine.at(engine.now + draw.randrange(1, 1000), step)

    for _ in range(CHAINS):
        engine.at(draw.randrange(1, 1000), step)
    begun = time.process_time()
    engine.run(10**9)
    return EVENTS / (time.process_time() - begun)


def main() -> None:
    rates = {"heapq": [], "SimPy, the same interface": [], "SimPy, processes": []}
    for _ in range(5):  # by turns: a machine that slows down slows all of them
        rates["heapq"].append(calls(HeapEngine()))
        rates["SimPy, the same interface"].append(calls(SimpyEngine()))
        rates["SimPy, processes"].append(processes())
    best = {name: sorted(r)[len(r) // 2] for name, r in rates.items()}
    for name, rate in best.items():
        print(f"{name:28} {rate:12,.0f} events/s   {rate / best['heapq']:.2f} of heapq")


if __name__ == "__main__":
    main()
