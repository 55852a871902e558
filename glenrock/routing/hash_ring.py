"""A ring of servers for picks that every balancer can repeat: consistent hashing. Nothing is decided here.

Source: Karger et al., Consistent Hashing and Random Trees (STOC 1997). The scramble is splitmix64's (Steele,
    Lea and Flood, Fast Splittable Pseudorandom Number Generators, OOPSLA 2014).
"""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Iterable, Sequence
from itertools import chain
from struct import Struct
from typing import Generic, NamedTuple, Protocol, TypeVar

BITS = 64
MASK = (1 << BITS) - 1
POINTS = 16  # of each server: evens out its arcs
STEP, FIRST, SECOND = 0x9E3779B97F4A7C15, 0xBF58476D1CE4E5B9, 0x94D049BB133111EB  # splitmix64's constants
MIN_POINTS, MAX_POINTS, USUAL_POINTS = 8, 256, 64  # a bucket: outside of these the buckets are laid out anew

# Sixteen numbers side by side in one large one, each in a lane twice its width, so that a product stays
# in its lane: one pass of big-number arithmetic scrambles all points of a server.
LANE_BITS = 2 * BITS
ONES = sum(1 << LANE_BITS * n for n in range(POINTS))
LOW_BITS = ONES * MASK
STEPS = sum((n + STEP & MASK) << LANE_BITS * n for n in range(POINTS))
_unpack_lanes = Struct("<" + "Q8x" * POINTS).unpack


class Hashed(Protocol):
    """Anything that stands on the ring; points are taken from its hash."""

    hash: int


Member = TypeVar("Member", bound=Hashed)


class RingChange(NamedTuple, Generic[Member]):
    """A member with its points, which is put in or taken out."""

    member: Member
    points: tuple[int, ...]
    present: bool


def mix(x: int) -> int:
    """A fixed 64-bit scramble: the same group draws the same servers at every balancer."""
    x = (x + STEP) & MASK
    x = ((x ^ (x >> 30)) * FIRST) & MASK
    x = ((x ^ (x >> 27)) * SECOND) & MASK
    return x ^ (x >> 31)


def ring_points(hash_: int) -> tuple[int, ...]:
    """`mix(hash_ + n)` for each n below POINTS, at a quarter of the price of calling it so often."""
    x = (hash_ * ONES + STEPS) & LOW_BITS
    x = ((x ^ (x >> 30 & LOW_BITS)) * FIRST) & LOW_BITS
    x = ((x ^ (x >> 27 & LOW_BITS)) * SECOND) & LOW_BITS
    return _unpack_lanes((x ^ (x >> 31 & LOW_BITS)).to_bytes(POINTS * LANE_BITS // 8, "little"))


class HashRing(Generic[Member]):
    """Members at points of a circle, which is cut into equal buckets that are sorted when first asked.

    A list of thousands is one change of the ring: to insert its points one by one into sorted lists moves all
    that lie behind, which is quadratic. Each bucket is a dict from point to member.
    """

    def __init__(self) -> None:
        self._count = 0
        self._shift = BITS
        self._buckets: list[dict[int, Member]] = [{}]
        self._sorted: list[list[int] | None] = [[]]

    def __len__(self) -> int:
        """Points on the ring."""
        return self._count

    @property
    def bucket_count(self) -> int:
        """Into how many buckets the ring is cut."""
        return len(self._buckets)

    def change(self, changes: Sequence[RingChange[Member]]) -> None:
        """Puts in each member that is present, and takes out the others, in that order."""
        self._lay_out(self._count + POINTS * sum(present for _, _, present in changes))
        buckets, shift = self._buckets, self._shift
        many = len(changes) > len(buckets)
        if many:
            self._sorted = [None] * len(buckets)
        for member, points, present in changes:
            for point in points:
                if present:
                    buckets[point >> shift].setdefault(point, member)  # shared: it stays with the first
                else:
                    buckets[point >> shift].pop(point, None)
            if not many:
                for point in points:
                    self._sorted[point >> shift] = None
        self._count = sum(map(len, buckets))
        self._lay_out(self._count)

    def at(self, spot: int) -> Member:
        """The member at the first point from that spot on. IndexError where the ring is empty."""
        first = spot >> self._shift
        points = self._points_of(first)
        index = bisect_left(points, spot)
        if index < len(points):
            return self._buckets[first][points[index]]
        for later in chain(range(first + 1, len(self._buckets)), range(first + 1)):
            if points := self._points_of(later):
                return self._buckets[later][points[0]]
        raise IndexError("an empty ring")

    def around(self, spot: int) -> list[Member]:
        """Each member once, in the order met from that spot on."""
        first = spot >> self._shift
        points = self._points_of(first)
        index = bisect_left(points, spot)
        met = [self._buckets[first][point] for point in points[index:]]
        for later in chain(range(first + 1, len(self._buckets)), range(first)):
            bucket = self._buckets[later]
            met += [bucket[point] for point in self._points_of(later)]
        met += [self._buckets[first][point] for point in points[:index]]
        return list(dict.fromkeys(met))

    def _lay_out(self, count: int) -> None:
        """Buckets for so many points, with those that are there."""
        fits = MIN_POINTS <= count / len(self._buckets) <= MAX_POINTS
        if fits or (count <= MAX_POINTS and self._shift == BITS):
            return
        bits = max(0, (count // USUAL_POINTS).bit_length())
        before = self._buckets
        self._shift = BITS - bits
        self._buckets = [{} for _ in range(1 << bits)]
        self._sorted = [None] * len(self._buckets)
        for point, member in _items(before):
            self._buckets[point >> self._shift][point] = member

    def _points_of(self, bucket: int) -> list[int]:
        points = self._sorted[bucket]
        if points is None:
            points = self._sorted[bucket] = sorted(self._buckets[bucket])
        return points


def _items(buckets: Iterable[dict[int, Member]]) -> Iterable[tuple[int, Member]]:
    for bucket in buckets:
        yield from bucket.items()
