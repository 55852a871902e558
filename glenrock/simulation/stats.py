"""Confidence intervals and tests over seeds: bootstrap and exact sign test, which assume no distribution."""

from __future__ import annotations

from collections.abc import Sequence
from math import comb

import numpy as np

RESAMPLES = 4000
CONFIDENCE = 0.95


def bootstrap_interval(values: Sequence[float]) -> tuple[float, float, float]:
    """Returns the mean and its 95% bootstrap interval (percentile method; Efron, 1979); all equal for one value."""
    sample = np.array(values, dtype=float)
    if len(sample) < 2:
        return float(sample[0]), float(sample[0]), float(sample[0])
    generator = np.random.Generator(np.random.PCG64(len(sample)))
    means = sample[generator.integers(0, len(sample), size=(RESAMPLES, len(sample)))].mean(axis=1)
    tail = (1 - CONFIDENCE) / 2
    return float(sample.mean()), float(np.quantile(means, tail)), float(np.quantile(means, 1 - tail))


def sign_test(differences: Sequence[float]) -> float:
    """Returns the two-sided p value of the sign test on paired differences. Ties are left out."""
    wins = sum(difference > 0 for difference in differences)
    decided = wins + sum(difference < 0 for difference in differences)
    if decided == 0:
        return 1.0
    tail = sum(comb(decided, count) for count in range(max(wins, decided - wins), decided + 1)) / 2**decided
    return float(min(1.0, 2 * tail))
