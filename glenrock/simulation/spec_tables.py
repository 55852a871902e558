"""Tables of an experiment file. Names of keys end in their unit (`_s`, `_ms`); fractions are from 0 to 1.

A value of a type `...OrRange` is a number or a range `[least, most]`, from which a number is drawn for each seed.
docs/simulation.md lists the tables.
"""

from __future__ import annotations

from typing import Annotated, Any, Literal

from msgspec import Meta

from .spec_faults import AnyFault
from .spec_types import (
    Fraction,
    FractionOrRange,
    NonNegative,
    NonNegativeCountOrRange,
    NonNegativeOrRange,
    Positive,
    PositiveCount,
    PositiveCountOrRange,
    PositiveOrRange,
    StrictTable,
)


class Kind(StrictTable, frozen=True):
    """A kind of machine. The defaults are from the operators' table of machines."""

    name: str
    share: PositiveOrRange = 1.0  # of the servers, relative to the other kinds
    cores: PositiveCount = 4
    speed: PositiveOrRange = 1.0  # of a core, relative to a standard core
    speed_cv: NonNegativeOrRange = 0.0  # coefficient of variation of the speed between machines
    cold_part: FractionOrRange = 0.4  # fraction of the capacity that it has at its start
    warm_s: PositiveOrRange = 6.0  # duration of the slow start, during which its capacity grows linearly
    crowd_at: PositiveOrRange = 4.0  # concurrent attempts per core, above which the core loses efficiency
    crowd_loss: NonNegativeOrRange = 0.05  # fraction of the speed lost for each further attempt per core
    queue_per_core: NonNegativeOrRange = 20.0  # attempts that may wait per core; further ones are rejected
    connections_per_core: PositiveOrRange = 700.0  # connections per core; the machine refuses further ones
    buffer_s: PositiveOrRange = 1.5  # longest backlog of work; work beyond it is lost
    sheds: Literal["none", "newest", "heaviest"] = "none"  # which connections are closed at that backlog


class Class(StrictTable, frozen=True):
    """A class of connections."""

    name: str
    share: PositiveOrRange = 1.0  # of new connections, relative to the other classes
    worth: Positive = 1.0  # priority weight of a second served in time
    load: PositiveOrRange = 1.0  # mean base load, in standard connections (`Traffic.connections_per_core`)
    load_sigma: NonNegativeOrRange = 0.4  # sigma of the lognormal distribution of base loads
    swing_sigma: NonNegativeOrRange = 0.5  # sigma of the lognormal changes of its load
    change_s: PositiveOrRange = 12.0  # mean time between changes of load
    idle: FractionOrRange = 0.3  # fraction of the time without load
    life: NonNegativeOrRange = 1.0  # mean, relative to `Traffic.life_s`; 0: the connection closes once it is set up
    setup_ms: NonNegativeOrRange = 8.0  # work of an attempt on a standard core
    setup_spread: Literal["exp", "fixed"] = "exp"
    aim_ms: PositiveOrRange = 300.0  # latency objective of a request
    give_up_ms: PositiveOrRange = 1500.0  # timeout of a request
    message_aim_ms: PositiveOrRange = 100.0  # latency objective of a message


class Tenant(StrictTable, frozen=True):
    """A tenant of the fleet."""

    name: str
    share: Positive = 1.0  # of the quotas, relative to the other tenants
    usage: PositiveOrRange = 1.0  # load that it asks for, relative to its quota


class Fleet(StrictTable, frozen=True):
    """The numbers of processes, and the zones."""

    balancers: PositiveCountOrRange = 3
    instances: PositiveCountOrRange = 12
    zones: tuple[str, ...] = ("a", "b")
    zone_skew: FractionOrRange = 0.0  # of clients over zones: 0 spreads them evenly, 1 puts all in the first
    instance_skew: FractionOrRange = 0.0  # of servers over zones: 0 spreads them evenly, 1 puts all in the last


class Traffic(StrictTable, frozen=True):
    """The load that clients ask for, and how it arrives."""

    load: PositiveOrRange = 0.3  # mean load, as a fraction of the fleet's capacity
    connections_per_core: PositiveOrRange = 20.0  # standard connections that use a whole standard core
    life_s: PositiveOrRange = 45.0  # mean life of a connection
    life_sigma: NonNegativeOrRange = 1.0  # sigma of its lognormal distribution
    shape: Literal["steady", "ramp", "wave"] = "steady"
    swing: FractionOrRange = 0.0  # amplitude of the arrival rate, relative to its mean
    hints: bool = False  # requests state the base load of their connection
    group_size: PositiveOrRange = 20.0  # mean number of clients in a group
    group_cost: NonNegativeOrRange = (
        0.0  # load of each group at each server it has a connection to, in standard connections
    )
    message_part: PositiveOrRange = 0.07  # work of a message, as a fraction of the shortest message objective
    bursty: PositiveOrRange = 2.0  # factor of message waits, relative to evenly spread messages


class Store(StrictTable, frozen=True):
    """The store that servers call for each established attempt; its calls wait in one queue."""

    headroom: NonNegativeOrRange = (
        0.0  # rate of calls that it can serve, relative to the mean rate of new clients; 0: no call waits
    )
    call_ms: NonNegativeOrRange = 10.0  # time of a call in an empty queue


