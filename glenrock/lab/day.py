"""One run: a day of an experiment under one seed and one policy, from its plan to its figures.

The day is the world that balancers' processes touch: it carries lines between clients, balancers and
instances, and plays the faults. Order of what happens at one instant: see `engine`.
"""

from __future__ import annotations

import gc
import sys
import time
from bisect import bisect_right
from collections.abc import Callable
from dataclasses import asdict
from math import exp
from typing import Any

import numpy as np

from wheatrouter import interface as io

from . import faults, policies
from .engine import Engine, HeapEngine
from .measure import Measure, ratio, rounded, told
from .model import plan as plans
from .model.balancer import Attempt, Decisions, Flow, Host, PolicyFailed
from .model.client import Client, Habits
from .model.feed import Feed
from .model.front import Front
from .model.instance import Connection, Figures, Instance, Shape
from .model.links import Links
from .policies import module
from .policies.oracle import Oracle
from .rules import Judge
from .spec import Experiment, drawn, settings_of
from .streams import Streams

S = 1_000_000
HANDSHAKE = 3  # ways until the first line has arrived: two of TCP's, and its own
CELL = 6  # instances that make a cell
HELD_BACK = 0.5  # of a client's time: a refusal later than this counts as late


class Day:
    def __init__(self, e: Experiment, seed: int, policy: str = "glenrock", *,
                 make: Callable[[io.Settings, int], Decisions] | None = None, engine: Engine | None = None) -> None:
        self.e = e = drawn(e, seed)
        self.seed, self.policy = seed, policy
        self.streams = streams = Streams(seed)
        self.begin_us = round(e.clock_start_s * S)
        self.engine = engine or HeapEngine(self.begin_us)
        self.length = round(float(e.length_s) * S)
        self.zones = list(e.fleet.zones)
        shapes = self.shapes()
        capacity = sum(s.cores * s.speed for s in shapes) * S
        self.plan = plans.plan(e, streams, capacity)
        self.judge = Judge(self.begin_us)
        self.measure = Measure(e, self.plan.asked, self.begin_us, len(shapes))
        self.links = Links(e.network, streams)
        self.habits = Habits(e.clients, streams)
        self.setup_draw = streams.exponentials("set-up work")
        self.noise = streams.normals("report noise")
        self.answer_grace_us = round(e.rules.answer_grace_ms * 1000)
        self.drain_grace_us = round(e.rules.drain_grace_ms * 1000)
        self.max_attempts = e.platform.max_attempts
        self.dial_us = round(e.platform.dial_timeout_ms * 1000)
        self.silence_us = round(float(e.network.silence_s) * S)
        self.give_up_us = [round(float(c.give_up_ms) * 1000) for c in e.classes]
        self.setup_us = [float(c.setup_ms) * 1000 for c in e.classes]
        shortest = min(float(c.message_aim_ms) for c in e.classes) * 1000
        self.aim_us = shortest
        usual = S / float(e.traffic.connections_per_core)
        figures = Figures(
            shortest * float(e.traffic.message_part), float(e.traffic.bursty),
            tuple(float(c.message_aim_ms) * 1000 for c in e.classes), shortest,
            usual * float(e.traffic.group_cost), usual, max(1, round(float(e.reports.period_ms) * 1000)),
            e.rules.cold_multiple, round(e.rules.cold_window_ms * 1000))
        self.instances: dict[str, Instance] = {}
        for n, shape in enumerate(shapes):
            name = f"10.{n >> 16 & 255}.{n >> 8 & 255}.{n & 255}:7000"
            i = self.instances[name] = Instance(name, n, shape, figures, self.instance_says, self.engine,
                                                self.measure.earn, n // CELL)
            i.last = self.begin_us
        self.slow_told: set[tuple[str, int]] = set()
        maker = make or policies.make(policy)
        seeds = streams.of("balancer seeds")
        fixed = seeds.integers(1, 1 << 62, size=int(e.fleet.balancers)).tolist()

        def build(index: int, life: int) -> Decisions:
            zone = self.zones[index % len(self.zones)]
            made = maker(settings_of(self.e, index, zone, self.plan.quotas), fixed[index] + life)
            if isinstance(made, Oracle):
                made.see(self, self.hosts[index])
            return made

        self.hosts = [Host(n, n % len(self.zones), self.engine, self, max(1, round(e.platform.tick_ms * 1000)), build)
                      for n in range(int(e.fleet.balancers))]
        self.front = Front(e.front, self.hosts, len(self.zones), self.engine, streams)
        self.feed = Feed(e.discovery, self.hosts, self.engine, streams)
        self.faults: list[dict[str, Any]] = []
        self.standing: dict[Client, None] = {}
        self.over = False
        self.failure = ""
        self.cells: dict[tuple[int, int], float] = {}

    def shapes(self) -> list[Shape]:
        e, draw = self.e, self.streams.of("instances")
        count = int(e.fleet.instances)
        shares = np.array([float(k.share) for k in e.kinds])
        kinds = draw.choice(len(shares), size=count, p=shares / shares.sum())
        zones = plans.skewed(len(e.fleet.zones), float(e.fleet.instance_skew), last=True)
        # Spread by the parts, not drawn: a small fleet must not lose a zone by chance.
        bounds = np.cumsum(zones)
        place = np.searchsorted(bounds, (np.arange(count) + 0.5) / count).clip(0, len(zones) - 1)
        out = []
        for n in range(count):
            k = e.kinds[int(kinds[n])]
            speed = float(k.speed) * max(0.2, 1 + float(k.speed_cv) * float(draw.standard_normal()))
            out.append(Shape(k.name, int(place[n]), k.cores, speed, float(k.cold_part), float(k.warm_s) * S,
                             float(k.crowd_at), float(k.crowd_loss),
                             max(1, round(float(k.queue_per_core) * k.cores)),
                             max(1, round(float(k.connections_per_core) * k.cores)), float(k.buffer_s), k.sheds))
        return out

    # -- the whole run -------------------------------------------------------------------------------

    def run(self) -> dict[str, Any]:
        """Plays the day. Returns its summary; a policy that raises ends it, and the summary says so."""
        wall, cpu = time.perf_counter(), time.process_time()
        # What a day makes lives until its end: the collector would only walk it again and again.
        collects = gc.isenabled()
        gc.disable()
        try:
            with module.constants(self.e.constants):
                self.prepare()
                self.engine.run(self.begin_us + self.length + round(self.e.drain_s * S))
        except PolicyFailed as bad:
            self.failure = str(bad)
            self.ring_bell()
        finally:
            if collects:
                gc.enable()
        return self.summary(time.perf_counter() - wall, time.process_time() - cpu)

    def prepare(self) -> None:
        e, now = self.e, self.begin_us
        self.feed.begin([io.ServerEntry(i.name, "ready", self.zones[i.shape.zone], i.cell)
                         for i in self.instances.values()])
        rows = tuple(self.feed.rows.values())
        for host in self.hosts:
            host.begin(io.ServerList("remembered", rows))
            self.feed.joined(host)
        self.rows = iter(self.plan.rows)
        waiting = self.place_standing()
        self.next_row(waiting)
        for n, f in enumerate(e.faults):
            at = now + round(float(f.at_s) * S)
            self.faults.append({"kind": type(f).__struct_config__.tag, "from_s": rounded(float(f.at_s)),
                                "to_s": rounded(min(float(e.length_s), float(f.at_s) + faults.lasts_s(f)))})
            self.engine.at(at, faults.FAULTS[type(f)], self, f, self.streams.of(f"fault {n}"))
        self.engine.at(now, self.second, 0)
        self.engine.at(now + self.length, self.ring_bell)

    def place_standing(self) -> plans.Row | None:
        """Those that stood before the day: the same places under every policy."""
        draw = self.streams.uniforms("standing")
        by_zone: list[tuple[list[Instance], list[float]]] = []
        everywhere = list(self.instances.values())
        for zone in range(len(self.zones)):
            weights = [i.shape.cores * i.shape.speed * (1.0 if i.shape.zone == zone else 0.3) for i in everywhere]
            by_zone.append((everywhere, np.cumsum(weights).tolist()))
        for row in self.rows:
            if row.arrival >= 0:
                return row
            self.measure.counts["clients"] += 1
            client = Client(row, tries=1, again=True)
            among, sums = by_zone[row.zone]
            i = among[min(len(among) - 1, bisect_right(sums, draw() * sums[-1]))]
            host = self.front.pick(row.zone)
            if not host:
                continue
            f = client.flow = Flow(f"{row.number}.1", client, host, self.engine.now, self.engine.now,
                                   answered=True, end="up")
            a = Attempt(f, 0, i, self.engine.now, up=True)
            f.attempts.append(a)
            f.standing = a
            host.flows[f.id] = f
            host.post(io.OpenConnection(self.request(f), i.name))
            i.opening[a] = True
            self.follow(client)
            self.stands(a)
        return None

    def next_row(self, row: plans.Row | None) -> None:
        """Arrivals come one after the other: the heap holds the next alone."""
        if row:
            self.engine.at(self.begin_us + row.arrival, self.arrive, row)

    def arrive(self, row: plans.Row) -> None:
        self.next_row(next(self.rows, None))
        self.measure.counts["clients"] += 1
        client = Client(row, since=self.engine.now)
        self.follow(client)
        self.attempt(client)

    def second(self, n: int) -> None:
        """Each second: what is dropped, what is noted, what is seen."""
        now, m = self.engine.now, self.measure
        load = 0.0
        for i in self.instances.values():
            for c in i.tick(now):
                m.counts["shed"] += 1
                self.break_(c, "broken")
            if i.up:
                whole = i.capacity(now)
                part = i.demand / whole if whole > 0 else 0.0
                load += i.demand
                if n < m.seconds:
                    m.heat[i.number, n] = part
                if i.held:
                    m.messages.record_value(int(min(3e9, max(1, i.message_us))), len(i.held))
                    self.note_slow(i)
            elif n < m.seconds:
                m.heat[i.number, n] = -1
        if n < m.seconds:
            caps = [g for h in self.hosts if h.up and (g := module.gauges(h.decisions))]
            known = [cap for cap, _ in caps if cap != float("inf")]
            m.put(n, load=load / self.plan.capacity, standing=float(len(self.standing)),
                  cap=sum(known) / len(known) / self.plan.capacity if known else float("nan"),
                  line=sum(line for _, line in caps), refused=float(m.counts["refused"]),
                  attempts=float(m.counts["attempts"]), broken=float(m.counts["broken"]),
                  up=float(sum(i.up for i in self.instances.values())), balancers=float(sum(h.up for h in self.hosts)))
            if n + 1 < m.seconds:
                self.engine.at(now + S, self.second, n + 1)

    def note_slow(self, i: Instance) -> None:
        """Word of slow messages, on one connection of each balancer, and once more when they are not."""
        if not self.e.reports.delay_told:
            return
        slow = i.message_us > self.aim_us / 3
        if not slow and not any((i.name, h.index) in self.slow_told for h in self.hosts):
            return
        seen: dict[int, Connection] = {}
        for c in i.held.values():
            if not c.muted:
                seen.setdefault(c.host, c)
        for index, c in seen.items():
            if slow or (i.name, index) in self.slow_told:
                (self.slow_told.add if slow else self.slow_told.discard)((i.name, index))
                message = min(i.message_us, 1e9)
                c.attempt.flow.host.post(io.ServerNote(c.attempt.flow.id, i.name, message_us=message))

    def ring_bell(self) -> None:
        """The end of the day: what is served from now on counts no more."""
        now = self.engine.now
        for i in self.instances.values():
            i.advance(now)
            for c in i.held.values():
                if not c.muted:
                    c.earned += i.integrals[c.kind] - c.since
                    c.since = i.integrals[c.kind]
                self.credit(c)
                c.value = 0.0
            i.values = [0.0] * len(i.values)
        for row in self.plan.rows:
            wanted = max(0, min(row.end, self.length) - max(0, row.arrival)) / S
            worth = self.e.classes[row.kind].worth * wanted
            self.measure.tenant_wanted[row.tenant] += worth
            if row.weight == 1.0:
                self.measure.tenant_asked[row.tenant] += worth
        self.over = True

    def credit(self, c: Connection) -> None:
        """Its seconds served go to its tenant."""
        if self.over:
            return
        row, m = c.client.row, self.measure
        worth = self.e.classes[row.kind].worth * c.earned
        m.tenant_all[row.tenant] += worth
        if row.weight == 1.0:
            m.tenant_earned[row.tenant] += worth
        c.earned = 0.0

    # -- clients -------------------------------------------------------------------------------------

    def follow(self, client: Client) -> None:
        """Its changes of load, one after the other, and its end."""
        row = client.row
        if row.changes:
            self.engine.at(self.begin_us + row.changes[0][0], self.change, client)
        if row.end > row.arrival:
            self.engine.at(self.begin_us + row.end, self.finish, client)

    def load_of(self, client: Client) -> float:
        return client.row.changes[client.change - 1][1] if client.change else client.row.changes[0][1]

    def change(self, client: Client) -> None:
        if client.done:
            return
        client.change += 1
        changes = client.row.changes
        if client.change < len(changes):
            self.engine.at(self.begin_us + changes[client.change][0], self.change, client)
        c = client.connection
        if c:
            load = changes[client.change - 1][1]
            c.attempt.instance.load(self.engine.now, c, load)
            if self.e.reports.load_told and not c.muted:
                f = c.attempt.flow
                f.host.post(io.ServerNote(f.id, c.attempt.instance.name, load=load))

    def finish(self, client: Client) -> None:
        """It wants its connection no longer."""
        client.done = True
        c, f = client.connection, client.flow
        if c:
            self.close(c)
            c.attempt.flow.host.ended(c.attempt, "served")
        elif f:
            client.flow = None
            self.engine.at(self.engine.now + self.links.to_client(), self.leave, f, f.host.life)

    def attempt(self, client: Client) -> None:
        """A try: through the front to a balancer."""
        now, row = self.engine.now, client.row
        client.tries += 1
        self.measure.counts["tries"] += 1
        host = self.front.pick(row.zone)
        deadline = now + self.give_up_us[row.kind]
        self.engine.at(now + self.links.to_client(), self.reach, client, host, deadline, client.tries)

    def reach(self, client: Client, host: Host | None, deadline: int, tries: int) -> None:
        if client.done or client.tries != tries:
            return
        if host is None or not host.up:
            self.measure.counts["unreachable"] += 1
            self.again(client, refused_us=None)
            return
        f = Flow(f"{client.row.number}.{tries}", client, host, self.engine.now, deadline)
        client.flow = f
        self.judge.seen(self.engine.now, f"arrives at balancer {host.index}", f.id, "")
        host.take(f, self.request(f))
        leaves = self.habits.leaves_after(self.give_up_us[client.row.kind])
        if leaves is not None:
            self.engine.at(self.engine.now + leaves, self.impatient, f)

    def request(self, f: Flow) -> io.Request:
        row = f.client.row
        return io.Request(f.id, self.e.classes[row.kind].name, f.deadline, row.number, row.group,
                          self.e.tenants[row.tenant].name, round(row.usual) if self.e.traffic.hints else 0,
                          f.client.again)

    def impatient(self, f: Flow) -> None:
        """It leaves this try before its time, and comes again like after a failure."""
        client = f.client
        if client.flow is f and not client.connection and not f.over:
            client.flow = None
            self.measure.counts["left"] += 1
            self.engine.at(self.engine.now + self.links.to_client(), self.leave, f, f.host.life)
            self.again(client, refused_us=None)

    def leave(self, f: Flow, life: int) -> None:
        """Word of a client's leaving arrives; an answer may have crossed it."""
        if f.host.life != life:
            return
        if f.standing:
            self.crossed(f)
        elif not f.end:
            f.host.leave(f)

    def crossed(self, f: Flow) -> None:
        """It was set up for a client that had left: the connection ends at once."""
        a = f.standing
        if a and a.connection:
            self.close(a.connection)
            f.host.ended(a, "served")

    def again(self, client: Client, refused_us: int | None) -> None:
        """Nothing came of a try. A refusal may tell when to come back."""
        client.failures += 1
        client.flow = None
        if client.row.end <= client.row.arrival and client.failures > int(self.e.clients.retries):
            client.done = True  # one that wants no time of its own gives up after its retries
        wait = (self.habits.after_failure(client) if refused_us is None
                else self.habits.after_refusal(client, refused_us))
        self.engine.at(self.engine.now + max(1, wait), self.retry, client, client.tries)

    def retry(self, client: Client, tries: int) -> None:
        if not client.done and client.tries == tries and not client.flow and not client.connection:
            self.attempt(client)

    def rejoin(self, client: Client, wait: int) -> None:
        """It has lost its connection and comes again after that time."""
        client.flow = client.connection = None
        client.again, client.since = True, self.engine.now
        if not client.done:
            self.engine.at(self.engine.now + max(1, wait), self.retry, client, client.tries)

    # -- final answers (World) -----------------------------------------------------------------------

    def answered(self, f: Flow, what: str) -> bool:
        self.measure.counts[what] += 1
        self.judge.seen(self.engine.now, what, f.id, "")
        return f.client.flow is f  # else it has left, and the answer comes too late for it

    def refused(self, f: Flow, retry_after_us: int) -> None:
        took = self.engine.now - f.arrived
        self.measure.refusals.record_value(max(1, took))
        if not f.attempts and took > HELD_BACK * (f.deadline - f.arrived):
            self.measure.counts["held_back"] = self.measure.counts.get("held_back", 0) + 1
        if self.answered(f, "refused"):
            f.client.flow = None
            self.engine.at(self.engine.now + self.links.to_client(), self.again_if_free, f.client,
                           f.client.tries, retry_after_us)

    def failed(self, f: Flow) -> None:
        if self.answered(f, "failed"):
            f.client.flow = None
            self.engine.at(self.engine.now + self.links.to_client(), self.again_if_free, f.client,
                           f.client.tries, None)

    def overdue(self, f: Flow) -> None:
        if self.answered(f, "overdue"):
            f.client.flow = None
            self.again_if_free(f.client, f.client.tries, None)

    def again_if_free(self, client: Client, tries: int, refused_us: int | None) -> None:
        if not client.done and client.tries == tries and not client.flow:
            self.again(client, refused_us)

    def moved(self, f: Flow) -> None:
        a = f.standing
        c = a.connection if a else None
        if a and c and a.out:
            self.measure.counts["moved"] += 1
            self.judge.seen(self.engine.now, "moved", f.id, a.instance.name)
            self.close(c)
            f.host.ended(a, "cancelled")
            self.rejoin(c.client, self.habits.after_move())

    def cut(self, f: Flow) -> None:
        a = f.standing
        if a and a.connection:
            c = a.connection
            self.close(c)
            f.host.ended(a, "cancelled")
            self.rejoin(c.client, self.habits.after_break())

    def breach(self, rule: str, text: str, f: Flow | None, server: str) -> None:
        self.judge.breach(self.engine.now, rule, text, f.host.index if f else -1, f.id if f else "", server)

    # -- attempts (World) ----------------------------------------------------------------------------

    def send(self, a: Attempt, timeout_us: int) -> None:
        now, f, i = self.engine.now, a.flow, a.instance
        self.measure.counts["attempts"] += 1
        self.judge.seen(now, f"attempt {a.number} sent", f.id, i.name)
        limit = f.deadline - now
        limit = max(0, min(limit, timeout_us)) if timeout_us else limit
        if limit:
            self.engine.at(now + limit, self.expire, a)
        else:
            self.expire(a)
            return
        if not self.links.open(f.host.zone, i.shape.zone):
            self.engine.at(now + self.dial_us, self.end, a, "no_connection")
        else:
            ways = HANDSHAKE if i.up else 1
            self.engine.at(now + ways * self.links.way(f.host.zone, i.shape.zone), self.at_instance, a)

    def at_instance(self, a: Attempt) -> None:
        f, i = a.flow, a.instance
        if not a.out or not self.links.open(f.host.zone, i.shape.zone):
            return
        row = f.client.row
        work = self.setup_us[row.kind]
        if self.e.classes[row.kind].setup_spread == "exp":
            work *= self.setup_draw()
        known = f.host.last.get(i.name)
        i.arrive(self.engine.now, a, work, row.usual, known is not None and known.started_us >= i.started)
        if i.fallen and i.up:
            self.fall_over(i)

    def instance_says(self, a: Attempt, what: str) -> None:
        """An instance has something to say of an attempt: it goes back to the balancer, unless a link is cut."""
        way = self.links.way(a.flow.host.zone, a.instance.shape.zone)
        self.engine.at(self.engine.now + way, self.back, a, what)

    def back(self, a: Attempt, what: str) -> None:
        if not a.out or not self.links.open(a.flow.host.zone, a.instance.shape.zone):
            return
        if what == "up":
            self.up(a)
        else:
            self.end(a, what)

    def up(self, a: Attempt) -> None:
        f = a.flow
        if f.over or f.answered:
            self.give_up(a)
            self.end(a, "cancelled")
            return
        self.judge.seen(self.engine.now, "up", f.id, a.instance.name)
        self.measure.counts["set_up"] += 1
        f.host.started(a)
        self.stands(a)
        client = f.client
        if client.flow is not f:  # it had left when the answer came
            self.crossed(f)
            return
        if client.row.end <= client.row.arrival:
            client.done = True
            self.crossed(f)

    def stands(self, a: Attempt) -> None:
        """The connection is open at its instance, and counts from now on."""
        f, client, now = a.flow, a.flow.client, self.engine.now
        row = client.row
        mine = client.flow is f  # else it has left, and what is set up for it ends at once
        value = 0.0 if self.over else float(self.e.classes[row.kind].worth) * row.weight
        c = Connection(client, a, f.host.index, row.kind, row.group, value)
        a.connection = c
        if client.since >= 0 and mine:
            self.measure.waits[row.kind].record_value(max(1, now - client.since))
        if not a.instance.open(now, c, self.load_of(client)):
            a.connection = None
            f.host.ended(a, "broken")  # it has started anew since it answered
            if mine:
                self.rejoin(client, self.habits.after_break())
            return
        self.cells[(f.host.zone, a.instance.shape.zone)] = self.cells.get(
            (f.host.zone, a.instance.shape.zone), 0) + 1
        if f.host.zone != a.instance.shape.zone:
            self.measure.counts["crossings"] += 1
        if mine:
            client.connection, client.since, client.failures = c, -1, 0
            self.standing[client] = None
        c.opened = now

    def expire(self, a: Attempt) -> None:
        if a.out and not a.up:
            self.judge.seen(self.engine.now, "timed out", a.flow.id, a.instance.name)
            self.give_up(a)
            a.flow.host.ended(a, "timeout")

    def end(self, a: Attempt, verdict: str) -> None:
        if a.out and not a.up:
            self.judge.seen(self.engine.now, f"ends: {verdict}", a.flow.id, a.instance.name)
            a.flow.host.ended(a, verdict)

    def give_up(self, a: Attempt) -> None:
        """The balancer's side of the attempt is closed; the instance learns of it a way later."""
        way = self.links.way(a.flow.host.zone, a.instance.shape.zone)
        self.engine.at(self.engine.now + way, self.abandoned, a, a.instance.life)

    def abandoned(self, a: Attempt, life: int) -> None:
        if a.instance.life == life:
            a.instance.abandon(self.engine.now, a)

    def close(self, c: Connection) -> None:
        """It ends at its instance, and its seconds are counted."""
        a = c.attempt
        a.instance.close(self.engine.now, c)
        self.count_out(c)

    def count_out(self, c: Connection) -> None:
        self.credit(c)
        self.count_span(c)
        client = c.client
        if client.connection is c:
            client.connection = client.flow = None
            self.standing.pop(client, None)

    def count_span(self, c: Connection) -> None:
        """How long it stood, and whether across zones."""
        span = (min(self.engine.now, self.begin_us + self.length) - c.opened) / S
        if span > 0:
            self.measure.standing_s += span
            if c.attempt.flow.host.zone != c.attempt.instance.shape.zone:
                self.measure.crossing_s += span

    def break_(self, c: Connection, verdict: str, wait: int | None = None, quiet: bool = False) -> None:
        """A standing connection is lost: its instance, its link or its client's side is gone."""
        f, client, mine = c.attempt.flow, c.client, c.client.connection is c
        self.measure.counts["broken"] += 1
        self.judge.seen(self.engine.now, "breaks", f.id, c.attempt.instance.name)
        self.close(c)
        if not quiet:
            f.host.ended(c.attempt, verdict)
        if mine:
            self.rejoin(client, self.habits.after_break() if wait is None else wait)

    def drop(self, c: Connection, wait: int) -> None:
        """The client's side of a standing connection goes; it comes again after that time."""
        if c.attempt.connection is c and c.attempt.out:
            self.break_(c, "served", wait)

    # -- probes, peers, the list (World) -------------------------------------------------------------

    def probe(self, host: Host, server: str) -> None:
        self.measure.counts["probes"] += 1
        i = self.instances[server]
        now = self.engine.now
        if self.links.open(host.zone, i.shape.zone):
            self.engine.at(now + self.links.way(host.zone, i.shape.zone), self.probed, host, host.life, i, now)
        else:
            self.engine.at(now + round(float(self.e.reports.probe_timeout_ms) * 1000),
                           self.probe_back, host, host.life, i, now, "timeout", {})

    def probed(self, host: Host, life: int, i: Instance, asked: int) -> None:
        now, r = self.engine.now, self.e.reports
        back = self.links.way(host.zone, i.shape.zone)
        if not i.up:
            self.engine.at(now + back, self.probe_back, host, life, i, asked, "no_connection", {})
            return
        took = i.work(now, float(r.probe_ms) * 1000)
        limit = asked + round(float(r.probe_timeout_ms) * 1000)
        if now + took + back > limit:
            self.engine.at(limit, self.probe_back, host, life, i, asked, "timeout", {})
            return
        noise = float(r.noise)
        seen = i.reported(now - round(float(r.delay_ms) * 1000))
        report = {name: seen[name] * exp(noise * self.noise()) for name in r.names if name in seen}
        due = now + round(took) + back
        self.engine.at(due, self.probe_back, host, life, i, asked, "served", report)

    def probe_back(self, host: Host, life: int, i: Instance, asked: int, verdict: str,
                   report: dict[str, float]) -> None:
        if host.life == life and host.up:
            if not self.links.open(host.zone, i.shape.zone):
                verdict, report = "timeout", {}
            host.post(io.ProbeResult(i.name, verdict, self.engine.now - asked, report))

    def tell(self, host: Host, data: bytes) -> None:
        for other in self.hosts:
            if other is not host:
                way = self.links.to_peer(host.zone, other.zone)
                if way is not None:
                    self.measure.counts["peer_bytes"] += len(data)
                    self.engine.at(self.engine.now + way, self.told, other, host.index, data)

    def told(self, host: Host, peer: int, data: bytes) -> None:
        if host.up:  # a message that outlives its sender arrives all the same
            host.post(io.PeerMessage(peer, data))

    def watch(self, host: Host) -> None:
        self.feed.asked(host)

    # -- processes -----------------------------------------------------------------------------------

    def stop(self, i: Instance) -> None:
        """The process dies: connections are reset, and discovery finds out later."""
        if not i.up:
            return
        self.judge.seen(self.engine.now, "stops", "", i.name)
        now = self.engine.now
        standing, setting = i.stop(now)
        for a in setting:
            self.instance_says(a, "broken")
        for c in standing:
            self.lost(c)
        self.feed.tell(float(self.e.discovery.notice_s), i.name, "gone")

    def lost(self, c: Connection) -> None:
        """Its instance is gone. The balancer hears of it, unless the link is cut."""
        f = c.attempt.flow
        if self.links.open(f.host.zone, c.attempt.instance.shape.zone):
            self.break_(c, "broken")
        else:
            self.engine.at(self.engine.now + self.silence_us, self.silent, c)

    def silent(self, c: Connection) -> None:
        if c.attempt.out and c.client.connection is c:
            self.break_(c, "broken")

    def begin(self, i: Instance) -> None:
        if i.up or i.fallen:
            return
        self.judge.seen(self.engine.now, "starts", "", i.name)
        i.begin(self.engine.now)
        self.feed.tell(float(self.e.discovery.add_s), i.name, "ready", i.started)

    def fall_over(self, i: Instance) -> None:
        """Pushed over while cold. The rule is broken if two thirds of it came from balancers told of its start."""
        told = sum(load for _, load, knew in i.sent if knew)
        part = ratio(told, i.sent_load)
        text = f"{i.name} fell over {(self.engine.now - i.started) / S:.2f} s after its start; told sent {part:.0%}"
        if part >= 2 / 3:
            self.judge.breach(self.engine.now, "cold", text, -1, "", i.name)
        else:
            self.judge.seen(self.engine.now, "falls over, untold", "", i.name)
        self.stop(i)

    def drain(self, i: Instance) -> None:
        if i.up and not i.draining:
            self.judge.seen(self.engine.now, "drains", "", i.name)
            i.draining = True
            self.feed.tell(0.0, i.name, "draining")

    def stop_if_draining(self, i: Instance) -> None:
        if i.draining:
            self.stop(i)

    def cut_zone(self, zone: int) -> None:
        """Its links to the others carry nothing from now on."""
        self.judge.seen(self.engine.now, f"zone {self.zones[zone]} is cut", "", "")
        self.links.cut.add(zone)
        for c in self.crossing():
            c.attempt.instance.mute(self.engine.now, c, True, 0.0)
            # A client's line that stays unanswered gives it away: lines come every two seconds.
            self.engine.at(self.engine.now + self.silence_us + round(2 * S * self.habits.draw()), self.mute_silent, c)

    def mute_silent(self, c: Connection) -> None:
        if c.muted and c.client.connection is c:
            self.break_(c, "broken")

    def heal(self, zone: int) -> None:
        self.links.cut.discard(zone)
        for c in self.crossing():
            if c.muted and self.links.open(c.attempt.flow.host.zone, c.attempt.instance.shape.zone):
                c.attempt.instance.mute(self.engine.now, c, False, self.load_of(c.client))

    def crossing(self) -> list[Connection]:
        return [c for i in self.instances.values() for c in i.held.values()
                if not self.links.open(c.attempt.flow.host.zone, i.shape.zone) or c.muted]

    def hand_back(self, host: Host, over_us: int) -> None:
        """A planned end: its clients are moved away evenly over most of that time, and new ones are served."""
        host.leaving_self = True
        held = [f for f in host.flows.values() if f.standing and f.standing.out]
        for n, f in enumerate(held):
            self.engine.at(self.engine.now + over_us * 9 // 10 * n // len(held), self.moved, f)
        self.engine.at(self.engine.now + over_us * 19 // 20, self.move_rest, host, host.life)
        if host in self.front.known[host.zone]:
            self.front.known[host.zone].remove(host)

    def move_rest(self, host: Host, life: int) -> None:
        if host.life == life:
            for f in [f for f in host.flows.values() if f.standing and f.standing.out]:
                self.moved(f)

    def kill(self, host: Host, life: int, planned: bool) -> None:
        if host.life != life or not host.up:
            return
        self.judge.seen(self.engine.now, f"balancer {host.index} ends", "", "")
        for f in host.end():
            a = f.standing
            if a and a.out and a.connection:
                if planned:
                    self.breach("cut off", "still held at the end of a planned restart", f, a.instance.name)
                a.out = False
                self.break_(a.connection, "broken", quiet=True)
                continue
            for a in f.attempts:
                if a.out:
                    a.out = False
                    self.give_up(a)
            if not f.end:
                host.conclude(f, "killed")
                if f.client.flow is f:
                    self.again_after_end(f)
            f.over = True
        self.front.stopped(host)

    def again_after_end(self, f: Flow) -> None:
        """Its balancer has ended before it answered."""
        f.client.flow = None
        self.engine.at(self.engine.now + self.links.to_client(), self.again_if_free, f.client, f.client.tries, None)

    def start(self, host: Host) -> None:
        if not host.up:
            host.begin(self.feed.at_start(host))
            self.feed.joined(host)
            self.front.started(host)

    # -- what it came to -----------------------------------------------------------------------------

    def summary(self, wall_s: float, cpu_s: float) -> dict[str, Any]:
        """Stable keys, described in docs/lab.md. All but `clock` is the same whenever file and seed are."""
        m, c = self.measure, self.measure.counts
        for client in self.standing:
            if client.connection:
                self.count_span(client.connection)
        handled, handle_s = sum(h.handled for h in self.hosts), sum(h.cpu_ns for h in self.hosts) / 1e9
        first = max(1, c["clients"])
        events = self.engine.events
        return {
            "format": 1, "experiment": self.e.name, "seed": self.seed, "policy": self.policy,
            "failure": self.failure, "worth": m.worth() if not self.failure else None,
            "rules": dict(self.judge.counts), "breaches": [asdict(b) for b in self.judge.breaches],
            "recovery_s": m.recovery(self.faults), "counts": dict(c), "events": events,
            "per_client": {k: rounded(c[k] / first) for k in (
                "tries", "attempts", "refused", "failed", "broken", "moved", "probes", "peer_bytes")},
            "crossing_part": rounded(ratio(m.crossing_s, m.standing_s) if m.standing_s else 0.0),
            "fairness": m.fairness(), "setup": {k.name: told(h) for k, h in zip(self.e.classes, m.waits, strict=True)},
            "messages": told(m.messages), "refusals": told(m.refusals),
            "fleet": {"balancers": len(self.hosts), "instances": len(self.instances),
                      "capacity_cores": rounded(self.plan.capacity / S), "clients_per_s": rounded(self.plan.per_s)},
            "events_per_s": round(events / max(1e-9, cpu_s - handle_s)),
            "clock": {
                "wall_s": round(wall_s, 3), "cpu_s": round(cpu_s, 3), "handle_s": round(handle_s, 3),
                "handle_part": round(handle_s / max(1e-9, cpu_s), 4), "decided_events": handled,
                "cpu_us_per_event": round(handle_s * 1e6 / max(1, handled), 2),
                "cpu_us_per_client": round(handle_s * 1e6 / first, 2),
                "requests_per_core_hour": round(c["tries"] / max(1e-9, cpu_s - handle_s) * 3600),
                "balancer_bytes": deep_size(self.hosts[0].decisions) if self.hosts[0].decisions else 0}}


def deep_size(x: object) -> int:
    """Bytes held by an object and all that only data lies behind: no modules, classes or functions."""
    seen: set[int] = set()
    todo, total = [x], 0
    skipped = (type, type(sys), type(deep_size), type(gc.collect))
    while todo:
        one = todo.pop()
        if id(one) in seen or isinstance(one, skipped):
            continue
        seen.add(id(one))
        total += sys.getsizeof(one)
        todo.extend(gc.get_referents(one))
    return total
