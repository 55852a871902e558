"""The hash ring, compared with a plain sorted list under changes in any order."""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Sequence
from dataclasses import dataclass

from hypothesis import given, settings
from hypothesis import strategies as st

from glenrock.routing.hash_ring import HASH_MASK, POINTS_PER_MEMBER, HashRing, RingChange, mix, ring_points
from glenrock.routing.state import stable_hash


@dataclass(eq=False)
class Member:
    """A member of a ring."""

    hash: int


class SortedListRing:
    """A reference implementation: one dict whose points are sorted for each query."""

    def __init__(self) -> None:
        self.points: dict[int, Member] = {}

    def change(self, changes: Sequence[RingChange[Member]]) -> None:
        """Applies the changes in the given order."""
        for member, points, is_present in changes:
            for point in points:
                if is_present:
                    self.points.setdefault(point, member)
                else:
                    self.points.pop(point, None)

    def members_from(self, position: int) -> list[Member]:
        """Returns each member once, in the order of their first points at or after the position."""
        order = sorted(self.points)
        first = bisect_left(order, position)
        return list(dict.fromkeys(self.points[point] for point in order[first:] + order[:first]))


@given(st.integers(0, HASH_MASK))
def test_ring_points_equal_single_mix_calls(member_hash: int) -> None:
    assert list(ring_points(member_hash)) == [mix(member_hash + number) for number in range(POINTS_PER_MEMBER)]


@settings(max_examples=60, deadline=None)
@given(
    st.lists(st.lists(st.tuples(st.integers(0, 300), st.booleans()), max_size=120), max_size=6),
    st.lists(st.integers(0, HASH_MASK), min_size=1, max_size=20),
)
def test_ring_equals_a_sorted_list(batches: list[list[tuple[int, bool]]], positions: list[int]) -> None:
    members = [Member(stable_hash(f"10.0.0.{number}:80")) for number in range(301)]
    members[7].hash = members[8].hash  # the two members share every point, and the first one added keeps it
    ring: HashRing[Member] = HashRing()
    expected_ring = SortedListRing()
    for batch_number, batch in enumerate(batches):
        changes = []
        for member_number, is_present in batch:
            member = members[member_number]
            changes.append(RingChange(member, ring_points(member.hash), is_present))
        ring.change(changes)
        expected_ring.change(changes)
        assert len(ring) == len(expected_ring.points)
        # Only some positions are queried between changes, so that changes meet both sorted and unsorted buckets.
        for position in [*positions[: batch_number + 1], 0, HASH_MASK]:
            expected = expected_ring.members_from(position)
            if expected:
                assert ring.at(position) is expected[0]
            assert ring.members_from(position) == expected


def test_ring_resizes_for_a_large_list() -> None:
    ring: HashRing[Member] = HashRing()
    expected_ring = SortedListRing()
    hashes = [stable_hash(str(number)) for number in range(3000)]
    additions = [RingChange(Member(member_hash), ring_points(member_hash), True) for member_hash in hashes]
    removals = [RingChange(member, points, False) for member, points, _ in additions[5:]]
    for changes in (additions, removals, additions[:50]):
        ring.change(changes)
        expected_ring.change(changes)
        positions = [mix(number) for number in range(20)]
        assert all(ring.at(position) is expected_ring.members_from(position)[0] for position in positions)
    assert ring.bucket_count < 50, "the ring shrinks its number of buckets again"
