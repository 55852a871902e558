"""What all baselines share: the rules kept in the plainest way. Only the choice of a server differs.

A request goes to the chosen server at once; where that fails, to another, until the attempts or the time are
used up; then it is refused, with the longest time to come back spread over its half. Nobody is refused before.
Standing connections stay where they are; clients of a server that drains are moved off it evenly over two
seconds, as the rule on lost connections wants.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from glenrock.routing import interface

MARGIN_TICKS = 2
MOVE_OVER_US = 2_000_000
ROUND_US = 500_000


@dataclass(slots=True, eq=False)
class Known:
    """A server, as one balancer knows it."""

    id: str
    zone: str
    ready: bool = True
    listed: bool = True
    mine: int = 0  # attempts out, and connections that stand, of this balancer's own
    held: dict[str, None] = field(default_factory=dict)
    report: dict[str, float] = field(default_factory=dict)
    report_at: int = -1 << 60
    leaves_by: int = 0


@dataclass(slots=True, eq=False)
class Asked:
    event: interface.Request
    tried: list[Known] = field(default_factory=list)
    out: Known | None = None
    stands: bool = False


class Simple:
    """Subclasses give `pick`. Source of events and actions: glenrock/routing/interface.py."""

    def __init__(self, settings: interface.Settings, seed: int) -> None:
        self.set, self.rng = settings, random.Random(seed)
        self.now = 0
        self.servers: dict[str, Known] = {}
        self.ready: list[Known] = []
        self.asked: dict[str, Asked] = {}
        self.timers: dict[int, str] = {}
        self.refs = 0
        self.out: list[interface.Action] = []
        self.by_hand: set[str] = set()  # out
        self.watched = False
        self.down: dict[str, int] = {}  # out of reach when last tried: not used again before then

    def handle(self, now_us: int, events: list[interface.Event]) -> list[interface.Action]:
        first, self.now, self.out = not self.now, now_us, []
        if first:
            self.timer(now_us + 1 + self.rng.randrange(ROUND_US), "")
        for event in events:
            handler = HANDLERS.get(type(event))
            if handler:
                handler(self, event)
        return self.out

    # -- for subclasses ----------------------------------------------------------------------------

    def pick(self, f: Asked, among: list[Known]) -> Known:
        """One of `among`, which is not empty."""
        raise NotImplementedError

    def on_round(self) -> None:
        """Each half second."""

    def on_arrival(self) -> None:
        """A request has come and is about to be placed."""

    def on_report(self, s: Known, latency_us: int) -> None:
        """A probe was answered; the report is in `s`."""

    # -- events --------------------------------------------------------------------------------------

    def timer(self, at: int, what: str) -> None:
        self.refs += 1
        self.timers[self.refs] = what
        self.out.append(interface.SetTimer(at, self.refs))

    def on_list(self, e: interface.EndpointList) -> None:
        if e.kind == "failed":
            self.watched = False
            return
        if e.kind != "changes":
            named = {x.server for x in e.entries}
            for s in self.servers.values():
                if s.id not in named:
                    s.listed = False
                    self.leaves(s)
        for x in e.entries:
            s = self.servers.setdefault(x.server, Known(x.server, x.zone))
            s.zone, s.listed = x.zone, x.state == "ready"
            if s.listed and s.id not in self.by_hand:
                s.ready, s.leaves_by = True, 0
            else:
                self.leaves(s)
        self.ready = [s for s in self.servers.values() if s.ready]

    def on_hand(self, e: interface.OperatorOverride) -> None:
        """A ban holds whatever the list says."""
        (self.by_hand.add if e.is_suspended else self.by_hand.discard)(e.server)
        if s := self.servers.get(e.server):
            if e.is_suspended:
                self.leaves(s)
            elif s.listed:
                s.ready, s.leaves_by = True, 0
            self.ready = [s for s in self.servers.values() if s.ready]

    def leaves(self, s: Known) -> None:
        if s.ready:
            s.ready, s.leaves_by = False, self.now + MOVE_OVER_US

    def on_request(self, e: interface.Request) -> None:
        f = self.asked[e.id] = Asked(e)
        self.timer(e.deadline_us - MARGIN_TICKS * self.set.tick_us, e.id)
        self.on_arrival()
        self.place(f)

    def on_open(self, e: interface.OpenConnection) -> None:
        s = self.servers.get(e.server)
        if s:
            f = self.asked[e.request.id] = Asked(e.request, [s], s, True)
            s.mine += 1
            s.held[f.event.id] = None

    def place(self, f: Asked) -> None:
        if not f.event.is_midstream and len(f.tried) >= self.set.max_attempts:
            self.refuse(f)
            return
        among = self.ready
        if self.down and min(self.down.values()) <= self.now:
            self.down = {k: until for k, until in self.down.items() if until > self.now}
        if f.tried or self.down:  # else all are usable, and no list of thousands is made for each request
            usable = [s for s in self.ready if s.id not in self.down] or self.ready
            among = [s for s in usable if s not in f.tried] or usable
        if not among or self.now >= f.event.deadline_us - MARGIN_TICKS * self.set.tick_us:
            self.refuse(f)
            return
        s = self.pick(f, among)
        f.tried.append(s)
        f.out = s
        s.mine += 1
        left = f.event.deadline_us - MARGIN_TICKS * self.set.tick_us - self.now
        last = len(f.tried) >= self.set.max_attempts
        limit = left if last else max(left * 6 // 10, min(left, 200_000))
        self.out.append(interface.StartAttempt(f.event.id, s.id, limit))

    def refuse(self, f: Asked) -> None:
        longest = self.set.max_retry_after_us if self.set.may_send_retry_after else 0
        self.out.append(interface.Reject(f.event.id, int(longest * (0.5 + self.rng.random() / 2))))
        self.asked.pop(f.event.id, None)

    def on_started(self, e: interface.ConnectionEstablished) -> None:
        f = self.asked.get(e.id)
        if f and f.out:
            f.stands = True
            f.out.held[e.id] = None
            self.down.pop(f.out.id, None)

    def on_ended(self, e: interface.AttemptEnded) -> None:
        s = self.servers.get(e.server)
        f = self.asked.get(e.id)
        if s and e.outcome == "no_connection":
            self.down[s.id] = self.now + 1_000_000
        if f is None or f.out is None or s is not f.out:
            return
        f.out.mine -= 1
        f.out.held.pop(e.id, None)
        f.out = None
        if e.is_final or f.stands:
            self.asked.pop(e.id, None)
        else:
            self.place(f)

    def on_gone(self, e: interface.ClientDisconnected) -> None:
        f = self.asked.pop(e.id, None)
        if f and f.out:
            f.out.mine -= 1
            f.out.held.pop(e.id, None)

    def on_timer(self, e: interface.TimerFired) -> None:
        what = self.timers.pop(e.ref, None)
        if what == "":
            self.round()
        f = self.asked.get(what or "")
        if f and not f.stands:
            if f.out:
                if self.set.may_cancel:
                    self.out.append(interface.CancelAttempt(f.event.id, len(f.tried) - 1))
                f.out.mine -= 1
            self.refuse(f)

    def round(self) -> None:
        self.timer(self.now + ROUND_US, "")
        if self.set.must_poll_endpoints and not self.watched:
            self.watched = True
            self.out.append(interface.WatchEndpoints())
        for s in self.servers.values():
            if s.leaves_by and s.held:
                rounds = max(1, (s.leaves_by - self.now) // ROUND_US)
                for id_ in list(s.held)[: -(-len(s.held) // rounds)]:
                    self.out.append(interface.Migrate(id_))
        self.on_round()

    def probe(self, s: Known) -> None:
        if self.set.may_health_check:
            self.out.append(interface.SendHealthCheck(s.id))

    def on_probe(self, e: interface.HealthCheckResult) -> None:
        s = self.servers.get(e.server)
        if s is None:
            return
        if e.outcome == "served":
            s.report, s.report_at = e.report, self.now
            self.on_report(s, e.latency_us)
        else:
            s.report_at = -1 << 60

    def some(self, among: list[Known]) -> Known:
        return among[self.rng.randrange(len(among))]


HANDLERS = {
    interface.EndpointList: Simple.on_list,
    interface.Request: Simple.on_request,
    interface.OpenConnection: Simple.on_open,
    interface.ConnectionEstablished: Simple.on_started,
    interface.AttemptEnded: Simple.on_ended,
    interface.ClientDisconnected: Simple.on_gone,
    interface.TimerFired: Simple.on_timer,
    interface.HealthCheckResult: Simple.on_probe,
    interface.OperatorOverride: Simple.on_hand,
}
