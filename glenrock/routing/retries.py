"""Whether and where a request may be sent (again), for how long, and whether it may be rejected."""

from __future__ import annotations

import random
from dataclasses import dataclass

from .endpoint_table import EndpointTable
from .event_batch import EventBatch
from .interface import Idempotency, IdempotencyScope, RequestClass, Settings
from .operator_overrides import OperatorOverrides
from .outlier_ejection import OutlierEjection
from .state import Attempt, RoutedRequest, Server

ATTEMPT_TIMEOUT_PERCENT = 6  # of the time left that an attempt may take while another is allowed
MAX_PROCESS_PAUSE_US = 150_000  # a balancer may be stopped this long between reading its clock and writing
MIN_CONNECT_TIMEOUTS = 2  # but no less than so many connect timeouts


@dataclass(eq=False)
class RetryPolicy:
    """The rules on attempts. Two attempts at once are never needed here."""

    batch: EventBatch
    settings: Settings
    rng: random.Random
    endpoints: EndpointTable
    overrides: OperatorOverrides
    ejection: OutlierEjection

    @property
    def answer_margin_us(self) -> int:
        """An answer leaves this long before the deadline."""
        return 2 * self.settings.tick_us

    def is_overdue(self, request: RoutedRequest) -> bool:
        """Whether the final answer has to go now."""
        return self.batch.now_us >= request.event.deadline_us - self.answer_margin_us

    def may_attempt(self, request: RoutedRequest) -> bool:
        """Whether a request may go anywhere at all."""
        if request.answered or request.server or len(request.attempts) >= self.settings.max_attempts:
            return False
        return not request.attempt_is_in_flight and not self.is_overdue(request)

    def may_send(self, request: RoutedRequest, server: Server) -> bool:
        """The one place that says whether a request may be sent (again), and where."""
        if not self.may_attempt(request) or not self.ejection.may_receive(server, request.load):
            return False
        first = request.first_executed
        request_class = request.request_class
        if first is None or request_class.idempotency == Idempotency.SAFE:
            return True
        # A second effect must not be: only servers that drop the repeat, and only while they remember it.
        if request_class.idempotency == Idempotency.UNSAFE or self.batch.now_us > _last_repeat_us(
            first, request_class
        ):
            return False
        if request_class.idempotency_scope == IdempotencyScope.ZONE:
            return server.zone == first.server.zone
        return request_class.idempotency_scope == IdempotencyScope.ALL or server.cell == first.server.cell

    def may_reject(self, request: RoutedRequest) -> bool:
        """The one place that says whether a request may be rejected: a retry must be harmless."""
        if request.answered or request.server:
            return False
        request_class = request.request_class
        keyed_everywhere = (
            request_class.idempotency == Idempotency.KEYED
            and request_class.idempotency_scope == IdempotencyScope.ALL
        )
        return request_class.idempotency == Idempotency.SAFE or keyed_everywhere or not request.first_executed

    def may_wait(self, request: RoutedRequest) -> bool:
        """Whether a request that no server may take now waits for one.

        With the last server taken out by an operator there is nothing to wait for.
        """
        if not self.endpoints.ring and self.overrides.suspended_servers:
            return False
        wait_end_us = request.arrived_us + request.request_class.latency_objective_us
        return len(request.attempts) < self.settings.max_attempts and self.batch.now_us < wait_end_us

    def retry_after_us(self) -> int:
        """Spread over half the longest time, so that who is rejected together does not return together."""
        longest_us = self.settings.max_retry_after_us if self.settings.may_send_retry_after else 0
        return int(longest_us * (0.5 + self.rng.random() / 2))

    def attempt_timeout_us(self, request: RoutedRequest) -> int:
        """How long the next attempt may take: room is left for another one, and none outlasts its window."""
        left_us = request.event.deadline_us - self.answer_margin_us - self.batch.now_us
        timeout_us = left_us
        if len(request.attempts) + 1 < self.settings.max_attempts:
            least_us = MIN_CONNECT_TIMEOUTS * self.settings.connect_timeout_us
            timeout_us = min(left_us, max(left_us * ATTEMPT_TIMEOUT_PERCENT // 10, least_us))
        first = request.first_executed
        if first and request.request_class.idempotency == Idempotency.KEYED:
            last_us = _last_repeat_us(first, request.request_class)
            timeout_us = max(1, min(timeout_us, last_us - self.batch.now_us))
        return timeout_us


def _last_repeat_us(first: Attempt, request_class: RequestClass) -> int:
    """Until then a repeat may be decided on: what is written later might be past the window."""
    return first.sent_at_us + request_class.idempotency_window_us - MAX_PROCESS_PAUSE_US
