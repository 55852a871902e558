"""A candidate's election for one job."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from glenrock.coordination.leases.candidate import (
    LeaseAcquired,
    LeaseCandidate,
    LeaseLost,
    LeaseRequest,
    LeaseTiming,
    RequestKind,
)

TIMING = LeaseTiming(
    lease_us=1000, max_drift_fraction=0.1, request_timeout_us=300, retry_interval_us=50, unreachable_backoff_us=200
)


HOLDER_LEASE_US = TIMING.holder_lease_us


def holding_candidate(at: int = 0, term: int = 7) -> LeaseCandidate:
    candidate = LeaseCandidate(TIMING)
    (request,) = candidate.tick(at)
    assert candidate.handle_answer(at + 10, request.sequence, term) == [LeaseAcquired(term, at + HOLDER_LEASE_US)]
    return candidate


@pytest.mark.parametrize(
    "now, held_term",
    [(HOLDER_LEASE_US - 1, 7), (HOLDER_LEASE_US, None), (HOLDER_LEASE_US + 1, None), (99 * HOLDER_LEASE_US, None)],
)
def test_term_expires_by_the_holders_clock_counted_from_its_request(now, held_term) -> None:
    candidate = holding_candidate()
    assert candidate.current_term(now) == held_term  # also before the next tick
    ended = [action for action in candidate.tick(now) if isinstance(action, LeaseLost)]
    assert bool(ended) == (held_term is None) and candidate.current_term(now) == held_term


def test_answer_read_after_expiry_is_released_unused() -> None:
    candidate = LeaseCandidate(TIMING)
    (request,) = candidate.tick(0)
    assert candidate.handle_answer(HOLDER_LEASE_US, request.sequence, 7) == [LeaseRequest(2, RequestKind.RELEASE, 7, 0)]
    assert candidate.current_term(HOLDER_LEASE_US) is None


def test_renewal_counts_from_its_request_and_a_lost_one_keeps_the_lease() -> None:
    candidate = holding_candidate()
    at = int(HOLDER_LEASE_US * TIMING.renew_after_fraction)
    (request,) = candidate.tick(at)
    assert request.kind is RequestKind.RENEW
    candidate.handle_timeout(at + 300, request.sequence)
    assert candidate.current_term(HOLDER_LEASE_US - 1) == 7, "the lease is held until it expires"
    (retry,) = candidate.tick(at + 400)
    assert candidate.handle_answer(at + 450, request.sequence, 7) == [] and candidate.expires_us == HOLDER_LEASE_US, (
        "the answer to an earlier request is ignored"
    )
    candidate.handle_answer(at + 460, retry.sequence, 7)
    expires_us = at + 400 + HOLDER_LEASE_US
    assert candidate.current_term(expires_us - 1) == 7 and candidate.current_term(expires_us) is None


@pytest.mark.parametrize("event", ["renewal rejected", "higher term seen", "steps down"])
def test_holder_loses_its_term_at_once(event) -> None:
    candidate = holding_candidate()
    if event == "renewal rejected":
        (request,) = candidate.tick(int(HOLDER_LEASE_US * TIMING.renew_after_fraction))
        candidate.handle_answer(500, request.sequence, 0)
    elif event == "steps down":
        assert candidate.step_down(500)[1].kind is RequestKind.RELEASE
    else:
        candidate.handle_rejection(500, 9)
        (request,) = candidate.tick(600)
        assert request.term_floor == 9 and candidate.handle_answer(610, request.sequence, 9) == [
            LeaseRequest(request.sequence + 1, RequestKind.RELEASE, 9, 9)
        ]
    assert candidate.current_term(501) is None


EVENTS = ["tick", "grant", "reject", "lose", "higher term seen", "step down"]
event_lists = st.lists(st.tuples(st.sampled_from(EVENTS), st.integers(0, 700)), max_size=40)


@given(event_lists)
def test_any_events_hold_a_term_only_within_its_lease_with_one_request_pending(events) -> None:
    candidate, now, term, sent, granted_until = LeaseCandidate(TIMING), 0, 0, [], 0
    for kind, gap in events:
        now += gap
        actions: list[object] = []
        if kind == "tick":
            actions = candidate.tick(now)
        elif kind == "lose":
            candidate.handle_timeout(now, candidate.last_sequence)
        elif kind == "step down":
            actions = candidate.step_down(now)
        elif kind == "higher term seen":
            actions = candidate.handle_rejection(now, term + gap % 2)
        if kind in ("grant", "reject") and sent:
            sent_at, request = sent.pop()
            term += request.kind is RequestKind.ACQUIRE
            granted_until = max(granted_until, sent_at + HOLDER_LEASE_US) if kind == "grant" else granted_until
            actions = candidate.handle_answer(now, request.sequence, term if kind == "grant" else 0)
        sent += [(now, action) for action in actions if isinstance(action, LeaseRequest)]
        assert sum(isinstance(action, LeaseRequest) for action in actions) <= 1
        if candidate.current_term(now):
            assert now < granted_until
