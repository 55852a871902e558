"""The lifecycle of a request: final answers, and release of its state."""

from __future__ import annotations

from conftest import SECOND

from glenrock.routing import interface


def test_request_without_outcome_gets_its_answer_before_the_deadline(make_harness) -> None:
    harness = make_harness()
    name = harness.send_request(life_us=400_000)
    harness.advance(400_000)
    assert any(isinstance(a, interface.Reject | interface.Fail) for a in harness.actions_for(name))


def test_requests_are_rejected_without_servers(make_harness) -> None:
    harness = make_harness(names=())
    name = harness.send_request()
    harness.advance(SECOND)
    assert isinstance(harness.actions_for(name)[-1], interface.Reject)


def test_state_of_ended_requests_is_released(make_harness) -> None:
    harness = make_harness()
    for n in range(200):
        name = harness.send_request(key=n)
        if harness.attempts_of(name):
            harness.establish(name)
            harness.end_attempt(name, interface.AttemptOutcome.SERVED, is_final=True)
    harness.advance(60 * SECOND)
    b = harness.balancer
    assert (
        not b.requests
        and not b.sessions.by_key
        and not b.waiting_queue.clients
        and b.sessions.active_load == 0
        and len(b.batch.timers) == 1
    )
    assert not any(s.connections for s in b.servers.values())


def test_events_about_unknown_requests_and_servers_are_ignored(make_harness) -> None:
    harness = make_harness()
    assert not harness.deliver(
        interface.ConnectionEstablished("x", 0, "q:1"),
        interface.AttemptEnded("x", 3, "q:1", interface.AttemptOutcome.ERROR, False),
        interface.ClientDisconnected("x"),
        interface.HealthCheckResult("q:1", interface.AttemptOutcome.SERVED),
        interface.TimerFired(12345),
        interface.ConnectionFeedback("x", "q:1", 1.0, 2.0),
        interface.OpenConnection(interface.Request("y", "read", 0), "q:1"),
    )
