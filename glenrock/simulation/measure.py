"""Measurements of a run: worth, waits, rejections, cross-zone connections, fairness, recovery.

The worth of a run is the priority-weighted share of connection time served in time: the priority weight of the seconds
in which a connection was served in time, divided by that of all seconds in which clients asked for one. Histograms are
HDR histograms of 1 to 3,600,000,000 microseconds with two significant digits.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import numpy as np
import numpy.typing as npt
from hdrh.histogram import HdrHistogram

from .engine import SECOND_US
from .spec_tables import Experiment

if TYPE_CHECKING:
    from .model.workload import PlannedClient

WORST_WINDOW_S = 10
RECOVERED_FRACTION = 0.95  # of the fraction served before a fault
RECOVERED_FOR_S = 3  # consecutive seconds at that level
BASELINE_S = 5  # period before a fault that it is compared with
MAX_HISTOGRAM_US = 3_600_000_000
GOSSIP_BYTES_PER_PRICE = 256  # per client, at a cost of `price_peer`
PERCENTILES = (("p50_ms", 50), ("p90_ms", 90), ("p99_ms", 99), ("p999_ms", 99.9))
COUNTS = (
    "clients",
    "tries",
    "attempts",
    "set_up",
    "refused",
    "failed",
    "overdue",
    "unreachable",
    "broken",
    "moved",
    "probes",
    "peer_bytes",
    "crossings",
    "left",
    "shed",
)


def new_histogram() -> HdrHistogram:
    """Returns an empty histogram of microseconds."""
    return HdrHistogram(1, MAX_HISTOGRAM_US, 2)


def summarize_histogram(durations: HdrHistogram) -> dict[str, float]:
    """Returns count, mean, percentiles and maximum of a histogram, in milliseconds, in the form of summaries."""
    if not durations.get_total_count():
        return {"count": 0}
    figures = {
        "count": int(durations.get_total_count()),
        "mean_ms": round(durations.get_mean_value() / 1000, 3),
    }
    for name, percentile in PERCENTILES:
        figures[name] = round(durations.get_value_at_percentile(percentile) / 1000, 3)
    figures["max_ms"] = round(durations.get_max_value() / 1000, 3)
    return figures


@dataclass(frozen=True, slots=True)
class FaultPeriod:
    """A fault, and when its cause began and ended, in seconds of the measured period."""

    kind: str
    from_s: float
    to_s: float


@dataclass(frozen=True, slots=True)
class FaultRecovery:
    """How service recovered from a fault.

    Attributes:
        recovery_s: seconds from the beginning of the fault until service had recovered; None if it had not.
        baseline: fraction served before the fault.
        lowest: lowest fraction served during the fault; None for a fault after the measured period.
    """

    fault: FaultPeriod
    recovery_s: int | None
    baseline: float
    lowest: float | None

    def as_summary(self) -> dict[str, Any]:
        """Returns the entry of `recovery_s` in `summary.json`."""
        return {
            "kind": self.fault.kind,
            "from_s": self.fault.from_s,
            "to_s": self.fault.to_s,
            "recovery_s": self.recovery_s,
            "before": self.baseline,
            "lowest": self.lowest,
        }


class Measurements:
    """Counts, histograms and time series of a run, and the results computed from them.

    Attributes:
        demanded: priority weight asked for in each second, by class.
        served: priority weight served in time in each second, by class.
        tenant_demanded_in_quota, tenant_served_in_quota: the same by tenant, within the quotas.
        tenant_served: priority weight served by tenant, within and over the quotas.
        tenant_demanded: priority weight asked for by tenant, within and over the quotas.
        setup_waits: histograms of the time until a connection is open, by class.
        messages: histogram of message times.
        rejections: histogram of the time until a rejection.
        counts: by the names in `COUNTS`, and `held_back`.
        connection_s, cross_zone_s: seconds of open connections, and of those between zones.
        relative_loads: load of each server as a fraction of its capacity, in each second; -1 while it is down.
        series: time series by name.
    """

    def __init__(self, experiment: Experiment, demanded: npt.NDArray[np.float64], start_us: int, servers: int) -> None:
        self.experiment, self.demanded, self.start_us = experiment, demanded, start_us
        self.seconds, classes = demanded.shape
        self.served = [[0.0] * classes for _ in range(self.seconds)]
        tenants = len(experiment.tenants)
        self.tenant_demanded_in_quota, self.tenant_served_in_quota = [0.0] * tenants, [0.0] * tenants
        self.tenant_served, self.tenant_demanded = [0.0] * tenants, [0.0] * tenants
        self.setup_waits = [new_histogram() for _ in range(classes)]
        self.messages = new_histogram()
        self.rejections = new_histogram()
        self.counts = dict.fromkeys(COUNTS, 0)
        self.cross_zone_s = self.connection_s = 0.0
        self.relative_loads = np.zeros((servers, self.seconds), dtype=np.float32)
        self.series: dict[str, list[float]] = {}

    def record_served(self, at_us: int, class_index: int, weight: float) -> None:
        """Adds priority weight of a class that was served in time."""
        second = (at_us - self.start_us) // SECOND_US
        if 0 <= second < self.seconds:
            self.served[second][class_index] += weight

    def record_tenant_demand(self, clients: Iterable[PlannedClient], length_us: int) -> None:
        """Adds the priority weight that tenants asked for during the run, in total and within their quotas."""
        for planned in clients:
            wanted_s = max(0, min(planned.end_us, length_us) - max(0, planned.arrival_us)) / SECOND_US
            weight = self.experiment.classes[planned.class_index].worth * wanted_s
            self.tenant_demanded[planned.tenant] += weight
            if planned.quota_factor == 1.0:
                self.tenant_demanded_in_quota[planned.tenant] += weight

    def record_tenant_served(self, planned: PlannedClient, seconds: float) -> None:
        """Adds the seconds in which a client was served in time to the priority weight of its tenant."""
        weight = self.experiment.classes[planned.class_index].worth * seconds
        self.tenant_served[planned.tenant] += weight
        if planned.quota_factor == 1.0:
            self.tenant_served_in_quota[planned.tenant] += weight

    def record_sample(self, second: int, **values: float) -> None:
        """Sets values of the time series at a second."""
        for name, value in values.items():
            series = self.series.setdefault(name, [])
            series.extend([0.0] * (second + 1 - len(series)))
            series[second] = value

    # -- results -------------------------------------------------------------------------------------

    def worth(self) -> dict[str, Any]:
        """Returns the entry `worth` of `summary.json`: the whole, the worst parts, the goal and the prices."""
        served, demanded = np.array(self.served), self.demanded
        whole = ratio(served.sum(), demanded.sum())
        worst_window = self._worst_window(served.sum(axis=1), demanded.sum(axis=1))
        classes = {
            class_.name: ratio(served[:, class_index].sum(), demanded[:, class_index].sum())
            for class_index, class_ in enumerate(self.experiment.classes)
        }
        tenants = {
            tenant.name: ratio(self.tenant_served_in_quota[index], self.tenant_demanded_in_quota[index])
            for index, tenant in enumerate(self.experiment.tenants)
        }
        worst_class, worst_tenant = min(classes.values()), min(tenants.values())
        weights, prices = self.experiment.goal, self._prices()
        goal = (
            weights.whole * whole
            + weights.worst_window * worst_window
            + weights.worst_class * worst_class
            + weights.worst_tenant * worst_tenant
        )
        return {
            "whole": rounded(whole),
            "worst_window": rounded(worst_window),
            "worst_class": rounded(worst_class),
            "worst_tenant": rounded(worst_tenant),
            "classes": rounded(classes),
            "tenants": rounded(tenants),
            "goal": rounded(max(0.0, goal - sum(prices.values()))),
            "prices": rounded(prices),
        }

    @staticmethod
    def _worst_window(served: npt.NDArray[np.float64], demanded: npt.NDArray[np.float64]) -> float:
        length = min(WORST_WINDOW_S, len(demanded))
        windows = [
            ratio(served[start : start + length].sum(), demanded[start : start + length].sum())
            for start in range(len(demanded) - length + 1)
            if demanded[start : start + length].sum() > 0
        ]
        return min(windows, default=1.0)

    def _prices(self) -> dict[str, float]:
        """Returns what cross-zone connections, health checks, migrations and gossip subtract from the goal."""
        platform, counts = self.experiment.platform, self.counts
        clients = max(1, counts["clients"])
        crossing_fraction = self.cross_zone_s / self.connection_s if self.connection_s else 0.0
        return {
            "crossings": platform.price_cross_zone * crossing_fraction,
            "probes": platform.price_probe * counts["probes"] / clients,
            "moves": platform.price_move * counts["moved"] / clients,
            "peers": platform.price_peer * counts["peer_bytes"] / GOSSIP_BYTES_PER_PRICE / clients,
        }

    def recoveries(self, faults: list[FaultPeriod]) -> list[FaultRecovery]:
        """Returns how service recovered from each fault."""
        served, demanded = np.array(self.served).sum(axis=1), self.demanded.sum(axis=1)
        served_fraction = np.divide(served, demanded, out=np.ones_like(served), where=demanded > 0)
        return [_recovery_of(fault, served_fraction) for fault in faults]

    def fairness(self) -> float:
        """Returns Jain's index over the tenants' worth; 1 if all are equal."""
        worths = np.array(
            [ratio(served, demanded) for served, demanded in zip(self.tenant_served, self.tenant_demanded, strict=True)]
        )
        squares = (worths**2).sum()
        index: float = rounded(float(worths.sum() ** 2 / (len(worths) * squares))) if squares else 1.0
        return index


def _recovery_of(fault: FaultPeriod, served_fraction: npt.NDArray[np.float64]) -> FaultRecovery:
    """Computes the recovery from a fault, given the fraction served in each second."""
    at_s = int(fault.from_s)
    baseline = served_fraction[max(0, at_s - BASELINE_S) : at_s].mean() if at_s > 0 else served_fraction[:1].mean()
    end_s = min(len(served_fraction), int(np.ceil(fault.to_s)) + 1)
    is_measured = at_s < len(served_fraction)
    worst_s = at_s + int(np.argmin(served_fraction[at_s : max(at_s + 1, end_s)])) if is_measured else at_s
    recovery_s = None
    for second in range(worst_s, len(served_fraction) - RECOVERED_FOR_S + 1):
        if (served_fraction[second : second + RECOVERED_FOR_S] >= RECOVERED_FRACTION * baseline).all():
            recovery_s = second - at_s
            break
    lowest = rounded(float(served_fraction[worst_s])) if is_measured else None
    return FaultRecovery(fault, recovery_s, rounded(float(baseline)), lowest)


def ratio(part: float, whole: float) -> float:
    """Returns a part divided by its whole; 1 if the whole is 0."""
    return float(part / whole) if whole > 0 else 1.0


def rounded(value: Any) -> Any:
    """Rounds a number, or the numbers of a table, to six decimal places, as in summaries."""
    if isinstance(value, dict):
        return {key: rounded(item) for key, item in value.items()}
    return round(float(value), 6)
