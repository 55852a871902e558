"""Revisions of overrides. They are ordered by the lease holder's term, then by the sequence number within the term."""

from __future__ import annotations

from typing import NamedTuple


class Revision(NamedTuple):
    """The version of an override. The lease holder assigns it; a revision assigned later is higher."""

    term: int
    sequence: int


NO_REVISION = Revision(0, 0)
