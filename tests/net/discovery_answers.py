"""Endpoint lists in the form in which service discovery answers, as JSON and HTTP, for stand-ins of discovery."""

from __future__ import annotations

import json
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


class EndpointListResponse(TypedDict):
    """Holds an answer of discovery: a whole list, or changes to it."""

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


def endpoint_list_response(version: int, rows: Iterable[EndpointRow], is_full: bool = True) -> EndpointListResponse:
    """Returns an answer of that version: a whole list, or changes to it."""
    return EndpointListResponse(index=version, snapshot=is_full, endpoints=list(rows))


def http_response(body: object) -> bytes:
    """Returns an HTTP answer with this JSON as its body."""
    data = json.dumps(body).encode()
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(data), data)