class Clients(StrictTable, frozen=True):
    """The behaviour of clients."""

    retries: NonNegativeCountOrRange = 2  # retries with a backoff; later ones wait `pause_ms`
    backoff: Literal["double", "fixed", "none"] = "double"
    backoff_ms: PositiveOrRange = 60.0
    pause_ms: PositiveOrRange = 1500.0
    honour: FractionOrRange = 0.9  # fraction of clients that wait as long as a rejection says
    rejoin_ms: PositiveOrRange = 400.0  # mean time until a reconnect after a lost connection
    move_ms: PositiveOrRange = 100.0  # mean time until a reconnect after a migration notice
    impatient: FractionOrRange = 0.01  # fraction of requests given up early, at a random time


class Network(StrictTable, frozen=True):
    """One-way delays and losses of messages."""

    same_ms: NonNegativeOrRange = 0.25  # within a zone
    cross_ms: NonNegativeOrRange = 2.0  # between zones
    client_ms: NonNegativeOrRange = 0.6  # between client and balancer
    jitter: NonNegativeOrRange = 0.2  # exponential, as a fraction of each delay
    peer_ms: NonNegativeOrRange = 15.0  # additional delay between balancers, exponential
    peer_loss: FractionOrRange = 0.01
    silence_s: PositiveOrRange = 4.5  # after which a balancer closes a silent connection


class Front(StrictTable, frozen=True):
    """The front end, which spreads clients over the balancers."""

    notice_s: NonNegativeOrRange = 2.3  # from the end of a balancer until it gets no more clients
    admit_s: NonNegativeOrRange = 0.5  # from the start of a balancer until it gets clients


class Discovery(StrictTable, frozen=True):
    """Service discovery."""

    mode: Literal["push", "ask"] = "push"
    notice_s: NonNegativeOrRange = 3.0  # from the end of a process until the endpoint list shows it
    add_s: NonNegativeOrRange = 1.0  # from the start of a process until the endpoint list shows it
    spread_ms: NonNegativeOrRange = 60.0  # range over which deliveries to the balancers spread
    ask_ms: NonNegativeOrRange = 40.0  # duration of a call, if balancers poll
    ask_failures: FractionOrRange = 0.0  # fraction of calls that fail


class Reports(StrictTable, frozen=True):
    """Load reports and health checks."""

    names: tuple[Literal["load_ratio", "utilization", "backlog", "backlog_s", "inflight"], ...] = (
        "load_ratio",
        "utilization",
        "backlog",
    )
    period_ms: PositiveOrRange = 200.0  # between two load reports
    delay_ms: NonNegativeOrRange = 60.0  # age of the newest report that a health check sees
    noise: NonNegativeOrRange = 0.1  # sigma of the lognormal noise of each value
    probe_ms: NonNegativeOrRange = 1.1  # work of a health check on a standard core
    probe_timeout_ms: PositiveOrRange = 250.0
    probe_waits: bool = True  # health checks wait behind the backlog; else they are answered beside it
    load_told: bool = True  # servers report the load of a connection to its balancer when it changes
    delay_told: bool = True  # servers report connections with slow messages to their balancers


class Platform(StrictTable, frozen=True):
    """What balancers may do, and what it costs, as in their settings."""

    tick_ms: Positive = 2.0
    max_attempts: PositiveCount = 5
    may_probe: bool = True
    may_tell: bool = True
    probe_shards: bool = False  # each server is checked by one balancer, which shares the result
    may_cancel: bool = True
    retry_after: bool = True
    max_retry_after_ms: NonNegative = 1000.0
    dial_timeout_ms: Positive = 200.0
    price_cross_zone: NonNegative = 0.023
    price_probe: NonNegative = 0.0015
    price_peer: NonNegative = 0.01
    price_move: NonNegative = 0.02
    over_share_worth: Fraction = 0.1
    share_room: PositiveOrRange = 0.82  # sum of all quotas, as a fraction of the fleet's capacity


class Rules(StrictTable, frozen=True):
    """Parameters of the four rules (WIRE, section 13)."""

    answer_grace_ms: NonNegative = 8.0
    drain_grace_ms: NonNegative = 2500.0
    cold_multiple: Positive = 3.0
    cold_window_ms: Positive = 3000.0
    cold_share: Annotated[float, Meta(gt=0, le=1)] = (
        0.31  # capacity at the start of slow start, in the balancers' settings: the smallest of all kinds
    )
    cold_s: Positive = 9.0  # duration of slow start, in the balancers' settings: the longest of all kinds


class Goal(StrictTable, frozen=True):
    """Weights of the parts of `worth.goal`."""

    whole: NonNegative = 0.35
    worst_window: NonNegative = 0.15
    worst_class: NonNegative = 0.4
    worst_tenant: NonNegative = 0.1


class Experiment(StrictTable, frozen=True):
    """An experiment file, without the key `base`, which names the file that this one is merged over."""

    name: str
    title: str = ""
    length_s: PositiveOrRange = 50.0
    drain_s: NonNegative = 5.0  # simulated after the end of the measured period
    clock_start_s: Positive = 1000.0  # time of the balancers' clock at the start
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
    constants: dict[str, float] = {}  # noqa: RUF012 - msgspec copies it; constants of routing, changed for the run alone
    sweep: dict[str, Annotated[tuple[Any, ...], Meta(min_length=1)]] = {}  # noqa: RUF012 - axes: the values by path
