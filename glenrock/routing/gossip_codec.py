"""The encoding of a gossip summary, in at most 256 bytes.

A version byte and a two-byte big-endian stamp are followed by base-128 varints: the active load, the number
of clients seen, and a pair of age and load for each bucket of the waiting queue.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import NamedTuple

VERSION = 1
MAX_BYTES = 256
HEADER_BYTES = 3  # version and stamp
MIN_BYTES = 5  # the header and two varints of one byte
MAX_VARINT_VALUE = (1 << 63) - 1
MAX_VARINT_BITS = 70  # a longer varint is malformed
MAX_CLIENTS = 1_000_000  # at one balancer
MAX_TENANT_LOAD_MULTIPLE = 100  # of the load of all connections that the tenants' quotas allow
MAX_STAMP = 0xFFFF


class InvalidSummaryError(ValueError):
    """A summary is malformed or implausible; the message is the reason."""


class AgedLoad(NamedTuple):
    """The load of a bucket of the waiting queue, and the bucket's age in bucket lengths."""

    age: int
    load: float


class GossipSummary(NamedTuple):
    """The state that a balancer shares with its peers.

    Attributes:
        stamp: time of the summary, modulo `MAX_STAMP + 1`.
        active_load: load of the admitted clients.
        clients: number of clients seen.
        waiting: buckets of the waiting queue, youngest first.
    """

    stamp: int
    active_load: float
    clients: int
    waiting: list[AgedLoad]


def encode(stamp: int, active_load: float, clients: int, waiting: Sequence[tuple[int, float]]) -> bytes:
    """Encodes a summary. Buckets beyond the size limit are omitted.

    Args:
        stamp: time of the summary, modulo `MAX_STAMP + 1`.
        active_load: load of the admitted clients.
        clients: number of clients seen.
        waiting: age and load of each bucket of the waiting queue, youngest first.
    """
    data = bytearray((VERSION, stamp >> 8 & 0xFF, stamp & 0xFF))
    _append_varint(data, round(active_load))
    _append_varint(data, clients)
    for age, load in waiting:
        pair = bytearray()
        _append_varint(pair, max(0, age))
        _append_varint(pair, round(load))
        if len(data) + len(pair) > MAX_BYTES:
            break
        data += pair
    return bytes(data)


def _append_varint(data: bytearray, value: int) -> None:
    value = max(0, min(value, MAX_VARINT_VALUE))
    while value > 0x7F:
        data.append(value & 0x7F | 0x80)
        value >>= 7
    data.append(value)


def decode(data: bytes) -> GossipSummary | None:
    """Decodes a summary. Returns None if the data are malformed or of another version."""
    if not MIN_BYTES <= len(data) <= MAX_BYTES or data[0] != VERSION:
        return None
    values = _decode_varints(data[HEADER_BYTES:])
    if values is None or len(values) < 2 or len(values) % 2 or max(values) > MAX_VARINT_VALUE:
        return None
    pairs = zip(values[2::2], values[3::2], strict=True)
    waiting = [AgedLoad(age, float(load)) for age, load in pairs]
    return GossipSummary(data[1] << 8 | data[2], float(values[0]), values[1], waiting)


def _decode_varints(data: bytes) -> list[int] | None:
    """Decodes a sequence of varints. Returns None if one is truncated or too long."""
    values: list[int] = []
    value = shift = 0
    for byte in data:
        value |= (byte & 0x7F) << shift
        shift += 7
        if shift > MAX_VARINT_BITS:
            return None
        if byte < 0x80:
            values.append(value)
            value = shift = 0
    return None if shift else values


def check_summary(
    peer_index: int, balancers: int, summary: GossipSummary | None, tenant_load: float
) -> GossipSummary:
    """Returns the summary if it is plausible. Raises InvalidSummaryError otherwise.

    Every balancer would count an excessive load as active load, so that no load cap would admit clients.

    Args:
        peer_index: index of the sender.
        balancers: number of balancers in the settings.
        summary: the decoded summary; None if it could not be decoded.
        tenant_load: load of all connections that the tenants' quotas allow; 0 if it is unknown.
    """
    if not 0 <= peer_index < balancers:
        raise InvalidSummaryError(
            f"peer index {peer_index} is out of range: the settings have {balancers} balancers"
        )
    if summary is None:
        raise InvalidSummaryError("the summary is malformed or of another version")
    load = max(summary.active_load, sum(load for _, load in summary.waiting))
    is_load_excessive = tenant_load > 0 and load > MAX_TENANT_LOAD_MULTIPLE * tenant_load
    if summary.clients > MAX_CLIENTS or is_load_excessive:
        raise InvalidSummaryError(f"{summary.clients} clients and a load of {load:.3g} are implausible")
    return summary
