"""Whether the link to a failure domain is cut, each by a sequential test with stated error rates.

One server that fails says little of its zone's link; three of one zone that fail within a second, with none
of that zone answering, say that the link is cut. Each domain is tested by Wald's sequential probability ratio
test in Page's form: the log of the likelihood ratio is summed, never below 0, until it passes the bound that
the wanted error rates set. (Wald 1945, Sequential Tests of Statistical Hypotheses; Page 1954, Continuous
Inspection Schemes.)

Evidence counts once for each member and window, so that a single dead member, tried again and again, convicts
nobody but itself. Without evidence a score halves again and again. Times are microseconds.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from math import log
from typing import NamedTuple

HEALTHY_FAILURE_PROBABILITY = 0.03  # chance that a member of a sound domain is found out of reach, by itself
PARTITIONED_FAILURE_PROBABILITY = 0.97  # and of one that is cut off
FALSE_ALARM_RATE, MISSED_RATE = 0.0005, 0.05  # wanted rates: a sound domain convicted, a cut one not
WINDOW_US = 1_000_000  # a member's evidence counts once in this time
HALF_LIFE_US = 4_000_000  # of a score without evidence
EVIDENCE_TIMEOUT_US = 10_000_000  # a domain taken for cut is tried again after this without evidence
HEALTH_CHECK_INTERVAL_US = 500_000  # a domain taken for cut is asked this often
RECOVERY_STEP_US = 700_000  # it is taken back in steps of this length
RECOVERY_FRACTIONS = (0.25, 0.5, 0.75)  # the parts of its members in use in the first ones

FAILURE_LOG_RATIO = log(PARTITIONED_FAILURE_PROBABILITY / HEALTHY_FAILURE_PROBABILITY)
ANSWER_LOG_RATIO = log((1 - PARTITIONED_FAILURE_PROBABILITY) / (1 - HEALTHY_FAILURE_PROBABILITY))
PARTITION_BOUND = log((1 - MISSED_RATE) / FALSE_ALARM_RATE)
NEVER_US = -(1 << 60)


@dataclass(slots=True)
class DomainState:
    """The test of one domain.

    Attributes:
        score: log of the likelihood ratio, cut off over sound; at least 0.
        is_partitioned: the domain is taken for cut off.
        recovered_us: it answered again then, and is being taken back.
        evidence_us: members whose evidence counted, and when.
    """

    score: float = 0.0
    updated_us: int = 0
    is_partitioned: bool = False
    recovered_us: int = NEVER_US
    asked_us: int = NEVER_US
    evidence_us: dict[str, int] = field(default_factory=dict)


class DomainChange(NamedTuple):
    """A domain is taken for cut off from now on, or no longer."""

    domain: str
    is_partitioned: bool


class FailureDomains:
    """All domains of one balancer, by name.

    What is seen is kept until `evaluate`, once a batch, so that the order within a batch does not matter: an
    answer in it outweighs all failures in it.

    Attributes:
        changes: what the last batch turned.
    """

    def __init__(self) -> None:
        self.states: dict[str, DomainState] = {}
        # By domain: members out of reach, or None where one answered.
        self._evidence: dict[str, dict[str, None] | None] = {}
        self.changes: list[DomainChange] = []

    def record(self, domain: str, member: str, answered: bool) -> None:
        """Evidence: a member answered, or was out of reach."""
        if answered:
            self._evidence[domain] = None
            return
        members = self._evidence.setdefault(domain, {})
        if members is not None:
            members[member] = None

    def evaluate(self, now_us: int) -> list[str]:
        """Takes in the evidence since the last call. Returns the domains that turned."""
        turned = [
            domain for domain, members in self._evidence.items() if self._weigh(domain, members, now_us)
        ]
        self._evidence.clear()
        for domain, state in self.states.items():
            if (
                state.is_partitioned and now_us - state.updated_us >= EVIDENCE_TIMEOUT_US
            ):  # nobody speaks for it any more
                state.is_partitioned = False
                state.recovered_us = now_us
                state.score = 0.0
                turned.append(domain)
        self.changes = [DomainChange(domain, self.states[domain].is_partitioned) for domain in turned]
        return turned

    def is_partitioned(self, domain: str) -> bool:
        """Whether the domain is taken for cut off."""
        state = self.states.get(domain)
        return state is not None and state.is_partitioned

    def usable_fraction(self, now_us: int, domain: str) -> float:
        """The part of its members that may be used: 0 while it is taken for cut, 1 if nothing speaks so."""
        state = self.states.get(domain)
        if state is None:
            return 1.0
        if state.is_partitioned:
            return 0.0
        step = (now_us - state.recovered_us) // RECOVERY_STEP_US
        return RECOVERY_FRACTIONS[step] if step < len(RECOVERY_FRACTIONS) else 1.0

    def restricts(self, now_us: int) -> bool:
        """Whether there is a domain of which not all may be used."""
        return any(self.usable_fraction(now_us, domain) < 1 for domain in self.states)

    def may_use(self, now_us: int, domain: str, member_hash: int) -> bool:
        """Whether a member, known by a hash of its own, belongs to the part in use."""
        share = self.usable_fraction(now_us, domain)
        return share >= 1 or (member_hash >> 8 & 0xFF) < share * 256

    def due_health_checks(self, now_us: int) -> list[str]:
        """Domains taken for cut that are due to be asked by one member; they count as asked then."""
        due = [
            domain
            for domain, state in self.states.items()
            if state.is_partitioned and now_us - state.asked_us >= HEALTH_CHECK_INTERVAL_US
        ]
        for domain in due:
            self.states[domain].asked_us = now_us
        return due

    def suspicion(self, now_us: int, domain: str) -> float:
        """What speaks for its being cut off now, as a part of what convicts it: 0 to 1."""
        state = self.states.get(domain)
        return decayed_score(state.score, now_us - state.updated_us) / PARTITION_BOUND if state else 0.0

    def _weigh(self, domain: str, members: dict[str, None] | None, now_us: int) -> bool:
        """Takes in a domain's evidence. True where it turned."""
        if members is None:
            state = self.states.get(domain)
            return state is not None and _record_answer(state, now_us)
        state = self.states.setdefault(domain, DomainState(updated_us=now_us))
        return _record_failures(state, now_us, members)


