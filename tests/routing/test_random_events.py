"""The rules for attempts and answers hold under random sequences of events, which are repeatable by seed."""

from __future__ import annotations

import random
from dataclasses import dataclass
from typing import NamedTuple

import pytest
from conftest import SECOND, Harness, settings

from glenrock.routing import interface
from glenrock.routing.interface import (
    ATTEMPT_OUTCOMES,
    NOT_EXECUTED_OUTCOMES,
    AttemptOutcome,
    Endpoint,
    EndpointList,
    EndpointListKind,
    EndpointState,
    Fail,
    HealthCheckResult,
    Idempotency,
    IdempotencyScope,
    Reject,
    SendHealthCheck,
    StartAttempt,
)

IDEMPOTENCIES = [
    (Idempotency.SAFE, IdempotencyScope.ALL),
    (Idempotency.KEYED, IdempotencyScope.ALL),
    (Idempotency.KEYED, IdempotencyScope.ZONE),
    (Idempotency.KEYED, IdempotencyScope.CELL),
    (Idempotency.UNSAFE, IdempotencyScope.ALL),
]
WINDOW_US = 400_000
FOREVER_US = 1 << 62


class PendingAttempt(NamedTuple):
    """An attempt that will be established or end at a time, or its connection that will end."""

    ends_at_us: int
    request_id: str
    number: int
    server_id: str


class SentAttempt(NamedTuple):
    """An attempt, as found in the action log."""

    at_us: int
    server_id: str


@dataclass
class NotReadySpan:
    """A period in which a server was not ready. Its end is open until the server's state changes."""

    start_us: int
    end_us: int = FOREVER_US


class RandomRun:
    """Delivers random events to one balancer, and records the facts against which the rules are checked.

    Attributes:
        endpoints: rows of the endpoint list, by server id.
        not_ready_spans: by server id, the periods in which the server was not ready.
        outcomes: outcomes of attempts, by request id and attempt number.
        deadlines_us: deadline of each request, by request id.
        established_at_us: when each request was established, by request id.
    """

    def __init__(self, idempotency: Idempotency, scope: IdempotencyScope, seed: int) -> None:
        self.rng = random.Random(f"{idempotency}{scope}{seed}")
        self.idempotency, self.scope = idempotency, scope
        request_class = interface.RequestClass("read", 300_000, 1_000_000, 60_000, 1.0, idempotency, scope, WINDOW_US)
        self.harness = Harness(
            settings(
                classes=(request_class,),
                may_health_check=seed % 2 == 0,
                load_report_fields=("load_ratio",),
                zone="z0",
                must_poll_endpoints=seed % 3 == 0,
                cross_zone_cost=0.03,
                health_check_cost=0.002,
            ),
            seed,
        )
        endpoints = [
            Endpoint(f"s{number}:1", EndpointState.READY, f"z{number % 3}", number % 4) for number in range(12)
        ]
        self.endpoints = {endpoint.server_id: endpoint for endpoint in endpoints}
        self.not_ready_spans: dict[str, list[NotReadySpan]] = {server_id: [] for server_id in self.endpoints}
        self.outcomes: dict[str, dict[int, AttemptOutcome]] = {}
        self.deadlines_us: dict[str, int] = {}
        self.established_at_us: dict[str, int] = {}
        self._pending: list[PendingAttempt] = []
        self._read_count = 0
        self.harness.deliver(EndpointList(EndpointListKind.CACHED, tuple(self.endpoints.values())))

    def run(self, steps: int) -> None:
        """Runs that number of steps, and then advances by three seconds without events."""
        for _ in range(steps):
            self._deliver_event()
            self.harness.advance(self.rng.choice([4_000, 8_000, 40_000, 150_000]))
            self._answer_actions()
            self._end_due_attempts()
        self.harness.advance(3 * SECOND)

    def _deliver_event(self) -> None:
        roll = self.rng.random()
        if roll < 0.45:
            self._send_request()
        elif roll < 0.5:
            self._change_endpoint()
        elif roll < 0.55:
            self.harness.deliver(
                EndpointList(EndpointListKind.FAILED),
                interface.TimerFired(999_999),
                interface.GossipReceived(1, self.rng.randbytes(9)),
            )

    def _send_request(self) -> None:
        rng = self.rng
        deadline_in_us = rng.choice([3_000, 20_000, 300_000, SECOND])
        request_id = self.harness.send_request(
            key=rng.randrange(60),
            group=rng.choice([None, rng.randrange(5)]),
            deadline_in_us=deadline_in_us,
            load=rng.choice([0, 500, 9000]),
            is_midstream=rng.random() < 0.05,
        )
        self.deadlines_us[request_id] = self.harness.now_us + deadline_in_us

    def _change_endpoint(self) -> None:
        now_us = self.harness.now_us
        before = self.endpoints[self.rng.choice(sorted(self.endpoints))]
        state = self.rng.choice([EndpointState.READY, EndpointState.READY, EndpointState.DRAINING, EndpointState.GONE])
        started_us = self.rng.choice([0, now_us])
        endpoint = Endpoint(before.server_id, state, before.zone, before.cell, 1.0, started_us)
        spans = self.not_ready_spans[before.server_id]
        if spans and spans[-1].end_us > now_us:
            spans[-1].end_us = now_us
        if state != EndpointState.READY:
            spans.append(NotReadySpan(now_us))
        self.harness.deliver(EndpointList(EndpointListKind.CHANGES, (endpoint,)))

    def _answer_actions(self) -> None:
        """Schedules the ends of new attempts, and delivers the results of most health checks."""
        rng = self.rng
        for _, action in self.harness.action_log[self._read_count :]:
            if isinstance(action, StartAttempt):
                ended_count = len(self.outcomes.setdefault(action.request_id, {}))
                number = ended_count + sum(pending.request_id == action.request_id for pending in self._pending)
                ends_at_us = self.harness.now_us + rng.choice([1_000, 90_000, 2 * SECOND])
                self._pending.append(PendingAttempt(ends_at_us, action.request_id, number, action.server_id))
            elif isinstance(action, SendHealthCheck) and rng.random() < 0.8:
                outcome = rng.choice(ATTEMPT_OUTCOMES)
                report = {"load_ratio": rng.choice([0.1, 0.5, 0.7, 1.4])}
                self.harness.deliver(HealthCheckResult(action.server_id, outcome, 1000, report))
        self._read_count = len(self.harness.action_log)

    def _end_due_attempts(self) -> None:
        """Establishes or ends the attempts that are due."""
        harness = self.harness
        for due in [pending for pending in self._pending if pending.ends_at_us <= harness.now_us]:
            self._pending.remove(due)
            request_id = due.request_id
            is_answered = any(isinstance(action, Reject | Fail) for action in harness.actions_for(request_id))
            if not is_answered and self.rng.random() < 0.6:
                self.established_at_us[request_id] = harness.now_us
                harness.deliver(interface.ConnectionEstablished(request_id, due.number, due.server_id, 1000))
                self._pending.append(due._replace(ends_at_us=harness.now_us + 3 * SECOND))
                continue
            outcome = self.rng.choice(ATTEMPT_OUTCOMES[1:])
            self.outcomes.setdefault(request_id, {})[due.number] = outcome
            is_final = is_answered or request_id in self.established_at_us
            harness.deliver(interface.AttemptEnded(request_id, due.number, due.server_id, outcome, is_final, 1000))


