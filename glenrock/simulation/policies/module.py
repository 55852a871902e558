"""The production routing as a policy, and its open constants, which an experiment may override for a run."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from contextlib import contextmanager
from types import ModuleType

from glenrock.routing import (
    Balancer,
    admission,
    capacity_estimation,
    connection_concurrency,
    endpoint_table,
    event_batch,
    gossip,
    group_affinity,
    health_checks,
    load_targets,
    migration,
    outlier_ejection,
    request_lifecycle,
    server_selection,
    token_budget,
    waiting_queue,
)
from glenrock.routing import balancer as balancer_module

__all__ = ["DEFAULT_CONSTANTS", "Balancer", "override_constants", "read_gauges"]

ROUND_MODULES = (event_batch, balancer_module, connection_concurrency, migration, gossip)
FEEDBACK_MODULES = (admission, capacity_estimation, outlier_ejection, migration)

# By key in experiment files: the name of the constant in `glenrock.routing`, and the modules that define or import it.
CONSTANTS: dict[str, tuple[str, tuple[ModuleType, ...]]] = {
    "ROUND_US": ("ROUND_US", ROUND_MODULES),
    "CALM_US": ("IDLE_GOSSIP_INTERVAL_US", (gossip,)),
    "LAG_US": ("CLIENT_COUNT_LAG_US", (admission, balancer_module)),
    "PROBE_WAIT_US": ("HEALTH_CHECK_WAIT_US", (server_selection, request_lifecycle)),
    "TARGET": ("TARGET_LOAD", (load_targets,)),
    "HIGH": ("HIGH_LOAD", (load_targets,)),
    "RELIEF": ("SCARCE_RESIDUAL_LOAD", (migration,)),
    "LONE": ("MIN_RESIDUAL_LOAD", (migration,)),
    "SLOW": ("SLOW_CAPACITY_RATIO", (load_targets,)),
    "LEFT": ("SLOW_SERVER_RESIDUAL_LOAD", (migration,)),
    "DRAIN_US": ("BACKLOG_CLEAR_US", (migration,)),
    "LEAVE_US": ("MIGRATION_US", (migration, balancer_module)),
    "MOVE_AT": ("OVERLOAD_THRESHOLD", (migration,)),
    "SAMPLE": ("MIN_REPRESENTATIVE_SERVERS", (capacity_estimation,)),
    "CAP_CUT": ("CAP_CUT_FACTOR", (admission,)),
    "CAP_RISE": ("CAP_RISE_FRACTION", (admission,)),
    "WEIGHT_CUT": ("WEIGHT_CUT_FACTOR", (outlier_ejection,)),
    "WEIGHT_RISE": ("WEIGHT_RISE", (outlier_ejection,)),
    "WEIGHT_MIN": ("MIN_WEIGHT", (outlier_ejection,)),
    "WEIGHT_MAX": ("MAX_WEIGHT", (endpoint_table, outlier_ejection, server_selection)),
    "CANDIDATES": ("MAX_CANDIDATES", (server_selection,)),
    "AFFINITY": ("AFFINITY_PENALTY", (server_selection,)),
    "CROSSING": ("ZONE_CROSSING_FACTOR", (server_selection,)),
    "PROBE_BUDGET": ("HEALTH_CHECK_BUDGET", (token_budget,)),
    "MOST_PROBES": ("MAX_HEALTH_CHECK_TOKENS", (token_budget, health_checks)),
    "PEER_BUDGET": ("GOSSIP_BUDGET", (token_budget,)),
    "MAX_LINE_BYTES": ("MAX_WAITING_CLIENTS", (waiting_queue, admission)),
    "FEEDBACK_US": ("FEEDBACK_DELAY_US", FEEDBACK_MODULES),
    "FRESH_US": ("FRESH_REPORT_US", (health_checks, migration)),
    "LATE": ("MISSED_OBJECTIVE_MIN_LOAD", (health_checks, migration)),
    "QUIET": ("LIGHT_LOAD", (health_checks,)),
}
DEFAULT_CONSTANTS: dict[str, float] = {key: getattr(modules[0], name) for key, (name, modules) in CONSTANTS.items()}


def _set_constant(key: str, value: float) -> None:
    name, modules = CONSTANTS[key]
    for module in modules:
        setattr(module, name, value)
    if key == "MAX_LINE":  # one bound for both in experiment files
        group_affinity.MAX_GROUPS = int(value)
    if key == "CALM_US":
        gossip.MAX_PEER_SILENCE_US = 3 * int(value)


@contextmanager
def override_constants(values: Mapping[str, float]) -> Iterator[None]:
    """Overrides open constants of routing in this process while the context lasts.

    Raises:
        KeyError: a key of `values` is not that of an open constant.
    """
    for key in values:
        if key not in DEFAULT_CONSTANTS:
            raise KeyError(key)
    for key, value in values.items():
        _set_constant(key, int(value) if isinstance(DEFAULT_CONSTANTS[key], int) else float(value))
    try:
        yield
    finally:
        for key in values:
            _set_constant(key, DEFAULT_CONSTANTS[key])


def read_gauges(policy: object) -> tuple[float, float] | None:
    """Returns the load cap and the length of the waiting queue of the production routing; None for another policy."""
    if isinstance(policy, Balancer):
        return policy.admission.load_cap, float(len(policy.waiting_queue))
    return None
