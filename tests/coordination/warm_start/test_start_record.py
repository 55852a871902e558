"""The start record: its file format, and the data that a start uses from it."""

from __future__ import annotations

import random
from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from glenrock.coordination.warm_start.start_record import (
    MAX_BYTES,
    EndpointTable,
    MeanLoads,
    StartRecord,
    decode,
    encode,
    encode_table,
    select_start_data,
)
from glenrock.routing import Balancer
from glenrock.routing.connection_load import ConnectionLoads, LoadMean

from .records import NOW_MS, RECORD, ROW, SETTINGS, VALIDITY, table

CLASS_NAMES = ["look", "write"]
numbers = st.floats(0, 1e12)
rows = st.builds(replace, st.just(ROW), name=st.text(min_size=1, max_size=8))
records = st.builds(
    StartRecord,
    at_ms=numbers,
    boot=st.text(max_size=20),
    discovery=st.text(max_size=20),
    table=st.builds(encode_table, st.integers(-1, 1 << 53), st.lists(rows, max_size=5)),
    means=st.dictionaries(st.text(max_size=8), st.builds(LoadMean, numbers, st.integers(0, 1 << 40)), max_size=4),
)


@given(records)
def test_record_round_trip(written: StartRecord) -> None:
    assert decode(encode(written)) == written


@given(records, st.integers(0, 10_000), st.integers(1, 255))
def test_truncated_or_corrupt_file_raises_value_error_only(written: StartRecord, drawn: int, change: int) -> None:
    data = encode(written)
    position = drawn % len(data)
    truncated = data[:position]
    corrupt = truncated + bytes([data[position] ^ change]) + data[position + 1 :]
    for invalid in (truncated, corrupt):
        with pytest.raises(ValueError):
            decode(invalid)


@pytest.mark.parametrize(
    "data, message",
    [
        (b"", "not a start cache file"),
        (b"x" * (MAX_BYTES + 1), f"larger than {MAX_BYTES} bytes"),
        (encode(RECORD).replace(b"start 1", b"start 2", 1), "unsupported version 2, expected 1"),
        (encode(RECORD) + b" ", "wrong digest"),
        (encode(replace(RECORD, table={"index": "7", "snapshot": True, "endpoints": []})), "invalid content"),
        (encode(replace(RECORD, means={"": LoadMean(float("nan"), 1)})), "invalid content"),
        (encode(replace(RECORD, means={"": LoadMean(-1.0, 1)})), "invalid content"),
    ],
)
def test_unusable_file_raises_with_the_reason(data: bytes, message: str) -> None:
    with pytest.raises(ValueError, match=message):
        decode(data)


def test_record_longer_than_a_start_reads_is_not_encoded() -> None:
    with pytest.raises(ValueError, match=f"at most {MAX_BYTES} are allowed"):
        encode(replace(RECORD, table=table(1, *(f"s{number:060d}" for number in range(30_000)))))


OTHER_DISCOVERY = replace(RECORD, discovery="e:1")
MEANS_AFTER_ONE_SECOND = {"": LoadMean(3.0, 37)}


@pytest.mark.parametrize(
    "configured, record, age_ms, names, means",
    [
        ({}, RECORD, 1000.0, ["s1", "s2"], MEANS_AFTER_ONE_SECOND),
        ({}, RECORD, 20_000.0, ["s1", "s2"], {"": LoadMean(3.0, 10)}),
        ({}, RECORD, 59_000.0, ["s1", "s2"], {"": LoadMean(3.0, 1)}),
        ({}, RECORD, 61_000.0, None, {"": LoadMean(3.0, 1)}),
        ({}, RECORD, 86_400_000.0, None, {}),
        ({}, RECORD, -1.0, None, {}),  # the clock was set back
        (table(6, "old"), RECORD, 1000.0, ["s1", "s2"], MEANS_AFTER_ONE_SECOND),
        (table(7, "given"), RECORD, 1000.0, ["given"], MEANS_AFTER_ONE_SECOND),
        (table(9, "given"), RECORD, 1000.0, ["given"], MEANS_AFTER_ONE_SECOND),
        (table(6, "given"), OTHER_DISCOVERY, 1000.0, ["given"], MEANS_AFTER_ONE_SECOND),
        ({"index": 9, "endpoints": []}, RECORD, 1000.0, ["s1", "s2"], MEANS_AFTER_ONE_SECOND),
        ({"index": "x", "endpoints": [1]}, RECORD, 1000.0, None, MEANS_AFTER_ONE_SECOND),
    ],
)
def test_data_that_a_start_uses(
    configured: EndpointTable, record: StartRecord, age_ms: float, names: list[str] | None, means: MeanLoads
) -> None:
    start_data = select_start_data(record, configured, NOW_MS + age_ms, "b", "d:1", VALIDITY)
    assert start_data.means == means
    if names is None:
        assert start_data.table == configured
    else:
        assert [row["name"] for row in start_data.table["endpoints"]] == names
    assert start_data.summary


def test_servers_of_a_cached_list_count_as_warming_up_after_a_boot() -> None:
    now_ms = NOW_MS + 1000
    start_data = select_start_data(RECORD, {}, now_ms, "another", "d:1", VALIDITY)
    assert [row["since_ms"] for row in start_data.table["endpoints"]] == [now_ms] * 2
    assert "warming up" in start_data.summary
    assert [row["since_ms"] for row in RECORD.table["endpoints"]] == [5.0] * 2, "the record is not changed"


def loads_after_restart(samples: int) -> ConnectionLoads:
    """Returns the loads after a restart that restored a mean of 2.0 from `samples` loads for each class."""
    loads = Balancer(SETTINGS, 1).connection_loads
    restored = LoadMean(2.0, samples)
    unusable = {"removed": LoadMean(9.0, 9), "write": LoadMean(0.0, 9)}
    loads.restore({"": restored, "look": restored, **unusable}, CLASS_NAMES)
    return loads


def test_restored_loads_are_expected_except_those_of_removed_classes() -> None:
    loads = loads_after_restart(40)
    assert loads.expected("look") == 2.0
    assert loads.expected("write") == 2.0, "the mean of all classes, since its own is 0"
    assert "removed" not in loads.means


def test_restored_loads_weigh_less_the_older_they_are() -> None:
    """The load of a class triples: its mean follows slowly after a restart with fresh loads, fast with old ones."""
    draw = random.Random(1)
    fresh, old = loads_after_restart(40), loads_after_restart(4)
    for loads in (fresh, old):
        for _ in range(20):
            loads.record("look", 6.0 * (0.9 + draw.random() / 5))
    assert 2.5 < fresh.expected("look") < 4.0 < old.expected("look") < 6.0


def test_loads_of_this_process_take_precedence_over_restored_ones() -> None:
    loads = Balancer(SETTINGS, 1).connection_loads
    loads.record("look", 5.0)
    loads.restore({"look": LoadMean(2.0, 9)}, CLASS_NAMES)
    assert loads.expected("look") == 5.0
    assert loads.snapshot() == {"": LoadMean(5.0, 1), "look": LoadMean(5.0, 1)}
