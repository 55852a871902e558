"""The line protocol of the simulator: decodes lines into events, and encodes actions as lines."""

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
from .settings_codec import decode_settings, report_field

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
TEXT_FIELDS = ("profileData", "message")  # their values may contain spaces, and extend to the end of the line
LOAD_FEEDBACK = 1  # a `note` with this `sort` has a load as its amount
DELAY_FEEDBACK = 2  # a `note` with this `sort` has the duration of a message in milliseconds as its amount
MAX_DIGITS = 20
MAX_QUOTED_CHARS = 40  # of the input in an error message
US_PER_MS = 1000


class WireError(ValueError):
    """A line violates the simulator's protocol."""


class Fields:
    """The `name=value` pairs of a line, with accessors that check their types."""

    __slots__ = ("_values",)

    def __init__(self, text: str) -> None:
        self._values = _parse_pairs(text)

    def __contains__(self, name: str) -> bool:
        """Whether the line has the field."""
        return name in self._values

    def text(self, name: str) -> str:
        """Returns the value of a field. Raises WireError if the field is missing."""
        try:
            return self._values[name]
        except KeyError:
            raise WireError(f"missing field {name}") from None

    def text_or(self, name: str, default: str) -> str:
        """Returns the value of a field, or the default if the field is missing."""
        return self._values.get(name, default)

    def number(self, name: str) -> int:
        """Returns a whole number. Raises WireError if the field is missing or malformed."""
        text = self.text(name)
        digits = text[1:] if text[:1] == "-" else text
        if not (digits.isdigit() and digits.isascii()) or len(digits) > MAX_DIGITS:
            raise WireError(f"{name} is not a whole number: {text[:MAX_QUOTED_CHARS]!r}")
        return int(text)

    def number_or(self, name: str, default: int) -> int:
        """Returns a whole number, or the default if it is missing. Raises WireError if it is malformed."""
        return self.number(name) if name in self._values else default

    def optional_number(self, name: str) -> int | None:
        """Returns a whole number, or None if it is missing. Raises WireError if it is malformed."""
        return self.number(name) if name in self._values else None

    def flag(self, name: str) -> bool:
        """Returns whether the field is 1; a missing field counts as 0. Raises WireError otherwise."""
        text = self._values.get(name, "0")
        if text not in ("0", "1"):
            raise WireError(f"{name} is neither 0 nor 1: {text[:MAX_QUOTED_CHARS]!r}")
        return text == "1"


def _parse_pairs(text: str) -> dict[str, str]:
    for name in TEXT_FIELDS:
        start = text.find(name + "=")
        if start == 0 or (start > 0 and text[start - 1] == " "):
            values = _parse_pairs(text[: start - 1]) if start > 0 else {}
            values[name] = text[start + len(name) + 1 :]
            return values
    try:
        return dict([part.split("=", 1) for part in text.split(" ")]) if text else {}
    except ValueError:
        raise WireError(f"expected name=value, got {text[:MAX_QUOTED_CHARS]!r}") from None


def _parse_finite(text: str, name: str) -> float:
    try:
        value = float(text)
    except ValueError:
        raise WireError(f"{name} is not a number: {text[:MAX_QUOTED_CHARS]!r}") from None
    if not isfinite(value):
        raise WireError(f"{name} is not finite: {text[:MAX_QUOTED_CHARS]!r}")
    return value


# -- events ------------------------------------------------------------------------------------------


def decode_start_settings(fields: Fields) -> Settings:
    """Decodes the settings of a balancer that starts. Raises WireError if they are invalid."""
    try:
        return decode_settings(json.loads(fields.text("profileData")))
    except WireError:
        raise
    except ValueError as error:  # SettingsError, or malformed JSON
        raise WireError(f"profileData: {error}") from error


def decode_endpoint(fields: Fields) -> Endpoint:
    """Decodes an entry of the endpoint list.

    An unknown state, of a later version of the protocol, counts as draining, the cautious assumption.
    """
    return Endpoint(
        server_id=fields.text("server"),
        state=STATES.get(fields.text_or("availability", "Ready"), EndpointState.DRAINING),
        zone=fields.text_or("area", ""),
        cell=fields.number_or("unitGroup", 0),
        size=_parse_finite(fields.text_or("units", "1"), "units"),
        started_us=fields.number_or("lastStartUs", 0),
    )


