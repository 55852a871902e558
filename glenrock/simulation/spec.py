"""Experiment files: what is simulated, in units that the names of keys have (`_s`, `_ms`; fractions are 0 to 1).

A figure is a number or a pair `[least, most]`, from which a number is drawn for each seed. The format is described in
docs/simulation.md. An experiment is checked as a whole before a run begins; `InputFileError` names file, line and key.
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
from .spec_types import (
    Above0,
    Above0R,
    CountR,
    Least0,
    Least0R,
    Part,
    PartR,
    Some,
    SomeR,
    Strict,
    drawn_count,
    drawn_number,
)
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


WEIGHT_TOLERANCE = 1e-6


class Kind(Strict, frozen=True):
    """A kind of machine. The defaults are from the operators' table of machines."""

    name: str
    share: Above0R = 1.0  # of the servers, relative to the other kinds
    cores: Some = 4
    speed: Above0R = 1.0  # of a core, over a standard core
    speed_cv: Least0R = 0.0  # coefficient of variation of the speed between machines
    cold_part: PartR = 0.4  # of its capacity, at start
    warm_s: Above0R = 6.0  # duration of the slow start, over which capacity grows evenly
    crowd_at: Above0R = 4.0  # attempts at once, a core, from which on a core loses efficiency
    crowd_loss: Least0R = 0.05  # fraction of the speed lost for each further attempt, a core
    queue_per_core: Least0R = 20.0  # attempts that may wait; further ones are rejected
    connections_per_core: Above0R = 700.0  # further connections are refused by the machine
    buffer_s: Above0R = 1.5  # longest backlog of work; what exceeds it is lost
    sheds: Literal["none", "newest", "heaviest"] = "none"  # connections closed at that backlog


class Class(Strict, frozen=True):
    """A class of connections."""

    name: str
    share: Above0R = 1.0  # of new connections, relative to the other classes
    worth: Above0 = 1.0  # priority weight of a second served in time
    load: Above0R = 1.0  # relative to the usual load
    load_sigma: Least0R = 0.4  # of the lognormal draw of a connection's usual load
    swing_sigma: Least0R = 0.5  # of the lognormal changes of its load
    change_s: Above0R = 12.0  # mean time between changes of load
    idle: PartR = 0.3  # fraction of the time without load
    life: Least0R = 1.0  # relative to the usual life; 0: the connection ends once it is set up
    setup_ms: Least0R = 8.0  # work of an attempt, on a standard core
    setup_spread: Literal["exp", "fixed"] = "exp"
    aim_ms: Above0R = 300.0  # latency objective
    give_up_ms: Above0R = 1500.0  # timeout of a request
    message_aim_ms: Above0R = 100.0  # message objective


class Tenant(Strict, frozen=True):
    """A tenant of the fleet."""

    name: str
    share: Above0 = 1.0  # of the quotas, relative to the other tenants
    usage: Above0R = 1.0  # what it asks for, over its quota


class Fleet(Strict, frozen=True):
    """The numbers of processes and zones."""

    balancers: SomeR = 3
    instances: SomeR = 12
    zones: tuple[str, ...] = ("a", "b")
    zone_skew: PartR = 0.0  # of clients over zones: 0 evenly, 1 all in the first
    instance_skew: PartR = 0.0  # of servers over zones: 0 evenly, 1 all in the last


class Traffic(Strict, frozen=True):
    """The load that clients ask for, and how it arrives."""

    load: Above0R = 0.3  # mean, as a fraction of the fleet's capacity
    connections_per_core: Above0R = 20.0  # usual connections that fill a standard core
    life_s: Above0R = 45.0  # usual life of a connection
    life_sigma: Least0R = 1.0  # of its lognormal draw
    shape: Literal["steady", "ramp", "wave"] = "steady"
    swing: PartR = 0.0  # amplitude of arrivals about their mean
    hints: bool = False  # requests state their usual load
    group_size: Above0R = 20.0  # mean number of clients in a group
    group_cost: Least0R = 0.0  # usual loads that a server bears for each group with a connection there
    message_part: Above0R = 0.07  # work of a message, as a fraction of the shortest message objective
    bursty: Above0R = 2.0  # factor of waits, over those of evenly spread messages


