"""The lease holder's retransmissions: which peers have not acknowledged which overrides, and when each is sent again.

Pure. Times are whole microseconds.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

from .revision import NO_REVISION, Revision

# Above the round-trip time: a datagram takes up to 33 ms each way, and half of them may be lost. Doubles with each
# attempt.
FIRST_BACKOFF_US = 80_000
MAX_BACKOFF_US = 2_000_000
MAX_DOUBLINGS = 10
MAX_SENDS_PER_ROUND = 64
MAX_UNACKNOWLEDGED = 16_384  # a peer finds overrides beyond this limit by the digest in a heartbeat


class Delivery(NamedTuple):
    """The delivery of a server's override to a peer."""

    peer: int
    server_id: str


class Unacknowledged(NamedTuple):
    """The revision that a peer has not acknowledged, and when it is sent next."""

    revision: Revision
    next_send_us: int


NOTHING_UNACKNOWLEDGED = Unacknowledged(NO_REVISION, 0)


@dataclass(slots=True)
class Retransmissions:
    """The deliveries that are not acknowledged yet.

    Attributes:
        unacknowledged: the revision and the next attempt of each delivery.
        attempts: how many times each delivery was sent.
    """

    unacknowledged: dict[Delivery, Unacknowledged] = field(default_factory=dict)
    attempts: dict[Delivery, int] = field(default_factory=dict)

    def add(self, peer: int, server_id: str, revision: Revision, now_us: int) -> None:
        """Adds an override that a peer lacks; it is due at once.

        If MAX_UNACKNOWLEDGED deliveries are waiting already, the override is not added.
        """
        if len(self.unacknowledged) < MAX_UNACKNOWLEDGED:
            self.unacknowledged[Delivery(peer, server_id)] = Unacknowledged(revision, now_us)
            self.attempts[Delivery(peer, server_id)] = 0

    def acknowledge(self, peer: int, server_id: str, revision: Revision) -> None:
        """Removes a delivery, unless its revision is higher than the one that the peer acknowledges."""
        delivery = Delivery(peer, server_id)
        if self.unacknowledged.get(delivery, NOTHING_UNACKNOWLEDGED).revision <= revision:
            self.unacknowledged.pop(delivery, None)
            self.attempts.pop(delivery, None)

    def start_due_sends(self, now_us: int) -> list[Delivery]:
        """Returns the deliveries to send now, at most MAX_SENDS_PER_ROUND, and schedules their next attempts."""
        due = [delivery for delivery, state in self.unacknowledged.items() if state.next_send_us <= now_us]
        del due[MAX_SENDS_PER_ROUND:]
        for delivery in due:
            self.attempts[delivery] += 1
            backoff_us = FIRST_BACKOFF_US << min(MAX_DOUBLINGS, self.attempts[delivery] - 1)
            next_send_us = now_us + min(MAX_BACKOFF_US, backoff_us)
            self.unacknowledged[delivery] = self.unacknowledged[delivery]._replace(next_send_us=next_send_us)
        return due

    def clear(self) -> None:
        """Removes all deliveries."""
        self.unacknowledged.clear()
        self.attempts.clear()
