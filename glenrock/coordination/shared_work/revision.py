"""The order of overrides: by the lease holder's term, then by the number within it."""

from __future__ import annotations

from typing import NamedTuple


class Revision(NamedTuple):
    """A number given by a lease holder; revisions compare in the order in which they were given."""

    term: int
    sequence: int


NO_REVISION = Revision(0, 0)
