"""A day's attempts, standing connections, probes and words between balancers. Part of `Day`."""

from __future__ import annotations

from math import exp

from glenrock.routing import interface

from .day_clients import Clients
from .fleet_state import S
from .measure import ratio
from .model.balancer import Host
from .model.instance import Connection, Instance
from .model.requests import Attempt

HANDSHAKE = 3  # ways until the first line has arrived: two of TCP's, and its own


class Attempts(Clients):
    """Attempts at instances, connections, and ends of instances."""

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
        if what == "up" and a.instance.name in self.errs and self.err_draw() < self.errs[a.instance.name]:
            what = "error"
            self.give_up(a)  # it keeps nothing of it
        asked = self.store.call(self.engine.now) if what == "up" else self.engine.now
        self.engine.at(asked + way, self.back, a, what)

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
        c = Connection(a, f.host.index, row.kind, row.group, value)
        a.connection = c
        if client.since >= 0 and mine:
            self.measure.waits[row.kind].record_value(max(1, now - client.since))
        if not a.instance.open(now, c, self.load_of(client)):
            a.connection = None
            f.host.ended(a, "broken")  # it has started anew since it answered
            if mine:
                self.rejoin(client, self.habits.after_break())
            return
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

    def break_(self, c: Connection[Attempt], verdict: str, wait: int | None = None, quiet: bool = False) -> None:
        """A standing connection is lost: its instance, its link or its client's side is gone."""
        f, client, mine = c.attempt.flow, c.attempt.flow.client, c.attempt.flow.client.connection is c
        self.measure.counts["broken"] += 1
        self.judge.seen(self.engine.now, "breaks", f.id, c.attempt.instance.name)
        self.close(c)
        if not quiet:
            f.host.ended(c.attempt, verdict)
        if mine:
            self.rejoin(client, self.habits.after_break() if wait is None else wait)

    def drop(self, c: Connection[Attempt], wait: int) -> None:
        """The client's side of a standing connection goes; it comes again after that time."""
        if c.attempt.connection is c and c.attempt.out:
            self.break_(c, "served", wait)

    # -- probes, peers, the list (World) -------------------------------------------------------------

    def probe(self, host: Host, server: str) -> None:
        if self.shards is None or not self.shards.knows(host, server):
            self.probe_now(host, server)

    def probe_now(self, host: Host, server: str) -> None:
        self.measure.counts["probes"] += 1
        i = self.instances[server]
        now = self.engine.now
        if self.links.open(host.zone, i.shape.zone):
            self.engine.at(now + self.links.way(host.zone, i.shape.zone), self.probed, host, host.life, i, now)
        else:
            self.engine.at(
                now + round(float(self.e.reports.probe_timeout_ms) * 1000),
                self.probe_back,
                host,
                host.life,
                i,
                now,
                "timeout",
                {},
            )

    def probed(self, host: Host, life: int, i: Instance[Attempt], asked: int) -> None:
        now, r = self.engine.now, self.e.reports
        back = self.links.way(host.zone, i.shape.zone)
        if not i.up:
            self.engine.at(now + back, self.probe_back, host, life, i, asked, "no_connection", {})
            return
        took = i.work(now, float(r.probe_ms) * 1000, r.probe_waits)
        limit = asked + round(float(r.probe_timeout_ms) * 1000)
        if now + took + back > limit:
            self.engine.at(limit, self.probe_back, host, life, i, asked, "timeout", {})
            return
        noise = float(r.noise)
        seen = i.reported(now - round(float(r.delay_ms) * 1000))
        report = {name: seen[name] * exp(noise * self.noise()) for name in r.names if name in seen}
        due = now + round(took) + back
        self.engine.at(due, self.probe_back, host, life, i, asked, "served", report)

    def probe_back(
        self, host: Host, life: int, i: Instance[Attempt], asked: int, verdict: str, report: dict[str, float]
    ) -> None:
        if host.life == life and host.up:
            if not self.links.open(host.zone, i.shape.zone):
                verdict, report = "timeout", {}
            if self.shards and verdict == "served":
                self.shards.result(host, i.name, report)
            host.post(interface.HealthCheckResult(i.name, verdict, self.engine.now - asked, report))

    def tell(self, host: Host, data: bytes) -> None:
        for other in self.hosts:
            if other is not host:
                way = self.links.to_peer(host.zone, other.zone)
                if way is not None:
                    self.measure.counts["peer_bytes"] += len(data)
                    self.engine.at(self.engine.now + way, self.told, other, host.index, data)

    def told(self, host: Host, peer: int, data: bytes) -> None:
        if host.up:  # a message that outlives its sender arrives all the same
            if self.shards and self.shards.arrives(host, peer, data):
                return
            host.post(interface.GossipReceived(peer, data))

    def watch(self, host: Host) -> None:
        self.feed.asked(host)

    # -- ends of instances ---------------------------------------------------------------------------

    def stop(self, i: Instance[Attempt]) -> None:
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

    def lost(self, c: Connection[Attempt]) -> None:
        """Its instance is gone. The balancer hears of it, unless the link is cut."""
        f = c.attempt.flow
        if self.links.open(f.host.zone, c.attempt.instance.shape.zone):
            self.break_(c, "broken")
        else:
            self.engine.at(self.engine.now + self.silence_us, self.silent, c)

    def silent(self, c: Connection[Attempt]) -> None:
        if c.attempt.out and c.attempt.flow.client.connection is c:
            self.break_(c, "broken")

    def fall_over(self, i: Instance[Attempt]) -> None:
        """Pushed over while cold. The rule is broken if two thirds of it came from balancers told of its start."""
        told = sum(load for _, load, knew in i.sent if knew)
        part = ratio(told, i.sent_load)
        text = f"{i.name} fell over {(self.engine.now - i.started) / S:.2f} s after its start; told sent {part:.0%}"
        if part >= 2 / 3:
            self.judge.breach(self.engine.now, "cold", text, -1, "", i.name)
        else:
            self.judge.seen(self.engine.now, "falls over, untold", "", i.name)
        self.stop(i)
