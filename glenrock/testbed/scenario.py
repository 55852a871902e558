"""Scenario files: the simulation's experiment format, with faults of processes and of the paths between them.

The fields of the tables are the keys of the files, and ranges are drawn by their names, so they keep the files' words.
"""

from __future__ import annotations

import re
from enum import StrEnum
from pathlib import Path
from typing import Annotated, Any

from msgspec import Meta

from .. import toml_file
from ..toml_file import InputFileError, input_error
from .simulation_model import (
    Experiment,
    Fault,
    FractionOrRange,
    NonNegativeOrRange,
    PositiveOrRange,
    StrictTable,
    check_experiment,
    lower_bound,
    read_raw,
    replace_value,
    upper_bound,
)

__all__ = ["InputFileError", "Scenario", "check", "load"]

Party = Annotated[str, Meta(pattern=r"^(clients|list|store|(balancer|instance):(\*|[0-9]{1,4}))$")]
Number = Annotated[int, Meta(ge=-1)]  # -1: drawn by the seed
MAX_BALANCERS, MAX_SERVERS = 200, 90  # each has an address of its own in one network


def drawn_number(value: float | tuple[float, ...]) -> float:
    """Returns a number of a drawn scenario.

    Raises:
        TypeError: the value is still a range.
    """
    if isinstance(value, tuple):
        raise TypeError(f"{value} is a range: the scenario was not drawn")
    return value


# -- faults of processes ---------------------------------------------------------------------------------


class KillBalancer(Fault, frozen=True, tag="kill"):
    """SIGKILL; the same configuration starts again after `down_s` (0: never)."""

    balancer: Number = -1
    down_s: NonNegativeOrRange = 1.0


class TerminateBalancer(Fault, frozen=True, tag="stop"):
    """SIGTERM, SIGKILL after `patience_s`, and a new start `down_s` after its end (0: never)."""

    balancer: Number = -1
    down_s: NonNegativeOrRange = 1.0
    patience_s: PositiveOrRange = 4.0


class PauseBalancer(Fault, frozen=True, tag="pause"):
    """SIGSTOP, and SIGCONT after `for_s`."""

    balancer: Number = -1
    for_s: PositiveOrRange = 2.0


class LimitBalancerCpu(Fault, frozen=True, tag="squeeze"):
    """A lower priority, and one core with a busy process on it."""

    balancer: Number = -1
    for_s: PositiveOrRange = 3.0
    nice: Annotated[int, Meta(ge=0, le=19)] = 10


class CrashServer(Fault, frozen=True, tag="instance_kill"):
    """A session server's process ends, and starts again after `down_s` (0: never); then it warms up."""

    instance: Number = -1
    down_s: NonNegativeOrRange = 2.0


class DrainServer(Fault, frozen=True, tag="drain"):
    """A session server is listed as draining; it stops after `drain_s` and starts again after `down_s`."""

    instance: Number = -1
    drain_s: PositiveOrRange = 4.0
    down_s: NonNegativeOrRange = 2.0


# -- faults of services and paths ------------------------------------------------------------------------


class DiscoveryFaultMode(StrEnum):
    """What is wrong with discovery."""

    SILENT = "silent"
    """Calls are not answered."""
    REJECTS = "refuses"
    """Calls are answered 503."""
    SLOW = "slow"
    """A call takes `call_ms`."""


class DiscoveryFault(Fault, frozen=True, tag="list_fault"):
    """Discovery is at fault for all balancers."""

    how: DiscoveryFaultMode = DiscoveryFaultMode.SILENT
    for_s: PositiveOrRange = 3.0
    call_ms: PositiveOrRange = 500.0


class PathFault(Fault, frozen=True, tag="way"):
    """The path from one party to another, in that direction alone; `*` stands for all of a kind.

    Attributes:
        loss, doubled, disordered: fractions of datagrams; a disordered one is held back until a later one has passed.
        delay_ms: of everything. `jitter_ms`: more, uniformly drawn.
        trickle: bytes a second of a stream; 0: not limited.
        cut: streams are held, and no connection comes up.
    """

    source: Party
    target: Party
    for_s: PositiveOrRange = 3.0
    loss: FractionOrRange = 0.0
    doubled: FractionOrRange = 0.0
    disordered: FractionOrRange = 0.0
    delay_ms: NonNegativeOrRange = 0.0
    jitter_ms: NonNegativeOrRange = 0.0
    trickle: NonNegativeOrRange = 0.0
    cut: bool = False
    reset: bool = False


