"""What a balancer keeps of servers, requests, clients and peers. Records only: rules.py decides."""

from __future__ import annotations

from dataclasses import dataclass, field
from hashlib import blake2b

from . import interface as io
from .ring import Ring

S = 1_000_000  # microseconds in a second
LONG_AGO = -(1 << 40)
NOTES_APART_US = 500_000  # words of slow messages nearer than this say nothing of how a wait grows
NEVER = 1 << 62  # a bucket past all others: buckets may be negative on a young clock


def code_of(server: str) -> int:
    """A number of the server's own, the same at every balancer and in every run."""
    return int.from_bytes(blake2b(server.encode(), digest_size=8).digest(), "big")


@dataclass(slots=True, eq=False)
class Server:
    id: str
    zone: str
    cell: int
    code: int  # hash of the id
    ready: bool = False  # listed as such, and not out by hand
    listed: bool = False  # the list says that it is ready
    started_us: int = 0
    weight: float = 1.0
    load: float = -1.0  # part of capacity in use as last learned; below 0: not known
    load_at: int = LONG_AGO
    placed: float = 0.0  # load sent there that no report can show yet
    sends: list[tuple[int, float]] = field(default_factory=list)  # when, and the load, since that time
    past: list[tuple[int, float]] = field(default_factory=list)  # when, and our load that stood there
    then: float = 0.0  # our load there at the time of which the last report tells
    notes: list[tuple[int, float, float]] = field(default_factory=list)  # when, a wait in s, our load there
    cut_at: int = LONG_AGO
    down_until: int = 0
    failures: int = 0
    probe_at: int = -1  # a probe is out since then
    heard_at: int = LONG_AGO  # it said anything: a set-up stands, a load, a report
    noted_at: int = LONG_AGO  # messages there took long
    late_at: int = LONG_AGO  # and missed their aim
    moved_at: int = LONG_AGO
    leaves_by: int = 0  # it drains or is gone: its clients should be elsewhere by then
    held: dict[str, Flow] = field(default_factory=dict)  # connections of ours that stand there
    brought: list[tuple[int, float]] = field(default_factory=list)  # while cold: when, and the load sent
    can: float = 0.0  # load that would fill it as lately seen; 0: not known
    usual: float = 0.0  # and as seen over a longer time
    part: float = 1.0  # of what a server usually can, at most 1


@dataclass(slots=True, eq=False)
class Attempt:
    server: Server
    sent_at: int
    verdict: str = ""  # empty: still out


@dataclass(slots=True, eq=False)
class Flow:
    """A request, from its arrival to the end of its connection."""

    event: io.Request
    kind: io.RequestClass
    key: int | str
    load: float
    arrived: int
    attempts: list[Attempt] = field(default_factory=list)
    server: Server | None = None  # where it stands
    answered: bool = False
    cold: bool = False  # admitted for servers that started lately, and for no others
    waits_for: set[str] = field(default_factory=set)  # probes
    choice: list[Server] = field(default_factory=list)

    @property
    def ran(self) -> Attempt | None:
        """The first attempt that may have run; one that is still out may."""
        return next((a for a in self.attempts if a.verdict not in io.NEVER_RAN), None)


@dataclass(slots=True)
class Session:
    load: float
    seen: int
    flows: int = 0


@dataclass(slots=True)
class Waiter:
    bucket: int
    load: float
    seen: int


@dataclass(slots=True)
class Peer:
    stamp: int
    heard: int
    active: float
    clients: int
    line: list[tuple[int, float]]  # bucket, load waiting


class Memory:
    """All that one balancer keeps between events; it starts empty and dies with the balancer."""

    def __init__(self) -> None:
        self.now = self.salt = 0
        self.out: list[io.Action] = []
        self.odd: list[str] = []  # what the last batch brought that was left aside, for the log
        self.servers: dict[str, Server] = {}
        self.ring, self.local = Ring(), Ring()  # of all servers that are ready; of those in this zone
        # What the list now read changes: a server, its points, ready or not, in this zone.
        self.changed: list[tuple[Server, tuple[int, ...], bool, bool]] = []
        self.flows: dict[str, Flow] = {}
        self.homes: dict[int, Server] = {}  # by group, where it was last seen to stand, longest ago first
        self.choosing: dict[str, Flow] = {}  # requests that wait for probes
        self.held: dict[str, None] = {}  # requests no server may take yet
        self.sessions: dict[int | str, Session] = {}
        self.line: dict[int | str, Waiter] = {}
        self.peers: dict[int, Peer] = {}
        self.timers: dict[int, str] = {}
        self.shed: dict[str, None] = {}  # moved off without their session
        self.next_ref = 1
        self.active = 0.0  # load of this balancer's sessions
        self.standing = 0.0  # load by which the budgets of cold servers go
        self.mean_load = 0.0  # of a connection; 0: none has told its load
        self.means: dict[str, tuple[float, int]] = {}  # by class: the mean, and loads in it; "": of all
        self.cap = float("inf")  # starts high: nothing is known against it
        self.cold: list[Server] = []  # servers in reach that started lately, as of the last round
        self.cold_cap = 0.0  # active load beside it, for servers still cold
        self.cap_cut_at = LONG_AGO
        self.none_left = False  # each server that is ready is out of use for a while
        self.fleet = 0.5  # mean load over servers lately probed
        self.warm = 0  # servers in reach past their warm-up, when there were any
        self.all_cold = False  # there are none now
        self.reach: set[str] = set()  # which
        self.lost_at = LONG_AGO  # some of them left then
        self.capacity = 0.0  # of one server, in load; 0: not known
        self.turned = self.tried = 0  # attempts of this round
        self.turned_at: set[str] = set()
        self.setup_aim_us = S  # shortest time wanted for a set-up
        self.opening = self.peak = 0  # set-ups out now, and most of them in this round
        self.ill = self.well = self.came_up = 0  # set-ups of this round: failed or slow, in time, all up
        self.ill_at: set[str] = set()
        self.window = float("inf")  # set-ups out at a time
        self.window_at, self.idle = LONG_AGO, 0  # last cut; rounds in which it did not bind
        self.best = 0.0  # set-ups a second that came up, the most lately
        self.open_until = -NEVER  # buckets up to this one pass
        self.partial = NEVER  # this one in part
        self.part = 0.0  # load that it, or newcomers if there is none, may still bring this round
        self.claimed = 0.0  # load that the oldest buckets brought this round
        self.newcomers_pass = True
        self.younger, self.kept_out = 0, False  # buckets past the partial one that pass too
        self.history: list[tuple[int, int, float]] = []  # time, clients seen here, actives known
        self.carried: list[tuple[int, float]] = []  # times and loads of this balancer's sessions, lately
        self.basis, self.basis_at = 0.0, 0  # its part of the tier, and since when: `usual` goes by it
        self.told_at = 0
        self.going = False  # all clients here are sent away
        self.ask_at = 0
        self.asked = False
        self.ask_failures = 0
        self.probe_tokens = 10.0  # probes that may be sent
        self.peer_tokens = 1024.0  # bytes that may be sent, times receivers
