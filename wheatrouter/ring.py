"""A ring of servers for picks that every balancer can repeat: consistent hashing, nothing decided here."""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Sequence
from struct import Struct
from typing import Protocol

BITS = 64
MASK = (1 << BITS) - 1
POINTS = 16  # points of each server: evens out its arcs
STEP, FIRST, SECOND = 0x9E3779B97F4A7C15, 0xBF58476D1CE4E5B9, 0x94D049BB133111EB  # splitmix64's constants
FEW, MANY, USUAL = 8, 256, 64  # points a bucket: outside of FEW to MANY the buckets are laid out anew

# Sixteen numbers side by side in one large one, each in a lane twice its width, so that a product stays
# in its lane: one pass of big-number arithmetic scrambles all points of a server.
LANE = 2 * BITS
ONES = sum(1 << LANE * n for n in range(POINTS))
LOW = ONES * MASK
STEPS = sum((n + STEP & MASK) << LANE * n for n in range(POINTS))
lanes = Struct("<" + "Q8x" * POINTS).unpack


class Spot(Protocol):
    code: int


def mix(x: int) -> int:
    """A fixed 64-bit scramble: the same group draws the same servers at every balancer."""
    x = (x + STEP) & MASK
    x = ((x ^ (x >> 30)) * FIRST) & MASK
    x = ((x ^ (x >> 27)) * SECOND) & MASK
    return x ^ (x >> 31)


def points(code: int) -> tuple[int, ...]:
    """`mix(code + n)` for each n below POINTS, at a quarter of the price of calling it so often."""
    x = (code * ONES + STEPS) & LOW
    x = ((x ^ (x >> 30 & LOW)) * FIRST) & LOW
    x = ((x ^ (x >> 27 & LOW)) * SECOND) & LOW
    return lanes((x ^ (x >> 31 & LOW)).to_bytes(POINTS * LANE // 8, "little"))


class Ring:
    """Servers at points of a circle, which is cut into equal buckets that are sorted when first asked.

    A list of thousands is one change of the ring: to insert its points one by one into sorted lists moves
    all that lie behind, which is quadratic. Each bucket is a dict from point to server.
    """

    def __init__(self) -> None:
        self.count, self.shift = 0, BITS
        self.buckets: list[dict[int, Spot]] = [{}]
        self.sorted: list[list[int] | None] = [[]]

    def __len__(self) -> int:
        return self.count

    def lay_out(self, count: int) -> None:
        """Buckets for so many points, with those that are there."""
        if FEW <= count / len(self.buckets) <= MANY or count <= MANY and self.shift == BITS:
            return
        bits = max(0, (count // USUAL).bit_length())
        there, self.shift = self.buckets, BITS - bits
        self.buckets = [{} for _ in range(1 << bits)]
        self.sorted = [None] * len(self.buckets)
        for bucket in there:
            for point, server in bucket.items():
                self.buckets[point >> self.shift][point] = server

    def change(self, changes: Sequence[tuple[Spot, tuple[int, ...], bool]]) -> None:
        """Puts in each server that stays, at its points, and takes out the others, in that order."""
        self.lay_out(self.count + POINTS * sum(stays for _, _, stays in changes))
        buckets, shift = self.buckets, self.shift
        if len(changes) > len(buckets):
            self.sorted = [None] * len(buckets)
        for server, its, stays in changes:
            for point in its:
                if stays:
                    buckets[point >> shift].setdefault(point, server)  # shared: it stays with the first
                else:
                    buckets[point >> shift].pop(point, None)
            if len(changes) <= len(buckets):
                for point in its:
                    self.sorted[point >> shift] = None
        self.count = sum(map(len, buckets))
        self.lay_out(self.count)

    def points_of(self, at: int) -> list[int]:
        found = self.sorted[at]
        if found is None:
            found = self.sorted[at] = sorted(self.buckets[at])
        return found

    def at(self, spot: int) -> Spot:
        """The server at the first point from that spot on. IndexError where the ring is empty."""
        at = spot >> self.shift
        there = self.points_of(at)
        n = bisect_left(there, spot)
        if n < len(there):
            return self.buckets[at][there[n]]
        for later in (*range(at + 1, len(self.buckets)), *range(at + 1)):
            if there := self.points_of(later):
                return self.buckets[later][there[0]]
        raise IndexError("an empty ring")

    def around(self, spot: int) -> list[Spot]:
        """Each server once, in the order met from that spot on."""
        first = spot >> self.shift
        there = self.points_of(first)
        n = bisect_left(there, spot)
        met = [self.buckets[first][p] for p in there[n:]]
        for at in (*range(first + 1, len(self.buckets)), *range(first)):
            bucket = self.buckets[at]
            met += [bucket[p] for p in self.points_of(at)]
        return list(dict.fromkeys(met + [self.buckets[first][p] for p in there[:n]]))
