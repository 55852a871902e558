"""The form of a gossip summary: at most 256 bytes, whole numbers of seven bits a byte.

Version, stamp (2 bytes, high first), active load, clients seen, then pairs of bucket age and load waiting.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import NamedTuple

from .state import WaitingLoad

VERSION = 1
MAX_BYTES = 256
HEADER_BYTES = 3
MIN_BYTES = 5
MAX_VALUE = (1 << 63) - 1
MAX_SHIFT = 70  # bits of a number that may be read before it is none of ours
MAX_CLIENTS = 1_000_000  # at one balancer
ABSURD_MULTIPLE = 100  # of the load of all connections that tenants may hold: no balancer has so much
MAX_STAMP = 0xFFFF


class Summary(NamedTuple):
    """What a balancer tells the others. `waiting` has the ages of its buckets, youngest first."""

    stamp: int
    active_load: float
    clients: int
    waiting: list[WaitingLoad]


def encode(stamp: int, active_load: float, clients: int, waiting: Sequence[tuple[int, float]]) -> bytes:
    """A datagram. `waiting` comes youngest first, so that what is cut off are the oldest."""
    data = bytearray((VERSION, stamp >> 8 & 0xFF, stamp & 0xFF))
    _append_number(data, round(active_load))
    _append_number(data, clients)
    for age, load in waiting:
        pair = bytearray()
        _append_number(pair, max(0, age))
        _append_number(pair, round(load))
        if len(data) + len(pair) > MAX_BYTES:
            break
        data += pair
    return bytes(data)


def _append_number(data: bytearray, value: int) -> None:
    value = max(0, min(value, MAX_VALUE))
    while value > 0x7F:
        data.append(value & 0x7F | 0x80)
        value >>= 7
    data.append(value)


def decode(data: bytes) -> Summary | None:
    """None for anything that is not a whole summary of this version."""
    if not MIN_BYTES <= len(data) <= MAX_BYTES or data[0] != VERSION:
        return None
    values = _numbers(data[HEADER_BYTES:])
    if values is None or len(values) < 2 or len(values) % 2 or max(values) > MAX_VALUE:
        return None
    waiting = [WaitingLoad(values[n], float(values[n + 1])) for n in range(2, len(values), 2)]
    return Summary(data[1] << 8 | data[2], float(values[0]), values[1], waiting)


def _numbers(data: bytes) -> list[int] | None:
    """The numbers in the data; None where one is cut or too long."""
    values: list[int] = []
    value = shift = 0
    for byte in data:
        value |= (byte & 0x7F) << shift
        shift += 7
        if shift > MAX_SHIFT:
            return None
        if byte < 0x80:
            values.append(value)
            value = shift = 0
    return None if shift else values


def fault(peer: int, balancers: int, summary: Summary | None, tenant_load: float) -> str:
    """What is wrong with a summary, in a line; empty where nothing is.

    One figure out of all measure would count as known active load at every balancer, and shut every cap.

    Args:
        peer: who sent it.
        balancers: how many the settings name.
        summary: as decoded; None where that failed.
        tenant_load: load of all connections that tenants may hold; 0 where it is not known.
    """
    if not 0 <= peer < balancers:
        return f"summary of balancer {peer} ignored: the settings name {balancers}"
    if summary is None:
        return f"summary of balancer {peer} ignored: it cannot be read"
    load = max(summary.active_load, sum(load for _, load in summary.waiting))
    absurd_load = tenant_load > 0 and load > ABSURD_MULTIPLE * tenant_load
    if summary.clients > MAX_CLIENTS or absurd_load:
        told = f"{summary.clients} clients and a load of {load:.3g}"
        return f"summary of balancer {peer} ignored: {told} are absurd"
    return ""
