"""Random numbers: a stream for each purpose, all derived from the seed of the run (numpy `SeedSequence`, PCG64).

Draws that depend on the policy come from separate streams. Runs of two policies with the same seed therefore have the
same arrivals, lifetimes and faults (common random numbers).
"""

from __future__ import annotations

from collections.abc import Callable

import numpy as np
import numpy.typing as npt
from xxhash import xxh64_intdigest

BLOCK_SIZE = 4096  # numbers per draw; drawing a block is much cheaper than as many single draws


class Streams:
    """The random streams of a run, by purpose."""

    def __init__(self, seed: int) -> None:
        self.seed = seed

    def generator(self, purpose: str) -> np.random.Generator:
        """Returns a new generator for a purpose; another call for the same purpose restarts the stream."""
        return np.random.Generator(
            np.random.PCG64(np.random.SeedSequence([self.seed, xxh64_intdigest(purpose.encode())]))
        )

    def uniforms(self, purpose: str) -> Callable[[], float]:
        """Returns a function that draws uniform numbers in [0, 1)."""
        return draw_in_blocks(self.generator(purpose).random)

    def normals(self, purpose: str) -> Callable[[], float]:
        """Returns a function that draws standard normal numbers."""
        return draw_in_blocks(self.generator(purpose).standard_normal)

    def exponentials(self, purpose: str) -> Callable[[], float]:
        """Returns a function that draws exponential numbers with mean 1."""
        return draw_in_blocks(self.generator(purpose).standard_exponential)


def draw_in_blocks(draw_block: Callable[[int], npt.NDArray[np.float64]]) -> Callable[[], float]:
    """Returns a function that returns single numbers from blocks, which `draw_block` draws."""
    block: list[float] = []

    def draw() -> float:
        nonlocal block
        if not block:
            block = draw_block(BLOCK_SIZE).tolist()
            block.reverse()
        return block.pop()

    return draw
