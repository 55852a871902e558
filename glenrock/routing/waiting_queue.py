"""Rejected clients, by the bucket of time in which they were first seen: the oldest are admitted first."""

from __future__ import annotations

from dataclasses import dataclass

from .event_batch import EventBatch
from .state import RoutedRequest

MAX_WAITING = 20_000  # clients kept: memory stays bounded in a flood
BUCKETS_UNTIL_EXPIRED = 4
NO_BUCKET = 1 << 62  # past all others: buckets may be negative on a young clock


@dataclass(slots=True)
class WaitingClient:
    """A rejected client that is expected to come again."""

    bucket: int
    load: float
    last_seen_us: int


class WaitingQueue:
    """Clients that were rejected here. All who are rejected together return as one bucket."""

    def __init__(self, batch: EventBatch, bucket_us: int) -> None:
        self._batch = batch
        self.bucket_us = bucket_us
        self.clients: dict[int | str, WaitingClient] = {}

    def __len__(self) -> int:
        """Clients that wait."""
        return len(self.clients)

    def __contains__(self, key: int | str) -> bool:
        """Whether that client waits."""
        return key in self.clients

    def current_bucket(self) -> int:
        """The bucket of a client that is first seen now."""
        return self._batch.now_us // self.bucket_us

    def get(self, key: int | str) -> WaitingClient | None:
        """The client's place, if it has one."""
        return self.clients.get(key)

    def remove(self, key: int | str) -> None:
        """The client was admitted."""
        self.clients.pop(key, None)

    def add_rejected(self, request: RoutedRequest, bucket: int) -> None:
        """The client was rejected: it keeps its place, or gets one while there is room."""
        client = self.clients.get(request.key)
        if client:
            client.last_seen_us = self._batch.now_us
        elif len(self.clients) < MAX_WAITING:
            self.clients[request.key] = WaitingClient(bucket, request.load, self._batch.now_us)

    def requeue(self, request: RoutedRequest) -> None:
        """An admitted client that no server took: it waits by its arrival, and holds no session."""
        bucket = request.arrived_us // self.bucket_us
        self.clients.setdefault(request.key, WaitingClient(bucket, request.load, self._batch.now_us))

    def load_by_bucket(self) -> dict[int, float]:
        """Load that waits: of clients rejected here lately, for others have gone elsewhere."""
        loads: dict[int, float] = {}
        for client in self.clients.values():
            if self._batch.now_us - client.last_seen_us <= self.bucket_us:
                loads[client.bucket] = loads.get(client.bucket, 0.0) + client.load
        return loads

    def expire(self) -> None:
        """Forgets clients that have not come again for some buckets."""
        lapse_us = BUCKETS_UNTIL_EXPIRED * self.bucket_us
        now_us = self._batch.now_us
        expired = [key for key, client in self.clients.items() if now_us - client.last_seen_us > lapse_us]
        for key in expired:
            del self.clients[key]
