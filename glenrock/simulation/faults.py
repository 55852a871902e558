"""What goes wrong, played against a day. Each kind of fault in an experiment file has one function here.

What a fault strikes is drawn from a stream of its own, so that every policy meets the same.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import numpy as np

from . import spec
from .day_processes import Processes
from .model.balancer import Host
from .model.instance import Instance
from .model.requests import Attempt

SECOND = 1_000_000


def us(seconds: float) -> int:
    return round(float(seconds) * SECOND)


def some(draw: np.random.Generator, what: list[Any], part: float, least: int = 1) -> list[Any]:
    """A part of them, drawn, at least so many, in the order drawn."""
    count = min(len(what), max(least, round(part * len(what)))) if part > 0 else 0
    return [what[n] for n in draw.permutation(len(what))[:count]]


def crash(day: Processes, f: spec.Crash, draw: np.random.Generator) -> None:
    there = [i for i in day.instances.values() if i.up and f.zone in ("", day.zones[i.shape.zone])]
    for instance in some(draw, there, float(f.part)):
        day.stop(instance)
        if f.down_s:
            day.engine.at(day.engine.now + us(f.down_s), day.begin, instance)


def zone_cut(day: Processes, f: spec.ZoneCut, draw: np.random.Generator) -> None:
    zone = day.zones.index(f.zone) if f.zone else 0
    day.cut_zone(zone)
    day.engine.at(day.engine.now + us(f.for_s), day.heal, zone)


def balancer_roll(day: Processes, f: spec.BalancerRoll, draw: np.random.Generator) -> None:
    order = some(draw, day.hosts, float(f.part))
    batch = max(1, round(float(f.batch) * len(day.hosts)))
    batches = [order[n : n + batch] for n in range(0, len(order), batch)]
    for n, some_ in enumerate(batches):
        at = day.engine.now + us(f.for_s) * n // len(batches)
        for host in some_:
            day.engine.at(at, restart, day, host, us(f.down_s), us(f.hand_back_s))


def restart(day: Processes, host: Host, down: int, hand_back: int) -> None:
    if not host.up:
        return
    if hand_back:
        day.hand_back(host, hand_back)
    now = day.engine.now
    day.engine.at(now + hand_back, day.kill, host, host.life, hand_back > 0)
    day.engine.at(now + hand_back + down, day.start, host)


def reconnect(day: Processes, f: spec.Reconnect, draw: np.random.Generator) -> None:
    standing = [c for i in day.instances.values() for c in i.held.values()]
    for c in some(draw, standing, float(f.part), 0):
        day.drop(c, round(float(draw.random()) * us(f.within_s)))


def slow(day: Processes, f: spec.Slow, draw: np.random.Generator) -> None:
    struck = some(draw, [i for i in day.instances.values() if i.up], float(f.part))
    for instance in struck:
        instance.set_slow(day.engine.now, float(f.speed))
    day.engine.at(day.engine.now + us(f.for_s), unslow, day, [(i, i.life) for i in struck])


def errs(day: Processes, f: spec.Errs, draw: np.random.Generator) -> None:
    struck = some(draw, [i for i in day.instances.values() if i.up], float(f.part))
    for instance in struck:
        day.errs[instance.name] = float(f.chance)
    day.engine.at(day.engine.now + us(f.for_s), well_again, day, [i.name for i in struck])


def well_again(day: Processes, struck: list[str]) -> None:
    for name in struck:
        day.errs.pop(name, None)


def unslow(day: Processes, struck: list[tuple[Instance[Attempt], int]]) -> None:
    for instance, life in struck:
        if instance.life == life:
            instance.set_slow(day.engine.now, 1.0)


def discovery_silence(day: Processes, f: spec.DiscoverySilence, draw: np.random.Generator) -> None:
    day.feed.silent_until = max(day.feed.silent_until, day.engine.now + us(f.for_s))


def stale_list(day: Processes, f: spec.StaleList, draw: np.random.Generator) -> None:
    day.feed.age_us = us(f.age_s)
    day.engine.at(day.engine.now + us(f.for_s), fresh_list, day)


def fresh_list(day: Processes) -> None:
    day.feed.age_us = 0


def arrivals(day: Processes, f: spec.FlashCrowd | spec.TenantFlood, draw: np.random.Generator) -> None:
    """In the plan already: `model/plan.py` draws the clients that it brings."""


def drains(day: Processes, f: spec.Drains, draw: np.random.Generator) -> None:
    order = some(draw, [i for i in day.instances.values() if i.up], float(f.part))
    batch = max(1, round(float(f.batch) * len(day.instances)))
    for n in range(0, len(order), batch):
        at = day.engine.now + us(f.every_s) * (n // batch)
        for instance in order[n : n + batch]:
            day.engine.at(at, day.drain, instance)
            day.engine.at(at + us(f.drain_s), day.stop_if_draining, instance)
            day.engine.at(at + us(f.drain_s) + us(f.down_s), day.begin, instance)


def by_hand(day: Processes, f: spec.ByHand, draw: np.random.Generator) -> None:
    instance = max((i for i in day.instances.values() if i.up), key=lambda i: (len(i.held), i.name), default=None)
    if instance is None:
        return
    now = day.engine.now
    for n, host in enumerate(day.hosts):
        later = us(f.spread_s) * n
        day.engine.at(now + later, host.by_hand, instance.name, True)
        day.engine.at(now + us(f.for_s) + later, host.by_hand, instance.name, False)
    day.engine.at(now + us(f.restart_s), day.stop, instance)
    day.engine.at(now + us(f.restart_s) + us(f.down_s), day.begin, instance)


def send_away(day: Processes, f: spec.SendAway, draw: np.random.Generator) -> None:
    host = day.hosts[f.balancer]
    if host.up:
        day.send_away(host)
        day.engine.at(day.engine.now + us(f.for_s), day.take_again, host, host.life)


def peer_loss(day: Processes, f: spec.PeerLoss, draw: np.random.Generator) -> None:
    day.links.more = 1 - float(f.loss)
    day.engine.at(day.engine.now + us(f.for_s), heard, day)


def heard(day: Processes) -> None:
    day.links.more = 1.0


FAULTS: dict[type[spec.Fault], Callable[[Any, Any, np.random.Generator], None]] = {
    spec.Crash: crash,
    spec.ZoneCut: zone_cut,
    spec.BalancerRoll: balancer_roll,
    spec.Reconnect: reconnect,
    spec.Slow: slow,
    spec.DiscoverySilence: discovery_silence,
    spec.StaleList: stale_list,
    spec.FlashCrowd: arrivals,
    spec.TenantFlood: arrivals,
    spec.Drains: drains,
    spec.PeerLoss: peer_loss,
    spec.Errs: errs,
    spec.ByHand: by_hand,
    spec.SendAway: send_away,
}


def lasts_s(f: spec.Fault) -> float:
    """How long its cause lasts, for reports to shade."""
    if isinstance(f, spec.Crash):
        return float(f.down_s)
    if isinstance(f, spec.Reconnect):
        return float(f.within_s)
    if isinstance(f, spec.Drains):
        batches = max(1, round(float(f.part) / max(1e-9, float(f.batch))))
        return float(f.every_s) * (batches - 1) + float(f.drain_s) + float(f.down_s)
    return float(getattr(f, "for_s", 0.0))
