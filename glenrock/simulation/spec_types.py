"""Types of the numbers in experiment files, and of the ranges that numbers are drawn from."""

from __future__ import annotations

from typing import Annotated

from msgspec import Meta, Struct

NonNegative = Annotated[float, Meta(ge=0)]
Positive = Annotated[float, Meta(gt=0)]
Fraction = Annotated[float, Meta(ge=0, le=1)]
NonNegativeCount = Annotated[int, Meta(ge=0)]
PositiveCount = Annotated[int, Meta(ge=1)]
PAIR_LENGTH = Meta(min_length=2, max_length=2)
# A number, or the range that it is drawn from. The ranges are not tuple[X, X], because msgspec 0.19 to 0.23 crash in
# the garbage collector on a union of a bounded number with a tuple of fixed length.
NonNegativeOrRange = NonNegative | Annotated[tuple[NonNegative, ...], PAIR_LENGTH]
PositiveOrRange = Positive | Annotated[tuple[Positive, ...], PAIR_LENGTH]
FractionOrRange = Fraction | Annotated[tuple[Fraction, ...], PAIR_LENGTH]
NonNegativeCountOrRange = NonNegativeCount | Annotated[tuple[NonNegativeCount, ...], PAIR_LENGTH]
PositiveCountOrRange = PositiveCount | Annotated[tuple[PositiveCount, ...], PAIR_LENGTH]


class StrictTable(Struct, forbid_unknown_fields=True, frozen=True, kw_only=True):
    """A table of an experiment file; an unknown key is an error."""


def drawn_number(value: float | tuple[float, ...]) -> float:
    """Returns a number of a drawn experiment as a float. Raises TypeError if it is still a range."""
    if isinstance(value, tuple):
        raise TypeError(f"expected a number, not the range {value}: draw the experiment first")
    return float(value)


def drawn_count(value: int | tuple[int, ...]) -> int:
    """Returns a count of a drawn experiment as an int. Raises TypeError if it is still a range."""
    if isinstance(value, tuple):
        raise TypeError(f"expected a number, not the range {value}: draw the experiment first")
    return int(value)
