"""The expected load of a connection whose own load is not known yet: the mean load of its class.

The means may be restored after a restart. The cap, the quotas and the loads of servers may not be restored,
since they depend on the present load, and would be wrong for the load at the next start.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import NamedTuple

MIN_MEAN_LOAD_GAIN = 0.02  # minimum weight of a new load in a mean; the first loads have equal weights
MAX_RESTORED_SAMPLES = round(1 / MIN_MEAN_LOAD_GAIN)  # the gain does not fall any further beyond this number
ALL_CLASSES = ""
DEFAULT_LOAD = 1.0  # expected of a connection while no load is known


class LoadMean(NamedTuple):
    """The mean load of a connection, and the number of loads from which it was computed."""

    load: float
    sample_count: int


class ConnectionLoads:
    """The mean load of a connection, by class.

    Attributes:
        means: the means by class name; `ALL_CLASSES` is the key of the mean over all classes.
        mean_load: the mean over all classes; 0 while no load is known.
    """

    def __init__(self) -> None:
        self.means: dict[str, LoadMean] = {}
        self.mean_load = 0.0

    def record(self, class_name: str, load: float) -> None:
        """Records the load of a connection, as stated by a hint, a server or another balancer process.

        The gain falls with the number of samples, so that the load of the first connection does not dominate
        the mean at a balancer with few clients. After a heavy first connection, such a balancer would expect
        that load of every new one for hours, and reject clients while the servers are half empty.
        """
        for name in (ALL_CLASSES, class_name):
            mean, sample_count = self.means.get(name, LoadMean(0.0, 0))
            gain = max(MIN_MEAN_LOAD_GAIN, 1 / (sample_count + 1))
            self.means[name] = LoadMean(mean + (load - mean) * gain, sample_count + 1)
        self.mean_load = self.means[ALL_CLASSES].load

    def expected(self, class_name: str) -> float:
        """Returns the mean load of the class, or of all classes if none is known for the class."""
        return self.means.get(class_name, LoadMean(0.0, 0)).load or self.mean_load or DEFAULT_LOAD

    def snapshot(self) -> dict[str, LoadMean]:
        """Returns the means in the form that `restore` accepts."""
        return {
            name: LoadMean(mean, min(sample_count, MAX_RESTORED_SAMPLES))
            for name, (mean, sample_count) in self.means.items()
        }

    def restore(self, snapshot: Mapping[str, tuple[float, int]], class_names: Iterable[str]) -> None:
        """Restores the means of these classes, except where samples were already recorded."""
        known = {ALL_CLASSES, *class_names}
        for name, (mean, sample_count) in snapshot.items():
            if name in known and name not in self.means and mean > 0:
                self.means[name] = LoadMean(mean, min(sample_count, MAX_RESTORED_SAMPLES))
        self.mean_load = self.means.get(ALL_CLASSES, LoadMean(self.mean_load, 0)).load
