"""A day's processes and links: what faults do to them. Part of `Day`."""

from __future__ import annotations

from glenrock.routing import interface

from .day_attempts import Attempts
from .fleet_state import S
from .model.balancer import Host
from .model.instance import Connection, Instance
from .model.requests import Attempt, Flow

FRONT_US = 250_000  # the front asks every 0.1 s, and sends for 0.2 s more
QUIET_US, AWAY_US, STEP_US = 450_000, 3_000_000, 50_000  # a balancer's own figures


class Processes(Attempts):
    """What faults do to processes and links."""

    def begin(self, i: Instance[Attempt]) -> None:
        if i.up or i.fallen:
            return
        self.judge.seen(self.engine.now, "starts", "", i.name)
        i.begin(self.engine.now)
        self.feed.tell(float(self.e.discovery.add_s), i.name, "ready", i.started)

    def drain(self, i: Instance[Attempt]) -> None:
        if i.up and not i.draining:
            self.judge.seen(self.engine.now, "drains", "", i.name)
            i.draining = True
            self.feed.tell(0.0, i.name, "draining")

    def stop_if_draining(self, i: Instance[Attempt]) -> None:
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

    def mute_silent(self, c: Connection[Attempt]) -> None:
        if c.muted and c.attempt.flow.client.connection is c:
            self.break_(c, "broken")

    def heal(self, zone: int) -> None:
        self.links.cut.discard(zone)
        for c in self.crossing():
            if c.muted and self.links.open(c.attempt.flow.host.zone, c.attempt.instance.shape.zone):
                c.attempt.instance.mute(self.engine.now, c, False, self.load_of(c.attempt.flow.client))

    def crossing(self) -> list[Connection[Attempt]]:
        return [
            c
            for i in self.instances.values()
            for c in i.held.values()
            if not self.links.open(c.attempt.flow.host.zone, i.shape.zone) or c.muted
        ]

    def hand_back(self, host: Host, over_us: int) -> None:
        """A planned end: its clients are moved away evenly over most of that time, and new ones are served."""
        held = [f for f in host.flows.values() if f.standing and f.standing.out]
        for n, f in enumerate(held):
            self.engine.at(self.engine.now + over_us * 9 // 10 * n // len(held), self.moved, f)
        self.engine.at(self.engine.now + over_us * 19 // 20, self.move_rest, host, host.life)
        self.front.leave(host)

    def move_rest(self, host: Host, life: int) -> None:
        if host.life == life:
            for f in [f for f in host.flows.values() if f.standing and f.standing.out]:
                self.moved(f)

    def send_away(self, host: Host) -> None:
        """Told by operators: as `glenrock/net/graceful_shutdown.py` does it, step by step until all are gone."""
        self.judge.seen(self.engine.now, f"balancer {host.index} sends its clients away", "", "")
        host.post(interface.DrainMode(True))
        self.engine.at(self.engine.now + FRONT_US, self.front.leave, host)
        self.engine.at(self.engine.now + QUIET_US, self.move_some, host, host.life, self.engine.now + AWAY_US)
        host.going = True

    def move_some(self, host: Host, life: int, until: int) -> None:
        if host.life != life or not host.going:
            return
        held = [f for f in host.flows.values() if f.standing and f.standing.out]
        turns = max(1.0, (until - self.engine.now) / STEP_US)
        for f in held[: max(1, round(len(held) / turns + 0.49))]:
            self.moved(f)
        self.engine.at(self.engine.now + STEP_US, self.move_some, host, life, until)

    def take_again(self, host: Host, life: int) -> None:
        if host.life == life and host.going:
            host.going = False
            host.post(interface.DrainMode(False))
            self.front.take(host, life)

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
