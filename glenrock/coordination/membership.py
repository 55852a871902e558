"""Which balancers this one regards as alive, and the order of preference among them for a piece of work.

This module does no I/O and reads no clock. Times are whole microseconds. Safety does not depend on membership: if it is
wrong, work may be done late or twice, but never by two lease holders.

The order of preference is that of rendezvous hashing (Thaler and Ravishankar, Using Name-Based Mappings to Increase Hit
Rates, 1998): a member that joins or leaves does not change the order of the others.
"""

from __future__ import annotations

from collections.abc import Iterable
from functools import lru_cache
from hashlib import blake2b
from typing import Protocol

# Three intervals of heartbeats and shared loads. Gossip summaries come each 1 to 5 s, so a quiet peer may count as not
# alive for a while, which costs calls only.
LIVENESS_TIMEOUT_US = 3_000_000
HASH_BITS = 64
HASH_MASK = (1 << HASH_BITS) - 1
MAX_CACHED_HASHES = 1 << 14
FIRST_MULTIPLIER, SECOND_MULTIPLIER = 0x9E3779B97F4A7C15, 0xBF58476D1CE4E5B9  # constants of splitmix64


@lru_cache(maxsize=MAX_CACHED_HASHES)
def stable_hash(*parts: object) -> int:
    """Returns a 64-bit hash of the parts that is the same on every balancer and in every run."""
    return int.from_bytes(blake2b("\0".join(map(str, parts)).encode(), digest_size=8).digest(), "big")


class Membership(Protocol):
    """The members among which work is distributed.

    Attributes:
        me: index of this balancer.
    """

    me: int

    def members(self, now_us: int) -> Iterable[int]:
        """Returns the indexes of the balancers that are alive, this one included."""
        ...


class PeerLiveness:
    """Regards a configured peer as alive if a datagram from it arrived within `LIVENESS_TIMEOUT_US`.

    At the start, each peer counts as just heard, since it may not have had the time to send a datagram yet.

    Attributes:
        me: index of this balancer.
        last_heard_us: when the last datagram from a peer arrived, by peer.
    """

    def __init__(self, me: int, peers: Iterable[int], started_us: int) -> None:
        self.me = me
        self.last_heard_us = dict.fromkeys((peer for peer in peers if peer != me), started_us)

    def record_heard(self, peer: int, now_us: int) -> None:
        """Records that a datagram from a peer arrived. A peer that is not configured is ignored."""
        if peer in self.last_heard_us:
            self.last_heard_us[peer] = now_us

    def members(self, now_us: int) -> Iterable[int]:
        """Returns this balancer and the peers that are alive."""
        return (
            self.me,
            *(peer for peer, heard_us in self.last_heard_us.items() if now_us - heard_us < LIVENESS_TIMEOUT_US),
        )


def rendezvous_score(member: int, key_hash: int) -> int:
    """Returns a member's score for a piece of work; the member with the lowest score is preferred.

    It mixes two cached hashes, since a large tier has too many pairs of member and work to hash each pair.

    Args:
        member: index of the member.
        key_hash: `stable_hash` of the piece of work.
    """
    mixed = ((stable_hash(member) ^ key_hash) * FIRST_MULTIPLIER) & HASH_MASK
    mixed = ((mixed ^ mixed >> 32) * SECOND_MULTIPLIER) & HASH_MASK
    return mixed ^ mixed >> 29


def preferred_member(key: str, members: Iterable[int]) -> int:
    """Returns the member that is preferred for a piece of work, the first in its rendezvous order."""
    key_hash = stable_hash(key)
    return min(members, key=lambda member: rendezvous_score(member, key_hash))


def rank(key: str, me: int, members: Iterable[int], limit: int) -> int:
    """Returns how many members come before `me` in the order for a piece of work, counted up to `limit`."""
    key_hash = stable_hash(key)
    own_score = rendezvous_score(me, key_hash)
    preferred_count = 0
    for member in members:
        if rendezvous_score(member, key_hash) < own_score:
            preferred_count += 1
            if preferred_count >= limit:
                break
    return preferred_count
