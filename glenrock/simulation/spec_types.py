"""Numbers of an experiment file, and ranges that they are drawn from."""

from __future__ import annotations

from typing import Annotated

from msgspec import Meta, Struct

Least0 = Annotated[float, Meta(ge=0)]
Above0 = Annotated[float, Meta(gt=0)]
Part = Annotated[float, Meta(ge=0, le=1)]
Count = Annotated[int, Meta(ge=0)]
Some = Annotated[int, Meta(ge=1)]
TWO = Meta(min_length=2, max_length=2)
# A number, or the range that it is drawn from. Not tuple[X, X]: msgspec 0.19 to 0.23 crash in the garbage
# collector on a union of a bounded number with a tuple of fixed length.
Least0R = Least0 | Annotated[tuple[Least0, ...], TWO]
Above0R = Above0 | Annotated[tuple[Above0, ...], TWO]
PartR = Part | Annotated[tuple[Part, ...], TWO]
CountR = Count | Annotated[tuple[Count, ...], TWO]
SomeR = Some | Annotated[tuple[Some, ...], TWO]


class Strict(Struct, forbid_unknown_fields=True, frozen=True, kw_only=True):
    """A table: keys that are not known are faults."""


def drawn_number(value: float | tuple[float, ...]) -> float:
    """Returns a figure of a drawn experiment as a float. Raises TypeError for a range that is not drawn."""
    if isinstance(value, tuple):
        raise TypeError(f"a range that is not drawn: {value}")
    return float(value)


def drawn_count(value: int | tuple[int, ...]) -> int:
    """Returns a count of a drawn experiment as an int. Raises TypeError for a range that is not drawn."""
    if isinstance(value, tuple):
        raise TypeError(f"a range that is not drawn: {value}")
    return int(value)
