"""Rows of the endpoint list, parsed from discovery's responses."""

from __future__ import annotations

from dataclasses import dataclass
from math import isfinite
from typing import Any

from glenrock.routing.interface import EndpointState

from ..config import Address, ConfigError, parse_address

STATE_BY_STATUS = {
    "SERVING": EndpointState.READY,
    "DRAINING": EndpointState.DRAINING,
    "DELETED": EndpointState.GONE,
}
STATUS_BY_STATE = {state: status for status, state in STATE_BY_STATUS.items()}
MAX_NAME_LENGTH = 256  # characters


@dataclass
class EndpointRow:
    """A server in the endpoint list.

    Attributes:
        name: the identity of the server, stable across changes of its address and restarts of its process.
        address: where the server accepts connections.
        state: whether the server is ready, draining or gone.
        zone: the failure domain of the server; empty if unknown.
        group: the cell of the server, within which idempotency keys may be valid; routing has it as `Endpoint.cell`.
        weight: the listed capacity of the server, relative to others.
        since_ms: the Unix time at which the server's process started; 0 if unknown.
    """

    name: str
    address: Address
    state: EndpointState
    zone: str = ""
    group: int = 0
    weight: float = 1.0
    since_ms: float = 0.0

    @property
    def status(self) -> str:
        """The state as discovery and stored files name it."""
        return STATUS_BY_STATE[self.state]


def encode_row(row: EndpointRow) -> dict[str, Any]:
    """Returns a row as a JSON object in discovery's form."""
    return {
        "name": row.name,
        "address": str(row.address),
        "zone": row.zone,
        "group": row.group,
        "status": row.status,
        "weight": row.weight,
        "since_ms": row.since_ms,
    }


def parse_row(raw: dict[str, Any]) -> EndpointRow:
    """Parses a row from a JSON object.

    Raises:
        KeyError: the row has no name, address or status.
        ValueError, TypeError, OverflowError: a value is invalid or out of range.
    """
    try:
        address = parse_address(raw["address"], "address")
    except ConfigError as error:
        raise ValueError(str(error)) from error
    name = str(raw["name"])
    status = str(raw["status"])
    if not 0 < len(name) <= MAX_NAME_LENGTH or status not in STATE_BY_STATUS or not address.port:
        raise ValueError("invalid name, status or port")
    row = EndpointRow(
        name=name,
        address=address,
        state=STATE_BY_STATUS[status],
        zone=str(raw.get("zone", "")),
        group=int(raw.get("group", 0)),
        weight=float(raw.get("weight", 1.0)),
        since_ms=float(raw.get("since_ms", 0)),
    )
    numbers = (row.weight, row.since_ms)
    if not all(isfinite(number) and number >= 0 for number in numbers):
        raise ValueError("weight and since_ms must be finite and not negative")
    return row
