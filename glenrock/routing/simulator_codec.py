"""The simulator's wire: decodes lines into events, and encodes actions as lines."""

from __future__ import annotations

import json
from collections.abc import Callable
from math import isfinite
from typing import assert_never

from .interface import (
    Action,
    AttemptEnded,
    AttemptOutcome,
    CancelAttempt,
    ClientDisconnected,
    ConnectionEstablished,
    ConnectionFeedback,
    Endpoint,
    EndpointListKind,
    EndpointState,
    Event,
    Fail,
    GossipReceived,
    HealthCheckResult,
    Migrate,
    OpenConnection,
    Reject,
    Request,
    SendGossip,
    SendHealthCheck,
    SetTimer,
    Settings,
    StartAttempt,
    TimerFired,
    WatchEndpoints,
)
from .settings_codec import report_field, settings_of

OUTCOMES: dict[str, AttemptOutcome] = {
    "delivered": AttemptOutcome.SERVED,
    "app_error": AttemptOutcome.ERROR,
    "shed": AttemptOutcome.FULL,
    "expired": AttemptOutcome.TIMEOUT,
    "dial_failed": AttemptOutcome.NO_CONNECTION,
    "dropped": AttemptOutcome.BROKEN,
    "revoked": AttemptOutcome.CANCELLED,
    "unused": AttemptOutcome.UNSENT,
}
STATES: dict[str, EndpointState] = {
    "Ready": EndpointState.READY,
    "Terminating": EndpointState.DRAINING,
    "Gone": EndpointState.GONE,
}
LIST_KINDS: dict[str, EndpointListKind] = {
    "Partial": EndpointListKind.CHANGES,
    "Complete": EndpointListKind.FULL,
    "Persisted": EndpointListKind.CACHED,
    "Error": EndpointListKind.FAILED,
}
TEXT_FIELDS = ("profileData", "message")  # their values extend to the end of the line
LOAD_NOTE = 1  # its amount is a load
DELAY_NOTE = 2  # its amount is the time of a message in milliseconds
MAX_DIGITS = 20
MAX_QUOTED_CHARS = 40  # of the input, in the text of an error


class WireError(ValueError):
    """The input violates the form of the wire."""


class Fields:
    """The `name=value` pairs of a line. Reading a missing or malformed field raises WireError."""

    __slots__ = ("_values",)

    def __init__(self, text: str) -> None:
        self._values = _values_of(text)

    def __contains__(self, name: str) -> bool:
        """Whether the line has that field."""
        return name in self._values

    def text(self, name: str) -> str:
        """Returns the field's value. Raises WireError if it is missing."""
        try:
            return self._values[name]
        except KeyError:
            raise WireError(f"missing field {name}") from None

    def text_or(self, name: str, default: str) -> str:
        """Returns the field's value, or the default if it is missing."""
        return self._values.get(name, default)

    def number(self, name: str) -> int:
        """Returns a whole number. Raises WireError if it is missing or malformed."""
        text = self.text(name)
        digits = text[1:] if text[:1] == "-" else text
        if not (digits.isdigit() and digits.isascii()) or len(digits) > MAX_DIGITS:
            raise WireError(f"{name} is not a whole number: {text[:MAX_QUOTED_CHARS]!r}")
        return int(text)

    def number_or(self, name: str, default: int) -> int:
        """Returns a whole number, or the default if it is missing."""
        return self.number(name) if name in self._values else default

    def optional_number(self, name: str) -> int | None:
        """Returns a whole number, or None if it is missing."""
        return self.number(name) if name in self._values else None

    def flag(self, name: str) -> bool:
        """Returns whether the field is 1; a missing field counts as 0."""
        text = self._values.get(name, "0")
        if text not in ("0", "1"):
            raise WireError(f"{name} is neither 0 nor 1: {text[:MAX_QUOTED_CHARS]!r}")
        return text == "1"


def _values_of(text: str) -> dict[str, str]:
    for name in TEXT_FIELDS:
        at = text.find(name + "=")
        if at == 0 or (at > 0 and text[at - 1] == " "):
            values = _values_of(text[: at - 1]) if at > 0 else {}
            values[name] = text[at + len(name) + 1 :]
            return values
    try:
        return dict([part.split("=", 1) for part in text.split(" ")]) if text else {}
    except ValueError:
        raise WireError(f"expected name=value, got {text[:MAX_QUOTED_CHARS]!r}") from None


def _real(text: str, name: str) -> float:
    try:
        value = float(text)
    except ValueError:
        raise WireError(f"{name} is not a number: {text[:MAX_QUOTED_CHARS]!r}") from None
    if not isfinite(value):
        raise WireError(f"{name} is not finite: {text[:MAX_QUOTED_CHARS]!r}")
    return value


# -- events ------------------------------------------------------------------------------------------


def settings_from(fields: Fields) -> Settings:
    """Decodes the settings of a starting balancer."""
    try:
        return settings_of(json.loads(fields.text("profileData")))
    except WireError:
        raise
    except ValueError as error:  # SettingsError, or malformed JSON
        raise WireError(f"profileData: {error}") from error


def endpoint_from(fields: Fields) -> Endpoint:
    """Decodes a row of the endpoint list.

    An unknown state, of a later version of the wire, counts as draining, the cautious assumption.
    """
    return Endpoint(
        server_id=fields.text("server"),
        state=STATES.get(fields.text_or("availability", "Ready"), EndpointState.DRAINING),
        zone=fields.text_or("area", ""),
        cell=fields.number_or("unitGroup", 0),
        size=_real(fields.text_or("units", "1"), "units"),
        started_us=fields.number_or("lastStartUs", 0),
    )


