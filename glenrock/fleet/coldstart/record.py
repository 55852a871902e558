"""The last good list and what was learned of clients: their form on disk, and what a start may make of them. Pure.

A line with a name, a version and a digest, then JSON. Written by one process of a name, read by the next one.
"""

from __future__ import annotations

import hashlib
import json
from dataclasses import dataclass
from math import isfinite
from typing import Any

MAGIC, VERSION = b"glenrock-start", 1
LARGEST = 4 << 20  # bytes

Means = dict[str, tuple[float, int]]


@dataclass(frozen=True)
class Record:
    """`at_ms`: Unix time of writing. `boot`: of the machine then. `discovery`: who told the list, host and port.
    `table`: the list in discovery's form. `means`: by class, the mean load of a connection and how often that was told.
    """

    at_ms: float
    boot: str
    discovery: str
    table: dict[str, Any]
    means: Means


@dataclass(frozen=True)
class Trust:
    """`list_ms`: a list older than this is not used. `half_ms`: what was learned counts half after this."""

    list_ms: float
    half_ms: float


@dataclass(frozen=True)
class Used:
    """What a start goes by: a list for the name table, means, and a sentence for the log."""

    table: dict[str, Any]
    means: Means
    why: str


def encode(r: Record) -> bytes:
    """ValueError where it is larger than a start would read."""
    body = json.dumps({"at_ms": r.at_ms, "boot": r.boot, "discovery": r.discovery, "table": r.table,
                       "means": {name: list(mean) for name, mean in r.means.items()}}).encode()
    data = b"%s %d %s\n%s" % (MAGIC, VERSION, hashlib.sha256(body).hexdigest().encode(), body)
    if len(data) > LARGEST:
        raise ValueError(f"{len(data)} bytes, {LARGEST} at most")
    return data


def decode(data: bytes) -> Record:
    """ValueError says what is wrong."""
    if len(data) > LARGEST:
        raise ValueError("too large")
    head, _, body = data.partition(b"\n")
    words = head.split(b" ")
    if len(words) != 3 or words[0] != MAGIC:
        raise ValueError("not a file of this kind")
    if words[1] != b"%d" % VERSION:
        raise ValueError(f"version {words[1].decode('ascii', 'replace')[:20]}, {VERSION} is known")
    if hashlib.sha256(body).hexdigest().encode() != words[2]:
        raise ValueError("the digest is wrong: it is cut short or spoilt")
    raw: Any = json.loads(body)
    try:
        table, means = raw["table"], {str(n): (float(mean), int(told)) for n, (mean, told) in raw["means"].items()}
        at_ms = float(raw["at_ms"])
        sound = isinstance(table["endpoints"], list) and type(table["index"]) is int and table["snapshot"] is True
        strings = isinstance(raw["boot"], str) and isinstance(raw["discovery"], str)
    except (KeyError, TypeError, ValueError, AttributeError, OverflowError) as bad:
        raise ValueError(f"not what it should be: {bad!r:.100}") from None
    numbers = (at_ms, *(x for pair in means.values() for x in pair))
    if not (sound and strings and all(isfinite(x) and x >= 0 for x in numbers)):
        raise ValueError("not what it should be")
    return Record(at_ms, raw["boot"], raw["discovery"], table, means)


def used(r: Record, known: dict[str, Any], now_ms: float, boot: str, discovery: str, trust: Trust) -> Used:
    """What of it a start uses, beside the list that the platform gave (`known`, in discovery's form, perhaps empty).

    Versions of one discovery compare; of two they do not, and then the platform's list goes first. An age below zero
    says that the clock went back: it is not known then, and nothing counts.
    """
    age = now_ms - r.at_ms
    if age < 0:
        return Used(known, {}, f"written {-age / 1000:.0f} s from now: left aside")
    part = 0.5 ** (age / trust.half_ms)
    means = {name: (mean, round(told * part)) for name, (mean, told) in r.means.items() if round(told * part) > 0}
    given = known.get("index", -1) if known.get("endpoints") else None
    if age > trust.list_ms:
        return Used(known, means, f"{age / 1000:.0f} s old: its list is not used, loads of {len(means)} classes are")
    if given is not None and (r.discovery != discovery or not isinstance(given, int) or given >= r.table["index"]):
        return Used(known, means, f"{age / 1000:.1f} s old: the list that was given is as new; "
                    f"loads of {len(means)} classes are used")
    table = r.table
    if r.boot != boot:
        # Danger: what took this machine's power may have taken the servers', and they are back cold. They get no more
        # than a cold one bears until they have had the time to warm up.
        table = {**table, "endpoints": [{**row, "since_ms": now_ms} for row in table["endpoints"]]}
    cold = ", its servers held for cold after a boot" if r.boot != boot else ""
    return Used(table, means, f"{age / 1000:.1f} s old: its list of {len(table['endpoints'])} servers is used{cold}")
