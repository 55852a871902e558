"""Maps the history of a scenario's run to the records that invariants are checked on. Pure."""

from __future__ import annotations

from collections import Counter
from dataclasses import replace

from . import history_events as events
from . import invariants
from .history import OPEN_END_US, US_PER_S, Event, FaultInterval, History
from .history_events import EndCause, EndedBy, EventData, RequestEvent
from .history_text import encode_event
from .invariant import NEVER, CheckResult, InvariantLimits, Violation
from .records import (
    AttemptRecord,
    ConnectionEnd,
    DrainObservation,
    EffectRecord,
    FaultRecord,
    ListedRecord,
    OverloadRecord,
    OverrideRecord,
    RequestRecord,
    RunRecord,
)

MAX_DETAIL_EVENTS = 12
BALANCER_PREFIX = "balancer:"
CONNECTION_ENDS = {
    EndCause.CLOSED_BY_CLIENT: ConnectionEnd.LEFT,
    EndCause.MIGRATED: ConnectionEnd.FINISHED,
    EndCause.FINISHED: ConnectionEnd.FINISHED,
    EndCause.RESET: ConnectionEnd.RESET,
}


def check_history(history: History, limits: InvariantLimits, record: RunRecord | None = None) -> CheckResult:
    """Checks the invariants on a history; the details of each violation are the last events of its request."""
    result = invariants.check(record or records_of(history), limits)
    result.violations = [_with_events(violation, history) for violation in result.violations]
    return result


def _with_events(violation: Violation, history: History) -> Violation:
    if not violation.request_id:
        return violation
    shown = history.of_request(violation.request_id)[-MAX_DETAIL_EVENTS:]
    return replace(violation, details=tuple(encode_event(event, history.measured_from_us) for event in shown))


def records_of(history: History) -> RunRecord:
    """Returns the records of a history. Times are seconds from the beginning of the run."""
    reader = _HistoryReader()
    for event in history.events:
        reader.read(event)
    record = reader.record
    record.requests = list(reader.requests.values())
    record.faults = [_fault_record(fault) for fault in history.faults]
    return record


def _fault_record(fault: FaultInterval) -> FaultRecord:
    ended_s = NEVER if fault.end_us == OPEN_END_US else (fault.end_us + fault.settle_us) / US_PER_S
    return FaultRecord(fault.kind, fault.parties, fault.begin_us / US_PER_S, ended_s)


class _HistoryReader:
    def __init__(self) -> None:
        self.record = RunRecord()
        self.requests: dict[str, RequestRecord] = {}
        self._attempts: dict[str, list[AttemptRecord]] = {}
        self._incarnations: Counter[str] = Counter()

    def read(self, event: Event[EventData]) -> None:
        at_s = event.at_us / US_PER_S
        match event.data:
            case events.ServerOverloaded() as overload:
                record = OverloadRecord(event.party, at_s, overload.request_id, overload.balancer)
                self.record.overloads.append(record)
            case events.AttemptReceived() | events.AttemptUp() | events.AttemptEnded() as attempt:
                self._read_attempt(event.party, attempt, at_s)
            case RequestEvent() as request:
                self._read_client(request, at_s)
            case operation:
                self._read_operation(operation, at_s)
                self._read_process(event.party, operation, at_s)

    # -- clients ---------------------------------------------------------------------------------------

    def _request(self, data: RequestEvent) -> RequestRecord:
        if data.request_id not in self.requests:
            self.requests[data.request_id] = RequestRecord(data.request_id, data.balancer, 0.0)
        return self.requests[data.request_id]

    def _read_client(self, data: RequestEvent, at_s: float) -> None:
        request = self._request(data)
        match data:
            case events.RequestSent():
                request.sent_s, request.deadline_ms = at_s, data.deadline_ms
                request.resumes_at = data.resumes_at
            case events.RequestAnswered():
                request.answers += 1
                if request.answers == 1:
                    request.answer, request.answered_s = data.answer, at_s
                    request.server = data.server or ""
            case events.ClosedUnanswered():
                request.end = ConnectionEnd.FINISHED
            case events.RequestGivenUp():
                request.gave_up_s = at_s
            case events.ClientLeft():
                request.left_s = at_s
            case events.ConnectionEnded():
                self._read_end(request, data.cause, at_s)
            case _:
                return

    def _read_end(self, request: RequestRecord, cause: EndCause, at_s: float) -> None:
        request.ended_s, request.is_migrated = at_s, cause is EndCause.MIGRATED
        request.end = CONNECTION_ENDS[cause]
        if request.end is ConnectionEnd.LEFT:
            request.left_s = at_s

    # -- session servers -------------------------------------------------------------------------------

    def _read_attempt(
        self, server: str, data: events.AttemptReceived | events.AttemptUp | events.AttemptEnded, at_s: float
    ) -> None:
        attempts = self._attempts.setdefault(data.request_id, [])
        if isinstance(data, events.AttemptReceived):
            attempts.append(self._add_attempt(server, data, at_s, data.is_resumed))
            return
        attempt = next((found for found in attempts if found.server == server and found.ended_s == NEVER), None)
        if isinstance(data, events.AttemptUp):
            if attempt is not None:
                attempt.up_s = at_s
            return
        if attempt is None:  # its request line was not seen
            attempt = self._add_attempt(server, data, at_s)
            attempt.up_s = at_s
        attempt.ended_s = at_s
        # An end that the client saw before the server's end has another cause.
        request = self.requests.get(data.request_id)
        is_first = request is None or request.ended_s == NEVER
        attempt.ended_by_server = data.ended_by is EndedBy.SERVER and is_first

    def _add_attempt(self, server: str, data: RequestEvent, at_s: float, is_resumed: bool = False) -> AttemptRecord:
        attempt = AttemptRecord(data.request_id, server, is_resumed, at_s, at_s, data.balancer)
        self.record.attempts.append(attempt)
        return attempt

    # -- operators, the front end and discovery --------------------------------------------------------

    def _read_operation(self, data: EventData, at_s: float) -> None:
        match data:
            case events.DrainObserved():
                self.record.drains.append(DrainObservation(data.balancer, at_s))
            case events.OverrideRequested():
                self.record.overrides.append(OverrideRecord(data.server, data.is_suspended, at_s))
            case events.OverrideAnswered():
                self.record.overrides.append(OverrideRecord(data.server, data.is_suspended, at_s, data.status))
            case events.ServerListed():
                self.record.listed.append(ListedRecord(data.balancer, data.server, data.status, at_s))
            case _:
                return

    # -- processes -------------------------------------------------------------------------------------

    def _read_process(self, party: str, data: EventData, at_s: float) -> None:
        match data:
            case events.BalancerStarted():
                self._incarnations[party] += 1
            case events.ServerStarted():
                self.record.server_starts += 1
            case events.EffectAcknowledged():
                self.record.effects.append(self._effect(party, data, at_s))
            case events.LineLogged():
                number = int(party.removeprefix(BALANCER_PREFIX))
                self.record.log_lines[number].append(data.text)
            case _:
                return

    def _effect(self, receiver: str, data: events.EffectAcknowledged, at_s: float) -> EffectRecord:
        return EffectRecord(
            receiver,
            self._incarnations[receiver],
            data.job,
            data.term,
            data.number,
            data.is_accepted,
            data.highest_term,
            data.order,
            at_s,
        )
