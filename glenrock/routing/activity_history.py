"""A history of client counts and active load over the last seconds, for quotas and for late load reports."""

from __future__ import annotations

from typing import NamedTuple

from .event_batch import EventBatch


class ActivitySample(NamedTuple):
    """The number of clients of this balancer, and the known active load of all balancers, at one time."""

    at_us: int
    clients: int
    total_active_load: float


class ActivityHistory:
    """The samples of the last `max_age_us`; one is recorded per round."""

    def __init__(self, batch: EventBatch, max_age_us: int) -> None:
        self._batch = batch
        self._max_age_us = max_age_us
        self.samples: list[ActivitySample] = []

    def record(self, clients: int, total_active_load: float) -> None:
        """Records a sample for the present time."""
        now_us = self._batch.now_us
        self.samples = [sample for sample in self.samples if now_us - sample.at_us <= self._max_age_us]
        self.samples.append(ActivitySample(now_us, clients, total_active_load))

    def oldest_within(self, span_us: int) -> ActivitySample | None:
        """Returns the oldest sample from the last `span_us`; None if there is none."""
        for sample in self.samples:
            if self._batch.now_us - sample.at_us <= span_us:
                return sample
        return None
