"""The waiting queue: rejected clients, ordered by the start of their wait.

The clients that have waited longest are admitted first.
"""

from __future__ import annotations

from dataclasses import dataclass

from .event_batch import EventBatch
from .state import RoutedRequest

MAX_WAITING_CLIENTS = 20_000  # limits the memory use in a flood of requests
CLIENT_EXPIRY_BUCKETS = 4  # a client that has not retried for this many buckets is removed
NO_BUCKET = 1 << 62  # above all buckets, and -NO_BUCKET below all: buckets may be negative near time 0


@dataclass(slots=True)
class WaitingClient:
    """A rejected client that is expected to retry.

    Attributes:
        bucket: index of the period of `WaitingQueue.bucket_us` in which its wait began.
        load: load of its request.
        last_seen_at_us: when it was last rejected.
    """

    bucket: int
    load: float
    last_seen_at_us: int


class WaitingQueue:
    """The clients that this balancer rejected, in buckets of `bucket_us` by the start of their wait.

    A wait starts at the first rejection, or at the arrival of a request that was admitted but not served.
    """

    def __init__(self, batch: EventBatch, bucket_us: int) -> None:
        self._batch = batch
        self.bucket_us = bucket_us
        self.clients: dict[int | str, WaitingClient] = {}

    def __len__(self) -> int:
        """The number of waiting clients."""
        return len(self.clients)

    def __contains__(self, key: int | str) -> bool:
        """Whether the client waits."""
        return key in self.clients

    def current_bucket(self) -> int:
        """Returns the bucket of a client whose first rejection is now."""
        return self._batch.now_us // self.bucket_us

    def get(self, key: int | str) -> WaitingClient | None:
        """Returns the client's entry; None if it does not wait."""
        return self.clients.get(key)

    def remove(self, key: int | str) -> None:
        """Removes a client that was admitted."""
        self.clients.pop(key, None)

    def add_rejected(self, request: RoutedRequest, bucket: int) -> None:
        """Adds a rejected client, unless the queue is full. A client that already waits keeps its bucket."""
        client = self.clients.get(request.key)
        if client:
            client.last_seen_at_us = self._batch.now_us
        elif len(self.clients) < MAX_WAITING_CLIENTS:
            self.clients[request.key] = WaitingClient(bucket, request.load, self._batch.now_us)

    def requeue(self, request: RoutedRequest) -> None:
        """Adds a client whose admitted request was rejected or failed.

        It joins the bucket of its arrival, so that it keeps its place in the order.
        """
        bucket = request.arrived_us // self.bucket_us
        self.clients.setdefault(request.key, WaitingClient(bucket, request.load, self._batch.now_us))

    def load_by_bucket(self) -> dict[int, float]:
        """Returns the waiting load by bucket.

        Clients that were last rejected more than a bucket ago are left out, since they may be waiting at
        another balancer by now.
        """
        loads: dict[int, float] = {}
        for client in self.clients.values():
            if self._batch.now_us - client.last_seen_at_us <= self.bucket_us:
                loads[client.bucket] = loads.get(client.bucket, 0.0) + client.load
        return loads

    def expire(self) -> None:
        """Removes clients that have not retried for `CLIENT_EXPIRY_BUCKETS` buckets."""
        max_unseen_us = CLIENT_EXPIRY_BUCKETS * self.bucket_us
        now_us = self._batch.now_us
        expired = [
            key for key, client in self.clients.items() if now_us - client.last_seen_at_us > max_unseen_us
        ]
        for key in expired:
            del self.clients[key]
