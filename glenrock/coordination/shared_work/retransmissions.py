"""The lease holder's side of telling overrides: which peers lack which, and when each is sent again. Pure."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

from .revision import NO_REVISION, Revision

FIRST_BACKOFF_US = 80_000  # then twice as long each time: datagrams take up to 33 ms, and half may be lost
MAX_BACKOFF_US = 2_000_000
MAX_DOUBLINGS = 10
MAX_AT_ONCE = 64
MAX_OUTSTANDING = 16_384  # heartbeats find what is passed over


class Delivery(NamedTuple):
    """An override on its way to a peer."""

    peer: int
    server: str


class Unacknowledged(NamedTuple):
    """What is on its way, and when it is sent again."""

    revision: Revision
    next_us: int


NOTHING = Unacknowledged(NO_REVISION, 0)


@dataclass(slots=True)
class Retransmissions:
    """What has not been acknowledged. `attempts`: how often each was sent."""

    outstanding: dict[Delivery, Unacknowledged] = field(default_factory=dict)
    attempts: dict[Delivery, int] = field(default_factory=dict)

    def add(self, peer: int, server: str, revision: Revision, now_us: int) -> None:
        """The peer lacks that override; it is due at once."""
        if len(self.outstanding) < MAX_OUTSTANDING:
            self.outstanding[Delivery(peer, server)] = Unacknowledged(revision, now_us)
            self.attempts[Delivery(peer, server)] = 0

    def acknowledged(self, peer: int, server: str, revision: Revision) -> None:
        """The peer has the override up to that revision."""
        delivery = Delivery(peer, server)
        if self.outstanding.get(delivery, NOTHING).revision <= revision:
            self.outstanding.pop(delivery, None)
            self.attempts.pop(delivery, None)

    def due(self, now_us: int) -> list[Delivery]:
        """What is to be sent now; it counts as sent."""
        due = [delivery for delivery, waiting in self.outstanding.items() if waiting.next_us <= now_us]
        del due[MAX_AT_ONCE:]
        for delivery in due:
            self.attempts[delivery] += 1
            backoff_us = FIRST_BACKOFF_US << min(MAX_DOUBLINGS, self.attempts[delivery] - 1)
            next_us = now_us + min(MAX_BACKOFF_US, backoff_us)
            self.outstanding[delivery] = self.outstanding[delivery]._replace(next_us=next_us)
        return due

    def clear(self) -> None:
        """Forgets all: the lease is another's."""
        self.outstanding.clear()
        self.attempts.clear()
