"""A candidate's side of one job: when to ask the store, and whether it may act. Pure.

Times are whole microseconds on the candidate's own clock, which must go on through a suspend (CLOCK_BOOTTIME) and
may run faster or slower than the store's by at most `drift`. Nothing here compares two machines' clocks.

An owner is one who can prove its term now: `holds(now)` is asked right before each effect leaves, not once before many.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Literal

Kind = Literal["acquire", "renew", "release"]
State = Literal["idle", "asking", "owner", "leaving", "wary"]


@dataclass(frozen=True, slots=True)
class Ask:
    """To the store. `floor`: a term that some receiver has seen; the one granted must be above it."""

    request: int
    kind: Kind
    term: int
    floor: int


@dataclass(frozen=True, slots=True)
class Began:
    term: int
    until: int


@dataclass(frozen=True, slots=True)
class Ended:
    term: int
    why: str


Effect = Ask | Began | Ended


@dataclass(frozen=True, slots=True)
class Rules:
    """`lease`: counted by the store from when it takes a request. `ask_within`: an answer later than this is lost."""

    lease: int = 10_000_000
    drift: float = 0.01  # of either clock against the other, at most
    renew_part: float = 0.4  # of the lease, after which it is asked to be longer
    ask_within: int = 2_000_000
    again: int = 1_000_000  # after a refusal
    wary: int = 3_000_000  # after the store did not answer

    @property
    def own(self) -> int:
        """What a holder may count on, from before it asked, on its own clock."""
        return int(self.lease / (1 + self.drift))


@dataclass(slots=True)
class Claim:
    """One job at one candidate. Events come through its methods, with the time; each returns what to do."""

    rules: Rules
    state: State = "idle"
    term: int = 0  # held, or last held
    until: int = 0  # the term is over then, whatever anybody says
    request: int = 0  # number of the last one
    kind: Kind | None = None  # of the one that is out
    sent_at: int = 0
    next_at: int = 0
    floor: int = 0

    def holds(self, now: int) -> int | None:
        """The term in which an effect may leave now; None for everybody who is no owner."""
        return self.term if self.state == "owner" and now < self.until else None

    def ask(self, now: int, kind: Kind) -> list[Effect]:
        self.request += 1
        self.kind, self.sent_at = kind, now
        return [Ask(self.request, kind, self.term, self.floor)]

    def tick(self, now: int) -> list[Effect]:
        """Time has passed: whoever has slept learns here first what it has slept through."""
        out: list[Effect] = []
        if self.state == "owner" and now >= self.until:
            out += self.over(now, "the term is over")
        if self.kind and now >= self.sent_at + self.rules.ask_within:
            out += self.lost(now, self.request)
        if self.kind or now < self.next_at:
            return out
        if self.state == "owner":
            if now >= self.sent_at + int(self.rules.own * self.rules.renew_part):
                out += self.ask(now, "renew")
        elif self.state in ("idle", "wary"):
            self.state = "asking"
            out += self.ask(now, "acquire")
        return out

    def answer(self, now: int, request: int, granted: int) -> list[Effect]:
        """The store's answer: the term granted, or 0. One to an older request than the last is nobody's."""
        if request != self.request or not self.kind:
            return []
        kind, self.kind = self.kind, None
        # Danger: counted from the answer, a lease would be held for as long as the answer was under way, or as this
        # process slept before it read it, after the store has given it to another.
        until = self.sent_at + self.rules.own
        if kind == "release":
            if self.state == "leaving":
                self.state, self.next_at = "idle", now + self.rules.again
            return []
        if kind == "renew" and self.state == "owner":
            if granted == self.term and now < until:
                self.until = until
                return []
            return self.over(now, "the store has given it to another")
        if self.state != "asking":
            return self.give_back(now, granted)
        if not granted:
            self.state, self.next_at = "idle", now + self.rules.again
            return []
        if granted <= self.floor or now >= until:
            # Too old for a receiver, or slept through: a term that cannot be used is given back at once.
            self.state, self.next_at = "idle", now + self.rules.again
            return self.give_back(now, granted)
        self.state, self.term, self.until, self.next_at = "owner", granted, until, now
        return [Began(granted, until)]

    def give_back(self, now: int, granted: int) -> list[Effect]:
        if not granted or self.kind:
            return []
        self.request += 1
        self.kind, self.sent_at = "release", now
        if self.state == "idle":
            self.state = "leaving"
        return [Ask(self.request, "release", granted, self.floor)]

    def lost(self, now: int, request: int) -> list[Effect]:
        """No answer came, or word that none will. The request may have counted all the same."""
        if request != self.request or not self.kind:
            return []
        kind, self.kind = self.kind, None
        if self.state == "owner" and kind == "renew":
            self.next_at = now + self.rules.again  # the term goes on as long as it is proven
        elif self.state in ("asking", "leaving"):
            self.state, self.next_at = "wary", now + self.rules.wary
        return []

    def refused(self, now: int, seen: int) -> list[Effect]:
        """A receiver has seen a higher term than ours: somebody else owns, or the store has gone back in time."""
        self.floor = max(self.floor, seen)
        if self.state == "owner" and seen > self.term:
            return self.over(now, f"a receiver has seen term {seen}")
        return []

    def leave(self, now: int) -> list[Effect]:
        """Steps down in good order. What is out then is answered to nobody."""
        if self.state != "owner":
            return []
        term, self.state, self.kind = self.term, "leaving", None
        return [Ended(term, "stepped down"), *self.ask(now, "release")]

    def over(self, now: int, why: str) -> list[Effect]:
        self.state, self.next_at = "idle", now + self.rules.again
        self.kind = None
        return [Ended(self.term, why)]
