"""The concurrency limit, on a model of a store with a queue that also works for abandoned set-ups."""

from __future__ import annotations

import pytest
from conftest import SECOND, settings
from hypothesis import given
from hypothesis import strategies as st

from glenrock.routing import Balancer, connection_concurrency, interface
from glenrock.routing.connection_concurrency import ConcurrencyLimit
from glenrock.routing.event_batch import EventBatch

ROUND, TICK = SECOND // 2, 10_000
CLIENT_TIMEOUT_US = 600_000


def storm(rate: float, seconds: int) -> list[int]:
    """Returns the set-ups established in each second, at a store of that rate.

    Three seconds' work arrives at once, and then as much as the store can do.
    """
    batch, established, queue = EventBatch(), [0] * seconds, []
    limit = ConcurrencyLimit(batch, 300_000)
    done, waiting = 0.0, 3.0 * rate
    for now in range(TICK, seconds * SECOND, TICK):
        batch.now_us = now
        waiting += rate * TICK / SECOND
        while waiting >= 1 and limit.may_start():
            limit.record_sent()
            waiting -= 1
            queue.append((now, f"s{round(waiting) % 5}", True))
        done += rate * TICK / SECOND
        while done >= 1 and queue:
            done -= 1
            since, server, is_awaited = queue.pop(0)
            if is_awaited:
                limit.record_established(server, now - since)
                established[now // SECOND] += 1
        done = min(done, 1.0)
        for n, (since, server, is_awaited) in enumerate(queue):
            if is_awaited and now - since > CLIENT_TIMEOUT_US:
                queue[n] = (since, server, False)  # the store works on for it
                limit.record_ended(server, interface.AttemptOutcome.TIMEOUT)
                waiting += 1
        if now % ROUND == 0:
            limit.finish_round()
    return established


@pytest.mark.parametrize("rate", [5, 20, 50, 200])
def test_storm_of_set_ups_keeps_the_store_busy(rate) -> None:
    established = storm(rate, seconds=25)
    for n in range(8, 25):
        assert established[n] + established[n - 1] >= 2 * 0.6 * rate, f"seconds {n - 1} and {n}: {established}"


def test_single_slow_server_causes_no_limit() -> None:
    batch = EventBatch()
    limit = ConcurrencyLimit(batch, 300_000)
    for n in range(40):
        batch.now_us += TICK
        limit.record_sent()
        limit.record_ended("slow", interface.AttemptOutcome.TIMEOUT)
        limit.record_sent()
        limit.record_established(f"s{n % 7}", 20_000)
    limit.finish_round()
    assert limit.limit == connection_concurrency.UNLIMITED


def test_limit_is_lifted_after_idle_rounds() -> None:
    batch = EventBatch()
    limit = ConcurrencyLimit(batch, 300_000)
    limit.limit = 4.0
    for _ in range(connection_concurrency.IDLE_ROUNDS):
        batch.now_us += ROUND
        assert limit.limit == 4.0
        limit.finish_round()
    assert limit.limit == connection_concurrency.UNLIMITED


ENDS = ("up", "up", "full", "timeout", "error", "no_connection", "left")


@given(st.lists(st.sampled_from(ENDS), max_size=60), st.integers(0, 9))
def test_pending_count_equals_set_ups_without_outcome(ends, seed) -> None:
    b = Balancer(settings(balancers=1, max_attempts=2), seed)
    b.handle(
        SECOND,
        [
            interface.EndpointList(
                interface.EndpointListKind.FULL, tuple(interface.Endpoint(f"s{n}:1") for n in range(4))
            )
        ],
    )
    now = SECOND
    tries: dict[str, int] = {}
    for n, end in enumerate([*ends, *["full"] * 200]):
        now += TICK
        actions = b.handle(now, [interface.Request(f"r{n}", "read", now + SECOND, n)] if n < len(ends) else [])
        out = {a.request_id: a for a in actions if isinstance(a, interface.StartAttempt)}
        for id_, a in out.items():
            tries[id_] = tries.get(id_, -1) + 1
            events = {
                "up": interface.ConnectionEstablished(id_, tries[id_], a.server_id, 9000),
                "left": interface.ClientDisconnected(id_),
            }
            again = b.handle(now, [events.get(end) or interface.AttemptEnded(id_, tries[id_], a.server_id, end, False)])
            for x in again:
                if isinstance(x, interface.StartAttempt):
                    tries[x.request_id] = tries.get(x.request_id, -1) + 1
                    b.handle(
                        now,
                        [
                            interface.AttemptEnded(
                                x.request_id, tries[x.request_id], x.server_id, interface.AttemptOutcome.ERROR, False
                            )
                        ],
                    )
        standing = sum(1 for f in b.requests.values() if not f.server and f.attempts and not f.attempts[-1].outcome)
        assert b.concurrency.pending == standing