class RuleChecker:
    """Checks the action log of a run against the rules.

    Attributes:
        sent: attempts so far, by request id.
        answered_at_us: when each request got its final answer, by request id.
    """

    def __init__(self, run: RandomRun) -> None:
        self.run = run
        self.sent: dict[str, list[SentAttempt]] = {}
        self.answered_at_us: dict[str, int] = {}

    def check(self) -> None:
        """Checks each action, and that each request was established or answered before its deadline."""
        for at_us, action in self.run.harness.action_log:
            if isinstance(action, StartAttempt):
                self._check_attempt(at_us, action)
            elif isinstance(action, Reject | Fail):
                self._check_answer(at_us, action)
        for request_id, deadline_us in self.run.deadlines_us.items():
            if request_id not in self.run.established_at_us:
                is_in_time = self.answered_at_us.get(request_id, FOREVER_US) <= deadline_us
                assert is_in_time, f"{request_id} was not answered before its deadline"

    def _check_attempt(self, at_us: int, action: StartAttempt) -> None:
        run = self.run
        assert action.request_id not in self.answered_at_us, "sent after its final answer"
        assert at_us < run.established_at_us.get(action.request_id, FOREVER_US), "sent after it was established"
        spans = run.not_ready_spans[action.server_id]
        assert not any(span.start_us < at_us < span.end_us for span in spans), "sent to a server that is not ready"
        attempts = self.sent.setdefault(action.request_id, [])
        outcomes = run.outcomes.get(action.request_id, {})
        assert all(number in outcomes for number in range(len(attempts))), "two attempts in flight"
        possibly_executed = [
            sent for number, sent in enumerate(attempts) if outcomes.get(number) not in NOT_EXECUTED_OUTCOMES
        ]
        if possibly_executed and run.idempotency != Idempotency.SAFE:
            self._check_retry(at_us, action, possibly_executed[0])
        attempts.append(SentAttempt(at_us, action.server_id))
        assert len(attempts) <= run.harness.settings.max_attempts

    def _check_retry(self, at_us: int, action: StartAttempt, first: SentAttempt) -> None:
        run = self.run
        assert run.idempotency == Idempotency.KEYED, "an unsafe request was retried"
        assert at_us <= first.at_us + WINDOW_US, "retried after the idempotency window"
        before, now = run.endpoints[first.server_id], run.endpoints[action.server_id]
        if run.scope == IdempotencyScope.ZONE:
            assert before.zone == now.zone
        elif run.scope == IdempotencyScope.CELL:
            assert before.cell == now.cell

    def _check_answer(self, at_us: int, action: Reject | Fail) -> None:
        run = self.run
        assert action.request_id not in self.answered_at_us, "two final answers"
        self.answered_at_us[action.request_id] = at_us
        has_global_key = (run.idempotency, run.scope) == (Idempotency.KEYED, IdempotencyScope.ALL)
        if isinstance(action, Reject) and run.idempotency != Idempotency.SAFE and not has_global_key:
            outcomes = run.outcomes.get(action.request_id, {})
            attempt_count = len(self.sent.get(action.request_id, []))
            assert all(outcomes.get(number) in NOT_EXECUTED_OUTCOMES for number in range(attempt_count))


@pytest.mark.parametrize(("idempotency", "scope"), IDEMPOTENCIES)
@pytest.mark.parametrize("seed", range(12))
def test_rules_hold_over_random_events(idempotency: Idempotency, scope: IdempotencyScope, seed: int) -> None:
    run = RandomRun(idempotency, scope, seed)
    run.run(steps=400)
    RuleChecker(run).check()
    assert sum(isinstance(action, StartAttempt) for _, action in run.harness.action_log) > 8
