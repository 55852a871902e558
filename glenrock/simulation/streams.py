"""Random numbers: one stream for each purpose, all from the run's seed (numpy `SeedSequence`, PCG64).

Two policies that meet the same seed meet the same arrivals, lives and faults (common random numbers), since
what one of them draws more often for itself comes from a stream of its own.
"""

from __future__ import annotations

from collections.abc import Callable

import numpy as np
from xxhash import xxh64_intdigest

BLOCK = 4096  # single draws from numpy cost a microsecond each; blocks cost a hundredth of that


class Streams:
    def __init__(self, seed: int) -> None:
        self.seed = seed

    def of(self, purpose: str) -> np.random.Generator:
        """The generator of that purpose; asked twice, it starts again."""
        return np.random.Generator(
            np.random.PCG64(np.random.SeedSequence([self.seed, xxh64_intdigest(purpose.encode())]))
        )

    def uniforms(self, purpose: str) -> Callable[[], float]:
        """A function that gives the next number in [0, 1)."""
        return blocks(self.of(purpose).random)

    def normals(self, purpose: str) -> Callable[[], float]:
        return blocks(self.of(purpose).standard_normal)

    def exponentials(self, purpose: str) -> Callable[[], float]:
        return blocks(self.of(purpose).standard_exponential)


def blocks(draw: Callable[[int], np.ndarray]) -> Callable[[], float]:
    held: list[float] = []

    def one() -> float:
        nonlocal held
        if not held:
            held = draw(BLOCK).tolist()
            held.reverse()
        return held.pop()

    return one
