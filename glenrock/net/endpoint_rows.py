"""Rows of the endpoint list, as discovery tells them."""

from __future__ import annotations

from dataclasses import dataclass
from math import isfinite
from typing import Any

from glenrock.routing.interface import EndpointState

from ..config import Address, ConfigError, address_of

STATES: dict[str, EndpointState] = {
    "SERVING": EndpointState.READY,
    "DRAINING": EndpointState.DRAINING,
    "DELETED": EndpointState.GONE,
}
MAX_NAME = 256  # characters


@dataclass
class EndpointRow:
    """A server as discovery lists it. `status`: SERVING, DRAINING or DELETED. `since_ms`: Unix time of its start."""

    name: str
    address: Address
    status: str
    zone: str = ""
    group: int = 0
    weight: float = 1.0
    since_ms: float = 0.0


def row_of(raw: dict[str, Any]) -> EndpointRow:
    """Raises ValueError, TypeError, KeyError or OverflowError where the row is not one."""
    try:
        address = address_of(raw["address"], "address")
    except ConfigError as error:
        raise ValueError(str(error)) from error
    row = EndpointRow(
        name=str(raw["name"]),
        address=address,
        status=str(raw["status"]),
        zone=str(raw.get("zone", "")),
        group=int(raw.get("group", 0)),
        weight=float(raw.get("weight", 1.0)),
        since_ms=float(raw.get("since_ms", 0)),
    )
    if not 0 < len(row.name) <= MAX_NAME or row.status not in STATES or not address[1]:
        raise ValueError("no name, state or port that can be used")
    numbers = (row.weight, row.since_ms)
    if not all(isfinite(number) and number >= 0 for number in numbers):
        raise ValueError("a number out of range")
    return row