class Store(Strict, frozen=True):
    """The store that every attempt asks, in one queue."""

    headroom: Least0R = 0.0  # calls that it can serve, over the usual rate of new clients; 0: no call waits
    call_ms: Least0R = 10.0  # time of a call in an empty queue


class Clients(Strict, frozen=True):
    """The behaviour of clients."""

    retries: CountR = 2  # retries with a backoff; later ones wait `pause_ms`
    backoff: Literal["double", "fixed", "none"] = "double"
    backoff_ms: Above0R = 60.0
    pause_ms: Above0R = 1500.0
    honour: PartR = 0.9  # fraction of clients that wait as long as a rejection says
    rejoin_ms: Above0R = 400.0  # mean time until a reconnect after a break
    move_ms: Above0R = 100.0  # mean time until a reconnect after a migration notice
    impatient: PartR = 0.01  # fraction of requests given up early, at a random time


class Network(Strict, frozen=True):
    """Times of messages, one way, and their losses."""

    same_ms: Least0R = 0.25  # within a zone
    cross_ms: Least0R = 2.0  # between zones
    client_ms: Least0R = 0.6  # between client and balancer
    jitter: Least0R = 0.2  # exponential, as a fraction of each
    peer_ms: Least0R = 15.0  # between balancers, exponential, in addition
    peer_loss: PartR = 0.01
    silence_s: Above0R = 4.5  # after which a balancer gives up a silent connection


class Front(Strict, frozen=True):
    """The front before the balancers."""

    notice_s: Least0R = 2.3  # until a balancer that has ended gets no more clients
    admit_s: Least0R = 0.5  # until a balancer that has started gets clients


class Discovery(Strict, frozen=True):
    """Service discovery."""

    mode: Literal["push", "ask"] = "push"
    notice_s: Least0R = 3.0  # from the end of a process to the list
    add_s: Least0R = 1.0  # from the start of a process to the list
    spread_ms: Least0R = 60.0  # of delivery over the balancers
    ask_ms: Least0R = 40.0  # time of a call, where balancers must poll
    ask_failures: PartR = 0.0  # fraction of calls that fail


class Reports(Strict, frozen=True):
    """Load reports and health checks."""

    names: tuple[Literal["load_ratio", "utilization", "backlog", "backlog_s", "inflight"], ...] = (
        "load_ratio",
        "utilization",
        "backlog",
    )
    period_ms: Above0R = 200.0  # between two load reports
    delay_ms: Least0R = 60.0  # age of the newest report that a health check sees
    noise: Least0R = 0.1  # lognormal sigma of each value
    probe_ms: Least0R = 1.1  # work of a health check, on a standard core
    probe_timeout_ms: Above0R = 250.0
    probe_waits: bool = True  # behind the backlog; else health checks are answered beside it
    load_told: bool = True  # balancers are notified of a connection's load when it changes
    delay_told: bool = True  # balancers are notified of connections with slow messages


class Platform(Strict, frozen=True):
    """What balancers may do and its cost, as in their settings."""

    tick_ms: Above0 = 2.0
    max_attempts: Some = 5
    may_probe: bool = True
    may_tell: bool = True
    probe_shards: bool = False  # each server is checked by one balancer, which shares the result
    may_cancel: bool = True
    retry_after: bool = True
    max_retry_after_ms: Least0 = 1000.0
    dial_timeout_ms: Above0 = 200.0
    price_cross_zone: Least0 = 0.023
    price_probe: Least0 = 0.0015
    price_peer: Least0 = 0.01
    price_move: Least0 = 0.02
    over_share_worth: Part = 0.1
    share_room: Above0R = 0.82  # all quotas together, as a fraction of the fleet's capacity


class Rules(Strict, frozen=True):
    """Figures of the four rules (WIRE, section 13)."""

    answer_grace_ms: Least0 = 8.0
    drain_grace_ms: Least0 = 2500.0
    cold_multiple: Above0 = 3.0
    cold_window_ms: Above0 = 3000.0
    cold_share: Annotated[float, Meta(gt=0, le=1)] = 0.31  # in the balancers' settings: the least of all kinds
    cold_s: Above0 = 9.0  # in the balancers' settings: the longest of all kinds


class Goal(Strict, frozen=True):
    """Weights of the parts of `worth.goal`."""

    whole: Least0 = 0.35
    worst_window: Least0 = 0.15
    worst_class: Least0 = 0.4
    worst_tenant: Least0 = 0.1