def _record_answer(state: DomainState, now_us: int) -> bool:
    """Any answer proves the link to be whole. True where it was taken for cut."""
    state.score = max(0.0, state.score + ANSWER_LOG_RATIO)
    state.updated_us = now_us
    state.evidence_us.clear()
    if not state.is_partitioned:
        return False
    state.is_partitioned = False
    state.recovered_us = now_us
    state.score = 0.0
    return True


def _record_failures(state: DomainState, now_us: int, members: dict[str, None]) -> bool:
    """Members were out of reach. True where the domain is taken for cut from now on."""
    fresh = [member for member in members if now_us - state.evidence_us.get(member, -WINDOW_US) >= WINDOW_US]
    if not fresh:
        return False
    recent = {member: at for member, at in state.evidence_us.items() if now_us - at < WINDOW_US}
    state.evidence_us = recent | dict.fromkeys(fresh, now_us)
    score = decayed_score(state.score, now_us - state.updated_us) + FAILURE_LOG_RATIO * len(fresh)
    state.score = min(PARTITION_BOUND, score)
    state.updated_us = now_us
    was_cut = state.is_partitioned
    state.is_partitioned = was_cut or state.score >= PARTITION_BOUND
    return state.is_partitioned and not was_cut


def decayed_score(score: float, span_us: int) -> float:
    """What is left of a score after a time without evidence."""
    factor: float = 0.5 ** (max(0, span_us) / HALF_LIFE_US)
    return score * factor
