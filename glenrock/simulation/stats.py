"""Intervals and tests over seeds. Bootstrap and exact sign test: no distribution is assumed."""

from __future__ import annotations

from collections.abc import Sequence
from math import comb

import numpy as np

RESAMPLES = 4000
LEVEL = 0.95


def interval(values: Sequence[float]) -> tuple[float, float, float]:
    """The mean, and a 95% bootstrap interval (percentiles; Efron 1979). One value has itself for all three."""
    x = np.array(values, dtype=float)
    if len(x) < 2:
        return float(x[0]), float(x[0]), float(x[0])
    draw = np.random.Generator(np.random.PCG64(len(x)))
    means = x[draw.integers(0, len(x), size=(RESAMPLES, len(x)))].mean(axis=1)
    edge = (1 - LEVEL) / 2
    return float(x.mean()), float(np.quantile(means, edge)), float(np.quantile(means, 1 - edge))


def sign_test(differences: Sequence[float]) -> float:
    """Two-sided p of as many wins or more, if either side won each pair by a coin. Ties are left out."""
    wins = sum(d > 0 for d in differences)
    n = wins + sum(d < 0 for d in differences)
    if n == 0:
        return 1.0
    tail = sum(comb(n, k) for k in range(max(wins, n - wins), n + 1)) / 2**n
    return float(min(1.0, 2 * tail))