class Experiment(Strict, frozen=True):
    """An experiment file, without `base`, which names a file that this one changes."""

    name: str
    title: str = ""
    length_s: Above0R = 50.0
    drain_s: Least0 = 5.0  # simulated after the last arrival
    clock_start_s: Above0 = 1000.0  # the balancers' clock at the start
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
    constants: dict[str, float] = {}  # noqa: RUF012 - msgspec copies it; constants of routing, set for the run alone
    sweep: dict[str, Annotated[tuple[Any, ...], Meta(min_length=1)]] = {}  # noqa: RUF012 - axes: path, its values


def merge(base: dict[str, Any], over: dict[str, Any]) -> dict[str, Any]:
    """Merges tables key by key; any other value of `over`, also a list, replaces that of `base`."""
    merged = dict(base)
    for key, value in over.items():
        both_are_tables = isinstance(value, dict) and isinstance(merged.get(key), dict)
        merged[key] = merge(merged[key], value) if both_are_tables else value
    return merged


def raw_of(path: Path, seen: tuple[Path, ...] = ()) -> tuple[dict[str, Any], str]:
    """Reads a file merged over its bases. Returns the table and the text. Raises InputFileError."""
    raw, text = toml_file.read(path)
    base = raw.pop("base", None)
    if base is None:
        return raw, text
    if not isinstance(base, str):
        raise input_error(path, text, "base", "expected the name of a file")
    base_path = (path.parent / base).resolve()
    if base_path in seen or base_path == path.resolve():
        raise input_error(path, text, "base", f"{base} leads back to this file")
    base_raw, _ = raw_of(base_path, (*seen, path.resolve()))
    base_raw.pop("sweep", None)  # an experiment does not inherit axes
    return merge(base_raw, raw), text


def _raw_with(path: Path, overrides: dict[str, Any] | None) -> tuple[dict[str, Any], str]:
    raw, text = raw_of(path)
    for key, value in (overrides or {}).items():
        raw = put(raw, key, value, path)
    return raw, text


def load(path: Path, overrides: dict[str, Any] | None = None) -> Experiment:
    """Reads and checks an experiment, at each value of its axes too. Raises InputFileError."""
    raw, text = _raw_with(path, overrides)
    experiment = toml_file.convert(path, text, raw, Experiment)
    check(experiment, path, text)
    for key, values in experiment.sweep.items():
        for value in values:
            _at_value(raw, key, value, path, text)
    return experiment


def points(path: Path, overrides: dict[str, Any] | None = None) -> list[tuple[dict[str, Any], Experiment]]:
    """Returns each point of the sweep, as values by path, with its experiment; one empty point without a sweep."""
    axes = load(path, overrides).sweep
    raw, text = _raw_with(path, overrides)
    found: list[tuple[dict[str, Any], dict[str, Any]]] = [({}, raw)]
    for key, values in axes.items():
        found = [
            ({**where, key: value}, put(raw_there, key, value, path)) for where, raw_there in found for value in values
        ]
    return [(where, _checked(raw_there, path, text)) for where, raw_there in found]


def _checked(raw: dict[str, Any], path: Path, text: str) -> Experiment:
    experiment = toml_file.convert(path, text, raw, Experiment)
    check(experiment, path, text)
    return experiment


def _at_value(raw: dict[str, Any], key: str, value: Any, path: Path, text: str) -> None:
    """Checks the experiment with one value of an axis. Raises InputFileError that names the axis."""
    try:
        _checked(put(raw, key, value, path), path, text)
    except InputFileError as error:
        reason = str(error).split(": ", 1)[1]
        raise input_error(path, text, "sweep", f"{key} = {value!r}: {reason}") from None


def put(raw: dict[str, Any], key: str, value: Any, path: Path) -> dict[str, Any]:
    """Returns a copy with the value at a path (`traffic.load`, `faults[0].part`) replaced. Raises InputFileError."""
    changed = copy.deepcopy(raw)
    steps = [name or int(number) for name, number in toml_file.PATH_STEP.findall(key)]
    table: Any = changed
    missing = InputFileError(f"{path}: {key}: there is nothing at this path")
    for number, step in enumerate(steps[:-1]):
        if isinstance(table, dict) and step not in table and isinstance(steps[number + 1], str):
            table[step] = {}
        try:
            table = table[step]
        except (KeyError, IndexError, TypeError):
            raise missing from None
    if isinstance(table, list) and isinstance(steps[-1], int) and not 0 <= steps[-1] < len(table):
        raise missing
    try:
        table[steps[-1]] = value
    except (IndexError, TypeError):
        raise missing from None
    return changed


