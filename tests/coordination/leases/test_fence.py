"""The fence of a receiver accepts effects in order and at most once, also across restarts."""

from __future__ import annotations

from typing import NamedTuple

from hypothesis import given
from hypothesis import strategies as st

from glenrock.coordination.leases.fence import Fence, FencePosition


class DrawnEffect(NamedTuple):
    """A randomly drawn effect, and whether the receiver restarts before it arrives."""

    term: int
    sequence: int
    is_after_restart: bool


drawn_effects = st.builds(DrawnEffect, st.integers(1, 4), st.integers(1, 4), st.booleans())


@given(st.lists(drawn_effects, max_size=40))
def test_fence_accepts_each_effect_once_and_in_order_across_restarts(effects: list[DrawnEffect]) -> None:
    fence = Fence(is_restored=True)
    accepted: list[FencePosition] = []
    for effect in effects:
        if effect.is_after_restart:
            stored, fence = fence.positions, Fence()
            verdict = fence.check_effect("job", 9, 9)
            assert not verdict.is_accepted, "everything is rejected until the positions are restored"
            fence.restore(stored)
        if fence.check_effect("job", effect.term, effect.sequence).is_accepted:
            accepted.append(FencePosition(effect.term, effect.sequence))
    assert accepted == sorted(set(accepted))
