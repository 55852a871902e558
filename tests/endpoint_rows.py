"""Endpoint lists in the form in which service discovery answers, for stand-ins of discovery."""

from __future__ import annotations

from collections.abc import Iterable
from typing import TypedDict


class EndpointRow(TypedDict):
    """Holds the fields of a server's row, under the names that discovery gives them."""

    name: str
    address: str
    zone: str
    type: str
    group: int
    status: str
    weight: float
    since_ms: float


class EndpointAnswer(TypedDict):
    """Holds an answer of discovery with a whole list."""

    index: int
    snapshot: bool
    endpoints: list[EndpointRow]


def endpoint_row(
    name: str, address: str, status: str = "SERVING", zone: str = "a", group: int = 0, since_ms: float = 0
) -> EndpointRow:
    """Returns the row of a server; `status` as discovery states it, `since_ms` its start in Unix ms."""
    return EndpointRow(
        name=name, address=address, zone=zone, type="m", group=group, status=status, weight=1.0, since_ms=since_ms
    )


def endpoint_answer(version: int, rows: Iterable[EndpointRow]) -> EndpointAnswer:
    """Returns an answer with a whole list of that version."""
    return EndpointAnswer(index=version, snapshot=True, endpoints=list(rows))
