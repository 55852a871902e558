"""Candidates, store and receivers in the model checker."""

from __future__ import annotations

import pytest

from glenrock.coordination.leases.model_checker import Invariant, ModelChecker, PlantedFault


@pytest.mark.parametrize(
    "fault, found",
    [
        (None, None),
        (PlantedFault.STORE_FORGETS, None),
        (PlantedFault.NO_CHECK, Invariant.LATE),
        (PlantedFault.COUNTED_FROM_ANSWER, Invariant.LATE),
        (PlantedFault.FENCE_FORGETS, Invariant.ORDER),
        (PlantedFault.STORE_VOIDS, Invariant.LATE),
        (PlantedFault.ANY_ORDER, Invariant.LATE),
    ],
)
def test_invariants_hold_and_each_planted_fault_is_found(fault: PlantedFault | None, found: Invariant | None) -> None:
    # Deep faults are searched without clock skips and message loss, which CI has no time for.
    is_shallow = fault not in (PlantedFault.FENCE_FORGETS, PlantedFault.ANY_ORDER)
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
        assert result.violation is None, (result.violation, result.steps)
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
