"""Checks conditions of an experiment that the types of its keys do not express."""

from __future__ import annotations

from pathlib import Path

from ..toml_file import input_error
from .spec_faults import Crash, Fault, SendAway, TenantFlood, ZoneCut
from .spec_ranges import find_ranges, lower_bound, upper_bound
from .spec_tables import Experiment

WEIGHT_TOLERANCE = 1e-6


class _ExperimentChecker:
    """Raises InputFileError for the first condition of an experiment that does not hold."""

    def __init__(self, experiment: Experiment, path: Path, text: str) -> None:
        self.experiment, self.path, self.text = experiment, path, text

    def _require(self, holds: bool, key: str, reason: str) -> None:
        if not holds:
            raise input_error(self.path, self.text, key, reason)

    def check(self) -> None:
        """Checks all parts, in the order of the file."""
        for key, (least, most) in find_ranges(self.experiment):
            self._require(
                least <= most, key, f"the lower bound of the range [{least:g}, {most:g}] exceeds the upper bound"
            )
        self._check_names("kinds", [kind.name for kind in self.experiment.kinds])
        self._check_names("classes", [class_.name for class_ in self.experiment.classes])
        self._check_names("tenants", [tenant.name for tenant in self.experiment.tenants])
        self._check_fleet()
        self._check_classes()
        for number, fault in enumerate(self.experiment.faults):
            self._check_fault(fault, f"faults[{number}]")
        self._check_constants()
        self._check_goal()

    def _check_names(self, key: str, names: list[str]) -> None:
        for number, name in enumerate(names):
            self._require(bool(name), f"{key}[{number}].name", "must not be empty")
            self._require(name not in names[:number], f"{key}[{number}].name", f"{name!r} is a duplicate")

    def _check_fleet(self) -> None:
        zones = self.experiment.fleet.zones
        self._require(len(zones) >= 1 and all(zones), "fleet.zones", "expected at least one zone, and no empty name")
        self._require(len(set(zones)) == len(zones), "fleet.zones", "two zones have the same name")
        for number, kind in enumerate(self.experiment.kinds):
            self._require(lower_bound(kind.cold_part) > 0, f"kinds[{number}].cold_part", "must be above 0")

    def _check_classes(self) -> None:
        classes = self.experiment.classes
        for number, class_ in enumerate(classes):
            is_within = upper_bound(class_.aim_ms) <= lower_bound(class_.give_up_ms)
            self._require(is_within, f"classes[{number}].aim_ms", "must not exceed give_up_ms")
        some_have_a_life = any(lower_bound(class_.life) > 0 for class_ in classes)
        none_has_a_life = all(upper_bound(class_.life) == 0 for class_ in classes)
        self._require(
            some_have_a_life or none_has_a_life,
            "classes",
            "either all classes have a life of 0, or at least one a life above 0 throughout its range",
        )

    def _check_fault(self, fault: Fault, key: str) -> None:
        fleet, length_s = self.experiment.fleet, lower_bound(self.experiment.length_s)
        self._require(
            lower_bound(fault.at_s) < length_s, f"{key}.at_s", f"is after the end of the run ({length_s:g} s)"
        )
        if isinstance(fault, ZoneCut):
            self._require(len(fleet.zones) > 1, key, "a partition needs at least two zones")
        if isinstance(fault, Crash | ZoneCut):
            is_known = not fault.zone or fault.zone in fleet.zones
            self._require(is_known, f"{key}.zone", f"{fault.zone!r} is not one of fleet.zones")
        if isinstance(fault, SendAway):
            is_known = fault.balancer < lower_bound(fleet.balancers)
            self._require(is_known, f"{key}.balancer", "no such balancer with the smallest value of fleet.balancers")
        if isinstance(fault, TenantFlood):
            is_known = not fault.tenant or fault.tenant in {tenant.name for tenant in self.experiment.tenants}
            self._require(is_known, f"{key}.tenant", f"{fault.tenant!r} is not one of tenants")

    def _check_constants(self) -> None:
        # Imported here because policies import routing, which reading an experiment file does not otherwise need.
        from .policies.module import DEFAULT_CONSTANTS

        for name in self.experiment.constants:
            self._require(
                name in DEFAULT_CONSTANTS, f"constants.{name}", "not a tunable constant of the routing decisions"
            )

    def _check_goal(self) -> None:
        goal = self.experiment.goal
        total = goal.whole + goal.worst_window + goal.worst_class + goal.worst_tenant
        self._require(abs(total - 1) < WEIGHT_TOLERANCE, "goal", f"weights must add up to 1, not {total:g}")


def check_experiment(experiment: Experiment, path: Path, text: str) -> None:
    """Checks what the types of the keys do not express. Raises InputFileError."""
    _ExperimentChecker(experiment, path, text).check()