class _Checker:
    """Raises InputFileError for the first condition of an experiment that does not hold."""

    def __init__(self, experiment: Experiment, path: Path, text: str) -> None:
        self.experiment, self.path, self.text = experiment, path, text

    def _need(self, holds: bool, key: str, reason: str) -> None:
        if not holds:
            raise input_error(self.path, self.text, key, reason)

    def check(self) -> None:
        """Checks all parts, in the order of the file."""
        for key, (least, most) in pairs(self.experiment):
            self._need(least <= most, key, f"the range [{least:g}, {most:g}] runs backwards")
        self._check_names("kinds", [kind.name for kind in self.experiment.kinds])
        self._check_names("classes", [class_.name for class_ in self.experiment.classes])
        self._check_names("tenants", [tenant.name for tenant in self.experiment.tenants])
        self._check_fleet()
        self._check_classes()
        for number, fault_ in enumerate(self.experiment.faults):
            self._check_fault(fault_, f"faults[{number}]")
        self._check_constants()
        self._check_goal()

    def _check_names(self, key: str, names: list[str]) -> None:
        for number, name in enumerate(names):
            self._need(bool(name), f"{key}[{number}].name", "must not be empty")
            self._need(name not in names[:number], f"{key}[{number}].name", f"{name!r} stands twice")

    def _check_fleet(self) -> None:
        zones = self.experiment.fleet.zones
        self._need(len(zones) >= 1 and all(zones), "fleet.zones", "at least one zone, none without a name")
        self._need(len(set(zones)) == len(zones), "fleet.zones", "a zone stands twice")
        for number, kind in enumerate(self.experiment.kinds):
            self._need(low(kind.cold_part) > 0, f"kinds[{number}].cold_part", "must be above 0")

    def _check_classes(self) -> None:
        classes = self.experiment.classes
        for number, class_ in enumerate(classes):
            is_within = high(class_.aim_ms) <= low(class_.give_up_ms)
            self._need(is_within, f"classes[{number}].aim_ms", "must lie within give_up_ms")
        some_live = any(low(class_.life) > 0 for class_ in classes)
        none_lives = all(high(class_.life) == 0 for class_ in classes)
        self._need(some_live or none_lives, "classes", "a life of 0 goes with no other life")

    def _check_fault(self, fault_: Fault, key: str) -> None:
        fleet, length_s = self.experiment.fleet, low(self.experiment.length_s)
        self._need(low(fault_.at_s) < length_s, f"{key}.at_s", f"is past the end of the day ({length_s:g} s)")
        if isinstance(fault_, ZoneCut):
            self._need(len(fleet.zones) > 1, key, "a zone cut needs two zones")
        if isinstance(fault_, Crash | ZoneCut):
            is_known = not fault_.zone or fault_.zone in fleet.zones
            self._need(is_known, f"{key}.zone", f"{fault_.zone!r} is not one of fleet.zones")
        if isinstance(fault_, SendAway):
            is_known = fault_.balancer < low(fleet.balancers)
            self._need(is_known, f"{key}.balancer", "there is no such balancer on every day")
        if isinstance(fault_, TenantFlood):
            is_known = not fault_.tenant or fault_.tenant in {tenant.name for tenant in self.experiment.tenants}
            self._need(is_known, f"{key}.tenant", f"{fault_.tenant!r} is not one of tenants")

    def _check_constants(self) -> None:
        from .policies.module import OPEN  # policies import routing, which a reader of experiments does not need

        for name in self.experiment.constants:
            self._need(name in OPEN, f"constants.{name}", "not an open constant of the routing decisions")

    def _check_goal(self) -> None:
        goal = self.experiment.goal
        total = goal.whole + goal.worst_window + goal.worst_class + goal.worst_tenant
        self._need(abs(total - 1) < WEIGHT_TOLERANCE, "goal", f"weights must add up to 1, not {total:g}")


def check(experiment: Experiment, path: Path, text: str) -> None:
    """Checks what the types alone do not say. Raises InputFileError."""
    _Checker(experiment, path, text).check()


