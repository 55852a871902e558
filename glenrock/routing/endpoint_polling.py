"""When to call service discovery for the endpoint list: at the start, and with backoff after a failure.

The simulator's adapter and the simulation execute `WatchEndpoints`. The program ignores it and polls as
`glenrock.net.poll_backoff` schedules.
"""

from __future__ import annotations

import random

from .event_batch import SECOND_US, EventBatch
from .interface import Settings, WatchEndpoints

BASE_BACKOFF_US = SECOND_US  # doubled for each consecutive failure, including the first
MAX_DOUBLINGS = 4  # of the backoff
START_SPREAD_DIVISOR = 3  # the first call happens within this part of `poll_within_us`
START_SPREAD_PER_BALANCER_US = SECOND_US // 5
# From the start, and from a failure to the next call: a change counts as told after 6 s.
MAX_CALL_DELAY_US = 5 * SECOND_US


class EndpointPolling:
    """Requests the endpoint list, if the settings require that it is polled."""

    def __init__(self, batch: EventBatch, settings: Settings, rng: random.Random) -> None:
        self._batch = batch
        self._settings = settings
        self._rng = rng
        self._next_call_us = 0
        self._is_subscribed = False
        self._consecutive_failures = 0

    def start(self) -> None:
        """Schedules the first call at random, so that balancers that start together spread their calls."""
        spread_us = min(
            self._settings.poll_within_us / START_SPREAD_DIVISOR,
            self._settings.balancers * START_SPREAD_PER_BALANCER_US,
            MAX_CALL_DELAY_US,
        )
        self._next_call_us = self._batch.now_us + int(self._rng.random() * spread_us)

    def record_failure(self) -> None:
        """Schedules the next call after a failure, with exponential backoff and jitter."""
        self._is_subscribed = False
        self._consecutive_failures += 1
        exponential_us = BASE_BACKOFF_US * 2 ** min(self._consecutive_failures, MAX_DOUBLINGS)
        backoff_us = min(self._settings.poll_within_us / 2, exponential_us, MAX_CALL_DELAY_US)
        self._next_call_us = self._batch.now_us + int(backoff_us * (0.5 + self._rng.random() / 2))

    def record_success(self) -> None:
        """Resets the backoff after an endpoint list or a change to it has arrived."""
        self._consecutive_failures = 0

    def poll_if_due(self) -> None:
        """Requests the endpoint list if a call is due."""
        is_due = self._batch.now_us >= self._next_call_us
        if self._settings.must_poll_endpoints and not self._is_subscribed and is_due:
            self._is_subscribed = True
            self._batch.emit(WatchEndpoints())
