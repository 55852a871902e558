"""Consistent hashing: a hash ring of servers, from which all balancers make the same draws.

Sources: Karger et al., Consistent Hashing and Random Trees (STOC 1997). The mixing function is that of
splitmix64 (Steele, Lea and Flood, Fast Splittable Pseudorandom Number Generators, OOPSLA 2014).
"""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Iterable, Sequence
from itertools import chain
from struct import Struct
from typing import Generic, NamedTuple, Protocol, TypeVar

HASH_BITS = 64
HASH_MASK = (1 << HASH_BITS) - 1
POINTS_PER_MEMBER = 16

# Constants of splitmix64.
SPLITMIX_INCREMENT = 0x9E3779B97F4A7C15
FIRST_MULTIPLIER = 0xBF58476D1CE4E5B9
SECOND_MULTIPLIER = 0x94D049BB133111EB

# Points per bucket. If the mean is out of bounds, the ring is divided anew into buckets of the usual number.
MIN_BUCKET_POINTS = 8
MAX_BUCKET_POINTS = 256
USUAL_BUCKET_POINTS = 64

# `ring_points` packs one 64-bit number per point into a single large integer. Each number has a lane of twice
# its width, so that products do not overflow into the next lane. One pass of integer arithmetic then mixes
# all points of a member (benchmark: benchmarks/ring_lists.py).
LANE_BITS = 2 * HASH_BITS
LANE_ONES = sum(1 << LANE_BITS * index for index in range(POINTS_PER_MEMBER))
LANE_MASK = LANE_ONES * HASH_MASK
LANE_INCREMENTS = sum(
    (index + SPLITMIX_INCREMENT & HASH_MASK) << LANE_BITS * index for index in range(POINTS_PER_MEMBER)
)
_unpack_lanes = Struct("<" + "Q8x" * POINTS_PER_MEMBER).unpack


class Hashed(Protocol):
    """A member of a ring. The positions of its points are derived from its hash."""

    hash: int


Member = TypeVar("Member", bound=Hashed)


class RingChange(NamedTuple, Generic[Member]):
    """A member to add to the ring if `is_present`, or to remove otherwise, with its points."""

    member: Member
    points: tuple[int, ...]
    is_present: bool


def mix(number: int) -> int:
    """Returns the splitmix64 hash of a 64-bit number, which is the same at every balancer."""
    number = (number + SPLITMIX_INCREMENT) & HASH_MASK
    number = ((number ^ (number >> 30)) * FIRST_MULTIPLIER) & HASH_MASK
    number = ((number ^ (number >> 27)) * SECOND_MULTIPLIER) & HASH_MASK
    return number ^ (number >> 31)


def ring_points(hash_: int) -> tuple[int, ...]:
    """Returns `mix(hash_ + index)` for each index below `POINTS_PER_MEMBER`, faster than separate calls."""
    lanes = (hash_ * LANE_ONES + LANE_INCREMENTS) & LANE_MASK
    lanes = ((lanes ^ (lanes >> 30 & LANE_MASK)) * FIRST_MULTIPLIER) & LANE_MASK
    lanes = ((lanes ^ (lanes >> 27 & LANE_MASK)) * SECOND_MULTIPLIER) & LANE_MASK
    return _unpack_lanes(
        (lanes ^ (lanes >> 31 & LANE_MASK)).to_bytes(POINTS_PER_MEMBER * LANE_BITS // 8, "little")
    )


class HashRing(Generic[Member]):
    """A hash ring, divided into buckets of equal width whose points are sorted when they are first used.

    Each bucket is a dict from point to member, so that adding or removing thousands of members takes linear
    time. Inserting their points into one sorted list would take quadratic time.
    """

    def __init__(self) -> None:
        self._count = 0
        self._shift = HASH_BITS
        self._buckets: list[dict[int, Member]] = [{}]
        self._sorted_points: list[list[int] | None] = [[]]  # by bucket; None if it has changed

    def __len__(self) -> int:
        """Number of points on the ring."""
        return self._count

    @property
    def bucket_count(self) -> int:
        """Number of buckets."""
        return len(self._buckets)

    def change(self, changes: Sequence[RingChange[Member]]) -> None:
        """Applies the changes in the given order."""
        self._resize(self._count + POINTS_PER_MEMBER * sum(is_present for _, _, is_present in changes))
        buckets, shift = self._buckets, self._shift
        are_many = len(changes) > len(buckets)
        if are_many:
            self._sorted_points = [None] * len(buckets)
        for member, points, is_present in changes:
            for point in points:
                if is_present:  # a point shared by two members stays with the first one
                    buckets[point >> shift].setdefault(point, member)
                else:
                    buckets[point >> shift].pop(point, None)
            if not are_many:
                for point in points:
                    self._sorted_points[point >> shift] = None
        self._count = sum(map(len, buckets))
        self._resize(self._count)

    def at(self, position: int) -> Member:
        """Returns the member at the first point at or after the position, wrapping around at the end.

        Raises IndexError if the ring is empty.
        """
        first = position >> self._shift
        points = self._points_in_bucket(first)
        index = bisect_left(points, position)
        if index < len(points):
            return self._buckets[first][points[index]]
        for later in chain(range(first + 1, len(self._buckets)), range(first + 1)):
            if points := self._points_in_bucket(later):
                return self._buckets[later][points[0]]
        raise IndexError("the ring is empty")

    def members_from(self, position: int) -> list[Member]:
        """Returns each member once, in the order of their first points at or after the position."""
        first = position >> self._shift
        points = self._points_in_bucket(first)
        index = bisect_left(points, position)
        members = [self._buckets[first][point] for point in points[index:]]
        for later in chain(range(first + 1, len(self._buckets)), range(first)):
            bucket = self._buckets[later]
            members += [bucket[point] for point in self._points_in_bucket(later)]
        members += [self._buckets[first][point] for point in points[:index]]
        return list(dict.fromkeys(members))

    def _resize(self, count: int) -> None:
        """Divides the ring into new buckets if this number of points does not fit the present buckets."""
        fits = MIN_BUCKET_POINTS <= count / len(self._buckets) <= MAX_BUCKET_POINTS
        if fits or (count <= MAX_BUCKET_POINTS and self._shift == HASH_BITS):
            return
        bits = max(0, (count // USUAL_BUCKET_POINTS).bit_length())
        before = self._buckets
        self._shift = HASH_BITS - bits
        self._buckets = [{} for _ in range(1 << bits)]
        self._sorted_points = [None] * len(self._buckets)
        for point, member in _all_points(before):
            self._buckets[point >> self._shift][point] = member

    def _points_in_bucket(self, bucket: int) -> list[int]:
        """Returns the sorted points of a bucket, sorting them if the bucket has changed."""
        points = self._sorted_points[bucket]
        if points is None:
            points = self._sorted_points[bucket] = sorted(self._buckets[bucket])
        return points


def _all_points(buckets: Iterable[dict[int, Member]]) -> Iterable[tuple[int, Member]]:
    for bucket in buckets:
        yield from bucket.items()