def low(value: Any) -> Any:
    """Returns the least value of a range, or the value itself."""
    return value[0] if isinstance(value, tuple) else value


def high(value: Any) -> Any:
    """Returns the greatest value of a range, or the value itself."""
    return value[1] if isinstance(value, tuple) else value


def is_range(value: Any) -> bool:
    """Returns whether a value is a pair of numbers."""
    return (
        isinstance(value, tuple)
        and len(value) == 2
        and all(isinstance(number, int | float) and not isinstance(number, bool) for number in value)
    )


def pairs(value: Any, key: str = "") -> list[tuple[str, tuple[float, float]]]:
    """Returns each range of an experiment, with its path."""
    if isinstance(value, Struct):
        return [
            found
            for name in value.__struct_fields__
            if name != "sweep"
            for found in pairs(getattr(value, name), f"{key}.{name}".lstrip("."))
        ]
    if is_range(value):
        return [(key, value)]
    if isinstance(value, tuple):
        return [found for number, item in enumerate(value) for found in pairs(item, f"{key}[{number}]")]
    return []


def drawn(experiment: Experiment, seed: int) -> Experiment:
    """Replaces each range by a number, drawn for the seed from a stream of its path."""
    result: Experiment = _drawn(experiment, "", Streams(seed))
    return result


def _drawn(value: Any, key: str, streams: Streams) -> Any:
    if isinstance(value, Struct):
        fields = [name for name in value.__struct_fields__ if name != "sweep"]
        changes = {name: _drawn(getattr(value, name), f"{key}.{name}", streams) for name in fields}
        return msgspec.structs.replace(value, **changes)
    if is_range(value):
        least, most = value
        fraction = float(streams.of(f"draw{key}").random())
        if all(isinstance(number, int) for number in value):
            return min(most, least + int(fraction * (most - least + 1)))
        return least + fraction * (most - least)
    if isinstance(value, tuple):
        return tuple(_drawn(item, f"{key}[{number}]", streams) for number, item in enumerate(value))
    return value


def settings_of(experiment: Experiment, index: int, zone: str, quotas: tuple[float, ...]) -> interface.Settings:
    """Returns the settings of a balancer of a drawn experiment.

    Args:
        experiment: the drawn experiment.
        index: of the balancer.
        zone: of the balancer.
        quotas: connections by tenant.
    """
    platform, rules = experiment.platform, experiment.rules
    return interface.Settings(
        classes=tuple(_request_class(class_) for class_ in experiment.classes),
        tenants=tuple(
            interface.Tenant(tenant.name, quota) for tenant, quota in zip(experiment.tenants, quotas, strict=True)
        ),
        zone=zone,
        index=index,
        balancers=drawn_count(experiment.fleet.balancers),
        tick_us=max(1, _us(platform.tick_ms)),
        max_attempts=platform.max_attempts,
        may_cancel=platform.may_cancel,
        may_health_check=platform.may_probe,
        may_gossip=platform.may_tell,
        may_send_retry_after=platform.retry_after,
        max_retry_after_us=_us(platform.max_retry_after_ms),
        connect_timeout_us=_us(platform.dial_timeout_ms),
        must_poll_endpoints=experiment.discovery.mode == "ask",
        answer_grace_us=_us(rules.answer_grace_ms),
        drain_grace_us=_us(rules.drain_grace_ms),
        slow_start_initial_fraction=rules.cold_share,
        slow_start_us=round(rules.cold_s * 1000 * 1000),
        slow_start_multiple=rules.cold_multiple,
        slow_start_window_us=_us(rules.cold_window_ms),
        over_quota_weight=platform.over_share_worth,
        load_report_fields=experiment.reports.names,
        has_message_delay_reports=experiment.reports.delay_told,
        cross_zone_cost=platform.price_cross_zone,
        health_check_cost=platform.price_probe,
        gossip_cost=platform.price_peer,
        migration_cost=platform.price_move,
    )


def _request_class(class_: Class) -> interface.RequestClass:
    return interface.RequestClass(
        class_.name, _us(class_.aim_ms), _us(class_.give_up_ms), _us(class_.message_aim_ms), class_.worth
    )


def _us(milliseconds: float | tuple[float, ...]) -> int:
    return round(drawn_number(milliseconds) * 1000)
