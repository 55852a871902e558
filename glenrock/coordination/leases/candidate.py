"""A candidate's side of one job: when to ask the store for the lease, and whether it may act.

Pure. Times are whole microseconds on the candidate's own clock, which must go on through a suspend (CLOCK_BOOTTIME) and
may run faster or slower than the store's by at most `drift`. Nothing here compares two machines' clocks.

A holder is one who can prove its term now: `current_term(now_us)` is asked right before each effect leaves, not once
before many.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Literal

STEPPED_DOWN = "stepped down"  # reason of a lease that was given back

RequestKind = Literal["acquire", "renew", "release"]
CandidateState = Literal["idle", "asking", "owner", "leaving", "wary"]
"""`asking`: a lease was asked for. `owner`: it is held. `leaving`: it is being given back. `wary`: no answer came.

The words stand in what operators are shown, and stay."""


@dataclass(frozen=True, slots=True)
class LeaseRequest:
    """To the store.

    Attributes:
        number: of this holder's requests; they are taken in order.
        term: the one to renew or release.
        min_term: a term that some receiver has seen; the one granted must be above it.
    """

    number: int
    kind: RequestKind
    term: int
    min_term: int


@dataclass(frozen=True, slots=True)
class LeaseAcquired:
    """The lease is held from now on, until `expires_us` unless it is renewed."""

    term: int
    expires_us: int


@dataclass(frozen=True, slots=True)
class LeaseLost:
    """The lease is not held any more."""

    term: int
    reason: str


CandidateEffect = LeaseRequest | LeaseAcquired | LeaseLost


@dataclass(frozen=True, slots=True)
class LeaseTiming:
    """Times of a lease, in microseconds.

    Attributes:
        lease_us: counted by the store from when it takes a request.
        drift: of either clock against the other, at most, as a part of the time.
        renew_after_share: part of the lease after which it is asked to be longer.
        request_timeout_us: an answer later than this is lost.
        retry_us: between two requests after one was refused.
        unreachable_backoff_us: the same after the store did not answer.
    """

    lease_us: int = 10_000_000
    drift: float = 0.01
    renew_after_share: float = 0.4
    request_timeout_us: int = 2_000_000
    retry_us: int = 1_000_000
    unreachable_backoff_us: int = 3_000_000

    @property
    def holder_lease_us(self) -> int:
        """What a holder may count on, from before it asked, on its own clock."""
        return int(self.lease_us / (1 + self.drift))


@dataclass(slots=True)
class LeaseCandidate:
    """One job at one candidate. Events come through its methods, with the time; each returns what to do.

    Attributes:
        term: held, or last held.
        expires_us: the term is over then, whatever anybody says.
        last_request: number of the last request.
        pending: kind of the request that is out.
        sent_us: when the last request left. `next_us`: none leaves before then.
        min_term: terms up to this one are too old for some receiver.
    """

    timing: LeaseTiming
    state: CandidateState = "idle"
    term: int = 0
    expires_us: int = 0
    last_request: int = 0
    pending: RequestKind | None = None
    sent_us: int = 0
    next_us: int = 0
    min_term: int = 0

    def current_term(self, now_us: int) -> int | None:
        """The term in which an effect may leave now; None for everybody who holds no lease."""
        return self.term if self.state == "owner" and now_us < self.expires_us else None

    def request(self, now_us: int, kind: RequestKind) -> list[CandidateEffect]:
        """A request leaves now."""
        self.last_request += 1
        self.pending = kind
        self.sent_us = now_us
        return [LeaseRequest(self.last_request, kind, self.term, self.min_term)]

    def tick(self, now_us: int) -> list[CandidateEffect]:
        """Time has passed: whoever has slept learns here first what it has slept through."""
        effects: list[CandidateEffect] = []
        if self.state == "owner" and now_us >= self.expires_us:
            effects += self._end_term(now_us, "the term is over")
        if self.pending and now_us >= self.sent_us + self.timing.request_timeout_us:
            effects += self.unanswered(now_us, self.last_request)
        if self.pending or now_us < self.next_us:
            return effects
        if self.state == "owner":
            renew_us = self.sent_us + int(self.timing.holder_lease_us * self.timing.renew_after_share)
            if now_us >= renew_us:
                effects += self.request(now_us, "renew")
        elif self.state in ("idle", "wary"):
            self.state = "asking"
            effects += self.request(now_us, "acquire")
        return effects

    def answer(self, now_us: int, number: int, granted: int) -> list[CandidateEffect]:
        """The store's answer: the term granted, or 0. One to an older request than the last is nobody's."""
        if number != self.last_request or not self.pending:
            return []
        kind, self.pending = self.pending, None
        # Counted from the answer, a lease would be held for as long as the answer was under way, or as this process
        # slept before it read it, after the store has given it to another.
        expires_us = self.sent_us + self.timing.holder_lease_us
        if kind == "release":
            return self._released(now_us)
        if kind == "renew" and self.state == "owner":
            return self._renewed(now_us, granted, expires_us)
        if self.state != "asking":
            return self._give_back(now_us, granted)
        return self._acquired(now_us, granted, expires_us)

    def _released(self, now_us: int) -> list[CandidateEffect]:
        if self.state == "leaving":
            self._rest(now_us)
        return []

    def _renewed(self, now_us: int, granted: int, expires_us: int) -> list[CandidateEffect]:
        if granted == self.term and now_us < expires_us:
            self.expires_us = expires_us
            return []
        return self._end_term(now_us, "the store has given it to another")

    def _acquired(self, now_us: int, granted: int, expires_us: int) -> list[CandidateEffect]:
        if not granted:
            self._rest(now_us)
            return []
        if granted <= self.min_term or now_us >= expires_us:
            # Too old for a receiver, or slept through: a term that cannot be used is given back at once.
            self._rest(now_us)
            return self._give_back(now_us, granted)
        self.state = "owner"
        self.term = granted
        self.expires_us = expires_us
        self.next_us = now_us
        return [LeaseAcquired(granted, expires_us)]

    def _rest(self, now_us: int) -> None:
        self.state = "idle"
        self.next_us = now_us + self.timing.retry_us

    def _give_back(self, now_us: int, granted: int) -> list[CandidateEffect]:
        """A term that was granted and is not used."""
        if not granted or self.pending:
            return []
        self.last_request += 1
        self.pending = "release"
        self.sent_us = now_us
        if self.state == "idle":
            self.state = "leaving"
        return [LeaseRequest(self.last_request, "release", granted, self.min_term)]

    def unanswered(self, now_us: int, number: int) -> list[CandidateEffect]:
        """No answer came, or word that none will. The request may have counted all the same."""
        if number != self.last_request or not self.pending:
            return []
        kind, self.pending = self.pending, None
        if self.state == "owner" and kind == "renew":
            self.next_us = now_us + self.timing.retry_us  # the term goes on as long as it is proven
        elif self.state in ("asking", "leaving"):
            self.state = "wary"
            self.next_us = now_us + self.timing.unreachable_backoff_us
        return []

    def refused(self, now_us: int, seen_term: int) -> list[CandidateEffect]:
        """A receiver has seen a higher term than ours: another holds the lease, or the store has gone back in time."""
        self.min_term = max(self.min_term, seen_term)
        if self.state == "owner" and seen_term > self.term:
            return self._end_term(now_us, f"a receiver has seen term {seen_term}")
        return []

    def step_down(self, now_us: int) -> list[CandidateEffect]:
        """Gives the lease back in good order. What is out then is answered to nobody."""
        if self.state != "owner":
            return []
        term = self.term
        self.state = "leaving"
        self.pending = None
        return [LeaseLost(term, STEPPED_DOWN), *self.request(now_us, "release")]

    def _end_term(self, now_us: int, reason: str) -> list[CandidateEffect]:
        self._rest(now_us)
        self.pending = None
        return [LeaseLost(self.term, reason)]