def list_kind_from(fields: Fields) -> EndpointListKind:
    """Decodes the kind of an endpoint list. Raises WireError if it is unknown."""
    word = fields.text("kind")
    kind = LIST_KINDS.get(word)
    if kind is None:
        raise WireError(f"unknown topology kind {word[:MAX_QUOTED_CHARS]!r}")
    return kind


def _request_from(fields: Fields) -> Request:
    return _request_with_deadline(fields, fields.number("deadlineUs"))


def _open_connection_from(fields: Fields) -> OpenConnection:
    request = _request_with_deadline(fields, fields.number_or("deadlineUs", 0))
    return OpenConnection(request, fields.text("server"))


def _request_with_deadline(fields: Fields, deadline_us: int) -> Request:
    return Request(
        request_id=fields.text("msgId"),
        class_name=fields.text("service"),
        deadline_us=deadline_us,
        key=fields.optional_number("item"),
        group=fields.optional_number("channel"),
        tenant=fields.text_or("project", ""),
        load=fields.number_or("sizeHintUs", 0),
        is_returning=fields.flag("reconnect"),
        is_midstream=fields.flag("midflow"),
    )


def _established_from(fields: Fields) -> ConnectionEstablished:
    return ConnectionEstablished(
        request_id=fields.text("msgId"),
        attempt_number=fields.number("shot"),
        server_id=fields.text("server"),
        latency_us=fields.number_or("latencyUs", 0),
    )


def _feedback_from(fields: Fields) -> ConnectionFeedback:
    amount = _real(fields.text("amount"), "amount")
    sort = fields.number("sort")
    return ConnectionFeedback(
        request_id=fields.text("msgId"),
        server_id=fields.text("server"),
        load=amount if sort == LOAD_NOTE else None,
        message_us=amount * 1000 if sort == DELAY_NOTE else None,
    )


def _attempt_ended_from(fields: Fields) -> AttemptEnded:
    return AttemptEnded(
        request_id=fields.text("msgId"),
        attempt_number=fields.number("shot"),
        server_id=fields.text("server"),
        outcome=_outcome_from(fields),
        is_final=fields.flag("doneFlag"),
        latency_us=fields.number_or("latencyUs", 0),
        report=_report_from(fields),
    )


def _health_check_result_from(fields: Fields) -> HealthCheckResult:
    return HealthCheckResult(
        server_id=fields.text("server"),
        outcome=_outcome_from(fields),
        latency_us=fields.number_or("latencyUs", 0),
        report=_report_from(fields),
    )


def _outcome_from(fields: Fields) -> AttemptOutcome:
    """Decodes an outcome.

    An unknown one, of a later version of the wire, counts as an error after which the request may have
    executed, the cautious assumption.
    """
    return OUTCOMES.get(fields.text("verdict"), AttemptOutcome.ERROR)


def _report_from(fields: Fields) -> dict[str, float]:
    text = fields.text_or("gauge", "")
    report: dict[str, float] = {}
    if text and text != "-":
        for part in text.split(","):
            name, colon, value = part.partition(":")
            if not colon:
                raise WireError(f"gauge is not name:value pairs: {text[:MAX_QUOTED_CHARS]!r}")
            report[report_field(name)] = _real(value, "gauge")
    return report


def _gossip_from(fields: Fields) -> GossipReceived:
    raw = fields.text("raw")
    try:
        return GossipReceived(fields.number("src"), b"" if raw == "-" else bytes.fromhex(raw))
    except WireError:
        raise
    except ValueError:
        raise WireError(f"raw is not hex: {raw[:MAX_QUOTED_CHARS]!r}") from None


EVENTS: dict[str, Callable[[Fields], Event]] = {
    "call": _request_from,
    "inherited": _open_connection_from,
    "streaming": _established_from,
    "note": _feedback_from,
    "outcome": _attempt_ended_from,
    "aborted": lambda fields: ClientDisconnected(fields.text("msgId")),
    "reminder": lambda fields: TimerFired(fields.number("ref")),
    "health_result": _health_check_result_from,
    "message": _gossip_from,
}
"""Decoders of events, by the first word of the line."""


# -- actions -----------------------------------------------------------------------------------------


def line_of(balancer: int, action: Action) -> str:
    """Encodes an action as a line of the reply."""
    match action:
        case StartAttempt(request_id, server_id, timeout_us):
            return f"issue balancer={balancer} msgId={request_id} server={server_id} limitUs={timeout_us}"
        case SetTimer(at_us, timer_id):
            return f"timer balancer={balancer} timeUs={at_us} ref={timer_id}"
        case SendHealthCheck(server_id):
            return f"inspect balancer={balancer} server={server_id}"
        case Reject(request_id, retry_after_us):
            return f"refuse balancer={balancer} msgId={request_id} stayAwayUs={retry_after_us}"
        case Fail(request_id):
            return f"error balancer={balancer} msgId={request_id}"
        case CancelAttempt(request_id, attempt):
            return f"revoke balancer={balancer} msgId={request_id} shot={attempt}"
        case Migrate(request_id):
            return f"go_away balancer={balancer} msgId={request_id}"
        case SendGossip(data):
            return f"notify balancer={balancer} target=-1 raw={data.hex() or '-'}"
        case WatchEndpoints():
            return f"listen balancer={balancer} on=1"
    assert_never(action)
