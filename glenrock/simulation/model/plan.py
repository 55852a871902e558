"""All that clients will want on a day, drawn ahead: waiting does not slow arrivals, and no policy moves them.

A client wants its connection from its arrival to its end by the clock, served or not. What it asks for is so
the same under every policy, and seconds that it spends waiting are lost to whoever let it wait.
"""

from __future__ import annotations

from dataclasses import dataclass

import numpy as np

from ..spec import Experiment, FlashCrowd, TenantFlood
from ..streams import Streams

S = 1_000_000
HISTORY = 6.0  # usual lives before the day's start from which those standing then are drawn


@dataclass(slots=True, eq=False)
class Row:
    """One client's day."""

    number: int
    arrival: int  # microseconds from the day's start; below 0: it stands when the day begins
    end: int
    kind: int  # of the classes
    tenant: int
    zone: int
    group: int
    usual: float  # load, in microseconds of work a second
    weight: float  # of its worth: 1, or less for what its tenant asks beyond its share
    changes: tuple[tuple[int, float], ...]  # time from which its load is so much


@dataclass(slots=True)
class Plan:
    rows: list[Row]
    asked: np.ndarray  # worth asked for in each second of the day, by class
    quotas: tuple[float, ...]  # connections within each tenant's share
    usual_load: float  # of a connection, mean
    capacity: float  # of the whole fleet, in microseconds of work a second
    per_s: float  # new clients a second, mean


def skewed(count: int, skew: float, last: bool = False) -> np.ndarray:
    """Parts that add up to 1: even with skew 0, all on the first (or last) with skew 1."""
    even = np.full(count, 1 / count)
    even = even * (1 - skew)
    even[-1 if last else 0] += skew
    return even


def plan(e: Experiment, streams: Streams, capacity: float) -> Plan:
    """`e` is drawn. `capacity` is that of the instances drawn for this day."""
    t, length = e.traffic, float(e.length_s)
    usual = S / float(t.connections_per_core)
    shares = np.array([float(c.share) for c in e.classes])
    shares /= shares.sum()
    busy = np.array([c.load * (1 - c.idle) for c in e.classes], dtype=float)
    lives = np.array([c.life for c in e.classes], dtype=float) * float(t.life_s)
    if (lives > 0).any():
        demand = float((shares * busy * lives).sum()) * usual  # that one client a second brings in the end
    else:
        demand = float((shares * [c.setup_ms * 1000 for c in e.classes]).sum())
    rate = float(t.load) * capacity / demand
    parts = np.array([float(x.share) for x in e.tenants])
    parts /= parts.sum()
    standing = shares * lives
    load = float((standing * busy).sum() / standing.sum()) * usual if standing.sum() else usual
    quotas = tuple(float(q) for q in parts * float(e.platform.share_room) * capacity / load)

    usage = parts * [x.usage for x in e.tenants]
    usage /= usage.sum()
    before = HISTORY * float(lives.max())
    swing = float(t.swing)

    def shape(at: np.ndarray) -> np.ndarray:
        x = np.clip(at / length, 0, 1)
        if t.shape == "ramp":
            return 1 + swing * (2 * x - 1)
        return 1 + swing * np.sin(2 * np.pi * x) if t.shape == "wave" else np.ones_like(x)

    draw = streams.of("arrivals")
    many = draw.poisson(rate * (1 + swing) * (before + length))
    times = np.sort(draw.random(many)) * (before + length) - before
    times = times[draw.random(many) * (1 + swing) < shape(times)]
    tenants = draw.choice(len(parts), size=len(times), p=usage)
    # What faults bring comes beside the usual arrivals, which stay as they are without the fault.
    for n, f in enumerate(e.faults):
        if isinstance(f, FlashCrowd | TenantFlood):
            extra = streams.of(f"arrivals of fault {n}")
            one = None
            if isinstance(f, TenantFlood):
                one = next((m for m, x in enumerate(e.tenants) if x.name == f.tenant), 0)
            more = rate * max(0.0, float(f.times) - 1) * (usage[one] if one is not None else 1.0)
            count = extra.poisson(more * float(f.for_s))
            come = float(f.at_s) + extra.random(count) * float(f.for_s)
            whose = np.full(count, one) if one is not None else extra.choice(len(parts), size=count, p=usage)
            times, tenants = np.append(times, come), np.append(tenants, whose)
    times = np.minimum(times, length - 1e-6)
    order = np.argsort(times, kind="stable")
    return _rows(e, streams, times[order], tenants[order], quotas, usual, rate, capacity, lives, shares, load)


