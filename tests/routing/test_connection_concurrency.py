"""The concurrency limit on set-ups, tested on a model of the session store.

The model's queue keeps set-ups that their clients have abandoned, so the store wastes time on them.
"""

from __future__ import annotations

from dataclasses import dataclass

import pytest
from conftest import SECOND, settings
from hypothesis import given
from hypothesis import strategies as st

from glenrock.routing import Balancer, connection_concurrency, interface
from glenrock.routing.connection_concurrency import ConcurrencyLimit
from glenrock.routing.event_batch import ROUND_US, EventBatch
from glenrock.routing.interface import AttemptOutcome

TICK_US = 10_000
CLIENT_TIMEOUT_US = 600_000
OBJECTIVE_US = 300_000


@dataclass
class SetUp:
    """A set-up in the store's queue. `is_awaited` is false once its client has abandoned it."""

    sent_at_us: int
    server_id: str
    is_awaited: bool = True


class StoreModel:
    """A store that handles set-ups in order and at a fixed rate, with clients that retry under a concurrency limit.

    At the start, as many clients wait as the store can handle in three seconds. Then new clients arrive at its rate.

    Attributes:
        established: number of set-ups established in each second.
    """

    def __init__(self, rate: float, seconds: int) -> None:
        self.established = [0] * seconds
        self._rate = rate
        self._batch = EventBatch()
        self._limit = ConcurrencyLimit(self._batch, OBJECTIVE_US)
        self._queue: list[SetUp] = []
        self._work_credit = 0.0  # number of set-ups that the store can complete now
        self._waiting = 3.0 * rate  # clients whose set-up is not in flight

    def run(self) -> None:
        """Runs the store for all its seconds."""
        for now_us in range(TICK_US, len(self.established) * SECOND, TICK_US):
            self._batch.now_us = now_us
            self._start_set_ups()
            self._complete_set_ups()
            self._time_out_set_ups()
            if now_us % ROUND_US == 0:
                self._limit.finish_round()

    def _start_set_ups(self) -> None:
        self._waiting += self._rate * TICK_US / SECOND
        while self._waiting >= 1 and self._limit.may_start():
            self._limit.record_sent()
            self._waiting -= 1
            self._queue.append(SetUp(self._batch.now_us, f"s{round(self._waiting) % 5}"))

    def _complete_set_ups(self) -> None:
        now_us = self._batch.now_us
        self._work_credit += self._rate * TICK_US / SECOND
        while self._work_credit >= 1 and self._queue:
            self._work_credit -= 1
            set_up = self._queue.pop(0)
            if set_up.is_awaited:
                self._limit.record_established(set_up.server_id, now_us - set_up.sent_at_us)
                self.established[now_us // SECOND] += 1
        self._work_credit = min(self._work_credit, 1.0)

    def _time_out_set_ups(self) -> None:
        """Abandons set-ups that take too long. Their clients retry, but the store still handles them."""
        for set_up in self._queue:
            if set_up.is_awaited and self._batch.now_us - set_up.sent_at_us > CLIENT_TIMEOUT_US:
                set_up.is_awaited = False
                self._limit.record_failed(set_up.server_id, AttemptOutcome.TIMEOUT)
                self._waiting += 1


@pytest.mark.parametrize("rate", [5, 20, 50, 200])
def test_store_stays_busy_when_many_set_ups_are_retried(rate: int) -> None:
    store = StoreModel(rate, seconds=25)
    store.run()
    for second in range(8, 25):
        established = store.established[second - 1] + store.established[second]
        assert established >= 2 * 0.6 * rate, f"seconds {second - 1} and {second}: {store.established}"


def test_single_slow_server_causes_no_limit() -> None:
    batch = EventBatch()
    limit = ConcurrencyLimit(batch, OBJECTIVE_US)
    for number in range(40):
        batch.now_us += TICK_US
        limit.record_sent()
        limit.record_failed("slow", AttemptOutcome.TIMEOUT)
        limit.record_sent()
        limit.record_established(f"s{number % 7}", 20_000)
    limit.finish_round()
    assert limit.limit == connection_concurrency.UNLIMITED


def test_limit_is_lifted_after_idle_rounds() -> None:
    batch = EventBatch()
    limit = ConcurrencyLimit(batch, OBJECTIVE_US)
    limit.limit = 4.0
    for _ in range(connection_concurrency.LIFT_AFTER_ROUNDS):
        batch.now_us += ROUND_US
        assert limit.limit == 4.0
        limit.finish_round()
    assert limit.limit == connection_concurrency.UNLIMITED


ESTABLISHED = "established"
DISCONNECTED = "disconnected"
ENDS = (
    ESTABLISHED,
    ESTABLISHED,
    AttemptOutcome.FULL,
    AttemptOutcome.TIMEOUT,
    AttemptOutcome.ERROR,
    AttemptOutcome.NO_CONNECTION,
    DISCONNECTED,
)
"""How a set-up may end. An `AttemptOutcome` stands for a failed attempt."""


class SetUpRun:
    """Drives a balancer whose attempts end at once. Each retry fails with an error."""

    def __init__(self, seed: int) -> None:
        self.balancer = Balancer(settings(balancers=1, max_attempts=2), seed)
        self._now_us = SECOND
        self._attempt_counts: dict[str, int] = {}
        endpoints = tuple(interface.Endpoint(f"s{number}:1") for number in range(4))
        self.balancer.handle(self._now_us, [interface.EndpointList(interface.EndpointListKind.FULL, endpoints)])

    def advance(self, request: interface.Request | None, end: str) -> None:
        """Advances by a tick, delivers a request if there is one, and ends each attempt that is sent."""
        self._now_us += TICK_US
        for attempt in self._handle([request] if request else []):
            for retry in self._handle([self._end_event(attempt, end)]):
                self._handle([self._end_event(retry, AttemptOutcome.ERROR)])

    def request(self, number: int) -> interface.Request:
        """Returns the request that arrives in the next tick."""
        return interface.Request(f"r{number}", "read", self._now_us + TICK_US + SECOND, number)

    def set_ups_without_outcome(self) -> int:
        """Returns how many attempts are in flight and not established."""
        requests = [request for request in self.balancer.requests.values() if not request.server]
        return sum(bool(request.attempts and not request.attempts[-1].outcome) for request in requests)

    def _handle(self, events: list[interface.Event]) -> list[interface.StartAttempt]:
        actions = self.balancer.handle(self._now_us, events)
        return [action for action in actions if isinstance(action, interface.StartAttempt)]

    def _end_event(self, action: interface.StartAttempt, end: str) -> interface.Event:
        request_id = action.request_id
        number = self._attempt_counts.get(request_id, 0)
        self._attempt_counts[request_id] = number + 1
        if end == ESTABLISHED:
            return interface.ConnectionEstablished(request_id, number, action.server_id, 9000)
        if end == DISCONNECTED:
            return interface.ClientDisconnected(request_id)
        return interface.AttemptEnded(request_id, number, action.server_id, AttemptOutcome(end), False)


@given(st.lists(st.sampled_from(ENDS), max_size=60), st.integers(0, 9))
def test_pending_count_equals_set_ups_without_outcome(ends: list[str], seed: int) -> None:
    run = SetUpRun(seed)
    for number, end in enumerate(ends):
        run.advance(run.request(number), end)
        assert run.balancer.concurrency.in_flight == run.set_ups_without_outcome()
    for _ in range(200):
        run.advance(None, AttemptOutcome.FULL)
        assert run.balancer.concurrency.in_flight == run.set_ups_without_outcome()
