"""Clients and active load as they were some seconds ago: for quotas, and for reports that tell of then."""

from __future__ import annotations

from typing import NamedTuple

from .event_batch import EventBatch


class ActivitySample(NamedTuple):
    """Clients seen here and active load known of the tier, at one time."""

    at_us: int
    clients: int
    tier_load: float


class ActivityHistory:
    """One sample a round, kept for `kept_us`."""

    def __init__(self, batch: EventBatch, kept_us: int) -> None:
        self._batch = batch
        self._kept_us = kept_us
        self.samples: list[ActivitySample] = []

    def record(self, clients: int, tier_load: float) -> None:
        """What is seen now."""
        now_us = self._batch.now_us
        self.samples = [sample for sample in self.samples if now_us - sample.at_us <= self._kept_us]
        self.samples.append(ActivitySample(now_us, clients, tier_load))

    def oldest_within(self, span_us: int) -> ActivitySample | None:
        """The oldest sample that is no older than that."""
        for sample in self.samples:
            if self._batch.now_us - sample.at_us <= span_us:
                return sample
        return None