def _rows(
    e: Experiment,
    streams: Streams,
    times: np.ndarray,
    tenants: np.ndarray,
    quotas: tuple[float, ...],
    usual: float,
    rate: float,
    capacity: float,
    lives: np.ndarray,
    shares: np.ndarray,
    mean_load: float,
) -> Plan:
    t, count, length = e.traffic, len(times), float(e.length_s)
    draw = streams.of("clients")
    kinds = draw.choice(len(shares), size=count, p=shares)
    zones = draw.choice(len(e.fleet.zones), size=count, p=skewed(len(e.fleet.zones), float(e.fleet.zone_skew)))
    sigma = float(t.life_sigma)
    life = lives[kinds] * np.exp(sigma * draw.standard_normal(count) - sigma * sigma / 2)
    spread = np.array([float(c.load_sigma) for c in e.classes])[kinds]
    relative = np.array([float(c.load) for c in e.classes])[kinds]
    loads = usual * relative * np.exp(spread * draw.standard_normal(count) - spread * spread / 2)
    # Some groups are larger than others: as 1 over the square root of their rank.
    standing = max(1.0, rate * float((shares * lives).sum()))
    groups = max(1, round(standing / float(t.group_size)))
    rank = 1 / np.sqrt(np.arange(1, groups + 1))
    group = draw.choice(groups, size=count, p=rank / rank.sum())
    keep = (times >= 0) | (times + life > 0)
    times, tenants, kinds, zones, life, loads, group = (
        x[keep] for x in (times, tenants, kinds, zones, life, loads, group)
    )
    ends = times + life

    # Changes of load, from a stream of their own; only within the day.
    draw = streams.of("load changes")
    first = np.maximum(times, 0.0)
    span = np.maximum(0.0, np.minimum(ends, length + float(e.drain_s)) - first)
    per = np.array([float(c.change_s) for c in e.classes])[kinds]
    numbers = draw.poisson(span / per) + 1
    starts = np.concatenate(([0], np.cumsum(numbers)))
    total = int(starts[-1])
    owner = np.repeat(np.arange(len(times)), numbers)
    when = first[owner] + draw.random(total) * span[owner]
    when[starts[:-1]] = first
    swing = np.array([float(c.swing_sigma) for c in e.classes])[kinds][owner]
    idle = np.array([float(c.idle) for c in e.classes])[kinds][owner]
    size = loads[owner] * np.exp(swing * draw.standard_normal(total) - swing * swing / 2)
    size[draw.random(total) < idle] = 0.0
    order = np.lexsort((when, owner))
    when_us, size_of = (when[order] * S).astype(np.int64).tolist(), size[order].tolist()

    weights = _weights(times, ends, tenants, quotas, float(e.platform.over_share_worth))
    rows = []
    for n, (a, z, k, x, zone, g, load, w) in enumerate(
        zip(
            (times * S).astype(np.int64).tolist(),
            (ends * S).astype(np.int64).tolist(),
            kinds.tolist(),
            tenants.tolist(),
            zones.tolist(),
            group.tolist(),
            loads.tolist(),
            weights,
            strict=True,
        )
    ):
        at, past = int(starts[n]), int(starts[n + 1])
        rows.append(Row(n, a, z, k, x, zone, g, load, w, tuple(zip(when_us[at:past], size_of[at:past], strict=True))))
    worth = np.array([float(c.worth) for c in e.classes])
    seconds = int(np.ceil(length))
    asked = np.zeros((seconds, len(worth)))
    value = worth[kinds] * np.array(weights)
    for s in range(seconds):
        inside = np.clip(np.minimum(ends, min(s + 1, length)) - np.maximum(times, s), 0, 1)
        asked[s] = np.bincount(kinds, weights=value * inside, minlength=len(worth))
    return Plan(rows, asked, quotas, mean_load, capacity, rate)


def _weights(
    times: np.ndarray, ends: np.ndarray, tenants: np.ndarray, quotas: tuple[float, ...], beyond: float
) -> list[float]:
    """1 for a client that comes while its tenant wants no more than its share, else `beyond`."""
    out = [1.0] * len(times)
    for t, quota in enumerate(quotas):
        mine = np.nonzero(tenants == t)[0]
        gone = np.sort(ends[mine])
        here = np.arange(len(mine)) - np.searchsorted(gone, times[mine], side="right")
        for n in mine[here >= quota].tolist():
            out[n] = beyond
    return out
