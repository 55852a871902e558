"""The encoding of a gossip summary: at most 256 bytes, with integers as base-128 varints.

Version, stamp (2 bytes, big-endian), active load, clients seen, then pairs of bucket age and waiting load.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import NamedTuple

VERSION = 1
MAX_BYTES = 256
HEADER_BYTES = 3
MIN_BYTES = 5
MAX_VALUE = (1 << 63) - 1
MAX_SHIFT = 70  # bits; a longer number is malformed
MAX_CLIENTS = 1_000_000  # at one balancer
MAX_TENANT_LOAD_MULTIPLE = 100  # of the load of all connections that tenants may hold
MAX_STAMP = 0xFFFF


class InvalidSummaryError(ValueError):
    """A summary is malformed or implausible; the message is the reason."""


class AgedLoad(NamedTuple):
    """Load of a bucket of the waiting queue, and the bucket's age, in buckets."""

    age: int
    load: float


class GossipSummary(NamedTuple):
    """The state that a balancer shares. `waiting` has its buckets, youngest first."""

    stamp: int
    active_load: float
    clients: int
    waiting: list[AgedLoad]


def encode(stamp: int, active_load: float, clients: int, waiting: Sequence[tuple[int, float]]) -> bytes:
    """Encodes a summary. Pairs of `waiting` that exceed the size limit are cut off.

    Args:
        stamp: time of the summary, modulo `MAX_STAMP + 1`.
        active_load: load of the admitted clients.
        clients: number of clients seen.
        waiting: age and load of each bucket, youngest first.
    """
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


def decode(data: bytes) -> GossipSummary | None:
    """Decodes a summary; None if the data is malformed or of another version."""
    if not MIN_BYTES <= len(data) <= MAX_BYTES or data[0] != VERSION:
        return None
    values = _numbers(data[HEADER_BYTES:])
    if values is None or len(values) < 2 or len(values) % 2 or max(values) > MAX_VALUE:
        return None
    pairs = zip(values[2::2], values[3::2], strict=True)
    waiting = [AgedLoad(age, float(load)) for age, load in pairs]
    return GossipSummary(data[1] << 8 | data[2], float(values[0]), values[1], waiting)


def _numbers(data: bytes) -> list[int] | None:
    """Decodes a sequence of numbers; None if one is truncated or too long."""
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


def check_summary(
    peer_index: int, balancers: int, summary: GossipSummary | None, tenant_load: float
) -> GossipSummary:
    """Returns the summary if it is plausible. Raises InvalidSummaryError otherwise.

    An excessive load would count as known active load at every balancer, and close every cap.

    Args:
        peer_index: index of the sender.
        balancers: number of balancers in the settings.
        summary: as decoded; None if that failed.
        tenant_load: load of all connections that tenants may hold; 0 if it is not known.
    """
    if not 0 <= peer_index < balancers:
        raise InvalidSummaryError(f"the settings name {balancers} balancers")
    if summary is None:
        raise InvalidSummaryError("the summary cannot be read")
    load = max(summary.active_load, sum(load for _, load in summary.waiting))
    is_load_excessive = tenant_load > 0 and load > MAX_TENANT_LOAD_MULTIPLE * tenant_load
    if summary.clients > MAX_CLIENTS or is_load_excessive:
        claim = f"{summary.clients} clients and a load of {load:.3g}"
        raise InvalidSummaryError(f"{claim} are absurd")
    return summary
