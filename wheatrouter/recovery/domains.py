"""Beliefs on failure domains, each from a sequential test with stated error rates.

One instance that fails says little of its zone's link; three of one zone that fail within a second, with
none of that zone answering, say that the link is cut. Each domain is tested by Wald's sequential probability
ratio test in Page's form: the log of the likelihood ratio is summed, never below 0, until it passes the bound
that the wanted error rates set. (Wald 1945, Sequential Tests of Statistical Hypotheses; Page 1954,
Continuous Inspection Schemes.)

Evidence counts once for each member and window, so that a single dead member, tried again and again, convicts
nobody but itself. Without evidence a belief halves again and again towards none. Times are microseconds.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from math import log

SOUND_FAILS = 0.03  # chance that a member of a sound domain is found out of reach, by itself
CUT_FAILS = 0.97  # and of one that is cut off
FALSE_ALARM, MISSED = 0.0005, 0.05  # wanted rates: a sound domain convicted, a cut one not
WINDOW_US = 1_000_000  # a member's evidence counts once in this time
HALF_LIFE_US = 4_000_000  # of a belief without evidence
NEUTRAL_US = 10_000_000  # a domain believed cut is tried again after this without evidence
ASK_US = 500_000  # a domain believed cut is asked this often
STEP_US = 700_000  # it is taken back in steps of this length
STEPS = (0.25, 0.5, 0.75)  # the parts of its members in use in the first ones

FAILED = log(CUT_FAILS / SOUND_FAILS)
ANSWERED = log((1 - CUT_FAILS) / (1 - SOUND_FAILS))
BOUND = log((1 - MISSED) / FALSE_ALARM)


@dataclass(slots=True)
class Belief:
    """On one domain."""

    score: float = 0.0  # log of the likelihood ratio, cut off over sound; at least 0
    at: int = 0
    cut: bool = False
    healed_at: int = -(1 << 60)  # it answered again then, and is being taken back
    asked_at: int = -(1 << 60)
    seen: dict[str, int] = field(default_factory=dict)  # members whose evidence counted, and when


class Domains:
    """All domains of one balancer, by name.

    What is seen is kept until `settle`, once a batch, so that the order within a batch does not matter: an
    answer in it outweighs all failures in it.
    """

    def __init__(self) -> None:
        self.beliefs: dict[str, Belief] = {}
        # By domain: members out of reach, or None where one answered.
        self.seen: dict[str, dict[str, None] | None] = {}
        self.news: list[tuple[str, bool]] = []  # beliefs that the last batch turned, and whether to cut

    def saw(self, domain: str, member: str, answers: bool) -> None:
        """Evidence: a member answered, or was out of reach."""
        if answers:
            self.seen[domain] = None
        elif (members := self.seen.setdefault(domain, {})) is not None:
            members[member] = None

    def settle(self, now: int) -> list[str]:
        """Takes in the evidence since the last call. Returns the domains of which the belief has turned."""
        turned = []
        for domain, members in self.seen.items():
            if members is None and domain not in self.beliefs:
                continue
            b = self.beliefs.setdefault(domain, Belief(at=now))
            if (self.answered(b, now) if members is None else self.failed(b, now, members)):
                turned.append(domain)
        self.seen.clear()
        for domain, b in self.beliefs.items():
            if b.cut and now - b.at >= NEUTRAL_US:  # nobody speaks for it any more
                b.cut, b.healed_at, b.score = False, now, 0.0
                turned.append(domain)
        self.news = [(domain, self.beliefs[domain].cut) for domain in turned]
        return turned

    def answered(self, b: Belief, now: int) -> bool:
        """Any answer proves the way to be whole."""
        b.score, b.at = max(0.0, b.score + ANSWERED), now
        b.seen.clear()
        was, b.cut = b.cut, False
        if was:
            b.healed_at, b.score = now, 0.0
        return was

    def failed(self, b: Belief, now: int, members: dict[str, None]) -> bool:
        fresh = [m for m in members if now - b.seen.get(m, -WINDOW_US) >= WINDOW_US]
        if not fresh:
            return False
        b.seen = {m: at for m, at in b.seen.items() if now - at < WINDOW_US} | dict.fromkeys(fresh, now)
        b.score, b.at = min(BOUND, faded(b.score, now - b.at) + FAILED * len(fresh)), now
        was, b.cut = b.cut, b.cut or b.score >= BOUND
        return b.cut and not was

    def cut(self, domain: str) -> bool:
        b = self.beliefs.get(domain)
        return b is not None and b.cut

    def part(self, now: int, domain: str) -> float:
        """The part of its members that may be used: 0 while it is believed cut, 1 if nothing speaks so."""
        b = self.beliefs.get(domain)
        if b is None:
            return 1.0
        if b.cut:
            return 0.0
        step = (now - b.healed_at) // STEP_US
        return STEPS[step] if step < len(STEPS) else 1.0

    def may_use(self, now: int, domain: str, code: int) -> bool:
        """Whether a member, known by a number of its own, belongs to the part in use."""
        part = self.part(now, domain)
        return part >= 1 or (code >> 8 & 0xFF) < part * 256

    def to_ask(self, now: int) -> list[str]:
        """Domains believed cut that are due to be asked by one member; they count as asked then."""
        due = [name for name, b in self.beliefs.items() if b.cut and now - b.asked_at >= ASK_US]
        for name in due:
            self.beliefs[name].asked_at = now
        return due

    def score(self, now: int, domain: str) -> float:
        """What speaks for its being cut off now, as a part of what convicts it: 0 to 1."""
        b = self.beliefs.get(domain)
        return faded(b.score, now - b.at) / BOUND if b else 0.0


def faded(score: float, span_us: int) -> float:
    return score * 0.5 ** (max(0, span_us) / HALF_LIFE_US)
