"""Experiment files: what is emulated, in units that the names tell (`_s`, `_ms`, parts of 1).

A figure may be a number or a pair `[least, most]`; a pair is drawn evenly, anew for each seed. The format is
described in docs/simulation.md. Everything is checked before a run begins; `InputFileError` names file, line and key.
"""

from __future__ import annotations

import copy
from pathlib import Path
from typing import Annotated, Any, Literal

import msgspec
from msgspec import Meta, Struct

from glenrock.routing import interface

from .. import toml_file
from ..toml_file import InputFileError, input_error
from .spec_faults import (
    FAULTS,
    AnyFault,
    BalancerRoll,
    ByHand,
    Crash,
    DiscoverySilence,
    Drains,
    Errs,
    Fault,
    FlashCrowd,
    PeerLoss,
    Reconnect,
    SendAway,
    Slow,
    StaleList,
    TenantFlood,
    ZoneCut,
)
from .spec_types import Above0, Above0R, CountR, Least0, Least0R, Part, PartR, Some, SomeR, Strict
from .streams import Streams

__all__ = [
    "FAULTS",
    "BalancerRoll",
    "ByHand",
    "Crash",
    "DiscoverySilence",
    "Drains",
    "Errs",
    "Experiment",
    "Fault",
    "FlashCrowd",
    "PeerLoss",
    "Reconnect",
    "SendAway",
    "Slow",
    "StaleList",
    "TenantFlood",
    "ZoneCut",
    "check",
    "drawn",
    "load",
    "merge",
    "points",
    "settings_of",
]


class Kind(Strict, frozen=True):
    """A kind of machine. Source of the defaults: the operators' table of machines."""

    name: str
    share: Above0R = 1.0  # of the instances, relative to the other kinds
    cores: Some = 4
    speed: Above0R = 1.0  # work done by a core, over a standard core
    speed_cv: Least0R = 0.0  # how far single machines lie from that, as a part of it
    cold_part: PartR = 0.4  # of its capacity at start
    warm_s: Above0R = 6.0  # from the cold part to all of it, evenly with time
    crowd_at: Above0R = 4.0  # connections set up at once, a core, from which on it loses efficiency
    crowd_loss: Least0R = 0.05  # part of the speed lost for each more of them, a core
    queue_per_core: Least0R = 20.0  # set-ups that may wait, a core; past it new ones are turned away
    connections_per_core: Above0R = 700.0  # past it new ones can't connect
    buffer_s: Above0R = 1.5  # work that may pile up; what comes beyond it is lost
    sheds: Literal["none", "newest", "heaviest"] = "none"  # connections that it drops then


class Class(Strict, frozen=True):
    """A class of connections."""

    name: str
    share: Above0R = 1.0  # of new connections, relative to the other classes
    worth: Above0 = 1.0  # of a second in which it is well served
    load: Above0R = 1.0  # relative to the usual load
    load_sigma: Least0R = 0.4  # of the lognormal draw of a connection's usual load
    swing_sigma: Least0R = 0.5  # of the lognormal changes of its load in time
    change_s: Above0R = 12.0  # mean time between such changes
    idle: PartR = 0.3  # part of the time in which it asks for nothing
    life: Least0R = 1.0  # relative to the usual life; 0: ends once it is set up
    setup_ms: Least0R = 8.0  # work of setting up, on a standard core
    setup_spread: Literal["exp", "fixed"] = "exp"
    aim_ms: Above0R = 300.0  # wanted time to be set up
    give_up_ms: Above0R = 1500.0  # a try is given up after this
    message_aim_ms: Above0R = 100.0  # wanted time of a message


class Tenant(Strict, frozen=True):
    """Who shares the fleet."""

    name: str
    share: Above0 = 1.0  # of the service, relative to the other tenants
    usage: Above0R = 1.0  # what it asks for, over its share


class Fleet(Strict, frozen=True):
    balancers: SomeR = 3
    instances: SomeR = 12
    zones: tuple[str, ...] = ("a", "b")
    zone_skew: PartR = 0.0  # how unevenly traffic falls on the zones: 0 evenly, 1 all on the first
    instance_skew: PartR = 0.0  # the same for instances, leaning to the last zone


