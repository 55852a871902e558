"""What a connection's load is taken for before it is known: the mean load of its class.

The means may be carried over to a later start. The cap, the quotas and the servers' loads may not: these are
of the moment, and wrong for the load that a start meets.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import NamedTuple

MEAN_LOAD_GAIN = 0.02  # weight of a new load in a mean; the first ones count as a plain mean
MAX_CARRIED_SAMPLES = round(1 / MEAN_LOAD_GAIN)  # past that a mean forgets as fast as it learns
ALL_CLASSES = ""
UNKNOWN_LOAD = 1.0  # of a connection, while none has told its own


class LoadMean(NamedTuple):
    """Mean load of a connection, and how many loads stand behind it."""

    load: float
    samples: int


class ConnectionLoads:
    """Mean load of a connection by class.

    Attributes:
        means: by class name; `ALL_CLASSES` is the mean over all.
        mean_load: the mean over all; 0 while none has told its load.
    """

    def __init__(self) -> None:
        self.means: dict[str, LoadMean] = {}
        self.mean_load = 0.0

    def record(self, class_name: str, load: float) -> None:
        """A connection's load, as a hint, a server or another process tells it.

        The first alone is no mean: a balancer with few clients that first heard of a heavy one would count
        each newcomer as that heavy for hours, and reject clients while the servers are half empty.
        """
        for name in (ALL_CLASSES, class_name):
            mean, samples = self.means.get(name, LoadMean(0.0, 0))
            gain = max(MEAN_LOAD_GAIN, 1 / (samples + 1))
            self.means[name] = LoadMean(mean + (load - mean) * gain, samples + 1)
        self.mean_load = self.means[ALL_CLASSES].load

    def expected(self, class_name: str) -> float:
        """What a newcomer of that class counts as: its class's mean, or that of all while none has told."""
        return self.means.get(class_name, LoadMean(0.0, 0)).load or self.mean_load or UNKNOWN_LOAD

    def snapshot(self) -> dict[str, LoadMean]:
        """The means as a later start may know them."""
        return {
            name: LoadMean(mean, min(samples, MAX_CARRIED_SAMPLES))
            for name, (mean, samples) in self.means.items()
        }

    def restore(self, snapshot: Mapping[str, tuple[float, int]], class_names: Iterable[str]) -> None:
        """Starts from a snapshot where nothing has been learned yet. Classes not named are left out."""
        known = {ALL_CLASSES, *class_names}
        for name, (mean, samples) in snapshot.items():
            if name in known and name not in self.means and mean > 0:
                self.means[name] = LoadMean(mean, min(samples, MAX_CARRIED_SAMPLES))
        self.mean_load = self.means.get(ALL_CLASSES, LoadMean(self.mean_load, 0)).load
