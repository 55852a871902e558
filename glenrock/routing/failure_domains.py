"""Detects partitioned failure domains by a sequential test with stated error rates.

A domain, such as a zone, is partitioned if the link to it is cut, so that none of its members can be reached.
Single dead members are normal and are no partition. Each domain is tested by a CUSUM detector: Wald's
sequential probability ratio test in Page's form. The log-likelihood ratio of "partitioned" to "healthy" is
summed over the evidence, kept at 0 or above, and compared with a threshold that follows from the error rates.
(Wald 1945, Sequential Tests of Statistical Hypotheses; Page 1954, Continuous Inspection Schemes.)

A member's failures count once per window, so that failures of one dead member in quick succession do not add
up to a partition. Over several windows they do add up, unless another member is reached. The score of a
domain decays while there is no evidence. Times are microseconds.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from math import log
from typing import NamedTuple

from .event_batch import NEVER_US

HEALTHY_FAILURE_PROBABILITY = 0.03  # probability that a member of a healthy domain fails
PARTITIONED_FAILURE_PROBABILITY = 0.97  # probability that a member of a partitioned domain fails
FALSE_ALARM_RATE = 0.0005  # target probability that a healthy domain reaches the threshold
MISSED_DETECTION_RATE = 0.05  # target probability that a partitioned domain does not reach it
EVIDENCE_WINDOW_US = 1_000_000  # failures of a member count once in this time
SCORE_HALF_LIFE_US = 4_000_000  # while there is no evidence
EVIDENCE_TIMEOUT_US = 10_000_000  # a partition without evidence for this long is assumed to be over
HEALTH_CHECK_INTERVAL_US = 500_000  # between checks of a partitioned domain
RECOVERY_STEP_US = 700_000  # duration of one step of the recovery ramp
RECOVERY_FRACTIONS = (0.25, 0.5, 0.75)  # usable fraction of the members in each step of the recovery ramp

FAILURE_LOG_RATIO = log(PARTITIONED_FAILURE_PROBABILITY / HEALTHY_FAILURE_PROBABILITY)
REACHABLE_LOG_RATIO = log((1 - PARTITIONED_FAILURE_PROBABILITY) / (1 - HEALTHY_FAILURE_PROBABILITY))
PARTITION_THRESHOLD = log((1 - MISSED_DETECTION_RATE) / FALSE_ALARM_RATE)


@dataclass(slots=True)
class DomainState:
    """The state of one domain's test.

    Attributes:
        score: summed log-likelihood ratio of "partitioned" to "healthy"; at least 0.
        updated_at_us: when the score was last updated by evidence.
        is_partitioned: the score has reached the threshold, and no member has been reached since.
        recovered_at_us: end of the last partition, at which the recovery ramp starts.
        checked_at_us: time of the last health check during a partition.
        failure_counted_at_us: when a failure of each member last counted, by member.
    """

    score: float = 0.0
    updated_at_us: int = 0
    is_partitioned: bool = False
    recovered_at_us: int = NEVER_US
    checked_at_us: int = NEVER_US
    failure_counted_at_us: dict[str, int] = field(default_factory=dict)


@dataclass(slots=True)
class BatchEvidence:
    """The evidence on one domain in a batch.

    Attributes:
        was_reached: a member was reached.
        failed: members that failed, in order and without duplicates; the values are unused.
    """

    was_reached: bool = False
    failed: dict[str, None] = field(default_factory=dict)


class DomainChange(NamedTuple):
    """The start or the end of a partition."""

    domain: str
    is_partitioned: bool


class FailureDomains:
    """The state of all failure domains, as observed by one balancer.

    Evidence is collected until `evaluate` is called, once per batch. The order of the evidence within a batch
    does not matter: if any member was reached, the failures of the batch are ignored.

    Attributes:
        states: domains with at least one recorded failure, by name.
        changes: partitions that started or ended in the last batch.
    """

    def __init__(self) -> None:
        self.states: dict[str, DomainState] = {}
        self._evidence: dict[str, BatchEvidence] = {}
        self.changes: list[DomainChange] = []

    def record(self, domain: str, member: str, is_reachable: bool) -> None:
        """Records that a member was or was not reached."""
        evidence = self._evidence.setdefault(domain, BatchEvidence())
        if is_reachable:
            evidence.was_reached = True
        else:
            evidence.failed[member] = None

    def evaluate(self, now_us: int) -> list[str]:
        """Evaluates the evidence since the last call. Returns the domains whose state changed."""
        changed = [
            domain
            for domain, evidence in self._evidence.items()
            if self._evaluate_domain(domain, evidence, now_us)
        ]
        self._evidence.clear()
        for domain, state in self.states.items():
            if state.is_partitioned and now_us - state.updated_at_us >= EVIDENCE_TIMEOUT_US:
                _end_partition(state, now_us)
                changed.append(domain)
        self.changes = [DomainChange(domain, self.states[domain].is_partitioned) for domain in changed]
        return changed

    def is_partitioned(self, domain: str) -> bool:
        """Returns whether the domain is partitioned."""
        state = self.states.get(domain)
        return state is not None and state.is_partitioned

    def usable_fraction(self, now_us: int, domain: str) -> float:
        """Returns the fraction of the domain's members that may be used."""
        state = self.states.get(domain)
        if state is None:
            return 1.0
        if state.is_partitioned:
            return 0.0
        step = (now_us - state.recovered_at_us) // RECOVERY_STEP_US
        return RECOVERY_FRACTIONS[step] if step < len(RECOVERY_FRACTIONS) else 1.0

    def has_restrictions(self, now_us: int) -> bool:
        """Returns whether any domain has members that may not be used."""
        return any(self.usable_fraction(now_us, domain) < 1 for domain in self.states)

    def may_use(self, now_us: int, domain: str, member_hash: int) -> bool:
        """Returns whether a member belongs to the usable fraction of its domain, as decided by its hash."""
        fraction = self.usable_fraction(now_us, domain)
        return fraction >= 1 or (member_hash >> 8 & 0xFF) < fraction * 256

    def due_health_checks(self, now_us: int) -> list[str]:
        """Returns the partitioned domains whose next health check is due, and marks the checks as sent."""
        due = [
            domain
            for domain, state in self.states.items()
            if state.is_partitioned and now_us - state.checked_at_us >= HEALTH_CHECK_INTERVAL_US
        ]
        for domain in due:
            self.states[domain].checked_at_us = now_us
        return due

    def score_fraction(self, now_us: int, domain: str) -> float:
        """Returns the present score as a fraction of the threshold, from 0 to 1."""
        state = self.states.get(domain)
        return (
            decayed_score(state.score, now_us - state.updated_at_us) / PARTITION_THRESHOLD if state else 0.0
        )

    def _evaluate_domain(self, domain: str, evidence: BatchEvidence, now_us: int) -> bool:
        """Evaluates the evidence on one domain. Returns whether a partition started or ended."""
        if evidence.was_reached:
            state = self.states.get(domain)
            return state is not None and _record_reachable(state, now_us)
        state = self.states.setdefault(domain, DomainState(updated_at_us=now_us))
        return _record_failures(state, now_us, evidence.failed)