class Traffic(Strict, frozen=True):
    load: Above0R = 0.3  # asked for on average, as a part of what the fleet can do
    connections_per_core: Above0R = 20.0  # usual connections that fill a standard core
    life_s: Above0R = 45.0  # usual life of a connection
    life_sigma: Least0R = 1.0  # of its lognormal draw
    shape: Literal["steady", "ramp", "wave"] = "steady"
    swing: PartR = 0.0  # how far arrivals swing about their mean
    hints: bool = False  # requests tell their usual load
    group_size: Above0R = 20.0  # clients that share a group, on average
    group_cost: Least0R = 0.0  # usual loads that an instance pays for each group it holds any of
    message_part: Above0R = 0.07  # time a message takes by itself, as a part of the shortest aim
    bursty: Above0R = 2.0  # how much longer waits are than with evenly spread messages


class Store(Strict, frozen=True):
    """What every set-up asks beside its instance, all of them in one line."""

    headroom: Least0R = 0.0  # calls that it can do, over the usual rate of new clients; 0: nobody waits for it
    call_ms: Least0R = 10.0  # what a call takes in an empty line


class Clients(Strict, frozen=True):
    retries: CountR = 2  # quick ones, each after a back-off; then one each `pause_ms`
    backoff: Literal["double", "fixed", "none"] = "double"  # how the quick ones are spaced
    backoff_ms: Above0R = 60.0
    pause_ms: Above0R = 1500.0
    honour: PartR = 0.9  # part of them that stays away as long as it was told
    rejoin_ms: Above0R = 400.0  # mean time to come again after a break
    move_ms: Above0R = 100.0  # and after MOVE
    impatient: PartR = 0.01  # part that leaves a try early, at a random time


class Network(Strict, frozen=True):
    same_ms: Least0R = 0.25  # one way within a zone
    cross_ms: Least0R = 2.0  # between zones
    client_ms: Least0R = 0.6  # between client and balancer
    jitter: Least0R = 0.2  # of each, exponential, as a part of it
    peer_ms: Least0R = 15.0  # between balancers, mean of an exponential beside the way itself
    peer_loss: PartR = 0.01
    silence_s: Above0R = 4.5  # a balancer gives up a connection that has said nothing for so long


class Front(Strict, frozen=True):
    notice_s: Least0R = 2.3  # it sends to a dead balancer for so long
    admit_s: Least0R = 0.5  # and to one started again only after this


class Discovery(Strict, frozen=True):
    mode: Literal["push", "ask"] = "push"
    notice_s: Least0R = 3.0  # from the end of a process to the list
    add_s: Least0R = 1.0  # from its start
    spread_ms: Least0R = 60.0  # between balancers
    ask_ms: Least0R = 40.0  # time of a call, where the list must be asked for
    ask_failures: PartR = 0.0  # part of the calls that fail


class Reports(Strict, frozen=True):
    names: tuple[Literal["load_ratio", "utilization", "backlog", "backlog_s", "inflight"], ...] = (
        "load_ratio",
        "utilization",
        "backlog",
    )
    period_ms: Above0R = 200.0  # refreshed this often
    delay_ms: Least0R = 60.0  # and this late
    noise: Least0R = 0.1  # lognormal sigma of each value
    probe_ms: Least0R = 1.1  # work of a probe, on a standard core
    probe_timeout_ms: Above0R = 250.0
    probe_waits: bool = True  # behind the work piled up; else it is answered beside it
    load_told: bool = True  # a connection's load is told when it changes
    delay_told: bool = True  # balancers are told of connections whose messages are slow


class Platform(Strict, frozen=True):
    """What balancers may do and what it costs, as their settings tell them."""

    tick_ms: Above0 = 2.0
    max_attempts: Some = 5
    may_probe: bool = True
    may_tell: bool = True
    probe_shards: bool = False  # each instance is probed by one balancer, which tells the rest
    may_cancel: bool = True
    retry_after: bool = True
    max_retry_after_ms: Least0 = 1000.0
    dial_timeout_ms: Above0 = 200.0
    price_cross_zone: Least0 = 0.023
    price_probe: Least0 = 0.0015
    price_peer: Least0 = 0.01
    price_move: Least0 = 0.02
    over_share_worth: Part = 0.1
    share_room: Above0R = 0.82  # shares together, as a part of what the fleet holds


