"""Scenario files: the laboratory's experiment format, with faults that strike processes and the ways between them."""

from __future__ import annotations

import re
from pathlib import Path
from typing import Annotated, Any, Literal

from msgspec import Meta

from .. import toml_file
from ..simulation import spec as lab
from ..simulation.spec_faults import Fault
from ..simulation.spec_types import Above0R, Least0R, PartR, Strict
from ..toml_file import InputFileError, input_error

Party = Annotated[str, Meta(pattern=r"^(clients|list|store|(balancer|instance):(\*|[0-9]{1,4}))$")]
Number = Annotated[int, Meta(ge=-1)]  # -1: drawn anew for each seed
MOST_BALANCERS, MOST_INSTANCES = 200, 90  # each has an address of its own in one net


def drawn_number(value: float | tuple[float, ...]) -> float:
    """Returns a number of a drawn scenario.

    Raises:
        TypeError: the value is still a range.
    """
    if isinstance(value, tuple):
        raise TypeError(f"{value} is a range: the scenario was not drawn")
    return value


class Kill(Fault):
    """SIGKILL; the same configuration starts again after `down_s` (0: never)."""

    balancer: Number = -1
    down_s: Least0R = 1.0


class Stop(Fault):
    """SIGTERM, SIGKILL after `patience_s`, and a new start `down_s` after it has ended (0: never)."""

    balancer: Number = -1
    down_s: Least0R = 1.0
    patience_s: Above0R = 4.0


class Pause(Fault):
    """SIGSTOP, and SIGCONT after `for_s`: the process sleeps and does not know it."""

    balancer: Number = -1
    for_s: Above0R = 2.0


class Squeeze(Fault):
    """CPU taken away: a lower priority, and a busy neighbour on the one core that it may use."""

    balancer: Number = -1
    for_s: Above0R = 3.0
    nice: Annotated[int, Meta(ge=0, le=19)] = 10


class InstanceKill(Fault):
    """An instance's process dies and comes back cold after `down_s` (0: never)."""

    instance: Number = -1
    down_s: Least0R = 2.0


class Drain(Fault):
    """The list says that an instance drains; it stops after `drain_s` and comes back cold after `down_s`."""

    instance: Number = -1
    drain_s: Above0R = 4.0
    down_s: Least0R = 2.0


class ListFault(Fault):
    """The list service is silent, refuses (503), or takes `call_ms` for each call."""

    how: Literal["silent", "refuses", "slow"] = "silent"
    for_s: Above0R = 3.0
    call_ms: Above0R = 500.0


class Way(Fault):
    """The way from one party to another, in that direction alone; `*` is every one of a kind.

    `loss`, `doubled` and `disordered` strike datagrams only; a cut holds streams still, and none comes up.
    """

    source: Party
    target: Party
    for_s: Above0R = 3.0
    loss: PartR = 0.0
    doubled: PartR = 0.0
    disordered: PartR = 0.0  # of datagrams, held back until a later one has passed
    delay_ms: Least0R = 0.0
    jitter_ms: Least0R = 0.0  # beside the delay, drawn evenly
    trickle: Least0R = 0.0  # bytes a second, 0: as many as come
    cut: bool = False
    reset: bool = False


class StoreFault(Fault):
    """The coordination store is paused, refuses, is slow, restarts after `for_s`, goes back to what it was at
    `at_s`, does what it is asked without an answer, or answers reads that are not consistent with old ones.
    """

    how: Literal["paused", "refuses", "slow", "restart", "rollback", "loses", "stale"] = "paused"
    for_s: Above0R = 3.0
    call_ms: Above0R = 500.0


class Ban(Fault):
    """No fault: an operator takes an instance out, or calls it back, at one balancer."""

    balancer: Number = -1
    instance: Number = -1
    out: bool = True


class Ticket(Fault):
    """No fault: an operator drains a balancer, and calls it back after `for_s`."""

    balancer: Number = -1
    for_s: Above0R = 2.0


Strike = Literal["pause", "kill", "cut", "store_cut", "late", "ban", "ticket"]


class Strikes(Fault):
    """For `for_s`, each `each_ms`, one of `kinds` at a drawn balancer: a pause of 0.02 to 2 leases, half of them
    round a lease's end; a kill; a cut of its words, or of its way to the store, in one direction; words late by over
    a lease.
    `ban` and `ticket` are operators at work meanwhile: an instance out, or back; a balancer drained for a lease.
    """

    for_s: Above0R = 10.0
    each_ms: Above0R = 200.0
    kinds: tuple[Strike, ...] = ("pause", "kill", "cut", "late")


