"""Builds responses of service discovery, as JSON and as HTTP, for tests that simulate discovery."""

from __future__ import annotations

import json
from collections.abc import Iterable
from typing import TypedDict


class EndpointRow(TypedDict):
    """A server's row in the endpoint list, with the field names that discovery uses."""

    name: str
    address: str
    zone: str
    type: str
    group: int
    status: str
    weight: float
    since_ms: float


class EndpointListResponse(TypedDict):
    """A response of discovery: a whole endpoint list, or changes to it."""

    index: int
    snapshot: bool
    endpoints: list[EndpointRow]


def endpoint_row(
    name: str, address: str, status: str = "SERVING", zone: str = "a", group: int = 0, since_ms: float = 0
) -> EndpointRow:
    """Returns the row of a server. `status` is a status of discovery, and `since_ms` is the start in Unix ms."""
    return EndpointRow(
        name=name, address=address, zone=zone, type="m", group=group, status=status, weight=1.0, since_ms=since_ms
    )


def endpoint_list_response(version: int, rows: Iterable[EndpointRow], is_full: bool = True) -> EndpointListResponse:
    """Returns a response with this version: a whole endpoint list, or changes to it."""
    return EndpointListResponse(index=version, snapshot=is_full, endpoints=list(rows))


def http_response(body: object) -> bytes:
    """Returns an HTTP response whose body is the JSON of an object."""
    data = json.dumps(body).encode()
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(data), data)
