"""The ring against a plain sorted list: the same picks, whatever came in which order."""

from __future__ import annotations

from bisect import bisect_left
from dataclasses import dataclass

from hypothesis import given, settings
from hypothesis import strategies as st

from glenrock.routing.hash_ring import MASK, POINTS, HashRing, RingChange, mix, ring_points
from glenrock.routing.state import stable_hash


@dataclass(eq=False)
class Spot:
    hash: int


class Plain:
    """What the ring promises, written down in the simplest way."""

    def __init__(self) -> None:
        self.there: dict[int, Spot] = {}

    def change(self, changes) -> None:
        for spot, its, stays in changes:
            for point in its:
                if stays:
                    self.there.setdefault(point, spot)
                else:
                    self.there.pop(point, None)

    def around(self, spot: int) -> list[Spot]:
        order = sorted(self.there)
        n = bisect_left(order, spot)
        return list(dict.fromkeys(self.there[p] for p in order[n:] + order[:n]))


@given(st.integers(0, MASK))
def test_ring_points_equal_single_mix_calls(code: int) -> None:
    assert list(ring_points(code)) == [mix(code + n) for n in range(POINTS)]


@settings(max_examples=60, deadline=None)
@given(
    st.lists(st.lists(st.tuples(st.integers(0, 300), st.booleans()), max_size=120), max_size=6),
    st.lists(st.integers(0, MASK), min_size=1, max_size=20),
)
def test_ring_equals_a_sorted_list(lists: list[list[tuple[int, bool]]], asked: list[int]) -> None:
    spots = [Spot(stable_hash(f"10.0.0.{n}:80")) for n in range(301)]
    spots[7].hash = spots[8].hash  # two that share every point: the first keeps them
    ring, plain = HashRing(), Plain()
    for n, changes in enumerate(lists):
        whole = [RingChange(spots[m], ring_points(spots[m].hash), stays) for m, stays in changes]
        ring.change(whole)
        plain.change(whole)
        assert len(ring) == len(plain.there)
        # Only some are asked in between, so that buckets are changed sorted and unsorted.
        for spot in asked[: n + 1] + [0, MASK]:
            want = plain.around(spot)
            if want:
                assert ring.at(spot) is want[0]
            assert ring.around(spot) == want


def test_ring_resizes_for_a_large_list() -> None:
    ring, plain = HashRing(), Plain()
    whole = [RingChange(Spot(stable_hash(str(n))), ring_points(stable_hash(str(n))), True) for n in range(3000)]
    for part in (whole, [RingChange(s, p, False) for s, p, _ in whole[5:]], whole[:50]):
        ring.change(part)
        plain.change(part)
        assert all(ring.at(mix(n)) is plain.around(mix(n))[0] for n in range(20))
    assert ring.bucket_count < 50  # it does not keep the room of the large one
