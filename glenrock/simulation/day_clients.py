"""A day's clients: how they come, try, leave and come again, and the answers that they get. Part of `Day`."""

from __future__ import annotations

from glenrock.routing import interface

from .day_accounting import Accounting
from .model.balancer import Host
from .model.requests import Client, Flow

HELD_BACK = 0.5  # of a client's time: a refusal later than this counts as late


class Clients(Accounting):
    """Clients, and the answers to them."""

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
                f.host.post(interface.ConnectionFeedback(f.id, c.attempt.instance.name, load=load))

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

    def request(self, f: Flow) -> interface.Request:
        row = f.client.row
        return interface.Request(
            f.id,
            self.e.classes[row.kind].name,
            f.deadline,
            row.number,
            row.group,
            self.e.tenants[row.tenant].name,
            round(row.usual) if self.e.traffic.hints else 0,
            f.client.again,
        )

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
        wait = (
            self.habits.after_failure(client) if refused_us is None else self.habits.after_refusal(client, refused_us)
        )
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
            self.engine.at(
                self.engine.now + self.links.to_client(), self.again_if_free, f.client, f.client.tries, retry_after_us
            )

    def failed(self, f: Flow) -> None:
        if self.answered(f, "failed"):
            f.client.flow = None
            self.engine.at(self.engine.now + self.links.to_client(), self.again_if_free, f.client, f.client.tries, None)

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
            self.rejoin(c.attempt.flow.client, self.habits.after_move())

    def cut(self, f: Flow) -> None:
        a = f.standing
        if a and a.connection:
            c = a.connection
            self.close(c)
            f.host.ended(a, "cancelled")
            self.rejoin(c.attempt.flow.client, self.habits.after_break())

    def breach(self, rule: str, text: str, f: Flow | None, server: str) -> None:
        self.judge.breach(self.engine.now, rule, text, f.host.index if f else -1, f.id if f else "", server)
