"""What is wrong with the ways between parties, direction by direction. Pure: relays ask, the runner tells.

Parties are named `clients`, `list`, `balancer:N` and `instance:N`; a pattern ends in `:*` for every one of a kind.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from .scenario import Way


@dataclass(frozen=True, slots=True)
class State:
    """A direction as it is now, all its faults together. Times are seconds, `trickle` bytes a second (0: free)."""

    loss: float = 0.0
    doubled: float = 0.0
    disordered: float = 0.0
    delay: float = 0.0
    jitter: float = 0.0
    trickle: float = 0.0
    cut: bool = False
    reset: bool = False


WHOLE = State()


def matches(pattern: str, party: str) -> bool:
    kind, star, _ = pattern.partition(":*")
    return pattern == party or (bool(star) and party.startswith(f"{kind}:"))


def strikes(f: Way, source: str, target: str) -> bool:
    return matches(f.source, source) and matches(f.target, target) and source != target


def together(found: list[Way]) -> State:
    """Several faults on one direction: delays add up, parts are independent, the slowest trickle binds."""
    if not found:
        return WHOLE
    kept = {"loss": 1.0, "doubled": 1.0, "disordered": 1.0}
    for f in found:
        for name in kept:
            kept[name] *= 1 - float(getattr(f, name))
    slow = [float(f.trickle) for f in found if f.trickle]
    return State(
        *(1 - kept[name] for name in kept),
        sum(float(f.delay_ms) for f in found) / 1000,
        sum(float(f.jitter_ms) for f in found) / 1000,
        min(slow, default=0.0),
        any(f.cut for f in found),
        any(f.reset for f in found),
    )


@dataclass(slots=True)
class NetworkPaths:
    """All directions. Whoever listens is called after each change, to act on what stands already."""

    planned: tuple[Way, ...]  # all that the plan holds: a pair that none of them strikes needs no relay
    now: list[Way] = field(default_factory=list)
    listeners: list[Callable[[], None]] = field(default_factory=list)

    def of(self, source: str, target: str) -> State:
        return together([f for f in self.now if strikes(f, source, target)])

    def needs(self, one: str, other: str) -> bool:
        """Whether any planned fault strikes this pair, either way."""
        return any(strikes(f, one, other) or strikes(f, other, one) for f in self.planned)

    def begin(self, f: Way) -> None:
        self.now.append(f)
        self.tell()

    def end(self, f: Way) -> None:
        self.now.remove(f)
        self.tell()

    def tell(self) -> None:
        for listener in self.listeners:
            listener()