def _record_reachable(state: DomainState, now_us: int) -> bool:
    """Records that a member was reached, which ends a partition. Returns whether there was one."""
    state.score = max(0.0, state.score + REACHABLE_LOG_RATIO)
    state.updated_at_us = now_us
    state.failure_counted_at_us.clear()
    if not state.is_partitioned:
        return False
    _end_partition(state, now_us)
    return True


def _end_partition(state: DomainState, now_us: int) -> None:
    """Ends the partition and starts the recovery ramp."""
    state.is_partitioned = False
    state.recovered_at_us = now_us
    state.score = 0.0


def _record_failures(state: DomainState, now_us: int, members: Iterable[str]) -> bool:
    """Adds failures to the score. Returns whether a partition starts."""
    newly_counted = [
        member
        for member in members
        if now_us - state.failure_counted_at_us.get(member, -EVIDENCE_WINDOW_US) >= EVIDENCE_WINDOW_US
    ]
    if not newly_counted:
        return False
    recent = {
        member: at for member, at in state.failure_counted_at_us.items() if now_us - at < EVIDENCE_WINDOW_US
    }
    state.failure_counted_at_us = recent | dict.fromkeys(newly_counted, now_us)
    score = decayed_score(state.score, now_us - state.updated_at_us) + FAILURE_LOG_RATIO * len(newly_counted)
    state.score = min(PARTITION_THRESHOLD, score)
    state.updated_at_us = now_us
    was_partitioned = state.is_partitioned
    state.is_partitioned = was_partitioned or state.score >= PARTITION_THRESHOLD
    return state.is_partitioned and not was_partitioned


def decayed_score(score: float, span_us: int) -> float:
    """Returns the score after a time span without evidence."""
    factor: float = 0.5 ** (max(0, span_us) / SCORE_HALF_LIFE_US)
    return score * factor
