"""Numbers of an experiment file, and ranges that they are drawn from."""

from __future__ import annotations

from typing import Annotated

from msgspec import Meta, Struct

NonNegative = Annotated[float, Meta(ge=0)]
Positive = Annotated[float, Meta(gt=0)]
Fraction = Annotated[float, Meta(ge=0, le=1)]
NonNegativeCount = Annotated[int, Meta(ge=0)]
PositiveCount = Annotated[int, Meta(ge=1)]
TWO_NUMBERS = Meta(min_length=2, max_length=2)
# A number, or the range that it is drawn from. Not tuple[X, X]: msgspec 0.19 to 0.23 crash in the garbage
# collector on a union of a bounded number with a tuple of fixed length.
NonNegativeOrRange = NonNegative | Annotated[tuple[NonNegative, ...], TWO_NUMBERS]
PositiveOrRange = Positive | Annotated[tuple[Positive, ...], TWO_NUMBERS]
FractionOrRange = Fraction | Annotated[tuple[Fraction, ...], TWO_NUMBERS]
NonNegativeCountOrRange = NonNegativeCount | Annotated[tuple[NonNegativeCount, ...], TWO_NUMBERS]
PositiveCountOrRange = PositiveCount | Annotated[tuple[PositiveCount, ...], TWO_NUMBERS]


class StrictTable(Struct, forbid_unknown_fields=True, frozen=True, kw_only=True):
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