class Rules(Strict, frozen=True):
    """Figures of the four rules (WIRE, section 13)."""

    answer_grace_ms: Least0 = 8.0
    drain_grace_ms: Least0 = 2500.0
    cold_multiple: Above0 = 3.0
    cold_window_ms: Above0 = 3000.0
    cold_share: Annotated[float, Meta(gt=0, le=1)] = 0.31  # told to balancers: the least of all kinds
    cold_s: Above0 = 9.0  # told to balancers: the longest of all kinds


class Goal(Strict, frozen=True):
    """Weights of the parts of `worth.goal`."""

    whole: Least0 = 0.35
    worst_window: Least0 = 0.15
    worst_class: Least0 = 0.4
    worst_tenant: Least0 = 0.1


class Experiment(Strict, frozen=True):
    """The whole file, but for `base`, which names a file that this one changes, and `sweep`."""

    name: str
    title: str = ""
    length_s: Above0R = 50.0
    drain_s: Least0 = 5.0  # the run goes on so long after the last arrival
    clock_start_s: Above0 = 1000.0  # the balancers' clock when the day begins
    fleet: Fleet = Fleet()
    kinds: Annotated[tuple[Kind, ...], Meta(min_length=1)] = (Kind(name="std"),)
    classes: Annotated[tuple[Class, ...], Meta(min_length=1)] = (Class(name="session"),)
    tenants: Annotated[tuple[Tenant, ...], Meta(min_length=1)] = (Tenant(name="all"),)
    traffic: Traffic = Traffic()
    clients: Clients = Clients()
    store: Store = Store()
    network: Network = Network()
    front: Front = Front()
    discovery: Discovery = Discovery()
    reports: Reports = Reports()
    platform: Platform = Platform()
    rules: Rules = Rules()
    goal: Goal = Goal()
    faults: tuple[AnyFault, ...] = ()
    constants: dict[str, float] = {}  # open constants of the routing decisions, set for this run alone
    sweep: dict[str, Annotated[tuple[Any, ...], Meta(min_length=1)]] = {}  # path: the values it takes


def merge(base: dict[str, Any], over: dict[str, Any]) -> dict[str, Any]:
    """Tables are merged key by key; anything else, lists too, is replaced."""
    out = dict(base)
    for key, value in over.items():
        out[key] = merge(out[key], value) if isinstance(value, dict) and isinstance(out.get(key), dict) else value
    return out


def raw_of(path: Path, seen: tuple[Path, ...] = ()) -> tuple[dict[str, Any], str]:
    raw, text = toml_file.read(path)
    base = raw.pop("base", None)
    if base is None:
        return raw, text
    if not isinstance(base, str):
        raise input_error(path, text, "base", "expected the name of a file")
    under = (path.parent / base).resolve()
    if under in seen or under == path.resolve():
        raise input_error(path, text, "base", f"{base} leads back to this file")
    below, _ = raw_of(under, (*seen, path.resolve()))
    below.pop("sweep", None)  # an experiment's axes are its own
    return merge(below, raw), text


def load(path: Path, overrides: dict[str, Any] | None = None) -> Experiment:
    """The experiment in that file. Raises InputFileError, with file, line and key."""
    raw, text = raw_of(path)
    for key, value in (overrides or {}).items():
        raw = put(raw, key, value, path)
    found = toml_file.convert(path, text, raw, Experiment)
    check(found, path, text)
    for key, values in found.sweep.items():
        for value in values:
            at(raw, found, key, value, path, text)
    return found


