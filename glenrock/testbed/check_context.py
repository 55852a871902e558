"""What the rules of a check share: the records, the limits, and where findings go. Pure."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass

from .invariant import CheckResult, Invariant, InvariantLimits, Violation
from .records import AttemptRecord, RequestRecord, RunRecord


@dataclass(frozen=True, slots=True)
class Disturbance:
    """The time and the parties in which a fault accounts for a violation."""

    from_s: float
    to_s: float
    parties: tuple[str, ...]


class CheckContext:
    """The records of one run, by request, and the result that the rules add to."""

    def __init__(self, record: RunRecord, limits: InvariantLimits) -> None:
        self.record, self.limits = record, limits
        self.result = CheckResult()
        self.requests: dict[str, RequestRecord] = {request.request_id: request for request in record.requests}
        by_request: dict[str, list[AttemptRecord]] = defaultdict(list)
        for attempt in record.attempts:
            by_request[attempt.request_id].append(attempt)
        self.attempts = dict(by_request)

    def attempts_of(self, request_id: str) -> list[AttemptRecord]:
        """Returns the attempts of a request, in the order in which they arrived."""
        return self.attempts.get(request_id, [])

    def balancer_of(self, attempt: AttemptRecord) -> int:
        """Returns the number of the balancer that sent an attempt; -1 where no record has it."""
        request = self.requests.get(attempt.request_id)
        return request.balancer if request is not None else attempt.balancer

    def count_case(self, invariant: Invariant) -> None:
        """Counts a case in which the invariant could have been violated."""
        self.result.cases[invariant] += 1

    def is_disturbed(self, invariant: Invariant, disturbance: Disturbance) -> bool:
        """Whether a fault accounts for a violation."""
        return self.record.is_disturbed(invariant, disturbance.from_s, disturbance.to_s, disturbance.parties)

    def report(self, violation: Violation, disturbance: Disturbance | None = None) -> None:
        """Adds a violation; counts it as excused where a fault accounts for it."""
        if disturbance is not None and self.is_disturbed(violation.invariant, disturbance):
            self.result.excused[violation.invariant] += 1
        else:
            self.result.violations.append(violation)

    def report_request(
        self,
        invariant: Invariant,
        request: RequestRecord,
        at_s: float,
        text: str,
        disturbance: Disturbance | None = None,
    ) -> None:
        """Adds a violation at a request, with the records of its attempts."""
        details = tuple(self._describe(request))
        violation = Violation(invariant, at_s, text, request.request_id, request.balancer, request.server, details)
        self.report(violation, disturbance)

    def _describe(self, request: RequestRecord) -> Iterable[str]:
        yield (
            f"{request.idempotency} d={request.deadline_ms:.0f} at={request.resumes_at or '-'} "
            f"answer={request.answer!r} {request.answered_s - request.sent_s:+.3f} "
            f"end={request.end.value} {request.ended_s - request.sent_s:+.3f}"
        )
        for attempt in self.attempts_of(request.request_id):
            yield (
                f"{attempt.server} {attempt.first_byte_s - request.sent_s:+.3f} to "
                f"{attempt.ended_s - request.sent_s:+.3f} {attempt.answer or 'no answer'}"
            )
