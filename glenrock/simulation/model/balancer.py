"""A balancer as a process: batches for its decisions, their actions carried out, attempts and their ends.

It does what `glenrock/net` does on sockets, without sockets: nothing here chooses a server, retries or turns
anybody away.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from time import perf_counter_ns
from typing import Any, Protocol

from glenrock.routing import interface

from ..engine import Engine
from .instance import Instance
from .requests import Attempt, Flow


class Decisions(Protocol):
    """What is driven: the decision module, or anything else with its events and actions."""

    def handle(self, now_us: int, events: list[interface.Event]) -> list[interface.Action]: ...


class PolicyFailed(Exception):
    """What is driven raised, or asked for something that does not exist. The run ends with it."""


class World(Protocol):
    """What a balancer's process touches outside of itself."""

    instances: dict[str, Instance[Attempt]]
    answer_grace_us: int
    drain_grace_us: int
    max_attempts: int

    def send(self, a: Attempt, timeout_us: int) -> None: ...
    def give_up(self, a: Attempt) -> None: ...
    def refused(self, f: Flow, retry_after_us: int) -> None: ...
    def failed(self, f: Flow) -> None: ...
    def moved(self, f: Flow) -> None: ...
    def cut(self, f: Flow) -> None: ...
    def probe(self, host: Host, server: str) -> None: ...
    def tell(self, host: Host, data: bytes) -> None: ...
    def watch(self, host: Host) -> None: ...
    def overdue(self, f: Flow) -> None: ...
    def breach(self, rule: str, text: str, f: Flow | None, server: str) -> None: ...


