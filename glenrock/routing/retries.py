"""Whether and where a request may be sent or retried, with which timeout, and whether it may be rejected.

The rules for sending a request build on each other:

- `RetryPolicy.may_send` requires `RetryPolicy.may_attempt`, `OutlierEjection.may_receive`, and that the
  attempt cannot execute the request a second time, unless that is harmless.
- `OutlierEjection.may_receive` requires that the server is ready, that it `is_usable` except in panic mode,
  and that `SlowStart.headroom` covers the load.
- `OutlierEjection.is_usable` requires that the server is not ejected, and `FailureDomains.may_use` of its
  zone.

Other rules are independent of these: `RetryPolicy.may_wait` and `RetryPolicy.may_reject` decide on a request
without a server, and `ConcurrencyLimit.may_start` limits the attempts in flight at all servers together.
"""

from __future__ import annotations

import random
from dataclasses import dataclass

from .endpoint_table import EndpointTable
from .event_batch import EventBatch
from .interface import Idempotency, IdempotencyScope, RequestClass, Settings
from .operator_overrides import OperatorOverrides
from .outlier_ejection import OutlierEjection
from .state import Attempt, RoutedRequest, Server

ATTEMPT_TIMEOUT_PERCENT = 60  # of the remaining time, while a further attempt is allowed
MIN_CONNECT_TIMEOUTS = 2  # minimum attempt timeout, as a multiple of the connect timeout
MAX_PROCESS_PAUSE_US = 150_000  # longest pause of this process between a decision and the write to the server
ANSWER_MARGIN_TICKS = 2  # time between the final answer and the deadline, in timer ticks


@dataclass(eq=False)
class RetryPolicy:
    """The rules for the attempts of a request. At most one attempt is in flight at a time."""

    batch: EventBatch
    settings: Settings
    rng: random.Random
    endpoints: EndpointTable
    overrides: OperatorOverrides
    ejection: OutlierEjection

    def answer_due_us(self, request: RoutedRequest) -> int:
        """Returns when a request without a connection gets a final answer, shortly before its deadline."""
        return request.event.deadline_us - ANSWER_MARGIN_TICKS * self.settings.tick_us

    def is_overdue(self, request: RoutedRequest) -> bool:
        """Returns whether the final answer is due now."""
        return self.batch.now_us >= self.answer_due_us(request)

    def may_attempt(self, request: RoutedRequest) -> bool:
        """Returns whether the request may have a further attempt, whatever the server."""
        if request.is_answered or request.server or len(request.attempts) >= self.settings.max_attempts:
            return False
        return not request.attempt_is_in_flight and not self.is_overdue(request)

    def may_send(self, request: RoutedRequest, server: Server) -> bool:
        """Returns whether the request may be sent to the server now. This rule applies to every attempt."""
        if not self.may_attempt(request) or not self.ejection.may_receive(server, request.load):
            return False
        first = request.first_possibly_executed
        return first is None or self._is_safe_to_retry(request.request_class, first, server)

    def _is_safe_to_retry(self, request_class: RequestClass, first: Attempt, server: Server) -> bool:
        """Returns whether a request that may have executed can be sent to the server without harm."""
        if request_class.idempotency == Idempotency.SAFE:
            return True
        if request_class.idempotency == Idempotency.UNSAFE:
            return False
        if self.batch.now_us > _last_retry_us(first, request_class):
            return False
        # Servers outside the scope of the first attempt do not know the idempotency key.
        if request_class.idempotency_scope == IdempotencyScope.ZONE:
            return server.zone == first.server.zone
        return request_class.idempotency_scope == IdempotencyScope.ALL or server.cell == first.server.cell

    def may_reject(self, request: RoutedRequest) -> bool:
        """Returns whether the request may be rejected: the client then retries it, which must be safe."""
        if request.is_answered or request.server:
            return False
        request_class = request.request_class
        has_global_key = (
            request_class.idempotency == Idempotency.KEYED
            and request_class.idempotency_scope == IdempotencyScope.ALL
        )
        is_harmless = request_class.idempotency == Idempotency.SAFE or has_global_key
        return is_harmless or not request.first_possibly_executed

    def may_wait(self, request: RoutedRequest) -> bool:
        """Returns whether a request waits for a server if no server may receive it now.

        It waits until its latency objective, even if it is not safe to retry at any server. It does not wait
        if no server is ready and some are suspended, since no server will become available soon.
        """
        if not self.endpoints.ring and self.overrides.suspended_servers:
            return False
        wait_end_us = request.arrived_us + request.request_class.latency_objective_us
        return len(request.attempts) < self.settings.max_attempts and self.batch.now_us < wait_end_us

    def retry_after_us(self) -> int:
        """Returns a Retry-After between 0.5 and 1 times the maximum, at random to spread the retries."""
        max_us = self.settings.max_retry_after_us if self.settings.may_send_retry_after else 0
        return int(max_us * (0.5 + self.rng.random() / 2))

    def attempt_timeout_us(self, request: RoutedRequest) -> int:
        """Returns the timeout of the next attempt in microseconds.

        The timeout leaves time for a further attempt. A retry of a keyed request ends within the idempotency
        window, since after it the server may execute the request a second time.
        """
        remaining_us = self.answer_due_us(request) - self.batch.now_us
        timeout_us = remaining_us
        if len(request.attempts) + 1 < self.settings.max_attempts:
            min_timeout_us = MIN_CONNECT_TIMEOUTS * self.settings.connect_timeout_us
            timeout_us = min(remaining_us, max(remaining_us * ATTEMPT_TIMEOUT_PERCENT // 100, min_timeout_us))
        first = request.first_possibly_executed
        if first and request.request_class.idempotency == Idempotency.KEYED:
            last_us = _last_retry_us(first, request.request_class)
            timeout_us = max(1, min(timeout_us, last_us - self.batch.now_us))
        return timeout_us


def _last_retry_us(first: Attempt, request_class: RequestClass) -> int:
    """Returns the latest time of a decision to retry.

    The write of the retry falls within the idempotency window, even if this process is paused before it.
    """
    return first.sent_at_us + request_class.idempotency_window_us - MAX_PROCESS_PAUSE_US
