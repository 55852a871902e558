"""Maps the history of a scenario's run to the records that invariants are checked on. Pure."""

from __future__ import annotations

from collections import Counter
from dataclasses import replace

from . import invariants
from .history import OPEN_END_US, US_PER_S, Event, EventKind, FaultInterval, History
from .invariant import NEVER, CheckResult, InvariantLimits, Violation
from .records import (
    CLIENTS,
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
SERVER_PREFIX, BALANCER_PREFIX = "instance:", "balancer:"
ENDS = {"eof": ConnectionEnd.FINISHED, "reset": ConnectionEnd.RESET, "moved": ConnectionEnd.FINISHED}


def check_history(history: History, limits: InvariantLimits, record: RunRecord | None = None) -> CheckResult:
    """Checks the invariants on a history; the details of each violation are the last events of its request."""
    result = invariants.check(record or records_of(history), limits)
    result.violations = [_with_events(violation, history) for violation in result.violations]
    return result


def _with_events(violation: Violation, history: History) -> Violation:
    if not violation.request_id:
        return violation
    events = history.of_request(violation.request_id)[-MAX_DETAIL_EVENTS:]
    return replace(violation, details=tuple(event.text(history.measured_from_us) for event in events))


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

    def read(self, event: Event) -> None:
        if event.party == CLIENTS:
            self._read_client(event)
        elif event.kind in (EventKind.ATTEMPT_RECEIVED, EventKind.ATTEMPT_UP, EventKind.ATTEMPT_ENDED):
            self._read_attempt(event)
        elif event.kind in (EventKind.OVERRIDE_REQUESTED, EventKind.OVERRIDE_ANSWERED, EventKind.BALANCER_DRAINS):
            self._read_operation(event)
        else:
            self._read_process(event)

    # -- clients ---------------------------------------------------------------------------------------

    def _request(self, event: Event) -> RequestRecord:
        if event.request_id not in self.requests:
            balancer = int(event.data.get("balancer", -1))
            self.requests[event.request_id] = RequestRecord(event.request_id, balancer, 0.0)
        return self.requests[event.request_id]

    def _read_client(self, event: Event) -> None:
        request, at_s = self._request(event), event.at_us / US_PER_S
        match event.kind:
            case EventKind.SENT:
                request.sent_s, request.deadline_ms = at_s, event.data["d_ms"]
                request.resumes_at = event.data.get("at", "")
            case EventKind.ANSWERED:
                request.answers += 1
                if request.answers == 1:
                    request.answer, request.answered_s = event.data["answer"], at_s
                    request.server = event.data.get("instance", "")
            case EventKind.CLOSED_UNANSWERED:
                request.end = ConnectionEnd.FINISHED
            case EventKind.GAVE_UP:
                request.gave_up_s = at_s
            case EventKind.LEFT:
                request.left_s = at_s
            case EventKind.CONNECTION_ENDED:
                self._read_end(request, event.data["how"], at_s)
            case _:
                return

    def _read_end(self, request: RequestRecord, how: str, at_s: float) -> None:
        request.ended_s, request.is_migrated = at_s, how == "moved"
        request.end = ENDS.get(how, ConnectionEnd.LEFT)
        if request.end is ConnectionEnd.LEFT:
            request.left_s = at_s

    # -- session servers -------------------------------------------------------------------------------

    def _read_attempt(self, event: Event) -> None:
        at_s = event.at_us / US_PER_S
        attempts = self._attempts.setdefault(event.request_id, [])
        if event.kind == EventKind.ATTEMPT_RECEIVED:
            attempts.append(self._add_attempt(event, at_s))
            return
        attempt = next((found for found in attempts if found.server == event.party and found.ended_s == NEVER), None)
        if event.kind == EventKind.ATTEMPT_UP:
            if attempt is not None:
                attempt.up_s = at_s
            return
        if attempt is None:  # its request line was not seen
            attempt = self._add_attempt(event, at_s)
            attempt.up_s = at_s
        attempt.ended_s = at_s
        # An end that the client saw before the server's end has another cause.
        request = self.requests.get(event.request_id)
        is_first = request is None or request.ended_s == NEVER
        attempt.ended_by_server = event.data.get("by") == "self" and is_first

    def _add_attempt(self, event: Event, at_s: float) -> AttemptRecord:
        balancer = int(event.data.get("balancer", -1))
        is_resumed = bool(event.data.get("at", False))
        attempt = AttemptRecord(event.request_id, event.party, is_resumed, at_s, at_s, balancer)
        self.record.attempts.append(attempt)
        return attempt

    # -- operators and the front end -------------------------------------------------------------------

    def _read_operation(self, event: Event) -> None:
        at_s, data = event.at_us / US_PER_S, event.data
        if event.kind == EventKind.BALANCER_DRAINS:
            self.record.drains.append(DrainObservation(data["balancer"], at_s))
        else:
            self.record.overrides.append(OverrideRecord(data["instance"], data["out"], at_s, data.get("status")))

    # -- processes and discovery -----------------------------------------------------------------------

    def _read_process(self, event: Event) -> None:
        at_s, data = event.at_us / US_PER_S, event.data
        match event.kind:
            case EventKind.STARTED:
                self._incarnations[event.party] += 1
                self.record.server_starts += event.party.startswith(SERVER_PREFIX)
            case EventKind.OVERLOADED:
                overload = OverloadRecord(event.party, at_s, event.request_id, int(data.get("balancer", -1)))
                self.record.overloads.append(overload)
            case EventKind.LISTED:
                self.record.listed.append(ListedRecord(data["balancer"], data["instance"], data["status"], at_s))
            case EventKind.EFFECT_ACKNOWLEDGED:
                self.record.effects.append(self._effect(event, at_s))
            case EventKind.LOG_LINE:
                number = int(event.party.removeprefix(BALANCER_PREFIX))
                self.record.log_lines[number].append(str(data["text"]))
            case _:
                return

    def _effect(self, event: Event, at_s: float) -> EffectRecord:
        data = event.data
        return EffectRecord(
            event.party,
            self._incarnations[event.party],
            data["job"],
            data["term"],
            data["number"],
            data["ok"],
            data["seen"],
            data["order"],
            at_s,
        )
