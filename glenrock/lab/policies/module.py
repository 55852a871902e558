"""The decision module as what is driven, and its open constants set from outside for a run."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from contextlib import contextmanager

from wheatrouter import rules
from wheatrouter.rules import Balancer

__all__ = ["OPEN", "Balancer", "constants", "gauges"]

# Open are its plain numbers in capitals; S is a unit, not a choice.
OPEN = {name: value for name, value in vars(rules).items()
        if name.isupper() and name not in ("S", "MASK", "NEVER") and isinstance(value, int | float)}


@contextmanager
def constants(values: Mapping[str, float]) -> Iterator[None]:
    """Open constants of the module set for a while, in this process. KeyError names one that is not open."""
    for name in values:
        if name not in OPEN:
            raise KeyError(name)
    for name, value in values.items():
        setattr(rules, name, int(value) if isinstance(OPEN[name], int) else float(value))
    try:
        yield
    finally:
        for name in values:
            setattr(rules, name, OPEN[name])


def gauges(driven: object) -> tuple[float, float] | None:
    """The cap on active load, and the length of the line, of a balancer that has them."""
    if isinstance(driven, Balancer):
        return driven.cap, float(len(driven.line))
    return None
