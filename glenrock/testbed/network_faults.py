"""The state of the paths between parties, direction by direction, under the faults that are on. Pure.

Parties are `clients`, `list`, `store`, `balancer:N` and `instance:N`; `*` for N stands for all of a kind.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from .scenario import PathFault, drawn_number


@dataclass(frozen=True, slots=True)
class PathState:
    """The state of a direction under all its faults.

    Attributes:
        loss, duplication, reordering: fractions of datagrams.
        delay_s, jitter_s: of everything.
        bytes_per_s: of streams; 0: not limited.
        is_cut: nothing passes. `is_reset`: connections are reset.
    """

    loss: float = 0.0
    duplication: float = 0.0
    reordering: float = 0.0
    delay_s: float = 0.0
    jitter_s: float = 0.0
    bytes_per_s: float = 0.0
    is_cut: bool = False
    is_reset: bool = False


FAULT_FREE = PathState()


def matches(pattern: str, party: str) -> bool:
    """Whether a pattern of a scenario file stands for a party."""
    kind, star, _ = pattern.partition(":*")
    return pattern == party or (bool(star) and party.startswith(f"{kind}:"))


def affects(fault: PathFault, source: str, target: str) -> bool:
    """Whether a fault affects the direction from one party to another."""
    return matches(fault.source, source) and matches(fault.target, target) and source != target


def combine(faults: list[PathFault]) -> PathState:
    """Returns the state under several faults: delays add up, fractions are independent, the lowest rate binds."""
    if not faults:
        return FAULT_FREE
    passing = [1.0, 1.0, 1.0]
    for fault in faults:
        for number, fraction in enumerate((fault.loss, fault.doubled, fault.disordered)):
            passing[number] *= 1 - drawn_number(fraction)
    rates = [drawn_number(fault.trickle) for fault in faults if fault.trickle]
    return PathState(
        loss=1 - passing[0],
        duplication=1 - passing[1],
        reordering=1 - passing[2],
        delay_s=sum(drawn_number(fault.delay_ms) for fault in faults) / 1000,
        jitter_s=sum(drawn_number(fault.jitter_ms) for fault in faults) / 1000,
        bytes_per_s=min(rates, default=0.0),
        is_cut=any(fault.cut for fault in faults),
        is_reset=any(fault.reset for fault in faults),
    )


@dataclass(slots=True)
class NetworkPaths:
    """All directions.

    Attributes:
        planned: all faults that may come; a pair that none of them affects needs no relay.
        active: the faults that are on now.
        listeners: called after each change, to act on connections that are open.
    """

    planned: tuple[PathFault, ...]
    active: list[PathFault] = field(default_factory=list)
    listeners: list[Callable[[], None]] = field(default_factory=list)

    def state(self, source: str, target: str) -> PathState:
        """Returns the state of a direction now."""
        return combine([fault for fault in self.active if affects(fault, source, target)])

    def needs_relay(self, party: str, other: str) -> bool:
        """Whether a planned fault affects this pair, in either direction."""
        return any(affects(fault, party, other) or affects(fault, other, party) for fault in self.planned)

    def begin(self, fault: PathFault) -> None:
        """Puts a fault on."""
        self.active.append(fault)
        self._notify()

    def end(self, fault: PathFault) -> None:
        """Takes a fault off."""
        self.active.remove(fault)
        self._notify()

    def _notify(self) -> None:
        for listener in self.listeners:
            listener()