class StoreFaultMode(StrEnum):
    """What is wrong with the store."""

    PAUSED = "paused"
    """Calls wait until the fault ends."""
    REJECTS = "refuses"
    """Calls are answered 500."""
    SLOW = "slow"
    """A call takes `call_ms`."""
    RESTART = "restart"
    """Calls wait, and at the end of the fault all sessions begin anew."""
    ROLLBACK = "rollback"
    """At the end of the fault, the store has its state of `at_s` again."""
    LOSES_ANSWERS = "loses"
    """Calls are executed and not answered."""
    STALE_READS = "stale"
    """Reads that do not ask for consistency get the state of `at_s`."""


class StoreFault(Fault, frozen=True, tag="store_fault"):
    """The coordination store is at fault. A SQLite file is locked, whatever the mode."""

    how: StoreFaultMode = StoreFaultMode.PAUSED
    for_s: PositiveOrRange = 3.0
    call_ms: PositiveOrRange = 500.0


# -- operators, and drawn faults -------------------------------------------------------------------------


class OverrideServer(Fault, frozen=True, tag="ban"):
    """No fault: an operator suspends a session server at one balancer, or resumes it."""

    balancer: Number = -1
    instance: Number = -1
    out: bool = True


class DrainBalancer(Fault, frozen=True, tag="ticket"):
    """No fault: an operator drains a balancer, and ends the drain after `for_s`."""

    balancer: Number = -1
    for_s: PositiveOrRange = 2.0


class RandomFaultKind(StrEnum):
    """What `RandomFaults` draws from."""

    PAUSE = "pause"
    """A pause of 0.02 to 2 leases; half of the pauses are close to one lease."""
    KILL = "kill"
    GOSSIP_CUT = "cut"
    STORE_CUT = "store_cut"
    GOSSIP_LATE = "late"
    """Gossip is delayed by more than a lease."""
    OVERRIDE = "ban"
    DRAIN = "ticket"


class RandomFaults(Fault, frozen=True, tag="strikes"):
    """For `for_s`, about every `each_ms`, one of `kinds` at a drawn balancer; several may be on at a time."""

    for_s: PositiveOrRange = 10.0
    each_ms: PositiveOrRange = 200.0
    kinds: tuple[RandomFaultKind, ...] = (
        RandomFaultKind.PAUSE,
        RandomFaultKind.KILL,
        RandomFaultKind.GOSSIP_CUT,
        RandomFaultKind.GOSSIP_LATE,
    )


AnyFault = (
    KillBalancer
    | TerminateBalancer
    | PauseBalancer
    | LimitBalancerCpu
    | CrashServer
    | DrainServer
    | DiscoveryFault
    | PathFault
    | StoreFault
    | OverrideServer
    | DrainBalancer
    | RandomFaults
)


def fault_word(found: Fault) -> str:
    """Returns the word of a fault's kind in scenario files."""
    return str(found.__struct_config__.tag)


# -- the file --------------------------------------------------------------------------------------------


class StoreKind(StrEnum):
    """The coordination store of a scenario."""

    NONE = ""
    SQLITE = "sqlite"
    CONSUL = "consul"


class CoordinationOptions(StrictTable, frozen=True):
    """Coordination between balancers; none without a store.

    Attributes:
        ask_ms: between two polls of the store.
        late: the store holds a lease for this multiple of its length.
        bans, turnstile, probe_shards: overrides for all balancers, drains at a time, and health check shards.
        keep: the endpoint list and what was learned are kept for the next start.
        spaced: a balancer whose incarnations end within `sound_ms` again and again delays its next start.
    """

    store: StoreKind = StoreKind.NONE
    lease_ms: PositiveOrRange = 1000.0
    drift: NonNegativeOrRange = 0.02
    ask_ms: PositiveOrRange = 300.0
    lock_delay_ms: NonNegativeOrRange = 0.0
    late: Annotated[float, Meta(ge=1, le=2)] = 1.0
    bans: bool = True
    turnstile: Annotated[int, Meta(ge=0)] = 1
    probe_shards: bool = False
    keep: bool = False
    spaced: bool = False
    sound_ms: PositiveOrRange = 3000.0


