"""The numbers of clients and the active load of the last seconds, for quotas and for late load reports."""

from __future__ import annotations

from typing import NamedTuple

from .event_batch import EventBatch


class ActivitySample(NamedTuple):
    """Clients seen by this balancer, and the known active load of the tier, at one time."""

    at_us: int
    clients: int
    total_active_load: float


class ActivityHistory:
    """Samples of the last `max_age_us`, one a round."""

    def __init__(self, batch: EventBatch, max_age_us: int) -> None:
        self._batch = batch
        self._max_age_us = max_age_us
        self.samples: list[ActivitySample] = []

    def record(self, clients: int, total_active_load: float) -> None:
        """Records a sample of the present time."""
        now_us = self._batch.now_us
        self.samples = [sample for sample in self.samples if now_us - sample.at_us <= self._max_age_us]
        self.samples.append(ActivitySample(now_us, clients, total_active_load))

    def oldest_within(self, span_us: int) -> ActivitySample | None:
        """Returns the oldest sample of the last `span_us`; None if there is none."""
        for sample in self.samples:
            if self._batch.now_us - sample.at_us <= span_us:
                return sample
        return None
