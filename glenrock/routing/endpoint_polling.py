"""When the endpoint list is asked for: at the start, and again with backoff after a call that failed."""

from __future__ import annotations

import random

from .event_batch import SECOND_US, EventBatch
from .interface import Settings, WatchEndpoints

FIRST_BACKOFF_US = SECOND_US
MAX_DOUBLINGS = 4
START_SPREAD_PARTS = 3  # the first call comes in the first third of the time within which it must
START_SPREAD_PER_BALANCER_US = SECOND_US // 5


class EndpointPolling:
    """Calls for the endpoint list, where the settings say that it comes only when asked for."""

    def __init__(self, batch: EventBatch, settings: Settings, rng: random.Random) -> None:
        self._batch = batch
        self._settings = settings
        self._rng = rng
        self._next_us = 0
        self._asked = False
        self._failures = 0

    def start(self) -> None:
        """Balancers that started together must not all ask at once."""
        spread_us = min(
            self._settings.poll_within_us / START_SPREAD_PARTS,
            self._settings.balancers * START_SPREAD_PER_BALANCER_US,
        )
        self._next_us = self._batch.now_us + int(self._rng.random() * spread_us)

    def record_failure(self) -> None:
        """A call failed: the next one waits, twice as long each time, with jitter."""
        self._asked = False
        self._failures += 1
        backoff_us = FIRST_BACKOFF_US * 2 ** min(self._failures, MAX_DOUBLINGS)
        backoff = min(self._settings.poll_within_us / 2, backoff_us)
        self._next_us = self._batch.now_us + int(backoff * (0.5 + self._rng.random() / 2))

    def record_success(self) -> None:
        """A list or a change of it came."""
        self._failures = 0

    def poll_if_due(self) -> None:
        """Asks for the list where nobody has."""
        if self._settings.must_poll_endpoints and not self._asked and self._batch.now_us >= self._next_us:
            self._asked = True
            self._batch.emit(WatchEndpoints())
