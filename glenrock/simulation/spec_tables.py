"""Tables of an experiment file. Keys have their unit (`_s`, `_ms`); fractions are 0 to 1.

A figure is a number or a pair `[least, most]`, from which a number is drawn for each seed. docs/simulation.md lists
the tables.
"""

from __future__ import annotations

from typing import Annotated, Any, Literal

from msgspec import Meta

from .spec_faults import AnyFault
from .spec_types import Above0, Above0R, CountR, Least0, Least0R, Part, PartR, Some, SomeR, Strict


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
