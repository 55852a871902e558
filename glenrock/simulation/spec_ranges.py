"""Finds the ranges in an experiment, and draws a number from each for a seed."""

from __future__ import annotations

from typing import Any

import msgspec
from msgspec import Struct

from .spec_tables import Experiment
from .streams import Streams


def lower_bound(value: Any) -> Any:
    """Returns the lower bound of a range, or the value itself if it is a number."""
    return value[0] if isinstance(value, tuple) else value


def upper_bound(value: Any) -> Any:
    """Returns the upper bound of a range, or the value itself if it is a number."""
    return value[1] if isinstance(value, tuple) else value


def is_range(value: Any) -> bool:
    """Returns whether a value is a range: a pair of numbers."""
    return (
        isinstance(value, tuple)
        and len(value) == 2
        and all(isinstance(number, int | float) and not isinstance(number, bool) for number in value)
    )


def find_ranges(value: Any, key: str = "") -> list[tuple[str, tuple[float, float]]]:
    """Returns each range of an experiment, with its path."""
    if isinstance(value, Struct):
        return [
            found
            for name in value.__struct_fields__
            if name != "sweep"
            for found in find_ranges(getattr(value, name), f"{key}.{name}".lstrip("."))
        ]
    if is_range(value):
        return [(key, value)]
    if isinstance(value, tuple):
        return [found for number, item in enumerate(value) for found in find_ranges(item, f"{key}[{number}]")]
    return []


def draw_ranges(experiment: Experiment, seed: int) -> Experiment:
    """Replaces each range by a number, drawn for the seed from the random stream named after its path."""
    result: Experiment = _draw_value(experiment, "", Streams(seed))
    return result


def _draw_value(value: Any, key: str, streams: Streams) -> Any:
    if isinstance(value, Struct):
        fields = [name for name in value.__struct_fields__ if name != "sweep"]
        changes = {name: _draw_value(getattr(value, name), f"{key}.{name}", streams) for name in fields}
        return msgspec.structs.replace(value, **changes)
    if is_range(value):
        least, most = value
        fraction = float(streams.generator(f"draw{key}").random())
        if all(isinstance(number, int) for number in value):
            return min(most, least + int(fraction * (most - least + 1)))
        return least + fraction * (most - least)
    if isinstance(value, tuple):
        return tuple(_draw_value(item, f"{key}[{number}]", streams) for number, item in enumerate(value))
    return value