def points(path: Path, overrides: dict[str, Any] | None = None) -> list[tuple[dict[str, Any], Experiment]]:
    """Each point of the sweep (its values, by path) with its experiment; one without values if there is none."""
    found = load(path, overrides)
    raw, text = raw_of(path)
    for key, value in (overrides or {}).items():
        raw = put(raw, key, value, path)
    out: list[tuple[dict[str, Any], dict[str, Any]]] = [({}, raw)]
    for key, values in found.sweep.items():
        out = [({**at_, key: value}, put(under, key, value, path)) for at_, under in out for value in values]
    return [(where, at(under, found, "", None, path, text)) for where, under in out]


def at(raw: dict[str, Any], found: Experiment, key: str, value: Any, path: Path, text: str) -> Experiment:
    """The experiment with one value changed, checked; a fault is told of the sweep's axis."""
    try:
        changed = toml_file.convert(path, text, put(raw, key, value, path) if key else raw, Experiment)
        check(changed, path, text)
    except InputFileError as bad:
        if not key:
            raise
        raise input_error(path, text, "sweep", f"{key} = {value!r}: {str(bad).split(': ', 1)[1]}") from None
    return changed


def put(raw: dict[str, Any], key: str, value: Any, path: Path) -> dict[str, Any]:
    """A copy with the value at that path (`traffic.load`, `faults[0].part`) replaced."""
    out = copy.deepcopy(raw)
    steps = [name or int(number) for name, number in toml_file.PATH_STEP.findall(key)]
    here: Any = out
    for n, step in enumerate(steps[:-1]):
        try:
            if isinstance(here, dict) and step not in here and isinstance(steps[n + 1], str):
                here[step] = {}
            here = here[step]
        except (KeyError, IndexError, TypeError):
            raise InputFileError(f"{path}: {key}: there is nothing at this path") from None
    try:
        if isinstance(here, list) and not 0 <= steps[-1] < len(here):
            raise IndexError
        here[steps[-1]] = value
    except (IndexError, TypeError):
        raise InputFileError(f"{path}: {key}: there is nothing at this path") from None
    return out


def check(e: Experiment, path: Path, text: str) -> None:
    """What the types alone do not say."""

    def need(ok: bool, key: str, what: str) -> None:
        if not ok:
            raise input_error(path, text, key, what)

    for key, pair in pairs(e):
        need(pair[0] <= pair[1], key, f"the range [{pair[0]:g}, {pair[1]:g}] runs backwards")
    for key, rows in (("kinds", e.kinds), ("classes", e.classes), ("tenants", e.tenants)):
        for n, row in enumerate(rows):
            need(bool(row.name), f"{key}[{n}].name", "must not be empty")
            need(row.name not in {r.name for r in rows[:n]}, f"{key}[{n}].name", f"{row.name!r} stands twice")
    need(len(e.fleet.zones) >= 1 and all(e.fleet.zones), "fleet.zones", "at least one zone, none without a name")
    need(len(set(e.fleet.zones)) == len(e.fleet.zones), "fleet.zones", "a zone stands twice")
    for n, k in enumerate(e.kinds):
        need(low(k.cold_part) > 0, f"kinds[{n}].cold_part", "must be above 0")
    for n, c in enumerate(e.classes):
        need(high(c.aim_ms) <= low(c.give_up_ms), f"classes[{n}].aim_ms", "must lie within give_up_ms")
    need(
        any(low(c.life) > 0 for c in e.classes) or all(high(c.life) == 0 for c in e.classes),
        "classes",
        "a life of 0 goes with no other life",
    )
    for n, f in enumerate(e.faults):
        key = f"faults[{n}]"
        need(low(f.at_s) < low(e.length_s), f"{key}.at_s", f"is past the end of the day ({low(e.length_s):g} s)")
        if isinstance(f, ZoneCut):
            need(len(e.fleet.zones) > 1, key, "a zone cut needs two zones")
        if isinstance(f, Crash | ZoneCut):
            need(not f.zone or f.zone in e.fleet.zones, f"{key}.zone", f"{f.zone!r} is not one of fleet.zones")
        if isinstance(f, SendAway):
            need(f.balancer < low(e.fleet.balancers), f"{key}.balancer", "there is no such balancer on every day")
        if isinstance(f, TenantFlood):
            need(
                not f.tenant or f.tenant in {t.name for t in e.tenants},
                f"{key}.tenant",
                f"{f.tenant!r} is not one of tenants",
            )
    from .policies.module import OPEN

    for name in e.constants:
        need(name in OPEN, f"constants.{name}", "not an open constant of the routing decisions")
    total = e.goal.whole + e.goal.worst_window + e.goal.worst_class + e.goal.worst_tenant
    need(abs(total - 1) < 1e-6, "goal", f"weights must add up to 1, not {total:g}")


