"""The invariants of the lease protocol hold in the model checker, and each injected fault breaks one."""

from __future__ import annotations

import pytest

from glenrock.coordination.leases.model_checker import InjectedFault, Invariant, ModelChecker


@pytest.mark.parametrize(
    "fault, found",
    [
        (None, None),
        (InjectedFault.STORE_LOSES_TERMS, None),
        (InjectedFault.UNCHECKED_EFFECTS, Invariant.EFFECT_WITHIN_LEASE),
        (InjectedFault.LEASE_COUNTED_FROM_ANSWER, Invariant.EFFECT_WITHIN_LEASE),
        (InjectedFault.FENCE_LOSES_POSITIONS, Invariant.TERM_ORDER),
        (InjectedFault.STORE_VOIDS_LEASES, Invariant.EFFECT_WITHIN_LEASE),
        (InjectedFault.REQUESTS_IN_ANY_ORDER, Invariant.EFFECT_WITHIN_LEASE),
    ],
)
def test_invariants_hold_and_each_injected_fault_is_found(fault: InjectedFault | None, found: Invariant | None) -> None:
    # These two violations need long traces. Clock skips and message loss are left out for them, since the search would
    # take too long for CI.
    is_shallow = fault not in (InjectedFault.FENCE_LOSES_POSITIONS, InjectedFault.REQUESTS_IN_ANY_ORDER)
    result = ModelChecker(
        max_messages=2,
        max_restarts=1,
        max_terms=2,
        receivers=1,
        has_clock_skips=is_shallow,
        has_message_loss=is_shallow,
        faults=frozenset([fault] if fault else []),
        max_states=60_000 if is_shallow else 300_000,
    ).run()
    if found is None:
        assert result.violation is None, (result.violation, result.trace)
        assert result.states > 1000
    else:
        assert result.violation is not None, result
        assert result.violation.invariant is found, result


@pytest.mark.parametrize("max_restarts, states", [(0, 4216), (1, 12_536)])
def test_small_models_are_searched_to_the_end(max_restarts: int, states: int) -> None:
    result = ModelChecker(
        receivers=1,
        max_messages=2,
        max_restarts=max_restarts,
        max_terms=1,
        has_clock_skips=False,
        has_message_loss=False,
    ).run()
    assert result.is_complete
    assert result.violation is None
    assert result.states == states