class Host:
    """The process. It is started anew by `begin`; what belongs to an earlier life is void."""

    def __init__(
        self, index: int, zone: int, engine: Engine, world: World, tick_us: int, make: Callable[[int, int], Decisions]
    ) -> None:
        self.index, self.zone, self.engine, self.world, self.tick = index, zone, engine, world, tick_us
        self.make = make  # index and life -> decisions
        self.up, self.life, self.told_at = False, 0, 0
        self.decisions: Decisions | None = None
        self.inbox: list[interface.Event] = []
        self.flows: dict[str, Flow] = {}
        self.last: dict[str, interface.Endpoint] = {}  # the list as it was last told, kept over restarts
        self.known: set[str] = set()
        self.leaving: dict[str, int] = {}  # told that these drain or are gone, and when
        self.out: dict[str, int] = {}  # by hand, and since when
        self.going = False  # its clients are sent away
        self.waiting = False  # a turn is due
        self.closed: deque[Flow] = deque()  # over, and forgotten once their end was told
        self.turns = self.handled = self.cpu_ns = self.actions = self.arrived = 0
        self.ends: dict[str, int] = {}

    # -- the process ---------------------------------------------------------------------------------

    def begin(self, remembered: interface.EndpointList) -> None:
        self.life += 1
        self.up, self.decisions = True, self.make(self.index, self.life)
        self.inbox, self.flows, self.waiting = [], {}, False
        self.closed.clear()
        self.known.clear()
        self.leaving.clear()
        self.out.clear()
        self.going = False
        self.told_at = self.engine.now
        self.listed(remembered)

    def end(self) -> list[Flow]:
        """Killed. Returns what it held; all of that is void here."""
        held = list(self.flows.values())
        self.up, self.life, self.decisions = False, self.life + 1, None
        self.inbox, self.flows, self.waiting = [], {}, False
        return held

    # -- events --------------------------------------------------------------------------------------

    def post(self, event: interface.Event) -> None:
        self.inbox.append(event)
        if not self.waiting:
            self.waiting = True
            due = -(-self.engine.now // self.tick) * self.tick
            self.engine.at(due, self.turn, self.life)

    def timer(self, life: int, ref: int) -> None:
        if life == self.life and self.up:
            self.post(interface.TimerFired(ref))

    def turn(self, life: int) -> None:
        """One batch, and what comes of it."""
        if life != self.life or not self.up:
            return
        events, self.inbox, self.waiting = self.inbox, [], False
        self.turns += 1
        while self.closed and self.closed[0].over_told < self.turns - 1:
            old = self.closed.popleft()
            if not any(a.out for a in old.attempts):
                self.flows.pop(old.id, None)
        self.handled += len(events)
        begun = perf_counter_ns()
        try:
            actions = self.decisions.handle(self.engine.now, events)
        except Exception as bad:
            raise PolicyFailed(f"{type(bad).__name__}: {bad}") from bad
        self.cpu_ns += perf_counter_ns() - begun
        self.actions += len(actions)
        for action in actions:
            if act := ACTIONS.get(type(action)):
                act(self, action)
            else:
                raise PolicyFailed(f"not an action: {action!r}")

    def listed(self, told: interface.EndpointList) -> None:
        now = self.engine.now
        if told.kind in ("full", "remembered"):
            named = {e.server for e in told.entries}
            for server in [s for s in self.last if s not in named]:
                del self.last[server]
            for server in self.known - named:
                self.leaving.setdefault(server, now)
        for e in told.entries:
            self.last[e.server] = e
            self.known.add(e.server)
            if e.state == "ready":
                self.leaving.pop(e.server, None)
            else:
                self.leaving.setdefault(e.server, now)
        self.post(told)

    def by_hand(self, server: str, out: bool) -> None:
        """An operator's call."""
        if not self.up:
            return
        if out:
            self.out.setdefault(server, self.engine.now)
        elif self.out.pop(server, None) is None:
            return  # it knows of no ban: it has been restarted
        self.post(interface.OperatorOverride(server, out))

    def take(self, f: Flow, request: interface.Request) -> None:
        """A client's first line has come."""
        self.flows[f.id] = f
        self.arrived += 1
        self.post(request)
        grace = self.world.answer_grace_us
        self.engine.at(f.deadline + grace + 1, self.past, f, self.life)

    def conclude(self, f: Flow, how: str) -> None:
        """Each try is concluded once; a second time is a fault of the emulator."""
        if f.end:
            raise AssertionError(f"{f.id}: {how} after {f.end}")
        f.end = how
        self.ends[how] = self.ends.get(how, 0) + 1

    def past(self, f: Flow, life: int) -> None:
        if life == self.life and not f.answered and not f.over:
            self.world.breach("answered", "no final answer in time", f, "")
            self.leave(f, "overdue")
            self.world.overdue(f)

    def leave(self, f: Flow, how: str = "left") -> None:
        """The client is gone, or given up for gone."""
        self.conclude(f, how)
        self.finish(f)
        for a in f.attempts:
            if a.out and not a.up:
                self.world.give_up(a)
        self.post(interface.ClientDisconnected(f.id))

    def finish(self, f: Flow) -> None:
        """The request is over for this process. It stays known until its end, and its attempts', were told."""
        f.over, f.over_told = True, self.turns
        self.closed.append(f)

    # -- ends of attempts ----------------------------------------------------------------------------

    def started(self, a: Attempt) -> None:
        f = a.flow
        f.answered, f.standing, a.up = True, a, True
        self.conclude(f, "up")
        self.post(interface.ConnectionEstablished(f.id, a.number, a.instance.name, self.engine.now - a.sent))

    def ended(self, a: Attempt, verdict: str, report: dict[str, float] | None = None) -> None:
        """The one place where the decisions hear that an attempt is over; each attempt ends once."""
        if not a.out:
            return
        a.out = False
        f = a.flow
        if a.up or verdict == "served":
            f.answered = f.over = True
        done = f.answered or f.over
        self.post(
            interface.AttemptEnded(
                f.id, a.number, a.instance.name, verdict, done, self.engine.now - a.sent, report or {}
            )
        )
        if done:
            self.finish(f)

    # -- actions -------------------------------------------------------------------------------------

    def flow_of(self, id_: str) -> Flow:
        found = self.flows.get(id_)
        if found is None:
            raise PolicyFailed(f"acts on {id_!r}, which it does not hold")
        return found

    def on_send(self, x: interface.StartAttempt) -> None:
        f = self.flows.get(x.id)
        if f is None or f.over:
            # An end told in an earlier batch binds, and so does one's own; one just told does not.
            if f is None or f.mine or f.over_told < self.turns - 1:
                self.world.breach("answered", "sent after its end", f, x.server)
            return
        instance = self.world.instances.get(x.server)
        if instance is None or x.server not in self.known:
            raise PolicyFailed(f"sends to {x.server!r}, which no list has named")
        a = Attempt(f, len(f.attempts), instance, self.engine.now)
        if f.answered:
            self.world.breach("answered", "sent after its final answer", f, x.server)
        if any(b.out for b in f.attempts):
            self.world.breach("repeated", "two attempts at once", f, x.server)
        told = min((at for at in (self.leaving.get(x.server), self.out.get(x.server)) if at is not None), default=None)
        if told is not None and self.engine.now > told + self.world.drain_grace_us:
            self.world.breach("drained", f"sent {(self.engine.now - told) / 1e6:.3f} s after it was told", f, x.server)
        f.attempts.append(a)
        if f.answered or a.number >= self.world.max_attempts or self.engine.now >= f.deadline:
            self.ended(a, "unsent")
        else:
            self.world.send(a, x.timeout_us)

    def on_cancel(self, x: interface.CancelAttempt) -> None:
        f = self.flow_of(x.id)
        if not 0 <= x.attempt < len(f.attempts):
            raise PolicyFailed(f"cancels attempt {x.attempt} of {x.id!r}, which was never made")
        a = f.attempts[x.attempt]
        if a.up and a.out:
            self.world.breach("cut off", "a standing connection ended without MOVE", f, a.instance.name)
            self.world.cut(f)
        elif a.out:
            self.world.give_up(a)
            self.ended(a, "cancelled")

    def on_refuse(self, x: interface.Reject) -> None:
        f = self.flows.get(x.id)
        if f and not f.answered and not f.over:
            f.answered = f.mine = True
            self.finish(f)
            self.conclude(f, "refused")
            self.world.refused(f, x.retry_after_us)

    def on_fail(self, x: interface.Fail) -> None:
        f = self.flows.get(x.id)
        if f and not f.answered and not f.over:
            f.answered = f.mine = True
            self.finish(f)
            self.conclude(f, "failed")
            self.world.failed(f)

    def on_move(self, x: interface.Migrate) -> None:
        f = self.flows.get(x.id)
        if f and f.standing and f.standing.out:
            self.world.moved(f)

    def on_timer(self, x: interface.SetTimer) -> None:
        # Never in the batch that is being answered.
        self.engine.at(max(x.at_us, self.engine.now + 1), self.timer, self.life, x.ref)

    def on_probe(self, x: interface.SendHealthCheck) -> None:
        if x.server not in self.known:
            raise PolicyFailed(f"probes {x.server!r}, which no list has named")
        self.world.probe(self, x.server)

    def on_tell(self, x: interface.SendGossip) -> None:
        if len(x.data) > 256:
            raise PolicyFailed(f"tells {len(x.data)} bytes; 256 at most")
        self.world.tell(self, x.data)

    def on_watch(self, x: interface.WatchEndpoints) -> None:
        self.world.watch(self)


ACTIONS: dict[type, Callable[[Host, Any], None]] = {
    interface.StartAttempt: Host.on_send,
    interface.CancelAttempt: Host.on_cancel,
    interface.Reject: Host.on_refuse,
    interface.Fail: Host.on_fail,
    interface.Migrate: Host.on_move,
    interface.SetTimer: Host.on_timer,
    interface.SendHealthCheck: Host.on_probe,
    interface.SendGossip: Host.on_tell,
    interface.WatchEndpoints: Host.on_watch,
}
