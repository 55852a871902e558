"""Who takes part, as this balancer believes it, and the order in which members come for a piece of work. Pure.

For liveness and cost alone: a wrong belief has work done twice or late, never by two owners.
"""

from __future__ import annotations

from collections.abc import Iterable
from functools import lru_cache
from hashlib import blake2b
from typing import Protocol

SILENT_US = 3_000_000  # calm balancers speak each 1 to 5 s by summaries; marks and words come each second
MASK = (1 << 64) - 1


@lru_cache(maxsize=1 << 14)  # members and pieces of work
def hashed(*parts: object) -> int:
    return int.from_bytes(blake2b("\0".join(map(str, parts)).encode(), digest_size=8).digest(), "big")


class Roster(Protocol):
    me: int

    def members(self, now: int) -> Iterable[int]: ...


class Heard:
    """The configured peers, less those that have been silent; until one can have spoken it counts as there."""

    def __init__(self, me: int, peers: Iterable[int], began: int) -> None:
        self.me = me
        self.heard = dict.fromkeys((p for p in peers if p != me), began)

    def hear(self, peer: int, now: int) -> None:
        if peer in self.heard:
            self.heard[peer] = now

    def members(self, now: int) -> Iterable[int]:
        return (self.me, *(p for p, at in self.heard.items() if now - at < SILENT_US))


def place(member: int, key: int) -> int:
    """A member's place for a piece of work, by its hash: mixed from two that are kept, since fleets have many pairs."""
    x = ((hashed(member) ^ key) * 0x9E3779B97F4A7C15) & MASK
    x = ((x ^ x >> 32) * 0xBF58476D1CE4E5B9) & MASK
    return x ^ x >> 29


def first(key: str, members: Iterable[int]) -> int:
    """The member that a piece of work is for; who joins or goes changes nobody else's place in its order."""
    code = hashed(key)
    return min(members, key=lambda m: place(m, code))


def rank(key: str, me: int, members: Iterable[int], most: int) -> int:
    """How many members come before this one, counted up to `most`."""
    code, before = hashed(key), 0
    mine = place(me, code)
    for m in members:
        if place(m, code) < mine:
            before += 1
            if before >= most:
                break
    return before
