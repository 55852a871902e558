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
from typing import Any

import numpy as np

from glenrock.routing import interface

from . import faults, policies
from .day_processes import Processes
from .engine import Engine
from .fleet_state import S
from .measure import ratio, rounded, told
from .model import plan as plans
from .model.balancer import Decisions, Host, PolicyFailed
from .model.feed import Feed
from .model.front import Front
from .model.instance import Connection, Instance
from .model.requests import Attempt, Client, Flow
from .policies import module
from .policies.oracle import Oracle
from .shards import Shared
from .spec import Experiment, settings_of

CELL = 6  # instances that make a cell


class Day(Processes):
    """The world of one run, with its plan, its faults and its summary."""

    def __init__(
        self,
        e: Experiment,
        seed: int,
        policy: str = "glenrock",
        *,
        make: Callable[[interface.Settings, int], Decisions] | None = None,
        engine: Engine | None = None,
    ) -> None:
        super().__init__(e, seed, policy, engine)
        e, streams = self.e, self.streams
        for n, shape in enumerate(self.shapes):
            name = f"10.{n >> 16 & 255}.{n >> 8 & 255}.{n & 255}:7000"
            i = self.instances[name] = Instance(
                name, n, shape, self.figures, self.instance_says, self.engine, self.measure.earn, n // CELL
            )
            i.last = self.begin_us
        maker = make or policies.make(policy)
        seeds = streams.of("balancer seeds")
        fixed = seeds.integers(1, 1 << 62, size=int(e.fleet.balancers)).tolist()

        def build(index: int, life: int) -> Decisions:
            zone = self.zones[index % len(self.zones)]
            made = maker(settings_of(self.e, index, zone, self.plan.quotas), fixed[index] + life)
            if isinstance(made, Oracle):
                made.see(self, self.hosts[index])
            return made

        self.hosts = [
            Host(n, n % len(self.zones), self.engine, self, max(1, round(e.platform.tick_ms * 1000)), build)
            for n in range(int(e.fleet.balancers))
        ]
        self.front = Front(e.front, self.hosts, len(self.zones), self.engine, streams)
        self.feed = Feed(e.discovery, self.hosts, self.engine, streams)
        if e.platform.probe_shards:
            self.shards = Shared(self.engine, self.hosts, e.rules.cold_s, self.probe_now, self.tell)

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
        self.feed.begin(
            [interface.Endpoint(i.name, "ready", self.zones[i.shape.zone], i.cell) for i in self.instances.values()]
        )
        rows = tuple(self.feed.rows.values())
        for host in self.hosts:
            host.begin(interface.EndpointList("remembered", rows))
            self.feed.joined(host)
        self.rows = iter(self.plan.rows)
        waiting = self.place_standing()
        self.next_row(waiting)
        for n, f in enumerate(e.faults):
            at = now + round(float(f.at_s) * S)
            self.faults.append(
                {
                    "kind": type(f).__struct_config__.tag,
                    "from_s": rounded(float(f.at_s)),
                    "to_s": rounded(min(float(e.length_s), float(f.at_s) + faults.lasts_s(f))),
                }
            )
            self.engine.at(at, faults.FAULTS[type(f)], self, f, self.streams.of(f"fault {n}"))
        if self.shards:
            self.shards.begin()
        self.engine.at(now, self.second, 0)
        self.engine.at(now + self.length, self.ring_bell)

    def place_standing(self) -> plans.Row | None:
        """Those that stood before the day: the same places under every policy."""
        draw = self.streams.uniforms("standing")
        by_zone: list[tuple[list[Instance[Attempt]], list[float]]] = []
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
            f = client.flow = Flow(
                f"{row.number}.1", client, host, self.engine.now, self.engine.now, answered=True, end="up"
            )
            a = Attempt(f, 0, i, self.engine.now, up=True)
            f.attempts.append(a)
            f.standing = a
            host.flows[f.id] = f
            host.post(interface.OpenConnection(self.request(f), i.name))
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
            m.put(
                n,
                load=load / self.plan.capacity,
                standing=float(len(self.standing)),
                cap=sum(known) / len(known) / self.plan.capacity if known else float("nan"),
                line=sum(line for _, line in caps),
                refused=float(m.counts["refused"]),
                attempts=float(m.counts["attempts"]),
                broken=float(m.counts["broken"]),
                up=float(sum(i.up for i in self.instances.values())),
                balancers=float(sum(h.up for h in self.hosts)),
            )
            if n + 1 < m.seconds:
                self.engine.at(now + S, self.second, n + 1)

    def note_slow(self, i: Instance[Attempt]) -> None:
        """Word of slow messages, on one connection of each balancer, and once more when they are not."""
        if not self.e.reports.delay_told:
            return
        slow = i.message_us > self.aim_us / 3
        if not slow and not any((i.name, h.index) in self.slow_told for h in self.hosts):
            return
        seen: dict[int, Connection[Attempt]] = {}
        for c in i.held.values():
            if not c.muted:
                seen.setdefault(c.host, c)
        for index, c in seen.items():
            if slow or (i.name, index) in self.slow_told:
                (self.slow_told.add if slow else self.slow_told.discard)((i.name, index))
                message = min(i.message_us, 1e9)
                c.attempt.flow.host.post(interface.ConnectionFeedback(c.attempt.flow.id, i.name, message_us=message))

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
        self.measure.ask(self.plan.rows, self.length)
        self.over = True

    # -- what it came to -----------------------------------------------------------------------------

    def summary(self, wall_s: float, cpu_s: float) -> dict[str, Any]:
        """Stable keys, described in docs/simulation.md. All but `clock` is the same whenever file and seed are."""
        m, c = self.measure, self.measure.counts
        for client in self.standing:
            if client.connection:
                self.count_span(client.connection)
        handled, handle_s = sum(h.handled for h in self.hosts), sum(h.cpu_ns for h in self.hosts) / 1e9
        first = max(1, c["clients"])
        events = self.engine.events
        return {
            "format": 1,
            "experiment": self.e.name,
            "seed": self.seed,
            "policy": self.policy,
            "failure": self.failure,
            "worth": m.worth() if not self.failure else None,
            "rules": dict(self.judge.counts),
            "breaches": [asdict(b) for b in self.judge.breaches],
            "recovery_s": m.recovery(self.faults),
            "counts": dict(c),
            "events": events,
            "per_client": {
                k: rounded(c[k] / first)
                for k in ("tries", "attempts", "refused", "failed", "broken", "moved", "probes", "peer_bytes")
            },
            "crossing_part": rounded(ratio(m.crossing_s, m.standing_s) if m.standing_s else 0.0),
            "fairness": m.fairness(),
            "setup": {k.name: told(h) for k, h in zip(self.e.classes, m.waits, strict=True)},
            "messages": told(m.messages),
            "refusals": told(m.refusals),
            "fleet": {
                "balancers": len(self.hosts),
                "instances": len(self.instances),
                "capacity_cores": rounded(self.plan.capacity / S),
                "clients_per_s": rounded(self.plan.per_s),
            },
            "events_per_s": round(events / max(1e-9, cpu_s - handle_s)),
            "clock": {
                "wall_s": round(wall_s, 3),
                "cpu_s": round(cpu_s, 3),
                "handle_s": round(handle_s, 3),
                "handle_part": round(handle_s / max(1e-9, cpu_s), 4),
                "decided_events": handled,
                "cpu_us_per_event": round(handle_s * 1e6 / max(1, handled), 2),
                "cpu_us_per_client": round(handle_s * 1e6 / first, 2),
                "requests_per_core_hour": round(c["tries"] / max(1e-9, cpu_s - handle_s) * 3600),
                "balancer_bytes": deep_size(self.hosts[0].decisions) if self.hosts[0].decisions else 0,
            },
        }


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
