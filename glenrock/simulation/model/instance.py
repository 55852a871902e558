"""An instance: set-ups through a queue and c cores, open connections as a flow of work, warming, falling over.

Set-ups are jobs, first come first served, each on one core. Open connections ask for work evenly, at a rate
that changes when their load does; what can't be done piles up, and messages wait behind it. While open
connections use part u of the cores, a set-up runs at (1 - u) of a core's speed, at least 0.15 of it, and
takes that from them. Left out: what a fuller table of connections costs, and pauses of the process.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Generic, TypeVar

from ..engine import Engine
from . import waits

AttemptT = TypeVar("AttemptT")  # an attempt to set up a connection, as the caller knows it; a key here

S = 1_000_000
LEAST_RATE = 0.15  # of a core's speed that a set-up has at the least
SLACK = 5.0  # usual loads by which the cold rule's budget is wider, for chance
SHED_TO = 0.8  # of its capacity, to which an instance that sheds drops its connections


@dataclass(slots=True, eq=False)
class Connection(Generic[AttemptT]):
    """Open at an instance."""

    attempt: AttemptT
    host: int
    kind: int
    group: int
    value: float  # worth of a second
    load: float = 0.0
    since: float = 0.0  # the instance's integral of its class when counting began
    earned: float = 0.0
    opened: int = 0
    muted: bool = False  # its packets do not arrive: the link is cut


@dataclass(slots=True)
class Shape:
    """What one instance is, as drawn for the day."""

    kind: str
    zone: int
    cores: int
    speed: float
    cold_part: float
    warm_us: float
    crowd_at: float
    crowd_loss: float
    queue: int
    connections: int
    buffer_s: float
    sheds: str


@dataclass(slots=True)
class Figures:
    """The day's figures that instances need, the same for all of them."""

    message_us: float
    bursty: float
    aims: tuple[float, ...]  # by class
    shortest_us: float
    group_load: float
    usual_load: float
    report_us: int
    cold_multiple: float
    cold_window_us: int


@dataclass(slots=True)
class Ledger:
    """Work, in microseconds on a standard core. asked + restored = done + piled up + lost, at any time."""

    asked: float = 0.0
    done: float = 0.0
    lost: float = 0.0
    jobs: int = 0
    jobs_done: int = 0
    jobs_lost: int = 0
    jobs_left: int = 0  # whose client no longer waited


