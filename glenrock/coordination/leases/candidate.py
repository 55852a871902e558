"""The election state machine of one candidate for one job: when to request the lease, and whether it may act.

This module does no I/O and reads no clock; callers pass the time. Times are whole microseconds of the candidate's own
clock. That clock must keep running while the machine is asleep (CLOCK_BOOTTIME does), and may drift against the store's
clock by at most `LeaseTiming.max_drift_fraction`. Timestamps of two machines are never compared.

An effect is a message by which the lease holder acts on other processes. A caller checks `current_term` immediately
before it sends each effect, not once for several.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum


class CandidateState(StrEnum):
    """The state of a candidate in the election for one job.

    IDLE: the candidate neither holds the lease nor has a request pending.
    ACQUIRING: a request to acquire the lease is pending.
    HOLDER: the candidate holds the lease until `LeaseCandidate.expires_us`.
    RELEASING: a request to release the lease is pending.
    BACKING_OFF: the store did not answer the last request to acquire or release; the next request is delayed.
    """

    IDLE = "idle"
    ACQUIRING = "acquiring"
    HOLDER = "holder"
    RELEASING = "releasing"
    BACKING_OFF = "backing off"

    __hash__ = str.__hash__


class RequestKind(StrEnum):
    """The kind of a request to the store."""

    ACQUIRE = "acquire"
    RENEW = "renew"
    RELEASE = "release"

    __hash__ = str.__hash__


class LossReason(StrEnum):
    """Why a lease is no longer held.

    EXPIRED: the lease was not renewed in time.
    REVOKED: the store rejected a renewal, or its answer came too late to extend the lease.
    SUPERSEDED: a receiver has seen a higher term.
    RELEASED: the holder stepped down.
    """

    EXPIRED = "expired"
    REVOKED = "revoked"
    SUPERSEDED = "superseded"
    RELEASED = "released"


@dataclass(frozen=True, slots=True)
class LeaseRequest:
    """A request to the store for one job's lease.

    Attributes:
        sequence: sequence number of the request among those of this holder; the store ignores a request whose number
            is not above that of the last one.
        kind: whether the lease is acquired, renewed or released.
        term: the term to renew or release; ignored when a lease is acquired.
        term_floor: the highest term that a receiver has seen; a granted term must be above it.
    """

    sequence: int
    kind: RequestKind
    term: int
    term_floor: int


@dataclass(frozen=True, slots=True)
class LeaseAcquired:
    """The lease of `term` was acquired. Unless it is renewed, it is held until `expires_us`."""

    term: int
    expires_us: int


@dataclass(frozen=True, slots=True)
class LeaseLost:
    """The lease of `term` is no longer held."""

    term: int
    reason: LossReason


CandidateAction = LeaseRequest | LeaseAcquired | LeaseLost


@dataclass(frozen=True, slots=True)
class LeaseTiming:
    """Durations of a lease, in microseconds.

    Attributes:
        lease_us: duration of a lease, counted from when the store accepts the request.
        max_drift_fraction: bound on the drift between the store's clock and the holder's, as a fraction.
        renew_after_fraction: fraction of the holder's part of the lease after which it is renewed.
        request_timeout_us: how long a candidate waits for the store's answer.
        retry_interval_us: delay before the next request after a rejection, a lost lease or a renewal that timed out.
        unreachable_backoff_us: delay before the next request after one to acquire or release timed out.
    """

    lease_us: int = 10_000_000
    max_drift_fraction: float = 0.01
    renew_after_fraction: float = 0.4
    request_timeout_us: int = 2_000_000
    retry_interval_us: int = 1_000_000
    unreachable_backoff_us: int = 3_000_000

    @property
    def holder_lease_us(self) -> int:
        """How long a holder may use a lease, counted from its request on its own clock.

        This is shorter than `lease_us` by the drift that is allowed for.
        """
        return int(self.lease_us / (1 + self.max_drift_fraction))


@dataclass(slots=True)
class LeaseCandidate:
    """The election state of one candidate for one job.

    Methods take the current time. Those that return actions leave it to the caller to carry them out.

    Attributes:
        timing: durations of the lease.
        state: the state in the election.
        term: the term that is held, or the last one that was; 0 before the first.
        expires_us: when the lease of `term` expires for this holder, unless it is renewed.
        last_sequence: sequence number of the last request.
        pending_kind: kind of the request that has no answer yet; None if no request is pending.
        request_sent_us: when the last request was sent.
        next_request_us: `tick` sends no request before this time.
        term_floor: the highest term that a receiver has seen; only a higher one is accepted from the store.
    """

    timing: LeaseTiming
    state: CandidateState = CandidateState.IDLE
    term: int = 0
    expires_us: int = 0
    last_sequence: int = 0
    pending_kind: RequestKind | None = None
    request_sent_us: int = 0
    next_request_us: int = 0
    term_floor: int = 0

    def current_term(self, now_us: int) -> int | None:
        """Returns the term under which an effect may be sent now; None if the lease is not held."""
        return self.term if self.state is CandidateState.HOLDER and now_us < self.expires_us else None

    def tick(self, now_us: int) -> list[CandidateAction]:
        """Expires the lease and the pending request if they are due, and sends the next request if it is due.

        The lease comes first: a process that was paused past its end gives the term up before it sends a request.
        """
        actions: list[CandidateAction] = []
        if self.state is CandidateState.HOLDER and now_us >= self.expires_us:
            actions += self._end_term(now_us, LossReason.EXPIRED)
        if self.pending_kind and now_us >= self.request_sent_us + self.timing.request_timeout_us:
            self.handle_timeout(now_us, self.last_sequence)
        if self.pending_kind or now_us < self.next_request_us:
            return actions
        if self.state is CandidateState.HOLDER:
            renew_us = self.request_sent_us + int(self.timing.holder_lease_us * self.timing.renew_after_fraction)
            if now_us >= renew_us:
                actions += self.renew(now_us)
        elif self.state in (CandidateState.IDLE, CandidateState.BACKING_OFF):
            self.state = CandidateState.ACQUIRING
            actions += self._request(now_us, RequestKind.ACQUIRE, self.term)
        return actions

    def renew(self, now_us: int) -> list[CandidateAction]:
        """Requests the renewal of the lease that is held."""
        return self._request(now_us, RequestKind.RENEW, self.term)

    def step_down(self, now_us: int) -> list[CandidateAction]:
        """Releases the lease if it is held. The answer to a request that is still pending will be ignored."""
        if self.state is not CandidateState.HOLDER:
            return []
        self.state = CandidateState.RELEASING
        lost = LeaseLost(self.term, LossReason.RELEASED)
        return [lost, *self._request(now_us, RequestKind.RELEASE, self.term)]

    def handle_answer(self, now_us: int, sequence: int, granted_term: int) -> list[CandidateAction]:
        """Applies the store's answer to a request. Only the answer to the last request counts.

        Args:
            now_us: when the answer is read.
            sequence: sequence number of the request.
            granted_term: the term that was granted or renewed; 0 if the request was rejected, or was a release.
        """
        if sequence != self.last_sequence or not self.pending_kind:
            return []
        kind, self.pending_kind = self.pending_kind, None
        # The lease is counted from the request. Counted from the answer, it would outlast the store's lease by the time
        # that the answer spent on the network or in a paused process.
        expires_us = self.request_sent_us + self.timing.holder_lease_us
        if kind is RequestKind.RELEASE:
            return self._handle_release(now_us)
        if kind is RequestKind.RENEW and self.state is CandidateState.HOLDER:
            return self._handle_renewal(now_us, granted_term, expires_us)
        if self.state is not CandidateState.ACQUIRING:
            return self._release_unused(now_us, granted_term)
        return self._handle_acquisition(now_us, granted_term, expires_us)

    def handle_timeout(self, now_us: int, sequence: int) -> None:
        """Handles the timeout of a request. The store may have carried it out nevertheless."""
        if sequence != self.last_sequence or not self.pending_kind:
            return
        kind, self.pending_kind = self.pending_kind, None
        if self.state is CandidateState.HOLDER and kind is RequestKind.RENEW:
            self.next_request_us = now_us + self.timing.retry_interval_us  # the lease is still held until it expires
        elif self.state in (CandidateState.ACQUIRING, CandidateState.RELEASING):
            self.state = CandidateState.BACKING_OFF
            self.next_request_us = now_us + self.timing.unreachable_backoff_us

    def handle_rejection(self, now_us: int, highest_term: int) -> list[CandidateAction]:
        """Handles a rejection by a receiver that has seen `highest_term`.

        Either there is a newer holder, or the store lost its state and granted a term a second time.
        """
        self.term_floor = max(self.term_floor, highest_term)
        if self.state is CandidateState.HOLDER and highest_term > self.term:
            return self._end_term(now_us, LossReason.SUPERSEDED)
        return []

    def _request(self, now_us: int, kind: RequestKind, term: int) -> list[CandidateAction]:
        self.last_sequence += 1
        self.pending_kind = kind
        self.request_sent_us = now_us
        return [LeaseRequest(self.last_sequence, kind, term, self.term_floor)]

    def _handle_release(self, now_us: int) -> list[CandidateAction]:
        if self.state is CandidateState.RELEASING:
            self._become_idle(now_us)
        return []

    def _handle_renewal(self, now_us: int, granted_term: int, expires_us: int) -> list[CandidateAction]:
        if granted_term == self.term and now_us < expires_us:
            self.expires_us = expires_us
            return []
        return self._end_term(now_us, LossReason.REVOKED)

    def _handle_acquisition(self, now_us: int, granted_term: int, expires_us: int) -> list[CandidateAction]:
        if not granted_term:
            self._become_idle(now_us)
            return []
        if granted_term <= self.term_floor or now_us >= expires_us:
            # Receivers would reject the term, or the lease expired before the answer was read.
            self._become_idle(now_us)
            return self._release_unused(now_us, granted_term)
        self.state = CandidateState.HOLDER
        self.term = granted_term
        self.expires_us = expires_us
        self.next_request_us = now_us
        return [LeaseAcquired(granted_term, expires_us)]

    def _release_unused(self, now_us: int, granted_term: int) -> list[CandidateAction]:
        """Releases a lease that the store granted and that this candidate does not use."""
        if not granted_term or self.pending_kind:
            return []
        if self.state is CandidateState.IDLE:
            self.state = CandidateState.RELEASING
        return self._request(now_us, RequestKind.RELEASE, granted_term)

    def _end_term(self, now_us: int, reason: LossReason) -> list[CandidateAction]:
        self._become_idle(now_us)
        self.pending_kind = None
        return [LeaseLost(self.term, reason)]

    def _become_idle(self, now_us: int) -> None:
        self.state = CandidateState.IDLE
        self.next_request_us = now_us + self.timing.retry_interval_us
