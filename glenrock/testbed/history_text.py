"""The lines of `history.txt`: the only place that knows the file's words for events and their fields. Pure.

The program writes the file for people and reads it nowhere, so that there is no decoder.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Mapping
from dataclasses import dataclass

from . import history_events as events
from .history import US_PER_S, Event
from .history_events import EventData, RequestEvent


@dataclass(frozen=True, slots=True)
class LineFormat:
    """How events of one type are written.

    Attributes:
        word: of the event.
        fields: the file's name of each field by its name in the type, in the order of the line.
    """

    word: str
    fields: Mapping[str, str] = dataclasses.field(default_factory=dict)


BALANCER = {"balancer": "balancer"}
INCARNATION = {"incarnation": "life"}
OVERRIDE = BALANCER | {"server": "instance", "is_suspended": "out"}
HTTP_ANSWER = {"status": "status", "text": "text"}
FAULT = {"kind": "kind", "parties": "parties"}

LINE_FORMATS: dict[type[EventData], LineFormat] = {
    events.RequestSent: LineFormat("sent", BALANCER | {"deadline_ms": "d_ms", "resumes_at": "at"}),
    events.RequestAnswered: LineFormat("answered", BALANCER | {"answer": "answer", "server": "instance"}),
    events.ClosedUnanswered: LineFormat("closed", BALANCER),
    events.RequestGivenUp: LineFormat("silent", BALANCER),
    events.ClientLeft: LineFormat("left", BALANCER),
    events.ConnectionEnded: LineFormat("ended", BALANCER | {"cause": "how"}),
    events.AttemptReceived: LineFormat("line", BALANCER | {"is_resumed": "at"}),
    events.AttemptUp: LineFormat("up", BALANCER),
    events.AttemptEnded: LineFormat("over", {"ended_by": "by"} | BALANCER),
    events.ServerOverloaded: LineFormat("fell", BALANCER),
    events.UnknownLineReceived: LineFormat("unread", {"line": "line"}),
    events.HealthCheckReceived: LineFormat("probed"),
    events.ServerStarted: LineFormat("started", {"is_warming": "cold"}),
    events.ServerCrashed: LineFormat("died"),
    events.BalancerStarted: LineFormat("started", INCARNATION | {"process_id": "pid"}),
    events.BalancerKilled: LineFormat("killed", INCARNATION),
    events.BalancerTerminated: LineFormat("stopping", INCARNATION),
    events.BalancerPaused: LineFormat("paused", INCARNATION),
    events.BalancerResumed: LineFormat("resumed", INCARNATION),
    events.CpuLimited: LineFormat("squeezed", {"nice": "nice", "core": "core"}),
    events.CpuRestored: LineFormat("loosened"),
    events.LineLogged: LineFormat("log", {"text": "text"}),
    events.DiscoveryCalled: LineFormat("call", BALANCER),
    events.ListChanged: LineFormat("changed", {"server_number": "instance", "status": "status", "version": "index"}),
    events.ServerListed: LineFormat("told", BALANCER | {"server": "instance", "status": "status"}),
    events.DrainObserved: LineFormat("away", BALANCER),
    events.BalancerAdded: LineFormat("takes in", BALANCER),
    events.BalancerRemoved: LineFormat("leaves out", BALANCER),
    events.TermBegan: LineFormat("term", {"job": "job", "term": "term", "holder": "holder"}),
    events.EffectAcknowledged: LineFormat(
        "effect",
        {
            "job": "job",
            "term": "term",
            "number": "number",
            "is_accepted": "ok",
            "highest_term": "seen",
            "order": "order",
        },
    ),
    events.HeartbeatRejected: LineFormat("mark refused", {"job": "job", "term": "term", "highest_term": "seen"}),
    events.OverrideRequested: LineFormat("says", OVERRIDE),
    events.OverrideAnswered: LineFormat("heard", OVERRIDE | HTTP_ANSWER),
    events.DrainAnswered: LineFormat("drain", BALANCER | HTTP_ANSWER),
    events.ActivateAnswered: LineFormat("activate", BALANCER | HTTP_ANSWER),
    events.FaultBegan: LineFormat("fault", FAULT),
    events.FaultEnded: LineFormat("fault ends", FAULT),
}


def encode_event(event: Event[EventData], origin_us: int = 0) -> str:
    """Returns the line of an event, without its end. Its time is in seconds from `origin_us`."""
    data, at_s = event.data, (event.at_us - origin_us) / US_PER_S
    line_format = LINE_FORMATS[type(data)]
    values = ((word, getattr(data, name)) for name, word in line_format.fields.items())
    fields = " ".join(f"{word}={_value_text(value)}" for word, value in values if value is not None)
    request_id = data.request_id if isinstance(data, RequestEvent) else ""
    return f"{at_s:.4f} {event.party} {line_format.word} {request_id} {fields}".rstrip()


def _value_text(value: object) -> str:
    return ",".join(sorted(value)) if isinstance(value, frozenset) else str(value)
