"""The election state machine of one candidate: how long it may use a lease, and how it loses one."""

from __future__ import annotations

from typing import NamedTuple

import pytest
from hypothesis import given
from hypothesis import strategies as st

from glenrock.coordination.leases.candidate import (
    CandidateAction,
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
RENEW_US = int(HOLDER_LEASE_US * TIMING.renew_after_fraction)


def only_request(actions: list[CandidateAction]) -> LeaseRequest:
    """Returns the only action, which must be a request."""
    (request,) = actions
    assert isinstance(request, LeaseRequest)
    return request


def holding_candidate() -> LeaseCandidate:
    """Returns a candidate that holds term 7 and requested it at time 0."""
    candidate = LeaseCandidate(TIMING)
    request = only_request(candidate.tick(0))
    assert candidate.handle_answer(10, request.sequence, 7) == [LeaseAcquired(7, HOLDER_LEASE_US)]
    return candidate


@pytest.mark.parametrize(
    "now_us, held_term",
    [(HOLDER_LEASE_US - 1, 7), (HOLDER_LEASE_US, None), (HOLDER_LEASE_US + 1, None), (99 * HOLDER_LEASE_US, None)],
)
def test_term_expires_by_the_holders_clock_counted_from_its_request(now_us: int, held_term: int | None) -> None:
    candidate = holding_candidate()
    assert candidate.current_term(now_us) == held_term  # even if no tick has expired the lease yet
    ended = [action for action in candidate.tick(now_us) if isinstance(action, LeaseLost)]
    assert bool(ended) == (held_term is None)
    assert candidate.current_term(now_us) == held_term


def test_answer_read_after_expiry_is_released_unused() -> None:
    candidate = LeaseCandidate(TIMING)
    request = only_request(candidate.tick(0))
    assert candidate.handle_answer(HOLDER_LEASE_US, request.sequence, 7) == [LeaseRequest(2, RequestKind.RELEASE, 7, 0)]
    assert candidate.current_term(HOLDER_LEASE_US) is None


def test_renewal_counts_from_its_request_and_a_lost_one_keeps_the_lease() -> None:
    candidate = holding_candidate()
    request = only_request(candidate.tick(RENEW_US))
    assert request.kind is RequestKind.RENEW
    candidate.handle_timeout(RENEW_US + 300, request.sequence)
    assert candidate.current_term(HOLDER_LEASE_US - 1) == 7, "the lease is held until it expires"
    retry_us = RENEW_US + 400
    retry = only_request(candidate.tick(retry_us))
    assert candidate.handle_answer(retry_us + 50, request.sequence, 7) == []
    assert candidate.expires_us == HOLDER_LEASE_US, "the answer to an earlier request is ignored"
    candidate.handle_answer(retry_us + 60, retry.sequence, 7)
    expires_us = retry_us + HOLDER_LEASE_US
    assert candidate.current_term(expires_us - 1) == 7
    assert candidate.current_term(expires_us) is None


@pytest.mark.parametrize("event", ["renewal rejected", "higher term seen", "steps down"])
def test_holder_loses_its_term_at_once(event: str) -> None:
    candidate = holding_candidate()
    if event == "renewal rejected":
        request = only_request(candidate.tick(RENEW_US))
        candidate.handle_answer(500, request.sequence, 0)
    elif event == "steps down":
        lost, *requests = candidate.step_down(500)
        assert isinstance(lost, LeaseLost)
        assert only_request(requests).kind is RequestKind.RELEASE
    else:
        candidate.handle_rejection(500, 9)
        request = only_request(candidate.tick(600))
        assert request.term_floor == 9
        release = LeaseRequest(request.sequence + 1, RequestKind.RELEASE, 9, 9)
        assert candidate.handle_answer(610, request.sequence, 9) == [release]
    assert candidate.current_term(501) is None


EVENTS = ["tick", "grant", "reject", "time out", "higher term seen", "step down"]


class DrawnEvent(NamedTuple):
    """A randomly drawn event, and the time since the one before it."""

    kind: str
    gap_us: int


class SentRequest(NamedTuple):
    """A request without an answer, and when it was sent."""

    sent_us: int
    request: LeaseRequest


@given(st.lists(st.builds(DrawnEvent, st.sampled_from(EVENTS), st.integers(0, 700)), max_size=40))
def test_any_events_hold_a_term_only_within_its_lease_with_one_request_pending(events: list[DrawnEvent]) -> None:
    candidate = LeaseCandidate(TIMING)
    now_us = term = granted_until_us = 0
    sent: list[SentRequest] = []
    for kind, gap_us in events:
        now_us += gap_us
        actions: list[CandidateAction] = []
        if kind == "tick":
            actions = candidate.tick(now_us)
        elif kind == "time out":
            candidate.handle_timeout(now_us, candidate.last_sequence)
        elif kind == "step down":
            actions = candidate.step_down(now_us)
        elif kind == "higher term seen":
            actions = candidate.handle_rejection(now_us, term + gap_us % 2)
        elif sent:
            sent_us, request = sent.pop()
            term += request.kind is RequestKind.ACQUIRE
            if kind == "grant":
                granted_until_us = max(granted_until_us, sent_us + HOLDER_LEASE_US)
            actions = candidate.handle_answer(now_us, request.sequence, term if kind == "grant" else 0)
        requests = [action for action in actions if isinstance(action, LeaseRequest)]
        sent += [SentRequest(now_us, request) for request in requests]
        assert len(requests) <= 1
        if candidate.current_term(now_us):
            assert now_us < granted_until_us
