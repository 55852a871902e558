"""The start record: the last endpoint list and the learned loads, their file format, and what a start uses of them.

Pure. The file has a header line with a magic name, a version and a SHA-256 digest, followed by JSON. Each incarnation
reads the record that the previous one wrote. Times are Unix milliseconds.
"""

from __future__ import annotations

import hashlib
import json
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from math import isfinite
from typing import Any

from glenrock.routing.connection_load import LoadMean

from ...net.endpoint_rows import EndpointRow, encode_row

MAGIC = b"glenrock-start"
VERSION = 1
HEADER_FIELDS = 3
SECOND_MS = 1000
MAX_BYTES = 4 << 20

MeanLoads = Mapping[str, LoadMean]
"""By name of a request class, the mean load of a connection."""

EndpointTable = dict[str, Any]
"""An endpoint list as the JSON object of service discovery; the configuration and the file have the same format."""


class StartRecordError(ValueError):
    """The file cannot be used or written; the message gives the reason."""


@dataclass(frozen=True)
class StartRecord:
    """The content of the file.

    Attributes:
        at_ms: when the record was written.
        boot: identifier of the machine's boot at that time.
        discovery: host and port of the discovery service that reported the list.
        table: the endpoint list.
        means: the learned loads.
    """

    at_ms: float
    boot: str
    discovery: str
    table: EndpointTable
    means: MeanLoads


@dataclass(frozen=True)
class RecordValidity:
    """How long the content of a record is used.

    Attributes:
        max_list_age_ms: an older endpoint list is not used.
        half_life_ms: the age at which the learned loads have half of their samples.
    """

    max_list_age_ms: float
    half_life_ms: float


@dataclass(frozen=True)
class StartData:
    """The data that a start uses.

    Attributes:
        table: the endpoint list.
        means: the learned loads.
        summary: a text for operators that says what is used and why.
    """

    table: EndpointTable
    means: MeanLoads
    summary: str


def encode_table(version: int, rows: Iterable[EndpointRow]) -> EndpointTable:
    """Returns an endpoint list in the JSON format of service discovery."""
    return {"index": version, "snapshot": True, "endpoints": [encode_row(row) for row in rows]}


def table_version(table: EndpointTable) -> int:
    """Returns the version of an endpoint list that `encode_table` or `decode` returned."""
    return int(table["index"])


def encode(record: StartRecord) -> bytes:
    """Returns the content of the file.

    Raises:
        StartRecordError: the content is longer than MAX_BYTES, which a start would not read.
    """
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
        raise StartRecordError(f"record of {len(data)} bytes, at most {MAX_BYTES} are allowed")
    return data


def decode(data: bytes) -> StartRecord:
    """Decodes and checks the content of a file.

    Raises:
        ValueError: the content is invalid; a StartRecordError unless the JSON cannot be parsed.
    """
    if len(data) > MAX_BYTES:
        raise StartRecordError(f"larger than {MAX_BYTES} bytes")
    header, _, body = data.partition(b"\n")
    fields = header.split(b" ")
    if len(fields) != HEADER_FIELDS or fields[0] != MAGIC:
        raise StartRecordError("not a start cache file")
    if fields[1] != b"%d" % VERSION:
        version = fields[1].decode("ascii", "replace")[:20]
        raise StartRecordError(f"unsupported version {version}, expected {VERSION}")
    if hashlib.sha256(body).hexdigest().encode() != fields[2]:
        raise StartRecordError("wrong digest: the file is truncated or corrupt")
    return _validate_record(json.loads(body))


def _validate_record(raw: Any) -> StartRecord:
    """Checks the types and values of the JSON. Raises StartRecordError."""
    try:
        table = raw["table"]
        means = {str(name): LoadMean(float(load), int(samples)) for name, (load, samples) in raw["means"].items()}
        at_ms = float(raw["at_ms"])
        has_table = isinstance(table["endpoints"], list) and type(table["index"]) is int and table["snapshot"] is True
        has_names = isinstance(raw["boot"], str) and isinstance(raw["discovery"], str)
    except (KeyError, TypeError, ValueError, AttributeError, OverflowError) as error:
        raise StartRecordError(f"invalid content: {error!r:.100}") from error
    numbers = (at_ms, *(number for mean in means.values() for number in mean))
    if not (has_table and has_names and all(isfinite(number) and number >= 0 for number in numbers)):
        raise StartRecordError("invalid content: a value has the wrong type or is out of range")
    return StartRecord(at_ms, raw["boot"], raw["discovery"], table, means)


def select_start_data(
    record: StartRecord, configured: EndpointTable, now_ms: float, boot: str, discovery: str, validity: RecordValidity
) -> StartData:
    """Selects the endpoint list and the learned loads that a start uses.

    Versions of two lists are comparable only if both are from the same discovery service; otherwise the configured list
    is used. A record with a time in the future was written before the clock was set back. Its age is unknown, so it is
    not used.

    Args:
        record: the record read.
        configured: the endpoint list of the configuration; may be empty.
        now_ms: the time of the start.
        boot: identifier of the machine's current boot.
        discovery: host and port of the discovery service that this start uses.
        validity: how long the content of a record is used.
    """
    age_ms = now_ms - record.at_ms
    if age_ms < 0:
        return StartData(configured, {}, f"written {-age_ms / SECOND_MS:.0f} s in the future: not used")
    means = _decayed_means(record.means, 0.5 ** (age_ms / validity.half_life_ms))
    if age_ms > validity.max_list_age_ms:
        summary = f"{age_ms / SECOND_MS:.0f} s old: its list is too old, loads of {len(means)} classes are used"
        return StartData(configured, means, summary)
    age = f"{age_ms / SECOND_MS:.1f} s old"
    if _is_configured_list_preferred(record, configured, discovery):
        summary = f"{age}: the configured list is used, not its own; loads of {len(means)} classes are used"
        return StartData(configured, means, summary)
    table = record.table
    is_after_boot = record.boot != boot
    if is_after_boot:
        # A power failure that restarted this machine may have restarted the servers too: all count as warming up.
        table = {**table, "endpoints": [{**row, "since_ms": now_ms} for row in table["endpoints"]]}
    note = ", its servers count as warming up after a boot" if is_after_boot else ""
    summary = f"{age}: its list of {len(table['endpoints'])} servers is used{note}"
    return StartData(table, means, summary)


def _decayed_means(means: MeanLoads, fraction: float) -> MeanLoads:
    """Returns the means with a fraction of their samples, without the means that have no samples left."""
    decayed = {name: LoadMean(mean.load, round(mean.sample_count * fraction)) for name, mean in means.items()}
    return {name: mean for name, mean in decayed.items() if mean.sample_count > 0}


def _is_configured_list_preferred(record: StartRecord, configured: EndpointTable, discovery: str) -> bool:
    """Returns whether the configured list is at least as new as the record's, or cannot be compared with it."""
    if not configured.get("endpoints"):
        return False
    version = configured.get("index", -1)
    if record.discovery != discovery or not isinstance(version, int):
        return True
    return version >= table_version(record.table)
