"""Which balancers are there, as this one believes, and the order in which members come for a piece of work.

Pure. For liveness and cost alone: a wrong belief has work done twice or late, never by two lease holders. The order is
rendezvous hashing (Thaler and Ravishankar, Using Name-Based Mappings to Increase Hit Rates, 1998): who joins or goes
changes nobody else's place. Times are microseconds.
"""

from __future__ import annotations

from collections.abc import Iterable
from functools import lru_cache
from hashlib import blake2b
from typing import Protocol

SILENT_US = 3_000_000  # calm balancers speak each 1 to 5 s by gossip; heartbeats come each second
HASH_BITS = 64
HASH_MASK = (1 << HASH_BITS) - 1
HASHES_CACHED = 1 << 14  # members and pieces of work
FIRST_FACTOR, SECOND_FACTOR = 0x9E3779B97F4A7C15, 0xBF58476D1CE4E5B9  # splitmix64's


@lru_cache(maxsize=HASHES_CACHED)
def stable_hash(*parts: object) -> int:
    """A 64-bit number, the same at every balancer and in every run."""
    return int.from_bytes(blake2b("\0".join(map(str, parts)).encode(), digest_size=8).digest(), "big")


class Membership(Protocol):
    """Who takes part. `me` is this balancer's number."""

    me: int

    def members(self, now_us: int) -> Iterable[int]:
        """Numbers of the balancers that are believed to be there, this one's included."""
        ...


class PeerLiveness:
    """The configured peers, less those that have been silent; until one can have spoken it counts as there.

    Attributes:
        me: this balancer's number.
        heard_us: when each peer was heard last.
    """

    def __init__(self, me: int, peers: Iterable[int], began_us: int) -> None:
        self.me = me
        self.heard_us = dict.fromkeys((peer for peer in peers if peer != me), began_us)

    def record_heard(self, peer: int, now_us: int) -> None:
        """Anything came from that peer. One that is not configured changes nothing."""
        if peer in self.heard_us:
            self.heard_us[peer] = now_us

    def members(self, now_us: int) -> Iterable[int]:
        """This balancer, and the peers that were heard lately."""
        return (self.me, *(peer for peer, at_us in self.heard_us.items() if now_us - at_us < SILENT_US))


def rendezvous_score(member: int, key_hash: int) -> int:
    """A member's score for a piece of work; the lowest comes first.

    Mixed from two hashes that are cached, since large tiers have many pairs.
    """
    x = ((stable_hash(member) ^ key_hash) * FIRST_FACTOR) & HASH_MASK
    x = ((x ^ x >> 32) * SECOND_FACTOR) & HASH_MASK
    return x ^ x >> 29


def preferred_member(key: str, members: Iterable[int]) -> int:
    """The member that a piece of work is for."""
    key_hash = stable_hash(key)
    return min(members, key=lambda member: rendezvous_score(member, key_hash))


def rank(key: str, me: int, members: Iterable[int], most: int) -> int:
    """How many members come before this one, counted up to `most`."""
    key_hash = stable_hash(key)
    own_score = rendezvous_score(me, key_hash)
    before = 0
    for member in members:
        if rendezvous_score(member, key_hash) < own_score:
            before += 1
            if before >= most:
                break
    return before