class ProcessOptions(StrictTable, frozen=True):
    """How the processes run, and the stand-ins beside them.

    Attributes:
        sockets: descriptor limit of a process. `memory_mb`: limit of its address space.
        ready_s: all processes answer PING within this, or the run fails.
        admit_s: between two PINGs of the front end to a balancer.
        ask_s: between two lines of a client.
        call_ms: of discovery for a call; calls wait in line. `line_s`: a call waits no longer than this.
        known: each process starts with the endpoint list as it is when the run begins.
    """

    sockets: Annotated[int, Meta(ge=64)] = 1024
    memory_mb: Annotated[int, Meta(ge=64)] = 1024
    ready_s: PositiveOrRange = 15.0
    admit_s: NonNegativeOrRange = 0.2
    ask_s: PositiveOrRange = 2.0
    call_ms: NonNegativeOrRange = 5.0
    known: bool = True
    line_s: PositiveOrRange = 2.0


class Scenario(Experiment, kw_only=True, frozen=True, forbid_unknown_fields=True):
    """A written run of the testbed."""

    faults: tuple[AnyFault, ...] = ()  # type: ignore[assignment]
    rig: ProcessOptions = ProcessOptions()
    together: CoordinationOptions = CoordinationOptions()


def load(path: Path, overrides: dict[str, Any] | None = None) -> Scenario:
    """Reads a scenario.

    Raises:
        InputFileError: with file, line and key.
    """
    raw, text = read_raw(path)
    for key, value in (overrides or {}).items():
        raw = replace_value(raw, key, value, path)
    found: Scenario = toml_file.convert(path, text, raw, Scenario)
    check(found, path, text)
    return found


# -- what the types alone do not check ---------------------------------------------------------------------

PATH_KINDS = (
    {"clients", "balancer"},
    {"balancer", "instance"},
    {"balancer", "list"},
    {"balancer", "store"},
    {"balancer"},
)
NEEDS_STORE = (StoreFault, OverrideServer, DrainBalancer, RandomFaults)


def check(scenario: Scenario, path: Path, text: str) -> None:
    """Checks numbers, parties and what needs a store.

    Raises:
        InputFileError: with file, line and key.
    """
    check_experiment(scenario, path, text)
    _ScenarioCheck(scenario, path, text).run()


class _ScenarioCheck:
    def __init__(self, scenario: Scenario, path: Path, text: str) -> None:
        self._scenario, self._path, self._text = scenario, path, text
        fleet = scenario.fleet
        self._counts = {"balancer": lower_bound(fleet.balancers), "instance": lower_bound(fleet.instances)}

    def _need(self, is_met: bool, key: str, message: str) -> None:
        if not is_met:
            raise input_error(self._path, self._text, key, message)

    def run(self) -> None:
        scenario, fleet = self._scenario, self._scenario.fleet
        self._need(upper_bound(fleet.balancers) <= MAX_BALANCERS, "fleet.balancers", f"at most {MAX_BALANCERS}")
        self._need(upper_bound(fleet.instances) <= MAX_SERVERS, "fleet.instances", f"at most {MAX_SERVERS}")
        only_simulated = "sweep" if scenario.sweep else "constants"
        self._need(not scenario.sweep and not scenario.constants, only_simulated, "only the simulation knows this")
        for number, found in enumerate(scenario.faults):
            self._check_fault(f"faults[{number}]", found)

    def _check_fault(self, key: str, found: AnyFault) -> None:
        for kind, count in self._counts.items():
            number = getattr(found, kind, -1)
            self._need(number < count, f"{key}.{kind}", f"there is no {kind} {number} in every run")
        has_store = bool(self._scenario.together.store)
        self._need(has_store or not isinstance(found, NEEDS_STORE), key, "[together] names no store")
        if isinstance(found, PathFault):
            self._check_path(key, found)

    def _check_path(self, key: str, found: PathFault) -> None:
        for end in ("source", "target"):
            kind, _, number = getattr(found, end).partition(":")
            is_there = not number or number == "*" or int(number) < self._counts[kind]
            self._need(is_there, f"{key}.{end}", f"there is no {kind} {number} in every run")
        kinds = {re.sub(":.*", "", party) for party in (found.source, found.target)}
        has_service = "store" not in kinds or self._scenario.together.store == StoreKind.CONSUL
        self._need(kinds in PATH_KINDS and has_service, key, f"nothing goes from {found.source} to {found.target}")
