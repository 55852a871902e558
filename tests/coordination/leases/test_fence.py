"""A receiver's fence."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from glenrock.coordination.leases.fence import Fence


@given(st.lists(st.tuples(st.integers(1, 4), st.integers(1, 4), st.booleans()), max_size=40))
def test_fence_accepts_each_effect_once_and_in_order_across_is_restart(effects) -> None:
    fence, accepted = Fence(is_restored=True), []
    for term, sequence, is_restart in effects:
        if is_restart:
            stored, fence = fence.positions, Fence()
            verdict = fence.check_effect("job", 9, 9)
            assert not verdict.is_accepted, "everything is rejected until the positions are restored"
            fence.restore(stored)
        if fence.check_effect("job", term, sequence).is_accepted:
            accepted.append((term, sequence))
    assert accepted == sorted(set(accepted))