@dataclass(slots=True, eq=False)
class Instance(Generic[AttemptT]):
    name: str
    number: int
    shape: Shape
    figures: Figures
    told: Callable[[AttemptT, str], None]  # how an attempt ended here
    engine: Engine
    earn: Callable[[int, int, float], None]  # time, class, worth: what was served just now
    cell: int = 0
    started: int = 0  # microseconds; 0: long ago
    up: bool = True
    fallen: bool = False  # pushed over while cold: stays down
    draining: bool = False
    life: int = 0  # counts its starts: what belongs to an earlier one is void
    slow: float = 1.0
    last: int = 0
    demand: float = 0.0  # work a second asked by open connections
    piled: float = 0.0
    busy: float = 0.0  # work a second that set-ups take
    running: int = 0
    queue: deque[tuple[AttemptT, float]] = field(default_factory=deque)
    held: dict[AttemptT, Connection[AttemptT]] = field(default_factory=dict)
    opening: dict[AttemptT, bool] = field(default_factory=dict)  # not yet open; whether it is set up
    groups: dict[int, int] = field(default_factory=dict)
    values: list[float] = field(default_factory=list)  # worth a second of what is held, by class
    integrals: list[float] = field(default_factory=list)  # seconds in time, by class
    reports: deque[tuple[int, dict[str, float]]] = field(default_factory=lambda: deque(maxlen=8))
    ledger: Ledger = field(default_factory=Ledger)
    sent: deque[tuple[int, float, bool]] = field(default_factory=deque)  # to it while cold: time, load, told
    sent_load: float = 0.0
    message_us: float = 0.0

    def __post_init__(self) -> None:
        self.values = [0.0] * len(self.figures.aims)
        self.integrals = [0.0] * len(self.figures.aims)
        self.message_us = self.figures.message_us

    # -- what it can do ------------------------------------------------------------------------------

    def warmth(self, now: int) -> float:
        if not self.started or now - self.started >= self.shape.warm_us:
            return 1.0
        cold = self.shape.cold_part
        return cold + (1 - cold) * (now - self.started) / self.shape.warm_us

    def core(self, now: int) -> float:
        """Work a second of one core."""
        s = self.shape
        crowd = (self.running + len(self.queue)) / s.cores - s.crowd_at
        loss = max(0.2, 1 - s.crowd_loss * crowd) if crowd > 0 else 1.0
        return S * s.speed * self.slow * self.warmth(now) * loss

    def capacity(self, now: int) -> float:
        return self.core(now) * self.shape.cores

    # -- time ----------------------------------------------------------------------------------------

    def advance(self, now: int) -> None:
        """Brings the flow of work up to now. Between two calls nothing has changed but warmth."""
        span = now - self.last
        if span <= 0:
            return
        f = self.figures
        if self.up:
            self.snapshot(now)
            whole = self.capacity(now)
            can = max(0.0, whole - self.busy)
            seconds = span / S
            asked = self.demand * seconds
            piled = max(0.0, self.piled + asked - can * seconds)
            self.ledger.asked += asked
            self.ledger.done += self.piled + asked - piled
            if whole > 0:
                share = self.demand / max(1e-9, can) if self.demand else 0.0
                late = (self.piled + piled) / 2 / whole * S
                if share > 0 or late > 0:
                    self.message_us = waits.mean_us(self.shape.cores, share, f.message_us, f.bursty, late)
                else:
                    self.message_us = f.message_us
                for k, value in enumerate(self.values):
                    if value:
                        part = waits.in_time(self.shape.cores, share, f.message_us, f.aims[k], f.bursty, late)
                        self.integrals[k] += part * seconds
                        self.earn(self.last, k, value * part * seconds)
            else:
                self.message_us = float("inf")
            self.piled = piled
        self.last = now

    def snapshot(self, now: int) -> None:
        """The load report, refreshed on a grid of its own; what is asked later sees the last one."""
        period = self.figures.report_us
        if (now - self.number) // period == (self.last - self.number) // period and self.reports:
            return
        whole = max(1e-9, self.capacity(now))
        self.reports.append(
            (
                now,
                {
                    "load_ratio": self.demand / whole,
                    "utilization": min(1.0, (self.demand + self.busy) / whole),
                    "backlog": float(len(self.queue)),
                    "backlog_s": self.piled / whole,
                    "inflight": float(len(self.held)),
                },
            )
        )

    def reported(self, then: int) -> dict[str, float]:
        """The report as it was then. It outlives a restart: the first ones after it describe the old process."""
        return next((r for at, r in reversed(self.reports) if at <= then), {})

    def tick(self, now: int) -> list[Connection[AttemptT]]:
        """Once a second. Returns the connections that it drops, since too much has piled up."""
        self.advance(now)
        whole, s = self.capacity(now), self.shape
        most = whole * s.buffer_s
        if not self.up or self.piled <= most:
            return []
        self.ledger.lost += self.piled - most
        self.piled = most
        if s.sheds == "none":
            return []
        dropped, left = [], self.demand
        order = list(self.held.values())
        if s.sheds == "newest":
            order.reverse()
        else:
            order.sort(key=lambda c: -c.load)
        for c in order:
            if left <= SHED_TO * whole:
                break
            left -= c.load
            dropped.append(c)
        return dropped

    # -- set-ups -------------------------------------------------------------------------------------

    def arrive(self, now: int, attempt: AttemptT, work: float, load: float, told: bool) -> None:
        """A first line has come. `told`: its balancer has been told of this start."""
        if not self.up:
            self.told(attempt, "no_connection")
            return
        self.advance(now)
        if self.count_cold(now, load, told):
            self.told(attempt, "broken")
            return
        if self.draining or len(self.queue) >= self.shape.queue:
            self.told(attempt, "full")
        elif len(self.held) + len(self.opening) >= self.shape.connections:
            self.told(attempt, "no_connection")
        else:
            self.ledger.jobs += 1
            self.opening[attempt] = False
            if self.running < self.shape.cores and self.slow > 0:
                self.start(now, attempt, work)
            else:
                self.queue.append((attempt, work))

    def start(self, now: int, attempt: AttemptT, work: float) -> None:
        core = self.core(now)
        whole = core * self.shape.cores
        rate = core * max(LEAST_RATE, 1 - min(1.0, self.demand / whole))
        self.running += 1
        self.busy += rate
        self.engine.at(now + max(1, round(work / rate * S)), self.set_up, attempt, rate, self.life)

    def set_up(self, attempt: AttemptT, rate: float, life: int) -> None:
        if life != self.life:
            return
        now = self.engine.now
        self.advance(now)
        self.running -= 1
        self.busy = self.busy - rate if self.running else 0.0
        if attempt in self.opening:
            self.opening[attempt] = True
            self.ledger.jobs_done += 1
            self.told(attempt, "up")
        self.pull(now)

    def pull(self, now: int) -> None:
        while self.queue and self.running < self.shape.cores and self.slow > 0:
            attempt, work = self.queue.popleft()
            if attempt in self.opening:  # else nobody waits for it any more
                self.start(now, attempt, work)

    def abandon(self, now: int, attempt: AttemptT) -> None:
        """Its balancer waits no longer, or it was never opened: nothing of it stays."""
        if self.opening.pop(attempt, True) is False:
            self.ledger.jobs_left += 1

    # -- open connections ----------------------------------------------------------------------------

    def open(self, now: int, c: Connection[AttemptT], load: float) -> bool:
        """It stands from now on. False if the instance knows nothing of it (it has started anew)."""
        if not self.up or c.attempt not in self.opening:
            return False
        self.advance(now)
        del self.opening[c.attempt]
        self.add(now, c, load)
        return True

    def add(self, now: int, c: Connection[AttemptT], load: float) -> None:
        self.advance(now)
        self.held[c.attempt] = c
        self.values[c.kind] += c.value
        c.since = self.integrals[c.kind]
        count = self.groups.get(c.group, 0)
        self.groups[c.group] = count + 1
        self.demand += load + (0.0 if count else self.figures.group_load)
        c.load = load

    def load(self, now: int, c: Connection[AttemptT], load: float) -> None:
        if c.attempt in self.held and not c.muted:
            self.advance(now)
            self.demand += load - c.load
            c.load = load

    def mute(self, now: int, c: Connection[AttemptT], muted: bool, load: float) -> None:
        """Its link is cut, or whole again: while it is cut nothing is asked and nothing is served."""
        if c.muted == muted or c.attempt not in self.held:
            return
        self.advance(now)
        if muted:
            c.earned += self.integrals[c.kind] - c.since
            self.values[c.kind] -= c.value
            self.demand -= c.load
            c.load = 0.0
        else:
            c.since = self.integrals[c.kind]
            self.values[c.kind] += c.value
            self.demand += load
            c.load = load
        c.muted = muted

    def close(self, now: int, c: Connection[AttemptT]) -> None:
        """It is over, whoever ended it. `earned` is whole then, in seconds served in time."""
        if c.attempt not in self.held:
            return
        self.advance(now)
        del self.held[c.attempt]
        if not c.muted:
            c.earned += self.integrals[c.kind] - c.since
            self.values[c.kind] -= c.value
        count = self.groups[c.group] - 1
        if count:
            self.groups[c.group] = count
        else:
            del self.groups[c.group]
        self.demand -= c.load + (0.0 if count else self.figures.group_load)
        if not self.held:  # no drift from rounding
            self.demand, self.values = 0.0, [0.0] * len(self.values)

    # -- the process ---------------------------------------------------------------------------------

    def stop(self, now: int) -> tuple[list[Connection[AttemptT]], list[AttemptT]]:
        """The process is gone. Returns what stood there, and what was being set up, for others to tell."""
        self.advance(now)
        standing, setting = list(self.held.values()), list(self.opening)
        for c in standing:
            self.close(now, c)
        self.ledger.lost += self.piled
        self.ledger.jobs_lost += sum(not done for done in self.opening.values())
        self.up, self.life = False, self.life + 1
        self.queue.clear()
        self.opening.clear()
        self.piled = self.busy = 0.0
        self.running = 0
        return standing, setting

    def begin(self, now: int) -> None:
        """A new process, cold. Reports stay until its own have come: a probe may see an old one."""
        self.advance(now)
        self.up, self.draining, self.started = True, False, now
        self.slow = 1.0
        self.sent.clear()
        self.sent_load = 0.0

    def set_slow(self, now: int, part: float) -> None:
        self.advance(now)
        self.slow = part
        self.pull(now)

    def work(self, now: int, work: float, waits: bool = True) -> float:
        """A probe's work. Returns how long it takes in microseconds, behind what is piled up if it waits."""
        self.advance(now)
        whole = self.capacity(now)
        if whole <= 0:
            return float("inf")
        wait = self.piled / whole * S if waits else 0.0
        self.piled += work
        self.ledger.asked += work
        return wait + work / self.core(now) * S

    def count_cold(self, now: int, load: float, told: bool) -> bool:
        """The cold rule: whether this send pushes it over. `fallen` and `sent` tell what came of it.

        It can take new load no faster than fills it over its warm-up; a multiple of that, in any window of
        the stated length, is its budget, with a little slack. All that reaches it counts.
        """
        f, s = self.figures, self.shape
        if self.warmth(now) >= 1:
            return False
        self.sent.append((now, load, told))
        self.sent_load += load
        while self.sent[0][0] <= now - f.cold_window_us:
            self.sent_load -= self.sent.popleft()[1]
        rate = S * s.speed * s.cores * self.warmth(now) / (s.warm_us / S)
        budget = f.cold_multiple * rate * f.cold_window_us / S
        self.fallen = self.sent_load > budget + SLACK * f.usual_load
        return self.fallen