def low(x: Any) -> float:
    return x[0] if isinstance(x, tuple) else x


def high(x: Any) -> float:
    return x[1] if isinstance(x, tuple) else x


def is_range(x: Any) -> bool:
    return (
        isinstance(x, tuple) and len(x) == 2 and all(isinstance(v, int | float) and not isinstance(v, bool) for v in x)
    )


def pairs(x: Any, key: str = "") -> list[tuple[str, tuple[float, float]]]:
    """Each range in an experiment, with its path."""
    if isinstance(x, Struct):
        return [
            found
            for name in x.__struct_fields__
            if name != "sweep"
            for found in pairs(getattr(x, name), f"{key}.{name}".lstrip("."))
        ]
    if is_range(x):
        return [(key, x)]
    if isinstance(x, tuple):
        return [found for n, value in enumerate(x) for found in pairs(value, f"{key}[{n}]")]
    return []


def drawn(e: Experiment, seed: int) -> Experiment:
    """The day of that seed: each range replaced by a number, each from a stream of its own path."""
    streams = Streams(seed)

    def one(x: Any, key: str) -> Any:
        if isinstance(x, Struct):
            return msgspec.structs.replace(
                x, **{name: one(getattr(x, name), f"{key}.{name}") for name in x.__struct_fields__ if name != "sweep"}
            )
        if is_range(x):
            u = float(streams.of(f"draw{key}").random())
            whole = all(isinstance(v, int) for v in x)
            return min(x[1], x[0] + int(u * (x[1] - x[0] + 1))) if whole else x[0] + u * (x[1] - x[0])
        if isinstance(x, tuple):
            return tuple(one(value, f"{key}[{n}]") for n, value in enumerate(x))
        return x

    return one(e, "")


def settings_of(e: Experiment, index: int, zone: str, quotas: tuple[float, ...]) -> interface.Settings:
    """What a balancer of that day is told when it starts. `e` is drawn; quotas are connections, by tenant."""
    us = 1000
    p, r = e.platform, e.rules
    return interface.Settings(
        classes=tuple(
            interface.RequestClass(
                c.name, round(c.aim_ms * us), round(c.give_up_ms * us), round(c.message_aim_ms * us), c.worth
            )
            for c in e.classes
        ),
        tenants=tuple(interface.Tenant(t.name, q) for t, q in zip(e.tenants, quotas, strict=True)),
        zone=zone,
        index=index,
        balancers=int(e.fleet.balancers),
        tick_us=max(1, round(p.tick_ms * us)),
        max_attempts=p.max_attempts,
        may_cancel=p.may_cancel,
        may_health_check=p.may_probe,
        may_gossip=p.may_tell,
        may_send_retry_after=p.retry_after,
        max_retry_after_us=round(p.max_retry_after_ms * us),
        connect_timeout_us=round(p.dial_timeout_ms * us),
        must_poll_endpoints=e.discovery.mode == "ask",
        answer_grace_us=round(r.answer_grace_ms * us),
        drain_grace_us=round(r.drain_grace_ms * us),
        slow_start_initial_fraction=r.cold_share,
        slow_start_us=round(r.cold_s * us * 1000),
        slow_start_multiple=r.cold_multiple,
        slow_start_window_us=round(r.cold_window_ms * us),
        over_quota_weight=p.over_share_worth,
        load_report_fields=e.reports.names,
        has_message_delay_reports=e.reports.delay_told,
        cross_zone_cost=p.price_cross_zone,
        health_check_cost=p.price_probe,
        gossip_cost=p.price_peer,
        migration_cost=p.price_move,
    )
