"""The ring compared with a plain sorted list, under changes in any order."""

from __future__ import annotations

from bisect import bisect_left
from dataclasses import dataclass

from hypothesis import given, settings
from hypothesis import strategies as st

from glenrock.routing.hash_ring import MASK, POINTS, HashRing, RingChange, mix, ring_points
from glenrock.routing.state import stable_hash


@dataclass(eq=False)
class Member:
    hash: int


class SortedListRing:
    """The same ring as one dict, sorted for each query."""

    def __init__(self) -> None:
        self.points: dict[int, Member] = {}

    def change(self, changes) -> None:
        for member, points, is_present in changes:
            for point in points:
                if is_present:
                    self.points.setdefault(point, member)
                else:
                    self.points.pop(point, None)

    def around(self, position: int) -> list[Member]:
        order = sorted(self.points)
        n = bisect_left(order, position)
        return list(dict.fromkeys(self.points[p] for p in order[n:] + order[:n]))


@given(st.integers(0, MASK))
def test_ring_points_equal_single_mix_calls(code: int) -> None:
    assert list(ring_points(code)) == [mix(code + n) for n in range(POINTS)]


@settings(max_examples=60, deadline=None)
@given(
    st.lists(st.lists(st.tuples(st.integers(0, 300), st.booleans()), max_size=120), max_size=6),
    st.lists(st.integers(0, MASK), min_size=1, max_size=20),
)
def test_ring_equals_a_sorted_list(lists: list[list[tuple[int, bool]]], positions: list[int]) -> None:
    members = [Member(stable_hash(f"10.0.0.{n}:80")) for n in range(301)]
    members[7].hash = members[8].hash  # they share every point, which the first keeps
    ring, expected_ring = HashRing(), SortedListRing()
    for n, changes in enumerate(lists):
        ring_changes = [RingChange(members[m], ring_points(members[m].hash), is_present) for m, is_present in changes]
        ring.change(ring_changes)
        expected_ring.change(ring_changes)
        assert len(ring) == len(expected_ring.points)
        # Only some positions are queried in between, so that sorted and unsorted buckets are changed.
        for position in [*positions[: n + 1], 0, MASK]:
            want = expected_ring.around(position)
            if want:
                assert ring.at(position) is want[0]
            assert ring.around(position) == want


def test_ring_resizes_for_a_large_list() -> None:
    ring, expected_ring = HashRing(), SortedListRing()
    ring_changes = [
        RingChange(Member(stable_hash(str(n))), ring_points(stable_hash(str(n))), True) for n in range(3000)
    ]
    for part in (ring_changes, [RingChange(s, p, False) for s, p, _ in ring_changes[5:]], ring_changes[:50]):
        ring.change(part)
        expected_ring.change(part)
        assert all(ring.at(mix(n)) is expected_ring.around(mix(n))[0] for n in range(20))
    assert ring.bucket_count < 50  # the buckets of the large list are gone
