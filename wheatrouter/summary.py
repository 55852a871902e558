"""The form of a peer summary: at most 256 bytes, whole numbers of seven bits a byte.

version, stamp (2 bytes, high first), active load, clients seen, then pairs of bucket age and load waiting.
"""

from __future__ import annotations

LONGEST = 256
LARGEST = (1 << 63) - 1
VERSION = 1
MOST_CLIENTS = 1_000_000  # at one balancer
ABSURD = 100  # times the load of all connections that tenants may hold: no balancer has so much

Summary = tuple[int, float, int, list[tuple[int, float]]]  # stamp, active, clients, queues


def encode(stamp: int, active: float, clients: int, line: list[tuple[int, float]]) -> bytes:
    """At most 256 bytes; the queues come newest first, so that what is cut off are the oldest."""
    out = bytearray((VERSION, stamp >> 8 & 255, stamp & 255))
    for value in (round(active), clients):
        varint(out, value)
    for age, load in line:
        more = bytearray()
        varint(more, max(0, age))
        varint(more, round(load))
        if len(out) + len(more) > LONGEST:
            break
        out += more
    return bytes(out)


def varint(out: bytearray, value: int) -> None:
    value = max(0, min(value, LARGEST))
    while value > 127:
        out.append(value & 127 | 128)
        value >>= 7
    out.append(value)


def decode(data: bytes) -> Summary | None:
    """None for anything that is not a whole summary of this version."""
    if len(data) < 5 or len(data) > LONGEST or data[0] != VERSION:
        return None
    values, value, shift = [], 0, 0
    for byte in data[3:]:
        value |= (byte & 127) << shift
        shift += 7
        if shift > 70:
            return None
        if byte < 128:
            values.append(value)
            value, shift = 0, 0
    if shift or len(values) < 2 or len(values) % 2 or max(values) > LARGEST:
        return None
    return data[1] << 8 | data[2], float(values[0]), values[1], [
        (values[n], float(values[n + 1])) for n in range(2, len(values), 2)]


def fault(peer: int, balancers: int, read: Summary | None, most: float) -> str:
    """What is wrong with a summary, in a line; empty where nothing is. `most` is the load of all connections
    that tenants may hold, 0 where it is not known.

    Danger: one figure out of all measure would count as known actives at every balancer, and shut every cap.
    """
    if not 0 <= peer < balancers:
        return f"summary of balancer {peer} ignored: the settings name {balancers}"
    if read is None:
        return f"summary of balancer {peer} ignored: it cannot be read"
    _, active, clients, line = read
    load = max([active, sum(x for _, x in line)])
    if clients > MOST_CLIENTS or most > 0 and load > ABSURD * most:
        return f"summary of balancer {peer} ignored: {clients} clients and a load of {load:.3g} are absurd"
    return ""
