"""Tests that each key of a summary that is printed has a label."""

from __future__ import annotations

from typing import get_args

from glenrock.simulation import report_labels, spec_faults
from glenrock.simulation.invariants import RULES
from glenrock.simulation.measure import COUNTS
from glenrock.testbed import scenario
from glenrock.testbed.invariant import Invariant


def test_each_invariant_has_a_label() -> None:
    assert {*RULES, *Invariant} == set(report_labels.VIOLATION_LABELS)


def test_each_count_has_a_label() -> None:
    assert set(COUNTS) <= set(report_labels.COUNT_LABELS)


def test_each_fault_of_experiments_and_scenarios_has_a_label() -> None:
    faults = [*spec_faults.FAULT_TYPES, *get_args(scenario.AnyFault)]
    assert {fault.__struct_config__.tag for fault in faults} == set(report_labels.FAULT_LABELS)
