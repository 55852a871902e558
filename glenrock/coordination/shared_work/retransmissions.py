"""The lease holder's retransmissions: which peer has not acknowledged which override, and when each is sent again.

Pure. Times are whole microseconds.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

from .revision import NO_REVISION, Revision

FIRST_BACKOFF_US = 80_000  # above the round trip between balancers; doubles with each attempt
MAX_BACKOFF_US = 2_000_000
MAX_DOUBLINGS = 10
MAX_SENDS_PER_ROUND = 64
MAX_UNACKNOWLEDGED = 16_384  # an override beyond it is found by the digest of a heartbeat


class Delivery(NamedTuple):
    """An override for a peer."""

    peer: int
    server_id: str


class Unacknowledged(NamedTuple):
    """The revision that a peer has not acknowledged, and when it is sent again."""

    revision: Revision
    next_send_us: int


NOTHING_UNACKNOWLEDGED = Unacknowledged(NO_REVISION, 0)


@dataclass(slots=True)
class Retransmissions:
    """Deliveries without an acknowledgement.

    Attributes:
        unacknowledged: the revision of each delivery.
        attempts: how often each was sent.
    """

    unacknowledged: dict[Delivery, Unacknowledged] = field(default_factory=dict)
    attempts: dict[Delivery, int] = field(default_factory=dict)

    def add(self, peer: int, server_id: str, revision: Revision, now_us: int) -> None:
        """Adds an override that a peer lacks; it is due at once."""
        if len(self.unacknowledged) < MAX_UNACKNOWLEDGED:
            self.unacknowledged[Delivery(peer, server_id)] = Unacknowledged(revision, now_us)
            self.attempts[Delivery(peer, server_id)] = 0

    def acknowledge(self, peer: int, server_id: str, revision: Revision) -> None:
        """Removes a delivery whose peer has the override up to `revision`."""
        delivery = Delivery(peer, server_id)
        if self.unacknowledged.get(delivery, NOTHING_UNACKNOWLEDGED).revision <= revision:
            self.unacknowledged.pop(delivery, None)
            self.attempts.pop(delivery, None)

    def start_due_sends(self, now_us: int) -> list[Delivery]:
        """Returns the deliveries to send now, and schedules their next attempts."""
        due = [delivery for delivery, waiting in self.unacknowledged.items() if waiting.next_send_us <= now_us]
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
