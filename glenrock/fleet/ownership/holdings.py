"""All claims of one process: which jobs it asks for and when, in as few calls as can be. Pure.

Times are microseconds on the process's own clock, as in `claim`. Renewals of all jobs go together. A job seen free is
asked for by the first in its order of members at once and by each next a step later, so that hundreds do not ask for
the same; the order is for cost alone, terms come from the store.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from ..roster import Roster, first, rank
from .claim import Ask, Began, Claim, Ended, Rules
from .store import Lease

LOOKERS = 3  # members that look after a job which is not theirs; the others look when these are gone
MOST_PATIENCE = 256
MOST_STEPS = 10  # nobody waits longer than this many steps for those before it
Event = tuple[str, Began | Ended]
Asks = list[tuple[str, Ask]]


@dataclass(slots=True)
class Seen:
    """What the store last said of a job that is not ours."""

    holder: str = ""
    free_at: int = -1  # free since, or from then on; -1: not known


class Holdings:
    """`jobs` are held by whoever comes; others only once `want` asks for them, and at once."""

    def __init__(self, roster: Roster, rules: Rules, jobs: Iterable[str], step_us: int) -> None:
        self.roster, self.rules, self.step = roster, rules, step_us
        self.jobs = tuple(jobs)
        self.claims = {job: Claim(rules) for job in self.jobs}
        self.seen: dict[str, Seen] = {}
        self.wanted: set[str] = set()
        self.live: set[str] = set()  # jobs of which a tick may make something: held, asked for, or free
        self.members: list[int] = []
        self.near: list[str] = []  # jobs that this member is among the first to take
        self.unfit: dict[str, int] = {}  # jobs that were held and not worked on, until when they are not asked for
        self.worked: dict[str, int] = {}  # when each job's work last went round
        self.began: dict[str, int] = {}
        self.shed_at = 0
        self.patience: dict[str, int] = {}  # leases that a job is kept before it is offered to the first in its order

    # -- who may act -----------------------------------------------------------------------------------

    def holds(self, job: str, now: int) -> int | None:
        claim = self.claims.get(job)
        return claim.holds(now) if claim else None

    def held(self, now: int) -> list[str]:
        return [job for job, c in self.claims.items() if c.holds(now) is not None]

    def went_round(self, job: str, now: int) -> None:
        self.worked[job] = now

    def above(self, job: str, term: int) -> None:
        """This process has seen that term as a receiver: one of its own must be higher, whatever the store has
        forgotten."""
        if job in self.claims:
            self.claims[job].floor = max(self.claims[job].floor, term)

    def refused(self, job: str, now: int, seen: int) -> list[Event]:
        """A receiver has seen a higher term."""
        claim = self.claims.get(job)
        return self.events(job, claim.refused(now, seen))[1] if claim else []

    # -- wishes ----------------------------------------------------------------------------------------

    def want(self, job: str, now: int) -> None:
        self.claims.setdefault(job, Claim(self.rules)).next_at = now
        self.wanted.add(job)
        self.live.add(job)

    def leave(self, job: str, now: int) -> tuple[Asks, list[Event]]:
        """Steps down, and asks for it no more where it was wanted."""
        self.wanted.discard(job)
        return self.events(job, self.claims[job].leave(now)) if job in self.claims else ([], [])

    def leave_all(self, now: int) -> tuple[Asks, list[Event]]:
        asks, events = [], []
        for job in self.claims:
            more, ends = self.leave(job, now)
            asks, events = asks + more, events + ends
        return asks, events

    # -- time ------------------------------------------------------------------------------------------

    def tick(self, now: int) -> tuple[Asks, list[Event]]:
        """Requests to be made now, all in one call, and what has ended or begun."""
        asks: Asks = []
        events: list[Event] = []
        for job in sorted(self.live):
            c = self.claims[job]
            active = c.state != "idle" or c.kind
            if not active and job not in self.wanted and self.seen.get(job, Seen()).free_at < 0:
                self.live.discard(job)
            elif active and c.state != "wary" or self.may_ask(job, now):
                more, ends = self.events(job, c.tick(now))
                asks, events = asks + more, events + ends
            if c.state == "owner" and now - self.worked.get(job, now) > self.rules.lease:
                # Alive, renewing, and doing nothing: somebody else must be able to.
                self.unfit[job] = now + 3 * self.rules.lease
                more, ends = self.events(job, c.leave(now))
                asks, events = asks + more, events + ends
        more, ends = self.shed(now)
        asks, events = asks + more, events + ends
        if any(a.kind == "renew" for _, a in asks):
            for job in sorted(self.live):
                c = self.claims[job]
                if c.state == "owner" and not c.kind:
                    asks += [(job, a) for a in c.ask(now, "renew") if isinstance(a, Ask)]
        return asks, events

    def may_ask(self, job: str, now: int) -> bool:
        if job in self.wanted:
            return True
        seen = self.seen.get(job)
        if job not in self.jobs or now < self.unfit.get(job, 0) or seen is None or seen.free_at < 0:
            return False
        before = rank(job, self.roster.me, self.roster.members(now), MOST_STEPS)
        return now >= seen.free_at + before * self.step

    def shed(self, now: int) -> tuple[Asks, list[Event]]:
        """Work goes back to the first in its order, a tenth of it at a time: after a start one may hold all."""
        asks: Asks = []
        events: list[Event] = []
        if now - self.shed_at < self.rules.lease:
            return asks, events
        self.shed_at = now
        members = list(self.roster.members(now))
        away = [job for job in self.jobs if self.claims[job].holds(now) is not None and not self.claims[job].kind
                and now - self.began.get(job, now) > self.rules.lease * self.patience.get(job, 1)
                and first(job, members) != self.roster.me]
        for job in away[:1 + len(away) // 10]:
            # Who does not take it, though it is there, is asked ever more seldom: each time the job rests meanwhile.
            self.patience[job] = min(MOST_PATIENCE, 4 * self.patience.get(job, 1))
            more, ends = self.events(job, self.claims[job].leave(now))
            asks, events = asks + more, events + ends
        return asks, events

    def to_look_at(self, now: int, every: bool) -> list[str]:
        """Jobs whose leases are to be read: those that this member would be among the first to take."""
        members = list(self.roster.members(now))
        if members != self.members:
            self.members = members
            self.near = [job for job in self.jobs if rank(job, self.roster.me, members, LOOKERS) < LOOKERS]
        return [job for job in (self.jobs if every else self.near) if self.claims[job].holds(now) is None]

    def looked(self, asked: Iterable[str], leases: dict[str, Lease], now: int) -> None:
        """What the store said. One that was never held is free."""
        for job in asked:
            lease = leases.get(job, Lease("", 0, 0))
            seen = self.seen.setdefault(job, Seen())
            if lease.holder:
                seen.holder, seen.free_at = lease.holder, now + lease.left_us if lease.left_us >= 0 else -1
            elif seen.free_at < 0 or seen.holder:
                seen.holder, seen.free_at = "", now
            if seen.free_at >= 0:
                self.live.add(job)

    # -- answers ---------------------------------------------------------------------------------------

    def answered(self, asks: Asks, granted: dict[str, int], now: int) -> tuple[Asks, list[Event]]:
        more: Asks = []
        events: list[Event] = []
        for job, a in asks:
            c = self.claims[job]
            if job not in granted:
                c.lost(now, a.request)
                continue
            if a.kind == "acquire" and not granted[job] and job in self.seen:
                self.seen[job].free_at = -1  # somebody was first: not free until the store says so again
            again, ends = self.events(job, c.answer(now, a.request, granted[job]))
            more, events = more + again, events + ends
        return more, events

    def lost(self, asks: Asks, now: int) -> None:
        for job, a in asks:
            self.claims[job].lost(now, a.request)

    def events(self, job: str, effects: list[object]) -> tuple[Asks, list[Event]]:
        for e in effects:
            if isinstance(e, Began | Ended) and job in self.seen:
                self.seen[job].free_at = -1  # what was seen before says nothing now: the store must say it is free
            if isinstance(e, Began):
                self.began[job] = self.worked[job] = self.claims[job].sent_at
        return ([(job, e) for e in effects if isinstance(e, Ask)],
                [(job, e) for e in effects if isinstance(e, Began | Ended)])
