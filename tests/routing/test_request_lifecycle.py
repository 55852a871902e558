"""The lifecycle of a request: its final answer, and the removal of its state."""

from __future__ import annotations

from conftest import SECOND, HarnessFactory

from glenrock.routing import interface


def test_request_whose_attempt_does_not_end_is_answered_before_the_deadline(make_harness: HarnessFactory) -> None:
    harness = make_harness()
    request_id = harness.send_request(deadline_in_us=400_000)
    harness.advance(400_000)
    actions = harness.actions_for(request_id)
    assert any(isinstance(action, interface.Reject | interface.Fail) for action in actions)


def test_requests_are_rejected_without_servers(make_harness: HarnessFactory) -> None:
    harness = make_harness(names=())
    request_id = harness.send_request()
    harness.advance(SECOND)
    assert isinstance(harness.actions_for(request_id)[-1], interface.Reject)


def test_admitted_client_that_no_server_accepts_is_added_to_the_waiting_queue(make_harness: HarnessFactory) -> None:
    harness = make_harness(max_attempts=2)
    request_id = harness.send_request(key=1)
    for _ in range(2):
        harness.end_attempt(request_id, interface.AttemptOutcome.FULL)
        harness.advance(SECOND // 10)
    assert isinstance(harness.actions_for(request_id)[-1], interface.Reject)
    assert 1 in harness.balancer.waiting_queue


def test_state_of_ended_requests_is_removed(make_harness: HarnessFactory) -> None:
    harness = make_harness()
    for key in range(200):
        request_id = harness.send_request(key=key)
        if harness.attempts_of(request_id):
            harness.establish(request_id)
            harness.end_attempt(request_id, interface.AttemptOutcome.SERVED, is_final=True)
    harness.advance(60 * SECOND)
    balancer = harness.balancer
    assert not balancer.requests and not balancer.waiting_queue.clients
    assert not balancer.sessions.by_key and balancer.sessions.active_load == 0
    assert len(balancer.batch.timers) == 1, "only the timer of the next round is pending"
    assert not any(server.connections for server in balancer.servers.values())


def test_events_about_unknown_requests_and_servers_are_ignored(make_harness: HarnessFactory) -> None:
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