def decode_list_kind(fields: Fields) -> EndpointListKind:
    """Decodes the kind of an endpoint list. Raises WireError if it is unknown."""
    text = fields.text("kind")
    kind = LIST_KINDS.get(text)
    if kind is None:
        raise WireError(f"unknown topology kind {text[:MAX_QUOTED_CHARS]!r}")
    return kind


def _decode_request(fields: Fields) -> Request:
    return _decode_request_with_deadline(fields, fields.number("deadlineUs"))


def _decode_open_connection(fields: Fields) -> OpenConnection:
    request = _decode_request_with_deadline(fields, fields.number_or("deadlineUs", 0))
    return OpenConnection(request, fields.text("server"))


def _decode_request_with_deadline(fields: Fields, deadline_us: int) -> Request:
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


def _decode_established(fields: Fields) -> ConnectionEstablished:
    return ConnectionEstablished(
        request_id=fields.text("msgId"),
        attempt_number=fields.number("shot"),
        server_id=fields.text("server"),
        latency_us=fields.number_or("latencyUs", 0),
    )


def _decode_feedback(fields: Fields) -> ConnectionFeedback:
    amount = _parse_finite(fields.text("amount"), "amount")
    sort = fields.number("sort")
    return ConnectionFeedback(
        request_id=fields.text("msgId"),
        server_id=fields.text("server"),
        load=amount if sort == LOAD_FEEDBACK else None,
        message_us=amount * US_PER_MS if sort == DELAY_FEEDBACK else None,
    )


def _decode_attempt_ended(fields: Fields) -> AttemptEnded:
    return AttemptEnded(
        request_id=fields.text("msgId"),
        attempt_number=fields.number("shot"),
        server_id=fields.text("server"),
        outcome=_decode_outcome(fields),
        is_final=fields.flag("doneFlag"),
        latency_us=fields.number_or("latencyUs", 0),
        report=_decode_report(fields),
    )


def _decode_health_check_result(fields: Fields) -> HealthCheckResult:
    return HealthCheckResult(
        server_id=fields.text("server"),
        outcome=_decode_outcome(fields),
        latency_us=fields.number_or("latencyUs", 0),
        report=_decode_report(fields),
    )


def _decode_outcome(fields: Fields) -> AttemptOutcome:
    """Decodes an outcome.

    An unknown one, of a later version of the protocol, counts as an error after which the request may have
    been executed, the cautious assumption.
    """
    return OUTCOMES.get(fields.text("verdict"), AttemptOutcome.ERROR)


def _decode_report(fields: Fields) -> dict[str, float]:
    text = fields.text_or("gauge", "")
    report: dict[str, float] = {}
    if text and text != "-":
        for part in text.split(","):
            name, colon, value = part.partition(":")
            if not colon:
                raise WireError(f"gauge is not name:value pairs: {text[:MAX_QUOTED_CHARS]!r}")
            report[report_field(name)] = _parse_finite(value, "gauge")
    return report


def _decode_gossip(fields: Fields) -> GossipReceived:
    raw = fields.text("raw")
    try:
        return GossipReceived(fields.number("src"), b"" if raw == "-" else bytes.fromhex(raw))
    except WireError:
        raise
    except ValueError:
        raise WireError(f"raw is not hex: {raw[:MAX_QUOTED_CHARS]!r}") from None


EVENT_DECODERS: dict[str, Callable[[Fields], Event]] = {
    "call": _decode_request,
    "inherited": _decode_open_connection,
    "streaming": _decode_established,
    "note": _decode_feedback,
    "outcome": _decode_attempt_ended,
    "aborted": lambda fields: ClientDisconnected(fields.text("msgId")),
    "reminder": lambda fields: TimerFired(fields.number("ref")),
    "health_result": _decode_health_check_result,
    "message": _decode_gossip,
}
"""Decoders of events, by the first word of the line."""


# -- actions -----------------------------------------------------------------------------------------


def encode_action(balancer: int, action: Action) -> str:
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
        case CancelAttempt(request_id, attempt_number):
            return f"revoke balancer={balancer} msgId={request_id} shot={attempt_number}"
        case Migrate(request_id):
            return f"go_away balancer={balancer} msgId={request_id}"
        case SendGossip(data):
            return f"notify balancer={balancer} target=-1 raw={data.hex() or '-'}"
        case WatchEndpoints():
            return f"listen balancer={balancer} on=1"
    assert_never(action)
