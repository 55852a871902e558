"""Lines of `history.txt`: their words are those of earlier versions."""

from __future__ import annotations

import dataclasses
import inspect

import pytest

from glenrock.testbed import history_events as events
from glenrock.testbed.endpoint_directory import EndpointStatus
from glenrock.testbed.history import Event
from glenrock.testbed.history_events import EventData, RequestEvent, SignalSent
from glenrock.testbed.history_text import LINE_FORMATS, encode_event

GROUPS = {EventData, RequestEvent, SignalSent}
ORIGIN_US = 1_000_000
LINES: list[tuple[EventData, str]] = [
    (events.RequestSent("0.1", 0, 40000.0, "s-000"), "sent 0.1 balancer=0 d_ms=40000.0 at=s-000"),
    (events.RequestSent("0.2", 0, 2000.0), "sent 0.2 balancer=0 d_ms=2000.0 at="),
    (events.RequestAnswered("0.1", 0, "UP", "s-000"), "answered 0.1 balancer=0 answer=UP instance=s-000"),
    (events.RequestAnswered("0.1", 0, "BUSY"), "answered 0.1 balancer=0 answer=BUSY"),
    (events.ClosedUnanswered("0.1", 0), "closed 0.1 balancer=0"),
    (events.RequestGivenUp("0.1", 0), "silent 0.1 balancer=0"),
    (events.ClientLeft("0.1", 0), "left 0.1 balancer=0"),
    (events.ConnectionEnded("0.1", 0, events.EndCause.MIGRATED), "ended 0.1 balancer=0 how=moved"),
    (events.AttemptReceived("0.1", 0, is_resumed=True), "line 0.1 balancer=0 at=True"),
    (events.AttemptUp("0.1", 0), "up 0.1 balancer=0"),
    (events.AttemptEnded("0.1", 0, events.EndedBy.SERVER), "over 0.1 by=self balancer=0"),
    (events.ServerOverloaded("0.1", 0), "fell 0.1 balancer=0"),
    (events.UnknownLineReceived("b'x'"), "unread  line=b'x'"),
    (events.HealthCheckReceived(), "probed"),
    (events.ServerStarted(is_warming=False), "started  cold=False"),
    (events.ServerCrashed(), "died"),
    (events.BalancerStarted(1, 9578), "started  life=1 pid=9578"),
    (events.BalancerKilled(1), "killed  life=1"),
    (events.BalancerTerminated(1), "stopping  life=1"),
    (events.BalancerPaused(1), "paused  life=1"),
    (events.BalancerResumed(1), "resumed  life=1"),
    (events.CpuLimited(10, 3), "squeezed  nice=10 core=3"),
    (events.CpuRestored(), "loosened"),
    (events.LineLogged("INFO ready"), "log  text=INFO ready"),
    (events.DiscoveryCalled(0), "call  balancer=0"),
    (events.ListChanged(2, EndpointStatus.DRAINING, 7), "changed  instance=2 status=DRAINING index=7"),
    (
        events.ServerListed(0, "instance:2", EndpointStatus.SERVING),
        "told  balancer=0 instance=instance:2 status=SERVING",
    ),
    (events.DrainObserved(0), "away  balancer=0"),
    (events.BalancerAdded(0), "takes in  balancer=0"),
    (events.BalancerRemoved(0), "leaves out  balancer=0"),
    (events.TermBegan("bans", 4, "n1/77"), "term  job=bans term=4 holder=n1/77"),
    (
        events.EffectAcknowledged("bans", 4, 1, is_accepted=True, highest_term=5, order=9),
        "effect  job=bans term=4 number=1 ok=True seen=5 order=9",
    ),
    (events.HeartbeatRejected("bans", 4, 5), "mark refused  job=bans term=4 seen=5"),
    (events.OverrideRequested(0, "instance:2", is_suspended=True), "says  balancer=0 instance=instance:2 out=True"),
    (
        events.OverrideAnswered(0, "instance:2", is_suspended=True, status=200, text="{}"),
        "heard  balancer=0 instance=instance:2 out=True status=200 text={}",
    ),
    (events.DrainAnswered(0, 503, "no permit"), "drain  balancer=0 status=503 text=no permit"),
    (events.ActivateAnswered(0, 200, "ok"), "activate  balancer=0 status=200 text=ok"),
    (events.FaultBegan("way", frozenset({"list", "balancer:1"})), "fault  kind=way parties=balancer:1,list"),
    (events.FaultEnded("way", frozenset()), "fault ends  kind=way parties="),
]


@pytest.mark.parametrize(("data", "line"), LINES, ids=lambda value: type(value).__name__)
def test_event_is_written_with_the_words_of_earlier_versions(data: EventData, line: str) -> None:
    assert encode_event(Event(ORIGIN_US + 52_340, "stage", data), ORIGIN_US) == f"0.0523 stage {line}"


def test_each_event_type_has_a_line_and_each_of_its_fields_is_written() -> None:
    types = {
        found
        for _, found in inspect.getmembers(events, inspect.isclass)
        if issubclass(found, EventData) and found not in GROUPS
    }
    assert types == set(LINE_FORMATS) == {type(data) for data, _ in LINES}
    for found in types:
        names = {field.name for field in dataclasses.fields(found)} - {"request_id"}
        assert set(LINE_FORMATS[found].fields) == names
