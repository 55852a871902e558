"""The order of what a lease holder numbers: by its term, then within it."""

from __future__ import annotations

from typing import NamedTuple


class Revision(NamedTuple):
    """Compares as it counts."""

    term: int
    number: int


NO_REVISION = Revision(0, 0)
