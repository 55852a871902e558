"""Who takes part, as this balancer believes it, and the order in which members come for a piece of work. Pure.

For liveness and cost alone: a wrong belief has work done twice or late, never by two owners.
"""

from __future__ import annotations

from collections.abc import Iterable
from functools import lru_cache
from hashlib import blake2b
from typing import Protocol

SILENT_US = 3_000_000  # calm balancers speak each 1 to 5 s by summaries; marks and words come each second
NEVER = -1 << 62


@lru_cache(maxsize=1 << 17)  # members times pieces of work
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


def ranked(key: str, members: Iterable[int]) -> list[int]:
    """Members in their order for this piece of work; who joins or goes changes nobody else's place in it."""
    return sorted(members, key=lambda m: hashed(m, key))


def first(key: str, members: Iterable[int]) -> int:
    return min(members, key=lambda m: hashed(m, key))
