"""What a run is measured by: worth, waits, refusals, retries, moves, crossings, fairness, recovery.

Worth is the worth of seconds in which a connection was served in time, over the worth of all seconds in which
clients wanted theirs. Histograms are HDR: 1 to 3,600,000,000 microseconds, two significant digits.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import TYPE_CHECKING, Any

import numpy as np
from hdrh.histogram import HdrHistogram

from .spec import Experiment

if TYPE_CHECKING:
    from .model.plan import Row

WINDOW_S = 10  # the worst one of this length counts
BACK = 0.95  # of what was served before a fault: recovered once it is that again
STAYS_S = 3  # for so long
LONGEST_US = 3_600_000_000


def histogram() -> HdrHistogram:
    return HdrHistogram(1, LONGEST_US, 2)


def told(h: HdrHistogram) -> dict[str, float]:
    """Percentiles in milliseconds, by their names."""
    if not h.get_total_count():
        return {"count": 0}
    out = {"count": int(h.get_total_count()), "mean_ms": round(h.get_mean_value() / 1000, 3)}
    for name, p in (("p50_ms", 50), ("p90_ms", 90), ("p99_ms", 99), ("p999_ms", 99.9)):
        out[name] = round(h.get_value_at_percentile(p) / 1000, 3)
    out["max_ms"] = round(h.get_max_value() / 1000, 3)
    return out


class Measure:
    def __init__(self, e: Experiment, asked: np.ndarray, start_us: int, instances: int) -> None:
        self.e, self.asked, self.start = e, asked, start_us
        seconds, kinds = asked.shape
        self.seconds = seconds
        self.earned = [[0.0] * kinds for _ in range(seconds)]
        tenants = len(e.tenants)
        self.tenant_asked, self.tenant_earned = [0.0] * tenants, [0.0] * tenants  # within their shares
        self.tenant_all = [0.0] * tenants  # seconds served, over and within: for fairness
        self.tenant_wanted = [0.0] * tenants
        self.waits = [histogram() for _ in range(kinds)]
        self.messages = histogram()
        self.refusals = histogram()  # how long a refusal took
        self.counts = dict.fromkeys(
            (
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
            ),
            0,
        )
        self.crossing_s = self.standing_s = 0.0
        self.heat = np.zeros((instances, seconds), dtype=np.float32)  # load of each instance over what it can
        self.series: dict[str, list[float]] = {}

    def earn(self, at_us: int, kind: int, worth: float) -> None:
        second = (at_us - self.start) // 1_000_000
        if 0 <= second < self.seconds:
            self.earned[second][kind] += worth

    def ask(self, rows: Iterable[Row], length_us: int) -> None:
        """What tenants wanted on the day, and within their shares."""
        for row in rows:
            wanted = max(0, min(row.end, length_us) - max(0, row.arrival)) / 1_000_000
            worth = self.e.classes[row.kind].worth * wanted
            self.tenant_wanted[row.tenant] += worth
            if row.weight == 1.0:
                self.tenant_asked[row.tenant] += worth

    def credit(self, row: Row, seconds: float) -> None:
        """Seconds of a client's that were served in time go to its tenant."""
        worth = self.e.classes[row.kind].worth * seconds
        self.tenant_all[row.tenant] += worth
        if row.weight == 1.0:
            self.tenant_earned[row.tenant] += worth

    def put(self, second: int, **values: float) -> None:
        """Values of the time series for that second."""
        for name, value in values.items():
            line = self.series.setdefault(name, [])
            line.extend([0.0] * (second + 1 - len(line)))
            line[second] = value

    # -- what it comes to ------------------------------------------------------------------------------

    def worth(self) -> dict[str, Any]:
        earned, asked = np.array(self.earned), self.asked
        whole = ratio(earned.sum(), asked.sum())
        e_s, a_s = earned.sum(axis=1), asked.sum(axis=1)
        window = min(WINDOW_S, len(a_s))
        windows = [
            ratio(e_s[n : n + window].sum(), a_s[n : n + window].sum())
            for n in range(len(a_s) - window + 1)
            if a_s[n : n + window].sum() > 0
        ]
        classes = {c.name: ratio(earned[:, k].sum(), asked[:, k].sum()) for k, c in enumerate(self.e.classes)}
        tenants = {t.name: ratio(self.tenant_earned[n], self.tenant_asked[n]) for n, t in enumerate(self.e.tenants)}
        out = {
            "whole": whole,
            "worst_window": min(windows, default=1.0),
            "worst_class": min(classes.values()),
            "worst_tenant": min(tenants.values()),
            "classes": classes,
            "tenants": tenants,
        }
        g, p, c = self.e.goal, self.e.platform, self.counts
        first = max(1, c["clients"])
        prices = {
            "crossings": p.price_cross_zone * (self.crossing_s / self.standing_s if self.standing_s else 0.0),
            "probes": p.price_probe * c["probes"] / first,
            "moves": p.price_move * c["moved"] / first,
            "peers": p.price_peer * c["peer_bytes"] / 256 / first,
        }
        goal = (
            g.whole * out["whole"]
            + g.worst_window * out["worst_window"]
            + g.worst_class * out["worst_class"]
            + g.worst_tenant * out["worst_tenant"]
        )
        return {
            **{k: rounded(v) for k, v in out.items()},
            "goal": rounded(max(0.0, goal - sum(prices.values()))),
            "prices": rounded(prices),
        }

    def recovery(self, faults: list[dict[str, Any]]) -> list[dict[str, Any]]:
        """For each fault, seconds from its beginning until service was back for good, or null."""
        earned, asked = np.array(self.earned).sum(axis=1), self.asked.sum(axis=1)
        share = np.divide(earned, asked, out=np.ones_like(earned), where=asked > 0)
        out = []
        for f in faults:
            at = int(f["from_s"])
            before = share[max(0, at - 5) : at].mean() if at > 0 else share[:1].mean()
            worst = at
            back = None
            ends = min(len(share), int(np.ceil(f["to_s"])) + 1)
            if at < len(share):
                worst = at + int(np.argmin(share[at : max(at + 1, ends)]))
            for s in range(worst, len(share) - STAYS_S + 1):
                if (share[s : s + STAYS_S] >= BACK * before).all():
                    back = s - at
                    break
            deep = rounded(float(share[worst])) if at < len(share) else None
            out.append({**f, "recovery_s": back, "before": rounded(float(before)), "lowest": deep})
        return out

    def fairness(self) -> float:
        """Jain's index over tenants of seconds served in time, each over seconds wanted. 1: all alike."""
        x = np.array([ratio(a, b) for a, b in zip(self.tenant_all, self.tenant_wanted, strict=True)])
        return rounded(float(x.sum() ** 2 / (len(x) * (x**2).sum()))) if (x**2).sum() else 1.0


def ratio(a: float, b: float) -> float:
    return float(a / b) if b > 0 else 1.0


def rounded(x: Any) -> Any:
    if isinstance(x, dict):
        return {k: rounded(v) for k, v in x.items()}
    return round(float(x), 6)
