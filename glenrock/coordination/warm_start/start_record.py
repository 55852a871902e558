"""The last good endpoint list and what was learned of clients: their form on disk, and what a start may make of them.

Pure. A line with a name, a version and a digest, then JSON. Written by one process of a name, read by the next one.
Times are Unix milliseconds.
"""

from __future__ import annotations

import hashlib
import json
from collections.abc import Mapping
from dataclasses import dataclass
from math import isfinite
from typing import Any

MAGIC, VERSION = b"glenrock-start", 1
MAX_BYTES = 4 << 20

Means = Mapping[str, tuple[float, int]]
"""By class, the mean load of a connection and how many loads stand behind it."""

EndpointTable = dict[str, Any]
"""An endpoint list in service discovery's form."""


class StartRecordError(ValueError):
    """The file cannot be used, or not be written; the message says why."""


@dataclass(frozen=True)
class StartRecord:
    """What is kept.

    Attributes:
        at_ms: time of writing.
        boot: of the machine then.
        discovery: who told the list, host and port.
        table: the list.
        means: mean loads.
    """

    at_ms: float
    boot: str
    discovery: str
    table: EndpointTable
    means: Means


@dataclass(frozen=True)
class RecordTrust:
    """`list_ms`: a list older than this is not used. `half_ms`: what was learned counts half after this."""

    list_ms: float
    half_ms: float


@dataclass(frozen=True)
class StartKnowledge:
    """What a start goes by: an endpoint list, mean loads, and a sentence for the log."""

    table: EndpointTable
    means: Means
    why: str


def encode(record: StartRecord) -> bytes:
    """The file. Raises StartRecordError where it is larger than a start would read."""
    body = json.dumps(
        {
            "at_ms": record.at_ms,
            "boot": record.boot,
            "discovery": record.discovery,
            "table": record.table,
            "means": {name: list(mean) for name, mean in record.means.items()},
        }
    ).encode()
    data = b"%s %d %s\n%s" % (MAGIC, VERSION, hashlib.sha256(body).hexdigest().encode(), body)
    if len(data) > MAX_BYTES:
        raise StartRecordError(f"{len(data)} bytes, {MAX_BYTES} at most")
    return data


def decode(data: bytes) -> StartRecord:
    """Raises ValueError, which says what is wrong."""
    if len(data) > MAX_BYTES:
        raise StartRecordError("too large")
    head, _, body = data.partition(b"\n")
    words = head.split(b" ")
    if len(words) != 3 or words[0] != MAGIC:
        raise StartRecordError("not a file of this kind")
    if words[1] != b"%d" % VERSION:
        raise StartRecordError(f"version {words[1].decode('ascii', 'replace')[:20]}, {VERSION} is known")
    if hashlib.sha256(body).hexdigest().encode() != words[2]:
        raise StartRecordError("the digest is wrong: it is cut short or spoilt")
    return _record_of(json.loads(body))


def _record_of(raw: Any) -> StartRecord:
    try:
        table = raw["table"]
        means = {str(name): (float(mean), int(samples)) for name, (mean, samples) in raw["means"].items()}
        at_ms = float(raw["at_ms"])
        has_table = isinstance(table["endpoints"], list) and type(table["index"]) is int and table["snapshot"] is True
        has_names = isinstance(raw["boot"], str) and isinstance(raw["discovery"], str)
    except (KeyError, TypeError, ValueError, AttributeError, OverflowError) as error:
        raise StartRecordError(f"not what it should be: {error!r:.100}") from error
    numbers = (at_ms, *(number for pair in means.values() for number in pair))
    if not (has_table and has_names and all(isfinite(number) and number >= 0 for number in numbers)):
        raise StartRecordError("not what it should be")
    return StartRecord(at_ms, raw["boot"], raw["discovery"], table, means)


def usable_knowledge(
    record: StartRecord, known: EndpointTable, now_ms: float, boot: str, discovery: str, trust: RecordTrust
) -> StartKnowledge:
    """What of a record a start uses.

    Versions of one service discovery compare; of two they do not, and then the platform's list goes first. An age below
    zero says that the clock went back: it is not known then, and nothing counts.

    Args:
        record: as read.
        known: the list that the platform gave, perhaps empty.
        now_ms: time of the start.
        boot: of the machine now.
        discovery: who will tell the list, host and port.
        trust: how long what is kept counts.
    """
    age_ms = now_ms - record.at_ms
    if age_ms < 0:
        return StartKnowledge(known, {}, f"written {-age_ms / 1000:.0f} s from now: left aside")
    means = _faded(record.means, 0.5 ** (age_ms / trust.half_ms))
    if age_ms > trust.list_ms:
        why = f"{age_ms / 1000:.0f} s old: its list is not used, loads of {len(means)} classes are"
        return StartKnowledge(known, means, why)
    if _given_list_is_as_new(record, known, discovery):
        why = f"{age_ms / 1000:.1f} s old: the list that was given is as new; loads of {len(means)} classes are used"
        return StartKnowledge(known, means, why)
    table = record.table
    rebooted = record.boot != boot
    if rebooted:
        # What took this machine's power may have taken the servers', and they are back cold. They get no more than a
        # server in slow start bears until they have had the time to warm up.
        table = {**table, "endpoints": [{**row, "since_ms": now_ms} for row in table["endpoints"]]}
    cold = ", its servers held for cold after a boot" if rebooted else ""
    why = f"{age_ms / 1000:.1f} s old: its list of {len(table['endpoints'])} servers is used{cold}"
    return StartKnowledge(table, means, why)


def _faded(means: Means, share: float) -> dict[str, tuple[float, int]]:
    """Means with fewer samples behind them; those with none left go."""
    faded = {name: (mean, round(samples * share)) for name, (mean, samples) in means.items()}
    return {name: (mean, samples) for name, (mean, samples) in faded.items() if samples > 0}


def _given_list_is_as_new(record: StartRecord, known: EndpointTable, discovery: str) -> bool:
    if not known.get("endpoints"):
        return False
    version = known.get("index", -1)
    if record.discovery != discovery or not isinstance(version, int):
        return True
    return bool(version >= record.table["index"])