class Together(Strict):
    """What balancers do together; without a store, nothing."""

    store: Literal["", "sqlite", "consul"] = ""
    lease_ms: Above0R = 1000.0
    drift: Least0R = 0.02
    ask_ms: Above0R = 300.0
    lock_delay_ms: Least0R = 0.0
    late: Annotated[float, Meta(ge=1, le=2)] = 1.0  # a TTL's length at the store, as a multiple of what it says
    bans: bool = True
    turnstile: Annotated[int, Meta(ge=0)] = 1
    probe_shards: bool = False
    keep: bool = False  # the list and what was learned are kept for the next start
    spaced: bool = False  # one whose lives end within `sound_ms`, again and again, comes back ever later
    sound_ms: Above0R = 3000.0


AnyFault = Kill | Stop | Pause | Squeeze | InstanceKill | Drain | ListFault | Way | StoreFault | Ban | Ticket | Strikes


class Rig(Strict):
    """How the processes run."""

    sockets: Annotated[int, Meta(ge=64)] = 1024  # descriptors of one
    memory_mb: Annotated[int, Meta(ge=64)] = 1024  # address space of one
    ready_s: Above0R = 15.0  # all of them answer PING within this, or the run has failed
    admit_s: Least0R = 0.2  # the front looks at a balancer so often
    ask_s: Above0R = 2.0  # a client sends a line so often
    call_ms: Least0R = 5.0  # the list service's time for a call; calls wait in line
    known: bool = True  # each process has the list as it is when the run begins
    line_s: Above0R = 2.0  # it gives up a call that has waited so long


class Scenario(lab.Experiment, kw_only=True, frozen=True, forbid_unknown_fields=True):
    """A stage file."""

    faults: tuple[AnyFault, ...] = ()  # type: ignore[assignment]
    rig: Rig = Rig()
    together: Together = Together()


def load(path: Path, overrides: dict[str, Any] | None = None) -> Scenario:
    """The scene in that file. Raises InputFileError, with file, line and key."""
    raw, text = lab.raw_of(path)
    for key, value in (overrides or {}).items():
        raw = lab.put(raw, key, value, path)
    found = toml_file.convert(path, text, raw, Scenario)
    check(found, path, text)
    return found


def check(e: Scenario, path: Path, text: str) -> None:
    """What the types alone do not say."""
    lab.check(e, path, text)

    def need(ok: bool, key: str, what: str) -> None:
        if not ok:
            raise input_error(path, text, key, what)

    counts = {"balancer": lab.low(e.fleet.balancers), "instance": lab.low(e.fleet.instances)}
    need(lab.high(e.fleet.balancers) <= MOST_BALANCERS, "fleet.balancers", f"at most {MOST_BALANCERS}")
    need(lab.high(e.fleet.instances) <= MOST_INSTANCES, "fleet.instances", f"at most {MOST_INSTANCES}")
    need(not e.sweep and not e.constants, "sweep" if e.sweep else "constants", "only the laboratory knows this")
    for n, f in enumerate(e.faults):
        for kind, count in counts.items():
            number = getattr(f, kind, -1)
            need(number < count, f"faults[{n}].{kind}", f"there is no {kind} {number} on every day")
        need(bool(e.together.store) or not isinstance(f, WANTS_STORE), f"faults[{n}]", "[together] names no store")
        if isinstance(f, Way):
            for end in ("source", "target"):
                kind, _, which = getattr(f, end).partition(":")
                need(
                    not which or which == "*" or int(which) < counts[kind],
                    f"faults[{n}].{end}",
                    f"there is no {kind} {which} on every day",
                )
            ends = {re.sub(":.*", "", f.source), re.sub(":.*", "", f.target)}
            need(
                ends in WAYS and ("store" not in ends or e.together.store == "consul"),
                f"faults[{n}]",
                f"nothing goes from {f.source} to {f.target}",
            )


WAYS = ({"clients", "balancer"}, {"balancer", "instance"}, {"balancer", "list"}, {"balancer", "store"}, {"balancer"})
WANTS_STORE = (StoreFault, Ban, Ticket, Strikes)

__all__ = ["InputFileError", "Scenario", "check", "load"]
